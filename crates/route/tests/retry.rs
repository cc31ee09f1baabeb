//! Retry decisions, the retry budget and the circuit breaker.

use std::time::Duration;

use proptest::prelude::*;
use route::retry::{self, AttemptState, Breaker, Budget, Failure, Kind, Phase, Step};
use schema::failure::Verdict;
use tokio::time::{Instant, advance};

const KINDS: [Kind; 8] = [
    Kind::Refused,
    Kind::Unreachable,
    Kind::TimedOut,
    Kind::Disconnected,
    Kind::Busy,
    Kind::Draining,
    Kind::ServerError,
    Kind::InvalidRequest,
];

fn state() -> AttemptState {
    AttemptState {
        idempotent: true,
        attempts: 1,
        reconnects: 0,
        deadline_left: Duration::from_secs(30),
        breaker_open: false,
        draining: false,
        budget_wait: Duration::ZERO,
        jitter: 0.5,
    }
}

fn failure(kind: Kind, verdict: Verdict) -> Failure {
    Failure { kind, verdict }
}

#[test]
fn timed_out_stream_reconnects_once_then_moves() {
    let timed_out = failure(Kind::TimedOut, Verdict::MayHaveRun);
    assert_eq!(retry::decide(&timed_out, &state()), Step::Reconnect);
    let reconnected = AttemptState {
        reconnects: 1,
        ..state()
    };
    let moved = Step::Move {
        after: Duration::ZERO,
    };
    assert_eq!(retry::decide(&timed_out, &reconnected), moved);
    let open = AttemptState {
        breaker_open: true,
        ..state()
    };
    assert_eq!(retry::decide(&timed_out, &open), moved);
}

#[test]
fn move_waits_for_the_budget_or_gives_up_at_the_deadline() {
    let refused = failure(Kind::Refused, Verdict::NotRun);
    let waiting = AttemptState {
        budget_wait: Duration::from_secs(3),
        ..state()
    };
    let after = Duration::from_secs(3);
    assert_eq!(retry::decide(&refused, &waiting), Step::Move { after });
    let late = AttemptState {
        deadline_left: Duration::from_secs(2),
        ..waiting.clone()
    };
    assert_eq!(retry::decide(&refused, &late), Step::GiveUp);
}

#[test]
fn request_on_a_draining_vm_moves_without_budget() {
    let draining = failure(Kind::Draining, Verdict::MayHaveRun);
    let state = AttemptState {
        budget_wait: Duration::from_secs(60),
        attempts: 20,
        draining: true,
        ..state()
    };
    let after = Duration::ZERO;
    assert_eq!(retry::decide(&draining, &state), Step::Move { after });
}

proptest! {
    #[test]
    fn non_idempotent_request_is_never_sent_twice_if_it_may_have_run(
        kind in prop::sample::select(KINDS.to_vec()),
        attempts in 1u32..12,
        reconnects in 0u32..3,
        left_ms in 0u64..60_000,
        flags in any::<(bool, bool)>(),
    ) {
        let state = AttemptState {
            idempotent: false,
            attempts,
            reconnects,
            deadline_left: Duration::from_millis(left_ms),
            breaker_open: flags.0,
            draining: flags.1,
            ..state()
        };
        let step = retry::decide(&failure(kind, Verdict::MayHaveRun), &state);
        prop_assert_eq!(step, Step::GiveUp);
    }

    #[test]
    fn no_move_is_scheduled_beyond_the_deadline(
        kind in prop::sample::select(KINDS.to_vec()),
        attempts in 1u32..12,
        left_ms in 0u64..5_000,
        wait_ms in 0u64..10_000,
        jitter in 0.0f64..1.0,
    ) {
        let state = AttemptState {
            attempts,
            reconnects: 1,
            deadline_left: Duration::from_millis(left_ms),
            budget_wait: Duration::from_millis(wait_ms),
            jitter,
            ..state()
        };
        if let Step::Move { after } = retry::decide(&failure(kind, Verdict::NotRun), &state) {
            prop_assert!(after < state.deadline_left);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn breaker_opens_on_lost_connections_and_closes_after_a_probe() {
    let mut breaker = Breaker::new();
    for _ in 0..3 {
        assert!(breaker.acquire(Instant::now()));
        breaker.record_failure(Kind::TimedOut, 0.5, Instant::now());
    }
    assert_eq!(breaker.phase(Instant::now()), Phase::Open);
    assert!(!breaker.acquire(Instant::now()));
    advance(breaker.wait(Instant::now())).await;
    assert_eq!(breaker.phase(Instant::now()), Phase::HalfOpen);
    assert!(breaker.acquire(Instant::now()));
    assert!(
        !breaker.acquire(Instant::now()),
        "the half-open breaker admitted a second probe"
    );
    breaker.record_success();
    assert_eq!(breaker.phase(Instant::now()), Phase::Closed);
}

#[tokio::test(start_paused = true)]
async fn breaker_stays_closed_when_the_vm_answers_with_an_error() {
    let mut breaker = Breaker::new();
    for kind in [
        Kind::InvalidRequest,
        Kind::ServerError,
        Kind::Busy,
        Kind::Draining,
    ] {
        for _ in 0..10 {
            breaker.record_failure(kind, 0.5, Instant::now());
        }
    }
    assert_eq!(breaker.phase(Instant::now()), Phase::Closed);
}

#[tokio::test(start_paused = true)]
async fn breaker_reopens_for_longer_with_jitter() {
    let mut breaker = Breaker::new();
    for _ in 0..3 {
        breaker.record_failure(Kind::Refused, 0.0, Instant::now());
    }
    let first = breaker.wait(Instant::now());
    advance(first).await;
    assert!(breaker.acquire(Instant::now()));
    breaker.record_failure(Kind::Refused, 0.0, Instant::now());
    assert_eq!(breaker.wait(Instant::now()), first * 2);
    let mut other = Breaker::new();
    for _ in 0..3 {
        other.record_failure(Kind::Refused, 1.0, Instant::now());
    }
    assert_eq!(other.wait(Instant::now()), first * 3);
}

#[tokio::test(start_paused = true)]
async fn retries_stay_within_a_tenth_of_requests_plus_the_minimum_rate() {
    let mut budget = Budget::new(Instant::now());
    let mut retries = 0;
    for _ in 0..60_000 {
        budget.record_attempt(Instant::now());
        if budget.wait(Instant::now()).is_zero() {
            budget.take(Instant::now());
            retries += 1;
        }
        advance(Duration::from_millis(1)).await;
    }
    // 60,000 requests in 60 s: a tenth of them, 1 per second, and 10 saved at the start.
    assert!(retries <= 6_000 + 60 + 10, "{retries} retries");
    assert!(retries >= 6_000, "{retries} retries");
}

#[tokio::test(start_paused = true)]
async fn retries_beyond_the_balance_are_delayed() {
    let mut budget = Budget::new(Instant::now());
    let waits: Vec<Duration> = (0..30).map(|_| budget.take(Instant::now())).collect();
    assert!(waits[9].is_zero());
    assert_eq!(waits[29].as_secs_f64().round(), 20.0);
    budget.refund();
    assert!(budget.wait(Instant::now()) < waits[29] + Duration::from_secs(1));
}
