//! A signal that stops the threads of one server.

use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// a stop signal shared by all clones; once set it stays set
#[derive(Clone, Debug, Default)]
pub struct Stop {
    shared: Arc<(Mutex<bool>, Condvar)>,
}

impl Stop {
    /// sets the signal and wakes all threads that wait for it
    pub fn set(&self) {
        *self.shared.0.lock().expect("stop lock poisoned") = true;
        self.shared.1.notify_all();
    }

    /// whether it has been set
    pub fn is_set(&self) -> bool {
        *self.shared.0.lock().expect("stop lock poisoned")
    }

    /// blocks until set
    pub fn wait(&self) {
        let set = self.shared.0.lock().expect("stop lock poisoned");
        drop(
            self.shared
                .1
                .wait_while(set, |set| !*set)
                .expect("stop lock poisoned"),
        );
    }

    /// blocks until set or for `time`; true if set
    pub fn wait_for(&self, time: Duration) -> bool {
        let set = self.shared.0.lock().expect("stop lock poisoned");
        let (set, _) = self
            .shared
            .1
            .wait_timeout_while(set, time, |set| !*set)
            .expect("stop lock poisoned");
        *set
    }
}
