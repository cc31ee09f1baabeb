//! Keeps the table of upstream VMs up to date with the list.

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
use super::message::{LIST, Listing, Query};

/// mean period of reading
const PERIOD: Duration = Duration::from_secs(2);
/// timeout of a pull from another daemon
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// reader of the list, with the list as last read
pub struct Reader {
    context: Arc<Context>,
    cloud: Client,
    current: Mutex<Listing>,
}

impl Reader {
    /// starts the thread
    ///
    /// # Errors
    /// When the thread can't be started.
    pub fn start(context: Arc<Context>, cloud: Client) -> std::io::Result<Arc<Reader>> {
        let current = Mutex::new(Listing {
            hash: 0,
            list: None,
        });
        let reader = Arc::new(Reader {
            context,
            cloud,
            current,
        });
        let running = Arc::clone(&reader);
        let builder = thread::Builder::new().name("vms".to_owned());
        builder.spawn(move || running.run())?;
        Ok(reader)
    }

    /// response to another daemon's pull
    pub fn respond(&self, query: &Query) -> Listing {
        let current = self.current();
        match current.hash == query.have {
            true => Listing {
                hash: current.hash,
                list: None,
            },
            false => current.clone(),
        }
    }

    fn run(&self) {
        let mut revision = 0;
        loop {
            let listing = self.read();
            let snapshot = self.context.snapshot.load();
            let changed = listing.is_some_and(|listing| self.replace(listing));
            if changed || snapshot.revision != revision {
                revision = snapshot.revision;
                self.apply(&snapshot.declaration);
                self.start_serving(revision);
            }
            let wait = PERIOD.mul_f64(rand::rng().random_range(0.8..1.2));
            self.pause(wait, revision);
        }
    }

    /// waits, but not beyond the next revision of the configuration
    fn pause(&self, wait: Duration, revision: u64) {
        let until = Instant::now() + wait;
        while Instant::now() < until && self.context.snapshot.load().revision == revision {
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// reads the list from the cloud by duty or if there is none yet, else from the daemon that
    /// has the duty
    fn read(&self) -> Option<Listing> {
        let have = self.current().hash;
        if have == 0 || self.context.node.holds_duty(DUTY, 1) {
            return self.read_cloud();
        }
        let holder = self.context.node.duty_holders(DUTY, 1).into_iter().next()?;
        let query = Query { have };
        let result = self
            .context
            .node
            .call_blocking(&holder, LIST, &query, PULL_TIMEOUT);
        match result {
            Ok(listing) => Some(listing),
            Err(error) => {
                tracing::debug!(event = "vms_pull_failed", from = holder.vm, %error);
                None
            }
        }
    }

    fn read_cloud(&self) -> Option<Listing> {
        match self.cloud.list() {
            Ok(vms) => Some(listing(List { vms })),
            Err(error) => {
                tracing::warn!(event = "vms_read_failed", %error);
                None
            }
        }
    }

    /// stores a list; false if it is unchanged
    fn replace(&self, listing: Listing) -> bool {
        let mut current = self.current();
        if listing.list.is_none() || listing.hash == current.hash {
            return false;
        }
        *current = listing;
        true
    }

    fn apply(&self, declaration: &Declaration) {
        let mut vms = table::fixed_vms(declaration);
        if let Some(list) = &self.current().list {
            vms.extend(table::platform_vms(declaration, list));
            let now = Instant::now();
            for vm in list.vms.iter().filter(|vm| vm.state == State::Leaving) {
                self.context.vms.start_drain(&vm.name, now);
            }
        }
        self.context.vms.set_vms(&vms);
        tracing::info!(event = "vms_listed", vms = vms.len());
    }

    /// starts to serve callers once there is a configuration and its VMs are in the table
    fn start_serving(&self, revision: u64) {
        if revision > 0 {
            self.context.lifecycle.advance(Stage::Serving);
        }
    }

    fn current(&self) -> MutexGuard<'_, Listing> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn listing(list: List) -> Listing {
    let text = serde_json::to_vec(&list).unwrap_or_default();
    let hash = xxhash_rust::xxh3::xxh3_64(&text).max(1);
    Listing {
        hash,
        list: Some(list),
    }
}
