//! State shared by all tasks of the gateway, which run on one thread.
//!
//! Every mutable field is in its own cell. No cell is borrowed across an `await`, and none
//! while another is borrowed, except for the placement state while it is rebuilt from the VMs and
//! their statements, and quotas and ledgers, which are borrowed together, also while the reports of
//! peers are.

use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use route::drain::Schedule;
use route::fairness::Fairness;
use route::placement::{Balancer, Distance, Member, Pick, Returns};
use route::quota::{Ledger, Quota};
use route::retry::{Allowance, RepeatLimit};
use route::trust::{self, Role, Trust};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout};

use crate::adapter::Dialect;
use crate::checkpoint::Record;
use crate::clock::Clock;
use crate::follow::Departed;
use crate::freshness::{Confirmation, Freshness};
use crate::generation::Generation;
use crate::limits::{self, Owners};
use crate::log::Sampler;
use crate::metrics::Metrics;
use crate::model::{Config, Health, Vm};
use crate::notices;
use crate::origin;
use crate::pool::Pool;
use crate::quarantine;
use crate::relay::{Position, Relay};
use crate::rollout;
use crate::settings::Settings;
use crate::stage::Stage;
use crate::usage::Tally;
use crate::wall_clock::WallClock;

/// state of the gateway
pub struct Shared<D: Dialect> {
    /// settings of the process
    pub settings: Settings,
    /// message formats of callers and VMs
    pub dialect: D,
    /// clock that includes suspension
    pub clock: Clock,
    /// time of day, for windows of usage
    pub wall_clock: WallClock,
    /// connections to other processes
    pub pool: Rc<Pool>,
    /// open connections of callers
    pub caller_connections: Cell<usize>,
    /// bytes held for callers
    pub memory: Rc<memory::Account>,
    /// current configuration
    pub config: RefCell<Option<Rc<Config>>>,
    started: Instant,
    /// notified when a configuration has been applied
    configured: Notify,
    /// when the configuration was last confirmed as the newest
    pub freshness: Freshness,
    /// whether this daemon watches the configuration closely or relies on its peers
    pub role: Cell<Role>,
    /// whether this daemon, as the standby, acts as the watcher that doesn't answer
    pub stands_in: Cell<bool>,
    /// whether this daemon has met the other daemons, so that its role is known
    pub is_joined: Cell<bool>,
    /// notified when another daemon has a newer configuration
    pub config_behind: Notify,
    /// VMs by instance id, draining ones included
    pub vms: RefCell<HashMap<String, Rc<Vm>>>,
    /// time of the first complete list of VMs
    pub listed_at: Cell<Option<Instant>>,
    /// generation of the object API
    pub generation: Rc<Generation>,
    /// state that other daemons of the group receive from this one
    pub relay: Relay,
    /// list of VMs that was received from another daemon last; none after a list of the store
    pub followed_vms: Cell<Option<Position>>,
    /// VMs that are known to drain or to be gone
    pub departed: RefCell<Departed>,
    /// notified when VMs are added or removed
    pub vms_changed: Notify,
    /// load of the VMs, from which requests are placed
    pub placement: RefCell<Balancer>,
    /// shares of capacity for workspaces
    pub fairness: RefCell<Fairness>,
    /// when refused callers return
    pub returns: RefCell<Returns>,
    /// limits by workspace
    pub quotas: RefCell<HashMap<String, Quota>>,
    /// limits that this daemon decides on for all daemons, by workspace
    pub ledgers: RefCell<HashMap<String, Ledger>>,
    /// the daemons that decide on limits
    pub owners: Owners,
    /// retry budgets by service
    pub allowances: RefCell<HashMap<String, Allowance>>,
    /// number of daemons, this one included; see [`Shared::set_daemons`]
    pub daemons: Cell<usize>,
    /// checkpoint of limits and usage from before this process started
    pub restored: RefCell<Option<Record>>,
    /// requests begun, by workspace and window
    pub tally: RefCell<Tally>,
    /// lifecycle stage of the process
    pub stage: watch::Sender<Stage>,
    /// counters and latencies
    pub metrics: Metrics,
    /// what VMs state about themselves
    pub notices: notices::State,
    /// software versions at which streams began
    pub origins: origin::State,
    /// prompt parts that crash VMs
    pub quarantine: quarantine::State,
    /// moves of services to other software versions
    pub rollouts: rollout::State,
    /// rate limits for log lines
    pub sampler: RefCell<Sampler>,
}

impl<D: Dialect> Shared<D> {
    /// creates the state of a process that has just started
    pub fn new(settings: Settings, dialect: D, pool: Rc<Pool>) -> Rc<Shared<D>> {
        let tally = Tally::new(settings.policy.usage_window);
        let clock = Clock::start();
        let freshness = Freshness::default();
        let notices = notices::State::new(&settings);
        let memory = memory::Account::new(memory::Capacity::of_machine(settings.memory));
        let mut placement = Balancer::new();
        if !settings.vm_speeds {
            placement.ignore_speeds();
        }
        if settings.is_first_start {
            placement.trust_first_samples();
        }
        if settings.fair_shares {
            placement.assume_peers(Instant::now() + FIRST_REPORTS_TIME);
        }
        Rc::new(Shared {
            settings,
            dialect,
            clock,
            wall_clock: WallClock::start(clock),
            pool,
            caller_connections: Cell::default(),
            memory,
            config: RefCell::default(),
            started: Instant::now(),
            configured: Notify::new(),
            generation: Rc::new(Generation::new(clock)),
            relay: Relay::new(clock, freshness.clone()),
            freshness,
            role: Cell::new(Role::Watcher),
            stands_in: Cell::new(false),
            is_joined: Cell::new(false),
            config_behind: Notify::new(),
            vms: RefCell::default(),
            listed_at: Cell::default(),
            followed_vms: Cell::default(),
            departed: RefCell::default(),
            vms_changed: Notify::new(),
            placement: RefCell::new(placement),
            fairness: RefCell::default(),
            returns: RefCell::new(Returns::new(Instant::now())),
            quotas: RefCell::default(),
            ledgers: RefCell::default(),
            owners: Owners::default(),
            allowances: RefCell::default(),
            daemons: Cell::new(INITIAL_DAEMONS),
            restored: RefCell::default(),
            tally: RefCell::new(tally),
            stage: watch::Sender::new(Stage::Serving),
            metrics: Metrics::new(),
            notices,
            origins: origin::State::default(),
            quarantine: quarantine::State::default(),
            rollouts: rollout::State::default(),
            sampler: RefCell::new(Sampler::new(Instant::now())),
        })
    }

    /// the current configuration
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// the current configuration; just after start-up, waits for the first one, which arrives
    /// sooner than a refused caller would retry
    pub async fn first_config(&self) -> Option<Rc<Config>> {
        let configured = self.configured.notified();
        if let Some(config) = self.config() {
            return Some(config);
        }
        if self.started.elapsed() < STARTUP_TIME {
            // on time-out there is still no configuration
            let _ = timeout(FIRST_CONFIG_TIMEOUT, configured).await;
        }
        self.config()
    }

    /// time since the configuration was last confirmed as the newest in the object API
    pub fn config_age(&self) -> Option<Duration> {
        self.freshness.age(self.clock)
    }

    /// records that the object API had no newer configuration at a time
    pub fn confirm_config(&self, at: Instant) {
        if let Some(config) = self.config() {
            self.freshness.confirm(config.version, at);
        }
    }

    /// applies another daemon's confirmation; `requested_at` is the time of the request to it, by
    /// [`Shared::clock`]
    pub fn apply_confirmation(&self, confirmation: &Confirmation, requested_at: Instant) {
        let current = self.config().map(|config| config.version);
        match current.cmp(&Some(confirmation.version)) {
            Ordering::Equal => {
                let age = Duration::from_millis(confirmation.age_ms);
                if let Some(at) = requested_at.checked_sub(age) {
                    self.confirm_config(at);
                }
            }
            Ordering::Less => self.config_behind.notify_one(),
            Ordering::Greater => {}
        }
    }

    /// bounds on the age of the configuration
    pub fn trust_bounds(&self) -> trust::Bounds {
        trust::Bounds {
            apply: self.settings.policy.apply_time,
            keys: self.settings.policy.max_key_age,
        }
    }

    /// how far the configuration may be relied on at its current age
    pub fn trust(&self) -> Trust {
        let age = self.config_age();
        age.map_or(Trust::Stale, |age| {
            trust::classify(age, &self.trust_bounds())
        })
    }

    /// whether this daemon accepts new callers
    pub fn is_ready(&self) -> bool {
        let serving = self.drain().is_none();
        serving && self.listed_at.get().is_some() && self.trust() != Trust::Stale
    }

    /// begins the stop of the process
    pub fn begin_stop(&self) -> Schedule {
        let schedule = Schedule::new(Instant::now(), self.settings.policy.grace);
        self.stage.send_replace(Stage::Draining(schedule));
        schedule
    }

    /// times of the stop, once it has begun
    pub fn drain(&self) -> Option<Schedule> {
        self.stage.borrow().drain()
    }

    /// time since the stop began
    pub fn stopping_for(&self) -> Option<Duration> {
        let drain = self.drain()?;
        Some(drain.started().elapsed())
    }

    /// whether a request that has been read completely is taken; it ends at `timeout_at`
    pub fn admits_until(&self, timeout_at: Instant) -> bool {
        let now = Instant::now();
        let time_limit = timeout_at.saturating_duration_since(now);
        self.drain()
            .is_none_or(|drain| drain.admits(now, time_limit))
    }

    /// the result of a future, or none if the process is about to exit before
    pub async fn unless_interrupted<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        Stage::unless_interrupted(self.stage.subscribe(), future).await
    }

    /// the role in which this daemon calls the store
    pub fn store_role(&self) -> Role {
        match self.role.get() {
            Role::Standby if self.stands_in.get() => Role::Watcher,
            role => role,
        }
    }

    /// whether a daemon that has just started may still get its first state from its peers, so that
    /// it need not call the store
    ///
    /// Only when the whole system starts for the first time, before there are callers: after a loss
    /// of all daemons no peer has any state, and callers wait.
    pub fn awaits_peers(&self) -> bool {
        let has_peers = self.settings.is_first_start && !self.settings.is_alone;
        let is_served = self.is_joined.get() && self.role.get() == Role::Watcher;
        has_peers && !is_served && self.started.elapsed() < PEERS_TIME
    }

    /// replaces the current configuration by a newer one
    pub fn configure(&self, config: Config) {
        limits::configure(self, &config);
        *self.config.borrow_mut() = Some(Rc::new(config));
        self.configured.notify_waiters();
        self.update_candidates();
    }

    /// sets the number of daemons that share limits and connections
    pub fn set_daemons(&self, daemons: usize) {
        self.daemons.set(daemons);
        self.placement.borrow_mut().set_daemons(daemons);
    }

    /// restores the checkpoint from before this process started
    pub fn restore(&self, record: Record) {
        self.set_daemons(record.daemons.max(1));
        let mut placement = self.placement.borrow_mut();
        for (service, timing) in &record.engines {
            placement.restore_learned(service, *timing);
        }
        drop(placement);
        *self.restored.borrow_mut() = Some(record);
    }

    /// replaces the candidates for placement by the ready VMs of each configured service
    pub fn update_candidates(&self) {
        self.relay.set_vms(&self.vms.borrow());
        let Some(config) = self.config() else {
            return;
        };
        let mut members: HashMap<&str, Vec<Member>> = HashMap::new();
        for name in config.services.keys() {
            members.insert(name, Vec::new());
        }
        let vms = self.vms.borrow();
        for vm in vms.values().filter(|vm| vm.health == Health::Ready) {
            let Some(service) = config.services.get(&vm.service) else {
                continue;
            };
            let member = Member {
                id: vm.id.clone(),
                started_at_ms: vm.started_at_ms,
                version: vm.version.clone(),
                distance: self.distance(&vm.zone),
                slots: vm.slots,
                cache_tokens: service.engine.map(|engine| engine.cache_tokens),
                transfer: service.engine.and_then(|engine| {
                    let transfer = engine.transfer;
                    transfer.filter(|_| self.settings.prompt_transfers)
                }),
                connections: service.max_connections,
            };
            members.entry(&service.name).or_default().push(member);
        }
        let mut placement = self.placement.borrow_mut();
        for (service, members) in members {
            placement.set_members(service, members);
        }
        drop(placement);
        drop(vms);
        self.record_versions();
        self.update_limits();
        self.vms_changed.notify_one();
    }

    /// takes one retry from the allowance of a service, if there is one left
    pub fn take_retry(&self, service: &str) -> bool {
        let mut allowances = self.allowances.borrow_mut();
        let allowance = allowances
            .entry(service.to_owned())
            .or_insert_with(|| Allowance::new(self.repeat_limit()));
        allowance.try_take(self.daemons.get(), Instant::now())
    }

    /// credits a request to the retry allowance of its service
    pub fn count_request(&self, service: &str) {
        let mut allowances = self.allowances.borrow_mut();
        let allowance = allowances
            .entry(service.to_owned())
            .or_insert_with(|| Allowance::new(self.repeat_limit()));
        allowance.record_request(Instant::now());
    }

    /// the VM that was picked, unless it has been removed since
    pub fn vm(&self, pick: &Pick) -> Option<Rc<Vm>> {
        self.vms.borrow().get(&pick.id).map(Rc::clone)
    }

    /// the number of lines suppressed since the last one if a line of this kind may be written
    pub fn permit_log(&self, kind: &'static str) -> Option<u64> {
        self.sampler.borrow_mut().permit(kind, Instant::now())
    }

    fn distance(&self, zone: &str) -> Distance {
        let local = &self.settings.zone;
        if zone == local {
            Distance::Zone
        } else if self.settings.region(zone) == self.settings.region(local) {
            Distance::Region
        } else {
            Distance::Link
        }
    }

    fn repeat_limit(&self) -> RepeatLimit {
        let policy = &self.settings.policy;
        RepeatLimit {
            ratio: policy.retry_ratio,
            window: policy.retry_window,
            burst: policy.retry_burst,
        }
    }
}

/// process age up to which the first state is expected from peers: joining takes some hundred
/// milliseconds
const PEERS_TIME: Duration = Duration::from_millis(1000);

/// process age up to which a request waits for the first configuration
const STARTUP_TIME: Duration = Duration::from_secs(2);

/// time after the start in which reports of the peers may still be missing
const FIRST_REPORTS_TIME: Duration = Duration::from_secs(3);

/// longest wait of a request for the first configuration: half of the delay that a refused
/// caller is given
const FIRST_CONFIG_TIMEOUT: Duration = Duration::from_millis(500);

/// assumed number of daemons until the registered ones have been counted: the size of the
/// large deployments that the design targets
const INITIAL_DAEMONS: usize = 390;
