use std::time::Duration;

use super::compare::compare;
use super::decision::{Decision, Fault, State, Verdict};
use super::order::{Bounds, Order};
use super::plan::Plan;
use super::view::{Remaining, View};

/// weight of a finding from which a version is bad: about one wrong verdict in a thousand roll-outs for
/// each independent look, of which there are some ten
const BAD_WEIGHT: f64 = 7.0;

/// the same from the time at which all requests are to move: a bad version would get all of them
const LATE_BAD_WEIGHT: f64 = 5.5;

/// weights from which the share is not raised above the canary's; times vary more among good versions
/// than failures do
const SUSPICION_WEIGHT_FAILURES: f64 = 2.5;
const SUSPICION_WEIGHT_SLOWNESS: f64 = 3.5;

/// age of a view up to which it is current
const MAX_AGE: Duration = Duration::from_secs(2);

/// load of a canary VM in multiples of that of an old one
const CANARY_LOAD: f64 = 1.15;

/// decision on a roll-out; the same at all daemons with the same view
///
/// After [`State::Completed`] or [`State::RolledBack`] has been written, the roll-out has ended and is
/// not decided again: the state that was written first holds.
pub fn decide(order: &Order, bounds: &Bounds, view: &View<'_>) -> Decision {
    let finding = compare(view.evidence);
    let decision = |share, verdict, state| Decision {
        share,
        verdict,
        state,
        finding,
    };
    let plan = Plan::new(order, bounds, view.evidence);
    let weight = finding.map_or(0.0, |finding| finding.weight);
    let bad_weight = if view.elapsed < plan.full {
        BAD_WEIGHT
    } else {
        LATE_BAD_WEIGHT
    };
    if view.is_stopped || weight >= bad_weight {
        return decision(0.0, Verdict::Bad, State::RolledBack);
    }
    let is_old_gone = view.old_vms == 0 && view.target_vms > 0;
    let is_current = view.age <= MAX_AGE;
    if view.elapsed >= plan.full && view.target_vms > 0 && is_current {
        let is_cut = view.elapsed >= plan.cut;
        if view.elapsed < order.duration && view.remaining.is_done(is_cut) {
            return decision(1.0, Verdict::Good, State::Completed);
        }
    }
    if view.elapsed >= plan.give_up {
        let share = if is_old_gone { 1.0 } else { 0.0 };
        return decision(share, Verdict::Undecided, State::RolledBack);
    }
    let is_suspicious = finding.is_some_and(|finding| match finding.fault {
        Fault::Failures => finding.weight >= SUSPICION_WEIGHT_FAILURES,
        Fault::Slowness => finding.weight >= SUSPICION_WEIGHT_SLOWNESS,
    });
    let canary = canary_share(bounds, view);
    let share = if view.target_vms == 0 {
        0.0
    } else if is_old_gone {
        1.0
    } else if !is_current || (is_suspicious && view.elapsed < plan.latest) {
        canary
    } else {
        plan.share(view.elapsed, canary)
    };
    decision(share, Verdict::Undecided, State::InProgress)
}

/// share with which a canary VM has hardly more load than an old one, within the bound
fn canary_share(bounds: &Bounds, view: &View<'_>) -> f64 {
    let canary_load = CANARY_LOAD * view.canary_vms as f64;
    let load = canary_load + view.old_vms as f64;
    if load == 0.0 {
        return 0.0;
    }
    bounds.canary_share().min(canary_load / load)
}

impl Remaining {
    /// whether the old VMs may stop; close to the deadline, what may be sent again is interrupted and
    /// daemons that are silent are not waited for
    fn is_done(&self, is_cut: bool) -> bool {
        let is_free = self.sending == 0 && self.bound == 0;
        is_free && (is_cut || (self.silent == 0 && self.repeatable == 0))
    }
}
