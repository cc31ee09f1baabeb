//! Carries the scheduled faults out, each with its end.

use std::collections::BTreeSet;
use std::io;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use schema::cloud::{Market, Start, State, Vm};
use schema::objects;
use standin::cloud::{self, Reclaim, Refusal, Registration};
use standin::{engine, proxy};

use super::facts::{Notice, Window};
use super::notes::{Notes, now};
use super::schedule::{Event, FaultKind};
use super::shape::{PEAK, Shape};
use super::watch::{engine_vms, set_engine};
use crate::poll_until;
use crate::world::{Daemon, World};

/// longest wait for a daemon that stops or starts
const PATIENCE: Duration = Duration::from_secs(30);

/// time after a reclaim until its VM can be started anew
const AFTER_RECLAIM: Duration = Duration::from_millis(300);

/// delay of a slow object API, milliseconds
const SLOW_MS: u64 = 300;

/// changes without an answer, percent
const LOST_PERCENT: u8 = 30;

/// reads that are stale
const STALE_READS: u32 = 20;

/// preset in force at the start
const ORDINARY: &str = "ordinary";

/// who carries faults out
#[derive(Debug)]
pub struct Injector<'a> {
    world: &'a World,
    notes: &'a Notes,
    shape: Shape,
    struck: Mutex<BTreeSet<usize>>,
}

impl<'a> Injector<'a> {
    /// faults for a world
    pub fn new(world: &'a World, notes: &'a Notes, shape: Shape) -> Self {
        Self {
            world,
            notes,
            shape,
            struck: Mutex::default(),
        }
    }

    /// lets a fault strike, waits it out and ends it
    pub fn run(&self, event: &Event) {
        let daemon = match event.kind {
            FaultKind::KillDaemon
            | FaultKind::FreezeDaemon
            | FaultKind::StopDaemon
            | FaultKind::ReclaimDaemon => match self.take_daemon(event.target) {
                Some(daemon) => Some(daemon),
                None => return println!("skipped: {} (too few daemons)", event.kind),
            },
            _ => None,
        };
        let from = now();
        let mut dead = from;
        println!("at {:>6.1} s: {}", event.at.as_secs_f64(), event.kind);
        let result = match daemon {
            Some(number) => self.strike_daemon(number, event, &mut dead),
            None => self.strike(event),
        };
        if let Err(error) = &result {
            println!("{}: {error}", event.kind);
        }
        if let Some(number) = daemon {
            self.struck.lock().expect("struck lock").remove(&number);
        }
        self.notes.facts().windows.push(Window {
            kind: event.kind,
            daemon,
            from,
            dead,
            to: now(),
            clean: result.is_ok(),
        });
    }

    /// chooses a daemon that is not struck yet, as long as half are left
    fn take_daemon(&self, target: usize) -> Option<usize> {
        let count = self.world.daemons().len();
        let mut struck = self.struck.lock().expect("struck lock");
        if struck.len() >= count / 2 {
            return None;
        }
        let mut numbers = (0..count).map(|number| (target + number) % count);
        let number = numbers.find(|number| !struck.contains(number))?;
        struck.insert(number);
        Some(number)
    }

    fn strike_daemon(&self, number: usize, event: &Event, dead: &mut u64) -> io::Result<()> {
        let daemon = &self.world.daemons()[number];
        match event.kind {
            FaultKind::FreezeDaemon => {
                daemon.pause()?;
                thread::sleep(event.length);
                return daemon.resume();
            }
            FaultKind::KillDaemon => {
                daemon.kill();
                *dead = now();
                thread::sleep(event.length);
            }
            FaultKind::StopDaemon => self.stop(daemon)?,
            _ => {
                self.world
                    .reclaim(daemon.vm(), event.length.as_secs() as u32);
                thread::sleep(event.length + AFTER_RECLAIM);
                self.wait_unlisted(daemon.vm())?;
                self.world.cloud().register(registration(daemon));
            }
        }
        daemon.start()?;
        daemon.wait_ready(PATIENCE)
    }

    /// a name is used again only after its former VM has left the list
    fn wait_unlisted(&self, vm: &str) -> io::Result<()> {
        let is_gone = || {
            let list = self.world.cloud().list().vms;
            (!list.iter().any(|listed| listed.name == vm)).then_some(())
        };
        let gone = poll_until(PATIENCE, is_gone);
        gone.ok_or_else(|| io::Error::other(format!("{vm} stays on the list")))
    }

    fn stop(&self, daemon: &Daemon) -> io::Result<()> {
        daemon.terminate()?;
        // The health check needs the daemon meanwhile.
        let ended = || daemon.with(|child| Ok(child.ended())).ok().flatten();
        match poll_until(PATIENCE, ended) {
            Some(status) if status.success() => Ok(()),
            other => Err(io::Error::other(format!("{} ended {other:?}", daemon.vm()))),
        }
    }

    fn strike(&self, event: &Event) -> io::Result<()> {
        match event.kind {
            FaultKind::ReclaimEngine => {
                let taken = self.reclaim(event, false);
                return self.replace(&taken);
            }
            FaultKind::ReclaimCentre => {
                let taken = self.reclaim(event, true);
                return self.replace(&taken);
            }
            FaultKind::SilentEngine | FaultKind::StallEngine => self.silence(event),
            FaultKind::CutPlatform => self.cut(event),
            FaultKind::RefuseStarts => return self.refuse_starts(event),
            FaultKind::RaceOperators => self.race(event),
            _ => return self.trouble_store(event),
        }
        Ok(())
    }

    /// the cloud takes an engine, or all of a data centre; capacity replaces them
    fn reclaim(&self, event: &Event, whole_centre: bool) -> Vec<Vm> {
        let seconds = event.length.as_secs() as u32;
        let mut engines = self.live_engines();
        let Some(first) = pick(&engines, event.target).cloned() else {
            return engines;
        };
        let of_centre = |vm: &Vm| whole_centre && vm.zone == first.zone;
        engines.retain(|vm| vm.name == first.name || of_centre(vm));
        for vm in &engines {
            let at = now();
            self.world.cloud().reclaim(&Reclaim {
                vm: vm.name.clone(),
                seconds,
                ..Reclaim::default()
            });
            self.notes.facts().notices.push(Notice {
                vm: vm.name.clone(),
                at,
                until: at + event.length.as_millis() as u64,
            });
        }
        thread::sleep(event.length);
        engines
    }

    /// starts a VM in place of each one that was taken
    fn replace(&self, taken: &[Vm]) -> io::Result<()> {
        for vm in taken {
            let start = Start {
                upstream: vm.upstream.clone(),
                zone: vm.zone.clone(),
                class: vm.class.clone(),
                market: vm.market,
            };
            let cloud = self.world.cloud().address();
            let url = format!("http://{cloud}/v1/vms/{}-next", vm.name);
            let sent = attohttpc::put(url)
                .json(&start)
                .and_then(attohttpc::RequestBuilder::send);
            let answer = sent.and_then(attohttpc::Response::error_for_status);
            answer.map_err(io::Error::other)?;
        }
        Ok(())
    }

    fn live_engines(&self) -> Vec<Vm> {
        let names = engine_vms(self.world, self.shape.model(), |state| state == State::Live);
        let mut vms = self.world.cloud().list().vms;
        vms.retain(|vm| names.contains(&vm.name));
        vms
    }

    fn silence(&self, event: &Event) {
        let engines = self.live_engines();
        let Some(vm) = pick(&engines, event.target) else {
            return;
        };
        let faults = engine::Faults {
            freeze: event.kind == FaultKind::SilentEngine,
            stall: event.kind == FaultKind::StallEngine,
            ..engine::Faults::default()
        };
        set_engine(self.world, &vm.name, faults);
        thread::sleep(event.length);
        set_engine(self.world, &vm.name, engine::Faults::default());
    }

    fn cut(&self, event: &Event) {
        let daemons = self.world.daemons();
        let centre = &daemons[event.target % daemons.len()].settings.data_centre;
        let link = self.world.network().platform_link(centre);
        link.set_faults(proxy::Faults {
            cut: true,
            ..proxy::Faults::default()
        });
        thread::sleep(event.length);
        link.set_faults(proxy::Faults::default());
    }

    fn refuse_starts(&self, event: &Event) -> io::Result<()> {
        // Starts matter only while a VM has to be replaced.
        let refuse = vec![Refusal::default()];
        self.world.cloud().set_faults(cloud::Faults {
            refuse,
            ..cloud::Faults::default()
        });
        let taken = self.reclaim(event, false);
        self.world.cloud().set_faults(cloud::Faults::default());
        self.replace(&taken)
    }

    /// three operators change the configuration until the time is over
    fn race(&self, event: &Event) {
        let until = Instant::now() + event.length;
        thread::scope(|scope| {
            for preset in [PEAK, ORDINARY] {
                scope.spawn(move || {
                    while Instant::now() < until {
                        let change = self.world.operator().run(&["preset", "use", preset]);
                        self.count(change.is_ok());
                    }
                });
            }
            let mut declaration = self.world.declaration().clone();
            while Instant::now() < until {
                for service in &mut declaration.services {
                    service.deadline_ms += 1;
                }
                self.count(self.world.operator().apply(&declaration).is_ok());
            }
        });
    }

    fn count(&self, accepted: bool) {
        self.notes.facts().settlement.changes += u32::from(accepted);
    }

    fn trouble_store(&self, event: &Event) -> io::Result<()> {
        let mut strike = no_change();
        let mut end = no_change();
        match event.kind {
            FaultKind::StoreSlow => {
                strike.delay_ms = Some(SLOW_MS);
                end.delay_ms = Some(0);
            }
            FaultKind::StoreLost => {
                strike.lose_percent = Some(LOST_PERCENT);
                strike.seed = Some(event.target as u64);
                end.lose_percent = Some(0);
            }
            FaultKind::StoreStale => {
                strike.stale_reads = Some(STALE_READS);
                end.stale_reads = Some(0);
            }
            FaultKind::StoreSilent => {
                strike.silent_watches = Some(true);
                end.silent_watches = Some(false);
            }
            _ => {
                strike.outage = Some(true);
                end.outage = Some(false);
            }
        }
        self.set_store(&strike)?;
        thread::sleep(event.length);
        self.set_store(&end)
    }

    fn set_store(&self, faults: &objects::Faults) -> io::Result<()> {
        let url = format!("http://{}/control/faults", self.world.objects());
        let sent = attohttpc::post(url)
            .json(faults)
            .and_then(attohttpc::RequestBuilder::send);
        let answer = sent.and_then(attohttpc::Response::error_for_status);
        answer.map(drop).map_err(io::Error::other)
    }
}

fn pick<T>(of: &[T], target: usize) -> Option<&T> {
    of.get(target % of.len().max(1))
}

fn registration(daemon: &Daemon) -> Registration {
    let settings = &daemon.settings;
    let vm = Vm {
        name: settings.vm.clone(),
        upstream: String::new(),
        zone: format!("{}-1", settings.data_centre),
        class: "bench".to_owned(),
        market: Market::Reclaimable,
        state: State::Live,
        address: daemon.control.to_string(),
        seconds_left: None,
    };
    Registration {
        vm,
        forward_notice: false,
    }
}

fn no_change() -> objects::Faults {
    objects::Faults {
        outage: None,
        delay_ms: None,
        lose_answers: None,
        lose_percent: None,
        seed: None,
        silent_watches: None,
        stale_reads: None,
    }
}
