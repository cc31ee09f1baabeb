use std::rc::Rc;

use schema::member::Member;
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::charge::CHARGE_TIMEOUT;
use super::message::Charge;
use super::owners::Owner;
use crate::adapter::Dialect;
use crate::shared::Shared;

/// method by which a daemon gives back units of a request that did not run
pub const REFUND_METHOD: &str = "gateway_refund";

/// gives back the units of a request that did not run, so that it does not count when the caller
/// repeats it
pub fn refund<D: Dialect + 'static>(shared: &Rc<Shared<D>>, workspace: &str, units: f64) {
    let now = Instant::now();
    if let Some(quota) = shared.quotas.borrow_mut().get_mut(workspace) {
        quota.refund(units, now);
    }
    match shared.owners.find(workspace, now) {
        Owner::Local => {
            if let Some(ledger) = shared.ledgers.borrow_mut().get_mut(workspace) {
                ledger.refund(units, now);
            }
        }
        Owner::Peer(owner) => {
            let charge = Charge {
                workspace: workspace.to_owned(),
                zone: shared.settings.zone.clone(),
                units,
                refused: 0.0,
                is_late: false,
            };
            spawn_local(send_refund(Rc::clone(shared), owner, charge));
        }
        Owner::Nobody => {}
    }
}

/// applies a refund of another daemon
pub fn refund_peer<D: Dialect>(shared: &Shared<D>, charge: &Charge) {
    if let Some(ledger) = shared.ledgers.borrow_mut().get_mut(&charge.workspace) {
        ledger.refund_peer(charge.units, Instant::now());
    }
}

/// tells the owner of a limit once; a lost refund only makes the limit smaller
async fn send_refund<D: Dialect>(shared: Rc<Shared<D>>, owner: Box<Member>, charge: Charge) {
    let Some(node) = shared.owners.node() else {
        return;
    };
    let sent = node
        .call::<Charge, ()>(&owner, REFUND_METHOD, &charge, CHARGE_TIMEOUT)
        .await;
    if let Err(error) = sent {
        tracing::debug!(event = "refund_lost", peer = owner.vm, workspace = charge.workspace, %error);
    }
}
