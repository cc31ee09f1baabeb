//! Shared by the tests: a stand-in for the store, its faults, and a declaration.

#![allow(dead_code, missing_docs)]

use std::time::{Duration, Instant};

use schema::config::{Declaration, Preset};
use schema::objects::{Counts, Faults};
use standin::objects::{Options, Server};
use store::{Client, Timeouts};

pub const DEADLINE: Duration = Duration::from_secs(13);

pub fn server() -> Server {
    Server::start(&Options::default()).expect("the stand-in starts")
}

pub fn client(server: &Server) -> Client {
    let timeouts = Timeouts {
        connect: Duration::from_secs(1),
        call: Duration::from_secs(2),
    };
    Client::new(&server.url(), "").timeouts(timeouts)
}

pub fn no_faults() -> Faults {
    Faults {
        delay_ms: None,
        lose_answers: None,
        lose_percent: None,
        outage: None,
        seed: None,
        silent_watches: None,
        stale_reads: None,
    }
}

pub fn set_faults(server: &Server, faults: &Faults) {
    let url = format!("{}/control/faults", server.url());
    let body = serde_json::to_vec(faults).expect("faults can be encoded");
    let response = attohttpc::post(url).bytes(body).send();
    assert!(response.expect("the stand-in responds").is_success());
}

pub fn counts(server: &Server) -> Counts {
    let url = format!("{}/control/counts", server.url());
    let response = attohttpc::get(url).send().expect("the stand-in responds");
    let bytes = response.bytes().expect("the response has a body");
    serde_json::from_slice(&bytes).expect("counts can be decoded")
}

pub fn declaration(preset: &str) -> Declaration {
    let preset_of = |name: &str| Preset {
        name: name.to_owned(),
        admit_priority: 0,
        capacity: Vec::new(),
    };
    Declaration {
        services: Vec::new(),
        upstreams: Vec::new(),
        workspaces: Vec::new(),
        presets: vec![
            preset_of("ordinary"),
            preset_of("peak"),
            preset_of("maintenance"),
        ],
        preset: preset.to_owned(),
    }
}

pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + DEADLINE;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
