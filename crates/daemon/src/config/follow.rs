//! Following the configuration, by duty from the object API, else from daemons.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded, tick};
use crossbeam::select;
use entry::Context;
use peer::{Member, Publication};
use rand::seq::IndexedRandom;
use schema::member::Fact;
use store::config::{Revision, Watcher};

use super::Keeper;
use super::message::{PULL, Pull, Pulled};

/// duty of following the object API
pub const DUTY: &str = "config";
/// daemons per data centre that follow the object API
pub const FOLLOWERS: usize = 2;
/// period at which duties and gaps are looked at
const PERIOD: Duration = Duration::from_secs(1);
/// longest wait for a revision from another daemon
const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// revisions that wait to be put in force
const WAITING: usize = 16;
/// have the whole body sent
const NOTHING: u64 = 0;

/// follows the configuration in a thread of its own
pub struct Follower {
    context: Arc<Context>,
    keeper: Arc<Keeper>,
    client: store::Client,
    sender: Sender<Arc<Revision>>,
    watcher: Option<Watcher>,
}

impl Follower {
    /// starts to follow
    ///
    /// # Errors
    /// When the thread can't be started.
    pub fn start(
        context: Arc<Context>,
        keeper: Arc<Keeper>,
        client: store::Client,
    ) -> std::io::Result<()> {
        let (sender, revisions) = bounded(WAITING);
        let facts = context.node.subscribe();
        let mut follower = Follower {
            context,
            keeper,
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
        let ticks = tick(PERIOD);
        self.start_up();
        loop {
            select! {
                recv(revisions) -> revision => if let Ok(revision) = revision {
                    self.keeper.offer(&revision);
                },
                recv(facts) -> notice => match notice {
                    Ok(notice) => self.heard(&notice),
                    Err(_) => return,
                },
                recv(ticks) -> _ => self.look(),
            }
        }
    }

    /// reads the object API once, so that a starting daemon has the highest revision
    fn start_up(&mut self) {
        match store::config::read(&self.client) {
            Ok(Some(revision)) => {
                self.keeper.offer(&Arc::new(revision));
            }
            Ok(None) => tracing::info!(event = "config_missing"),
            Err(error) => tracing::warn!(event = "config_read_failed", %error),
        }
        self.look();
    }

    fn heard(&mut self, notice: &Publication) {
        if let Fact::Revision(told) = &notice.fact
            && told.number > self.keeper.number()
        {
            self.pull(Some(notice.origin));
        }
    }

    /// takes up or lays down the duty, and pulls what was missed
    fn look(&mut self) {
        let mine = self.context.node.holds_duty(DUTY, FOLLOWERS);
        match (mine, self.watcher.is_some()) {
            (true, false) => {
                let client = self.client.clone();
                self.watcher = Some(Watcher::start(client, self.sender.clone()));
            }
            (false, true) => self.watcher = None,
            _ => (),
        }
        let number = self.keeper.number();
        if number == 0 || self.context.node.revision() > number {
            self.pull(None);
        }
    }

    /// pulls from the daemon that told of the revision, else from any that has it
    fn pull(&self, teller: Option<u64>) {
        for member in self.sources(teller) {
            let before = self.keeper.number();
            if !self.pull_from(&member, before) {
                self.pull_from(&member, NOTHING);
            }
            if self.keeper.number() > before {
                return;
            }
        }
    }

    fn pull_from(&self, member: &Member, have: u64) -> bool {
        let answer: Result<Pulled, _> =
            self.context
                .node
                .call_blocking(member, PULL, &Pull { have }, PULL_TIMEOUT);
        match answer {
            Ok(pulled) => self.keeper.take(pulled),
            Err(error) => {
                tracing::debug!(event = "config_pull_failed", from = member.vm, %error);
                true
            }
        }
    }

    /// up to three daemons to pull from: who told, one near, one anywhere
    fn sources(&self, teller: Option<u64>) -> Vec<Member> {
        let me = self.context.node.me().instance;
        let members = self.context.node.members();
        let mut rng = rand::rng();
        let told = members
            .iter()
            .find(|member| Some(member.instance) == teller);
        let mut near = self.context.node.data_centre_members();
        near.retain(|member| member.instance != me);
        let others: Vec<&Member> = members.iter().filter(|m| m.instance != me).collect();
        let mut sources: Vec<Member> = told.cloned().into_iter().collect();
        sources.extend(near.choose(&mut rng).cloned());
        sources.extend(others.choose(&mut rng).map(|member| (*member).clone()));
        sources
    }
}
