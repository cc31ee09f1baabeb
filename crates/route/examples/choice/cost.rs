//! CPU time of one pick.

use std::time::{Duration, Instant as Clock};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use route::table::{Location, Outcome, Request, Table};
use schema::settings::Policy;
use tokio::time::Instant;

use crate::simulation::{declaration, vms};
use crate::workload::{Source, Workload};

const PICKS: u32 = 20_000;

/// prints the mean time of a pick and its finish for fleets of 75 and 600 VMs
pub fn print() {
    for count in [75, 600] {
        for policy in [Policy::Affinity, Policy::Least, Policy::Turns] {
            let micros = measure(count, policy);
            println!("cost vms={count} policy={policy} pick_and_finish_us={micros:.1}");
        }
    }
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
