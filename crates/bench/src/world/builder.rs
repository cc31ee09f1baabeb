//! Configuration of a world.

use std::io;
use std::time::Duration;

use schema::config::{Capacity, Preset};
use schema::settings::{Limits, Policy, Timing};
use standin::{cloud, engine, objects, plain};

use super::data_centre::DataCentre;
use super::running::World;
use super::workspace::Workspace;

/// configuration of a world
#[derive(Clone, Debug)]
pub struct Builder {
    pub(super) data_centres: Vec<DataCentre>,
    pub(super) workspaces: Vec<Workspace>,
    pub(super) presets: Vec<Preset>,
    pub(super) capacity: Vec<Capacity>,
    pub(super) engine: engine::Options,
    pub(super) plain: plain::Options,
    pub(super) cloud: cloud::Options,
    pub(super) objects: objects::Options,
    pub(super) timing: Timing,
    pub(super) limits: Limits,
    pub(super) policy: Policy,
    pub(super) log: String,
    pub(super) first_token_ms: u32,
    pub(super) between_tokens_ms: u32,
    pub(super) deadline_ms: u64,
    pub(super) platform_region: Option<String>,
    pub(super) region_delay: Duration,
    pub(super) region_bandwidth: u64,
    pub(super) upstream_proxies: bool,
}

impl Default for Builder {
    fn default() -> Self {
        Self {
            data_centres: Vec::new(),
            workspaces: Vec::new(),
            presets: Vec::new(),
            capacity: Vec::new(),
            engine: engine::Options::default(),
            plain: plain::Options::default(),
            cloud: cloud::Options::default(),
            objects: objects::Options::default(),
            timing: Timing::default(),
            limits: Limits {
                workers: 256,
                ..Limits::default()
            },
            policy: Policy::Affinity,
            log: "info".to_owned(),
            first_token_ms: 460,
            between_tokens_ms: 32,
            deadline_ms: 120_000,
            platform_region: None,
            region_delay: Duration::ZERO,
            region_bandwidth: 0,
            upstream_proxies: false,
        }
    }
}

impl Builder {
    /// adds a data centre; the first one's region has the platform
    pub fn data_centre(mut self, data_centre: DataCentre) -> Self {
        self.data_centres.push(data_centre);
        self
    }

    /// adds a workspace; without any there is one called `bench`
    pub fn workspace(mut self, workspace: Workspace) -> Self {
        self.workspaces.push(workspace);
        self
    }

    /// adds a preset that is not selected at the start
    pub fn preset(mut self, preset: Preset) -> Self {
        self.presets.push(preset);
        self
    }

    /// adds the capacity of a service; without any call, daemons neither start nor remove VMs
    pub fn capacity(mut self, capacity: Capacity) -> Self {
        self.capacity.push(capacity);
        self
    }

    /// sets the options of all engines
    pub fn engine(mut self, options: engine::Options) -> Self {
        self.engine = options;
        self
    }

    /// sets the options of all plain services
    pub fn plain(mut self, options: plain::Options) -> Self {
        self.plain = options;
        self
    }

    /// sets the options of the cloud API
    pub fn cloud(mut self, options: cloud::Options) -> Self {
        self.cloud = options;
        self
    }

    /// sets the options of the object API
    pub fn objects(mut self, options: objects::Options) -> Self {
        self.objects = options;
        self
    }

    /// sets the daemons' time-outs and periods
    pub fn timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }

    /// sets the daemons' limits
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// sets the placement policy of the daemons
    pub fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// sets the daemons' log filter
    pub fn log(mut self, filter: &str) -> Self {
        filter.clone_into(&mut self.log);
        self
    }

    /// sets the services' target for the time to the first token; requests may queue that long
    pub fn first_token(mut self, target: Duration) -> Self {
        self.first_token_ms = target.as_millis() as u32;
        self
    }

    /// sets the services' deadline for a request
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline_ms = deadline.as_millis() as u64;
        self
    }

    /// sets the region of the object and cloud API
    pub fn platform_region(mut self, region: &str) -> Self {
        self.platform_region = Some(region.to_owned());
        self
    }

    /// sets one-way delay and bandwidth (0 for no limit) of the link between regions, each way
    pub fn region_link(mut self, delay: Duration, bytes_per_second: u64) -> Self {
        self.region_delay = delay;
        self.region_bandwidth = bytes_per_second;
        self
    }

    /// puts a proxy for fault injection in front of each upstream VM
    pub fn upstream_proxies(mut self) -> Self {
        self.upstream_proxies = true;
        self
    }

    /// starts everything and waits until all daemons are ready
    pub fn start(mut self) -> io::Result<World> {
        if self.workspaces.is_empty() {
            self.workspaces.push(Workspace::new("bench"));
        }
        World::start(self)
    }

    pub(super) fn platform_region_name(&self) -> String {
        let first = self
            .data_centres
            .first()
            .map(|centre| centre.region.clone());
        self.platform_region.clone().or(first).unwrap_or_default()
    }
}
