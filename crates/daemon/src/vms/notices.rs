//! Reclaim notices: read by duty, heard as facts, acted upon at once.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Sender;
use entry::Context;
use fleet::cloud::Client;
use peer::Notice;
use schema::member::{Fact, Leaving};
use tokio::time::Instant;

use super::DUTY;

/// longest wait of one read for a notice
const WAIT: Duration = Duration::from_secs(5);
/// pause after a failed read, and between looks at the duty
const PAUSE: Duration = Duration::from_millis(500);
/// longest time of a notice that is counted, seconds
const LONGEST_SECONDS: u64 = 24 * 3600;
/// daemons per data centre that read the notices
const READERS: usize = 2;

/// where notices go
#[derive(Debug)]
pub struct Outlets {
    /// those to this VM
    pub own: Sender<Leaving>,
    /// all of them
    pub heard: Sender<Leaving>,
}

/// reads and hears notices
pub struct Notices {
    context: Arc<Context>,
    cloud: Client,
    outlets: Outlets,
}

impl Notices {
    /// starts to read and to listen
    ///
    /// # Errors
    /// When a thread can't be started.
    pub fn start(context: Arc<Context>, cloud: Client, outlets: Outlets) -> std::io::Result<()> {
        let notices = Arc::new(Notices {
            context,
            cloud,
            outlets,
        });
        let reading = Arc::clone(&notices);
        thread::Builder::new()
            .name("notices".to_owned())
            .spawn(move || reading.read())?;
        let facts = notices.context.node.facts();
        let hear = move || {
            for Notice { fact, .. } in facts {
                if let Fact::Leaving(leaving) = fact {
                    notices.act(&leaving);
                }
            }
        };
        thread::Builder::new()
            .name("leaving".to_owned())
            .spawn(hear)
            .map(drop)
    }

    fn read(&self) {
        let mut since = 0;
        loop {
            if !self.context.node.holds(DUTY, READERS) {
                thread::sleep(PAUSE);
                continue;
            }
            match self.cloud.notices(since, WAIT) {
                Ok(notices) => {
                    for notice in notices {
                        since = since.max(notice.number);
                        let seconds = u64::from(notice.seconds);
                        let leaving = Leaving {
                            vm: notice.vm,
                            seconds,
                        };
                        tracing::info!(event = "notice", vm = leaving.vm, seconds);
                        self.context.node.publish(Fact::Leaving(leaving.clone()));
                        self.act(&leaving);
                    }
                }
                Err(error) => {
                    tracing::warn!(event = "notices_failed", %error);
                    thread::sleep(PAUSE);
                }
            }
        }
    }

    fn act(&self, leaving: &Leaving) {
        let now = Instant::now();
        let left = Duration::from_secs(leaving.seconds.min(LONGEST_SECONDS));
        self.context.moves.notice(&leaving.vm, now + left);
        self.context.routes.leaving(&leaving.vm, now + left);
        if self.outlets.heard.try_send(leaving.clone()).is_err() {
            tracing::debug!(event = "planner_behind", vm = leaving.vm);
        }
        let is_own = leaving.vm == self.context.node.me().vm;
        if is_own && self.outlets.own.try_send(leaving.clone()).is_err() {
            tracing::debug!(event = "notice_known", vm = leaving.vm);
        }
    }
}
