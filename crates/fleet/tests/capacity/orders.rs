//! Orders to engines are level-triggered, fenced, and never arrive from two holders at once.

use std::time::Duration;

use fleet::order;
use fleet::order::{DesiredState, Step, Term};
use schema::config::Fencing;
use schema::engine::Order;
use tokio::time::Instant;

const LEASE: Duration = Duration::from_secs(15);
const ORDER_TIMEOUT: Duration = Duration::from_secs(3);

fn desired() -> DesiredState {
    DesiredState {
        model: "m".to_owned(),
        adapter: String::new(),
        version: "2".to_owned(),
        role: "mixed".to_owned(),
    }
}

fn reported(fence: u64, version: &str) -> Order {
    Order {
        fence,
        model: "m".to_owned(),
        adapter: String::new(),
        version: version.to_owned(),
        role: "mixed".to_owned(),
    }
}

fn term(fence: u64, since: Instant) -> Term {
    let expires = since + LEASE;
    Term {
        fence,
        acquired: since,
        expires,
        lease: LEASE,
        order_timeout: ORDER_TIMEOUT,
    }
}

#[test]
fn a_lost_order_is_sent_again_and_a_repeat_does_no_harm() {
    let now = Instant::now();
    let term = term(7, now);
    let step = order(
        &desired(),
        Some(&reported(7, "1")),
        Fencing::Checked,
        &term,
        now,
    );
    assert_eq!(step, Step::Send(reported(7, "2")));
    assert_eq!(order(&desired(), None, Fencing::Checked, &term, now), step);
    let step = order(
        &desired(),
        Some(&reported(7, "2")),
        Fencing::Checked,
        &term,
        now,
    );
    assert_eq!(step, Step::InSync);
}

#[test]
fn a_checking_engine_gets_the_new_fencing_token_even_if_nothing_else_changes() {
    let now = Instant::now();
    let step = order(
        &desired(),
        Some(&reported(6, "2")),
        Fencing::Checked,
        &term(7, now),
        now,
    );
    assert_eq!(step, Step::Send(reported(7, "2")));
}

#[test]
fn an_order_of_a_later_holder_supersedes_this_one() {
    let now = Instant::now();
    let step = order(
        &desired(),
        Some(&reported(8, "1")),
        Fencing::Checked,
        &term(7, now),
        now,
    );
    assert_eq!(step, Step::Superseded(8));
}

#[test]
fn no_order_is_sent_that_could_arrive_after_the_lease_expires() {
    let since = Instant::now();
    let term = term(7, since);
    let late = since + LEASE - ORDER_TIMEOUT;
    for fencing in [Fencing::Checked, Fencing::Ignored] {
        assert_eq!(order(&desired(), None, fencing, &term, late), Step::Renew);
    }
}

/// to an engine that ignores fencing tokens, a successor sends its first order only after the last
/// order of its predecessor has arrived
#[test]
fn orders_of_two_holders_do_not_overlap() {
    let start = Instant::now();
    let mut old = term(7, start);
    old.expires = start + 4 * LEASE;
    // the old holder stops renewing and the successor acquires the lease when it expires
    let mut new = term(8, old.expires);
    new.expires = old.expires + 4 * LEASE;
    let mut last_arrival = start;
    let mut first_order = None;
    for second in 0..120 {
        let now = start + Duration::from_secs(second);
        if let Step::Send(_) = order(&desired(), None, Fencing::Ignored, &old, now) {
            last_arrival = now + ORDER_TIMEOUT;
        }
        if now >= new.acquired && first_order.is_none() {
            match order(&desired(), None, Fencing::Ignored, &new, now) {
                Step::Send(_) => first_order = Some(now),
                step => assert_eq!(step, Step::Wait(new.exclusive_from())),
            }
        }
    }
    let first_order = first_order.expect("the successor sends an order");
    assert!(first_order >= last_arrival + LEASE);
}
