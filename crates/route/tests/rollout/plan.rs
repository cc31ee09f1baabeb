//! Shares over time, and what ends a roll-out.

use std::time::Duration;

use route::rollout::{
    Decision, Evidence, Remaining, Sample, State, Verdict, View, canaries, decide, is_target,
};

use crate::service::{bounds, order};

fn view(evidence: &Evidence, elapsed_ms: u64) -> View<'_> {
    View {
        elapsed: Duration::from_millis(elapsed_ms),
        evidence,
        old_vms: 90,
        target_vms: 90,
        canary_vms: 6,
        remaining: Remaining::default(),
        age: Duration::from_secs(1),
        is_stopped: false,
    }
}

/// evidence of a good version at 730 requests a second
fn good(seconds: u32) -> Evidence {
    let mut evidence = Evidence::new();
    for second in 0..seconds {
        for number in 0..730 {
            let sample = Sample {
                vm: "vm",
                is_failed: false,
                ratio: Some(1.0),
            };
            evidence.record(second, number % 14 == 0, 1, &sample);
        }
    }
    evidence
}

fn busy() -> Remaining {
    Remaining {
        sending: 1,
        ..Remaining::default()
    }
}

fn decision(duration_ms: u64, view: &View<'_>) -> Decision {
    decide(&order(duration_ms, 1), &bounds(), view)
}

#[test]
fn share_rises_in_steps_and_ends_before_the_deadline() {
    let evidence = good(4);
    for duration_ms in [5000, 12_000, 16_000, 60_000, 600_000] {
        let mut shares: Vec<f64> = Vec::new();
        let (mut exposed_ms, mut full_ms) = (0.0, 0);
        for elapsed_ms in (0..duration_ms).step_by(50) {
            let view = View {
                remaining: busy(),
                ..view(&evidence, elapsed_ms)
            };
            let decision = decision(duration_ms, &view);
            if decision.state == State::RolledBack {
                break;
            }
            if decision.share < 1.0 {
                exposed_ms += 50.0 * decision.share;
            } else {
                full_ms += 50;
            }
            if shares.last() != Some(&decision.share) {
                shares.push(decision.share);
            }
        }
        assert!(shares[0] <= 0.07, "{shares:?}");
        assert!(shares.is_sorted() && shares.len() <= 4, "{shares:?}");
        assert_eq!(shares.last(), Some(&1.0));
        // a version that is stopped before the last step keeps its bound
        assert!(exposed_ms < 0.1 * duration_ms as f64 + 50.0, "{exposed_ms}");
        assert!(full_ms >= duration_ms.min(12_000) / 4, "{full_ms} ms at 1");
    }
}

/// a daemon that was frozen or cut off does not move requests to a version that others have stopped
#[test]
fn stale_view_keeps_the_canary_share() {
    let evidence = good(4);
    for elapsed_ms in (0..11_500).step_by(100) {
        let view = View {
            age: Duration::from_secs(3),
            ..view(&evidence, elapsed_ms)
        };
        let decision = decision(12_000, &view);
        assert!(decision.share <= 0.07, "{decision:?} at {elapsed_ms} ms");
        assert_ne!(decision.state, State::Completed);
    }
}

#[test]
fn stop_is_final() {
    let evidence = Evidence::new();
    for old_vms in [0, 90] {
        for elapsed_ms in [0, 8000, 11_000, 20_000] {
            let view = View {
                old_vms,
                is_stopped: true,
                ..view(&evidence, elapsed_ms)
            };
            let Decision {
                share,
                verdict,
                state,
                ..
            } = decision(12_000, &view);
            assert_eq!(
                (share, verdict, state),
                (0.0, Verdict::Bad, State::RolledBack)
            );
        }
    }
}

/// nobody is left with stopped VMs only
#[test]
fn new_version_serves_if_the_old_one_is_gone() {
    let evidence = Evidence::new();
    let gone = View {
        old_vms: 0,
        age: Duration::from_secs(9),
        ..view(&evidence, 500)
    };
    assert_eq!(decision(12_000, &gone).share, 1.0);
    let neither = View {
        target_vms: 0,
        ..gone
    };
    assert_eq!(decision(12_000, &neither).share, 0.0);
}

#[test]
fn completion_waits_for_work_at_the_old_version() {
    let evidence = good(4);
    let state = |elapsed_ms: u64, remaining: Remaining| {
        let view = View {
            remaining,
            ..view(&evidence, elapsed_ms)
        };
        decision(12_000, &view).state
    };
    let bound = Remaining {
        bound: 1,
        ..Remaining::default()
    };
    let repeatable = Remaining {
        repeatable: 1,
        silent: 1,
        ..Remaining::default()
    };
    assert_eq!(state(9000, Remaining::default()), State::Completed);
    for remaining in [busy(), bound, repeatable] {
        assert_eq!(state(9000, remaining), State::InProgress);
    }
    // close to the deadline
    assert_eq!(state(11_200, repeatable), State::Completed);
    for remaining in [busy(), bound] {
        assert_eq!(state(11_200, remaining), State::InProgress);
        assert_eq!(state(11_700, remaining), State::RolledBack);
    }
    assert_eq!(state(12_000, Remaining::default()), State::RolledBack);
}

#[test]
fn roll_out_without_time_or_vms_is_rolled_back() {
    let evidence = Evidence::new();
    let at_once = decision(0, &view(&evidence, 0));
    assert_eq!((at_once.share, at_once.state), (0.0, State::RolledBack));
    let without_vms = View {
        target_vms: 0,
        canary_vms: 0,
        ..view(&evidence, 11_700)
    };
    assert_eq!(decision(12_000, &without_vms).state, State::RolledBack);
}

/// otherwise a fault under load is not seen, or the canary VMs are overloaded
#[test]
fn canary_vms_have_the_load_of_old_ones() {
    for (vms, expected) in [(15, 1), (60, 4), (1, 1)] {
        let names: Vec<String> = (0..vms).map(|vm| format!("vm-{vm}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let order = order(12_000, 7);
        let few = canaries(&order, &names, vms, 0.07);
        assert_eq!(few.len(), expected);
        let more = canaries(&order, &names, vms, 0.5);
        assert!(few.iter().all(|vm| more.contains(vm)));
        assert_eq!(canaries(&order, &names, vms, 1.0).len(), vms);
        assert!(canaries(&order, &names, vms, 0.0).is_empty());
    }
    let evidence = Evidence::new();
    // 20 VMs in each of six zones: the share that a canary VM of each zone can carry
    let view = View {
        old_vms: 120,
        target_vms: 120,
        ..view(&evidence, 0)
    };
    let share = decision(12_000, &view).share;
    let load = share / 6.0 / ((1.0 - share) / 120.0);
    assert!((1.0..1.2).contains(&load), "{load}");
}

#[test]
fn draw_follows_the_share_and_stays_at_larger_ones() {
    let order = order(12_000, 7);
    let drawn = |share: f64| -> Vec<bool> {
        let ids = 0..10_000;
        ids.map(|id| is_target(&order, &format!("request-{id}"), share))
            .collect()
    };
    let (few, more) = (drawn(0.07), drawn(0.5));
    let count = few.iter().filter(|is_target| **is_target).count();
    assert!((600..800).contains(&count), "{count}");
    assert!(few.iter().zip(&more).all(|(few, more)| *more || !few));
    assert!(drawn(1.0).iter().all(|is_target| *is_target));
    assert!(!drawn(0.0).iter().any(|is_target| *is_target));
}
