//! Divides the workspaces' limits among the daemons by their demand.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use entry::Context;
use route::limit::Demand;
use schema::member::{self, Fact};
use tokio::time::Instant;

/// period at which demand is published and shares are set
const PERIOD: Duration = Duration::from_secs(1);

/// starts the thread that publishes local demand and sets the shares by that of peers
///
/// # Errors
/// When the thread can't be started.
pub fn start(context: Arc<Context>) -> std::io::Result<()> {
    let builder = thread::Builder::new().name("shares".to_owned());
    let run = move || loop {
        publish_demand(&context);
        set_shares(&context);
        thread::sleep(PERIOD);
    };
    builder.spawn(run).map(drop)
}

fn publish_demand(context: &Context) {
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

fn set_shares(context: &Context) {
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
        let peers = Demand {
            workspace: workspace.name.clone(),
            tokens_per_second: tokens,
            concurrent: u32::try_from(concurrent).unwrap_or(u32::MAX),
        };
        context
            .limits
            .set_peer_demand(&workspace.name, &peers, daemons.max(1), now);
    }
}
