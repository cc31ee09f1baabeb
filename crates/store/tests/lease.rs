//! Leases in the stand-in, on a paused clock.

mod common;

use std::time::Duration;

use common::{client, no_faults, server, set};
use schema::objects::{Faults, Lease as Content};
use standin::objects::Server;
use store::lease::{Lease, Timing};
use tokio::time::{Instant, advance};

const TTL: Duration = Duration::from_secs(10);

fn lease(server: &Server, instance: &str) -> Lease {
    Lease::new(client(server), "kagoshima-a", instance, Timing::new(TTL))
}

#[tokio::test(start_paused = true)]
async fn a_successor_waits_the_full_time_and_gets_a_higher_number() {
    let server = server();
    let (mut first, mut second) = (lease(&server, "vm-1"), lease(&server, "vm-2"));
    let fence = first.acquire().unwrap().expect("it was free");
    assert_eq!(second.acquire().unwrap(), None);
    let guard = first.guard();
    advance(TTL - Duration::from_secs(2)).await;
    assert_eq!(guard.fence_if_valid(Instant::now()), Some(fence));
    assert_eq!(second.acquire().unwrap(), None);
    advance(Duration::from_secs(1)).await;
    assert_eq!(
        guard.fence_if_valid(Instant::now()),
        None,
        "the margin is not used"
    );
    advance(Duration::from_secs(1)).await;
    let next = second.acquire().unwrap().expect("the first has lapsed");
    assert!(next > fence);
    assert_eq!(first.acquire().unwrap(), None, "a paused holder finds out");
}

#[tokio::test(start_paused = true)]
async fn renewals_keep_the_number_and_keep_others_out() {
    let server = server();
    let (mut first, mut second) = (lease(&server, "vm-1"), lease(&server, "vm-2"));
    let fence = first.acquire().unwrap();
    assert!(fence.is_some());
    for _ in 0..20 {
        advance(Duration::from_secs(2)).await;
        assert_eq!(first.acquire().unwrap(), fence);
        assert_eq!(second.acquire().unwrap(), None);
    }
}

#[tokio::test(start_paused = true)]
async fn a_release_hands_over_at_once() {
    let server = server();
    let (mut first, mut second) = (lease(&server, "vm-1"), lease(&server, "vm-2"));
    let fence = first.acquire().unwrap();
    assert_eq!(second.acquire().unwrap(), None);
    first.release().unwrap();
    assert_eq!(first.fence_if_valid(Instant::now()), None);
    advance(TTL / 4).await;
    let next = second.acquire().unwrap();
    assert!(next > fence);
}

#[tokio::test(start_paused = true)]
async fn lost_answers_of_acquisition_and_renewal_are_settled() {
    let server = server();
    let mut first = lease(&server, "vm-1");
    set(
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
        set(
            &server,
            &Faults {
                lose_answers: Some(1),
                ..no_faults()
            },
        );
        assert!(first.poll().is_err(), "the answer was lost");
        assert_eq!(first.acquire().unwrap(), fence);
    }
}

#[tokio::test(start_paused = true)]
async fn an_outage_ends_the_term_and_not_the_order_of_numbers() {
    let server = server();
    let mut first = lease(&server, "vm-1");
    let fence = first.acquire().unwrap();
    assert!(fence.is_some());
    set(
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
    set(
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
async fn numbers_grow_even_if_the_object_was_removed() {
    let server = server();
    let (mut first, mut second) = (lease(&server, "vm-1"), lease(&server, "vm-2"));
    let fence = first.acquire().unwrap();
    client(&server)
        .delete::<Content>("kagoshima-a", None)
        .unwrap();
    let next = second.acquire().unwrap();
    assert!(next > fence);
}
