//! Simulator: protocol cores of daemons on a simulated network and clock.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use peer::gossip::{Call, Core, Message, Response};
use peer::member::timing::TICK;
use peer::{Member, Publication, State};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

/// conditions of the network
#[derive(Clone)]
pub struct Conditions {
    /// fraction of messages that are lost
    pub loss: f64,
    /// shortest and longest delay, milliseconds
    pub delay_ms: (u64, u64),
    /// whether calls to a killed daemon fail at once; otherwise they time out
    pub refuse_connections: bool,
}

impl Default for Conditions {
    fn default() -> Self {
        Conditions {
            loss: 0.0,
            delay_ms: (1, 5),
            refuse_connections: false,
        }
    }
}

/// one simulated daemon
pub struct Daemon {
    pub core: Core,
    pub me: Member,
    pub is_running: bool,
    pub partition: usize,
    pub publications: Vec<Publication>,
    /// instances that this daemon marked as gone at any time
    pub ever_gone: Vec<u64>,
    pub sent: u64,
    pub received: u64,
    pub calls: u64,
    paused_until: Option<Instant>,
    inbox: VecDeque<Event>,
}

enum Event {
    Tick(usize),
    Request {
        from: usize,
        to: usize,
        call: Call,
    },
    Reply {
        to: usize,
        call_id: u64,
        response: Response,
    },
    Timeout {
        from: usize,
        call_id: u64,
    },
}

impl Event {
    fn index(&self) -> usize {
        match self {
            Event::Tick(index) => *index,
            Event::Request { to, .. } | Event::Reply { to, .. } => *to,
            Event::Timeout { from, .. } => *from,
        }
    }
}

/// daemons, messages in flight and the clock
pub struct Network {
    pub daemons: Vec<Daemon>,
    pub now: Instant,
    pub conditions: Conditions,
    /// whether daemons with different `partition` can't reach each other
    pub is_partitioned: bool,
    /// bytes of requests and responses by kind of message
    pub kinds: BTreeMap<&'static str, u64>,
    random: ChaCha8Rng,
    addresses: BTreeMap<String, usize>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: BTreeMap<u64, Event>,
    sequence: u64,
}

impl Network {
    pub fn new(seed: u64, conditions: Conditions) -> Network {
        Network {
            daemons: Vec::new(),
            now: Instant::now() + Duration::from_secs(100),
            conditions,
            is_partitioned: false,
            kinds: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            addresses: BTreeMap::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// a network with `data_centres` of `size` daemons each; the seeds are the addresses of the
    /// first two daemons of each data centre
    pub fn with_data_centres(
        seed: u64,
        conditions: Conditions,
        data_centres: usize,
        size: usize,
    ) -> Network {
        let mut network = Network::new(seed, conditions);
        let mut seeds = Vec::new();
        for data_centre in 0..data_centres {
            seeds.push(format!("10.0.{data_centre}.0:7000"));
            seeds.push(format!("10.0.{data_centre}.1:7000"));
        }
        for data_centre in 0..data_centres {
            for number in 0..size {
                network.start(
                    &format!("vm-{data_centre}-{number}"),
                    data_centre,
                    number,
                    &seeds,
                );
            }
        }
        network
    }

    /// starts a daemon, which replaces one at the same address
    pub fn start(
        &mut self,
        vm: &str,
        data_centre: usize,
        number: usize,
        seeds: &[String],
    ) -> usize {
        let me = Member {
            vm: vm.to_owned(),
            instance: self.random.random::<u64>() >> 11,
            region: "east".to_owned(),
            data_centre: format!("east-{data_centre}"),
            control: format!("10.0.{data_centre}.{number}:7000"),
            callers: format!("10.0.{data_centre}.{number}:8000"),
            state: State::Live,
        };
        let index = self.daemons.len();
        self.addresses.insert(me.control.clone(), index);
        let core = Core::new(me.clone(), seeds, self.random.random(), self.now);
        self.daemons.push(Daemon {
            core,
            me,
            is_running: true,
            partition: 0,
            publications: Vec::new(),
            ever_gone: Vec::new(),
            sent: 0,
            received: 0,
            calls: 0,
            paused_until: None,
            inbox: VecDeque::new(),
        });
        let first_tick = self.random.random_range(0..TICK.as_millis() as u64);
        self.schedule(Duration::from_millis(first_tick), Event::Tick(index));
        index
    }

    pub fn kill(&mut self, index: usize) {
        self.daemons[index].is_running = false;
    }

    pub fn pause(&mut self, index: usize, pause: Duration) {
        self.daemons[index].paused_until = Some(self.now + pause);
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, sequence))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let event = self
                .events
                .remove(&sequence)
                .expect("the event of a queued sequence number");
            self.process(event);
        }
        self.now = end;
    }

    /// runs until a condition holds; returns the time it took, `None` if `limit` passed
    pub fn run_until(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Network) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now - start <= limit {
            if condition(self) {
                return Some(self.now - start);
            }
            self.run(Duration::from_millis(20));
        }
        None
    }

    fn process(&mut self, event: Event) {
        let index = event.index();
        if !self.daemons[index].is_running {
            return;
        }
        if let Some(until) = self.daemons[index].paused_until {
            if self.now < until {
                self.defer(event, until);
                return;
            }
            self.daemons[index].paused_until = None;
        }
        self.handle(event);
        self.collect_output(index);
    }

    /// delays an event of a paused daemon until it resumes, when its time-outs come first
    fn defer(&mut self, event: Event, until: Instant) {
        let millisecond = Duration::from_millis(1);
        let wait = until - self.now;
        match event {
            Event::Timeout { .. } => self.schedule(wait, event),
            Event::Tick(_) => self.schedule(wait + millisecond, event),
            _ => self.schedule(wait + 2 * millisecond, event),
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Tick(index) => {
                self.daemons[index].core.tick(now);
                self.schedule(TICK, Event::Tick(index));
            }
            Event::Request { from, to, call } => {
                let bytes = request_bytes(&call.message);
                self.daemons[to].received += bytes;
                let response = self.daemons[to].core.serve(&call.message, now);
                self.daemons[to].sent += response_bytes(&response);
                *self.kinds.entry(kind(&call.message)).or_default() += response_bytes(&response);
                let call_id = call.id;
                if let Some(delay) = self.message_delay(to, from) {
                    self.schedule(
                        delay,
                        Event::Reply {
                            to: from,
                            call_id,
                            response,
                        },
                    );
                }
            }
            Event::Reply {
                to,
                call_id,
                response,
            } => {
                self.daemons[to].received += response_bytes(&response);
                self.daemons[to]
                    .core
                    .complete_call(call_id, Some(response), now);
            }
            Event::Timeout { from, call_id } => {
                self.daemons[from].core.complete_call(call_id, None, now);
            }
        }
    }

    fn collect_output(&mut self, index: usize) {
        let publications = self.daemons[index].core.take_publications();
        self.daemons[index].publications.extend(publications);
        for call in self.daemons[index].core.take_calls() {
            self.dispatch(index, call);
        }
        let daemon = &mut self.daemons[index];
        for instance in daemon.core.gone_instances() {
            if !daemon.ever_gone.contains(&instance) {
                daemon.ever_gone.push(instance);
            }
        }
    }

    fn dispatch(&mut self, from: usize, call: Call) {
        let call_id = call.id;
        self.daemons[from].sent += request_bytes(&call.message);
        self.daemons[from].calls += 1;
        *self.kinds.entry(kind(&call.message)).or_default() += request_bytes(&call.message);
        let to = self.addresses.get(&call.to.control).copied();
        let reachable = to.filter(|to| self.daemons[*to].is_running);
        match reachable {
            Some(to) => {
                self.schedule(call.timeout, Event::Timeout { from, call_id });
                if let Some(delay) = self.message_delay(from, to) {
                    self.schedule(delay, Event::Request { from, to, call });
                }
            }
            None if self.conditions.refuse_connections => {
                self.schedule(Duration::from_millis(1), Event::Timeout { from, call_id });
            }
            None => self.schedule(call.timeout, Event::Timeout { from, call_id }),
        }
    }

    /// the delay of a message; `None` if it is lost
    fn message_delay(&mut self, from: usize, to: usize) -> Option<Duration> {
        if self.is_partitioned && self.daemons[from].partition != self.daemons[to].partition {
            return None;
        }
        if self.random.random::<f64>() < self.conditions.loss {
            return None;
        }
        let (min, max) = self.conditions.delay_ms;
        Some(Duration::from_millis(self.random.random_range(min..=max)))
    }

    /// runs `action` on a daemon's core and sends the calls that result
    pub fn with_core(&mut self, index: usize, action: impl FnOnce(&mut Core, Instant)) {
        let now = self.now;
        action(&mut self.daemons[index].core, now);
        self.collect_output(index);
    }

    /// indices of the running daemons
    pub fn running(&self) -> Vec<usize> {
        (0..self.daemons.len())
            .filter(|index| self.daemons[*index].is_running)
            .collect()
    }

    /// whether each running daemon lists exactly the running daemons, all with the state live
    pub fn lists_agree(&self) -> bool {
        let mut expected: Vec<u64> = self
            .running()
            .iter()
            .map(|index| self.daemons[*index].me.instance)
            .collect();
        expected.sort_unstable();
        self.running().iter().all(|index| {
            let members = self.daemons[*index].core.members(self.now);
            let mut listed: Vec<u64> = members.iter().map(|m| m.instance).collect();
            listed.sort_unstable();
            listed == expected && members.iter().all(|m| m.state == State::Live)
        })
    }

    /// whether no running daemon lists an instance
    pub fn is_listed_nowhere(&self, instance: u64) -> bool {
        self.running().iter().all(|index| {
            let members = self.daemons[*index].core.members(self.now);
            members.iter().all(|member| member.instance != instance)
        })
    }

    /// instances that some daemon marked as gone at any time
    pub fn ever_marked_gone(&self) -> Vec<u64> {
        let mut all: Vec<u64> = self
            .daemons
            .iter()
            .flat_map(|daemon| daemon.ever_gone.iter().copied())
            .collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}

/// bytes of the JSON-RPC envelope and the WebSocket frame around parameters
const REQUEST_ENVELOPE_BYTES: u64 = 75;
/// bytes of the JSON-RPC envelope and the WebSocket frame around a result
const RESPONSE_ENVELOPE_BYTES: u64 = 45;

fn kind(message: &Message) -> &'static str {
    match message {
        Message::Probe(_) => "probe",
        Message::Check(_) => "check",
        Message::Confirm(_) => "confirm",
        Message::Push(_) => "push",
        Message::Sync(_) => "sync",
        Message::Report(_) => "report",
        Message::Exchange(_) => "exchange",
    }
}

fn request_bytes(message: &Message) -> u64 {
    let json = match message {
        Message::Probe(probe) => serde_json::to_vec(probe),
        Message::Check(check) => serde_json::to_vec(check),
        Message::Confirm(confirm) => serde_json::to_vec(confirm),
        Message::Push(push) => serde_json::to_vec(push),
        Message::Sync(digest) => serde_json::to_vec(digest),
        Message::Report(report) => serde_json::to_vec(report),
        Message::Exchange(exchange) => serde_json::to_vec(exchange),
    };
    REQUEST_ENVELOPE_BYTES + json.expect("JSON").len() as u64
}

fn response_bytes(response: &Response) -> u64 {
    let json = match response {
        Response::Ack(ack) => serde_json::to_vec(ack),
        Response::Difference(difference) => serde_json::to_vec(difference),
        Response::Exchange(exchange) => serde_json::to_vec(exchange),
        Response::Done => Ok(Vec::new()),
    };
    RESPONSE_ENVELOPE_BYTES + json.expect("JSON").len() as u64
}
