//! Notices that few daemons can see.

use std::thread;
use std::time::Duration;

use bench::eventually;
use standin::proxy;

use super::load::Load;
use super::proof::Scenes;
use super::{FAR, NO_NEW_WORK_AFTER, Stage, WATCHED, wall_ms};

/// notice of a reclaim, seconds; no VM dies before the end of the file
const NOTICE_SECONDS: u32 = 600;

/// longest wait until a VM is in use, so that its leaving shows
const USED_WITHIN: Duration = Duration::from_secs(10);

/// all daemons
const ALL: [usize; 3] = [0, 1, 2];

/// who leaves
#[derive(Clone, Copy)]
enum Vm {
    Engine(usize),
    Plain(usize),
}

pub fn scenes(scenes: &mut Scenes, stage: &Stage) {
    scenes.run("an engine's own load report says so", || {
        Load::during(stage, &ALL, || {
            let engine = &stage.world.engines()[0];
            leaves(stage, &[Vm::Engine(0)], || {
                engine.notice(f64::from(NOTICE_SECONDS)).expect("control");
            });
        });
    });
    scenes.run("one data centre reads the cloud's notice", || {
        let link = stage.world.network().platform_link(FAR);
        link.set_faults(proxy::Faults {
            cut: true,
            ..proxy::Faults::default()
        });
        Load::during(stage, &ALL, || {
            leaves(stage, &[Vm::Plain(0)], || {
                stage
                    .world
                    .reclaim(&name(stage, Vm::Plain(0)), NOTICE_SECONDS);
            });
        });
        link.set_faults(proxy::Faults::default());
    });
    more_scenes(scenes, stage);
}

fn more_scenes(scenes: &mut Scenes, stage: &Stage) {
    scenes.run("one daemon of that data centre is silent", || {
        let silent = &stage.world.daemons()[0];
        silent.pause().expect("a daemon");
        Load::during(stage, &[1, 2], || {
            leaves(stage, &[Vm::Plain(1)], || {
                stage
                    .world
                    .reclaim(&name(stage, Vm::Plain(1)), NOTICE_SECONDS);
            });
        });
        silent.resume().expect("a daemon");
        // It hears what it missed, and the lagging list does not take it back.
        Load::during(stage, &ALL, || {
            thread::sleep(NO_NEW_WORK_AFTER);
            assert_no_new_work(stage, &[Vm::Engine(0), Vm::Plain(0), Vm::Plain(1)]);
        });
    });
    scenes.run("an operator drains a VM", || {
        Load::during(stage, &ALL, || {
            let vms = [Vm::Engine(1), Vm::Plain(2)];
            leaves(stage, &vms, || {
                for vm in vms {
                    let drained = stage.world.operator().run(&["drain", &name(stage, vm)]);
                    drained.expect("a drain");
                }
            });
        });
    });
    scenes.run(
        "the cloud reclaims an engine, and its list catches up",
        || {
            Load::during(stage, &ALL, || {
                leaves(stage, &[Vm::Engine(2)], || {
                    stage
                        .world
                        .reclaim(&name(stage, Vm::Engine(2)), NOTICE_SECONDS);
                });
            });
            Load::during(stage, &ALL, || {
                let gone = [0, 1, 2].map(Vm::Engine);
                assert_no_new_work(stage, &gone);
                assert_no_new_work(stage, &[0, 1, 2].map(Vm::Plain));
            });
        },
    );
}

/// VMs in use get notice and no new work from the stated time on
fn leaves(stage: &Stage, vms: &[Vm], give_notice: impl FnOnce()) {
    for vm in vms {
        let before = wall_ms();
        eventually("the VM is used", USED_WITHIN, || {
            newest(stage, *vm) >= before
        });
    }
    give_notice();
    thread::sleep(NO_NEW_WORK_AFTER);
    assert_no_new_work(stage, vms);
}

/// watches for a while; nothing that starts from now on may be in the record of these VMs
fn assert_no_new_work(stage: &Stage, vms: &[Vm]) {
    let from = wall_ms();
    thread::sleep(WATCHED);
    for vm in vms {
        let newest = newest(stage, *vm);
        assert!(
            newest < from,
            "{} got new work {} ms after the time allowed",
            name(stage, *vm),
            newest - from
        );
    }
}

fn name(stage: &Stage, vm: Vm) -> String {
    match vm {
        Vm::Engine(number) => stage.world.engines()[number].machine.vm.clone(),
        Vm::Plain(number) => stage.world.plain_services()[number].machine.vm.clone(),
    }
}

/// when the newest work of a VM came, milliseconds since 1970
fn newest(stage: &Stage, vm: Vm) -> u64 {
    let times: Vec<u64> = match vm {
        Vm::Engine(number) => {
            let record = stage.world.engines()[number].record();
            let runs = record.expect("a record").into_iter();
            runs.map(|run| run.started_at).collect()
        }
        Vm::Plain(number) => {
            let record = stage.world.plain_services()[number].record();
            let calls = record.expect("a record").into_iter();
            calls.map(|call| call.at).collect()
        }
    };
    times.into_iter().max().unwrap_or(0)
}
