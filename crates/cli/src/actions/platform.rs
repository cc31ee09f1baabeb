//! The platform's object API, and what its failures mean for an operator.

use std::time::{Duration, SystemTime};

use schema::failure::Verdict;
use schema::objects::Edit;
use store::config::{self, Revision};
use store::{Client, Timeouts};

use crate::error::Error;
use crate::settings::Settings;

/// longest time to connect
const CONNECT: Duration = Duration::from_secs(2);

/// HTTP statuses for a wrong token
const DENIED: [u16; 2] = [401, 403];

/// a client as the settings say
pub(super) fn client(settings: &Settings) -> Result<Client, Error> {
    let token = settings.token()?.unwrap_or_default();
    let limits = Timeouts {
        connect: CONNECT.min(settings.timeout),
        call: settings.timeout,
    };
    Ok(Client::new(settings.objects()?, &token).timeouts(limits))
}

/// the configuration in force
pub(super) fn read(client: &Client) -> Result<Revision, Error> {
    match config::read(client) {
        Ok(Some(revision)) => Ok(revision),
        Ok(None) => Err(Error::Absent(
            "nothing is declared yet; use `agateloom apply`".to_owned(),
        )),
        Err(store::Error::Rejected { code, .. }) if DENIED.contains(&code) => Err(denied()),
        Err(error @ store::Error::Malformed(_)) => Err(Error::Failed(error.to_string())),
        Err(error) => Err(Error::Unreachable(sentence(&error))),
    }
}

/// what a failed change means
pub(super) fn explain(error: &store::Error) -> Error {
    match error {
        store::Error::Rejected { code, .. } if DENIED.contains(code) => return denied(),
        store::Error::Rejected { .. } | store::Error::TooLarge(_) | store::Error::Malformed(_) => {
            return Error::Failed(error.to_string());
        }
        _ => {}
    }
    match error.verdict() {
        Verdict::NotRun => Error::Unreachable(sentence(error)),
        Verdict::MayHaveRun | Verdict::Ran => Error::Unknown(sentence(error)),
    }
}

/// the change that came first
pub(super) fn conflict(edit: &Edit) -> Error {
    Error::Conflict(format!(
        "another change came first, nothing was changed: revision {} by {}, {} (change {})",
        edit.revision,
        edit.author,
        age(edit.at_ms),
        edit.change
    ))
}

fn denied() -> Error {
    Error::Denied("the object API does not take this token".to_owned())
}

fn sentence(error: &store::Error) -> String {
    error.to_string().trim_end_matches('.').to_owned()
}

/// time since a wall clock's reading, in words
fn age(at_ms: u64) -> String {
    let at = SystemTime::UNIX_EPOCH + Duration::from_millis(at_ms);
    match SystemTime::now().duration_since(at) {
        Ok(age) => format!("{} s ago", age.as_secs()),
        Err(_) => "just now".to_owned(),
    }
}
