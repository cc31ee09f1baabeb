//! Checks of a daemon's settings.

use super::fault::Fault;
use super::report::Report;
use super::rule;
use crate::settings::{Daemon, Keys, Limits, Platform, Timing};

/// checks the settings of a daemon as a whole
///
/// # Errors
/// All their faults.
pub fn settings(daemon: &Daemon) -> Result<(), Vec<Fault>> {
    let mut report = Report::default();
    report.text("vm", &daemon.vm, &rule::NAME);
    report.text("region", &daemon.region, &rule::NAME);
    report.text("data_centre", &daemon.data_centre, &rule::NAME);
    report.text("log", &daemon.log, &rule::FILLED);
    check_addresses(&mut report, daemon);
    check_keys(&mut report, &daemon.keys);
    check_platform(&mut report, &daemon.platform);
    check_limits(&mut report, &daemon.limits);
    check_timing(&mut report, &daemon.timing);
    report.finish()
}

fn check_addresses(report: &mut Report, daemon: &Daemon) {
    let listen = &daemon.listen;
    report.text("listen.callers", &listen.callers, &rule::LISTEN);
    report.text("listen.control", &listen.control, &rule::LISTEN);
    // port 0 asks the system for a free one, so two of it are no clash
    if listen.callers == listen.control && !listen.control.ends_with(":0") {
        let wrong = format!("{} is for callers already", listen.control);
        report.add("listen.control", wrong, "another address");
    }
    for (index, peer) in daemon.peers.iter().enumerate() {
        report.text(&format!("peers[{index}]"), peer, &rule::ADDRESS);
    }
    let peers = daemon.peers.iter().map(String::as_str);
    report.unique(peers, |index| format!("peers[{index}]"));
}

fn check_keys(report: &mut Report, keys: &Keys) {
    report.text("keys.fleet_file", &keys.fleet_file, &rule::FILLED);
    report.text("keys.operator_file", &keys.operator_file, &rule::FILLED);
    if keys.fleet_file == keys.operator_file {
        let wrong = "the same file as keys.fleet_file";
        report.add("keys.operator_file", wrong, "a file of its own");
    }
}

fn check_platform(report: &mut Report, platform: &Platform) {
    report.text("platform.objects", &platform.objects, &rule::BASE_URL);
    report.text("platform.cloud", &platform.cloud, &rule::BASE_URL);
    if let Some(file) = &platform.token_file {
        report.text("platform.token_file", file, &rule::FILLED);
    }
}

fn check_limits(report: &mut Report, limits: &Limits) {
    report.positive("limits.workers", limits.workers.into());
    report.positive("limits.waiting", limits.waiting.into());
    report.positive("limits.body_bytes", limits.body_bytes);
    report.positive("limits.header_bytes", limits.header_bytes);
    report.positive("limits.keep_seconds", limits.keep_seconds);
    report.positive("limits.abandon_seconds", limits.abandon_seconds);
}

fn check_timing(report: &mut Report, timing: &Timing) {
    report.positive("timing.connect_ms", timing.connect_ms);
    report.positive("timing.silence_ms", timing.silence_ms);
    report.positive("timing.plain_ms", timing.plain_ms);
    report.positive("timing.drain_ms", timing.drain_ms);
    report.positive("timing.poll_ms", timing.poll_ms);
}
