//! What all threads of the entry share.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use crossbeam::channel::{Sender, TrySendError};
use engine::Client;
use peer::Node;
use route::limit::Limits;
use route::overload::Controller;
use route::retry::Budget;
use route::table::Table;
use store::claim::Claims;
use tokio::runtime::Handle;
use tokio::time::Instant;

use crate::drive::Job;
use crate::journal;
use crate::lock;
use crate::metrics::Metrics;
use crate::moves::Moves;
use crate::snapshot::Snapshot;
use crate::span;
use crate::stage::Stage;
use crate::standby;
use crate::ticket;

/// first-token target of a service that is not declared
const FIRST_TOKEN: Duration = Duration::from_millis(460);
/// target between tokens of a service that is not declared
const BETWEEN_TOKENS: Duration = Duration::from_millis(32);

/// what all threads of the entry share
pub struct Context {
    /// the configuration in force
    pub snapshot: ArcSwap<Snapshot>,
    /// upstream VMs and what is believed of them
    pub routes: Table,
    /// limits of workspaces
    pub limits: Limits,
    /// admission under overload
    pub gate: Controller,
    /// requests in flight
    pub journals: journal::Table,
    /// copies of requests of leaving daemons
    pub standby: standby::Table,
    /// tickets that this daemon issued
    pub tickets: ticket::Book,
    /// notices of VMs and the pace of KV caches
    pub moves: Moves,
    /// client of the upstreams
    pub engines: Client,
    /// this daemon among the others
    pub node: Node,
    /// claims of idempotency keys
    pub claims: Claims,
    /// counters and histograms
    pub metrics: Metrics,
    /// spans of the last requests
    pub spans: span::Log,
    /// life of the daemon
    pub stage: Stage,
    /// the runtime whose clock all threads use
    pub runtime: Handle,
    budget: Mutex<Budget>,
    jobs: Sender<Job>,
}

/// builds a [`Context`]
pub struct Builder {
    routes: Table,
    engines: Client,
    node: Node,
    claims: Claims,
    jobs: Sender<Job>,
}

impl Builder {
    /// starts with the node, the table of VMs, the clients, and the drivers' queue
    pub fn new(
        node: Node,
        routes: Table,
        engines: Client,
        claims: Claims,
        jobs: Sender<Job>,
    ) -> Builder {
        Builder {
            routes,
            engines,
            node,
            claims,
            jobs,
        }
    }

    /// builds the context on a runtime
    pub fn build(self, runtime: Handle) -> Context {
        Context {
            snapshot: ArcSwap::from_pointee(Snapshot::empty()),
            routes: self.routes,
            limits: Limits::new(),
            gate: Controller::new(),
            journals: journal::Table::default(),
            standby: standby::Table::default(),
            tickets: ticket::Book::default(),
            moves: Moves::default(),
            engines: self.engines,
            node: self.node,
            claims: self.claims,
            metrics: Metrics::new(),
            spans: span::Log::default(),
            stage: Stage::default(),
            runtime,
            budget: Mutex::new(Budget::new(Instant::now())),
            jobs: self.jobs,
        }
    }
}

impl Context {
    /// puts a revision in force; an older one than that in force is ignored
    pub fn configure(&self, snapshot: Snapshot) -> bool {
        if snapshot.revision <= self.snapshot.load().revision {
            return false;
        }
        self.routes.configure(&snapshot.declaration);
        self.limits.configure(&snapshot.declaration);
        self.gate.configure(&snapshot.declaration);
        self.snapshot.store(Arc::new(snapshot));
        true
    }

    /// gives a request to the drivers
    ///
    /// # Errors
    /// The job comes back when all drivers are busy and the queue is full.
    pub fn submit(&self, job: Job) -> Result<(), Box<Job>> {
        match self.jobs.try_send(job) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => Err(Box::new(job)),
        }
    }

    /// target for the first token of a service
    pub fn first_token_of(&self, service: &str) -> Duration {
        match self.snapshot.load().service(service) {
            Some(service) => Duration::from_millis(service.first_token_ms.into()),
            None => FIRST_TOKEN,
        }
    }

    /// target between tokens of a service
    pub fn pace_of(&self, service: &str) -> Duration {
        match self.snapshot.load().service(service) {
            Some(service) => Duration::from_millis(service.between_tokens_ms.into()),
            None => BETWEEN_TOKENS,
        }
    }

    /// counts a first attempt for the retry budget
    pub fn earn_retry(&self) {
        lock(&self.budget).record_attempt(Instant::now());
    }

    /// wait until the budget allows another retry
    pub fn retry_wait(&self) -> Duration {
        lock(&self.budget).wait(Instant::now())
    }

    /// takes a retry from the budget
    pub fn take_retry(&self) {
        lock(&self.budget).take(Instant::now());
    }
}
