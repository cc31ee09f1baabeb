//! CPU time of one pick.

use std::time::{Duration, Instant as Clock};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use route::placement::{self, Balancer, Choice, Distance, Load, Member, TimeLimit, Work};
use route::table::{Location, Outcome, Request, Table};
use schema::settings::Policy;
use tokio::time::Instant;

use crate::simulation::{declaration, vms};
use crate::workload::{Source, Workload};

const PICKS: u32 = 20_000;
/// as of the deployment with the larger tokens
const TRANSFER: Option<placement::Transfer> = Some(placement::Transfer {
    token_bytes: 163_840,
    link_bytes_per_s: 550_000.0 * 1e6 / 8.0,
});
const CHOICES: u64 = 5_000;

/// prints the mean time of a pick and its finish for fleets of 75 and 600 VMs
pub fn print() {
    for count in [75, 600] {
        for policy in [Policy::Affinity, Policy::Least, Policy::Turns] {
            let micros = measure(count, policy);
            println!("cost vms={count} policy={policy} pick_and_finish_us={micros:.1}");
        }
    }
    for count in [75, 600] {
        let micros = measure_placement(count);
        println!("cost vms={count} placement choose_us={micros:.1}");
    }
}

/// mean time of a choice by the gateway's balancer, with the loads that three peers reported
fn measure_placement(count: usize) -> f64 {
    let members = (0..count).map(|index| Member {
        id: format!("vm-{index}"),
        started_at_ms: 0,
        version: String::new(),
        distance: [Distance::Zone, Distance::Region, Distance::Link][index % 3],
        slots: 32,
        cache_tokens: Some(531_149),
        transfer: TRANSFER,
        connections: 400,
    });
    let mut balancer = Balancer::new();
    balancer.set_members("model", members.collect());
    let now = Instant::now();
    for peer in ["a", "b", "c"] {
        let loads = (0..count).map(|index| {
            let load = Load {
                running: 3,
                prefill_tokens: 20_000 + index as u64 % 7 * 3_000,
                held: 20_000,
            };
            (format!("vm-{index}"), load)
        });
        balancer.set_peer_loads(peer, loads.collect(), now);
    }
    let mut vms = 0;
    let start = Clock::now();
    for number in 0..CHOICES {
        let parts = [(number % 50, 8_000), (1_000 + number, 2_000)];
        let request = placement::Request {
            service: "model",
            parts: &parts,
            prompt_tokens: 10_000,
            output_tokens: 200,
            time_limit: TimeLimit::total(Duration::from_secs(5)),
            draw: number,
            avoid: &[],
            version: None,
        };
        if let Choice::Send(pick) = balancer.choose(&request, now) {
            vms += usize::from(!pick.id.is_empty());
            if number < 200 {
                balancer.begin(&request, &pick.id, &Work::default(), now);
            }
        }
    }
    assert!(vms > 0, "no VM was chosen");
    start.elapsed().as_secs_f64() * 1e6 / CHOICES as f64
}

fn measure(count: usize, policy: Policy) -> f64 {
    let names: Vec<String> = (0..count).map(|index| format!("vm-{index}")).collect();
    let location = Location {
        data_centre: "a".to_owned(),
        region: "r".to_owned(),
    };
    let table = Table::new(location, policy);
    table.configure(&declaration());
    table.set_vms(&vms(&names));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut source = Source::new(Workload::Shared);
    let requests: Vec<_> = (0..1000).map(|_| source.next(&mut rng)).collect();
    let now = Instant::now();
    let start = Clock::now();
    for pick in 0..PICKS {
        let request = &requests[pick as usize % requests.len()];
        let route_request = Request {
            service: "model",
            blocks: &request.blocks,
            prompt_tokens: request.prompt_tokens,
            prior_tokens: 0,
            max_tokens: 240,
            priority: 5,
            avoid: &[],
            deadline: now + Duration::from_secs(60),
            first_token: Duration::from_millis(460),
        };
        if let Ok(pick) = table.pick(&route_request, &mut rng, now) {
            table.finish(pick.permit, Outcome::Cancelled, now);
        }
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(PICKS)
}
