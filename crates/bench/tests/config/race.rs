//! Concurrent changes by several operators.

use std::collections::BTreeSet;
use std::fs;
use std::process::Output;
use std::sync::Barrier;
use std::thread;

use bench::world::World;

use super::PRESETS;
use super::change::{Applied, applied, assert_in_force};
use super::harness::Scenarios;
use super::watch::status;

/// concurrent operators
const OPERATORS: usize = 4;

/// exit code of the command line tool if another change was applied first
const CONFLICT: i32 = 4;

/// rounds of concurrent changes
const ROUNDS: usize = 3;

pub fn run_all(scenarios: &mut Scenarios, world: &World) {
    scenarios.run(
        "of concurrent changes that expect one revision, one succeeds",
        || {
            for _ in 0..ROUNDS {
                let before = status(&world.daemons()[0])
                    .expect("read the status")
                    .revision;
                let outputs = apply_concurrently(world, Some(before));
                let changes = successful(&outputs);
                assert_eq!(changes.len(), 1, "{outputs:?}");
                assert_eq!(changes[0].revision, before + 1);
                assert_conflicts_named(&outputs, &changes);
                assert_in_force(world, &changes[0]);
            }
        },
    );
    scenarios.run(
        "concurrent changes without an expected revision succeed in order or conflict",
        || {
            let before = status(&world.daemons()[0])
                .expect("read the status")
                .revision;
            let outputs = apply_concurrently(world, None);
            let changes = successful(&outputs);
            assert!(!changes.is_empty(), "{outputs:?}");
            let revisions: BTreeSet<u64> = changes.iter().map(|change| change.revision).collect();
            assert_eq!(revisions.len(), changes.len(), "{outputs:?}");
            let last = before + changes.len() as u64;
            assert_eq!(revisions.last(), Some(&last), "{outputs:?}");
            assert_conflicts_named(&outputs, &changes);
            let newest = changes.iter().max_by_key(|change| change.revision);
            assert_in_force(world, newest.expect("one change must be applied"));
        },
    );
}

/// applies declarations with different presets concurrently
fn apply_concurrently(world: &World, expected: Option<u64>) -> Vec<Output> {
    let folder = tempfile::tempdir().expect("create a folder");
    let barrier = Barrier::new(OPERATORS);
    thread::scope(|scope| {
        let mut operators = Vec::new();
        for number in 0..OPERATORS {
            let mut declaration = world.declaration().clone();
            PRESETS[number % 2].clone_into(&mut declaration.preset);
            let text = serde_norway::to_string(&declaration).expect("declaration must serialize");
            let file = folder.path().join(format!("{number}.yaml"));
            fs::write(&file, text).expect("write the declaration");
            let barrier = &barrier;
            operators.push(scope.spawn(move || {
                let file = file.to_string_lossy().into_owned();
                let author = format!("operator-{number}");
                let expect = expected.map(|revision| revision.to_string());
                let mut arguments = vec!["apply", "--output", "json", "--author", &author];
                if let Some(expect) = &expect {
                    arguments.extend(["--expect", expect]);
                }
                arguments.push(&file);
                barrier.wait();
                world
                    .operator()
                    .output(&arguments)
                    .expect("run the command line tool")
            }));
        }
        let operators = operators.into_iter();
        operators
            .map(|o| o.join().expect("operator panicked"))
            .collect()
    })
}

fn successful(outputs: &[Output]) -> Vec<Applied> {
    let done = outputs.iter().filter(|output| output.status.success());
    done.map(applied).collect()
}

/// each failed change must report a conflict with the author and id of an applied one
fn assert_conflicts_named(outputs: &[Output], changes: &[Applied]) {
    for output in outputs.iter().filter(|output| !output.status.success()) {
        assert_eq!(output.status.code(), Some(CONFLICT), "{output:?}");
        let text = String::from_utf8_lossy(&output.stderr);
        let named = changes.iter().any(|change| text.contains(&change.change));
        assert!(named && text.contains("operator-"), "{text}");
    }
}
