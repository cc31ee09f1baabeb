//! Leases in a stand-in for the store, on a paused clock.

mod common;

use std::time::Duration;

use common::{client, no_faults, server, set_faults};
use schema::objects::{Faults, Lease as LeaseSpec};
use standin::objects::Server;
use store::lease::{Lease, Timing};
use tokio::time::{Instant, advance};

const TTL: Duration = Duration::from_secs(10);

fn new_lease(server: &Server, instance: &str) -> Lease {
    Lease::new(client(server), "kagoshima-a", instance, Timing::new(TTL))
}

#[tokio::test(start_paused = true)]
async fn a_successor_waits_for_the_full_ttl_and_gets_a_higher_token() {
    let server = server();
    let (mut first, mut second) = (new_lease(&server, "vm-1"), new_lease(&server, "vm-2"));
    let fence = first.acquire().unwrap().expect("the lease is free");
    assert_eq!(second.acquire().unwrap(), None);
    let handle = first.handle();
    advance(TTL - Duration::from_secs(2)).await;
    assert_eq!(handle.fence_if_valid(Instant::now()), Some(fence));
    assert_eq!(second.acquire().unwrap(), None);
    advance(Duration::from_secs(1)).await;
    assert_eq!(
        handle.fence_if_valid(Instant::now()),
        None,
        "the term ends before the margin"
    );
    advance(Duration::from_secs(1)).await;
    let next = second
        .acquire()
        .unwrap()
        .expect("the first term has expired");
    assert!(next > fence);
    assert_eq!(
        first.acquire().unwrap(),
        None,
        "a paused holder notices its successor"
    );
}

#[tokio::test(start_paused = true)]
async fn renewals_keep_the_token_and_exclude_others() {
    let server = server();
    let (mut first, mut second) = (new_lease(&server, "vm-1"), new_lease(&server, "vm-2"));
    let fence = first.acquire().unwrap();
    assert!(fence.is_some());
    for _ in 0..20 {
        advance(Duration::from_secs(2)).await;
        assert_eq!(first.acquire().unwrap(), fence);
        assert_eq!(second.acquire().unwrap(), None);
    }
}

#[tokio::test(start_paused = true)]
async fn a_released_lease_is_free_at_once() {
    let server = server();
    let (mut first, mut second) = (new_lease(&server, "vm-1"), new_lease(&server, "vm-2"));
    let fence = first.acquire().unwrap();
    assert_eq!(second.acquire().unwrap(), None);
    first.release().unwrap();
    assert_eq!(first.fence_if_valid(Instant::now()), None);
    advance(TTL / 4).await;
    let next = second.acquire().unwrap();
    assert!(next > fence);
}

#[tokio::test(start_paused = true)]
async fn lost_responses_to_acquisition_and_renewal_are_resolved() {
    let server = server();
    let mut first = new_lease(&server, "vm-1");
    set_faults(
        &server,
        &Faults {
            lose_answers: Some(1),
            stale_reads: Some(1),
            ..no_faults()
        },
    );
    let mut fence = None;
    for _ in 0..5 {
        fence = first.acquire().unwrap_or(None);
        if fence.is_some() {
            break;
        }
    }
    assert!(fence.is_some());
    for _ in 0..10 {
        advance(TTL / 2).await;
        set_faults(
            &server,
            &Faults {
                lose_answers: Some(1),
                ..no_faults()
            },
        );
        assert!(first.poll().is_err(), "the response was lost");
        assert_eq!(first.acquire().unwrap(), fence);
    }
}

#[tokio::test(start_paused = true)]
async fn an_outage_ends_the_term_and_tokens_do_not_decrease() {
    let server = server();
    let mut first = new_lease(&server, "vm-1");
    let fence = first.acquire().unwrap();
    assert!(fence.is_some());
    set_faults(
        &server,
        &Faults {
            outage: Some(true),
            ..no_faults()
        },
    );
    advance(TTL / 2).await;
    assert!(first.poll().is_err());
    assert_eq!(first.fence_if_valid(Instant::now()), fence);
    advance(TTL / 2).await;
    assert!(first.poll().is_err());
    assert_eq!(first.fence_if_valid(Instant::now()), None);
    set_faults(
        &server,
        &Faults {
            outage: Some(false),
            ..no_faults()
        },
    );
    first.poll().unwrap();
    first.poll().unwrap();
    let again = first.acquire().unwrap();
    assert!(again >= fence && again.is_some());
}

#[tokio::test(start_paused = true)]
async fn tokens_grow_after_the_object_was_deleted() {
    let server = server();
    let (mut first, mut second) = (new_lease(&server, "vm-1"), new_lease(&server, "vm-2"));
    let fence = first.acquire().unwrap();
    client(&server)
        .delete::<LeaseSpec>("kagoshima-a", None)
        .unwrap();
    let next = second.acquire().unwrap();
    assert!(next > fence);
}
