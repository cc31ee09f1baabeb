//! Interface of a cloud that [`crate::Autoscaler`] uses.

use schema::cloud::{Price, Start, Vm};

use super::error::Error;

/// cloud in which VMs are started
pub trait Cloud {
    /// all VMs; the list may lag behind changes
    ///
    /// # Errors
    /// When the call fails.
    fn list(&self) -> Result<Vec<Vm>, Error>;

    /// starts a VM, or returns the one that already exists under this name
    ///
    /// # Errors
    /// When the call fails; the verdict says whether the VM may have been started.
    fn start(&self, name: &str, start: &Start) -> Result<Vm, Error>;

    /// removes a VM; succeeds if it does not exist any more
    ///
    /// # Errors
    /// When the call fails; the verdict says whether the VM may have been removed.
    fn remove(&self, name: &str) -> Result<(), Error>;

    /// current prices
    ///
    /// # Errors
    /// When the call fails.
    fn prices(&self) -> Result<Vec<Price>, Error>;
}
