//! Checks of a declaration.

use std::collections::BTreeMap;

use super::fault::Fault;
use super::report::Report;
use super::rule;
use crate::config::{Capacity, Declaration, Kind, Preset, Service, Upstream, Workspace};

/// largest declaration as JSON, bytes; the object API's megabyte less room for the envelope
pub const MAX_BYTES: usize = 1_000_000 - 8_192;

/// highest priority of a workspace
const MAX_PRIORITY: u64 = 9;

/// checks a declaration as a whole
///
/// # Errors
/// All its faults, in the order of the document's parts.
pub fn declaration(declaration: &Declaration) -> Result<(), Vec<Fault>> {
    let mut report = Report::default();
    let services: Vec<&str> = declaration
        .services
        .iter()
        .map(|s| s.name.as_str())
        .collect();
    check_services(&mut report, &declaration.services);
    check_upstreams(&mut report, &declaration.upstreams, &services);
    check_workspaces(&mut report, &declaration.workspaces, &services);
    check_presets(&mut report, &declaration.presets, &services);
    let presets: Vec<&str> = declaration
        .presets
        .iter()
        .map(|p| p.name.as_str())
        .collect();
    report.reference("preset", &declaration.preset, &presets);
    check_size(&mut report, declaration);
    report.finish()
}

fn check_services(report: &mut Report, services: &[Service]) {
    if services.is_empty() {
        report.add("services", "no service", "at least one service");
    }
    let names = services.iter().map(|service| service.name.as_str());
    report.unique(names, |index| format!("services[{index}].name"));
    for (index, service) in services.iter().enumerate() {
        check_service(report, &format!("services[{index}]"), service);
    }
}

fn check_service(report: &mut Report, path: &str, service: &Service) {
    report.text(&format!("{path}.name"), &service.name, &rule::NAME);
    report.positive(
        &format!("{path}.first_token_ms"),
        service.first_token_ms.into(),
    );
    report.positive(
        &format!("{path}.between_tokens_ms"),
        service.between_tokens_ms.into(),
    );
    report.positive(&format!("{path}.deadline_ms"), service.deadline_ms);
    if service.kind == Kind::Model && !service.repeatable.is_empty() {
        let wrong = "set for a model";
        report.add(
            &format!("{path}.repeatable"),
            wrong,
            "only for a service of kind plain",
        );
    }
    let methods = service.repeatable.iter().map(String::as_str);
    report.unique(methods, |index| format!("{path}.repeatable[{index}]"));
    for (index, method) in service.repeatable.iter().enumerate() {
        report.text(
            &format!("{path}.repeatable[{index}]"),
            method,
            &rule::METHOD,
        );
    }
}

fn check_upstreams(report: &mut Report, upstreams: &[Upstream], services: &[&str]) {
    let names = upstreams.iter().map(|upstream| upstream.name.as_str());
    report.unique(names, |index| format!("upstreams[{index}].name"));
    for (index, upstream) in upstreams.iter().enumerate() {
        let path = format!("upstreams[{index}]");
        report.text(&format!("{path}.name"), &upstream.name, &rule::NAME);
        report.reference(&format!("{path}.service"), &upstream.service, services);
        report.text(
            &format!("{path}.data_centre"),
            &upstream.data_centre,
            &rule::NAME,
        );
        report.text(
            &format!("{path}.region"),
            &upstream.region,
            &rule::NAME_OR_NONE,
        );
        report.text(&format!("{path}.class"), &upstream.class, &rule::CLASS);
        report.positive(&format!("{path}.slots"), upstream.slots.into());
        for (place, address) in upstream.addresses.iter().enumerate() {
            report.text(
                &format!("{path}.addresses[{place}]"),
                address,
                &rule::ADDRESS,
            );
        }
    }
    check_addresses(report, upstreams);
    check_regions(report, upstreams);
}

/// one address is one VM, so it belongs to one upstream
fn check_addresses(report: &mut Report, upstreams: &[Upstream]) {
    let mut paths = Vec::new();
    let mut addresses = Vec::new();
    for (index, upstream) in upstreams.iter().enumerate() {
        for (place, address) in upstream.addresses.iter().enumerate() {
            paths.push(format!("upstreams[{index}].addresses[{place}]"));
            addresses.push(address.as_str());
        }
    }
    report.unique(addresses.into_iter(), |index| paths[index].clone());
}

/// a data centre lies in one region
fn check_regions(report: &mut Report, upstreams: &[Upstream]) {
    let mut regions = BTreeMap::new();
    for (index, upstream) in upstreams.iter().enumerate() {
        let centre = upstream.data_centre.as_str();
        let first = *regions.entry(centre).or_insert(upstream.region.as_str());
        if first != upstream.region {
            let wrong = format!("{:?} for data centre {centre}", upstream.region);
            report.add(
                &format!("upstreams[{index}].region"),
                wrong,
                format_args!("{first:?}"),
            );
        }
    }
}

fn check_workspaces(report: &mut Report, workspaces: &[Workspace], services: &[&str]) {
    let names = workspaces.iter().map(|workspace| workspace.name.as_str());
    report.unique(names, |index| format!("workspaces[{index}].name"));
    for (index, workspace) in workspaces.iter().enumerate() {
        let path = format!("workspaces[{index}]");
        report.text(&format!("{path}.name"), &workspace.name, &rule::NAME);
        report.within(
            &format!("{path}.priority"),
            workspace.priority.into(),
            0,
            MAX_PRIORITY,
        );
        let called = workspace.services.iter().map(String::as_str);
        report.unique(called, |place| format!("{path}.services[{place}]"));
        for (place, service) in workspace.services.iter().enumerate() {
            report.reference(&format!("{path}.services[{place}]"), service, services);
        }
        for (place, key) in workspace.keys.iter().enumerate() {
            report.text(&format!("{path}.keys[{place}]"), key, &rule::DIGEST);
        }
    }
    check_keys(report, workspaces);
}

/// a key tells which workspace calls, so no two share one
fn check_keys(report: &mut Report, workspaces: &[Workspace]) {
    let mut paths = Vec::new();
    let mut keys = Vec::new();
    for (index, workspace) in workspaces.iter().enumerate() {
        for (place, key) in workspace.keys.iter().enumerate() {
            paths.push(format!("workspaces[{index}].keys[{place}]"));
            keys.push(key.to_ascii_lowercase());
        }
    }
    report.unique(keys.iter().map(String::as_str), |index| {
        paths[index].clone()
    });
}

fn check_presets(report: &mut Report, presets: &[Preset], services: &[&str]) {
    let names = presets.iter().map(|preset| preset.name.as_str());
    report.unique(names, |index| format!("presets[{index}].name"));
    for (index, preset) in presets.iter().enumerate() {
        let path = format!("presets[{index}]");
        report.text(&format!("{path}.name"), &preset.name, &rule::NAME);
        let least = preset.admit_priority.into();
        report.within(&format!("{path}.admit_priority"), least, 0, MAX_PRIORITY);
        let named = preset
            .capacity
            .iter()
            .map(|capacity| capacity.service.as_str());
        report.unique(named, |place| format!("{path}.capacity[{place}].service"));
        for (place, capacity) in preset.capacity.iter().enumerate() {
            check_capacity(
                report,
                &format!("{path}.capacity[{place}]"),
                capacity,
                services,
            );
        }
    }
}

fn check_capacity(report: &mut Report, path: &str, capacity: &Capacity, services: &[&str]) {
    report.reference(&format!("{path}.service"), &capacity.service, services);
    report.within(
        &format!("{path}.load_percent"),
        capacity.load_percent.into(),
        1,
        100,
    );
    let dear = capacity.on_demand_percent.into();
    report.within(&format!("{path}.on_demand_percent"), dear, 0, 100);
    if capacity.floor > capacity.ceiling {
        let wrong = format!("{} is above the ceiling", capacity.floor);
        let allowed = format!("0 to {}, the ceiling", capacity.ceiling);
        report.add(&format!("{path}.floor"), wrong, allowed);
    }
}

fn check_size(report: &mut Report, declaration: &Declaration) {
    let size = match serde_json::to_vec(declaration) {
        Ok(bytes) => bytes.len(),
        Err(error) => return report.add(".", error, "what JSON can express"),
    };
    if size > MAX_BYTES {
        let wrong = format!("{size} bytes as JSON");
        report.add(".", wrong, format_args!("at most {MAX_BYTES} bytes"));
    }
}
