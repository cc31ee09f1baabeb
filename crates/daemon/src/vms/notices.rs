//! Preemption notices: read by duty, received as facts, acted upon at once.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Sender;
use entry::Context;
use fleet::cloud::{Client, Cloud};
use peer::Publication;
use schema::cloud;
use schema::member::{Fact, Leaving};
use tokio::time::Instant;

use super::DUTY;

/// longest wait of one long poll for a notice
const READ_WAIT: Duration = Duration::from_secs(5);
/// delay after a failed read, and between checks of the duty and the list
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// cap on the time that a notice gives
const MAX_SECONDS_LEFT: u64 = 24 * 3600;
/// daemons per data centre that read the notices
const READERS: usize = 2;

/// longest time until the list shows a VM with a notice as leaving
const LIST_LAG: Duration = Duration::from_secs(10);
/// time after the start in which a notice may be for an earlier VM of the same name
const REUSED_NAME_WINDOW: Duration = Duration::from_secs(90);

/// receivers of notices
#[derive(Debug)]
pub struct Channels {
    /// notices to this VM
    pub stop: Sender<Leaving>,
    /// all notices
    pub planner: Sender<Leaving>,
}

/// reader and receiver of notices
///
/// The cloud API keeps old notices, and names of VMs are reused. A notice from before this
/// daemon began to read therefore counts only once the list confirms it.
pub struct Notices {
    context: Arc<Context>,
    cloud: Client,
    channels: Channels,
    started: Instant,
}

impl Notices {
    /// starts the threads
    ///
    /// # Errors
    /// When a thread can't be started.
    pub fn start(context: Arc<Context>, cloud: Client, channels: Channels) -> std::io::Result<()> {
        let notices = Arc::new(Notices {
            context,
            cloud,
            channels,
            started: Instant::now(),
        });
        let reading = Arc::clone(&notices);
        thread::Builder::new()
            .name("notices".to_owned())
            .spawn(move || reading.read())?;
        let facts = notices.context.node.subscribe();
        let receive = move || {
            for Publication { fact, .. } in facts {
                if let Fact::Leaving(leaving) = fact {
                    notices.apply(&leaving);
                }
            }
        };
        thread::Builder::new()
            .name("leaving".to_owned())
            .spawn(receive)
            .map(drop)
    }

    fn read(self: &Arc<Self>) {
        let mut last_number = 0;
        let mut is_first_read = true;
        loop {
            if !self.context.node.holds_duty(DUTY, READERS) {
                is_first_read = true;
                thread::sleep(RETRY_DELAY);
                continue;
            }
            let wait = if is_first_read {
                Duration::ZERO
            } else {
                READ_WAIT
            };
            match self.cloud.notices(last_number, wait) {
                Ok(notices) => {
                    let numbers = notices.iter().map(|notice| notice.number);
                    last_number = numbers.max().unwrap_or(0).max(last_number);
                    let leaving: Vec<Leaving> = notices.into_iter().map(leaving).collect();
                    if is_first_read {
                        self.confirm(leaving, Notices::publish);
                    } else {
                        leaving.iter().for_each(|leaving| self.publish(leaving));
                    }
                    is_first_read = false;
                }
                Err(error) => {
                    tracing::warn!(event = "notices_failed", %error);
                    thread::sleep(RETRY_DELAY);
                }
            }
        }
    }

    fn publish(self: &Arc<Self>, leaving: &Leaving) {
        tracing::info!(event = "notice", vm = leaving.vm, seconds = leaving.seconds);
        self.context.node.publish(Fact::Leaving(leaving.clone()));
        self.apply(leaving);
    }

    fn apply(self: &Arc<Self>, leaving: &Leaving) {
        let now = Instant::now();
        let time_left = Duration::from_secs(leaving.seconds.min(MAX_SECONDS_LEFT));
        self.context
            .migration
            .record_notice(&leaving.vm, now + time_left, now);
        self.context.vms.start_drain(&leaving.vm, now + time_left);
        if self.channels.planner.try_send(leaving.clone()).is_err() {
            tracing::debug!(event = "planner_behind", vm = leaving.vm);
        }
        if leaving.vm != self.context.node.me().vm {
            return;
        }
        if now < self.started + REUSED_NAME_WINDOW {
            self.confirm(vec![leaving.clone()], Notices::stop);
        } else {
            self.stop(leaving);
        }
    }

    fn stop(self: &Arc<Self>, leaving: &Leaving) {
        if self.channels.stop.try_send(leaving.clone()).is_err() {
            tracing::debug!(event = "notice_known", vm = leaving.vm);
        }
    }

    /// handles each notice once the list shows its VM as leaving; drops it after `LIST_LAG`
    fn confirm(self: &Arc<Self>, mut unconfirmed: Vec<Leaving>, handle: fn(&Arc<Self>, &Leaving)) {
        if unconfirmed.is_empty() {
            return;
        }
        let notices = Arc::clone(self);
        let until = Instant::now() + LIST_LAG;
        thread::spawn(move || {
            while !unconfirmed.is_empty() && Instant::now() < until {
                let listed = notices.cloud.list().unwrap_or_default();
                let is_leaving = |leaving: &Leaving| {
                    let mut vms = listed.iter();
                    vms.any(|vm| vm.name == leaving.vm && vm.state == cloud::State::Leaving)
                };
                let (confirmed, rest): (Vec<_>, Vec<_>) =
                    unconfirmed.into_iter().partition(is_leaving);
                confirmed
                    .iter()
                    .for_each(|leaving| handle(&notices, leaving));
                unconfirmed = rest;
                thread::sleep(RETRY_DELAY);
            }
            for leaving in unconfirmed {
                tracing::info!(event = "notice_outdated", vm = leaving.vm);
            }
        });
    }
}

fn leaving(notice: cloud::Notice) -> Leaving {
    Leaving {
        vm: notice.vm,
        seconds: u64::from(notice.seconds),
    }
}
