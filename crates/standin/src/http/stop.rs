//! A signal that ends the threads of one server.

use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// set once; seen by every clone
#[derive(Clone, Debug, Default)]
pub struct Stop {
    shared: Arc<(Mutex<bool>, Condvar)>,
}

impl Stop {
    /// ends whoever waits or polls
    pub fn set(&self) {
        *self.shared.0.lock().expect("stop lock") = true;
        self.shared.1.notify_all();
    }

    /// true once set
    pub fn is_set(&self) -> bool {
        *self.shared.0.lock().expect("stop lock")
    }

    /// blocks until set
    pub fn wait(&self) {
        let set = self.shared.0.lock().expect("stop lock");
        drop(
            self.shared
                .1
                .wait_while(set, |set| !*set)
                .expect("stop lock"),
        );
    }

    /// blocks until set or for `time`; true if set
    pub fn wait_for(&self, time: Duration) -> bool {
        let set = self.shared.0.lock().expect("stop lock");
        let (set, _) = self
            .shared
            .1
            .wait_timeout_while(set, time, |set| !*set)
            .expect("stop lock");
        *set
    }
}
