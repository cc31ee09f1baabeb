//! The judge finds planted violations, and a short run of real processes holds.

use std::time::Duration;

use bench::soak::{
    Call, CallKind, Engine, Execution, Facts, FaultKind, Notice, Options, Outcome, Promise,
    Settlement, Shape, Sighting, Window, judge, run, schedule,
};
use schema::failure::Verdict;

fn call(kind: CallKind, hash: u64, outcome: Outcome) -> Call {
    Call {
        kind,
        name: format!("call {hash}"),
        hash,
        daemon: 0,
        started: 1_000,
        ended: 3_000,
        accepted: true,
        reattached: 0,
        outcome,
    }
}

fn refused(verdict: Verdict) -> Outcome {
    Outcome::Refused {
        verdict,
        code: "test".to_owned(),
    }
}

fn cut() -> Outcome {
    Outcome::Cut("broken".to_owned())
}

fn window(kind: FaultKind, daemon: usize) -> Window {
    Window {
        kind,
        daemon: Some(daemon),
        from: 2_000,
        dead: 2_000,
        to: 4_000,
        clean: true,
    }
}

fn engine(hash: u64, started: u64) -> Engine {
    Engine {
        vm: "engine-1".to_owned(),
        request_id: "r-1".to_owned(),
        hash,
        from: 0,
        generated: 1,
        recomputed: 0,
        started,
    }
}

/// a run in which all held
fn sound() -> Facts {
    Facts {
        calls: vec![
            call(CallKind::Stream, 1, Outcome::Whole),
            call(CallKind::Keyed, 2, Outcome::Whole),
            call(CallKind::Keyed, 2, refused(Verdict::NotRun)),
            call(CallKind::Unkeyed, 3, refused(Verdict::NotRun)),
        ],
        executions: vec![Execution { hash: 2, at: 1_500 }],
        engines: vec![engine(1, 1_100)],
        notices: vec![Notice {
            vm: "engine-1".to_owned(),
            at: 1_000,
            until: 6_000,
        }],
        windows: vec![
            window(FaultKind::StopDaemon, 0),
            window(FaultKind::KillDaemon, 1),
        ],
        sightings: vec![sighting(1, 3), sighting(1, 4), sighting(2, 3)],
        settlement: Settlement {
            accepted: 4,
            changes: 1,
            daemons: vec![Some(4), Some(4)],
        },
    }
}

fn sighting(process: u32, revision: u64) -> Sighting {
    Sighting {
        daemon: 0,
        process,
        revision,
    }
}

/// checks that the judge finds this one violation
fn assert_found(facts: &Facts, promise: Promise) {
    let judgement = judge(facts);
    assert_eq!(judgement.violations.len(), 1, "{judgement:?}");
    assert_eq!(judgement.violations[0].promise, promise);
}

#[test]
fn a_sound_run_has_no_violation() {
    assert_eq!(judge(&sound()).violations, Vec::new());
}

#[test]
fn a_completion_lost_without_a_kill_is_found() {
    for outcome in [cut(), refused(Verdict::MayHaveRun)] {
        let mut facts = sound();
        facts.calls.push(call(CallKind::Whole, 9, outcome));
        facts.windows.truncate(1);
        assert_found(&facts, Promise::Survival);
    }
}

#[test]
fn a_completion_lost_with_a_killed_daemon_is_counted_apart() {
    let mut facts = sound();
    let mut lost = call(CallKind::Stream, 9, cut());
    lost.daemon = 1;
    facts.calls.push(lost.clone());
    let judgement = judge(&facts);
    assert_eq!(
        (judgement.violations.len(), judgement.lost_with_daemon),
        (0, 1)
    );
    lost.daemon = 2;
    facts.calls.push(lost);
    assert_found(&facts, Promise::Survival);
}

#[test]
fn a_wrong_answer_is_found() {
    let mut facts = sound();
    let wrong = Outcome::Wrong("another's".to_owned());
    facts.calls.push(call(CallKind::Ticketed, 9, wrong));
    assert_found(&facts, Promise::Answer);
}

#[test]
fn a_false_not_run_is_found() {
    let mut facts = sound();
    facts.executions.push(Execution { hash: 3, at: 1_500 });
    assert_found(&facts, Promise::NotRun);
    let mut facts = sound();
    let mut turned_away = call(CallKind::Stream, 9, refused(Verdict::NotRun));
    turned_away.accepted = false;
    facts.calls.push(turned_away);
    facts.engines.push(engine(9, 1_100));
    assert_found(&facts, Promise::NotRun);
}

#[test]
fn a_second_run_is_found() {
    let mut facts = sound();
    facts.executions.push(Execution { hash: 2, at: 2_500 });
    assert_found(&facts, Promise::Once);
}

#[test]
fn late_work_on_a_leaving_vm_is_found() {
    let mut facts = sound();
    facts.engines.push(engine(1, 3_999));
    assert_eq!(judge(&facts).violations, Vec::new());
    facts.engines.push(engine(1, 4_001));
    assert_found(&facts, Promise::Leaving);
}

#[test]
fn what_a_planned_stop_cuts_off_is_found() {
    let mut facts = sound();
    facts.calls.push(call(CallKind::Keyed, 9, cut()));
    assert_found(&facts, Promise::Stop);
    let mut facts = sound();
    let unsure = refused(Verdict::MayHaveRun);
    facts.calls.push(call(CallKind::Unkeyed, 9, unsure));
    assert_found(&facts, Promise::Stop);
    let mut facts = sound();
    facts.windows[0].clean = false;
    assert_found(&facts, Promise::Stop);
}

#[test]
fn a_revision_that_goes_back_or_is_missing_is_found() {
    let mut facts = sound();
    facts.sightings.push(sighting(2, 2));
    assert_found(&facts, Promise::Revision);
    for missing in [Some(3), None] {
        let mut facts = sound();
        facts.settlement.daemons[1] = missing;
        assert_found(&facts, Promise::Revision);
    }
}

#[test]
fn a_schedule_is_its_seeds_own_and_leaves_quiet_times() {
    let length = Duration::from_secs(300);
    let events = schedule(7, length);
    assert_eq!(events, schedule(7, length));
    assert_ne!(events, schedule(8, length));
    assert!(events.iter().all(|event| event.at + event.length < length));
    let mut ends = Duration::ZERO;
    let mut quiet_times = 0;
    for event in &events {
        quiet_times += usize::from(event.at > ends);
        ends = ends.max(event.at + event.length);
    }
    assert!(quiet_times > 20, "{quiet_times} quiet times");
}

#[test]
fn a_short_run_holds_all_promises() {
    let options = Options {
        seed: 4,
        minutes: 0.45,
        shape: Shape::Koe,
    };
    assert!(run(&options).expect("a run"), "see the printed violations");
}
