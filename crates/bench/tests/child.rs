//! Child processes.

use std::process::Command;
use std::time::Duration;

use bench::eventually;
use bench::process::{Child, Program, Usage};

const PATIENCE: Duration = Duration::from_secs(10);

fn standin(folder: &std::path::Path) -> Child {
    let mut command: Command = Program::Standin.command().expect("a built program");
    command.arg("plain");
    Child::spawn(command, "desk", folder).expect("a process")
}

#[test]
fn starts_and_kills_by_id() {
    let folder = tempfile::tempdir().expect("a folder");
    let child = standin(folder.path());
    eventually("its address", PATIENCE, || {
        child.log().contains("listening 127.0.0.1:")
    });
    assert!(child.log_tail().contains("desk"));
    assert!(child.usage().expect("its usage").resident_bytes > 0);
    child.kill();
    assert!(!child.exit_status().expect("its end").success());
    assert!(child.terminate().is_err());
    assert!(Usage::of(child.id()).is_err());
}

#[test]
fn ends_with_its_value() {
    let folder = tempfile::tempdir().expect("a folder");
    let child = standin(folder.path());
    let id = child.id();
    drop(child);
    assert!(Usage::of(id).is_err());
}
