//! Worlds for soak tests.

use std::fmt;
use std::io;
use std::str::FromStr;
use std::time::Duration;

use macro_rules_attribute::apply;
use schema::config::{Capacity, Preset};
use schema::value;
use standin::{cloud, engine, plain};

use crate::world::{DataCentre, Workspace, World};

/// one-way delay of the link between regions
const REGION_DELAY: Duration = Duration::from_millis(15);

/// bandwidth of the link between regions, each way
const REGION_BYTES_PER_SECOND: u64 = 4_000_000;

/// duration of a generation step of an engine
const STEP_US: u64 = 10_000;

/// time from the order of a VM until it runs
const VM_START_MS: u64 = 1_000;

/// time that a plain service takes for a call
const PLAIN_DELAY_MS: u64 = 30;

/// engines at the start, and floor of the capacity
const INITIAL_ENGINES: u32 = 5;

/// engines that may be added to those at the start
const MAX_ADDED_ENGINES: u32 = 4;

/// preset to which operators switch in [`FaultKind::ConcurrentOperators`]
///
/// [`FaultKind::ConcurrentOperators`]: super::schedule::FaultKind::ConcurrentOperators
pub const PEAK_PRESET: &str = "peak";

/// data centres and services of a soak test
#[apply(value!)]
pub enum Shape {
    /// two data centres in the platform's region, one in another
    Koe,
    /// the same layout with other names of data centres and services
    Thistlewood,
}

impl Shape {
    /// name of the model service
    pub fn model_service(self) -> &'static str {
        match self {
            Shape::Koe => "homily-models",
            Shape::Thistlewood => "tasting-assistant",
        }
    }

    /// name of the plain service
    pub fn plain_service(self) -> &'static str {
        match self {
            Shape::Koe => "archive-desk",
            Shape::Thistlewood => "booking-desk",
        }
    }

    /// starts a world of this shape with one workspace
    pub fn start(self, workspace: Workspace) -> io::Result<World> {
        let engine = engine::Options::builder().step_us(STEP_US).build();
        let plain = plain::Options::builder().delay_ms(PLAIN_DELAY_MS).build();
        let cloud = cloud::Options::builder()
            .start_ms(VM_START_MS)
            .spawn_engines(true)
            .build();
        let mut builder = World::builder()
            .engine(engine)
            .plain(plain)
            .cloud(cloud)
            .region_link(REGION_DELAY, REGION_BYTES_PER_SECOND)
            .workspace(workspace)
            .capacity(self.capacity(0))
            .preset(Preset {
                name: PEAK_PRESET.to_owned(),
                admit_priority: 0,
                capacity: vec![self.capacity(1)],
            });
        for centre in self.centres() {
            builder = builder.data_centre(centre);
        }
        builder.start()
    }

    fn capacity(self, spare: u32) -> Capacity {
        Capacity {
            service: self.model_service().to_owned(),
            floor: INITIAL_ENGINES,
            ceiling: INITIAL_ENGINES + MAX_ADDED_ENGINES,
            spare,
            load_percent: 70,
            on_demand_percent: 0,
            hold: false,
        }
    }

    fn centres(self) -> [DataCentre; 3] {
        let (model, plain) = (self.model_service(), self.plain_service());
        let [first, second, remote] = match self {
            Shape::Koe => [
                DataCentre::new("kyushu-south", "kumamoto-a"),
                DataCentre::new("kyushu-south", "kagoshima-a"),
                DataCentre::new("kyushu-north", "fukuoka-a"),
            ],
            Shape::Thistlewood => [
                DataCentre::new("piedmont", "piedmont-a"),
                DataCentre::new("piedmont", "piedmont-b"),
                DataCentre::new("lowcountry", "lowcountry-a"),
            ],
        };
        [
            first.daemons(2).engines(model, 2).plain_services(plain, 1),
            second.daemons(2).engines(model, 2).plain_services(plain, 1),
            remote.daemons(1).engines(model, 1).plain_services(plain, 1),
        ]
    }
}

impl fmt::Display for Shape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Shape::Koe => "koe",
            Shape::Thistlewood => "thistlewood",
        })
    }
}

impl FromStr for Shape {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "koe" => Ok(Shape::Koe),
            "thistlewood" => Ok(Shape::Thistlewood),
            _ => Err(format!("unknown shape {text}: expected koe or thistlewood")),
        }
    }
}
