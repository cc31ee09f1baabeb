use std::rc::Rc;
use std::time::Duration;

use route::quota::{Ledger, Timeliness};
use schema::member::Member;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

use super::deputy::copy_to_deputy;
use super::message::{Charge, Ruling};
use super::owners::Owner;
use crate::adapter::Dialect;
use crate::shared::Shared;

/// method by which a daemon charges units to a limit that another one owns
pub const CHARGE_METHOD: &str = "gateway_charge";

/// time limit of a call to the owner of a limit, which the caller waits for: three times the round
/// trip between regions
pub(super) const CHARGE_TIMEOUT: Duration = Duration::from_millis(150);

/// time limit of the call itself, which opens the connection if there is none
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// charges units to the limit of a workspace; one without a limit is charged nothing
///
/// # Errors
/// Returns the time until enough units are expected to be available.
pub async fn charge<D: Dialect>(
    shared: &Shared<D>,
    workspace: &str,
    units: f64,
    timeliness: Timeliness,
) -> Result<(), Duration> {
    let refused = match shared.quotas.borrow_mut().get_mut(workspace) {
        None => return Ok(()),
        Some(quota) => match quota.known_refusal(units, timeliness, Instant::now()) {
            Some(wait) => return Err(wait),
            None => quota.take_backlog(),
        },
    };
    let charge = Charge {
        workspace: workspace.to_owned(),
        zone: shared.settings.zone.clone(),
        units,
        refused,
        is_late: timeliness == Timeliness::Late,
    };
    let ruling = decide(shared, &charge).await;
    let now = Instant::now();
    let mut quotas = shared.quotas.borrow_mut();
    let Some(quota) = quotas.get_mut(workspace) else {
        return Ok(());
    };
    match ruling {
        Ruling::Granted => {
            quota.record_spent(units, now);
            Ok(())
        }
        Ruling::Refused { wait_ms } => {
            let wait = Duration::from_millis(wait_ms);
            quota.record_refused((units, timeliness), wait, shared.daemons.get(), now);
            Err(wait)
        }
        Ruling::NotOwner => quota.spend(units, timeliness, now),
    }
}

/// the decision of the owner, or of the deputy if the owner turns out to be silent
async fn decide<D: Dialect>(shared: &Shared<D>, charge: &Charge) -> Ruling {
    for _ in 0..2 {
        match shared.owners.find(&charge.workspace, Instant::now()) {
            Owner::Local => return rule(shared, charge, true),
            Owner::Peer(owner) => {
                if let Some(ruling) = ask(shared, &owner, charge).await {
                    return ruling;
                }
            }
            Owner::Nobody => return Ruling::NotOwner,
        }
    }
    Ruling::NotOwner
}

/// decides on a charge of another daemon
pub fn rule_for_peer<D: Dialect>(shared: &Shared<D>, charge: &Charge) -> Ruling {
    if !shared.owners.may_decide(&charge.workspace) {
        return Ruling::NotOwner;
    }
    rule(shared, charge, false)
}

/// decides on a charge to a limit that this daemon owns
fn rule<D: Dialect>(shared: &Shared<D>, charge: &Charge, is_own: bool) -> Ruling {
    let now = Instant::now();
    let quotas = shared.quotas.borrow();
    let Some(quota) = quotas.get(&charge.workspace) else {
        return Ruling::NotOwner;
    };
    let part = shared.owners.part();
    let (limit, level) = (quota.limit().part(part), quota.level() * part);
    let assumed = quota.assumed_peer_spent() * part;
    let mut ledgers = shared.ledgers.borrow_mut();
    let ledger = ledgers
        .entry(charge.workspace.clone())
        .or_insert_with(|| Ledger::new(limit, level, assumed, now));
    ledger.configure(limit, now);
    ledger.resume(level, now);
    if charge.refused > 0.0 {
        ledger.record_refused(charge.refused, now);
    }
    let timeliness = if charge.is_late {
        Timeliness::Late
    } else {
        Timeliness::InTime
    };
    let charged = if is_own {
        ledger.charge(charge.units, timeliness, now)
    } else {
        ledger.charge_peer(&charge.zone, charge.units, timeliness, now)
    };
    if let Some(copied) = ledger.copy(now) {
        copy_to_deputy(shared, &charge.workspace, copied);
    }
    charged.map_or_else(Ruling::refused, |()| Ruling::Granted)
}

/// opens connections to the owners of this daemon's limits that it has not asked yet: the first call
/// to another region takes three round trips, longer than a caller waits
pub fn connect_to_owners<D: Dialect + 'static>(shared: &Rc<Shared<D>>) {
    let now = Instant::now();
    let workspaces: Vec<String> = shared.quotas.borrow().keys().cloned().collect();
    for workspace in workspaces {
        if let Owner::Peer(owner) = shared.owners.find(&workspace, now)
            && shared.owners.record_contact(&owner)
        {
            let charge = Charge {
                workspace,
                zone: shared.settings.zone.clone(),
                units: 0.0,
                refused: 0.0,
                is_late: false,
            };
            let shared = Rc::clone(shared);
            spawn_local(async move { ask(&shared, &owner, &charge).await });
        }
    }
}

/// asks the owner of a limit; one that does not answer is left alone for a while, and none returned
///
/// The call goes on after the wait, so that a connection that is being opened serves later calls.
async fn ask<D: Dialect>(shared: &Shared<D>, owner: &Member, charge: &Charge) -> Option<Ruling> {
    let node = shared.owners.node()?;
    let (member, message) = (owner.clone(), charge.clone());
    let call = spawn_local(async move {
        node.call::<Charge, Ruling>(&member, CHARGE_METHOD, &message, CALL_TIMEOUT)
            .await
    });
    let cause = match timeout(CHARGE_TIMEOUT, call).await {
        Ok(Ok(Ok(ruling))) => return Some(ruling),
        Ok(Ok(Err(error))) => error.to_string(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no answer in time".to_owned(),
    };
    shared.owners.record_silence(&owner.vm, Instant::now());
    if let Some(left_out) = shared.permit_log("limit_owner_silent") {
        let workspace = &charge.workspace;
        tracing::info!(
            event = "limit_owner_silent",
            peer = owner.vm,
            workspace,
            cause,
            left_out
        );
    }
    None
}
