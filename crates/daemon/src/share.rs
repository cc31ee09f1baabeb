//! Shares of the workspaces' limits, by spread demand.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use entry::Context;
use route::limit::Demand;
use schema::member::{self, Fact};
use tokio::time::Instant;

/// period of telling and taking in demand
const PERIOD: Duration = Duration::from_secs(1);

/// starts to tell the own demand and to set the shares by that of others
///
/// # Errors
/// When the thread can't be started.
pub fn start(context: Arc<Context>) -> std::io::Result<()> {
    let builder = thread::Builder::new().name("shares".to_owned());
    let run = move || loop {
        tell(&context);
        take_in(&context);
        thread::sleep(PERIOD);
    };
    builder.spawn(run).map(drop)
}

fn tell(context: &Context) {
    let demands = context.limits.demand(Instant::now());
    let entries: Vec<member::Entry> = demands
        .into_iter()
        .map(|demand| member::Entry {
            workspace: demand.workspace,
            tokens_per_second: demand.tokens_per_second,
            concurrent: demand.concurrent,
        })
        .collect();
    context
        .node
        .publish(Fact::Demand(member::Demand { entries }));
}

fn take_in(context: &Context) {
    let now = Instant::now();
    let snapshot = context.snapshot.load();
    let daemons = context.node.members().len() as u32;
    context.vms.set_daemons(daemons.max(1));
    for workspace in &snapshot.declaration.workspaces {
        let demand = context.node.demand(&workspace.name);
        let tokens = demand
            .fleet
            .tokens_per_second
            .saturating_sub(demand.local.tokens_per_second);
        let concurrent = demand
            .fleet
            .concurrent
            .saturating_sub(demand.local.concurrent);
        let others = Demand {
            workspace: workspace.name.clone(),
            tokens_per_second: tokens,
            concurrent: u32::try_from(concurrent).unwrap_or(u32::MAX),
        };
        context
            .limits
            .set_peer_demand(&workspace.name, &others, daemons.max(1), now);
    }
}
