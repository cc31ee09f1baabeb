//! Bounds of a workspace's limit over a window, and when requests are refused.

mod support;

use std::rc::Rc;
use std::time::Duration;

use gateway::QuotaTolerance;
use gateway::model::{Limit, Unit, Workspace};
use route::quota::{self, Quota, Timeliness};
use support::{FakeStore, FakeVm, Harness, Script, config, run, settings};
use tokio::time::Instant;

const TOLERANCE: QuotaTolerance = QuotaTolerance {
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

/// maximum number of units that a token bucket grants in a window
fn max_units(limit: &quota::Limit) -> f64 {
    limit.rate * TOLERANCE.window.as_secs_f64() + limit.burst
}

#[test]
fn window_total_leaves_a_margin_for_delayed_reports() {
    let limit = limit(Unit::Tokens { unstated: 1000 });
    let strict = limit.rate * 8.0 + limit.burst;
    let bound = strict * 1.1 + 190_000.0;
    let max = max_units(&TOLERANCE.enforced_limit(&limit));
    assert!(max > strict, "{max} of {strict}");
    assert!(bound - max >= (bound - strict) / 2.0, "{max} of {bound}");
}

#[test]
fn limit_in_requests_is_unchanged() {
    let limit = limit(Unit::Requests);
    let enforced = TOLERANCE.enforced_limit(&limit);
    assert_eq!((enforced.rate, enforced.burst), (limit.rate, limit.burst));
}

/// a workspace spends a third above its rate for a minute, in requests of 9,300 tokens
#[test]
fn workspace_a_third_above_its_rate_is_not_refused() {
    let limit = limit(Unit::Tokens { unstated: 1000 });
    let start = Instant::now();
    let enforced = TOLERANCE.enforced_limit(&limit);
    let mut quota = Quota::new(enforced, enforced.burst, 1.0, start);
    let refused = (0..240)
        .filter(|quarter| {
            let now = start + Duration::from_millis(250) * *quarter;
            quota.spend(9_300.0, Timeliness::InTime, now).is_err()
        })
        .count();
    assert_eq!(refused, 0);
}

/// no VM is registered, and a caller repeats a request three times as often as its limit allows
#[test]
fn requests_that_did_not_run_do_not_use_up_the_limit() {
    run(async {
        let store = FakeStore::new();
        store.configure(|| {
            let mut config = config(1);
            let workspace = Rc::new(Workspace {
                name: "workspace-1".to_owned(),
                priority: None,
                limit: Some(Limit {
                    unit: Unit::Requests,
                    rate: 0.01,
                    burst: 10.0,
                }),
            });
            for key in config.keys.values_mut() {
                *key = Rc::clone(&workspace);
            }
            config
        });
        let harness = Harness::with(settings(), store);
        harness
            .wait_until(|harness| harness.shared.is_ready())
            .await;
        for number in 0..30 {
            let response = harness
                .call("POST", "/once/a", &format!("id-{number}"))
                .await;
            assert_eq!(response.status, 503, "request {number}");
        }
        let vm = FakeVm::start("vm-1", "desk", Script::response(200, "done")).await;
        harness.register(&[&vm]).await;
        let mut served = 0;
        for number in 30..45 {
            let response = harness
                .call("POST", "/once/a", &format!("id-{number}"))
                .await;
            served += usize::from(response.status == 200);
        }
        assert_eq!(served, 10);
        assert_eq!(vm.requests().len(), 10);
    });
}
