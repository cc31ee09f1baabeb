//! Permission to change VMs.

/// permission to change VMs, checked right before each call
pub trait Permit {
    /// whether a call made now completes or times out before the lease expires
    fn is_valid(&self) -> bool;
}

impl<F: Fn() -> bool> Permit for F {
    fn is_valid(&self) -> bool {
        self()
    }
}
