//! Verdict over all attempts of a request.

use proptest::prelude::*;
use route::verdict::{self, Progress};
use route::{Reason, Refusal};
use schema::failure::Verdict;

fn progress() -> impl Strategy<Value = Progress> {
    prop_oneof![
        Just(Progress::Unsent),
        Just(Progress::Sent),
        Just(Progress::Refused),
        Just(Progress::Answered),
    ]
}

proptest! {
    #[test]
    fn not_run_only_if_no_attempt_may_have_run(attempts in prop::collection::vec(progress(), 0..9)) {
        let verdict = verdict::combine(attempts.iter().map(|progress| verdict::attempt(*progress)));
        let may_have_run = attempts
            .iter()
            .any(|progress| matches!(progress, Progress::Sent | Progress::Answered));
        prop_assert_eq!(verdict == Verdict::NotRun, !may_have_run);
        let ran = attempts.contains(&Progress::Answered);
        prop_assert_eq!(verdict == Verdict::Ran, ran);
    }

    #[test]
    fn order_of_attempts_does_not_matter(attempts in prop::collection::vec(progress(), 0..9)) {
        let forward = verdict::combine(attempts.iter().map(|progress| verdict::attempt(*progress)));
        let backward = verdict::combine(
            attempts.iter().rev().map(|progress| verdict::attempt(*progress)),
        );
        prop_assert_eq!(forward, backward);
    }
}

#[test]
fn a_request_that_may_have_run_is_repeated_only_if_idempotent() {
    assert!(verdict::repeatable(Verdict::NotRun, false));
    assert!(!verdict::repeatable(Verdict::MayHaveRun, false));
    assert!(verdict::repeatable(Verdict::MayHaveRun, true));
    assert!(!verdict::repeatable(Verdict::Ran, true));
}

#[test]
fn refused_request_did_not_run() {
    let refusal = Refusal::after(Reason::Overload, std::time::Duration::from_micros(1500));
    let failure = refusal.failure();
    assert_eq!(failure.verdict, Verdict::NotRun);
    assert_eq!(failure.retry_after_ms, Some(2));
    assert_eq!(failure.code, "overload");
}

/// a faulty upstream writes the refusal of an earlier request again while the next one runs
#[test]
fn refusal_counts_only_if_it_belongs_to_the_request() {
    let cases = [
        ("first on its connection, without an id", true, false, true),
        ("first on its connection, with the id", true, true, true),
        ("on a kept connection, with the id", false, true, true),
        ("on a kept connection, without an id", false, false, false),
    ];
    for (name, is_first, states_id, proves) in cases {
        assert_eq!(
            verdict::proves_not_run(is_first, states_id),
            proves,
            "{name}"
        );
    }
}
