//! Bad versions are stopped within their bounds, and good ones are completed in time.

mod service;

use route::rollout::{State, Verdict};
use service::{Fault, Noise, Outcome, Service, Shape};

const SEEDS: u64 = 200;

const LARGE: Shape = Shape {
    per_s: 730.0,
    vms: 90,
    zones: 6,
    daemons: 91,
    duration_ms: 12_000,
};

const SMALL: Shape = Shape {
    per_s: 30.0,
    vms: 9,
    zones: 3,
    daemons: 9,
    duration_ms: 16_000,
};

fn failing(part: f64) -> Fault {
    Fault {
        part,
        ..Fault::default()
    }
}

fn slow(part: f64, slowness: f64) -> Fault {
    Fault {
        slowness,
        ..failing(part)
    }
}

fn outcomes(shape: Shape, fault: Option<Fault>, noise: Noise, seeds: u64) -> Vec<Outcome> {
    (0..seeds)
        .map(|seed| Service::new(shape, fault, noise, seed).run(seed))
        .collect()
}

#[test]
fn trial() {
    let seeds = std::env::var("SEEDS").map_or(SEEDS, |text| text.parse().unwrap());
    let late = |fault: Fault, from_ms| Fault { from_ms, ..fault };
    let bad: Vec<(&str, Fault, Noise)> = vec![
        ("half fail", failing(0.5), Noise::None),
        ("third fail", failing(1.0 / 3.0), Noise::None),
        ("tenth fail", failing(0.1), Noise::None),
        ("half slow 8", slow(0.5, 8.0), Noise::None),
        ("third slow 5", slow(1.0 / 3.0, 5.0), Noise::None),
        ("third slow 3", slow(1.0 / 3.0, 3.0), Noise::None),
        (
            "late 4s third fail",
            late(failing(1.0 / 3.0), 4000),
            Noise::None,
        ),
        (
            "late 3s third slow 8",
            late(slow(1.0 / 3.0, 8.0), 3000),
            Noise::None,
        ),
        (
            "load half fail",
            Fault {
                is_under_load: true,
                ..failing(0.5)
            },
            Noise::None,
        ),
        (
            "route half fail",
            Fault {
                is_on_one_route: true,
                ..failing(0.5)
            },
            Noise::None,
        ),
        (
            "route half slow 6",
            Fault {
                is_on_one_route: true,
                ..slow(0.5, 6.0)
            },
            Noise::None,
        ),
        ("third fail + 45", failing(1.0 / 3.0), Noise::Failing),
        (
            "third slow 8 + slow vms",
            slow(1.0 / 3.0, 8.0),
            Noise::SlowVms,
        ),
    ];
    for shape in [LARGE, SMALL] {
        for (name, fault, noise) in &bad {
            let all = outcomes(shape, Some(*fault), *noise, seeds);
            let wrong = all.iter().filter(|o| o.verdict != Verdict::Bad).count();
            let over = all.iter().filter(|o| o.exposed as f64 > o.bound()).count();
            let late = all.iter().filter(|o| o.late_ms > 5000).count();
            let worst = all
                .iter()
                .map(|o| o.exposed as f64 / o.bound())
                .fold(0.0, f64::max);
            let late_ms = all.iter().map(|o| o.late_ms).max().unwrap();
            let mut ended: Vec<u64> = all.iter().map(|o| o.ended_ms).collect();
            ended.sort();
            let naive = all
                .iter()
                .filter(|o| o.naive_exposed as f64 > o.bound() || o.naive_late_ms > 5000)
                .count();
            println!(
                "{} {name}: wrong {wrong} over {over} late {late} worst {worst:.2} {late_ms} median stop {} max {} naive broken {naive}",
                shape.per_s,
                ended[ended.len() / 2],
                ended.last().unwrap()
            );
        }
        for noise in [
            Noise::None,
            Noise::Failing,
            Noise::SlowVms,
            Noise::SlowNewVms,
            Noise::Crashes,
            Noise::Zone,
            Noise::Lost,
            Noise::Cold,
            Noise::Periods,
            Noise::SlowDaemons,
        ] {
            let all = outcomes(shape, None, noise, seeds);
            let wrong: Vec<_> = all.iter().filter(|o| o.verdict == Verdict::Bad).collect();
            let missed = all.iter().filter(|o| o.state != State::Completed).count();
            let ended = all.iter().map(|o| o.ended_ms).max().unwrap();
            let naive = all.iter().filter(|o| o.naive_stopped > 0).count();
            println!(
                "{} {noise:?}: wrong {} missed {missed} ended {ended} naive broken {naive} {:?}",
                shape.per_s,
                wrong.len(),
                wrong
                    .first()
                    .map(|o| (o.ended_ms, o.decision.unwrap().finding))
            );
        }
    }
}
