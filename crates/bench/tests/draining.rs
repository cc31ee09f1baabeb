//! A draining upstream VM gets no new work from three seconds after its notice.
//!
//! In each scenario few daemons can read the notice while callers of all daemons keep
//! sending requests. The cloud's VM list lags by several seconds and still lists the VM as
//! live. New work is found in the stand-ins' records, whose times are of the same wall clock.

mod harness;

#[path = "draining/load.rs"]
mod load;
#[path = "draining/notice.rs"]
mod notice;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bench::world::{DataCentre, Workspace, World};
use standin::cloud;

use harness::Scenarios;

/// model service
const MODEL: &str = "homily-models";

/// plain service
const DESK: &str = "archive-desk";

/// data centre with all upstream VMs
const WITH_VMS: &str = "kumamoto-a";

/// data centre without upstream VMs
const WITHOUT_VMS: &str = "kagoshima-a";

/// lag of the cloud's VM list, longer than any scenario waits
const LIST_LAG: Duration = Duration::from_secs(6);

/// time after the notice from which on a VM may get no new work
const NO_NEW_WORK_AFTER: Duration = Duration::from_secs(3);

/// time for which new work is looked for after that
const OBSERVED_FOR: Duration = Duration::from_secs(1);

/// VMs of the model service: one drains in each of three scenarios, one stays
const ENGINES: usize = 4;

/// VMs of the plain service: one drains in each of three scenarios, one stays
const PLAINS: usize = 4;

/// a world whose first data centre has two daemons and all upstream VMs
pub struct Fixture {
    world: World,
    key: String,
}

impl Fixture {
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
                DataCentre::new("kyushu-south", WITH_VMS)
                    .daemons(2)
                    .engines(MODEL, ENGINES)
                    .plain_services(DESK, PLAINS),
            )
            .data_centre(DataCentre::new("kyushu-south", WITHOUT_VMS).daemons(1))
            .start()
            .expect("world must start");
        Self { world, key }
    }
}

/// wall clock as in the stand-ins' records, milliseconds since 1970
fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

#[test]
fn a_draining_upstream_gets_no_new_work() {
    let fixture = Fixture::start();
    let mut scenarios = Scenarios::default();
    notice::run_all(&mut scenarios, &fixture);
    scenarios.finish();
}
