//! The right to act.

/// the right to act, asked right before each order
pub trait Permit {
    /// whether an order sent now, with its time-out, still falls under the lease
    fn holds(&self) -> bool;
}

impl<F: Fn() -> bool> Permit for F {
    fn holds(&self) -> bool {
        self()
    }
}
