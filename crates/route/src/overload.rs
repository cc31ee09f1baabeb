//! Admission before queueing.
//!
//! A request whose estimated wait passes its deadline, or a part of the target for the
//! first token that grows with its priority, is refused at once. Beyond that a service
//! sheds a fraction of its load, so that higher priorities find room: every window the
//! fraction follows the mean estimated wait against a smaller part of the target, and
//! it is taken from the lowest priorities first, by the mix of priorities offered of
//! late. Within the priority at the edge, requests are drawn.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use macro_rules_attribute::apply;
use rand::Rng;
use schema::config::Declaration;
use schema::{data, value};
use tokio::time::Instant;

use crate::{Reason, Refusal};

/// number of priorities, 0 to 9
const PRIORITIES: usize = 10;

/// length of a window
const WINDOW: Duration = Duration::from_millis(100);

/// part of the first-token target that the mean wait is steered to
const WAIT_PART: f64 = 0.2;

/// part of the first-token target that the lowest priority may wait
const CUT_LOWEST: f64 = 0.3;

/// part of the first-token target that the highest priority may wait
const CUT_HIGHEST: f64 = 0.8;

/// strength of the correction in one window
const GAIN: f64 = 0.02;

/// largest error that counts in one window, in targets
const ERROR_LARGEST: f64 = 3.0;

/// least part of the load that is admitted
const ADMIT_LEAST: f64 = 0.02;

/// factor on the offered mix from window to window
const MIX_DECAY: f64 = 0.9;

/// time to come back at an overload, before jitter
const OVERLOAD_WAIT: Duration = Duration::from_secs(1);

/// longest time to come back at an overload, before jitter
const OVERLOAD_WAIT_LONGEST: Duration = Duration::from_secs(5);

/// time to come back when the preset does not admit the priority
const PRESET_WAIT: Duration = Duration::from_secs(30);

/// a request to admit
#[apply(value!)]
pub struct Call<'a> {
    /// name of the service
    pub service: &'a str,
    /// 0 is turned away first, 9 last
    pub priority: u8,
    /// estimated wait before its prefill starts
    pub wait: Duration,
    /// target for the first token
    pub first_token: Duration,
    /// time left until its deadline
    pub deadline: Duration,
}

/// the admission control of a daemon
#[derive(Debug, Default)]
pub struct Gate {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    admit_priority: u8,
    services: HashMap<String, Control>,
}

/// the admission control of one service
#[apply(data!)]
struct Control {
    admitted: f64,
    offered: [f64; PRIORITIES],
    errors: f64,
    calls: f64,
    window_end: Option<Instant>,
}

impl Gate {
    /// returns a gate that admits all priorities
    pub fn new() -> Gate {
        Gate::default()
    }

    /// takes in the preset in force
    pub fn configure(&self, declaration: &Declaration) {
        let mut state = self.lock();
        let mut presets = declaration.presets.iter();
        let preset = presets.find(|preset| preset.name == declaration.preset);
        state.admit_priority = preset.map_or(0, |preset| preset.admit_priority);
        state.services.retain(|name, _| {
            let mut services = declaration.services.iter();
            services.any(|service| service.name == *name)
        });
    }

    /// admits a request or refuses it at once
    pub fn admit(&self, call: &Call<'_>, rng: &mut impl Rng, now: Instant) -> Result<(), Refusal> {
        let mut state = self.lock();
        if call.priority < state.admit_priority {
            return Err(Refusal::after(Reason::Preset, PRESET_WAIT));
        }
        if !state.services.contains_key(call.service) {
            state
                .services
                .insert(call.service.to_owned(), Control::new());
        }
        let Some(control) = state.services.get_mut(call.service) else {
            return Ok(());
        };
        control.observe(call, now);
        if call.wait >= call.deadline {
            return Err(Refusal::after(Reason::Deadline, call.wait));
        }
        let drawn = rng.random::<f64>() < control.admitted_part(call.priority);
        if drawn && call.wait <= longest_wait(call) {
            return Ok(());
        }
        Err(Refusal::after(Reason::Overload, control.retry_after(rng)))
    }

    /// returns the part of a service's load that is admitted, from 0 to 1
    pub fn admitted(&self, service: &str) -> f64 {
        let state = self.lock();
        state
            .services
            .get(service)
            .map_or(1.0, |control| control.admitted)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Control {
    fn new() -> Control {
        Control {
            admitted: 1.0,
            offered: [0.0; PRIORITIES],
            errors: 0.0,
            calls: 0.0,
            window_end: None,
        }
    }

    /// counts an offered request and closes the window if it is over
    fn observe(&mut self, call: &Call<'_>, now: Instant) {
        let end = *self.window_end.get_or_insert(now + WINDOW);
        if now >= end {
            self.close(now.saturating_duration_since(end));
            self.window_end = Some(now + WINDOW);
        }
        let target = call.first_token.as_secs_f64() * WAIT_PART;
        let error = call.wait.as_secs_f64() / target.max(0.001) - 1.0;
        self.errors += error.min(ERROR_LARGEST);
        self.calls += 1.0;
        self.offered[place(call.priority)] += 1.0;
    }

    /// corrects the admitted part by the window's mean error
    fn close(&mut self, idle: Duration) {
        let error = self.errors / self.calls.max(1.0);
        let idle_windows = idle.as_secs_f64() / WINDOW.as_secs_f64();
        let factor = (-GAIN * error + GAIN * idle_windows).exp();
        self.admitted = (self.admitted * factor).clamp(ADMIT_LEAST, 1.0);
        self.errors = 0.0;
        self.calls = 0.0;
        for offered in &mut self.offered {
            *offered *= MIX_DECAY;
        }
    }

    /// returns the part of a priority's requests that is admitted
    fn admitted_part(&self, priority: u8) -> f64 {
        let place = place(priority);
        let all: f64 = self.offered.iter().sum();
        let above: f64 = self.offered[place + 1..].iter().sum();
        let own = self.offered[place];
        if own <= 0.0 {
            return 1.0;
        }
        ((self.admitted * all - above) / own).clamp(0.0, 1.0)
    }

    /// returns a jittered time to come back, longer the more is shed
    fn retry_after(&self, rng: &mut impl Rng) -> Duration {
        let longer = OVERLOAD_WAIT.mul_f64(1.0 / self.admitted);
        let wait = longer.min(OVERLOAD_WAIT_LONGEST);
        wait.mul_f64(rng.random_range(0.5..1.5))
    }
}

/// returns the longest wait with which a request is admitted
fn longest_wait(call: &Call<'_>) -> Duration {
    let rank = place(call.priority) as f64 / (PRIORITIES - 1) as f64;
    call.first_token
        .mul_f64(CUT_LOWEST + (CUT_HIGHEST - CUT_LOWEST) * rank)
}

fn place(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}
