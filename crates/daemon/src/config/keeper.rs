//! The newest revision and the last changes that led to it.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use entry::{Context, Snapshot};
use schema::member::{Applied, Fact, Revision as Number};
use store::config::{Delta, Revision, diff, patch};

use super::message::{Body, Pull, Pulled};

/// most changes kept
const MOST_CHANGES: usize = 16;

/// the newest revision and the last changes that led to it
pub struct Keeper {
    context: Arc<Context>,
    kept: Mutex<Kept>,
}

#[derive(Default)]
struct Kept {
    newest: Option<Arc<Revision>>,
    changes: VecDeque<Delta>,
}

impl Keeper {
    /// keeps revisions and puts them in force in a context
    pub fn new(context: Arc<Context>) -> Keeper {
        Keeper {
            context,
            kept: Mutex::default(),
        }
    }

    /// number of the newest revision; 0 for none
    pub fn number(&self) -> u64 {
        self.kept()
            .newest
            .as_ref()
            .map_or(0, |revision| revision.number())
    }

    /// puts a revision in force and tells of it; one that is not newer is ignored
    pub fn offer(&self, revision: &Arc<Revision>) -> bool {
        {
            let mut kept = self.kept();
            let number = kept.newest.as_ref().map_or(0, |newest| newest.number());
            if revision.number() <= number {
                return false;
            }
            if let Some(newest) = &kept.newest {
                let change = diff(newest, revision);
                kept.changes.push_back(change);
            }
            if kept.changes.len() > MOST_CHANGES {
                kept.changes.pop_front();
            }
            kept.newest = Some(Arc::clone(revision));
            let snapshot = Snapshot::new(revision.number(), revision.declaration.clone());
            self.context.configure(snapshot);
        }
        let number = revision.number();
        self.context.node.publish(Fact::Revision(Number { number }));
        self.context.node.publish(Fact::Applied(Applied { number }));
        tracing::info!(
            event = "config_in_force",
            revision = number,
            preset = revision.declaration.preset
        );
        true
    }

    /// answers another daemon's pull
    pub fn pull(&self, pull: &Pull) -> Pulled {
        let kept = self.kept();
        let Some(newest) = &kept.newest else {
            return Pulled::Nothing;
        };
        if newest.number() <= pull.have {
            return Pulled::Nothing;
        }
        let first = kept
            .changes
            .iter()
            .position(|change| change.from == pull.have);
        if let Some(first) = first {
            return Pulled::Changes(kept.changes.iter().skip(first).cloned().collect());
        }
        let document = newest.document().clone();
        Pulled::Body(Body {
            edit: newest.edit.clone(),
            document,
        })
    }

    /// takes in the answer to an own pull; false when it does not fit
    pub fn take(&self, pulled: Pulled) -> bool {
        match pulled {
            Pulled::Nothing => true,
            Pulled::Changes(changes) => self.follow(&changes),
            Pulled::Body(body) => match Revision::new(body.edit, body.document) {
                Ok(revision) => {
                    self.offer(&Arc::new(revision));
                    true
                }
                Err(error) => {
                    tracing::warn!(event = "config_body_refused", %error);
                    false
                }
            },
        }
    }

    fn follow(&self, changes: &[Delta]) -> bool {
        for change in changes {
            let newest = self.kept().newest.clone();
            let Some(newest) = newest else {
                return false;
            };
            match patch(&newest, change) {
                Ok(next) => self.offer(&Arc::new(next)),
                Err(error) => {
                    tracing::info!(event = "config_change_refused", %error);
                    return false;
                }
            };
        }
        true
    }

    fn kept(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
