//! Operators who race each other.

use std::collections::BTreeSet;
use std::fs;
use std::process::Output;
use std::sync::Barrier;
use std::thread;

use bench::world::World;

use super::PRESETS;
use super::change::{Applied, applied, assert_in_force};
use super::proof::Scenes;
use super::watch::status;

/// operators at the same moment
const OPERATORS: usize = 4;

/// exit code of the tool when another change came first
const CONFLICT: i32 = 4;

/// rounds of the race
const ROUNDS: usize = 3;

pub fn scenes(scenes: &mut Scenes, world: &World) {
    scenes.run("operators who expect one revision: one wins", || {
        for _ in 0..ROUNDS {
            let before = status(&world.daemons()[0]).expect("a status").revision;
            let outputs = race(world, Some(before));
            let winners = winners(&outputs);
            assert_eq!(winners.len(), 1, "{outputs:?}");
            assert_eq!(winners[0].revision, before + 1);
            assert_conflicts_named(&outputs, &winners);
            assert_in_force(world, &winners[0]);
        }
    });
    scenes.run("operators who expect nothing: ordered or told", || {
        let before = status(&world.daemons()[0]).expect("a status").revision;
        let outputs = race(world, None);
        let winners = winners(&outputs);
        assert!(!winners.is_empty(), "{outputs:?}");
        let revisions: BTreeSet<u64> = winners.iter().map(|w| w.revision).collect();
        assert_eq!(revisions.len(), winners.len(), "{outputs:?}");
        let last = before + winners.len() as u64;
        assert_eq!(revisions.last(), Some(&last), "{outputs:?}");
        assert_conflicts_named(&outputs, &winners);
        let newest = winners.iter().max_by_key(|winner| winner.revision);
        assert_in_force(world, newest.expect("a winner"));
    });
}

/// applies declarations that differ in their preset, all at the same moment
fn race(world: &World, expected: Option<u64>) -> Vec<Output> {
    let folder = tempfile::tempdir().expect("a folder");
    let barrier = Barrier::new(OPERATORS);
    thread::scope(|scope| {
        let mut operators = Vec::new();
        for number in 0..OPERATORS {
            let mut declaration = world.declaration().clone();
            PRESETS[number % 2].clone_into(&mut declaration.preset);
            let text = serde_norway::to_string(&declaration).expect("a text");
            let file = folder.path().join(format!("{number}.yaml"));
            fs::write(&file, text).expect("a file");
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
                world.operator().output(&arguments).expect("the tool")
            }));
        }
        let operators = operators.into_iter();
        operators.map(|o| o.join().expect("an operator")).collect()
    })
}

fn winners(outputs: &[Output]) -> Vec<Applied> {
    let done = outputs.iter().filter(|output| output.status.success());
    done.map(applied).collect()
}

/// who lost is told so, with the author and id of a change that won
fn assert_conflicts_named(outputs: &[Output], winners: &[Applied]) {
    for output in outputs.iter().filter(|output| !output.status.success()) {
        assert_eq!(output.status.code(), Some(CONFLICT), "{output:?}");
        let text = String::from_utf8_lossy(&output.stderr);
        let named = winners.iter().any(|winner| text.contains(&winner.change));
        assert!(named && text.contains("operator-"), "{text}");
    }
}
