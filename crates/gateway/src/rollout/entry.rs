use macro_rules_attribute::apply;
use route::rollout::{Order, State};
use schema::message;
use xxhash_rust::xxh3::Xxh3;

use crate::adapter::Revision;
use crate::model::{Rollout, RolloutStatus};

/// an operator's request as it stands in the object API
#[apply(message!)]
pub struct Entry {
    /// name of the object
    pub name: String,
    /// revision of its last change
    pub revision: Revision,
    /// number of the revision at which it was requested, as far as known: writes of its status change the
    /// revision
    pub request: u64,
    /// whether that number is known for certain
    pub is_certain: bool,
    /// the content
    pub content: Rollout,
    /// the status, if it is about the version that is requested
    pub status: Option<RolloutStatus>,
}

impl Entry {
    /// an object as it was read; without a status it is at the revision of the request
    pub fn new(
        name: &str,
        revision: Revision,
        content: Rollout,
        status: Option<RolloutStatus>,
    ) -> Entry {
        let status = status.filter(|status| status.to == content.to);
        Entry {
            name: name.to_owned(),
            revision,
            request: revision.number,
            is_certain: status.is_none(),
            content,
            status,
        }
    }

    /// the order to decide on
    pub fn order(&self) -> Order {
        Order {
            id: self.id(self.request),
            service: self.content.service.clone(),
            target: self.content.to.clone(),
            duration: self.content.duration,
        }
    }

    /// id of this content if it was requested at a revision with this number
    ///
    /// The generation of the store is left out: a restored request is the same one.
    pub fn id(&self, request: u64) -> u64 {
        let mut hash = Xxh3::new();
        for text in [&self.name, &self.content.service, &self.content.to] {
            hash.update(&text.len().to_le_bytes());
            hash.update(text.as_bytes());
        }
        hash.update(&self.content.duration.as_nanos().to_le_bytes());
        hash.update(&request.to_le_bytes());
        hash.digest()
    }

    /// the state that the store has; none before one was written
    pub fn state(&self) -> Option<State> {
        self.status.as_ref().map(|status| status.state)
    }

    /// whether the state is final
    pub fn has_ended(&self) -> bool {
        self.state().is_some_and(|state| state != State::InProgress)
    }

    /// takes over when the request was made from what was known of the object before; false if it is
    /// another request
    ///
    /// The operator may write the same content again as another request. Such a write removes the
    /// status, or goes back from a final one; a store that was restored does so too, and then the request is the
    /// same.
    pub fn continue_from(&mut self, previous: &Entry) -> bool {
        if self.content != previous.content {
            return false;
        }
        let is_restored = self.revision.generation > previous.revision.generation;
        let is_earlier = is_restored && self.revision.number <= previous.revision.number;
        let is_begun_again = match &self.status {
            None => self.revision.number != previous.request,
            Some(_) if self.is_certain && previous.is_certain => self.request > previous.request,
            Some(_) => previous.has_ended() && !self.has_ended() && !is_restored,
        };
        if is_begun_again && !is_earlier {
            return false;
        }
        if previous.is_certain || !self.is_certain {
            self.request = previous.request;
            self.is_certain = previous.is_certain;
        }
        true
    }

    /// takes over from a peer when the request was made; false if that is another request, or nothing new
    pub fn adopt(&mut self, id: u64, request: u64, is_certain: bool) -> bool {
        let is_better = !self.is_certain && (is_certain || request < self.request);
        let is_same = request <= self.revision.number && self.id(request) == id;
        if !is_better || !is_same {
            return false;
        }
        self.request = request;
        self.is_certain = is_certain;
        true
    }
}
