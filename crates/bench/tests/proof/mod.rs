//! What the proofs of the promises share.
#![allow(dead_code, unused_imports)]

mod raw;
mod record;
mod scene;

use bench::world::World;
use schema::objects::Faults;

pub use raw::{Call, Reply, send_bytes};
pub use record::{executions, keys_run_twice, runs_of};
pub use scene::Scenes;

/// faults of the object API; those left out stay as they are
pub fn store_faults(world: &World, faults: &Faults) {
    let url = format!("http://{}/control/faults", world.objects());
    let request = attohttpc::post(url).json(faults).expect("a body");
    let answer = request.send().expect("the object API's control");
    assert!(answer.is_success(), "{answer:?}");
}

/// no fault at all
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

/// a change of the object API's faults that changes nothing yet
pub fn faults() -> Faults {
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
