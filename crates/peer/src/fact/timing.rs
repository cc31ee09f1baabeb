//! Lifetimes of facts, and how fast and how often they are sent.

use std::time::Duration;

use schema::member::Fact;

/// time for which a VM counts as draining after its announced end
pub const DRAINING_GRACE: Duration = Duration::from_secs(60);
/// longest lifetime of any fact
pub const MAX_LIFETIME: Duration = Duration::from_secs(3600);
/// time between two publications of the revision that this daemon applied
pub const REFRESH_PERIOD: Duration = Duration::from_secs(60);

const APPLIED_LIFETIME: Duration = Duration::from_secs(180);
const LOAD_LIFETIME: Duration = Duration::from_secs(15);
const MOVED_LIFETIME: Duration = Duration::from_secs(120);
/// time after which a statement of a VM ends that no daemon has published again
const NOTICE_LIFETIME: Duration = Duration::from_secs(600);
const REVISION_LIFETIME: Duration = Duration::from_secs(600);
const SUMMARY_LIFETIME: Duration = Duration::from_secs(20);

/// shortest time between two load reports of one daemon
const MIN_LOAD_PERIOD: Duration = Duration::from_millis(500);
/// mean time between load reports of all daemons together
const MEAN_LOAD_PERIOD: Duration = Duration::from_millis(250);
/// shortest time between two demand reports of one daemon
const MIN_REPORT_PERIOD: Duration = Duration::from_secs(1);
/// mean time between demand reports to one receiver, from all its reporters together
const MEAN_REPORT_PERIOD: Duration = Duration::from_millis(500);
/// shortest time between two summaries of one data centre
const MIN_SUMMARY_PERIOD: Duration = Duration::from_secs(1);
/// mean time between summaries of all data centres together
const MEAN_SUMMARY_PERIOD: Duration = Duration::from_secs(1);
/// an unchanged summary is published again after this time
pub const SUMMARY_REPEAT_PERIOD: Duration = Duration::from_secs(8);

/// time for which a fact is valid
pub fn lifetime(fact: &Fact) -> Duration {
    let lifetime = match fact {
        Fact::Leaving(leaving) => {
            DRAINING_GRACE.saturating_add(Duration::from_secs(leaving.seconds))
        }
        Fact::Notice(_) => NOTICE_LIFETIME,
        Fact::Revision(_) => REVISION_LIFETIME,
        Fact::Applied(_) => APPLIED_LIFETIME,
        Fact::Load(_) => LOAD_LIFETIME,
        Fact::Demand(_) | Fact::Summary(_) => SUMMARY_LIFETIME,
        Fact::Moved(_) => MOVED_LIFETIME,
    };
    lifetime.min(MAX_LIFETIME)
}

/// time for which the version of a fact is kept after it expired
///
/// No older fact about the subject can be valid for longer, so none can replace a newer one
/// that was already removed.
pub fn retention(fact: &Fact) -> Duration {
    match fact {
        Fact::Leaving(_) => MAX_LIFETIME,
        _ => lifetime(fact),
    }
}

/// whether a fact is pushed at once
pub fn is_urgent(fact: &Fact) -> bool {
    matches!(
        fact,
        Fact::Leaving(_) | Fact::Notice(_) | Fact::Revision(_) | Fact::Moved(_)
    )
}

/// whether its origin publishes a fact again every few seconds
pub fn is_periodic(fact: &Fact) -> bool {
    matches!(fact, Fact::Load(_) | Fact::Demand(_) | Fact::Summary(_))
}

/// how often one daemon forwards a fact to random members
pub fn random_sends(fact: &Fact) -> u8 {
    if is_urgent(fact) { 2 } else { 1 }
}

/// time between two load reports of one daemon when `origins` daemons send them
pub fn load_period(origins: usize) -> Duration {
    MIN_LOAD_PERIOD.max(MEAN_LOAD_PERIOD * count(origins))
}

/// time between two demand reports of one daemon when `reporters` send them to the same receiver
pub fn report_period(reporters: usize) -> Duration {
    MIN_REPORT_PERIOD.max(MEAN_REPORT_PERIOD * count(reporters))
}

/// time between two summaries of one data centre when there are `data_centres`
pub fn summary_period(data_centres: usize) -> Duration {
    MIN_SUMMARY_PERIOD.max(MEAN_SUMMARY_PERIOD * count(data_centres))
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
