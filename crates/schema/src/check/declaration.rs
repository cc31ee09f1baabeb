//! Checks of a declaration.

use std::collections::BTreeMap;

use super::collector::Collector;
use super::fault::Fault;
use super::rule;
use crate::config::{Capacity, Declaration, Kind, Preset, Service, Upstream, Workspace};

/// maximum size of a declaration as JSON, bytes: the object API's limit of 1 MB less room for the
/// envelope
pub const MAX_DECLARATION_BYTES: usize = 1_000_000 - 8_192;

/// highest priority of a workspace
const MAX_PRIORITY: u64 = 9;

/// checks a declaration
///
/// # Errors
/// All faults found, in the order of the document's sections, with those of its size last.
pub fn declaration(declaration: &Declaration) -> Result<(), Vec<Fault>> {
    let mut faults = Collector::default();
    let services: Vec<&str> = declaration
        .services
        .iter()
        .map(|s| s.name.as_str())
        .collect();
    check_services(&mut faults, &declaration.services);
    check_upstreams(&mut faults, &declaration.upstreams, &services);
    check_workspaces(&mut faults, &declaration.workspaces, &services);
    check_presets(&mut faults, &declaration.presets, &services);
    let presets: Vec<&str> = declaration
        .presets
        .iter()
        .map(|p| p.name.as_str())
        .collect();
    faults.check_reference("preset", &declaration.preset, &presets);
    check_size(&mut faults, declaration);
    faults.into_result()
}

fn check_services(faults: &mut Collector, services: &[Service]) {
    if services.is_empty() {
        faults.add("services", "no service is declared", "at least one service");
    }
    let names = services.iter().map(|service| service.name.as_str());
    faults.check_unique(names, |index| format!("services[{index}].name"));
    for (index, service) in services.iter().enumerate() {
        check_service(faults, &format!("services[{index}]"), service);
    }
}

fn check_service(faults: &mut Collector, path: &str, service: &Service) {
    faults.check_text(&format!("{path}.name"), &service.name, &rule::NAME);
    faults.check_positive(
        &format!("{path}.first_token_ms"),
        service.first_token_ms.into(),
    );
    faults.check_positive(
        &format!("{path}.between_tokens_ms"),
        service.between_tokens_ms.into(),
    );
    faults.check_positive(&format!("{path}.deadline_ms"), service.deadline_ms);
    if service.kind == Kind::Model && !service.repeatable.is_empty() {
        let problem = "set for a service of kind model";
        faults.add(
            &format!("{path}.repeatable"),
            problem,
            "only for a service of kind plain",
        );
    }
    let methods = service.repeatable.iter().map(String::as_str);
    faults.check_unique(methods, |index| format!("{path}.repeatable[{index}]"));
    for (index, method) in service.repeatable.iter().enumerate() {
        faults.check_text(
            &format!("{path}.repeatable[{index}]"),
            method,
            &rule::HTTP_METHOD,
        );
    }
}

fn check_upstreams(faults: &mut Collector, upstreams: &[Upstream], services: &[&str]) {
    let names = upstreams.iter().map(|upstream| upstream.name.as_str());
    faults.check_unique(names, |index| format!("upstreams[{index}].name"));
    for (index, upstream) in upstreams.iter().enumerate() {
        let path = format!("upstreams[{index}]");
        faults.check_text(&format!("{path}.name"), &upstream.name, &rule::NAME);
        faults.check_reference(&format!("{path}.service"), &upstream.service, services);
        faults.check_text(
            &format!("{path}.data_centre"),
            &upstream.data_centre,
            &rule::NAME,
        );
        faults.check_text(
            &format!("{path}.region"),
            &upstream.region,
            &rule::OPTIONAL_NAME,
        );
        faults.check_text(
            &format!("{path}.class"),
            &upstream.class,
            &rule::MACHINE_CLASS,
        );
        faults.check_positive(&format!("{path}.slots"), upstream.slots.into());
        for (address_index, address) in upstream.addresses.iter().enumerate() {
            faults.check_text(
                &format!("{path}.addresses[{address_index}]"),
                address,
                &rule::ADDRESS,
            );
        }
    }
    check_addresses(faults, upstreams);
    check_regions(faults, upstreams);
}

/// an address identifies one VM, which belongs to one upstream, so addresses are unique
fn check_addresses(faults: &mut Collector, upstreams: &[Upstream]) {
    let mut paths = Vec::new();
    let mut addresses = Vec::new();
    for (index, upstream) in upstreams.iter().enumerate() {
        for (address_index, address) in upstream.addresses.iter().enumerate() {
            paths.push(format!("upstreams[{index}].addresses[{address_index}]"));
            addresses.push(address.as_str());
        }
    }
    faults.check_unique(addresses.into_iter(), |index| paths[index].clone());
}

/// all upstreams of a data centre declare the same region
fn check_regions(faults: &mut Collector, upstreams: &[Upstream]) {
    let mut regions = BTreeMap::new();
    for (index, upstream) in upstreams.iter().enumerate() {
        let data_centre = upstream.data_centre.as_str();
        let first = *regions
            .entry(data_centre)
            .or_insert(upstream.region.as_str());
        if first != upstream.region {
            let problem = format!(
                "{:?} differs from the region of data centre {data_centre} declared earlier",
                upstream.region
            );
            faults.add(
                &format!("upstreams[{index}].region"),
                problem,
                format_args!("{first:?}"),
            );
        }
    }
}

fn check_workspaces(faults: &mut Collector, workspaces: &[Workspace], services: &[&str]) {
    let names = workspaces.iter().map(|workspace| workspace.name.as_str());
    faults.check_unique(names, |index| format!("workspaces[{index}].name"));
    for (index, workspace) in workspaces.iter().enumerate() {
        let path = format!("workspaces[{index}]");
        faults.check_text(&format!("{path}.name"), &workspace.name, &rule::NAME);
        faults.check_range(
            &format!("{path}.priority"),
            workspace.priority.into(),
            0,
            MAX_PRIORITY,
        );
        let called_services = workspace.services.iter().map(String::as_str);
        faults.check_unique(called_services, |service_index| {
            format!("{path}.services[{service_index}]")
        });
        for (service_index, service) in workspace.services.iter().enumerate() {
            faults.check_reference(
                &format!("{path}.services[{service_index}]"),
                service,
                services,
            );
        }
        for (key_index, key) in workspace.keys.iter().enumerate() {
            faults.check_text(&format!("{path}.keys[{key_index}]"), key, &rule::SHA256);
        }
    }
    check_keys(faults, workspaces);
}

/// a key identifies one workspace, so each is declared only once
fn check_keys(faults: &mut Collector, workspaces: &[Workspace]) {
    let mut paths = Vec::new();
    let mut keys = Vec::new();
    for (index, workspace) in workspaces.iter().enumerate() {
        for (key_index, key) in workspace.keys.iter().enumerate() {
            paths.push(format!("workspaces[{index}].keys[{key_index}]"));
            keys.push(key.to_ascii_lowercase());
        }
    }
    faults.check_unique(keys.iter().map(String::as_str), |index| {
        paths[index].clone()
    });
}

fn check_presets(faults: &mut Collector, presets: &[Preset], services: &[&str]) {
    let names = presets.iter().map(|preset| preset.name.as_str());
    faults.check_unique(names, |index| format!("presets[{index}].name"));
    for (index, preset) in presets.iter().enumerate() {
        let path = format!("presets[{index}]");
        faults.check_text(&format!("{path}.name"), &preset.name, &rule::NAME);
        let admit_priority = preset.admit_priority.into();
        faults.check_range(
            &format!("{path}.admit_priority"),
            admit_priority,
            0,
            MAX_PRIORITY,
        );
        let capacity_services = preset
            .capacity
            .iter()
            .map(|capacity| capacity.service.as_str());
        faults.check_unique(capacity_services, |capacity_index| {
            format!("{path}.capacity[{capacity_index}].service")
        });
        for (capacity_index, capacity) in preset.capacity.iter().enumerate() {
            check_capacity(
                faults,
                &format!("{path}.capacity[{capacity_index}]"),
                capacity,
                services,
            );
        }
    }
}

fn check_capacity(faults: &mut Collector, path: &str, capacity: &Capacity, services: &[&str]) {
    faults.check_reference(&format!("{path}.service"), &capacity.service, services);
    faults.check_range(
        &format!("{path}.load_percent"),
        capacity.load_percent.into(),
        1,
        100,
    );
    let on_demand_percent = capacity.on_demand_percent.into();
    faults.check_range(
        &format!("{path}.on_demand_percent"),
        on_demand_percent,
        0,
        100,
    );
    if capacity.floor > capacity.ceiling {
        let problem = format!("{} is above the ceiling", capacity.floor);
        let allowed = format!("0 to {} (the ceiling)", capacity.ceiling);
        faults.add(&format!("{path}.floor"), problem, allowed);
    }
}

fn check_size(faults: &mut Collector, declaration: &Declaration) {
    let size = match serde_json::to_vec(declaration) {
        Ok(bytes) => bytes.len(),
        Err(error) => return faults.add(".", error, "a declaration that JSON can represent"),
    };
    if size > MAX_DECLARATION_BYTES {
        let problem = format!("{size} bytes as JSON");
        faults.add(
            ".",
            problem,
            format_args!("at most {MAX_DECLARATION_BYTES} bytes"),
        );
    }
}
