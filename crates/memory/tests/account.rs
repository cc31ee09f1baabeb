//! Replays the load of unfinished bodies beside ordinary requests on an account.

use std::rc::Rc;

use memory::{Account, Capacity, Charge, Hold, Overhead, Refused, Stall, Waiting};

const MIB: usize = 1024 * 1024;

/// account of the smallest machine, 160 MB
fn account() -> Rc<Account> {
    Account::new(Capacity::of_machine(Some(160 * MIB as u64)))
}

/// a connection that has announced a body and received a part of it
fn upload(account: &Rc<Account>, bytes: usize) -> Result<(Hold, Charge), Refused> {
    let hold = account.open();
    let charge = hold.try_charge(bytes)?;
    hold.set_waiting(Waiting::Body);
    hold.record_transfer(bytes - 1);
    Ok((hold, charge))
}

fn sweep(account: &Account, times: usize) {
    (0..times).for_each(|_| account.sweep());
}

// Without the account 600 unfinished bodies of 4 MiB held 2.4 GiB.
#[test]
fn unfinished_bodies_are_bounded_and_give_way() {
    let account = account();
    let uploads: Vec<_> = (0..600).map(|_| upload(&account, 4 * MIB)).collect();
    let accepted = uploads.iter().filter(|upload| upload.is_ok()).count();
    assert!((1..=10).contains(&accepted), "{accepted}");
    let refused = upload(&account, 4 * MIB).err();
    assert_eq!(refused, Some(Refused::Exhausted));
    // a small body still fits, at once
    assert!(upload(&account, 60_000).is_ok());
    sweep(&account, 10);
    let (hold, _charge) = upload(&account, 4 * MIB).expect("stalled bodies give way");
    assert!(!hold.is_ended());
    assert_eq!(account.ended(), 1, "no more than needed are ended");
}

// A body that arrives slowly but steadily was ended together with those that had stalled.
#[test]
fn bodies_with_progress_keep_their_memory() {
    let account = account();
    let slow = upload(&account, 4 * MIB).expect("memory");
    let stalled = upload(&account, 4 * MIB).expect("memory");
    for _ in 0..40 {
        slow.0.record_transfer(4 * MIB / 200);
        account.sweep();
    }
    assert!(!slow.0.is_ended());
    assert!(stalled.0.is_ended(), "without any progress for 10 s");
}

// A request that waits for its VM makes no progress on its connection either.
#[test]
fn requests_in_progress_keep_their_memory() {
    let account = account();
    let uploads: Vec<_> = (0..8)
        .filter_map(|_| upload(&account, 4 * MIB).ok())
        .collect();
    for (hold, _) in &uploads {
        hold.set_waiting(Waiting::Nothing);
    }
    sweep(&account, 100);
    assert!(upload(&account, 4 * MIB).is_err());
    assert_eq!(account.ended(), 0);
}

// After a pause of the whole process, all of its callers looked stalled.
#[test]
fn suspension_counts_as_one_interval() {
    let mut stall = Stall::default();
    stall.record(4096, 4096, true);
    stall.record(4096, 4096, true);
    assert!(!stall.is_stalled());
}

// Charges that are dropped after their connection has lost its memory were subtracted twice.
#[test]
fn all_bytes_are_released_once() {
    let account = account();
    let (hold, charge) = upload(&account, MIB).expect("memory");
    let mut other = hold.try_charge(MIB).expect("memory");
    other.shrink(10);
    other.merge(hold.try_charge(20).expect("memory"));
    assert_eq!(account.held(), MIB + 30);
    let bytes = other.attach(bytes::Bytes::from_static(b"data"));
    hold.end();
    assert_eq!(account.held(), 0);
    assert_eq!(hold.try_charge(1).err(), Some(Refused::Ended));
    drop((bytes, charge, hold));
    assert_eq!(account.held(), 0);
}

// Without the machine's memory in the settings nothing is refused.
#[test]
fn unknown_memory_is_unbounded() {
    let account = Account::new(Capacity::of_machine(None));
    let uploads: Vec<_> = (0..600).map(|_| upload(&account, 4 * MIB)).collect();
    assert!(uploads.iter().all(Result::is_ok));
}

// The largest legal body of one caller is served on the smallest machine beside as many idle
// connections as its descriptors allow.
#[test]
fn one_largest_body_fits_beside_idle_connections() {
    let account = account();
    let bytes_each = account.capacity().bytes() * 3 / 4 / 2460;
    let idle: Vec<_> = (0..2460)
        .map(|_| {
            let hold = account.open();
            let charge = hold.try_charge(bytes_each).expect("memory");
            (hold, charge)
        })
        .collect();
    assert!(upload(&account, 4 * MIB).is_ok());
    drop(idle);
}

// Zeros of a chunk size were read until the deadline; chunks of one byte are legal.
#[test]
fn framing_without_payload_is_excessive() {
    let overhead = Overhead::default();
    for _ in 0..1_000_000 {
        overhead.record_received("00000001\r\nx\r\n".len());
        overhead.record_payload(1);
        assert!(!overhead.is_excessive());
    }
    overhead.reset();
    overhead.record_received(65_536);
    assert!(!overhead.is_excessive());
    overhead.record_received(1);
    assert!(overhead.is_excessive());
}
