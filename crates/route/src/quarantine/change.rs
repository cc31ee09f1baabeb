use macro_rules_attribute::apply;
use schema::value;

use super::evidence::Mark;

/// change of the state of a part or request
#[apply(value!)]
pub struct Change {
    /// id of the part, or fingerprint of the request
    pub id: u64,
    /// whether it is a whole request
    pub is_request: bool,
    /// whether requests with it are refused from now on
    pub is_quarantined: bool,
    /// crashes known here that it explains; 0 if another daemon decided
    pub crashes: usize,
}

impl Change {
    pub(super) fn quarantined(mark: &Mark, crashes: usize) -> Change {
        Change {
            id: mark.id,
            is_request: mark.is_request,
            is_quarantined: true,
            crashes,
        }
    }

    pub(super) fn released(mark: &Mark) -> Change {
        Change {
            id: mark.id,
            is_request: mark.is_request,
            is_quarantined: false,
            crashes: 0,
        }
    }

    /// name of the change in logs
    pub fn event(&self) -> &'static str {
        match (self.is_request, self.is_quarantined) {
            (false, true) => "part_quarantined",
            (false, false) => "part_released",
            (true, true) => "request_quarantined",
            (true, false) => "request_released",
        }
    }
}
