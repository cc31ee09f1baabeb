//! The limits of all workspaces on this daemon.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use schema::config::Declaration;
use tokio::time::Instant;

use super::account::Account;
use super::{Demand, Permit};
use crate::{Reason, Refusal};

type Accounts = HashMap<String, Arc<Mutex<Account>>>;

/// the limits that all workers of a daemon share
#[derive(Debug, Default)]
pub struct Limits {
    accounts: RwLock<Accounts>,
}

impl Limits {
    /// returns limits without workspaces
    pub fn new() -> Limits {
        Limits::default()
    }

    /// applies the workspaces of a declaration
    pub fn configure(&self, declaration: &Declaration) {
        let mut accounts = self
            .accounts
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let mut next = Accounts::new();
        for workspace in &declaration.workspaces {
            let account = match accounts.remove(&workspace.name) {
                Some(existing) => {
                    lock(&existing).configure(workspace);
                    existing
                }
                None => Arc::new(Mutex::new(Account::new(workspace))),
            };
            next.insert(workspace.name.clone(), account);
        }
        *accounts = next;
    }

    /// applies the total demand of the peers, and the number of daemons
    ///
    /// `daemons` includes this one. Until the first call this daemon has the whole limit.
    pub fn set_peer_demand(&self, workspace: &str, peers: &Demand, daemons: u32, now: Instant) {
        if let Some(account) = self.find(workspace) {
            lock(&account).set_peer_demand(peers, daemons, now);
        }
    }

    /// admits a request and reserves tokens for its prompt and expected output
    pub fn admit(
        &self,
        workspace: &str,
        tokens: u32,
        priority: u8,
        now: Instant,
    ) -> Result<Permit, Refusal> {
        let Some(account) = self.find(workspace) else {
            return Err(Refusal::new(Reason::UnknownWorkspace));
        };
        lock(&account).admit(tokens, priority, now)?;
        Ok(Permit {
            account,
            reserved: tokens,
        })
    }

    /// corrects a reservation to the tokens used and ends the request in flight
    pub fn settle(&self, permit: Permit, used_tokens: u32, now: Instant) {
        lock(&permit.account).settle(permit.reserved, used_tokens, now);
        drop(permit);
    }

    /// returns the demand to report to peers, of the workspaces that have any
    pub fn demand(&self, now: Instant) -> Vec<Demand> {
        let accounts = self.accounts.read().unwrap_or_else(PoisonError::into_inner);
        let mut demands: Vec<Demand> = accounts
            .iter()
            .filter_map(|(workspace, account)| lock(account).demand(workspace, now))
            .collect();
        demands.sort_by(|one, other| one.workspace.cmp(&other.workspace));
        demands
    }

    /// returns this daemon's share of a workspace's tokens per second
    pub fn tokens_share(&self, workspace: &str) -> Option<f64> {
        let account = self.find(workspace)?;
        let share = lock(&account).tokens_share();
        Some(share)
    }

    fn find(&self, workspace: &str) -> Option<Arc<Mutex<Account>>> {
        let accounts = self.accounts.read().unwrap_or_else(PoisonError::into_inner);
        accounts.get(workspace).map(Arc::clone)
    }
}

fn lock(account: &Mutex<Account>) -> MutexGuard<'_, Account> {
    account.lock().unwrap_or_else(PoisonError::into_inner)
}
