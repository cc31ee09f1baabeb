//! Concurrent changes of the configuration, and changes whose responses are lost.

mod common;

use std::thread;

use common::{client, declaration, no_faults, server, set_faults};
use proptest::prelude::*;
use schema::config::{Declaration, Workspace};
use schema::objects::{Edit, Faults};
use store::config::{self, Mismatch, Options, Outcome, Revision, apply, select_preset};

fn options(author: &str, expected: Option<u64>) -> Options<'_> {
    Options {
        author,
        expected_revision: expected,
    }
}

#[test]
fn revisions_increase_by_one_and_name_their_author() {
    let server = server();
    let client = client(&server);
    assert_eq!(config::read(&client), Ok(None));
    let first = apply(&client, &declaration("ordinary"), options("ann", None)).unwrap();
    assert!(matches!(first, Outcome::Applied(edit) if edit.revision == 1));
    let second = select_preset(&client, "peak", options("bob", Some(1))).unwrap();
    assert!(matches!(second, Outcome::Applied(edit) if edit.revision == 2));
    let now = config::read(&client).unwrap().unwrap();
    assert_eq!((now.number(), now.edit.author.as_str()), (2, "bob"));
    assert_eq!(now.declaration.preset, "peak");
    let unknown = select_preset(&client, "holiday", options("bob", None)).unwrap();
    assert_eq!(unknown, Outcome::UnknownPreset);
    let old = apply(&client, &declaration("ordinary"), options("cid", Some(1))).unwrap();
    assert!(matches!(old, Outcome::Conflict(edit) if edit.author == "bob"));
}

#[test]
fn one_of_concurrent_changes_wins_and_the_others_get_a_conflict() {
    let server = server();
    let first = client(&server);
    apply(&first, &declaration("ordinary"), options("ann", None)).unwrap();
    set_faults(
        &server,
        &Faults {
            delay_ms: Some(20),
            ..no_faults()
        },
    );
    let mut writers = Vec::new();
    for number in 0..6 {
        let client = client(&server);
        writers.push(thread::spawn(move || {
            let author = format!("author {number}");
            let preset = if number % 2 == 0 {
                "peak"
            } else {
                "maintenance"
            };
            select_preset(&client, preset, options(&author, Some(1))).unwrap()
        }));
    }
    let outcomes: Vec<Outcome> = writers
        .into_iter()
        .map(|writer| writer.join().unwrap())
        .collect();
    let winner = config::read(&first).unwrap().unwrap();
    assert_eq!(winner.number(), 2);
    let mut applied = 0;
    for outcome in outcomes {
        match outcome {
            Outcome::Applied(edit) => {
                applied += 1;
                assert_eq!(edit, winner.edit);
            }
            Outcome::Conflict(edit) => assert_eq!(edit, winner.edit),
            Outcome::UnknownPreset => panic!("the preset is declared"),
        }
    }
    assert_eq!(applied, 1);
}

#[test]
fn lost_responses_are_resolved_under_concurrent_changes() {
    let server = server();
    let first = client(&server);
    apply(&first, &declaration("ordinary"), options("ann", None)).unwrap();
    set_faults(
        &server,
        &Faults {
            lose_percent: Some(40),
            seed: Some(7),
            ..no_faults()
        },
    );
    let mut writers = Vec::new();
    for number in 0..4 {
        let client = client(&server);
        writers.push(thread::spawn(move || {
            let author = format!("writer {number}");
            let mut applied = Vec::new();
            for _ in 0..5 {
                let outcome = select_preset(&client, "peak", options(&author, None)).unwrap();
                if let Outcome::Applied(edit) = outcome {
                    applied.push(edit.revision);
                }
            }
            applied
        }));
    }
    let mut applied: Vec<u64> = Vec::new();
    for writer in writers {
        applied.extend(writer.join().unwrap());
    }
    applied.sort_unstable();
    let last = config::read(&first).unwrap().unwrap().number();
    let all: Vec<u64> = (2..=last).collect();
    assert_eq!(
        applied, all,
        "each revision was reported to exactly one author"
    );
}

#[test]
fn a_stale_read_is_not_a_conflict() {
    let server = server();
    let client = client(&server);
    apply(&client, &declaration("ordinary"), options("ann", None)).unwrap();
    apply(&client, &declaration("peak"), options("ann", Some(1))).unwrap();
    set_faults(
        &server,
        &Faults {
            stale_reads: Some(2),
            ..no_faults()
        },
    );
    let third = apply(&client, &declaration("ordinary"), options("ann", Some(2))).unwrap();
    assert!(matches!(third, Outcome::Applied(edit) if edit.revision == 3));
}

fn edit(revision: u64) -> Edit {
    Edit {
        revision,
        change: format!("change {revision}"),
        author: "ann".to_owned(),
        at_ms: revision,
    }
}

fn revision(number: u64, declaration: &Declaration) -> Revision {
    let document = serde_json::to_value(declaration).unwrap();
    Revision::new(edit(number), document).unwrap()
}

prop_compose! {
    fn any_workspace()(
        name in "[a-e]{1,2}",
        keys in prop::collection::vec("[0-9a-f]{4}", 0..3),
        tokens_per_second in 0u32..5,
        priority in 0u8..=9,
    ) -> Workspace {
        Workspace { name, keys, tokens_per_second, concurrent: 0, priority, services: Vec::new() }
    }
}

prop_compose! {
    fn any_declaration()(
        workspaces in prop::collection::vec(any_workspace(), 0..6),
        preset in prop::sample::select(vec!["ordinary", "peak"]),
    ) -> Declaration {
        Declaration { workspaces, ..declaration(preset) }
    }
}

proptest! {
    #[test]
    fn a_delta_produces_the_new_revision(old in any_declaration(), new in any_declaration()) {
        let (old, new) = (revision(1, &old), revision(2, &new));
        let delta = config::diff(&old, &new);
        let sent = serde_json::to_string(&delta).unwrap();
        let delta: config::Delta = serde_json::from_str(&sent).unwrap();
        prop_assert_eq!(config::patch(&old, &delta), Ok(new.clone()));
        if old.digest != new.digest {
            prop_assert_eq!(config::patch(&new, &delta), Err(Mismatch::Base));
        }
        let mut other = delta;
        other.digest = old.digest.clone() + "0";
        prop_assert_eq!(config::patch(&old, &other), Err(Mismatch::Result));
    }
}
