//! Plans capacity and carries the plan out while this daemon holds the lease.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError};
use entry::{Context, Snapshot};
use fleet::cloud::Client;
use fleet::{Autoscaler, Input, Report};
use rand::Rng;
use route::table::Row;
use schema::member::{Fact, Leaving};
use tokio::time::Instant;

use super::leadership::Leadership;
use super::monitor::Monitor;

/// mean interval between two steps
const PERIOD: Duration = Duration::from_secs(2);
/// time in which the notices of one reclaim wave are collected
const NOTICE_BATCH_DELAY: Duration = Duration::from_millis(100);
/// longest lead of a preemption notice; a drain gives a VM more time
const MAX_NOTICE_SECONDS: u64 = 150;
/// time that a drained VM gets beyond the longest request
const DRAIN_GRACE_SECONDS: u64 = 120;
/// interval at which a drain is published again; the VM itself doesn't report it
const DRAIN_REPEAT_INTERVAL: Duration = Duration::from_secs(45);
/// retention of a drain whose VM is not listed
const UNLISTED_DRAIN_RETENTION: Duration = Duration::from_secs(90);

/// a VM being drained
#[derive(Debug, Clone, Copy)]
struct Drain {
    seconds: u64,
    started: Instant,
    published_at: Option<Instant>,
}

/// planner thread of this daemon
pub struct Planner {
    context: Arc<Context>,
    cloud: Client,
    leadership: Arc<Leadership>,
    notices: Receiver<Leaving>,
    state: Option<TermState>,
}

/// state of one term as holder; a new term starts empty
struct TermState {
    fence: u64,
    autoscaler: Autoscaler,
    monitor: Monitor,
    drains: BTreeMap<String, Drain>,
}

impl Planner {
    /// starts the thread; `notices` are those that this daemon reads or receives
    ///
    /// # Errors
    /// When the thread can't be started.
    pub fn start(
        context: Arc<Context>,
        cloud: Client,
        leadership: Arc<Leadership>,
        notices: Receiver<Leaving>,
    ) -> std::io::Result<()> {
        let mut planner = Planner {
            context,
            cloud,
            leadership,
            notices,
            state: None,
        };
        let builder = thread::Builder::new().name("capacity".to_owned());
        builder.spawn(move || planner.run()).map(drop)
    }

    fn run(&mut self) {
        loop {
            self.refresh_state();
            if let Some(mut state) = self.state.take() {
                self.step(&mut state);
                self.state = Some(state);
            }
            self.pause();
        }
    }

    /// drops the state of an earlier term
    fn refresh_state(&mut self) {
        let Some(term) = self.leadership.term(Instant::now()) else {
            self.state = None;
            return;
        };
        if self
            .state
            .as_ref()
            .is_some_and(|state| state.fence == term.fence)
        {
            return;
        }
        self.state = Some(TermState {
            fence: term.fence,
            autoscaler: Autoscaler::new(rand::random()),
            monitor: Monitor::default(),
            drains: BTreeMap::new(),
        });
    }

    /// waits for the next step, or for a notice
    fn pause(&mut self) {
        let wait = PERIOD.mul_f64(rand::rng().random_range(0.8..1.2));
        match self.notices.recv_timeout(wait) {
            Ok(leaving) => {
                thread::sleep(NOTICE_BATCH_DELAY);
                self.record_notice(&leaving);
                while let Ok(leaving) = self.notices.try_recv() {
                    self.record_notice(&leaving);
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => thread::sleep(wait),
        }
    }

    fn record_notice(&mut self, leaving: &Leaving) {
        if leaving.seconds > MAX_NOTICE_SECONDS {
            return;
        }
        if let Some(state) = &mut self.state {
            let seconds = u32::try_from(leaving.seconds).unwrap_or(u32::MAX);
            state
                .autoscaler
                .record_notice(&leaving.vm, seconds, Instant::now());
        }
    }

    fn step(&self, state: &mut TermState) {
        let snapshot = self.context.snapshot.load_full();
        if snapshot.revision == 0 {
            return;
        }
        let rows = self.managed(&snapshot);
        state.monitor.poll(&self.context, &self.leadership, &rows);
        let now = Instant::now();
        let input = Input {
            declaration: &snapshot.declaration,
            demand: &state.monitor.demand(&self.context, &rows),
            loads: &state.monitor.loads(&rows, now),
            store: self.leadership.store_status(),
        };
        let permit = || self.leadership.may_order(Instant::now());
        match state.autoscaler.step(&self.cloud, &permit, &input, now) {
            Ok(report) => {
                log(&report);
                for vm in report.drained {
                    state.drains.insert(vm, drain(&snapshot, now));
                }
            }
            Err(error) => tracing::warn!(event = "capacity_not_planned", %error),
        }
        // drains by an operator or by an earlier holder are published again as well
        for row in rows.iter().filter(|row| row.draining) {
            let published = Drain {
                published_at: Some(now),
                ..drain(&snapshot, now)
            };
            state.drains.entry(row.vm.name.clone()).or_insert(published);
        }
        self.publish_drains(&mut state.drains, &rows);
    }

    /// the VMs of services whose capacity the active preset manages
    fn managed(&self, snapshot: &Snapshot) -> Vec<Row> {
        let capacity = snapshot.preset().map(|preset| preset.capacity.as_slice());
        let managed = |service: &str| {
            let mut entries = capacity.unwrap_or_default().iter();
            entries.any(|entry| entry.service == service && !entry.hold)
        };
        let mut rows = self.context.vms.snapshot(Instant::now());
        rows.retain(|row| managed(&row.vm.service));
        rows
    }

    /// publishes drains to all daemons, repeated at an interval
    fn publish_drains(&self, drains: &mut BTreeMap<String, Drain>, rows: &[Row]) {
        let now = Instant::now();
        let is_listed = |name: &str| rows.iter().any(|row| row.vm.name == name);
        drains.retain(|name, drain| {
            is_listed(name) || now < drain.started + UNLISTED_DRAIN_RETENTION
        });
        for (name, drain) in drains {
            if drain
                .published_at
                .is_some_and(|at| now < at + DRAIN_REPEAT_INTERVAL)
            {
                continue;
            }
            if !self.leadership.may_order(Instant::now()) {
                return;
            }
            drain.published_at = Some(now);
            let until = now + Duration::from_secs(drain.seconds);
            self.context.migration.record_notice(name, until, now);
            self.context.vms.start_drain(name, until);
            self.context.node.publish(Fact::Leaving(Leaving {
                vm: name.clone(),
                seconds: drain.seconds,
            }));
        }
    }
}

/// drain that lets the longest request finish
fn drain(snapshot: &Snapshot, now: Instant) -> Drain {
    let services = snapshot.declaration.services.iter();
    let longest = services.map(|service| service.deadline_ms).max();
    let seconds = longest.unwrap_or(0).div_ceil(1000) + DRAIN_GRACE_SECONDS;
    Drain {
        seconds: seconds.max(MAX_NOTICE_SECONDS + 1),
        started: now,
        published_at: None,
    }
}

fn log(report: &Report) {
    for vm in &report.started {
        tracing::info!(event = "vm_started", vm);
    }
    for vm in &report.refused {
        tracing::info!(event = "vm_refused", vm);
    }
    for vm in &report.drained {
        tracing::info!(event = "vm_drained", vm);
    }
    for vm in &report.removed {
        tracing::info!(event = "vm_removed", vm);
    }
    for failure in &report.failed {
        tracing::warn!(event = "vm_call_failed", vm = failure.vm, error = %failure.error);
    }
    if report.is_stopped {
        tracing::warn!(event = "capacity_stopped");
    }
}
