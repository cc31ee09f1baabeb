//! The newest revision of the configuration and the last changes that led to it.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use entry::{Context, Snapshot};
use schema::member::{Applied, Fact, Revision as Number};
use store::config::{Delta, Revision, diff, patch};

use super::message::{Body, Pull, Update};

/// changes kept for peers that are a few revisions behind
const MAX_CHANGES: usize = 16;

/// the newest revision, in force on this daemon, and the last changes that led to it
pub struct History {
    context: Arc<Context>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    newest: Option<Arc<Revision>>,
    changes: VecDeque<Delta>,
}

impl History {
    /// an empty history that puts new revisions in force in `context`
    pub fn new(context: Arc<Context>) -> History {
        History {
            context,
            state: Mutex::default(),
        }
    }

    /// number of the newest revision; 0 for none
    pub fn newest_number(&self) -> u64 {
        self.state()
            .newest
            .as_ref()
            .map_or(0, |revision| revision.number())
    }

    /// puts a revision in force and publishes it; false if it is not newer than the current one
    pub fn apply(&self, revision: &Arc<Revision>) -> bool {
        {
            let mut state = self.state();
            let number = state.newest.as_ref().map_or(0, |newest| newest.number());
            if revision.number() <= number {
                return false;
            }
            if let Some(newest) = &state.newest {
                let change = diff(newest, revision);
                state.changes.push_back(change);
            }
            if state.changes.len() > MAX_CHANGES {
                state.changes.pop_front();
            }
            state.newest = Some(Arc::clone(revision));
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

    /// update for a peer that pulls
    pub fn update_for(&self, pull: &Pull) -> Update {
        let state = self.state();
        let Some(newest) = &state.newest else {
            return Update::Nothing;
        };
        if newest.number() <= pull.have {
            return Update::Nothing;
        }
        let first = state
            .changes
            .iter()
            .position(|change| change.from == pull.have);
        if let Some(first) = first {
            return Update::Changes(state.changes.iter().skip(first).cloned().collect());
        }
        let document = newest.document().clone();
        Update::Body(Body {
            edit: newest.edit.clone(),
            document,
        })
    }

    /// applies the response to a pull by this daemon; false if it does not apply to the current
    /// revision
    pub fn apply_update(&self, update: Update) -> bool {
        match update {
            Update::Nothing => true,
            Update::Changes(changes) => self.apply_changes(&changes),
            Update::Body(body) => match Revision::new(body.edit, body.document) {
                Ok(revision) => {
                    self.apply(&Arc::new(revision));
                    true
                }
                Err(error) => {
                    tracing::warn!(event = "config_body_refused", %error);
                    false
                }
            },
        }
    }

    fn apply_changes(&self, changes: &[Delta]) -> bool {
        for change in changes {
            let newest = self.state().newest.clone();
            let Some(newest) = newest else {
                return false;
            };
            match patch(&newest, change) {
                Ok(next) => self.apply(&Arc::new(next)),
                Err(error) => {
                    tracing::info!(event = "config_change_refused", %error);
                    return false;
                }
            };
        }
        true
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
