//! An admitted request of a workspace.

use std::sync::{Arc, Mutex, PoisonError};

use super::account::Account;

/// holds a place in flight until it is settled or dropped
///
/// Dropped without being settled, it counts as having used what it reserved.
#[derive(Debug)]
pub struct Permit {
    pub(super) account: Arc<Mutex<Account>>,
    pub(super) reserved: u32,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let account = self.account.lock();
        account.unwrap_or_else(PoisonError::into_inner).release();
    }
}
