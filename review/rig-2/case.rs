//! The cases.

use std::collections::BTreeSet;
use std::io;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Answer, Attempt};
use crate::proxy::Proxy;
use crate::server::DEADLY_PART;
use crate::world::{World, ZONES};

/// model servers; a fifth of them are two
const SERVERS: usize = 10;

/// daemons, one in each zone
const DAEMONS: usize = 3;

/// plays a case; whether its rule held
pub fn play(verb: &str) -> io::Result<bool> {
    match verb {
        "versions" => versions(),
        "gap" => gap(),
        "pending" => pending(),
        "deadly" => deadly(),
        "records" => records(),
        "late" => late(),
        _ => Err(io::Error::other(format!("unknown case {verb}"))),
    }
}

fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn wait(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// ten model servers of one version, three daemons and a manifest; servers 1 to 3 are in the zone of
/// daemon 1
fn deployment(attempts: u32) -> io::Result<World> {
    let mut world = World::new()?;
    world.configure(7, attempts);
    for number in 1..=SERVERS {
        let zone = match number {
            1..=3 => ZONES[0].0,
            4..=6 => ZONES[2].0,
            _ => ZONES[1].0,
        };
        world.start_server(number, "models", "v1", zone)?;
    }
    for _ in 0..100 {
        if world.store.count("servers") == SERVERS {
            break;
        }
        wait(50);
    }
    for number in 1..=DAEMONS {
        world.start_daemon(number, true)?;
    }
    for number in 1..=DAEMONS {
        world.await_ready(number)?;
    }
    // a term of the lease, and confirmations of the list of servers
    wait(4000);
    Ok(world)
}

/// sends attempts at once to a daemon; their answers follow
fn send_all(world: &World, daemon: usize, attempts: Vec<Attempt>) -> mpsc::Receiver<Answer> {
    let (sender, answers) = mpsc::channel();
    let address = world.daemon(daemon);
    for attempt in attempts {
        world.note(&format!(
            "client sends {} {} to daemon {daemon}",
            attempt.id, attempt.target
        ));
        let sender = sender.clone();
        thread::spawn(move || sender.send(attempt.send(address)));
    }
    answers
}

fn streams(name: &str, count: usize, events: u64, gap_ms: u64) -> Vec<Attempt> {
    let attempt = |number| {
        let prefix = format!("5c1e07a2:200,{number:x}:200");
        Attempt::stream(&format!("{name}-{number}"), events, gap_ms, &prefix)
    };
    (1..=count).map(attempt).collect()
}

fn note_answer(world: &World, answer: &Answer) {
    let events: Vec<&str> = answer
        .events
        .iter()
        .map(|(_, data)| data.as_str())
        .collect();
    world.note(&format!(
        "client got {}: status {}, complete {}, {} ms, events: {}",
        answer.id,
        answer.status,
        answer.is_complete,
        answer.took.as_millis(),
        events.join(", ")
    ));
}

fn note_runs(world: &World) {
    for line in world.runs().lines() {
        world.note(&format!("run: {line}"));
    }
}

/// ORDER: more than two streams hold events of two software versions
///
/// Servers 1 and 2 are partitioned from the store, not from the daemons, crash behind the cut and start
/// again under their ids: server 2 at once, with a new version, server 1 two seconds later.
fn versions() -> io::Result<bool> {
    let mut world = deployment(2)?;
    let trouble = has_trouble();
    world.store.next_heartbeat("i-2");
    if trouble {
        world.note("servers i-1 and i-2 are partitioned from the store");
        world.store.set_cut("i-1", true);
        world.store.set_cut("i-2", true);
        world.kill("i-2");
        world.restart_server("i-2", "v2")?;
    }
    wait(300);
    let long = send_all(&world, 1, streams("long", 220, 50, 100));
    let short = send_all(&world, 1, streams("short", 200, 3, 50));
    wait(2200);
    if trouble {
        world.kill("i-1");
    }
    wait(500);
    if trouble {
        world.restart_server("i-1", "v1")?;
    }
    wait(1500);
    if trouble {
        world.note("the partition ends");
        world.store.set_cut("i-1", false);
        world.store.set_cut("i-2", false);
    }
    let joined = count_joined(&world, short.iter().chain(long.iter()));
    note_runs(&world);
    world.note(&format!(
        "streams with events of two versions: {joined} (two are allowed)"
    ));
    println!("streams with events of two versions: {joined} (two are allowed)");
    Ok(joined <= 2)
}

/// ORDER: in a stream a piece is missing
///
/// As above, but both servers start again with the version that they had, and a route allows three
/// attempts.
fn gap() -> io::Result<bool> {
    let mut world = deployment(3)?;
    let trouble = has_trouble();
    world.store.next_heartbeat("i-2");
    if trouble {
        world.note("servers i-1 and i-2 are partitioned from the store");
        world.store.set_cut("i-1", true);
        world.store.set_cut("i-2", true);
        world.kill("i-2");
        world.restart_server("i-2", "v1")?;
    }
    wait(300);
    let long = send_all(&world, 1, streams("long", 120, 40, 100));
    wait(1200);
    if trouble {
        world.kill("i-1");
    }
    wait(500);
    if trouble {
        world.restart_server("i-1", "v1")?;
    }
    wait(2000);
    if trouble {
        world.note("the partition ends");
        world.store.set_cut("i-1", false);
        world.store.set_cut("i-2", false);
    }
    let mut gaps = 0;
    for answer in long.iter() {
        note_answer(&world, &answer);
        let ids: Vec<u64> = answer.events.iter().map(|(id, _)| *id).collect();
        let expected: Vec<u64> = (1..=ids.len() as u64).collect();
        if ids != expected {
            gaps += 1;
        }
    }
    note_runs(&world);
    world.note(&format!(
        "streams in which a piece is missing or comes twice: {gaps}"
    ));
    println!("streams in which a piece is missing or comes twice: {gaps}");
    Ok(gaps == 0)
}

/// ORDER: more than two streams hold events of two software versions
///
/// Server 2 is partitioned from the store, not from the daemons, and crashes behind the cut, twice: it starts
/// again under its id at once, with a new version.
fn pending() -> io::Result<bool> {
    let mut world = deployment(2)?;
    let trouble = has_trouble();
    world.store.next_heartbeat("i-2");
    if trouble {
        world.note("server i-2 is partitioned from the store");
        world.store.set_cut("i-2", true);
        world.kill("i-2");
        world.restart_server("i-2", "v2")?;
    }
    wait(200);
    let long = send_all(&world, 1, streams("long", 60, 40, 100));
    wait(700);
    if trouble {
        world.kill("i-2");
        world.restart_server("i-2", "v2")?;
    }
    wait(3000);
    if trouble {
        world.note("the partition ends");
        world.store.set_cut("i-2", false);
    }
    let joined = count_joined(&world, long.iter());
    note_runs(&world);
    let text = format!("streams with events of two versions: {joined} (two are allowed)");
    world.note(&text);
    println!("{text}");
    Ok(joined <= 2)
}

/// notes answers and counts those with events of two versions
fn count_joined(world: &World, answers: impl Iterator<Item = Answer>) -> usize {
    let mut joined = 0;
    for answer in answers {
        note_answer(world, &answer);
        let versions = answer
            .events
            .iter()
            .filter_map(|(_, data)| data.split(' ').next());
        let versions: BTreeSet<&str> = versions.collect();
        joined += usize::from(versions.len() > 1);
    }
    joined
}

/// servers that have crashed
#[derive(Default)]
struct Crashes {
    at: Vec<Instant>,
    down: Vec<(String, Instant)>,
}

impl Crashes {
    /// notes crashes, and starts crashed servers again after three seconds
    fn keep(&mut self, world: &mut World) -> io::Result<()> {
        for server in 1..=SERVERS {
            let id = format!("i-{server}");
            if world.has_ended(&id) {
                self.at.push(Instant::now());
                world.note(&format!("{id} has crashed, crash {}", self.at.len()));
                world.kill(&id);
                self.down.push((id, Instant::now()));
            }
        }
        let is_due = |(_, at): &mut (String, Instant)| at.elapsed() > Duration::from_secs(3);
        for (id, _) in self.down.extract_if(.., is_due).collect::<Vec<_>>() {
            world.restart_server(&id, "v1")?;
        }
        Ok(())
    }
}

/// shared parts of each prompt besides the first: the sections of a transcript
const SECTIONS: u64 = 60;

/// BUDGET: more than three requests with a part that crashes servers reach servers, sent later than
/// `stable_ms` after the fifth crash
fn deadly() -> io::Result<bool> {
    const SECONDS: u64 = 26;
    const PAUSE_MS: u64 = 30;
    let sections: u64 = std::env::var("SECTIONS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SECTIONS);
    let mut world = deployment(2)?;
    let trouble = has_trouble();
    let (sender, answers) = mpsc::channel();
    let mut number: u64 = 0;
    let mut sent: Vec<(String, Instant)> = Vec::new();
    let mut crashes = Crashes::default();
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(SECONDS) {
        number += 1;
        let daemon = 1 + (number % DAEMONS as u64) as usize;
        let is_deadly = trouble && number % 40 == 0;
        let (id, prefix) = if is_deadly {
            (
                format!("deadly-{number}"),
                format!("5c1e07a2:200,{DEADLY_PART}100,{number:x}:100"),
            )
        } else {
            let part = |section| format!("{:x}:100", 0x1000_0000 + number * sections + section);
            let parts: Vec<String> = (0..sections).map(part).collect();
            (
                format!("sound-{number}"),
                format!("5c1e07a2:200,{},{number:x}:100", parts.join(",")),
            )
        };
        let attempt = Attempt {
            target: "/model/x?n=8&gap=60&first=700".to_owned(),
            deadline: Duration::from_secs(10),
            ..Attempt::stream(&id, 8, 60, &prefix)
        };
        world.note(&format!("client sends {id} to daemon {daemon}"));
        if is_deadly {
            sent.push((id, Instant::now()));
        }
        let (sender, address) = (sender.clone(), world.daemon(daemon));
        thread::spawn(move || sender.send(attempt.send(address)));
        crashes.keep(&mut world)?;
        wait(PAUSE_MS);
    }
    drop(sender);
    let mut answered = 0;
    for answer in answers.iter() {
        answered += usize::from(answer.is_complete && answer.status == 200);
        world.note(&format!(
            "client got {}: status {}, {} events, complete {}",
            answer.id,
            answer.status,
            answer.events.len(),
            answer.is_complete
        ));
    }
    note_runs(&world);
    let runs = world.runs();
    let bound = crashes.at.get(4).map(|at| *at + Duration::from_secs(4));
    let late = sent
        .iter()
        .filter(|(_, at)| bound.is_some_and(|bound| *at > bound));
    let reached = late
        .filter(|(id, _)| runs.contains(&format!(" run {id} ")))
        .count();
    let text = format!(
        "crashes: {}; requests with the part that reached servers, sent later than 4 s after the fifth: {reached} (three are allowed); complete answers: {answered} of {number}",
        crashes.at.len()
    );
    world.note(&text);
    println!("{text}");
    Ok(reached <= 3)
}

/// LOST: of the streams that clients take up again, less than half go on as often as new ones begin
///
/// The store is down for four and a half seconds. As it comes back, all machines lose power for half a second.
fn records() -> io::Result<bool> {
    const PATIENCE: Duration = Duration::from_secs(10);
    let mut world = deployment(2)?;
    for server in 6..=SERVERS {
        let id = format!("i-{server}");
        world.kill(&id);
        world.restart_server(&id, "v2")?;
    }
    wait(4000);
    let proxy = Proxy::default();
    for daemon in 1..=DAEMONS {
        proxy.start(world.address(200 + daemon, 18221), world.daemon(daemon))?;
    }
    let trouble = has_trouble();
    if trouble {
        world.note("the store goes down");
        world.store.set_down(true);
    }
    wait(1500);
    let (sender, answers) = mpsc::channel();
    for number in 0..60 {
        let id = format!("begun-{number}");
        let attempt = Attempt {
            patience: PATIENCE,
            ..Attempt::stream(&id, 60, 60, &format!("5c1e07a2:200,{number:x}:200"))
        };
        let address = world.address(201 + number % DAEMONS, 18221);
        let again = world.address(201 + (number + 1) % DAEMONS, 18221);
        world.note(&format!(
            "client sends {id} to daemon {}",
            1 + number % DAEMONS
        ));
        let sender = sender.clone();
        thread::spawn(move || {
            let first = attempt.send(address);
            let last = first.events.last().map(|(id, _)| *id);
            let resumed = last.filter(|_| !first.is_complete).map(|last| {
                let headers = format!(
                    "{}Last-Event-Id: {last}\r\nResumes: {id}\r\n",
                    attempt.headers
                );
                let id = format!("again-{number}");
                let deadline = attempt.deadline.saturating_sub(first.took);
                let again_attempt = Attempt {
                    id,
                    deadline,
                    headers,
                    ..attempt.clone()
                };
                again_attempt.send(again)
            });
            sender.send((first, resumed))
        });
        wait(25);
    }
    wait(1000);
    if trouble {
        world.note("all machines lose power; the store is back");
        proxy.lose_power();
        for daemon in 1..=DAEMONS {
            world.kill(&format!("daemon-{daemon}"));
        }
        wait(200);
        world.store.set_down(false);
        wait(300);
        for daemon in 1..=DAEMONS {
            world.start_daemon(daemon, false)?;
        }
    }
    // the clients' patience; machines are in touch after four seconds
    wait(7000);
    let new = send_all(&world, 1, streams("new", 30, 5, 60));
    drop(sender);
    let (mut taken_up, mut gone_on) = (0, 0);
    for (first, resumed) in answers.iter() {
        note_answer(&world, &first);
        let Some(resumed) = resumed else { continue };
        note_answer(&world, &resumed);
        taken_up += 1;
        gone_on += usize::from(!resumed.events.is_empty());
    }
    let mut begun = 0;
    for answer in new.iter() {
        note_answer(&world, &answer);
        begun += usize::from(!answer.events.is_empty());
    }
    note_runs(&world);
    let text = format!("of {taken_up} streams that clients took up again, {gone_on} went on; of 30 new ones {begun} began");
    world.note(&text);
    println!("{text}");
    Ok(taken_up < 12 || gone_on * 2 * 30 >= begun * taken_up)
}

/// ORDER: more than two streams hold events of two software versions
///
/// Two servers are upgraded under their ids, one after the other. The last heartbeat of the first one's former
/// process is executed late.
fn late() -> io::Result<bool> {
    const DELAY: Duration = Duration::from_millis(3000);
    let mut world = deployment(2)?;
    let trouble = has_trouble();
    if trouble {
        world.store.delay_next("i-2", DELAY);
        world.note("the store has received a heartbeat of i-2 and executes it 3 s later");
    } else {
        world.store.next_heartbeat("i-2");
    }
    world.kill("i-2");
    world.restart_server("i-2", "v2")?;
    wait(300);
    let long = send_all(&world, 1, streams("long", 400, 60, 100));
    let short = send_all(&world, 1, streams("short", 200, 3, 50));
    wait(2950);
    world.kill("i-1");
    world.restart_server("i-1", "v2")?;
    let joined = count_joined(&world, short.iter().chain(long.iter()));
    note_runs(&world);
    let text = format!("streams with events of two versions: {joined} (two are allowed)");
    world.note(&text);
    println!("{text}");
    Ok(joined <= 2)
}
