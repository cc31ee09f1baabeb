//! How long facts hold, how fast they spread and how often they may be repeated.

use std::time::Duration;

use schema::member::Fact;

/// time for which a VM counts as leaving beyond its announced end
pub const LEAVING_GRACE: Duration = Duration::from_secs(60);
/// longest life of any fact
pub const LONGEST: Duration = Duration::from_secs(3600);
/// time between two refreshes of the own applied revision
pub const REFRESH: Duration = Duration::from_secs(60);

const APPLIED: Duration = Duration::from_secs(180);
const LOAD: Duration = Duration::from_secs(15);
const MOVED: Duration = Duration::from_secs(120);
const REVISION: Duration = Duration::from_secs(600);
const SUMMARY: Duration = Duration::from_secs(20);

/// shortest time between two load reports of one daemon
const LOAD_PERIOD: Duration = Duration::from_millis(500);
/// time between load reports, in the mean over all daemons that send them
const LOAD_SHARE: Duration = Duration::from_millis(250);
/// shortest time between two demand reports of one daemon
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// time between two demand reports, for each daemon or group that reports to the same one
const REPORT_SHARE: Duration = Duration::from_millis(500);
/// shortest time between two sums of one data centre
const SUMMARY_PERIOD: Duration = Duration::from_secs(1);
/// time between two sums, in the mean over all data centres
const SUMMARY_SHARE: Duration = Duration::from_secs(1);
/// a sum that did not change is repeated after this time
pub const SUMMARY_REPEAT: Duration = Duration::from_secs(8);

/// time for which a fact holds
pub fn life(fact: &Fact) -> Duration {
    let life = match fact {
        Fact::Leaving(leaving) => {
            LEAVING_GRACE.saturating_add(Duration::from_secs(leaving.seconds))
        }
        Fact::Revision(_) => REVISION,
        Fact::Applied(_) => APPLIED,
        Fact::Load(_) => LOAD,
        Fact::Demand(_) | Fact::Summary(_) => SUMMARY,
        Fact::Moved(_) => MOVED,
    };
    life.min(LONGEST)
}

/// time for which a version is remembered after its fact lapsed
///
/// No earlier fact about the subject can hold for longer than that.
pub fn memory(fact: &Fact) -> Duration {
    match fact {
        Fact::Leaving(_) => LONGEST,
        _ => life(fact),
    }
}

/// whether a fact is pushed at once
pub fn is_urgent(fact: &Fact) -> bool {
    matches!(fact, Fact::Leaving(_) | Fact::Revision(_) | Fact::Moved(_))
}

/// whether its origin tells a fact anew every few seconds
pub fn is_repeated(fact: &Fact) -> bool {
    matches!(fact, Fact::Load(_) | Fact::Demand(_) | Fact::Summary(_))
}

/// how often one daemon passes a fact on to random members
pub fn repeats(fact: &Fact) -> u8 {
    if is_urgent(fact) { 2 } else { 1 }
}

/// time between two load reports when `origins` daemons send them
pub fn load_period(origins: usize) -> Duration {
    LOAD_PERIOD.max(LOAD_SHARE * count(origins))
}

/// time between two demand reports when `reporters` send them to one daemon
pub fn report_period(reporters: usize) -> Duration {
    REPORT_PERIOD.max(REPORT_SHARE * count(reporters))
}

/// time between two sums of one data centre among `data_centres`
pub fn summary_period(data_centres: usize) -> Duration {
    SUMMARY_PERIOD.max(SUMMARY_SHARE * count(data_centres))
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
