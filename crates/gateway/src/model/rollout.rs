use std::time::Duration;

use macro_rules_attribute::apply;
use route::rollout::State;
use schema::message;

/// an operator's request to move a service to another software version
#[apply(message!)]
pub struct Rollout {
    /// the service
    pub service: String,
    /// the version that is to get all requests
    pub to: String,
    /// time from the request to its deadline; zero if the operator stated none above zero
    pub duration: Duration,
}

/// state of a roll-out as it stands in the object API
#[apply(message!)]
pub struct RolloutStatus {
    /// the state
    pub state: State,
    /// the version that the state is about; the operator may have requested another one since
    pub to: String,
}
