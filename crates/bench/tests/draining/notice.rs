//! Notices that only some daemons can read.

use std::thread;
use std::time::Duration;

use bench::eventually;
use standin::proxy;

use super::harness::Scenarios;
use super::load::Load;
use super::{Fixture, NO_NEW_WORK_AFTER, OBSERVED_FOR, WITHOUT_VMS, wall_ms};

/// notice time of a reclaim; no VM is terminated before the end of the test
const NOTICE_SECONDS: u32 = 600;

/// limit for a VM to be in use, so that the end of new work can be observed
const USED_WITHIN: Duration = Duration::from_secs(10);

/// all daemons
const ALL: [usize; 3] = [0, 1, 2];

/// an upstream VM by the index of its stand-in
#[derive(Clone, Copy)]
enum Vm {
    Engine(usize),
    Plain(usize),
}

pub fn run_all(scenarios: &mut Scenarios, fixture: &Fixture) {
    scenarios.run("an engine reports its notice in its load report", || {
        Load::during(fixture, &ALL, || {
            let engine = &fixture.world.engines()[0];
            assert_drains(fixture, &[Vm::Engine(0)], || {
                engine
                    .notice(f64::from(NOTICE_SECONDS))
                    .expect("send the notice");
            });
        });
    });
    scenarios.run("only one data centre reads the cloud's notice", || {
        let link = fixture.world.network().platform_link(WITHOUT_VMS);
        link.set_faults(proxy::Faults {
            cut: true,
            ..proxy::Faults::default()
        });
        Load::during(fixture, &ALL, || {
            assert_drains(fixture, &[Vm::Plain(0)], || {
                fixture
                    .world
                    .reclaim(&name(fixture, Vm::Plain(0)), NOTICE_SECONDS);
            });
        });
        link.set_faults(proxy::Faults::default());
    });
    run_more(scenarios, fixture);
}

fn run_more(scenarios: &mut Scenarios, fixture: &Fixture) {
    scenarios.run("one daemon of that data centre is paused", || {
        let paused = &fixture.world.daemons()[0];
        paused.pause().expect("pause the daemon");
        Load::during(fixture, &[1, 2], || {
            assert_drains(fixture, &[Vm::Plain(1)], || {
                fixture
                    .world
                    .reclaim(&name(fixture, Vm::Plain(1)), NOTICE_SECONDS);
            });
        });
        paused.resume().expect("resume the daemon");
        // It receives the updates it missed, and the lagging VM list does not undo them.
        Load::during(fixture, &ALL, || {
            thread::sleep(NO_NEW_WORK_AFTER);
            assert_no_new_work(fixture, &[Vm::Engine(0), Vm::Plain(0), Vm::Plain(1)]);
        });
    });
    scenarios.run("an operator drains two VMs", || {
        Load::during(fixture, &ALL, || {
            let vms = [Vm::Engine(1), Vm::Plain(2)];
            assert_drains(fixture, &vms, || {
                for vm in vms {
                    let drained = fixture.world.operator().run(&["drain", &name(fixture, vm)]);
                    drained.expect("drain must be accepted");
                }
            });
        });
    });
    scenarios.run(
        "the cloud reclaims an engine, and the VM list catches up",
        || {
            Load::during(fixture, &ALL, || {
                assert_drains(fixture, &[Vm::Engine(2)], || {
                    fixture
                        .world
                        .reclaim(&name(fixture, Vm::Engine(2)), NOTICE_SECONDS);
                });
            });
            Load::during(fixture, &ALL, || {
                let drained = [0, 1, 2].map(Vm::Engine);
                assert_no_new_work(fixture, &drained);
                assert_no_new_work(fixture, &[0, 1, 2].map(Vm::Plain));
            });
        },
    );
}

/// waits until the VMs are in use, gives notice and fails if they get new work after the limit
fn assert_drains(fixture: &Fixture, vms: &[Vm], give_notice: impl FnOnce()) {
    for vm in vms {
        let before = wall_ms();
        eventually("the VM is in use", USED_WITHIN, || {
            last_start(fixture, *vm) >= before
        });
    }
    give_notice();
    thread::sleep(NO_NEW_WORK_AFTER);
    assert_no_new_work(fixture, vms);
}

/// fails if these VMs start work within the next `OBSERVED_FOR`
fn assert_no_new_work(fixture: &Fixture, vms: &[Vm]) {
    let start = wall_ms();
    thread::sleep(OBSERVED_FOR);
    for vm in vms {
        let last_start = last_start(fixture, *vm);
        assert!(
            last_start < start,
            "{} got new work {} ms after the limit",
            name(fixture, *vm),
            last_start - start
        );
    }
}

fn name(fixture: &Fixture, vm: Vm) -> String {
    match vm {
        Vm::Engine(number) => fixture.world.engines()[number].machine.vm.clone(),
        Vm::Plain(number) => fixture.world.plain_services()[number].machine.vm.clone(),
    }
}

/// start of the newest work of a VM, milliseconds since 1970
fn last_start(fixture: &Fixture, vm: Vm) -> u64 {
    let times: Vec<u64> = match vm {
        Vm::Engine(number) => {
            let record = fixture.world.engines()[number].record();
            let runs = record.expect("read the record").into_iter();
            runs.map(|run| run.started_at).collect()
        }
        Vm::Plain(number) => {
            let record = fixture.world.plain_services()[number].record();
            let calls = record.expect("read the record").into_iter();
            calls.map(|call| call.at).collect()
        }
    };
    times.into_iter().max().unwrap_or(0)
}
