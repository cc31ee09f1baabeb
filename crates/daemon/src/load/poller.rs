//! Polling of the VMs that fall to this daemon.

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

/// threads that poll, so that one silent VM holds up few others
const THREADS: usize = 4;
/// VMs that wait to be polled
const WAITING: usize = 256;

/// time after which it is told again that a VM says it is leaving
const REPEAT: Duration = Duration::from_secs(30);

/// polls upstream VMs
pub struct Poller {
    context: Arc<Context>,
    since: Mutex<HashMap<String, u64>>,
    told: Mutex<HashMap<String, Instant>>,
}

impl Poller {
    /// starts to poll with a period
    ///
    /// # Errors
    /// When a thread can't be started.
    pub fn start(context: &Arc<Context>, period: Duration) -> std::io::Result<()> {
        let (sender, receiver) = bounded(WAITING);
        let poller = Arc::new(Poller {
            context: Arc::clone(context),
            since: Mutex::default(),
            told: Mutex::default(),
        });
        for number in 0..THREADS {
            let poller = Arc::clone(&poller);
            let receiver = receiver.clone();
            let builder = thread::Builder::new().name(format!("poll-{number}"));
            builder.spawn(move || poller.work(&receiver))?;
        }
        let builder = thread::Builder::new().name("poll".to_owned());
        builder
            .spawn(move || poller.plan(&sender, period))
            .map(drop)
    }

    /// the model VMs of this data centre that fall to this daemon
    pub fn mine(context: &Context) -> Vec<Vm> {
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

    fn plan(&self, vms: &Sender<Vm>, period: Duration) {
        loop {
            for vm in Poller::mine(&self.context) {
                if vms.try_send(vm).is_err() {
                    tracing::warn!(event = "polling_behind");
                    break;
                }
            }
            thread::sleep(period);
        }
    }

    fn work(&self, vms: &Receiver<Vm>) {
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
                    self.tell(&vm.name, now);
                }
            }
            Err(error) => {
                tracing::debug!(event = "poll_failed", vm = vm.name, %error);
                return;
            }
        }
        let since = self.since(&vm.name);
        if let Ok(events) = self.context.engines.cache_events(&vm.address, since) {
            self.context.vms.apply_cache_events(&vm.name, &events);
            self.note(&vm.name, events.next);
        }
    }

    /// tells the other daemons, who do not poll this VM
    fn tell(&self, vm: &str, now: Instant) {
        let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        let is_recent = told.get(vm).is_some_and(|at| now < *at + REPEAT);
        if is_recent {
            return;
        }
        told.retain(|_, at| now < *at + REPEAT);
        told.insert(vm.to_owned(), now);
        drop(told);
        let seconds = self.context.migration.time_left(vm, now).as_secs();
        let vm = vm.to_owned();
        tracing::info!(event = "upstream_leaving", vm, seconds);
        let leaving = Leaving { vm, seconds };
        self.context.node.publish(Fact::Leaving(leaving));
    }

    fn since(&self, vm: &str) -> u64 {
        let since = self.since.lock().unwrap_or_else(PoisonError::into_inner);
        since.get(vm).copied().unwrap_or(0)
    }

    fn note(&self, vm: &str, next: u64) {
        let mut since = self.since.lock().unwrap_or_else(PoisonError::into_inner);
        since.insert(vm.to_owned(), next);
    }
}
