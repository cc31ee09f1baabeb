//! Runs the measurement and prints the table.

use std::io;
use std::time::{Duration, Instant};

use standin::engine;

use super::load::{Direct, Through, round};
use super::options::Options;
use super::sample::Sample;
use crate::process::Usage;
use crate::world::{DataCentre, World};

/// service of the measurement
const MODEL: &str = "homily-models";

/// streams that the engine runs at the same time
const SLOTS: u32 = 512;

/// time of an engine's step, microseconds
const STEP_US: u64 = 20_000;

/// tokens that an engine prefills in a step, enough for all that start together
const PREFILL_CHUNK: u32 = 1_000_000;

/// what one number of streams gave
struct Level {
    streams: u32,
    direct: Sample,
    through: Sample,
    /// the daemon's processor time during the rounds through it
    processor: Duration,
    /// time of those rounds
    time: Duration,
    usage: Usage,
}

/// measures and prints; true if no stream failed
pub fn run(options: &Options) -> io::Result<bool> {
    let levels = parse(&options.streams)?;
    let engine = engine::Options::builder()
        .slots(SLOTS)
        .step_us(STEP_US)
        .running_us(0)
        .prefill_us(0)
        .prefill_chunk(PREFILL_CHUNK)
        .build();
    let world = World::builder()
        .engine(engine)
        .log("warn")
        .data_centre(
            DataCentre::new("kyushu-south", "kumamoto-a")
                .daemons(1)
                .engines(MODEL, 1),
        )
        .start()?;
    let direct = Direct {
        address: world.engines()[0].machine.address,
    };
    let through = Through {
        client: world.client(),
    };
    round(&through, MODEL, 1, options);
    let idle = world.daemons()[0].usage()?;
    println!(
        "idle daemon: {} threads, {:.1} MB",
        idle.threads,
        megabytes(idle.resident_bytes)
    );
    print_head();
    let mut failed = 0;
    for streams in levels {
        let level = measure(&world, (&direct, &through), streams, options)?;
        failed += level.direct.failed + level.through.failed;
        print_level(&level);
    }
    println!("failed streams: {failed}");
    Ok(failed == 0)
}

fn measure(
    world: &World,
    (direct, through): (&Direct, &Through),
    streams: u32,
    options: &Options,
) -> io::Result<Level> {
    let daemon = &world.daemons()[0];
    let mut level = Level {
        streams,
        direct: Sample::new(),
        through: Sample::new(),
        processor: Duration::ZERO,
        time: Duration::ZERO,
        usage: daemon.usage()?,
    };
    for _ in 0..options.rounds {
        level.direct.merge(&round(direct, MODEL, streams, options));
        let before = daemon.usage()?;
        let started = Instant::now();
        level
            .through
            .merge(&round(through, MODEL, streams, options));
        level.time += started.elapsed();
        level.usage = daemon.usage()?;
        level.processor += level.usage.cpu_time.saturating_sub(before.cpu_time);
    }
    Ok(level)
}

fn print_head() {
    println!("first token and gaps between tokens in ms; processor time of the daemon alone");
    println!(
        "{:>7} {:>8} {:>22} {:>22} {:>16} {:>16} {:>10} {:>10} {:>8} {:>8}",
        "streams",
        "answers",
        "direct p50/p99",
        "through p50/p99",
        "added p50/p99",
        "gap p99 d/t",
        "core %",
        "us/token",
        "MB",
        "threads"
    );
}

fn print_level(level: &Level) {
    let (direct, through) = (&level.direct, &level.through);
    let added = |percentile| through.first_ms(percentile) - direct.first_ms(percentile);
    let core = level.processor.as_secs_f64() / level.time.as_secs_f64() * 100.0;
    let per_token = level.processor.as_micros() as f64 / through.tokens.max(1) as f64;
    println!(
        "{:>7} {:>8} {:>22} {:>22} {:>16} {:>16} {:>10.1} {:>10.1} {:>8.1} {:>8}",
        level.streams,
        through.whole,
        format!(
            "{:.1} / {:.1}",
            direct.first_ms(50.0),
            direct.first_ms(99.0)
        ),
        format!(
            "{:.1} / {:.1}",
            through.first_ms(50.0),
            through.first_ms(99.0)
        ),
        format!("{:.1} / {:.1}", added(50.0), added(99.0)),
        format!("{:.1} / {:.1}", direct.gap_ms(99.0), through.gap_ms(99.0)),
        core,
        per_token,
        megabytes(level.usage.resident_bytes),
        level.usage.threads
    );
}

fn megabytes(bytes: u64) -> f64 {
    bytes as f64 / 1e6
}

fn parse(list: &str) -> io::Result<Vec<u32>> {
    let numbers = list.split(',').map(|number| number.trim().parse::<u32>());
    numbers.collect::<Result<_, _>>().map_err(io::Error::other)
}
