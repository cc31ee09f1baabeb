//! The cases.

use std::collections::BTreeSet;
use std::io;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use crate::client::{Answer, Attempt};
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
        _ => Err(io::Error::other(format!("unknown case {verb}"))),
    }
}

fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn wait(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// ten model servers of one version, three daemons and a manifest; servers 1 to 3 and daemon 1 are in
/// the first zone
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
        world.start_daemon(number)?;
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
        world.note(&format!("client sends {} {} to daemon {daemon}", attempt.id, attempt.target));
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
    let events: Vec<&str> = answer.events.iter().map(|(_, data)| data.as_str()).collect();
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
    let mut joined = 0;
    for answer in short.iter().chain(long.iter()) {
        note_answer(&world, &answer);
        let versions = answer.events.iter().filter_map(|(_, data)| data.split(' ').next());
        let versions: BTreeSet<&str> = versions.collect();
        if versions.len() > 1 {
            joined += 1;
        }
    }
    note_runs(&world);
    world.note(&format!("streams with events of two versions: {joined} (two are allowed)"));
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
    world.note(&format!("streams in which a piece is missing or comes twice: {gaps}"));
    println!("streams in which a piece is missing or comes twice: {gaps}");
    Ok(gaps == 0)
}
