//! Coarse load levels between daemons.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use entry::Context;
use peer::fact::levels;
use route::table::Vm;
use schema::member::{Exception, Fact, Load};
use tokio::time::Instant;

use super::Poller;

/// period of telling the other daemons
const PERIOD: Duration = Duration::from_secs(1);
/// levels of the table per level told to other daemons
const STEP: u8 = 4;

/// tells load levels and takes in those of others
pub struct Spread;

impl Spread {
    /// starts to tell and to take in
    ///
    /// # Errors
    /// When the thread can't be started.
    pub fn start(context: Arc<Context>) -> std::io::Result<()> {
        let builder = thread::Builder::new().name("levels".to_owned());
        let run = move || loop {
            tell(&context);
            take_in(&context);
            thread::sleep(PERIOD);
        };
        builder.spawn(run).map(drop)
    }
}

fn tell(context: &Context) {
    let mut vms = Poller::mine(context);
    if vms.is_empty() {
        return;
    }
    vms.sort_by(|one, other| one.name.cmp(&other.name));
    let exceptions: Vec<Exception> = vms
        .iter()
        .filter_map(|vm| {
            let level = context.vms.load_level(&vm.name)? / STEP;
            Some(Exception {
                vm: vm.name.clone(),
                level,
            })
        })
        .collect();
    let all = sorted(context);
    let order = order(&all);
    // A vector pays once it is shorter than the names of the VMs it is about.
    let fact = match exceptions.len() * 8 > all.len() {
        true => Load {
            order,
            levels: vector(context, &all, &vms),
            exceptions: Vec::new(),
        },
        false => Load {
            order,
            levels: String::new(),
            exceptions,
        },
    };
    context.node.publish(Fact::Load(fact));
}

/// levels of all VMs in order; those that others poll are left at the highest
fn vector(context: &Context, all: &[Vm], mine: &[Vm]) -> String {
    let mut vector = Vec::new();
    for vm in all {
        let polled = mine.iter().any(|other| other.name == vm.name);
        let level = context.vms.load_level(&vm.name).filter(|_| polled);
        vector.push(level.map_or(levels::HIGHEST, |level| {
            (level / STEP).min(levels::HIGHEST - 1)
        }));
    }
    levels::encode(&vector)
}

fn take_in(context: &Context) {
    let all = sorted(context);
    let order = order(&all);
    let now = Instant::now();
    let me = context.node.me().instance;
    for load in context.node.loads() {
        if load.origin == me {
            continue;
        }
        let at = now.checked_sub(load.age).unwrap_or(now);
        for exception in &load.report.exceptions {
            context
                .vms
                .apply_level(&exception.vm, exception.level.saturating_mul(STEP), at);
        }
        let vector = match load.report.order == order {
            true => levels::decode(&load.report.levels).unwrap_or_default(),
            false => Vec::new(),
        };
        for (vm, level) in all.iter().zip(vector) {
            if level < levels::HIGHEST {
                context
                    .vms
                    .apply_level(&vm.name, level.saturating_mul(STEP), at);
            }
        }
    }
}

fn sorted(context: &Context) -> Vec<Vm> {
    let place = context.node.me().data_centre.clone();
    let rows = context.vms.snapshot(Instant::now());
    let mut vms: Vec<Vm> = rows.into_iter().map(|row| row.vm).collect();
    vms.retain(|vm| vm.data_centre == place);
    vms.sort_by(|one, other| one.address.cmp(&other.address));
    vms
}

fn order(vms: &[Vm]) -> u32 {
    levels::addresses_hash(vms.iter().map(|vm| vm.address.as_str()))
}
