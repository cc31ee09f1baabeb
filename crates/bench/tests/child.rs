//! Starting, killing and reaping child processes.

use std::process::Command;
use std::time::Duration;

use bench::eventually;
use bench::process::{Child, Program, Usage};

/// limit for the child to start
const START_TIMEOUT: Duration = Duration::from_secs(10);

fn standin(folder: &std::path::Path) -> Child {
    let mut command: Command = Program::Standin.command().expect("stand-in must be built");
    command.arg("plain");
    Child::spawn(command, "desk", folder).expect("process must start")
}

#[test]
fn child_can_be_started_and_killed() {
    let folder = tempfile::tempdir().expect("create a folder");
    let child = standin(folder.path());
    eventually("the child logs its address", START_TIMEOUT, || {
        child.log().contains("listening 127.0.0.1:")
    });
    assert!(child.log_tail().contains("desk"));
    assert!(
        child
            .usage()
            .expect("read the process's usage")
            .resident_bytes
            > 0
    );
    child.kill();
    assert!(
        !child
            .exit_status()
            .expect("process must have ended")
            .success()
    );
    assert!(child.terminate().is_err());
    assert!(Usage::of(child.id()).is_err());
}

#[test]
fn dropping_a_child_ends_its_process() {
    let folder = tempfile::tempdir().expect("create a folder");
    let child = standin(folder.path());
    let id = child.id();
    drop(child);
    assert!(Usage::of(id).is_err());
}
