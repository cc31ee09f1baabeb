//! Keeps the table of upstream VMs in step with the list.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use entry::{Context, Stage};
use fleet::cloud::{Client, Cloud};
use rand::Rng;
use route::table;
use schema::cloud::{List, State};
use schema::config::Declaration;
use tokio::time::Instant;

use super::DUTY;
use super::message::{Ask, LIST, Listed};

/// period of reading, jittered
const PERIOD: Duration = Duration::from_secs(2);
/// longest wait for the list from another daemon
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// the list as last read
pub struct Reader {
    context: Arc<Context>,
    cloud: Client,
    kept: Mutex<Listed>,
}

impl Reader {
    /// starts to read
    ///
    /// # Errors
    /// When the thread can't be started.
    pub fn start(context: Arc<Context>, cloud: Client) -> std::io::Result<Arc<Reader>> {
        let kept = Mutex::new(Listed {
            hash: 0,
            list: None,
        });
        let reader = Arc::new(Reader {
            context,
            cloud,
            kept,
        });
        let running = Arc::clone(&reader);
        let builder = thread::Builder::new().name("vms".to_owned());
        builder.spawn(move || running.run())?;
        Ok(reader)
    }

    /// answers another daemon's pull
    pub fn answer(&self, ask: &Ask) -> Listed {
        let kept = self.kept();
        match kept.hash == ask.have {
            true => Listed {
                hash: kept.hash,
                list: None,
            },
            false => kept.clone(),
        }
    }

    fn run(&self) {
        let mut revision = 0;
        loop {
            let listed = self.read();
            let snapshot = self.context.snapshot.load();
            let changed = listed.is_some_and(|listed| self.keep(listed));
            if changed || snapshot.revision != revision {
                revision = snapshot.revision;
                self.apply(&snapshot.declaration);
                self.serve(revision);
            }
            let wait = PERIOD.mul_f64(rand::rng().random_range(0.8..1.2));
            self.pause(wait, revision);
        }
    }

    /// waits, but not longer than to the next revision
    fn pause(&self, wait: Duration, revision: u64) {
        let until = Instant::now() + wait;
        while Instant::now() < until && self.context.snapshot.load().revision == revision {
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// reads by duty from the cloud, else from the daemon that has the duty
    fn read(&self) -> Option<Listed> {
        let have = self.kept().hash;
        if have == 0 || self.context.node.holds_duty(DUTY, 1) {
            return self.read_cloud();
        }
        let holder = self.context.node.duty_holders(DUTY, 1).into_iter().next()?;
        let ask = Ask { have };
        let answer = self
            .context
            .node
            .call_blocking(&holder, LIST, &ask, PULL_TIMEOUT);
        match answer {
            Ok(listed) => Some(listed),
            Err(error) => {
                tracing::debug!(event = "vms_pull_failed", from = holder.vm, %error);
                None
            }
        }
    }

    fn read_cloud(&self) -> Option<Listed> {
        match self.cloud.list() {
            Ok(vms) => Some(listed(List { vms })),
            Err(error) => {
                tracing::warn!(event = "vms_read_failed", %error);
                None
            }
        }
    }

    /// keeps a list; false when it is the one kept
    fn keep(&self, listed: Listed) -> bool {
        let mut kept = self.kept();
        if listed.list.is_none() || listed.hash == kept.hash {
            return false;
        }
        *kept = listed;
        true
    }

    fn apply(&self, declaration: &Declaration) {
        let mut vms = table::fixed_vms(declaration);
        if let Some(list) = &self.kept().list {
            vms.extend(table::platform_vms(declaration, list));
            let now = Instant::now();
            for vm in list.vms.iter().filter(|vm| vm.state == State::Leaving) {
                self.context.vms.start_drain(&vm.name, now);
            }
        }
        self.context.vms.set_vms(&vms);
        tracing::info!(event = "vms_listed", vms = vms.len());
    }

    /// lets callers in once there are a configuration and the VMs it is about
    fn serve(&self, revision: u64) {
        if revision > 0 {
            self.context.lifecycle.advance(Stage::Serving);
        }
    }

    fn kept(&self) -> MutexGuard<'_, Listed> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn listed(list: List) -> Listed {
    let text = serde_json::to_vec(&list).unwrap_or_default();
    let hash = xxhash_rust::xxh3::xxh3_64(&text).max(1);
    Listed {
        hash,
        list: Some(list),
    }
}
