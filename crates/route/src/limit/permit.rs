//! An admitted request of a workspace.

use std::sync::{Arc, Mutex, PoisonError};

use super::account::Account;

/// counts as one request in flight until it is settled or dropped
///
/// A permit that is dropped without being settled counts as having used its reservation.
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
