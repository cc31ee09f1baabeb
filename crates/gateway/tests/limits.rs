//! What a workspace's limit comes to in a window, and who is refused at it.

use std::time::Duration;

use gateway::QuotaTolerance;
use gateway::model::{Limit, Unit};
use route::quota::{Quota, Terms};
use tokio::time::Instant;

const SLACK: QuotaTolerance = QuotaTolerance {
    window: Duration::from_secs(8),
    fraction: 0.1,
    tokens: 190_000.0,
};

fn limit(unit: Unit) -> Limit {
    Limit {
        unit,
        rate: 28_000.0,
        burst: 112_000.0,
    }
}

/// most units that a bucket gives out in a window
fn most(terms: &Terms) -> f64 {
    terms.rate * SLACK.window.as_secs_f64() + terms.burst
}

#[test]
fn a_window_stays_below_its_bound_with_room_for_late_words() {
    let limit = limit(Unit::Tokens { unstated: 1000 });
    let strict = limit.rate * 8.0 + limit.burst;
    let bound = strict * 1.1 + 190_000.0;
    let most = most(&SLACK.terms(&limit));
    assert!(most > strict, "{most} of {strict}");
    assert!(bound - most >= (bound - strict) / 2.0, "{most} of {bound}");
}

#[test]
fn a_limit_in_requests_is_kept_as_it_is() {
    let limit = limit(Unit::Requests);
    let terms = SLACK.terms(&limit);
    assert_eq!((terms.rate, terms.burst), (limit.rate, limit.burst));
}

/// a workspace a third above its rate for a minute, in requests of 9,300 tokens
#[test]
fn a_workspace_a_little_above_its_rate_is_refused_nothing() {
    let limit = limit(Unit::Tokens { unstated: 1000 });
    let start = Instant::now();
    let terms = SLACK.terms(&limit);
    let mut quota = Quota::new(terms, terms.burst, 1.0, start);
    let refused = (0..240)
        .filter(|quarter| {
            let now = start + Duration::from_millis(250) * *quarter;
            quota.spend(9_300.0, now).is_err()
        })
        .count();
    assert_eq!(refused, 0);
}
