use std::future::Future;

use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use crate::stage::Stage;

/// when a request fails unless it has a response: at its time-out, or when the process is about to exit
#[derive(Clone)]
pub(crate) struct Deadline {
    timeout_at: Instant,
    stage: watch::Receiver<Stage>,
}

/// the deadline has passed
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Passed;

impl Deadline {
    pub fn new(timeout_at: Instant, stage: watch::Receiver<Stage>) -> Deadline {
        Deadline { timeout_at, stage }
    }

    /// when the time-out of the caller or of the route expires
    pub fn timeout_at(&self) -> Instant {
        self.timeout_at
    }

    /// whether the process is about to exit, so that there is no time for another attempt
    pub fn is_interrupted(&self) -> bool {
        let drain = self.stage.borrow().drain();
        drain.is_some_and(|drain| Instant::now() >= drain.answer_at())
    }

    /// waits for a result until the deadline, which a stop that begins meanwhile may advance
    pub async fn limit<T>(&self, future: impl Future<Output = T>) -> Result<T, Passed> {
        let future = timeout_at(self.timeout_at, future);
        match Stage::unless_interrupted(self.stage.clone(), future).await {
            Some(Ok(result)) => Ok(result),
            Some(Err(_)) | None => Err(Passed),
        }
    }
}
