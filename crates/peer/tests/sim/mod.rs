//! Daemons' protocol cores over a simulated network and clock.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use peer::gossip::{Call, Core, Message, Response};
use peer::member::timing::TICK;
use peer::{Member, Notice, State};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

/// how the network treats messages
#[derive(Clone)]
pub struct Weather {
    /// part of the messages that get lost
    pub loss: f64,
    /// shortest and longest delay, milliseconds
    pub delay_ms: (u64, u64),
    /// a killed daemon's address refuses connections; else it is silent
    pub refuse: bool,
}

impl Default for Weather {
    fn default() -> Self {
        Weather {
            loss: 0.0,
            delay_ms: (1, 5),
            refuse: false,
        }
    }
}

/// one simulated daemon
pub struct Daemon {
    pub core: Core,
    pub me: Member,
    pub up: bool,
    pub side: usize,
    pub notices: Vec<Notice>,
    /// members seen as suspect or gone at any time
    pub buried: Vec<u64>,
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
        answer: Response,
    },
    Timeout {
        from: usize,
        call_id: u64,
    },
}

impl Event {
    fn place(&self) -> usize {
        match self {
            Event::Tick(place) => *place,
            Event::Request { to, .. } | Event::Reply { to, .. } => *to,
            Event::Timeout { from, .. } => *from,
        }
    }
}

/// daemons, the messages between them and the time
pub struct Net {
    pub daemons: Vec<Daemon>,
    pub now: Instant,
    pub weather: Weather,
    /// whether sides are cut off from each other
    pub cut: bool,
    /// bytes by kind of message
    pub kinds: BTreeMap<&'static str, u64>,
    random: ChaCha8Rng,
    addresses: BTreeMap<String, usize>,
    order: BinaryHeap<Reverse<(Instant, u64)>>,
    events: BTreeMap<u64, Event>,
    sequence: u64,
}

impl Net {
    pub fn new(seed: u64, weather: Weather) -> Net {
        Net {
            daemons: Vec::new(),
            now: Instant::now() + Duration::from_secs(100),
            weather,
            cut: false,
            kinds: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            addresses: BTreeMap::new(),
            order: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// a network with data centres of `size` daemons each, joined by all the others' addresses
    pub fn with(seed: u64, weather: Weather, data_centres: usize, size: usize) -> Net {
        let mut net = Net::new(seed, weather);
        let mut seeds = Vec::new();
        for centre in 0..data_centres {
            seeds.push(format!("10.0.{centre}.0:7000"));
            seeds.push(format!("10.0.{centre}.1:7000"));
        }
        for centre in 0..data_centres {
            for number in 0..size {
                net.start(&format!("vm-{centre}-{number}"), centre, number, &seeds);
            }
        }
        net
    }

    /// starts a daemon; one at the same address is replaced
    pub fn start(&mut self, vm: &str, centre: usize, number: usize, seeds: &[String]) -> usize {
        let me = Member {
            vm: vm.to_owned(),
            instance: self.random.random::<u64>() >> 11,
            region: "east".to_owned(),
            data_centre: format!("east-{centre}"),
            control: format!("10.0.{centre}.{number}:7000"),
            callers: format!("10.0.{centre}.{number}:8000"),
            state: State::Live,
        };
        let place = self.daemons.len();
        self.addresses.insert(me.control.clone(), place);
        let core = Core::new(me.clone(), seeds, self.random.random(), self.now);
        self.daemons.push(Daemon {
            core,
            me,
            up: true,
            side: 0,
            notices: Vec::new(),
            buried: Vec::new(),
            sent: 0,
            received: 0,
            calls: 0,
            paused_until: None,
            inbox: VecDeque::new(),
        });
        let first = self.random.random_range(0..TICK.as_millis() as u64);
        self.at(Duration::from_millis(first), Event::Tick(place));
        place
    }

    pub fn kill(&mut self, place: usize) {
        self.daemons[place].up = false;
    }

    pub fn pause(&mut self, place: usize, pause: Duration) {
        self.daemons[place].paused_until = Some(self.now + pause);
    }

    fn at(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.order.push(Reverse((self.now + after, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, sequence))) = self.order.peek().copied() {
            if at > end {
                break;
            }
            self.order.pop();
            self.now = at;
            let event = self.events.remove(&sequence).expect("a queued event");
            self.process(event);
        }
        self.now = end;
    }

    /// runs until a condition holds; the time it took, if it did within the limit
    pub fn run_until(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Net) -> bool,
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
        let place = event.place();
        if !self.daemons[place].up {
            return;
        }
        if let Some(until) = self.daemons[place].paused_until {
            if self.now < until {
                self.hold(event, until);
                return;
            }
            self.daemons[place].paused_until = None;
        }
        self.act(event);
        self.collect(place);
    }

    /// what reaches a paused daemon: its own time-outs come first when it goes on
    fn hold(&mut self, event: Event, until: Instant) {
        let millisecond = Duration::from_millis(1);
        let wait = until - self.now;
        match event {
            Event::Timeout { .. } => self.at(wait, event),
            Event::Tick(_) => self.at(wait + millisecond, event),
            _ => self.at(wait + 2 * millisecond, event),
        }
    }

    fn act(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Tick(place) => {
                self.daemons[place].core.tick(now);
                self.at(TICK, Event::Tick(place));
            }
            Event::Request { from, to, call } => {
                let bytes = request_bytes(&call.message);
                self.daemons[to].received += bytes;
                let answer = self.daemons[to].core.serve(&call.message, now);
                self.daemons[to].sent += answer_bytes(&answer);
                *self.kinds.entry(kind(&call.message)).or_default() += answer_bytes(&answer);
                let call_id = call.id;
                if let Some(delay) = self.passage(to, from) {
                    self.at(
                        delay,
                        Event::Reply {
                            to: from,
                            call_id,
                            answer,
                        },
                    );
                }
            }
            Event::Reply {
                to,
                call_id,
                answer,
            } => {
                self.daemons[to].received += answer_bytes(&answer);
                self.daemons[to]
                    .core
                    .complete_call(call_id, Some(answer), now);
            }
            Event::Timeout { from, call_id } => {
                self.daemons[from].core.complete_call(call_id, None, now);
            }
        }
    }

    fn collect(&mut self, place: usize) {
        let notices = self.daemons[place].core.take_notices();
        self.daemons[place].notices.extend(notices);
        for call in self.daemons[place].core.take_calls() {
            self.dispatch(place, call);
        }
        let daemon = &mut self.daemons[place];
        for gone in daemon.core.gone_instances() {
            if !daemon.buried.contains(&gone) {
                daemon.buried.push(gone);
            }
        }
    }

    fn dispatch(&mut self, from: usize, call: Call) {
        let call_id = call.id;
        self.daemons[from].sent += request_bytes(&call.message);
        self.daemons[from].calls += 1;
        *self.kinds.entry(kind(&call.message)).or_default() += request_bytes(&call.message);
        let to = self.addresses.get(&call.to.control).copied();
        let reachable = to.filter(|to| self.daemons[*to].up);
        match reachable {
            Some(to) => {
                self.at(call.timeout, Event::Timeout { from, call_id });
                if let Some(delay) = self.passage(from, to) {
                    self.at(delay, Event::Request { from, to, call });
                }
            }
            None if self.weather.refuse => {
                self.at(Duration::from_millis(1), Event::Timeout { from, call_id });
            }
            None => self.at(call.timeout, Event::Timeout { from, call_id }),
        }
    }

    /// the delay of a message; `None` when it is lost
    fn passage(&mut self, from: usize, to: usize) -> Option<Duration> {
        if self.cut && self.daemons[from].side != self.daemons[to].side {
            return None;
        }
        if self.random.random::<f64>() < self.weather.loss {
            return None;
        }
        let (least, most) = self.weather.delay_ms;
        Some(Duration::from_millis(
            self.random.random_range(least..=most),
        ))
    }

    /// gives a daemon an order, such as to publish, and sends what comes of it
    pub fn order(&mut self, place: usize, order: impl FnOnce(&mut Core, Instant)) {
        let now = self.now;
        order(&mut self.daemons[place].core, now);
        self.collect(place);
    }

    /// places of the daemons that run
    pub fn running(&self) -> Vec<usize> {
        (0..self.daemons.len())
            .filter(|place| self.daemons[*place].up)
            .collect()
    }

    /// whether each running daemon lists exactly the running ones, all of them live
    pub fn agrees(&self) -> bool {
        let mut expected: Vec<u64> = self
            .running()
            .iter()
            .map(|place| self.daemons[*place].me.instance)
            .collect();
        expected.sort_unstable();
        self.running().iter().all(|place| {
            let members = self.daemons[*place].core.members(self.now);
            let mut listed: Vec<u64> = members.iter().map(|m| m.instance).collect();
            listed.sort_unstable();
            listed == expected && members.iter().all(|m| m.state == State::Live)
        })
    }

    /// whether no running daemon lists an instance
    pub fn nobody_lists(&self, instance: u64) -> bool {
        self.running().iter().all(|place| {
            let members = self.daemons[*place].core.members(self.now);
            members.iter().all(|member| member.instance != instance)
        })
    }

    /// instances that some running daemon believed gone at any time
    pub fn ever_buried(&self) -> Vec<u64> {
        let mut all: Vec<u64> = self
            .daemons
            .iter()
            .flat_map(|daemon| daemon.buried.iter().copied())
            .collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}

/// bytes of the JSON-RPC envelope and the WebSocket frame around parameters
const REQUEST_ENVELOPE: u64 = 75;
/// bytes of both around a result
const ANSWER_ENVELOPE: u64 = 45;

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
    REQUEST_ENVELOPE + json.expect("JSON").len() as u64
}

fn answer_bytes(answer: &Response) -> u64 {
    let json = match answer {
        Response::Ack(ack) => serde_json::to_vec(ack),
        Response::Difference(difference) => serde_json::to_vec(difference),
        Response::Exchange(exchange) => serde_json::to_vec(exchange),
        Response::Done => Ok(Vec::new()),
    };
    ANSWER_ENVELOPE + json.expect("JSON").len() as u64
}
