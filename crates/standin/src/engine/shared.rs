//! What the threads of one engine share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use schema::config::Fencing;
use schema::engine::{Load, Order};

use super::batch::Batch;
use super::control::Faults;
use super::options::Options;
use crate::Pace;
use crate::http::Stop;

/// pause of the step thread when there is nothing to do
const IDLE_POLL: Duration = Duration::from_millis(100);

/// shared state; locks are taken in the order of the fields, one stream's last
#[derive(Debug)]
pub struct Shared {
    /// settings
    pub options: Options,
    /// ends all threads
    pub stop: Stop,
    /// rate of KV exports
    pub pace: Pace,
    faults: Mutex<Faults>,
    orders: Mutex<Orders>,
    report: Mutex<Report>,
    batch: Mutex<Batch>,
    work: Condvar,
    epoch: AtomicU64,
}

#[derive(Debug)]
struct Orders {
    order: Order,
    ready_at: Instant,
}

#[derive(Debug, Default)]
struct Report {
    noticed_at: Option<Instant>,
    taken: Option<(Instant, Load)>,
}

/// what loading state says about a completion
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// the model is loaded
    Ready,
    /// some model is being loaded
    Loading,
    /// another model is loaded
    OtherModel,
}

impl Shared {
    /// state of an idle engine
    pub fn new(options: Options, stop: Stop) -> Self {
        let model = options.model.clone();
        let mixed = "mixed".to_owned();
        let order = Order {
            fence: 0,
            model,
            adapter: String::new(),
            version: String::new(),
            role: mixed,
        };
        Self {
            stop,
            pace: Pace::new(options.kv_bytes_per_second),
            faults: Mutex::default(),
            orders: Mutex::new(Orders {
                order,
                ready_at: Instant::now(),
            }),
            report: Mutex::default(),
            batch: Mutex::new(Batch::new(&options)),
            work: Condvar::new(),
            epoch: AtomicU64::new(0),
            options,
        }
    }

    /// the batch, locked
    pub fn batch(&self) -> MutexGuard<'_, Batch> {
        self.batch.lock().expect("batch lock")
    }

    /// wakes the step thread
    pub fn wake(&self) {
        self.work.notify_all();
    }

    /// the faults, locked
    pub fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().expect("faults lock")
    }

    /// replaces the faults; a freeze silences the connections open now
    pub fn set_faults(&self, faults: Faults) {
        if faults.freeze {
            self.epoch.fetch_add(1, Ordering::SeqCst);
        }
        *self.faults() = faults;
        self.wake();
    }

    /// number of freezes so far
    pub fn epoch(&self) -> u64 {
        self.epoch.load(Ordering::SeqCst)
    }

    /// notes a reclaim notice
    pub fn notice(&self) {
        let mut report = self.report.lock().expect("report lock");
        report.noticed_at.get_or_insert_with(Instant::now);
    }

    /// a load report up to `lag_ms` old
    pub fn load(&self) -> Load {
        let lag = Duration::from_millis(self.options.lag_ms);
        let mut report = self.report.lock().expect("report lock");
        let mut load = match &report.taken {
            Some((at, load)) if at.elapsed() < lag => load.clone(),
            _ => {
                let load = self.batch().load();
                report.taken = Some((Instant::now(), load.clone()));
                load
            }
        };
        load.leaving = report.noticed_at.is_some_and(|at| at.elapsed() >= lag);
        load
    }

    /// the wanted state
    pub fn order(&self) -> Order {
        self.orders.lock().expect("orders lock").order.clone()
    }

    /// takes an order; false if its fencing number is old and that is checked
    pub fn take_order(&self, order: &Order) -> bool {
        let mut orders = self.orders.lock().expect("orders lock");
        if self.options.fencing == Fencing::Checked && order.fence < orders.order.fence {
            return false;
        }
        let before = &orders.order;
        let same = before.model == order.model
            && before.adapter == order.adapter
            && before.version == order.version;
        if !same {
            orders.ready_at = Instant::now() + Duration::from_millis(self.options.load_ms);
        }
        orders.order = order.clone();
        true
    }

    /// whether a completion of `model` can run
    pub fn readiness(&self, model: &str) -> Readiness {
        let orders = self.orders.lock().expect("orders lock");
        if orders.ready_at > Instant::now() {
            return Readiness::Loading;
        }
        if orders.order.model.is_empty() || orders.order.model == model {
            return Readiness::Ready;
        }
        Readiness::OtherModel
    }

    /// steps the batch until the stop
    pub fn run_steps(&self) {
        while !self.stop.is_set() {
            let stalled = self.faults().stall;
            let mut batch = self.batch();
            batch.forget();
            if stalled || batch.is_idle() {
                drop(
                    self.work
                        .wait_timeout(batch, IDLE_POLL)
                        .expect("batch lock"),
                );
                continue;
            }
            drop(batch);
            self.run_busy();
        }
    }

    /// steps for a while, at the pace of the steps' times
    fn run_busy(&self) {
        let mut due = Instant::now();
        let until = due + IDLE_POLL;
        while due < until {
            let mut batch = self.batch();
            let time = batch.begin();
            if batch.is_idle() {
                return;
            }
            drop(batch);
            due += time;
            if self
                .stop
                .wait_for(due.saturating_duration_since(Instant::now()))
            {
                return;
            }
            self.batch().finish();
        }
    }
}
