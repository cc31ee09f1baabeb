//! Plans and acts while this daemon holds the lease.

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

use super::survey::Survey;
use super::tenure::Tenure;

/// mean time between two steps
const PERIOD: Duration = Duration::from_secs(2);
/// time in which notices of one wave are gathered
const GATHER: Duration = Duration::from_millis(100);
/// longest time of a notice by the cloud, seconds; a drain gives a VM more
const LONGEST_NOTICE_SECONDS: u64 = 150;
/// time that a drained VM gets beyond the longest request, seconds
const DRAIN_GRACE_SECONDS: u64 = 120;
/// time after which a drain is told again; VMs themselves don't know of it
const REPEAT: Duration = Duration::from_secs(45);
/// time after which a drained VM that is not listed is forgotten
const FORGET: Duration = Duration::from_secs(90);

/// a VM told to drain
#[derive(Debug, Clone, Copy)]
struct Drain {
    seconds: u64,
    since: Instant,
    told: Option<Instant>,
}

/// plans and acts
pub struct Planner {
    context: Arc<Context>,
    cloud: Client,
    tenure: Arc<Tenure>,
    notices: Receiver<Leaving>,
    term: Option<Memory>,
}

/// what is remembered within one term
struct Memory {
    fence: u64,
    autoscaler: Autoscaler,
    survey: Survey,
    drains: BTreeMap<String, Drain>,
}

impl Planner {
    /// starts to plan; `notices` are those that this daemon reads or hears
    ///
    /// # Errors
    /// When the thread can't be started.
    pub fn start(
        context: Arc<Context>,
        cloud: Client,
        tenure: Arc<Tenure>,
        notices: Receiver<Leaving>,
    ) -> std::io::Result<()> {
        let mut planner = Planner {
            context,
            cloud,
            tenure,
            notices,
            term: None,
        };
        let builder = thread::Builder::new().name("capacity".to_owned());
        builder.spawn(move || planner.run()).map(drop)
    }

    fn run(&mut self) {
        loop {
            self.renew_memory();
            if let Some(mut memory) = self.term.take() {
                self.step(&mut memory);
                self.term = Some(memory);
            }
            self.pause();
        }
    }

    /// keeps what is remembered only within one term
    fn renew_memory(&mut self) {
        let Some(term) = self.tenure.term(Instant::now()) else {
            self.term = None;
            return;
        };
        if self
            .term
            .as_ref()
            .is_some_and(|memory| memory.fence == term.fence)
        {
            return;
        }
        self.term = Some(Memory {
            fence: term.fence,
            autoscaler: Autoscaler::new(rand::random()),
            survey: Survey::default(),
            drains: BTreeMap::new(),
        });
    }

    /// waits for the next step, or for a notice
    fn pause(&mut self) {
        let wait = PERIOD.mul_f64(rand::rng().random_range(0.8..1.2));
        match self.notices.recv_timeout(wait) {
            Ok(leaving) => {
                thread::sleep(GATHER);
                self.hear(&leaving);
                while let Ok(leaving) = self.notices.try_recv() {
                    self.hear(&leaving);
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => thread::sleep(wait),
        }
    }

    fn hear(&mut self, leaving: &Leaving) {
        if leaving.seconds > LONGEST_NOTICE_SECONDS {
            return;
        }
        if let Some(memory) = &mut self.term {
            let seconds = u32::try_from(leaving.seconds).unwrap_or(u32::MAX);
            memory
                .autoscaler
                .record_notice(&leaving.vm, seconds, Instant::now());
        }
    }

    fn step(&self, memory: &mut Memory) {
        let snapshot = self.context.snapshot.load_full();
        if snapshot.revision == 0 {
            return;
        }
        let rows = self.steered(&snapshot);
        memory.survey.visit(&self.context, &self.tenure, &rows);
        let now = Instant::now();
        let input = Input {
            declaration: &snapshot.declaration,
            demand: &memory.survey.demand(&self.context, &rows),
            loads: &memory.survey.loads(&rows, now),
            store: self.tenure.store(),
        };
        let permit = || self.tenure.permits(Instant::now());
        match memory.autoscaler.step(&self.cloud, &permit, &input, now) {
            Ok(report) => {
                log(&report);
                for vm in report.drained {
                    memory.drains.insert(vm, drain(&snapshot, now));
                }
            }
            Err(error) => tracing::warn!(event = "capacity_not_planned", %error),
        }
        // an operator's drain, or one of a former holder, is kept up as well
        for row in rows.iter().filter(|row| row.draining) {
            let known = Drain {
                told: Some(now),
                ..drain(&snapshot, now)
            };
            memory.drains.entry(row.vm.name.clone()).or_insert(known);
        }
        self.tell_drains(&mut memory.drains, &rows);
    }

    /// the VMs of services that the preset in force steers
    fn steered(&self, snapshot: &Snapshot) -> Vec<Row> {
        let capacity = snapshot.preset().map(|preset| preset.capacity.as_slice());
        let steered = |service: &str| {
            let mut entries = capacity.unwrap_or_default().iter();
            entries.any(|entry| entry.service == service && !entry.hold)
        };
        let mut rows = self.context.vms.snapshot(Instant::now());
        rows.retain(|row| steered(&row.vm.service));
        rows
    }

    /// tells every daemon of drains, again from time to time
    fn tell_drains(&self, drains: &mut BTreeMap<String, Drain>, rows: &[Row]) {
        let now = Instant::now();
        let is_listed = |name: &str| rows.iter().any(|row| row.vm.name == name);
        drains.retain(|name, drain| is_listed(name) || now < drain.since + FORGET);
        for (name, drain) in drains {
            if drain.told.is_some_and(|told| now < told + REPEAT) {
                continue;
            }
            if !self.tenure.permits(Instant::now()) {
                return;
            }
            drain.told = Some(now);
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

/// a drain that lets the longest request finish
fn drain(snapshot: &Snapshot, now: Instant) -> Drain {
    let services = snapshot.declaration.services.iter();
    let longest = services.map(|service| service.deadline_ms).max();
    let seconds = longest.unwrap_or(0).div_ceil(1000) + DRAIN_GRACE_SECONDS;
    Drain {
        seconds: seconds.max(LONGEST_NOTICE_SECONDS + 1),
        since: now,
        told: None,
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
