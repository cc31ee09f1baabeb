//! Lifecycle stages of the process.

use std::future::{Future, pending};

use macro_rules_attribute::apply;
use route::drain::Schedule;
use schema::value;
use tokio::sync::watch;
use tokio::time::sleep_until;

/// lifecycle stage of the process
#[apply(value!)]
pub enum Stage {
    /// accepts requests
    Serving,
    /// finishes requests in flight; readiness checks fail, so that the load balancer sends no
    /// new callers
    Draining(Schedule),
}

impl Stage {
    /// times of the stop, once it has begun
    pub fn drain(self) -> Option<Schedule> {
        match self {
            Stage::Serving => None,
            Stage::Draining(schedule) => Some(schedule),
        }
    }

    /// the result of a future, or none once a stopping process has to answer without it
    pub(crate) async fn unless_interrupted<T>(
        stage: watch::Receiver<Stage>,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::select! {
            biased;
            result = future => Some(result),
            () = interrupted(stage) => None,
        }
    }
}

/// waits until a stopping process has to answer requests without a response
async fn interrupted(mut stage: watch::Receiver<Stage>) {
    let drain = match stage.wait_for(|stage| stage.drain().is_some()).await {
        Ok(stage) => stage.drain(),
        // the shared state was dropped, and with it all connections
        Err(_) => None,
    };
    match drain {
        Some(drain) => sleep_until(drain.answer_at()).await,
        None => pending().await,
    }
}
