use std::time::Duration;

use attohttpc::header::{HeaderMap, RETRY_AFTER};

/// response header with the requests per second that the upstream accepts from all daemons together
const REQUEST_LIMIT: &str = "x-request-limit";

/// status with which an upstream refuses a request
const REFUSED_STATUS: u16 = 503;

/// longest time for which an upstream is left alone at its own request
const MAX_BACK_OFF: Duration = Duration::from_secs(3600);

/// what an upstream states about itself in the head of a response
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Stated {
    /// requests per second that it accepts from all daemons together; none without a limit
    pub limit: Option<f64>,
    /// time for which it wants no requests from this daemon, stated with a refusal
    pub back_off: Option<Duration>,
}

impl Stated {
    /// the statements in the head of a response; invalid ones are ignored
    pub(crate) fn read(status: u16, headers: &HeaderMap) -> Stated {
        let number = |name: &str| -> Option<f64> {
            let number: f64 = headers.get(name)?.to_str().ok()?.trim().parse().ok()?;
            (number.is_finite() && number >= 0.0).then_some(number)
        };
        let back_off = number(RETRY_AFTER.as_str()).filter(|_| status == REFUSED_STATUS);
        let back_off = back_off.filter(|seconds| *seconds > 0.0).map(|seconds| {
            Duration::try_from_secs_f64(seconds).map_or(MAX_BACK_OFF, |time| time.min(MAX_BACK_OFF))
        });
        Stated {
            limit: number(REQUEST_LIMIT),
            back_off,
        }
    }
}
