//! Follows the configuration: by duty in the object API, else through other daemons.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded, tick};
use crossbeam::select;
use entry::Context;
use peer::{Member, Publication};
use rand::seq::{IndexedRandom, SliceRandom};
use schema::member::Fact;
use store::config::{Revision, Watcher};

use super::History;
use super::first::pull_newest;
use super::message::{NO_REVISION, PULL, Pull, Update};

/// duty of following the object API
pub const DUTY: &str = "config";
/// daemons per data centre that follow the object API
pub const FOLLOWERS: usize = 2;
/// interval at which the duty and missed revisions are checked
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// timeout of a pull from another daemon
const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// capacity of the queue of revisions to put in force
const QUEUE_CAPACITY: usize = 16;
/// daemons that a starting daemon asks while it has no revision
const STARTUP_SOURCES: usize = 8;
/// time after which a starting daemon asks no further ones if it has a revision
const STARTUP_TIME: Duration = Duration::from_secs(2);

/// follows the configuration in a thread of its own
pub struct Follower {
    context: Arc<Context>,
    history: Arc<History>,
    client: store::Client,
    sender: Sender<Arc<Revision>>,
    watcher: Option<Watcher>,
}

impl Follower {
    /// starts the thread
    ///
    /// # Errors
    /// When the thread can't be started.
    pub fn start(
        context: Arc<Context>,
        history: Arc<History>,
        client: store::Client,
    ) -> std::io::Result<()> {
        let (sender, revisions) = bounded(QUEUE_CAPACITY);
        let facts = context.node.subscribe();
        let mut follower = Follower {
            context,
            history,
            client,
            sender,
            watcher: None,
        };
        let builder = thread::Builder::new().name("config".to_owned());
        builder
            .spawn(move || follower.run(&revisions, &facts))
            .map(drop)
    }

    fn run(&mut self, revisions: &Receiver<Arc<Revision>>, facts: &Receiver<Publication>) {
        let ticks = tick(CHECK_INTERVAL);
        self.read_store();
        loop {
            select! {
                recv(revisions) -> revision => if let Ok(revision) = revision {
                    self.history.apply(&revision);
                },
                recv(facts) -> publication => match publication {
                    Ok(publication) => self.handle_fact(&publication),
                    Err(_) => return,
                },
                recv(ticks) -> _ => self.check(),
            }
        }
    }

    /// reads the object API once, so that a starting daemon has the newest revision
    fn read_store(&mut self) {
        match store::config::read(&self.client) {
            Ok(Some(revision)) => {
                self.history.apply(&Arc::new(revision));
            }
            Ok(None) => tracing::info!(event = "config_missing"),
            Err(error) => tracing::warn!(event = "config_read_failed", %error),
        }
        self.check();
    }

    fn handle_fact(&mut self, publication: &Publication) {
        if let Fact::Revision(published) = &publication.fact
            && published.number > self.history.newest_number()
        {
            self.pull(Some(publication.origin));
        }
    }

    /// starts or stops watching as the duty comes and goes, and pulls missed revisions
    fn check(&mut self) {
        let has_duty = self.context.node.holds_duty(DUTY, FOLLOWERS);
        match (has_duty, self.watcher.is_some()) {
            (true, false) => {
                let client = self.client.clone();
                self.watcher = Some(Watcher::start(client, self.sender.clone()));
            }
            (false, true) => self.watcher = None,
            _ => (),
        }
        let newest_number = self.history.newest_number();
        if newest_number == NO_REVISION {
            self.pull_first();
        } else if self.context.node.revision() > newest_number {
            self.pull(None);
        }
    }

    /// pulls the newest revision that several daemons have, since any one of them may be behind
    fn pull_first(&self) {
        let deadline = Instant::now() + STARTUP_TIME;
        let body = pull_newest(&self.startup_sources(), |member, have, has_revision| {
            if has_revision && Instant::now() >= deadline {
                return None;
            }
            self.call(member, have)
        });
        if let Some(body) = body {
            self.history.apply_update(Update::Body(body));
        }
    }

    /// members of this data centre, then others, each in random order
    fn startup_sources(&self) -> Vec<Member> {
        let me = self.context.node.me();
        let mut members = self.context.node.members().to_vec();
        members.retain(|member| member.instance != me.instance);
        members.shuffle(&mut rand::rng());
        members.sort_by_key(|member| member.data_centre != me.data_centre);
        members.truncate(STARTUP_SOURCES);
        members
    }

    /// pulls from the daemon that published the revision, else from others, until one has a newer
    /// revision
    fn pull(&self, publisher: Option<u64>) {
        for member in self.sources(publisher) {
            let before = self.history.newest_number();
            if !self.pull_from(&member, before) {
                self.pull_from(&member, NO_REVISION);
            }
            if self.history.newest_number() > before {
                return;
            }
        }
    }

    fn pull_from(&self, member: &Member, have: u64) -> bool {
        self.call(member, have)
            .is_none_or(|update| self.history.apply_update(update))
    }

    /// asks a daemon for its revision; none if it does not answer
    fn call(&self, member: &Member, have: u64) -> Option<Update> {
        let result: Result<Update, _> =
            self.context
                .node
                .call_blocking(member, PULL, &Pull { have }, PULL_TIMEOUT);
        result
            .inspect_err(|error| {
                tracing::debug!(event = "config_pull_failed", from = member.vm, %error);
            })
            .ok()
    }

    /// up to three daemons to pull from: the publisher, one of the data centre, one of the fleet
    fn sources(&self, publisher: Option<u64>) -> Vec<Member> {
        let me = self.context.node.me().instance;
        let members = self.context.node.members();
        let mut rng = rand::rng();
        let publisher_member = members
            .iter()
            .find(|member| Some(member.instance) == publisher);
        let mut local = self.context.node.data_centre_members();
        local.retain(|member| member.instance != me);
        let peers: Vec<&Member> = members.iter().filter(|m| m.instance != me).collect();
        let mut sources: Vec<Member> = publisher_member.cloned().into_iter().collect();
        sources.extend(local.choose(&mut rng).cloned());
        sources.extend(peers.choose(&mut rng).map(|member| (*member).clone()));
        sources
    }
}
