//! What a [`crate::Steward`] asks of a cloud.

use schema::cloud::{Price, Start, Vm};

use super::error::Error;

/// a cloud that VMs are started in
pub trait Cloud {
    /// all VMs, as of some time ago
    ///
    /// # Errors
    /// When the call fails.
    fn list(&self) -> Result<Vec<Vm>, Error>;

    /// starts a VM, or finds it started under the same name
    ///
    /// # Errors
    /// When the call fails; the verdict says whether the VM may have been started.
    fn start(&self, name: &str, start: &Start) -> Result<Vm, Error>;

    /// removes a VM; one that is gone already is no failure
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
