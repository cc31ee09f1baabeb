use std::time::Duration;

use macro_rules_attribute::apply;
use schema::{data, message};

/// part of the allowed exposure that the canary uses; the rest is for the steps of the shift
const CANARY_PART: f64 = 0.7;

/// time that the old version's requests take to end if the caller of [`Bounds::new`] knows nothing better
const DRAIN: Duration = Duration::from_secs(2);

/// an operator's request to move a service to a version
#[apply(message!)]
pub struct Order {
    /// differs between requests, also for the same service and version
    pub id: u64,
    /// the service
    pub service: String,
    /// the version that is to get all requests
    pub target: String,
    /// time from the request to its deadline
    pub duration: Duration,
}

/// bounds that a roll-out has to keep
#[apply(data!)]
#[derive(Copy)]
pub struct Bounds {
    /// part of the service's requests that a bad version may get
    pub exposure_share: f64,
    /// requests that it may get beyond that
    pub exposure_slack: f64,
    /// time from the 50th bad response to the last request sent
    pub rollback: Duration,
    /// time that requests of the old version take to end
    pub drain: Duration,
}

impl Bounds {
    /// returns bounds with the default drain time
    pub fn new(exposure_share: f64, exposure_slack: f64, rollback: Duration) -> Bounds {
        Bounds {
            exposure_share,
            exposure_slack,
            rollback,
            drain: DRAIN,
        }
    }

    /// the same bounds for requests that take this long to end
    pub fn with_drain(self, drain: Duration) -> Bounds {
        Bounds { drain, ..self }
    }

    /// largest share of the requests that goes to the new version before the shift
    pub fn canary_share(&self) -> f64 {
        CANARY_PART * self.exposure_share.clamp(0.0, 1.0)
    }
}
