//! Reclaim notices: read by duty, heard as facts, acted upon at once.

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

/// longest wait of one read for a notice
const WAIT: Duration = Duration::from_secs(5);
/// pause after a failed read, and between looks at the duty
const PAUSE: Duration = Duration::from_millis(500);
/// longest time of a notice that is counted, seconds
const LONGEST_SECONDS: u64 = 24 * 3600;
/// daemons per data centre that read the notices
const READERS: usize = 2;

/// longest time until the list shows a notice
const LIST_LAG: Duration = Duration::from_secs(10);
/// time after its start in which a daemon may hear of a notice to an earlier VM of its name
const YOUNG: Duration = Duration::from_secs(90);

/// where notices go
#[derive(Debug)]
pub struct Outlets {
    /// those to this VM
    pub own: Sender<Leaving>,
    /// all of them
    pub heard: Sender<Leaving>,
}

/// reads and hears notices
///
/// The cloud API keeps old notices, and names of VMs come again. What was given
/// before this daemon listened therefore counts only once the list confirms it.
pub struct Notices {
    context: Arc<Context>,
    cloud: Client,
    outlets: Outlets,
    started: Instant,
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
            started: Instant::now(),
        });
        let reading = Arc::clone(&notices);
        thread::Builder::new()
            .name("notices".to_owned())
            .spawn(move || reading.read())?;
        let facts = notices.context.node.subscribe();
        let hear = move || {
            for Publication { fact, .. } in facts {
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

    fn read(self: &Arc<Self>) {
        let mut since = 0;
        let mut is_new = true;
        loop {
            if !self.context.node.holds_duty(DUTY, READERS) {
                is_new = true;
                thread::sleep(PAUSE);
                continue;
            }
            let wait = if is_new { Duration::ZERO } else { WAIT };
            match self.cloud.notices(since, wait) {
                Ok(notices) => {
                    let numbers = notices.iter().map(|notice| notice.number);
                    since = numbers.max().unwrap_or(0).max(since);
                    let leaving: Vec<Leaving> = notices.into_iter().map(leaving).collect();
                    if is_new {
                        self.confirm(leaving, Notices::tell);
                    } else {
                        leaving.iter().for_each(|leaving| self.tell(leaving));
                    }
                    is_new = false;
                }
                Err(error) => {
                    tracing::warn!(event = "notices_failed", %error);
                    thread::sleep(PAUSE);
                }
            }
        }
    }

    fn tell(self: &Arc<Self>, leaving: &Leaving) {
        tracing::info!(event = "notice", vm = leaving.vm, seconds = leaving.seconds);
        self.context.node.publish(Fact::Leaving(leaving.clone()));
        self.act(leaving);
    }

    fn act(self: &Arc<Self>, leaving: &Leaving) {
        let now = Instant::now();
        let left = Duration::from_secs(leaving.seconds.min(LONGEST_SECONDS));
        self.context
            .migration
            .record_notice(&leaving.vm, now + left, now);
        self.context.vms.start_drain(&leaving.vm, now + left);
        if self.outlets.heard.try_send(leaving.clone()).is_err() {
            tracing::debug!(event = "planner_behind", vm = leaving.vm);
        }
        if leaving.vm != self.context.node.me().vm {
            return;
        }
        if now < self.started + YOUNG {
            self.confirm(vec![leaving.clone()], Notices::stop);
        } else {
            self.stop(leaving);
        }
    }

    fn stop(self: &Arc<Self>, leaving: &Leaving) {
        if self.outlets.own.try_send(leaving.clone()).is_err() {
            tracing::debug!(event = "notice_known", vm = leaving.vm);
        }
    }

    /// acts on each notice when the list shows its VM as leaving
    fn confirm(self: &Arc<Self>, mut unsure: Vec<Leaving>, act: fn(&Arc<Self>, &Leaving)) {
        if unsure.is_empty() {
            return;
        }
        let notices = Arc::clone(self);
        let until = Instant::now() + LIST_LAG;
        thread::spawn(move || {
            while !unsure.is_empty() && Instant::now() < until {
                let listed = notices.cloud.list().unwrap_or_default();
                let is_leaving = |leaving: &Leaving| {
                    let mut vms = listed.iter();
                    vms.any(|vm| vm.name == leaving.vm && vm.state == cloud::State::Leaving)
                };
                let (sure, rest): (Vec<_>, Vec<_>) = unsure.into_iter().partition(is_leaving);
                sure.iter().for_each(|leaving| act(&notices, leaving));
                unsure = rest;
                thread::sleep(PAUSE);
            }
            for leaving in unsure {
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
