//! Shared parts of the tests that run several scenarios in one world.
#![allow(dead_code, unused_imports)]

mod http;
mod record;
mod scenario;

use bench::world::World;
use schema::objects::Faults;

pub use http::{Call, Reply, send_bytes};
pub use record::{executions, keys_run_twice, runs_of};
pub use scenario::Scenarios;

/// changes the faults of the object API; fields that are none keep their value
pub fn set_store_faults(world: &World, faults: &Faults) {
    let url = format!("http://{}/control/faults", world.objects());
    let request = attohttpc::post(url)
        .json(faults)
        .expect("serialize the faults");
    let response = request.send().expect("object API stand-in must respond");
    assert!(
        response.is_success(),
        "setting the faults failed: {response:?}"
    );
}

/// all faults cleared
pub fn no_faults() -> Faults {
    Faults {
        delay_ms: Some(0),
        lose_answers: Some(0),
        lose_percent: Some(0),
        outage: Some(false),
        silent_watches: Some(false),
        stale_reads: Some(0),
        seed: None,
    }
}

/// change of the object API's faults that keeps every value
pub fn no_change() -> Faults {
    Faults {
        delay_ms: None,
        lose_answers: None,
        lose_percent: None,
        outage: None,
        silent_watches: None,
        stale_reads: None,
        seed: None,
    }
}
