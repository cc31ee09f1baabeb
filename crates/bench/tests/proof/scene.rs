//! Runs the scenes of one world in order and reports all that failed.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Instant;

/// scenes that were run and those that failed
#[derive(Debug, Default)]
pub struct Scenes {
    failed: Vec<String>,
}

impl Scenes {
    /// runs a scene; the next one runs even if it fails
    pub fn run(&mut self, name: &str, scene: impl FnOnce()) {
        let start = Instant::now();
        let held = catch_unwind(AssertUnwindSafe(scene)).is_ok();
        let outcome = if held { "held" } else { "FAILED" };
        println!("{outcome}: {name} ({} ms)", start.elapsed().as_millis());
        if !held {
            self.failed.push(name.to_owned());
        }
    }

    /// fails if a scene did
    ///
    /// # Panics
    /// When a scene failed.
    pub fn finish(self) {
        assert!(self.failed.is_empty(), "scenes failed: {:?}", self.failed);
    }
}
