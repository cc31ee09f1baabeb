use route::quota::{Copied, Ledger};
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::charge::CALL_TIMEOUT;
use super::message::LedgerCopy;
use crate::adapter::Dialect;
use crate::shared::Shared;

/// method by which the owner of a limit copies its ledger to its deputy
pub const COPY_METHOD: &str = "gateway_ledger";

/// sends a copy of a ledger to the deputy; if it is lost, the next one follows
pub(super) fn copy_to_deputy<D: Dialect>(shared: &Shared<D>, workspace: &str, copied: Copied) {
    let (Some(node), Some(deputy)) = (shared.owners.node(), shared.owners.deputy(workspace)) else {
        return;
    };
    let message = LedgerCopy {
        workspace: workspace.to_owned(),
        level: copied.level,
        unreported: copied.unreported,
        total: copied.total,
        from: shared.settings.name.clone(),
    };
    spawn_local(async move {
        let sent = node
            .call::<LedgerCopy, ()>(&deputy, COPY_METHOD, &message, CALL_TIMEOUT)
            .await;
        if let Err(error) = sent {
            let workspace = message.workspace;
            tracing::debug!(event = "ledger_not_copied", peer = deputy.vm, workspace, %error);
        }
    });
}

/// applies a copy of the ledger of a limit that this daemon is the deputy for
pub fn restore_ledger<D: Dialect>(shared: &Shared<D>, message: &LedgerCopy) {
    let now = Instant::now();
    let quotas = shared.quotas.borrow();
    let Some(quota) = quotas.get(&message.workspace) else {
        return;
    };
    let limit = quota.limit().part(shared.owners.part());
    let copied = Copied {
        level: message.level,
        unreported: message.unreported,
        total: message.total,
    };
    let mut ledgers = shared.ledgers.borrow_mut();
    match ledgers.get_mut(&message.workspace) {
        Some(ledger) => ledger.restore(&message.from, copied, now),
        None => {
            let ledger = Ledger::new(limit, copied.level, copied.unreported, now);
            ledgers.insert(message.workspace.clone(), ledger);
        }
    }
}
