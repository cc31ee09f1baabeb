/// whether a request can still have its response within the objective
///
/// Load pattern: a workspace sends a multiple of its limit for seconds. Callers come back as told, two
/// seconds later, and each one that is admitted then takes the place of a new request: half of the
/// limit was spent on late responses. So late requests are admitted only while much of the limit is left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timeliness {
    /// it can
    InTime,
    /// its caller has waited for longer
    Late,
}
