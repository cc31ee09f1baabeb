//! Generates a trace from the recipe of a deployment.

use std::ops::Range;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schema::trace::{Call, Header, Shape};

use super::arrival::{self, Phase};
use super::mix::{Kind, Mix, within};
use super::{Trace, archive, thistlewood};

/// what the calls of a deployment look like
#[derive(Clone, Debug)]
pub struct Recipe {
    pub(super) workspaces: Vec<&'static str>,
    pub(super) kinds: Vec<Kind>,
    /// groups of calls whose prompts begin alike
    pub(super) groups: u32,
    /// words that the calls of a group share
    pub(super) shared: Range<u32>,
    pub(super) phases: Vec<Phase>,
    /// number of the phase in which a few groups are asked for most
    pub(super) hot_phase: Option<usize>,
}

/// part of the calls of the hot phase that go to the hot groups
const HOT_PART: f64 = 0.5;

/// groups that are hot together
const HOT_GROUPS: u32 = 2;

/// generates a trace; the same arguments give the same trace
pub fn make(shape: Shape, seed: u64, seconds: u32, rate: f64) -> Trace {
    let recipe = match shape {
        Shape::Archive => archive::recipe(),
        Shape::Thistlewood => thistlewood::recipe(),
    };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let calls = recipe.calls(seconds, rate, &mut rng);
    let classes = recipe.kinds.iter().map(|kind| kind.class.clone());
    let header = Header {
        name: format!("{shape}-{seed}"),
        shape,
        seed,
        seconds,
        workspaces: recipe.workspaces.iter().map(|&w| w.to_owned()).collect(),
        classes: classes.collect(),
    };
    Trace { header, calls }
}

impl Recipe {
    fn calls(&self, seconds: u32, rate: f64, rng: &mut impl Rng) -> Vec<Call> {
        let lengths: Vec<u32> = (0..self.groups)
            .map(|_| within(&self.shared, rng))
            .collect();
        let kinds = Mix::new(self.kinds.iter().map(|kind| kind.weight));
        let groups = Mix::zipf(self.groups);
        let workspaces = Mix::zipf(self.workspaces.len() as u32);
        let hot = self.hot_time(seconds);
        let first_hot = rng.random_range(0..self.groups);
        let times = arrival::draw(&self.phases, seconds, rate, rng);
        let mut calls = Vec::with_capacity(times.len());
        for at_ms in times {
            let class = kinds.draw(rng);
            let mut group = groups.draw(rng);
            if hot.contains(&at_ms) && rng.random_bool(HOT_PART) {
                group = (first_hot + rng.random_range(0..HOT_GROUPS)) % self.groups;
            }
            let mut call = Call {
                at_ms,
                class,
                workspace: workspaces.draw(rng),
                group,
                shared: lengths[group as usize],
                private: 0,
                output: 0,
                repeated: false,
            };
            self.kinds[class as usize].fill(&mut call, rng);
            calls.push(call);
        }
        calls
    }

    /// the time of the hot phase, milliseconds
    fn hot_time(&self, seconds: u32) -> Range<u32> {
        let Some(hot) = self.hot_phase else {
            return 0..0;
        };
        let before: f64 = self.phases[..hot].iter().map(|phase| phase.part).sum();
        let milliseconds = f64::from(seconds) * 1_000.0;
        let end = before + self.phases[hot].part;
        (before * milliseconds) as u32..(end * milliseconds) as u32
    }
}

impl Kind {
    fn fill(&self, call: &mut Call, rng: &mut impl Rng) {
        call.private = within(&self.private, rng);
        call.output = within(&self.output, rng);
        call.repeated = rng.random_bool(self.repeated);
        if call.output == 0 {
            call.group = 0;
            call.shared = 0;
        }
    }
}
