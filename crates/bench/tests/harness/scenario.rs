//! Runs the scenarios of one world in order and reports all that failed.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Instant;

/// runner of scenarios that collects the failed ones
#[derive(Debug, Default)]
pub struct Scenarios {
    failed: Vec<String>,
}

impl Scenarios {
    /// runs a scenario; a failure does not stop the following ones
    pub fn run(&mut self, name: &str, scenario: impl FnOnce()) {
        let start = Instant::now();
        let held = catch_unwind(AssertUnwindSafe(scenario)).is_ok();
        let outcome = if held { "held" } else { "FAILED" };
        println!("{outcome}: {name} ({} ms)", start.elapsed().as_millis());
        if !held {
            self.failed.push(name.to_owned());
        }
    }

    /// fails if a scenario failed
    ///
    /// # Panics
    /// If a scenario failed.
    pub fn finish(self) {
        assert!(
            self.failed.is_empty(),
            "scenarios failed: {:?}",
            self.failed
        );
    }
}
