//! The worlds that a soak runs.

use std::fmt;
use std::io;
use std::str::FromStr;
use std::time::Duration;

use macro_rules_attribute::apply;
use schema::config::{Capacity, Preset};
use schema::value;
use standin::{cloud, engine, plain};

use crate::world::{Centre, Workspace, World};

/// one-way delay between regions
const REGION_DELAY: Duration = Duration::from_millis(15);

/// rate of the link between regions each way, bytes per second
const REGION_RATE: u64 = 4_000_000;

/// time of an engine's step, microseconds
const STEP_US: u64 = 10_000;

/// time from the order of a VM until it runs, milliseconds
const START_MS: u64 = 1_000;

/// time a plain service takes, milliseconds
const PLAIN_MS: u64 = 30;

/// engines at the start
const ENGINES: u32 = 5;

/// engines beyond those at the start
const SPARE_SLOTS: u32 = 4;

/// preset that operators change to and back from
pub const PEAK: &str = "peak";

/// whose data centres a soak runs
#[apply(value!)]
pub enum Shape {
    /// two data centres near the platform, one far
    Koe,
    /// the same with the services and names of a booking desk
    Thistlewood,
}

impl Shape {
    /// name of the model service
    pub fn model(self) -> &'static str {
        match self {
            Shape::Koe => "homily-models",
            Shape::Thistlewood => "tasting-assistant",
        }
    }

    /// name of the plain service
    pub fn desk(self) -> &'static str {
        match self {
            Shape::Koe => "archive-desk",
            Shape::Thistlewood => "booking-desk",
        }
    }

    /// starts the world
    pub fn start(self, workspace: Workspace) -> io::Result<World> {
        let engine = engine::Options::builder().step_us(STEP_US).build();
        let plain = plain::Options::builder().delay_ms(PLAIN_MS).build();
        let cloud = cloud::Options::builder()
            .start_ms(START_MS)
            .spawn_engines(true)
            .build();
        let mut builder = World::builder()
            .engine(engine)
            .plain(plain)
            .cloud(cloud)
            .region_link(REGION_DELAY, REGION_RATE)
            .workspace(workspace)
            .capacity(self.capacity(0))
            .preset(Preset {
                name: PEAK.to_owned(),
                admit_priority: 0,
                capacity: vec![self.capacity(1)],
            });
        for centre in self.centres() {
            builder = builder.centre(centre);
        }
        builder.start()
    }

    fn capacity(self, spare: u32) -> Capacity {
        Capacity {
            service: self.model().to_owned(),
            floor: ENGINES,
            ceiling: ENGINES + SPARE_SLOTS,
            spare,
            load_percent: 70,
            on_demand_percent: 0,
            hold: false,
        }
    }

    fn centres(self) -> [Centre; 3] {
        let (model, desk) = (self.model(), self.desk());
        let [near, beside, far] = match self {
            Shape::Koe => [
                Centre::new("kyushu-south", "kumamoto-a"),
                Centre::new("kyushu-south", "kagoshima-a"),
                Centre::new("kyushu-north", "fukuoka-a"),
            ],
            Shape::Thistlewood => [
                Centre::new("piedmont", "piedmont-a"),
                Centre::new("piedmont", "piedmont-b"),
                Centre::new("lowcountry", "lowcountry-a"),
            ],
        };
        [
            near.daemons(2).engines(model, 2).plains(desk, 1),
            beside.daemons(2).engines(model, 2).plains(desk, 1),
            far.daemons(1).engines(model, 1).plains(desk, 1),
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
            _ => Err(format!("{text} is neither koe nor thistlewood")),
        }
    }
}
