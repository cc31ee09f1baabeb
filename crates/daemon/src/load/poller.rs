//! Polls the VMs that are assigned to this daemon.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use entry::Context;
use route::table::Vm;
use schema::config::Kind;
use schema::member::{Fact, Leaving};
use tokio::time::Instant;

/// polling threads; several, so that one unresponsive VM delays few others
const THREADS: usize = 4;
/// capacity of the queue of VMs to poll
const QUEUE_CAPACITY: usize = 256;

/// interval at which a VM that reports to be draining is published again
const DRAIN_REPEAT_INTERVAL: Duration = Duration::from_secs(30);

/// poller of upstream VMs
pub struct Poller {
    context: Arc<Context>,
    /// next cache event to read, by VM
    cursors: Mutex<HashMap<String, u64>>,
    /// time of the last publication of a drain, by VM
    published: Mutex<HashMap<String, Instant>>,
}

impl Poller {
    /// starts the threads; each VM is polled once in a period
    ///
    /// # Errors
    /// When a thread can't be started.
    pub fn start(context: &Arc<Context>, period: Duration) -> std::io::Result<()> {
        let (sender, receiver) = bounded(QUEUE_CAPACITY);
        let poller = Arc::new(Poller {
            context: Arc::clone(context),
            cursors: Mutex::default(),
            published: Mutex::default(),
        });
        for number in 0..THREADS {
            let poller = Arc::clone(&poller);
            let receiver = receiver.clone();
            let builder = thread::Builder::new().name(format!("poll-{number}"));
            builder.spawn(move || poller.poll_queued(&receiver))?;
        }
        let builder = thread::Builder::new().name("poll".to_owned());
        builder
            .spawn(move || poller.enqueue(&sender, period))
            .map(drop)
    }

    /// the model VMs of this data centre that this daemon polls
    pub fn assigned(context: &Context) -> Vec<Vm> {
        let snapshot = context.snapshot.load();
        let me = context.node.me();
        let rows = context.vms.snapshot(Instant::now());
        let mut vms: Vec<Vm> = rows.into_iter().map(|row| row.vm).collect();
        vms.retain(|vm| {
            let service = snapshot.service(&vm.service);
            vm.data_centre == me.data_centre
                && service.is_some_and(|service| service.kind == Kind::Model)
                && context.node.holds_duty(&format!("poll/{}", vm.name), 1)
        });
        vms
    }

    fn enqueue(&self, vms: &Sender<Vm>, period: Duration) {
        loop {
            for vm in Poller::assigned(&self.context) {
                if vms.try_send(vm).is_err() {
                    tracing::warn!(event = "polling_behind");
                    break;
                }
            }
            thread::sleep(period);
        }
    }

    fn poll_queued(&self, vms: &Receiver<Vm>) {
        for vm in vms {
            self.poll(&vm);
        }
    }

    fn poll(&self, vm: &Vm) {
        match self.context.engines.load(&vm.address) {
            Ok(load) => {
                let now = Instant::now();
                self.context.vms.apply_report(&vm.name, &load, now);
                if load.leaving {
                    self.publish_drain(&vm.name, now);
                }
            }
            Err(error) => {
                tracing::debug!(event = "poll_failed", vm = vm.name, %error);
                return;
            }
        }
        let cursor = self.cursor(&vm.name);
        if let Ok(events) = self.context.engines.cache_events(&vm.address, cursor) {
            self.context.vms.apply_cache_events(&vm.name, &events);
            self.set_cursor(&vm.name, events.next);
        }
    }

    /// publishes a drain to the other daemons, which do not poll this VM
    fn publish_drain(&self, vm: &str, now: Instant) {
        let mut published = self
            .published
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let is_recent = published
            .get(vm)
            .is_some_and(|at| now < *at + DRAIN_REPEAT_INTERVAL);
        if is_recent {
            return;
        }
        published.retain(|_, at| now < *at + DRAIN_REPEAT_INTERVAL);
        published.insert(vm.to_owned(), now);
        drop(published);
        let seconds = self.context.migration.time_left(vm, now).as_secs();
        let vm = vm.to_owned();
        tracing::info!(event = "upstream_leaving", vm, seconds);
        let leaving = Leaving { vm, seconds };
        self.context.node.publish(Fact::Leaving(leaving));
    }

    fn cursor(&self, vm: &str) -> u64 {
        let cursors = self.cursors.lock().unwrap_or_else(PoisonError::into_inner);
        cursors.get(vm).copied().unwrap_or(0)
    }

    fn set_cursor(&self, vm: &str, next: u64) {
        let mut cursors = self.cursors.lock().unwrap_or_else(PoisonError::into_inner);
        cursors.insert(vm.to_owned(), next);
    }
}
