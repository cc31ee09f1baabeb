//! State that the threads of one engine share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use schema::config::Fencing;
use schema::engine::{Load, Order};

use super::batch::Batch;
use super::control::Faults;
use super::options::Options;
use crate::RateLimiter;
use crate::http::Stop;

/// interval at which the step thread checks for faults and expired streams, also when idle
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// shared state; locks are acquired in the order of the fields, then that of a stream
#[derive(Debug)]
pub struct Shared {
    /// settings
    pub options: Options,
    /// stops all threads
    pub stop: Stop,
    /// rate limit of KV cache exports
    pub export_limiter: RateLimiter,
    faults: Mutex<Faults>,
    model_state: Mutex<ModelState>,
    load_report: Mutex<LoadReport>,
    batch: Mutex<Batch>,
    work_available: Condvar,
    freeze_epoch: AtomicU64,
}

/// desired state, and when its model is loaded
#[derive(Debug)]
struct ModelState {
    order: Order,
    ready_at: Instant,
}

/// last load report and the preemption notice, both published with a lag
#[derive(Debug, Default)]
struct LoadReport {
    notice_at: Option<Instant>,
    last: Option<(Instant, Load)>,
}

/// whether a completion can run with the model that is loaded
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// the model is loaded
    Ready,
    /// a model is being loaded
    Loading,
    /// another model is loaded
    OtherModel,
}

impl Shared {
    /// state of an idle engine
    pub fn new(options: Options, stop: Stop) -> Self {
        let model = options.model.clone();
        let role = "mixed".to_owned();
        let order = Order {
            fence: 0,
            model,
            adapter: String::new(),
            version: String::new(),
            role,
        };
        Self {
            stop,
            export_limiter: RateLimiter::new(options.kv_bytes_per_second),
            faults: Mutex::default(),
            model_state: Mutex::new(ModelState {
                order,
                ready_at: Instant::now(),
            }),
            load_report: Mutex::default(),
            batch: Mutex::new(Batch::new(&options)),
            work_available: Condvar::new(),
            freeze_epoch: AtomicU64::new(0),
            options,
        }
    }

    /// locks the batch
    pub fn batch(&self) -> MutexGuard<'_, Batch> {
        self.batch.lock().expect("batch lock poisoned")
    }

    /// wakes the step thread
    pub fn wake(&self) {
        self.work_available.notify_all();
    }

    /// locks the faults
    pub fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().expect("faults lock poisoned")
    }

    /// replaces all faults; `freeze` freezes the streams that are open at this moment
    pub fn set_faults(&self, faults: Faults) {
        if faults.freeze {
            self.freeze_epoch.fetch_add(1, Ordering::SeqCst);
        }
        *self.faults() = faults;
        self.wake();
    }

    /// number of freezes so far; a stream opened before the last one is frozen
    pub fn freeze_epoch(&self) -> u64 {
        self.freeze_epoch.load(Ordering::SeqCst)
    }

    /// records a preemption notice
    pub fn record_notice(&self) {
        let mut report = self.load_report.lock().expect("load report lock poisoned");
        report.notice_at.get_or_insert_with(Instant::now);
    }

    /// a load report that is at most `lag_ms` old
    pub fn load(&self) -> Load {
        let lag = Duration::from_millis(self.options.lag_ms);
        let mut report = self.load_report.lock().expect("load report lock poisoned");
        let mut load = match &report.last {
            Some((at, load)) if at.elapsed() < lag => load.clone(),
            _ => {
                let load = self.batch().load();
                report.last = Some((Instant::now(), load.clone()));
                load
            }
        };
        load.leaving = report.notice_at.is_some_and(|at| at.elapsed() >= lag);
        load
    }

    /// desired state
    pub fn order(&self) -> Order {
        self.model_state
            .lock()
            .expect("model state lock poisoned")
            .order
            .clone()
    }

    /// applies an order; false if its fencing token is outdated and fencing is checked
    pub fn apply_order(&self, order: &Order) -> bool {
        let mut state = self.model_state.lock().expect("model state lock poisoned");
        if self.options.fencing == Fencing::Checked && order.fence < state.order.fence {
            return false;
        }
        let current = &state.order;
        let same = current.model == order.model
            && current.adapter == order.adapter
            && current.version == order.version;
        if !same {
            state.ready_at = Instant::now() + Duration::from_millis(self.options.load_ms);
        }
        state.order = order.clone();
        true
    }

    /// whether a completion of `model` can run
    pub fn readiness(&self, model: &str) -> Readiness {
        let state = self.model_state.lock().expect("model state lock poisoned");
        if state.ready_at > Instant::now() {
            return Readiness::Loading;
        }
        if state.order.model.is_empty() || state.order.model == model {
            return Readiness::Ready;
        }
        Readiness::OtherModel
    }

    /// steps the batch until the engine stops
    pub fn run_steps(&self) {
        while !self.stop.is_set() {
            let stalled = self.faults().stall;
            let mut batch = self.batch();
            batch.remove_expired();
            if stalled || batch.is_idle() {
                drop(
                    self.work_available
                        .wait_timeout(batch, POLL_INTERVAL)
                        .expect("batch lock poisoned"),
                );
                continue;
            }
            drop(batch);
            self.run_interval();
        }
    }

    /// steps the batch for one poll interval, each step in its simulated duration
    fn run_interval(&self) {
        let mut due = Instant::now();
        let until = due + POLL_INTERVAL;
        while due < until {
            let mut batch = self.batch();
            let duration = batch.begin_step();
            if batch.is_idle() {
                return;
            }
            drop(batch);
            due += duration;
            if self
                .stop
                .wait_for(due.saturating_duration_since(Instant::now()))
            {
                return;
            }
            self.batch().finish_step();
        }
    }
}
