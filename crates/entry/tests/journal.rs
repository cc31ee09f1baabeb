//! A journal holds each token once and in order, whatever its attempts do.

use std::time::Duration;

use entry::journal::{End, Journal, Origin, Table};
use proptest::prelude::*;
use schema::journal::Stream;
use tokio::time::{Instant, advance};

fn origin(now: Instant) -> Origin {
    Origin {
        id: "a.1".to_owned(),
        workspace: "w".to_owned(),
        service: "m".to_owned(),
        prompt: "one two".to_owned(),
        max_tokens: 8,
        chat: false,
        priority: 5,
        accepted: now,
        deadline: now + Duration::from_secs(60),
        trace: String::new(),
    }
}

fn stream(name: &str) -> Stream {
    Stream {
        vm: "vm".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        name: name.to_owned(),
    }
}

fn token(index: u32) -> String {
    format!("t{index}")
}

/// an operation on a journal, by the current attempt or an earlier one
#[derive(Debug, Clone)]
enum Operation {
    /// begins a new attempt
    Begin,
    /// pushes a token for the attempt that is `age` attempts older than the last one
    Push { age: u32, index: u32 },
    /// detaches the driver for a hand-over, then starts a new one
    Detach,
}

fn operations() -> impl Strategy<Value = Vec<Operation>> {
    let operation = prop_oneof![
        1 => Just(Operation::Begin),
        8 => (0..3u32, 0..10u32).prop_map(|(age, index)| Operation::Push { age, index }),
        1 => Just(Operation::Detach),
    ];
    prop::collection::vec(operation, 0..80)
}

proptest! {
    #[test]
    fn tokens_are_recorded_once_and_in_order(operations in operations()) {
        let journal = Journal::new(origin(Instant::now()));
        let mut driver = journal.attach_driver();
        let mut last = 0;
        for operation in operations {
            match operation {
                Operation::Begin => last = journal.begin_attempt(driver, &stream("s")).unwrap(),
                Operation::Detach => {
                    prop_assert!(journal.detach_driver());
                    prop_assert!(!journal.is_driven_by(driver));
                    prop_assert!(journal.begin_attempt(driver, &stream("s")).is_err());
                    driver = journal.attach_driver();
                }
                Operation::Push { age, index } => {
                    let before = journal.token_count();
                    let current = age == 0 && last == journal.attempt() && last > 0;
                    let result = journal.push(last.wrapping_sub(age), index, &token(index));
                    if !current {
                        prop_assert!(result.is_err());
                        prop_assert_eq!(journal.token_count(), before);
                    }
                }
            }
            let expected: Vec<String> = (0..journal.token_count()).map(token).collect();
            prop_assert_eq!(journal.tokens(), expected);
        }
    }

    #[test]
    fn an_exported_journal_resumes_with_the_same_state(count in 0..8u32) {
        let now = Instant::now();
        let journal = Journal::new(origin(now));
        let driver = journal.attach_driver();
        let attempt = journal.begin_attempt(driver, &stream("s")).unwrap();
        for index in 0..count {
            journal.push(attempt, index, &token(index)).unwrap();
        }
        let wire = journal.export(now);
        let text = serde_json::to_string(&wire).unwrap();
        let read = serde_json::from_str(&text).unwrap();
        let other = Journal::resume(&read, now);
        prop_assert_eq!(other.tokens(), journal.tokens());
        prop_assert_eq!(other.stream(), journal.stream());
        prop_assert_eq!(&other.origin, &journal.origin);
        let driver = other.attach_driver();
        prop_assert!(other.begin_attempt(driver, &stream("next")).unwrap() > attempt);
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_without_readers_is_cancelled_and_later_removed() {
    let table = Table::default();
    let journal = std::sync::Arc::new(Journal::new(origin(Instant::now())));
    table.insert(&journal);
    let (abandoned, retention) = (Duration::from_secs(5), Duration::from_secs(60));
    journal.add_reader();
    advance(Duration::from_secs(10)).await;
    assert!(table.sweep(abandoned, retention, Instant::now()).is_empty());
    journal.remove_reader(Instant::now());
    advance(Duration::from_secs(4)).await;
    assert!(table.sweep(abandoned, retention, Instant::now()).is_empty());
    advance(Duration::from_secs(2)).await;
    assert_eq!(table.sweep(abandoned, retention, Instant::now()).len(), 1);
    assert_eq!(journal.ended(), Some(End::Cancelled));
    assert!(table.get("a.1").is_some());
    advance(Duration::from_secs(61)).await;
    table.sweep(abandoned, retention, Instant::now());
    assert!(table.get("a.1").is_none());
}

#[test]
fn a_request_ends_once() {
    let now = Instant::now();
    let journal = Journal::new(origin(now));
    let driver = journal.attach_driver();
    let attempt = journal.begin_attempt(driver, &stream("s")).unwrap();
    assert!(journal.push(attempt, 1, "gap").is_err());
    journal.push(attempt, 0, "t0").unwrap();
    journal.finish(attempt, "stop", now).unwrap();
    assert!(journal.finish(attempt, "length", now).is_err());
    assert!(journal.push(attempt, 1, "late").is_err());
    assert!(!journal.end(End::Cancelled, now));
    assert!(!journal.detach_driver());
    assert_eq!(journal.ended(), Some(End::Finished("stop".to_owned())));
}
