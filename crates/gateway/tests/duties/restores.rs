//! Terms, tokens and reports of usage after a restore of the store.

use std::time::{Duration, SystemTime};

use gateway::usage;
use tokio::time::sleep;

use super::support::{FakeCloud, FakeStore, run};
use super::{Daemon, different_reports, reports, wait_for_lease, wait_until};

#[test]
fn restore_of_the_store_ends_the_term_and_the_next_token_is_higher() {
    run(async {
        let (store, cloud) = (FakeStore::new(), FakeCloud::default());
        let first = Daemon::start("a", &store, &cloud);
        // the copy has no lease at all
        let copy = store.copy();
        wait_for_lease(&first).await;
        // tokens are versions of the lease, of which the copy has none
        sleep(Duration::from_millis(1500)).await;
        let before = first.lease.permit().expect("a term").fence;
        let second = Daemon::start("b", &store, &cloud);
        sleep(Duration::from_millis(200)).await;
        for round in 0..2 {
            store.restore(&copy);
            let restored_at = tokio::time::Instant::now();
            // the holder renews every 0.4 s and then sees the change
            sleep(Duration::from_millis(500)).await;
            while restored_at.elapsed() < Duration::from_millis(1200) {
                assert!(first.lease.permit().is_none(), "round {round}");
                assert!(second.lease.permit().is_none(), "round {round}");
                sleep(Duration::from_millis(20)).await;
            }
        }
        wait_until("a new term", || {
            first.lease.permit().or(second.lease.permit()).is_some()
        })
        .await;
        let permits = [first.lease.permit(), second.lease.permit()];
        let permits: Vec<_> = permits.into_iter().flatten().collect();
        assert_eq!(permits.len(), 1);
        assert!(
            permits[0].fence > before,
            "{} after {before}",
            permits[0].fence
        );
    });
}

#[test]
fn daemon_that_starts_after_a_restore_waits_for_the_terms_before_it() {
    run(async {
        let (store, cloud) = (FakeStore::new(), FakeCloud::default());
        let copy = store.copy();
        let first = Daemon::start("a", &store, &cloud);
        wait_for_lease(&first).await;
        // the holder loses its connection and does not see the restore; its term is still valid
        let before = first.lease.permit().expect("a term").fence;
        first.tasks[0].abort();
        store.restore(&copy);
        let second = Daemon::start("b", &store, &cloud);
        while first.lease.permit().is_some() {
            assert!(second.lease.permit().is_none());
            sleep(Duration::from_millis(10)).await;
        }
        wait_for_lease(&second).await;
        assert!(
            second
                .lease
                .permit()
                .is_some_and(|permit| permit.fence > before)
        );
    });
}

#[test]
fn conditional_write_of_an_earlier_generation_gives_no_term() {
    run(async {
        let (store, cloud) = (FakeStore::new(), FakeCloud::default());
        let first = Daemon::start("a", &store, &cloud);
        wait_for_lease(&first).await;
        // the renewal is still under way when the store returns with the revision it is based on
        let copy = store.copy();
        store.set_slow_writes("leases", Duration::from_millis(600));
        sleep(Duration::from_millis(300)).await;
        store.restore(&copy);
        sleep(Duration::from_millis(900)).await;
        assert!(first.lease.permit().is_none());
    });
}

#[test]
fn window_whose_entry_was_lost_in_a_restore_is_not_reported_with_other_counts() {
    run(async {
        for is_holder_killed in [false, true] {
            let (store, cloud) = (FakeStore::new(), FakeCloud::default());
            let copy = store.copy();
            let first = Daemon::start("a", &store, &cloud);
            wait_for_lease(&first).await;
            for _ in 0..30 {
                let now = SystemTime::now();
                first.shared.tally.borrow_mut().count("workspace-1", now);
                sleep(Duration::from_millis(150)).await;
            }
            wait_until("a report with counts", || {
                reports(&cloud)
                    .values()
                    .flatten()
                    .any(|counts| !counts.is_empty())
            })
            .await;
            store.restore(&copy);
            let second = Daemon::start("b", &store, &cloud);
            if is_holder_killed {
                first.kill();
            }
            // the successor has counted other requests in the same windows
            for _ in 0..10 {
                second
                    .shared
                    .tally
                    .borrow_mut()
                    .count("workspace-2", SystemTime::now());
                sleep(Duration::from_millis(400)).await;
            }
            assert_eq!(
                different_reports(&cloud),
                [],
                "holder killed: {is_holder_killed}"
            );
            let newest = usage::window(SystemTime::now(), Duration::from_millis(1000));
            wait_until("reports of later windows", || {
                reports(&cloud).keys().any(|window| *window >= newest)
            })
            .await;
            assert_eq!(
                different_reports(&cloud),
                [],
                "holder killed: {is_holder_killed}"
            );
        }
    });
}
