//! Declarations, VMs, requests and reports for the tests.

#![allow(dead_code)]

use std::time::Duration;

use route::table::{Location, Request, Table, Vm};
use schema::config::{Declaration, Fencing, Kind, Preset, Service, Workspace};
use schema::engine::{Load, Usage};
use schema::settings::Policy;
use tokio::time::Instant;

/// a declaration with the service `model` and the given workspaces
pub fn declaration(workspaces: Vec<Workspace>) -> Declaration {
    let service = Service {
        name: "model".to_owned(),
        kind: Kind::Model,
        first_token_ms: 460,
        between_tokens_ms: 32,
        deadline_ms: 120_000,
        repeatable: Vec::new(),
    };
    Declaration {
        services: vec![service],
        upstreams: Vec::new(),
        workspaces,
        presets: Vec::new(),
        preset: "ordinary".to_owned(),
    }
}

/// a declaration whose preset admits requests of at least the given priority
pub fn admitting(priority: u8) -> Declaration {
    let preset = Preset {
        name: "ordinary".to_owned(),
        admit_priority: priority,
        capacity: Vec::new(),
    };
    let mut declaration = declaration(Vec::new());
    declaration.presets.push(preset);
    declaration
}

/// a workspace of priority 5 with the given limits
pub fn workspace(name: &str, tokens_per_second: u32, concurrent: u32) -> Workspace {
    Workspace {
        name: name.to_owned(),
        keys: Vec::new(),
        tokens_per_second,
        concurrent,
        priority: 5,
        services: Vec::new(),
    }
}

/// a VM of the service `model` with 16 slots
pub fn vm(name: &str, data_centre: &str, region: &str) -> Vm {
    Vm {
        name: name.to_owned(),
        address: format!("{name}:80"),
        upstream: "engines".to_owned(),
        service: "model".to_owned(),
        data_centre: data_centre.to_owned(),
        region: region.to_owned(),
        slots: 16,
        fencing: Fencing::Ignored,
    }
}

/// a table of a daemon in data centre `a` of region `r`, with the given VMs
pub fn table(policy: Policy, vms: &[Vm]) -> Table {
    let location = Location {
        data_centre: "a".to_owned(),
        region: "r".to_owned(),
    };
    let table = Table::new(location, policy);
    table.configure(&declaration(Vec::new()));
    table.set_vms(vms);
    table
}

/// a request of 100 prompt tokens with a deadline in one minute
pub fn request<'a>(blocks: &'a [u64], avoid: &'a [String], now: Instant) -> Request<'a> {
    Request {
        service: "model",
        blocks,
        prompt_tokens: 100,
        prior_tokens: 0,
        max_tokens: 100,
        priority: 5,
        avoid,
        deadline: now + Duration::from_secs(60),
        first_token: Duration::from_millis(460),
    }
}

/// a load report of a VM with 16 slots
pub fn load(running: u32, waiting: u32, waiting_tokens: u64) -> Load {
    Load {
        running,
        waiting,
        waiting_tokens,
        slots: 16,
        step_us: 30_000,
        prefill_us: 250,
        leaving: false,
    }
}

/// usage of an answered request of 100 prompt tokens
pub fn usage(cached_tokens: u32) -> Usage {
    Usage {
        prompt_tokens: 100,
        completion_tokens: 100,
        cached_tokens,
        recomputed_tokens: 100 - cached_tokens,
    }
}
