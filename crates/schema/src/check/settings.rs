//! Checks of the settings of a daemon.

use super::collector::Collector;
use super::fault::Fault;
use super::rule;
use crate::settings::{Daemon, Keys, Limits, Platform, Timing};

/// checks the settings of a daemon
///
/// # Errors
/// All faults found.
pub fn settings(daemon: &Daemon) -> Result<(), Vec<Fault>> {
    let mut faults = Collector::default();
    faults.check_text("vm", &daemon.vm, &rule::NAME);
    faults.check_text("region", &daemon.region, &rule::NAME);
    faults.check_text("data_centre", &daemon.data_centre, &rule::NAME);
    faults.check_text("log", &daemon.log, &rule::NON_EMPTY);
    check_addresses(&mut faults, daemon);
    check_keys(&mut faults, &daemon.keys);
    check_platform(&mut faults, &daemon.platform);
    check_limits(&mut faults, &daemon.limits);
    check_timing(&mut faults, &daemon.timing);
    faults.into_result()
}

fn check_addresses(faults: &mut Collector, daemon: &Daemon) {
    let listen = &daemon.listen;
    faults.check_text("listen.callers", &listen.callers, &rule::LISTEN_ADDRESS);
    faults.check_text("listen.control", &listen.control, &rule::LISTEN_ADDRESS);
    // with port 0 the operating system assigns a free port, so equal addresses don't conflict
    if listen.callers == listen.control && !listen.control.ends_with(":0") {
        let problem = format!("{} is already used by listen.callers", listen.control);
        faults.add("listen.control", problem, "another address");
    }
    for (index, peer) in daemon.peers.iter().enumerate() {
        faults.check_text(&format!("peers[{index}]"), peer, &rule::ADDRESS);
    }
    let peers = daemon.peers.iter().map(String::as_str);
    faults.check_unique(peers, |index| format!("peers[{index}]"));
}

fn check_keys(faults: &mut Collector, keys: &Keys) {
    faults.check_text("keys.fleet_file", &keys.fleet_file, &rule::NON_EMPTY);
    faults.check_text("keys.operator_file", &keys.operator_file, &rule::NON_EMPTY);
    if keys.fleet_file == keys.operator_file {
        let problem = "the same file as keys.fleet_file";
        faults.add(
            "keys.operator_file",
            problem,
            "a file other than keys.fleet_file",
        );
    }
}

fn check_platform(faults: &mut Collector, platform: &Platform) {
    faults.check_text("platform.objects", &platform.objects, &rule::BASE_URL);
    faults.check_text("platform.cloud", &platform.cloud, &rule::BASE_URL);
    if let Some(file) = &platform.token_file {
        faults.check_text("platform.token_file", file, &rule::NON_EMPTY);
    }
}

fn check_limits(faults: &mut Collector, limits: &Limits) {
    faults.check_positive("limits.workers", limits.workers.into());
    faults.check_positive("limits.waiting", limits.waiting.into());
    faults.check_positive("limits.body_bytes", limits.body_bytes);
    faults.check_positive("limits.header_bytes", limits.header_bytes);
    faults.check_positive("limits.keep_seconds", limits.keep_seconds);
    faults.check_positive("limits.abandon_seconds", limits.abandon_seconds);
}

fn check_timing(faults: &mut Collector, timing: &Timing) {
    faults.check_positive("timing.connect_ms", timing.connect_ms);
    faults.check_positive("timing.silence_ms", timing.silence_ms);
    faults.check_positive("timing.plain_ms", timing.plain_ms);
    faults.check_positive("timing.drain_ms", timing.drain_ms);
    faults.check_positive("timing.poll_ms", timing.poll_ms);
}
