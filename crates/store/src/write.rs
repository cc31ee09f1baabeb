//! Writes that are retried until their outcome is known.
//!
//! A write whose response is lost is sent again with the same base version.
//! Versions never repeat, so at most one of the copies takes effect. If the
//! retry meets a conflict, a read newer than the base version shows whether an
//! earlier copy took effect: the caller recognises its own write by the random
//! id in it. Stale reads are repeated until they are newer than the base version.

use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, Object, Spec};
use crate::error::Error;
use crate::retry::Backoff;

const FIRST_DELAY: Duration = Duration::from_millis(20);
const MAX_DELAY: Duration = Duration::from_millis(500);

/// replaces an object; `is_own` recognises this write in an object that is read later
///
/// # Errors
/// [`Error::Conflict`] when another change came first, [`Error::OutcomeUnknown`]
/// when the write may have taken effect and its outcome could not be determined.
pub fn update_with_retry<T: Spec>(
    client: &Client,
    object: &Object<T>,
    deadline: Instant,
    is_own: impl Fn(&T) -> bool,
) -> Result<Object<T>, Error> {
    write_with_retry(client, object, deadline, is_own)
}

/// creates an object; `is_own` recognises this write in an object that is read later
///
/// # Errors
/// [`Error::AlreadyExists`] when another writer created the object first,
/// [`Error::OutcomeUnknown`] when the write may have taken effect and its outcome could not
/// be determined.
pub fn create_with_retry<T: Spec>(
    client: &Client,
    object: &Object<T>,
    deadline: Instant,
    is_own: impl Fn(&T) -> bool,
) -> Result<Object<T>, Error> {
    let new = Object {
        version: 0,
        ..object.clone()
    };
    write_with_retry(client, &new, deadline, is_own)
}

/// reads an object until its version is above `version`
///
/// # Errors
/// [`Error::Stale`] or the last read's error when the deadline passes; a permanent error at once.
pub(crate) fn read_newer<T: Spec>(
    client: &Client,
    name: &str,
    version: u64,
    deadline: Instant,
) -> Result<Object<T>, Error> {
    let mut backoff = Backoff::new(FIRST_DELAY, MAX_DELAY);
    loop {
        let error = match client.get::<T>(name) {
            Ok(Some(object)) if object.version > version => return Ok(object),
            Ok(_) => Error::Stale,
            Err(error) if error.is_transient() => error,
            Err(error) => return Err(error),
        };
        if !back_off(&mut backoff, deadline) {
            return Err(error);
        }
    }
}

fn write_with_retry<T: Spec>(
    client: &Client,
    object: &Object<T>,
    deadline: Instant,
    is_own: impl Fn(&T) -> bool,
) -> Result<Object<T>, Error> {
    let mut backoff = Backoff::new(FIRST_DELAY, MAX_DELAY);
    let mut may_have_run = false;
    client.retry_budget().record_call();
    loop {
        let error = match write_once(client, object) {
            Ok(version) => {
                return Ok(Object {
                    version,
                    ..object.clone()
                });
            }
            Err(error @ (Error::Conflict | Error::AlreadyExists)) if may_have_run => {
                let read = read_newer::<T>(client, &object.name, object.version, deadline);
                let read = read.map_err(|cause| Error::OutcomeUnknown(cause.to_string()))?;
                return if is_own(&read.spec) {
                    Ok(read)
                } else {
                    Err(error)
                };
            }
            Err(error) => error,
        };
        match error.verdict() {
            schema::failure::Verdict::NotRun if !may_have_run => return Err(error),
            schema::failure::Verdict::NotRun if !error.is_transient() => {
                return Err(Error::OutcomeUnknown(error.to_string()));
            }
            schema::failure::Verdict::NotRun => {}
            _ => may_have_run = true,
        }
        if !client.retry_budget().try_take() || !back_off(&mut backoff, deadline) {
            return Err(Error::OutcomeUnknown(error.to_string()));
        }
    }
}

fn write_once<T: Spec>(client: &Client, object: &Object<T>) -> Result<u64, Error> {
    if object.version == 0 {
        client.create(object)
    } else {
        client.update(object)
    }
}

/// sleeps for the next delay; false without sleeping if that would pass the deadline
fn back_off(backoff: &mut Backoff, deadline: Instant) -> bool {
    let delay = backoff.delay();
    if Instant::now() + delay >= deadline {
        return false;
    }
    thread::sleep(delay);
    true
}
