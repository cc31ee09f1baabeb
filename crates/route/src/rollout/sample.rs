use macro_rules_attribute::apply;
use schema::data;

/// multiple of the expected time after which an attempt without a response is recorded
pub const MAX_RATIO: f64 = 8.0;

/// what an attempt at a VM shows of its version
///
/// Broken connections, refusals and time-outs of the daemon are no samples: they have causes
/// other than the version. An attempt that is still unanswered after [`MAX_RATIO`] times the expected
/// time is recorded then, and not again, so that a version that never responds is found.
#[apply(data!)]
#[derive(Copy)]
pub struct Sample<'a> {
    /// instance id of the VM
    pub vm: &'a str,
    /// whether the VM itself responded with a server error
    pub is_failed: bool,
    /// time to the first event or response in multiples of what was expected there, if known; ignored for
    /// a failure
    pub ratio: Option<f64>,
}
