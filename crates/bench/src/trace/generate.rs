//! Generates a trace from the workload of a deployment.

use std::ops::Range;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schema::trace::{Call, Header, Shape};

use super::arrival::{self, Phase};
use super::sampler::{Kind, Sampler, draw_from};
use super::{Trace, archive, thistlewood};

/// distribution of a deployment's calls
#[derive(Clone, Debug)]
pub struct Workload {
    pub(super) workspaces: Vec<&'static str>,
    pub(super) kinds: Vec<Kind>,
    /// groups of calls whose prompts share a prefix
    pub(super) groups: u32,
    /// words in the prefix that the calls of a group share
    pub(super) shared: Range<u32>,
    pub(super) phases: Vec<Phase>,
    /// index of the phase in which a few groups get most calls
    pub(super) hot_phase: Option<usize>,
}

/// fraction of the hot phase's calls that go to the hot groups
const HOT_FRACTION: f64 = 0.5;

/// number of hot groups
const HOT_GROUPS: u32 = 2;

/// generates a trace, the same one for the same arguments
pub fn generate(shape: Shape, seed: u64, seconds: u32, rate: f64) -> Trace {
    let workload = match shape {
        Shape::Archive => archive::workload(),
        Shape::Thistlewood => thistlewood::workload(),
    };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let calls = workload.calls(seconds, rate, &mut rng);
    let classes = workload.kinds.iter().map(|kind| kind.class.clone());
    let header = Header {
        name: format!("{shape}-{seed}"),
        shape,
        seed,
        seconds,
        workspaces: workload.workspaces.iter().map(|&w| w.to_owned()).collect(),
        classes: classes.collect(),
    };
    Trace { header, calls }
}

impl Workload {
    fn calls(&self, seconds: u32, rate: f64, rng: &mut impl Rng) -> Vec<Call> {
        let prefix_lengths: Vec<u32> = (0..self.groups)
            .map(|_| draw_from(&self.shared, rng))
            .collect();
        let kinds = Sampler::new(self.kinds.iter().map(|kind| kind.weight));
        let groups = Sampler::zipf(self.groups);
        let workspaces = Sampler::zipf(self.workspaces.len() as u32);
        let hot = self.hot_time(seconds);
        let first_hot = rng.random_range(0..self.groups);
        let times = arrival::draw(&self.phases, seconds, rate, rng);
        let mut calls = Vec::with_capacity(times.len());
        for at_ms in times {
            let class = kinds.draw(rng);
            let mut group = groups.draw(rng);
            if hot.contains(&at_ms) && rng.random_bool(HOT_FRACTION) {
                group = (first_hot + rng.random_range(0..HOT_GROUPS)) % self.groups;
            }
            let mut call = Call {
                at_ms,
                class,
                workspace: workspaces.draw(rng),
                group,
                shared: prefix_lengths[group as usize],
                private: 0,
                output: 0,
                repeated: false,
            };
            self.kinds[class as usize].fill(&mut call, rng);
            calls.push(call);
        }
        calls
    }

    /// start and end of the hot phase, milliseconds
    fn hot_time(&self, seconds: u32) -> Range<u32> {
        let Some(hot) = self.hot_phase else {
            return 0..0;
        };
        let before: f64 = self.phases[..hot].iter().map(|phase| phase.fraction).sum();
        let duration_ms = f64::from(seconds) * 1_000.0;
        let end = before + self.phases[hot].fraction;
        (before * duration_ms) as u32..(end * duration_ms) as u32
    }
}

impl Kind {
    fn fill(&self, call: &mut Call, rng: &mut impl Rng) {
        call.private = draw_from(&self.private, rng);
        call.output = draw_from(&self.output, rng);
        call.repeated = rng.random_bool(self.repeated);
        if call.output == 0 {
            call.group = 0;
            call.shared = 0;
        }
    }
}
