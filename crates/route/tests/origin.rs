//! Records of the versions at which streams began.

use std::collections::HashMap;

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

use route::origin::{Batch, Certainty, Group, Ids, Origin, Table, certainty, stream_id};
use tokio::time::Instant;

fn origin(version: &str) -> Origin {
    Origin {
        service: "llm".to_owned(),
        version: version.to_owned(),
    }
}

fn find(table: &Table, id: u64, now_s: u64) -> Option<&str> {
    let origin = table.find(id, now_s);
    origin.map(|origin| origin.version.as_str())
}

#[test]
fn unknown_stream_has_no_version() {
    assert_eq!(find(&Table::default(), 1, 0), None);
}

#[test]
fn first_record_of_a_stream_stays() {
    let mut table = Table::default();
    table.record(1, &origin("v1"), 110, 100);
    table.record(1, &origin("v2"), 110, 100);
    assert_eq!(find(&table, 1, 100), Some("v1"));
}

#[test]
fn record_lapses_with_the_time_of_its_caller() {
    let mut table = Table::default();
    table.record(1, &origin("v1"), 110, 100);
    assert_eq!(find(&table, 1, 110), Some("v1"));
    assert_eq!(find(&table, 1, 111), None);
    table.record(2, &origin("v1"), 130, 120);
    assert_eq!(table.len(), 1, "records that have lapsed are removed");
}

#[test]
fn stated_time_does_not_keep_a_record_forever() {
    let mut table = Table::default();
    table.record(1, &origin("v1"), u64::MAX, 100);
    assert_eq!(find(&table, 1, 200), None);
}

#[test]
fn uncertain_version_stays_uncertain_at_all_daemons() {
    let mut table = Table::default();
    let mut other = Table::default();
    table.record(1, &origin("v1"), 110, 100);
    let (batch, next) = table.own_after(0, 100);
    other.merge(&batch, 100);
    assert_eq!(find(&other, 1, 100), Some("v1"));
    table.doubt(1);
    assert_eq!(find(&table, 1, 100), None);
    other.merge(&table.own_after(next, 100).0, 100);
    assert_eq!(find(&other, 1, 100), None);
    other.merge(&batch, 100);
    assert_eq!(find(&other, 1, 100), None, "an older record comes again");
}

#[test]
fn own_records_are_sent_once_to_each_daemon() {
    let mut table = Table::default();
    table.record(1, &origin("v1"), 110, 100);
    let (batch, next) = table.own_after(0, 100);
    assert_eq!(batch.len(), 1);
    assert!(table.own_after(next, 100).0.is_empty());
    table.record(2, &origin("v2"), 110, 100);
    assert_eq!(table.own_after(next, 100).0.len(), 1);
    assert_eq!(table.own_after(0, 100).0.len(), 2, "to a new daemon, all");
}

#[test]
fn received_records_are_kept_but_not_sent_on() {
    let mut table = Table::default();
    let group = Group {
        origin: Some(origin("v1")),
        until_s: 110,
        ids: Ids(vec![1, 2]),
    };
    table.merge(
        &Batch {
            groups: vec![group],
        },
        100,
    );
    assert!(table.own_after(0, 100).0.is_empty());
    assert_eq!(table.all(100).len(), 2);
}

#[test]
fn unreadable_ids_are_an_error() {
    for ids in ["a", "AAAA", "AAAAAAAAAA", "\u{e4}"] {
        let text = format!(r#"{{"groups":[{{"origin":null,"until_s":1,"ids":"{ids}"}}]}}"#);
        assert!(serde_json::from_str::<Batch>(&text).is_err(), "{ids}");
    }
}

proptest! {
    /// records survive the way to another daemon or the object API and back
    #[test]
    fn records_survive_serialisation(
        attempts in prop::collection::vec(("[0-9a-f]{1,16}", 0..4_usize, 100..160_u64), 0..60),
    ) {
        let mut table = Table::default();
        for (attempt, version, until_s) in &attempts {
            table.record(stream_id(attempt), &origin(&format!("v{version}")), *until_s, 100);
        }
        let text = serde_json::to_string(&table.all(100)).expect("a batch");
        let batch: Batch = serde_json::from_str(&text).expect("the same batch");
        let mut restored = Table::default();
        restored.merge(&batch, 100);
        for (attempt, ..) in &attempts {
            let id = stream_id(attempt);
            prop_assert_eq!(find(&restored, id, 100), find(&table, id, 100));
            prop_assert!(find(&table, id, 100).is_some());
        }
    }
}

/// daemons of a zone at the design size, and the streams that begin there in a second
const DAEMONS: usize = 49;
const STREAMS_PER_S: f64 = 625.0;

/// milliseconds until a record has reached the daemon that writes it, and between two writes
const SEND_MS: u64 = 55;
const WRITE_MS: u64 = 500;
const STORE_MS: u64 = 45;

/// streams of one to four seconds, whose callers come back for twelve seconds in all
const LENGTHS_MS: std::ops::Range<u64> = 1000..4000;
const DEADLINE_S: u64 = 12;

/// Replays a kill of all daemons of the design size in the middle of a release: every version that is
/// known is the right one, and at least half of the streams are known.
#[test]
fn versions_are_known_after_a_kill_of_all_daemons_of_a_large_fleet() {
    for seed in 0..10 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut daemons: Vec<Table> = (0..DAEMONS).map(|_| Table::default()).collect();
        let mut sent = vec![0; DAEMONS];
        let mut writer = Table::default();
        let mut in_store = Batch::default();
        let mut truth: HashMap<u64, (u64, &str)> = HashMap::new();
        let kill_ms = 20_000 + random.random_range(0..WRITE_MS);
        for now_ms in 0..kill_ms {
            let now_s = now_ms / 1000;
            if random.random_bool(STREAMS_PER_S / 1000.0) {
                let id = stream_id(&format!("{:016x}", random.random::<u64>()));
                let is_new = random.random_range(0..20_000) < now_ms;
                let version = if is_new { "v2" } else { "v1" };
                let until_s = (now_ms + (DEADLINE_S + 3) * 1000).div_ceil(1000);
                let daemon = random.random_range(0..DAEMONS);
                daemons[daemon].record(id, &origin(version), until_s, now_s);
                truth.insert(id, (now_ms + random.random_range(LENGTHS_MS), version));
            }
            let (number, turn) = (now_ms as usize % DAEMONS, now_ms / DAEMONS as u64);
            if turn % (SEND_MS / DAEMONS as u64).max(1) == 0 {
                let (batch, next) = daemons[number].own_after(sent[number], now_s);
                sent[number] = next;
                writer.merge(&batch, now_s);
            }
            if now_ms % WRITE_MS == 0 && now_ms + STORE_MS < kill_ms {
                in_store = writer.all(now_s);
            }
        }
        let bytes = serde_json::to_string(&in_store).expect("a batch").len();
        assert!(
            bytes < 250_000,
            "seed {seed}: {bytes} bytes in an object of a megabyte"
        );
        let mut restored = Table::default();
        restored.merge(&in_store, kill_ms / 1000);
        let cut = truth.iter().filter(|(_, (end_ms, _))| *end_ms > kill_ms);
        let (mut known, mut all) = (0, 0);
        for (id, (_, version)) in cut {
            all += 1;
            if let Some(found) = find(&restored, *id, kill_ms / 1000) {
                assert_eq!(found, *version, "seed {seed}");
                known += 1;
            }
        }
        assert!(
            known * 2 >= all,
            "seed {seed}: {known} of {all} streams are known"
        );
        println!("seed {seed}: {known} of {all} known, {bytes} bytes");
    }
}

/// a daemon that is cut off or stands still has a list that no newer entry reaches
#[test]
fn a_list_tells_the_process_behind_connections_from_before_its_confirmation_only() {
    let drain = Duration::from_millis(2500);
    let opened = Instant::now() + Duration::from_secs(60);
    let ms = Duration::from_millis;
    let table = [
        (
            Some(opened + ms(1000)),
            opened + ms(60_000),
            Certainty::Certain,
        ),
        (
            Some(opened + ms(900)),
            opened + ms(1000),
            Certainty::Pending,
        ),
        (
            Some(opened - ms(500)),
            opened + ms(1000),
            Certainty::Pending,
        ),
        (
            Some(opened - ms(500)),
            opened + ms(1300),
            Certainty::Unknown,
        ),
        (
            Some(opened + ms(900)),
            opened + ms(60_000),
            Certainty::Unknown,
        ),
        (None, opened, Certainty::Unknown),
    ];
    for (confirmed_at, now, expected) in table {
        let certainty = certainty(opened, confirmed_at, now, drain);
        assert_eq!(certainty, expected, "{confirmed_at:?} {now:?}");
    }
}
