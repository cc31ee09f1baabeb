use macro_rules_attribute::apply;
use schema::value;

/// change of a part's state
#[apply(value!)]
pub struct Change {
    /// id of the part
    pub part: u64,
    /// whether requests with the part are refused from now on
    pub is_quarantined: bool,
    /// crashes known here that the part explains; 0 if another daemon decided
    pub crashes: usize,
}

impl Change {
    pub(super) fn quarantined(part: u64, crashes: usize) -> Change {
        Change {
            part,
            is_quarantined: true,
            crashes,
        }
    }

    pub(super) fn released(part: u64) -> Change {
        Change {
            part,
            is_quarantined: false,
            crashes: 0,
        }
    }

    /// name of the change in logs
    pub fn event(&self) -> &'static str {
        if self.is_quarantined {
            "part_quarantined"
        } else {
            "part_released"
        }
    }
}
