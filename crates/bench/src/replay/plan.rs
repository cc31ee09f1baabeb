//! The world of each deployment, at today's sizes.

use std::time::Duration;

use schema::settings::Policy;
use schema::trace::{Header, Shape};
use standin::engine;

use crate::world::{Builder, DataCentre, Workspace, World};

/// target between tokens, milliseconds, as worlds declare it
pub const BETWEEN_TOKENS_MS: u32 = 32;

/// delay of each way between regions
const REGION_DELAY: Duration = Duration::from_millis(20);

/// rate of each way between regions, bytes per second
const REGION_BYTES_PER_SECOND: u64 = 4_000_000;

/// time of a step of an engine, microseconds
const STEP_US: u64 = 18_000;

/// time to prefill a token, microseconds
const PREFILL_US: u64 = 50;

/// most tokens prefilled in one step, so that a step stays within the target
const PREFILL_CHUNK: u32 = 192;

/// blocks of the prefix cache, a third of the archive's shared prompts
const CACHE_BLOCKS: usize = 1_024;

/// describes the world that a trace is for
pub fn world(header: &Header, policy: Policy) -> Builder {
    let centres = match header.shape {
        Shape::Archive => archive(),
        Shape::Thistlewood => thistlewood(),
    };
    let engine = engine::Options::builder()
        .step_us(STEP_US)
        .prefill_us(PREFILL_US)
        .prefill_chunk(PREFILL_CHUNK)
        .cache_blocks(CACHE_BLOCKS)
        .build();
    let mut plan = World::builder()
        .policy(policy)
        .engine(engine)
        .region_link(REGION_DELAY, REGION_BYTES_PER_SECOND)
        .log("warn");
    for centre in centres {
        plan = plan.data_centre(centre);
    }
    for workspace in &header.workspaces {
        plan = plan.workspace(Workspace::new(workspace).priority(9));
    }
    plan
}

fn archive() -> Vec<DataCentre> {
    let centre = |region, name, daemons, engines| {
        DataCentre::new(region, name)
            .daemons(daemons)
            .engines("homily-models", engines)
            .plain_services("archive-desk", 1)
    };
    vec![
        centre("kyushu-south", "kumamoto-a", 3, 4),
        centre("kyushu-south", "kagoshima-a", 2, 3),
        centre("kyushu-north", "fukuoka-a", 2, 3),
    ]
}

fn thistlewood() -> Vec<DataCentre> {
    let centre = |region, name, daemons, engines| {
        DataCentre::new(region, name)
            .daemons(daemons)
            .engines("tasting-assistant", engines)
            .plain_services("booking-desk", 1)
    };
    vec![
        centre("piedmont", "piedmont-a", 3, 8),
        centre("piedmont", "piedmont-b", 2, 6),
        centre("lowcountry", "lowcountry-a", 2, 6),
    ]
}
