//! State that the threads of the request path share.

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
use crate::lifecycle::Lifecycle;
use crate::lock;
use crate::metrics::Metrics;
use crate::migration;
use crate::notice;
use crate::quarantine;
use crate::snapshot::Snapshot;
use crate::span;
use crate::standby;
use crate::ticket;

/// first-token target of a service that is not declared
const DEFAULT_FIRST_TOKEN_TARGET: Duration = Duration::from_millis(460);
/// target for the time between tokens of a service that is not declared
const DEFAULT_BETWEEN_TOKENS_TARGET: Duration = Duration::from_millis(32);

/// state that the threads of the request path share
pub struct Context {
    /// configuration in force
    pub snapshot: ArcSwap<Snapshot>,
    /// upstream VMs with their last known load and health
    pub vms: Table,
    /// token and concurrency limits of workspaces
    pub limits: Limits,
    /// admission control under overload
    pub admission: Controller,
    /// requests in flight
    pub journals: journal::Table,
    /// copies of requests of draining daemons
    pub standby: standby::Table,
    /// tickets issued by this daemon
    pub tickets: ticket::Table,
    /// preemption notices of upstream VMs and estimates for KV cache transfers
    pub migration: migration::State,
    /// what upstream VMs state about themselves
    pub notices: notice::State,
    /// parts of prompts that end upstream VMs
    pub quarantine: quarantine::State,
    /// client of the upstreams
    pub engines: Client,
    /// this daemon as a member of the cluster
    pub node: Node,
    /// claims of idempotency keys
    pub claims: Claims,
    /// counters and histograms
    pub metrics: Metrics,
    /// spans of recent requests
    pub spans: span::Log,
    /// stage of the daemon's life cycle
    pub lifecycle: Lifecycle,
    /// runtime whose clock all threads use
    pub runtime: Handle,
    budget: Mutex<Budget>,
    jobs: Sender<Job>,
}

/// builds a [`Context`]
pub struct Builder {
    vms: Table,
    engines: Client,
    node: Node,
    claims: Claims,
    jobs: Sender<Job>,
}

impl Builder {
    /// a builder with the node, the table of VMs, the clients and the queue of the drivers
    pub fn new(
        node: Node,
        vms: Table,
        engines: Client,
        claims: Claims,
        jobs: Sender<Job>,
    ) -> Builder {
        Builder {
            vms,
            engines,
            node,
            claims,
            jobs,
        }
    }

    /// builds the context; `runtime` provides the clock
    pub fn build(self, runtime: Handle) -> Context {
        Context {
            snapshot: ArcSwap::from_pointee(Snapshot::empty()),
            vms: self.vms,
            limits: Limits::new(),
            admission: Controller::new(),
            journals: journal::Table::default(),
            standby: standby::Table::default(),
            tickets: ticket::Table::default(),
            migration: migration::State::default(),
            notices: notice::State::default(),
            quarantine: quarantine::State::default(),
            engines: self.engines,
            node: self.node,
            claims: self.claims,
            metrics: Metrics::new(),
            spans: span::Log::default(),
            lifecycle: Lifecycle::default(),
            runtime,
            budget: Mutex::new(Budget::new(Instant::now())),
            jobs: self.jobs,
        }
    }
}

impl Context {
    /// applies a revision; returns false if it is not newer than the one in force
    pub fn configure(&self, snapshot: Snapshot) -> bool {
        if snapshot.revision <= self.snapshot.load().revision {
            return false;
        }
        self.vms.configure(&snapshot.declaration);
        self.limits.configure(&snapshot.declaration);
        self.admission.configure(&snapshot.declaration);
        self.snapshot.store(Arc::new(snapshot));
        true
    }

    /// queues a request for the drivers
    ///
    /// # Errors
    /// Returns the job when all drivers are busy and the queue is full, or no driver is left.
    pub fn submit(&self, job: Job) -> Result<(), Box<Job>> {
        match self.jobs.try_send(job) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => Err(Box::new(job)),
        }
    }

    /// target for the time to the first token of a service
    pub fn first_token_target(&self, service: &str) -> Duration {
        match self.snapshot.load().service(service) {
            Some(service) => Duration::from_millis(service.first_token_ms.into()),
            None => DEFAULT_FIRST_TOKEN_TARGET,
        }
    }

    /// target for the time between tokens of a service
    pub fn between_tokens_target(&self, service: &str) -> Duration {
        match self.snapshot.load().service(service) {
            Some(service) => Duration::from_millis(service.between_tokens_ms.into()),
            None => DEFAULT_BETWEEN_TOKENS_TARGET,
        }
    }

    /// records a first attempt, which adds credit to the retry budget
    pub fn record_attempt(&self) {
        lock(&self.budget).record_attempt(Instant::now());
    }

    /// time until the retry budget allows another retry
    pub fn retry_wait(&self) -> Duration {
        lock(&self.budget).wait(Instant::now())
    }

    /// charges a retry to the budget
    pub fn take_retry(&self) {
        lock(&self.budget).take(Instant::now());
    }
}
