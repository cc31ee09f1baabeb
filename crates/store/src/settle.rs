//! Changes whose answer may be lost.
//!
//! A change whose answer is lost is sent again with the same base version.
//! The versions of the store never repeat, so only one of the copies can take
//! effect. If the repeat meets a conflict, a read newer than the base version
//! tells whether an earlier copy took effect: the caller knows its own change
//! by the random id in it. Reads may be stale and are repeated until newer.

use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, Object, Spec};
use crate::error::Error;
use crate::retry::Backoff;

const FIRST_DELAY: Duration = Duration::from_millis(20);
const MOST_DELAY: Duration = Duration::from_millis(500);

/// replaces an object; `is_own` recognises the change in what is read later
///
/// # Errors
/// [`Error::Conflict`] when another change came first, [`Error::Unsettled`]
/// when the deadline passed and the change may have taken effect.
pub fn update_settled<T: Spec>(
    client: &Client,
    object: &Object<T>,
    deadline: Instant,
    is_own: impl Fn(&T) -> bool,
) -> Result<Object<T>, Error> {
    settle(client, object, deadline, is_own)
}

/// adds an object; `is_own` recognises it in what is read later
///
/// # Errors
/// [`Error::Exists`] when another one came first, [`Error::Unsettled`]
/// when the deadline passed and the object may have been added.
pub fn create_settled<T: Spec>(
    client: &Client,
    object: &Object<T>,
    deadline: Instant,
    is_own: impl Fn(&T) -> bool,
) -> Result<Object<T>, Error> {
    let new = Object {
        version: 0,
        ..object.clone()
    };
    settle(client, &new, deadline, is_own)
}

/// reads an object until it shows a version above `floor`
///
/// # Errors
/// [`Error::Stale`] when it did not until the deadline; else when a read fails for good.
pub(crate) fn read_above<T: Spec>(
    client: &Client,
    name: &str,
    floor: u64,
    deadline: Instant,
) -> Result<Object<T>, Error> {
    let mut backoff = Backoff::new(FIRST_DELAY, MOST_DELAY);
    loop {
        let error = match client.get::<T>(name) {
            Ok(Some(object)) if object.version > floor => return Ok(object),
            Ok(_) => Error::Stale,
            Err(error) if error.is_passing() => error,
            Err(error) => return Err(error),
        };
        if !pause(&mut backoff, deadline) {
            return Err(error);
        }
    }
}

fn settle<T: Spec>(
    client: &Client,
    object: &Object<T>,
    deadline: Instant,
    is_own: impl Fn(&T) -> bool,
) -> Result<Object<T>, Error> {
    let mut backoff = Backoff::new(FIRST_DELAY, MOST_DELAY);
    let mut uncertain = false;
    client.budget().earn();
    loop {
        let error = match write(client, object) {
            Ok(version) => {
                return Ok(Object {
                    version,
                    ..object.clone()
                });
            }
            Err(error @ (Error::Conflict | Error::Exists)) if uncertain => {
                let read = read_above::<T>(client, &object.name, object.version, deadline);
                let read = read.map_err(|cause| Error::Unsettled(cause.to_string()))?;
                return if is_own(&read.spec) {
                    Ok(read)
                } else {
                    Err(error)
                };
            }
            Err(error) => error,
        };
        match error.verdict() {
            schema::failure::Verdict::NotRun if !uncertain => return Err(error),
            schema::failure::Verdict::NotRun if !error.is_passing() => {
                return Err(Error::Unsettled(error.to_string()));
            }
            schema::failure::Verdict::NotRun => {}
            _ => uncertain = true,
        }
        if !client.budget().spend() || !pause(&mut backoff, deadline) {
            return Err(Error::Unsettled(error.to_string()));
        }
    }
}

fn write<T: Spec>(client: &Client, object: &Object<T>) -> Result<u64, Error> {
    if object.version == 0 {
        client.create(object)
    } else {
        client.update(object)
    }
}

/// sleeps for the next delay; false if the deadline comes first
fn pause(backoff: &mut Backoff, deadline: Instant) -> bool {
    let delay = backoff.delay();
    if Instant::now() + delay >= deadline {
        return false;
    }
    thread::sleep(delay);
    true
}
