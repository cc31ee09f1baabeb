//! Admission before queueing.
//!
//! A request is refused at once if its estimated wait exceeds its deadline, or a fraction
//! of the first-token target that grows with its priority. In addition, a service sheds a
//! fraction of its load to keep room for higher priorities. Once per window, that fraction
//! is adjusted by comparing the mean estimated wait with a smaller fraction of the target.
//! Load is shed from the lowest priorities first, according to the recently offered mix of
//! priorities. Requests of the one priority that is shed in part are admitted at random.

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

/// length of a control window
const WINDOW: Duration = Duration::from_millis(100);

/// set point of the mean wait, as a fraction of the first-token target
const TARGET_WAIT_FRACTION: f64 = 0.2;

/// longest wait at the lowest priority, as a fraction of the first-token target
const MAX_WAIT_FRACTION_LOWEST: f64 = 0.3;

/// longest wait at the highest priority, as a fraction of the first-token target
const MAX_WAIT_FRACTION_HIGHEST: f64 = 0.8;

/// gain of the correction applied in one window
const GAIN: f64 = 0.02;

/// largest error counted for one request, in multiples of the set point
const MAX_ERROR: f64 = 3.0;

/// smallest fraction of the load that is admitted
const MIN_ADMITTED_FRACTION: f64 = 0.02;

/// factor applied to the offered counts at the end of each window
const MIX_DECAY: f64 = 0.9;

/// retry delay on overload when no load is shed, before jitter
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// longest retry delay on overload, before jitter
const MAX_OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(5);

/// retry delay when the preset does not admit the priority
const PRESET_RETRY_AFTER: Duration = Duration::from_secs(30);

/// a request to admit
#[apply(value!)]
pub struct Request<'a> {
    /// name of the service
    pub service: &'a str,
    /// 0 is refused first, 9 last
    pub priority: u8,
    /// estimated wait before its prefill starts
    pub wait: Duration,
    /// target for the first token
    pub first_token: Duration,
    /// time left until its deadline
    pub deadline: Duration,
}

/// admission controller of a daemon
#[derive(Debug, Default)]
pub struct Controller {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    admit_priority: u8,
    services: HashMap<String, ServiceController>,
}

/// admission controller of one service
#[apply(data!)]
struct ServiceController {
    admitted_fraction: f64,
    offered: [f64; PRIORITIES],
    error_sum: f64,
    samples: f64,
    window_end: Option<Instant>,
}

impl Controller {
    /// returns a controller that admits all priorities
    pub fn new() -> Controller {
        Controller::default()
    }

    /// applies the active preset and drops the state of undeclared services
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
    pub fn admit(
        &self,
        request: &Request<'_>,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Result<(), Refusal> {
        let mut state = self.lock();
        if request.priority < state.admit_priority {
            return Err(Refusal::after(Reason::Preset, PRESET_RETRY_AFTER));
        }
        if !state.services.contains_key(request.service) {
            state
                .services
                .insert(request.service.to_owned(), ServiceController::new());
        }
        let Some(controller) = state.services.get_mut(request.service) else {
            return Ok(());
        };
        controller.record(request, now);
        if request.wait >= request.deadline {
            return Err(Refusal::after(Reason::Deadline, request.wait));
        }
        let is_drawn = rng.random::<f64>() < controller.admit_probability(request.priority);
        if is_drawn && request.wait <= max_wait(request) {
            return Ok(());
        }
        Err(Refusal::after(
            Reason::Overload,
            controller.retry_after(rng),
        ))
    }

    /// returns the fraction of a service's load that is admitted, from 0 to 1
    pub fn admitted_fraction(&self, service: &str) -> f64 {
        let state = self.lock();
        state
            .services
            .get(service)
            .map_or(1.0, |controller| controller.admitted_fraction)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServiceController {
    fn new() -> ServiceController {
        ServiceController {
            admitted_fraction: 1.0,
            offered: [0.0; PRIORITIES],
            error_sum: 0.0,
            samples: 0.0,
            window_end: None,
        }
    }

    /// records an offered request and ends the window if it is over
    fn record(&mut self, request: &Request<'_>, now: Instant) {
        let end = *self.window_end.get_or_insert(now + WINDOW);
        if now >= end {
            self.end_window(now.saturating_duration_since(end));
            self.window_end = Some(now + WINDOW);
        }
        let target = request.first_token.as_secs_f64() * TARGET_WAIT_FRACTION;
        let error = request.wait.as_secs_f64() / target.max(0.001) - 1.0;
        self.error_sum += error.min(MAX_ERROR);
        self.samples += 1.0;
        self.offered[priority_index(request.priority)] += 1.0;
    }

    /// corrects the admitted fraction by the window's mean error, and raises it for idle time
    fn end_window(&mut self, idle: Duration) {
        let error = self.error_sum / self.samples.max(1.0);
        let idle_windows = idle.as_secs_f64() / WINDOW.as_secs_f64();
        let factor = (-GAIN * error + GAIN * idle_windows).exp();
        self.admitted_fraction =
            (self.admitted_fraction * factor).clamp(MIN_ADMITTED_FRACTION, 1.0);
        self.error_sum = 0.0;
        self.samples = 0.0;
        for offered in &mut self.offered {
            *offered *= MIX_DECAY;
        }
    }

    /// returns the probability with which a request of this priority is admitted
    fn admit_probability(&self, priority: u8) -> f64 {
        let index = priority_index(priority);
        let all: f64 = self.offered.iter().sum();
        let above: f64 = self.offered[index + 1..].iter().sum();
        let offered = self.offered[index];
        if offered <= 0.0 {
            return 1.0;
        }
        ((self.admitted_fraction * all - above) / offered).clamp(0.0, 1.0)
    }

    /// returns a jittered retry delay, which grows with the fraction shed
    fn retry_after(&self, rng: &mut impl Rng) -> Duration {
        let scaled = OVERLOAD_RETRY_AFTER.mul_f64(1.0 / self.admitted_fraction);
        let wait = scaled.min(MAX_OVERLOAD_RETRY_AFTER);
        wait.mul_f64(rng.random_range(0.5..1.5))
    }
}

/// returns the longest estimated wait with which a request is admitted
fn max_wait(request: &Request<'_>) -> Duration {
    let rank = priority_index(request.priority) as f64 / (PRIORITIES - 1) as f64;
    request.first_token.mul_f64(
        MAX_WAIT_FRACTION_LOWEST + (MAX_WAIT_FRACTION_HIGHEST - MAX_WAIT_FRACTION_LOWEST) * rank,
    )
}

fn priority_index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}
