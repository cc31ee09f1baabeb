//! The configuration that a world declares at its start.

use std::collections::BTreeMap;

use schema::config::{Capacity, Declaration, Fencing, Kind, Preset, Service, Upstream};

use super::builder::Builder;

/// name of the preset that is selected at the start
const ORDINARY_PRESET: &str = "ordinary";

/// class of all VMs
pub const VM_CLASS: &str = "bench";

/// concurrent requests of a plain service's VM
const PLAIN_SLOTS: u32 = 256;

/// ceiling of services without declared capacity, far above the VMs of any world
const CEILING: u32 = 100;

/// declaration of a world; it has no addresses, since VMs come from the cloud's list
pub fn declaration(builder: &Builder) -> Declaration {
    let services: BTreeMap<String, Service> = services(builder);
    let held = services.keys().map(|name| held_capacity(name)).collect();
    let capacity = if builder.capacity.is_empty() {
        held
    } else {
        builder.capacity.clone()
    };
    let mut presets = builder.presets.clone();
    presets.push(Preset {
        name: ORDINARY_PRESET.to_owned(),
        admit_priority: 0,
        capacity,
    });
    Declaration {
        services: services.into_values().collect(),
        upstreams: upstreams(builder),
        workspaces: builder
            .workspaces
            .iter()
            .map(|w| w.declared.clone())
            .collect(),
        presets,
        preset: ORDINARY_PRESET.to_owned(),
    }
}

fn services(builder: &Builder) -> BTreeMap<String, Service> {
    let mut services = BTreeMap::new();
    for group in builder
        .data_centres
        .iter()
        .flat_map(|centre| &centre.groups)
    {
        let service = Service {
            name: group.service.clone(),
            kind: group.kind,
            first_token_ms: builder.first_token_ms,
            between_tokens_ms: builder.between_tokens_ms,
            deadline_ms: builder.deadline_ms,
            repeatable: Vec::new(),
        };
        services.insert(group.service.clone(), service);
    }
    services
}

fn upstreams(builder: &Builder) -> Vec<Upstream> {
    let mut upstreams = Vec::new();
    for centre in &builder.data_centres {
        for group in &centre.groups {
            let slots = if group.kind == Kind::Model {
                builder.engine.slots
            } else {
                PLAIN_SLOTS
            };
            let is_model = group.kind == Kind::Model;
            upstreams.push(Upstream {
                name: group.upstream(&centre.name),
                service: group.service.clone(),
                data_centre: centre.name.clone(),
                region: centre.region.clone(),
                class: VM_CLASS.to_owned(),
                slots,
                fencing: if is_model {
                    builder.engine.fencing
                } else {
                    Fencing::Ignored
                },
                addresses: Vec::new(),
            });
        }
    }
    upstreams
}

/// a capacity with which no VM is started or removed
fn held_capacity(service: &str) -> Capacity {
    Capacity {
        service: service.to_owned(),
        floor: 0,
        ceiling: CEILING,
        spare: 0,
        load_percent: 70,
        on_demand_percent: 0,
        hold: true,
    }
}
