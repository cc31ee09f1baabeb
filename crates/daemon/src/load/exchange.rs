//! Exchange of coarse load levels between daemons.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use entry::Context;
use peer::fact::levels;
use route::table::Vm;
use schema::member::{Exception, Fact, Load};
use tokio::time::Instant;

use super::Poller;

/// period of the exchange
const PERIOD: Duration = Duration::from_secs(1);
/// levels of the table per coarse level
const TABLE_LEVELS_PER_LEVEL: u8 = 4;

/// publishes load levels and applies those of other daemons
pub struct Exchange;

impl Exchange {
    /// starts the thread
    ///
    /// # Errors
    /// When the thread can't be started.
    pub fn start(context: Arc<Context>) -> std::io::Result<()> {
        let builder = thread::Builder::new().name("levels".to_owned());
        let run = move || loop {
            publish(&context);
            apply_received(&context);
            thread::sleep(PERIOD);
        };
        builder.spawn(run).map(drop)
    }
}

fn publish(context: &Context) {
    let mut vms = Poller::assigned(context);
    if vms.is_empty() {
        return;
    }
    vms.sort_by(|one, other| one.name.cmp(&other.name));
    let exceptions: Vec<Exception> = vms
        .iter()
        .filter_map(|vm| {
            let level = context.vms.load_level(&vm.name)? / TABLE_LEVELS_PER_LEVEL;
            Some(Exception {
                vm: vm.name.clone(),
                level,
            })
        })
        .collect();
    let all = vms_by_address(context);
    let hash = addresses_hash(&all);
    // a vector of all levels is used once it is shorter than the list of VM names
    let fact = match exceptions.len() * 8 > all.len() {
        true => Load {
            order: hash,
            levels: encode_levels(context, &all, &vms),
            exceptions: Vec::new(),
        },
        false => Load {
            order: hash,
            levels: String::new(),
            exceptions,
        },
    };
    context.node.publish(Fact::Load(fact));
}

/// encoded levels of `all`; `HIGHEST` stands for VMs that other daemons poll
fn encode_levels(context: &Context, all: &[Vm], assigned: &[Vm]) -> String {
    let mut vector = Vec::new();
    for vm in all {
        let polled = assigned.iter().any(|other| other.name == vm.name);
        let level = context.vms.load_level(&vm.name).filter(|_| polled);
        vector.push(level.map_or(levels::HIGHEST, |level| {
            (level / TABLE_LEVELS_PER_LEVEL).min(levels::HIGHEST - 1)
        }));
    }
    levels::encode(&vector)
}

fn apply_received(context: &Context) {
    let all = vms_by_address(context);
    let hash = addresses_hash(&all);
    let now = Instant::now();
    let me = context.node.me().instance;
    for load in context.node.loads() {
        if load.origin == me {
            continue;
        }
        let at = now.checked_sub(load.age).unwrap_or(now);
        for exception in &load.report.exceptions {
            context.vms.apply_level(
                &exception.vm,
                exception.level.saturating_mul(TABLE_LEVELS_PER_LEVEL),
                at,
            );
        }
        let vector = match load.report.order == hash {
            true => levels::decode(&load.report.levels).unwrap_or_default(),
            false => Vec::new(),
        };
        for (vm, level) in all.iter().zip(vector) {
            if level < levels::HIGHEST {
                context
                    .vms
                    .apply_level(&vm.name, level.saturating_mul(TABLE_LEVELS_PER_LEVEL), at);
            }
        }
    }
}

fn vms_by_address(context: &Context) -> Vec<Vm> {
    let data_centre = context.node.me().data_centre.clone();
    let rows = context.vms.snapshot(Instant::now());
    let mut vms: Vec<Vm> = rows.into_iter().map(|row| row.vm).collect();
    vms.retain(|vm| vm.data_centre == data_centre);
    vms.sort_by(|one, other| one.address.cmp(&other.address));
    vms
}

fn addresses_hash(vms: &[Vm]) -> u32 {
    levels::addresses_hash(vms.iter().map(|vm| vm.address.as_str()))
}
