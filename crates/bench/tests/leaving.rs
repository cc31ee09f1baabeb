//! An upstream that is leaving gets no new work three seconds after the notice.
//!
//! Every scene gives a notice that few daemons can see, while callers of all daemons
//! keep asking. The VM list lags by many seconds and calls the VM live all the
//! while. The stand-ins' records are the judge, by the wall clock they share.

mod proof;

#[path = "leaving/load.rs"]
mod load;
#[path = "leaving/notice.rs"]
mod notice;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bench::world::{DataCentre, Workspace, World};
use standin::cloud;

use proof::Scenes;

/// model service of the world
const MODEL: &str = "homily-models";

/// plain service of the world
const DESK: &str = "archive-desk";

/// data centre with all upstream VMs
const NEAR: &str = "kumamoto-a";

/// data centre without upstream VMs of its own
const FAR: &str = "kagoshima-a";

/// age of the VM list, longer than any scene waits
const LIST_LAG: Duration = Duration::from_secs(6);

/// time after the notice from which on nothing new may come
const NO_NEW_WORK_AFTER: Duration = Duration::from_secs(3);

/// time over which new work is looked for after that
const WATCHED: Duration = Duration::from_secs(1);

/// VMs of the model service: one to leave in each scene, one to stay
const ENGINES: usize = 4;

/// VMs of the plain service: one to leave in each scene, one to stay
const PLAINS: usize = 4;

/// a world whose first data centre has two daemons and all VMs
pub struct Stage {
    world: World,
    key: String,
}

impl Stage {
    fn start() -> Self {
        let workspace = Workspace::new("koe-no-kura");
        let key = workspace.key.clone();
        let lagging = cloud::Options::builder()
            .lag_ms(LIST_LAG.as_millis() as u64)
            .build();
        let world = World::builder()
            .workspace(workspace)
            .cloud(lagging)
            .data_centre(
                DataCentre::new("kyushu-south", NEAR)
                    .daemons(2)
                    .engines(MODEL, ENGINES)
                    .plain_services(DESK, PLAINS),
            )
            .data_centre(DataCentre::new("kyushu-south", FAR).daemons(1))
            .start()
            .expect("a world");
        Self { world, key }
    }
}

/// milliseconds since 1970, as the records have them
fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

#[test]
fn a_leaving_upstream_gets_no_new_work() {
    let stage = Stage::start();
    let mut scenes = Scenes::default();
    notice::scenes(&mut scenes, &stage);
    scenes.finish();
}
