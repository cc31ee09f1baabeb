//! What all tasks of the gateway share on its one thread.
//!
//! Every field that changes is in a cell of its own. No cell is borrowed across an
//! `await`, and none while another is borrowed, but for the board while VMs are listed.

use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use route::placement::{Balancer, Distance, Member, Pick};
use route::quota::{self, Quota};
use route::retry::{Allowance, RepeatLimit};
use route::trust::{self, Role, Trust};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout};

use crate::adapter::Dialect;
use crate::checkpoint::Record;
use crate::clock::Clock;
use crate::follow::{Change, Told};
use crate::log::Sampler;
use crate::metrics::Metrics;
use crate::model::{Config, Health, Limit, Vm};
use crate::pool::Pool;
use crate::settings::Settings;
use crate::stage::Stage;
use crate::usage::Tally;
use crate::vouch::{Vouched, Word};

/// the state of the gateway
pub struct Shared<D: Dialect> {
    /// settings of the process
    pub settings: Settings,
    /// how callers and VMs are spoken to
    pub dialect: D,
    /// the clock that counts suspension
    pub clock: Clock,
    /// connections to other processes
    pub pool: Rc<Pool>,
    /// callers' connections
    pub callers: Cell<usize>,
    /// the configuration in force
    pub config: RefCell<Option<Rc<Config>>>,
    /// when this process started
    started: Instant,
    /// told when a configuration is in force
    configured: Notify,
    /// what this daemon vouches for
    pub vouched: Vouched,
    /// what it does for the age of its configuration
    pub role: Cell<Role>,
    /// told when another daemon has a newer configuration
    pub config_behind: Notify,
    /// VMs by instance id, those that leave included
    pub vms: RefCell<HashMap<String, Rc<Vm>>>,
    /// since when VMs have been listed
    pub listed: Cell<Option<Instant>>,
    /// which changes of VMs are news
    pub told: RefCell<Told>,
    /// whether this daemon tells others which VMs come and leave
    pub tells_vms: Cell<bool>,
    /// changes of VMs to tell others
    pub vm_news: RefCell<Vec<Change>>,
    /// told when there is something that others have to hear at once
    pub news_ready: Notify,
    /// told when VMs come or go
    pub vms_changed: Notify,
    /// loads and choice
    pub board: RefCell<Balancer>,
    /// limits by workspace
    pub quotas: RefCell<HashMap<String, Quota>>,
    /// repeats by service
    pub allowances: RefCell<HashMap<String, Allowance>>,
    /// number of daemons, this one included; see [`Shared::set_daemons`]
    pub daemons: Cell<usize>,
    /// limits and usage as they were recorded before this process started
    pub recalled: RefCell<Option<Record>>,
    /// requests that began, by workspace and window
    pub tally: RefCell<Tally>,
    /// whether the process starts, serves or leaves
    pub stage: watch::Sender<Stage>,
    /// counters and latencies
    pub metrics: Metrics,
    /// bounds the volume of the log
    pub sampler: RefCell<Sampler>,
}

impl<D: Dialect> Shared<D> {
    /// the state of a process that has just started
    pub fn new(settings: Settings, dialect: D, pool: Rc<Pool>) -> Rc<Shared<D>> {
        let tally = Tally::new(settings.promises.usage_window);
        Rc::new(Shared {
            settings,
            dialect,
            clock: Clock::start(),
            pool,
            callers: Cell::default(),
            config: RefCell::default(),
            started: Instant::now(),
            configured: Notify::new(),
            vouched: Vouched::default(),
            role: Cell::new(Role::Watcher),
            config_behind: Notify::new(),
            vms: RefCell::default(),
            listed: Cell::default(),
            told: RefCell::default(),
            tells_vms: Cell::new(true),
            vm_news: RefCell::default(),
            news_ready: Notify::new(),
            vms_changed: Notify::new(),
            board: RefCell::new(Balancer::new()),
            quotas: RefCell::default(),
            allowances: RefCell::default(),
            daemons: Cell::new(DAEMONS_UNKNOWN),
            recalled: RefCell::default(),
            tally: RefCell::new(tally),
            stage: watch::Sender::new(Stage::Serving),
            metrics: Metrics::new(),
            sampler: RefCell::new(Sampler::new(Instant::now())),
        })
    }

    /// the configuration in force
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// the configuration in force; a process that has just started waits for it, as it
    /// comes within less time than a caller takes to come back
    pub async fn first_config(&self) -> Option<Rc<Config>> {
        let configured = self.configured.notified();
        if let Some(config) = self.config() {
            return Some(config);
        }
        if self.started.elapsed() < STARTING {
            // a time-out means that there is none yet
            let _ = timeout(FIRST_WAIT, configured).await;
        }
        self.config()
    }

    /// age of the configuration: since when the object API may have had a newer one
    pub fn config_age(&self) -> Option<Duration> {
        self.vouched.age(self.clock)
    }

    /// takes in that the object API had no newer configuration at a time
    pub fn agree(&self, at: Instant) {
        if let Some(config) = self.config() {
            self.vouched.agree(config.version, at);
        }
    }

    /// takes in another daemon's word, which was asked for at a time of [`Shared::clock`]
    pub fn believe(&self, word: &Word, asked: Instant) {
        let known = self.config().map(|config| config.version);
        match known.cmp(&Some(word.version)) {
            Ordering::Equal => {
                let age = Duration::from_millis(word.age_ms);
                if let Some(at) = asked.checked_sub(age) {
                    self.agree(at);
                }
            }
            Ordering::Less => self.config_behind.notify_one(),
            Ordering::Greater => {}
        }
    }

    /// bounds on the age of the configuration
    pub fn trust_bounds(&self) -> trust::Bounds {
        trust::Bounds {
            apply: self.settings.promises.apply,
            keys: self.settings.promises.key_trust,
        }
    }

    /// what the configuration may be used for
    pub fn trust(&self) -> Trust {
        let age = self.config_age();
        age.map_or(Trust::Stale, |age| {
            trust::classify(age, &self.trust_bounds())
        })
    }

    /// whether new callers are welcome
    pub fn is_ready(&self) -> bool {
        let serving = *self.stage.borrow() == Stage::Serving;
        serving && self.listed.get().is_some() && self.trust() != Trust::Stale
    }

    /// takes in a configuration that is newer than the one in force
    pub fn configure(&self, config: Config) {
        let now = Instant::now();
        let mut quotas = self.quotas.borrow_mut();
        let mut limits: HashMap<&str, Limit> = HashMap::new();
        for workspace in config.keys.values() {
            if let Some(limit) = workspace.limit {
                limits.insert(&workspace.name, limit);
            }
        }
        quotas.retain(|name, _| limits.contains_key(name.as_str()));
        let share = 1.0 / self.daemons.get() as f64;
        let recalled = self.recalled.borrow();
        let wall = SystemTime::now();
        for (name, limit) in limits {
            let terms = self.settings.promises.quota.terms(&limit);
            match quotas.get_mut(name) {
                Some(quota) => quota.configure(terms, now),
                None => {
                    let known = recalled.as_ref();
                    let left = known.and_then(|record| record.left(name, &terms, wall));
                    let left = left.unwrap_or_else(|| self.unknown_left(&terms));
                    quotas.insert(name.to_owned(), Quota::new(terms, left, share, now));
                }
            }
        }
        drop((quotas, recalled));
        *self.config.borrow_mut() = Some(Rc::new(config));
        self.configured.notify_waiters();
        self.list_board();
    }

    /// takes in how many daemons share limits and connections
    pub fn set_daemons(&self, daemons: usize) {
        self.daemons.set(daemons);
        self.board.borrow_mut().set_daemons(daemons);
    }

    /// takes in what was recorded before this process started
    pub fn recall(&self, record: Record) {
        self.set_daemons(record.daemons.max(1));
        *self.recalled.borrow_mut() = Some(record);
    }

    /// units left of a limit of which nothing is recorded
    fn unknown_left(&self, terms: &quota::Limit) -> f64 {
        if self.settings.is_first_start {
            terms.burst
        } else {
            terms.burst * RESTART_LEFT
        }
    }

    /// makes the board follow the VMs that are known
    pub fn list_board(&self) {
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
                distance: self.near(&vm.zone),
                slots: vm.slots,
                cache_tokens: service.engine.map(|engine| engine.cache_tokens),
                connections: service.max_connections,
            };
            members.entry(&service.name).or_default().push(member);
        }
        let mut board = self.board.borrow_mut();
        for (service, members) in members {
            board.set_members(service, members);
        }
        self.vms_changed.notify_one();
    }

    /// takes a repeat from the allowance of a service
    pub fn take_repeat(&self, service: &str) -> bool {
        let mut allowances = self.allowances.borrow_mut();
        let allowance = allowances
            .entry(service.to_owned())
            .or_insert_with(|| Allowance::new(self.terms()));
        allowance.try_take(self.daemons.get(), Instant::now())
    }

    /// counts a request for the allowance of its service
    pub fn count_request(&self, service: &str) {
        let mut allowances = self.allowances.borrow_mut();
        let allowance = allowances
            .entry(service.to_owned())
            .or_insert_with(|| Allowance::new(self.terms()));
        allowance.record_request(Instant::now());
    }

    /// the VM that a choice names
    pub fn vm(&self, pick: &Pick) -> Option<Rc<Vm>> {
        self.vms.borrow().get(&pick.id).map(Rc::clone)
    }

    /// has others told of a change of a VM
    pub fn tell_vm(&self, change: Change) {
        let mut news = self.vm_news.borrow_mut();
        if news.len() < VM_NEWS {
            news.push(change);
        }
        self.news_ready.notify_one();
    }

    /// whether a line of a kind may be written; then the number left out before it
    pub fn log(&self, kind: &'static str) -> Option<u64> {
        self.sampler.borrow_mut().permit(kind, Instant::now())
    }

    fn near(&self, zone: &str) -> Distance {
        let own = &self.settings.zone;
        if zone == own {
            Distance::Zone
        } else if self.settings.region(zone) == self.settings.region(own) {
            Distance::Region
        } else {
            Distance::Link
        }
    }

    fn terms(&self) -> RepeatLimit {
        let promises = &self.settings.promises;
        RepeatLimit {
            ratio: promises.retry_ratio,
            window: promises.retry_window,
            burst: promises.retry_burst,
        }
    }
}

/// age of a process up to which its first configuration is expected at any moment
const STARTING: Duration = Duration::from_secs(2);

/// time for which a request waits for it: half of what a refused caller is told to wait
const FIRST_WAIT: Duration = Duration::from_millis(500);

/// changes of VMs that wait to be told; others see what is left out by their own watch
const VM_NEWS: usize = 1024;

/// daemons that are taken to share the limits until those that have registered are known:
/// the large size to design for
const DAEMONS_UNKNOWN: usize = 390;

/// part of a limit's bucket that a restarted daemon takes to be left if it is not recorded:
/// all may have been restarted at once, after they had spent it
const RESTART_LEFT: f64 = 0.0;

impl<D: Dialect> Shared<D> {
    /// takes a VM out until it is listed again
    pub fn drop_vm(&self, id: &str, cause: &str) {
        if let Some(vm) = self.vms.borrow_mut().remove(id) {
            tracing::info!(event = "vm_dropped", vm = id, address = %vm.address, cause);
        }
        self.list_board();
    }
}
