use macro_rules_attribute::apply;
use schema::message;

/// smallest extension of a back-off that other daemons have to receive
const MIN_EXTENSION_MS: u64 = 500;

/// what is known of the statements of one VM
#[apply(message!)]
#[derive(Default)]
pub struct Notice {
    /// the VM's instance id
    pub vm: String,
    /// start of its process, milliseconds since the Unix epoch; 0 if unknown
    pub started_at_ms: u64,
    /// whether it drains
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_draining: bool,
    /// time until which it wants no requests from one of the daemons; 0 if it stated none
    #[serde(default, skip_serializing_if = "is_zero")]
    pub closed_until_ms: u64,
    /// requests per second that it accepts from all daemons together; none without a limit
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<f64>,
    /// time of the latest response that stated the limit, or that there is none; 0 if there was no
    /// such response
    #[serde(default, skip_serializing_if = "is_zero")]
    pub limit_stated_ms: u64,
    /// time of the latest response that ended a limit; 0 if there was none
    #[serde(default, skip_serializing_if = "is_zero")]
    pub limit_ended_ms: u64,
}

impl Notice {
    /// a notice without statements of a process of a VM
    pub fn new(vm: &str, started_at_ms: u64) -> Notice {
        Notice {
            vm: vm.to_owned(),
            started_at_ms,
            ..Notice::default()
        }
    }

    /// adds the statements of another notice of the same process; returns whether there is anything in
    /// it that other daemons have to receive
    pub(super) fn merge(&mut self, other: &Notice) -> bool {
        let mut is_news = other.is_draining && !self.is_draining;
        self.is_draining |= other.is_draining;
        is_news |= other.closed_until_ms >= self.closed_until_ms.saturating_add(MIN_EXTENSION_MS);
        self.closed_until_ms = self.closed_until_ms.max(other.closed_until_ms);
        if other.limit_stated_ms > self.limit_stated_ms {
            is_news |= other.limit != self.limit;
            if self.limit.is_some() && other.limit.is_none() {
                self.limit_ended_ms = other.limit_stated_ms;
            }
            self.limit = other.limit;
            self.limit_stated_ms = other.limit_stated_ms;
        }
        self.limit_ended_ms = self.limit_ended_ms.max(other.limit_ended_ms);
        is_news
    }

    /// time of the latest statement, or of its end
    pub(super) fn latest_ms(&self) -> u64 {
        self.closed_until_ms.max(self.limit_stated_ms)
    }
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "signature of serde")]
fn is_zero(number: &u64) -> bool {
    *number == 0
}
