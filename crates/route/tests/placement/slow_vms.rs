//! Load pattern: a sixth of the VMs of a service is slower for a time, then others are.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::placement::{
    Balancer, Choice, Completion, Distance, Outcome, Request, Sample, Slowness, TimeLimit, Work,
};
use tokio::time::Instant;

use super::cluster::Setup;
use super::learned_engines::{run, setup};
use super::{SERVICE, balancer, engine, plain, request, sent};

const VMS: usize = 18;

/// share of the requests that went to a slow VM
fn slow_share(daemons: usize, period_ms: u64, ratio: u64, seed: u64) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let base = Instant::now();
    let members = || (0..VMS).map(|vm| plain(&format!("vm-{vm}"), Distance::Zone));
    let mut balancers: Vec<Balancer> = (0..daemons)
        .map(|_| balancer(members().collect()))
        .collect();
    let mut ends: BinaryHeap<Reverse<(u64, usize, usize, u64)>> = BinaryHeap::new();
    let is_slow = |vm: usize, us: u64| (vm as u64 + us / 1000 / period_ms).is_multiple_of(6);
    let (mut slow, mut total, mut report_us) = (0.0, 0.0, 0);
    // 800 requests a second for 12 s
    for number in 0..9_600u64 {
        let us = number * 1_250;
        while let Some(Reverse((end_us, daemon, vm, took))) = ends.peek().copied() {
            if end_us > us {
                break;
            }
            ends.pop();
            let completion = Completion {
                service: SERVICE,
                id: &format!("vm-{vm}"),
                work: &Work::default(),
                outcome: Outcome::Answered,
                took: Some(Duration::from_micros(took)),
            };
            balancers[daemon].end(&completion, base + Duration::from_micros(end_us));
        }
        let now = base + Duration::from_micros(us);
        if us >= report_us {
            report_us += 500_000;
            for daemon in 0..daemons {
                let reported = balancers[daemon].slow_vms(now);
                for (other, balancer) in balancers.iter_mut().enumerate() {
                    if other != daemon {
                        balancer.set_peer_slow_vms(&reported, now);
                    }
                }
            }
        }
        let daemon = rng.random_range(0..daemons);
        let request = Request {
            draw: rng.random(),
            ..request(&[], &[])
        };
        let id = sent(balancers[daemon].choose(&request, now)).id;
        balancers[daemon].begin(&request, &id, &Work::default(), now);
        let vm: usize = id[3..].parse().expect("the number of a VM");
        let took = rng.random_range(60_000..90_000) * if is_slow(vm, us) { ratio } else { 10 } / 10;
        ends.push(Reverse((us + took, daemon, vm, took)));
        if us > 2_000_000 {
            total += 1.0;
            slow += f64::from(u8::from(is_slow(vm, us)));
        }
    }
    slow / total
}

/// many daemons, each of which sends two requests a second to a VM: with the moving average of its own
/// response times alone, 6.1 % of the requests went to the sixth that is slow
#[test]
fn requests_move_away_from_slow_vms_of_a_plain_service() {
    for seed in 0..3 {
        let share = slow_share(24, 3_000, 50, seed);
        println!("seed {seed}: {share:.3} of the requests went to slow VMs");
        assert!(share < 0.05, "{share:.3} of the requests went to slow VMs");
    }
}

/// requests of engines were late as long as the expected time did not account for a slow VM: 11.6 %
#[test]
fn requests_move_away_from_slow_engines() {
    for (slow, period_ms) in [(5.0, 3000), (7.5, 3000)] {
        let (mut late, mut requests) = (0, 0);
        for seed in 0..4 {
            let (summary, ..) = run(Setup {
                daemons: 12,
                vms: 90,
                rate: 130.0,
                loss_s: 0,
                end_s: 15,
                slow,
                period_ms,
                ..setup(61.8, true, seed)
            });
            late += summary.late;
            requests += summary.requests;
        }
        println!("{slow} times slower: {late} of {requests} late");
        assert!(late * 100 < requests * 9, "{late} of {requests}");
    }
}

fn sample(expected_ms: u64, took_ms: u64) -> Sample {
    Sample {
        prefill_tokens: 1000,
        running: 0,
        wait: Duration::ZERO,
        expected: Duration::from_millis(expected_ms),
        excess: Duration::ZERO,
        took: Duration::from_millis(took_ms),
    }
}

/// a balancer whose second VM was slow for a time
fn with_slow_vm(slow_ms: u64, now: Instant) -> Balancer {
    let members = ["vm-0", "vm-1", "vm-2"].map(|id| engine(id, Distance::Zone));
    let mut balancer = balancer(members.to_vec());
    for step in 0..slow_ms / 50 {
        let at = now + Duration::from_millis(step * 50);
        for id in ["vm-0", "vm-2"] {
            balancer.record_sample(SERVICE, id, &sample(80, 80), at);
        }
        balancer.record_sample(SERVICE, "vm-1", &sample(80, 240), at);
    }
    balancer
}

/// guards against VMs that are avoided for long after a short period, and against a return of all
/// requests at once
#[test]
fn requests_return_a_few_at_a_time_within_the_age_of_the_slow_period() {
    let now = Instant::now();
    for slow_ms in [800, 3000] {
        let balancer = with_slow_vm(slow_ms, now);
        let end = now + Duration::from_millis(slow_ms);
        let share = |after_ms: u64| {
            let at = end + Duration::from_millis(after_ms);
            let chosen = (0..600).filter(|draw| {
                let parts = [(1_000 + draw, 1_000)];
                let request = Request {
                    time_limit: TimeLimit::total(Duration::from_secs(2)),
                    ..request(&parts, &[])
                };
                matches!(balancer.choose(&request, at), Choice::Send(pick) if pick.id == "vm-1")
            });
            chosen.count()
        };
        let counts: Vec<usize> = (0..12).map(|step| share(step * slow_ms / 4)).collect();
        println!("{slow_ms} ms: {counts:?}");
        assert!(counts[0] < 20, "{counts:?}");
        let partial = counts.iter().filter(|count| (20..170).contains(*count));
        assert!(partial.count() >= 1, "all returned at once: {counts:?}");
        assert!(counts[11] > 170, "never used again: {counts:?}");
    }
}

/// what slows down all VMs must not mark any of them
#[test]
fn a_service_that_is_slower_than_expected_has_no_slow_vm() {
    let now = Instant::now();
    let members = (0..6).map(|vm| engine(&format!("vm-{vm}"), Distance::Zone));
    let mut balancer = balancer(members.collect());
    for step in 0..600 {
        let at = now + Duration::from_millis(step * 10);
        let took = if step < 60 { 90 } else { 400 } + step % 7 * 10;
        balancer.record_sample(SERVICE, &format!("vm-{}", step % 6), &sample(80, took), at);
    }
    assert!(balancer.slow_vms(now + Duration::from_secs(6)).is_empty());
}

/// a daemon that has sent nothing to a VM uses what a peer reports, which fades as well
#[test]
fn a_report_of_a_slow_vm_counts_for_a_time() {
    let now = Instant::now();
    let sender = with_slow_vm(800, now);
    let at = now + Duration::from_millis(800);
    let reported = sender.slow_vms(at);
    assert_eq!(reported.keys().collect::<Vec<_>>(), ["vm-1"]);
    let text = serde_json::to_string(&reported).expect("a report");
    assert!(text.len() < 24, "{text}");
    let read: std::collections::HashMap<String, Slowness> =
        serde_json::from_str(&text).expect("a report");
    let mut receiver = balancer(vec![engine("vm-1", Distance::Zone)]);
    receiver.set_peer_slow_vms(&read, at);
    assert!(receiver.slow_factor(SERVICE, "vm-1", at) > 1.8);
    let later = at + Duration::from_millis(2_400);
    assert!(receiver.slow_factor(SERVICE, "vm-1", later) <= 1.0);
}
