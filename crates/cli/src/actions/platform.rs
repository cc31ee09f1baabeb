//! Access to the platform's object API, with errors explained for operators.

use std::time::{Duration, SystemTime};

use schema::failure::Verdict;
use schema::objects::Edit;
use store::config::{self, Revision};
use store::{Client, Timeouts};

use crate::error::Error;
use crate::settings::Settings;

/// time limit for establishing a connection
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP status codes of a rejected token
const UNAUTHORIZED: [u16; 2] = [401, 403];

/// creates a client from the settings
pub(super) fn client(settings: &Settings) -> Result<Client, Error> {
    let token = settings.token()?.unwrap_or_default();
    let timeouts = Timeouts {
        connect: CONNECT_TIMEOUT.min(settings.timeout),
        call: settings.timeout,
    };
    Ok(Client::new(settings.objects()?, &token).timeouts(timeouts))
}

/// reads the configuration in force
pub(super) fn read(client: &Client) -> Result<Revision, Error> {
    match config::read(client) {
        Ok(Some(revision)) => Ok(revision),
        Ok(None) => Err(Error::NotFound(
            "no declaration is in force yet; use `agateloom apply`".to_owned(),
        )),
        Err(store::Error::Rejected { code, .. }) if UNAUTHORIZED.contains(&code) => {
            Err(token_rejected())
        }
        Err(error @ store::Error::Malformed(_)) => Err(Error::Other(error.to_string())),
        Err(error) => Err(Error::Unreachable(without_full_stop(&error))),
    }
}

/// converts the error of a failed change; its verdict decides whether nothing was changed or the
/// outcome is unknown
pub(super) fn change_error(error: &store::Error) -> Error {
    match error {
        store::Error::Rejected { code, .. } if UNAUTHORIZED.contains(code) => {
            return token_rejected();
        }
        store::Error::Rejected { .. } | store::Error::TooLarge(_) | store::Error::Malformed(_) => {
            return Error::Other(error.to_string());
        }
        _ => {}
    }
    match error.verdict() {
        Verdict::NotRun => Error::Unreachable(without_full_stop(error)),
        Verdict::MayHaveRun | Verdict::Ran => Error::OutcomeUnknown(without_full_stop(error)),
    }
}

/// error for a change that lost to the concurrent change `edit`
pub(super) fn conflict_error(edit: &Edit) -> Error {
    Error::Conflict(format!(
        "another change came first, nothing was changed: revision {} by {}, {} (change {})",
        edit.revision,
        edit.author,
        format_age(edit.at_ms),
        edit.change
    ))
}

fn token_rejected() -> Error {
    Error::Denied("the object API rejected the bearer token".to_owned())
}

fn without_full_stop(error: &store::Error) -> String {
    error.to_string().trim_end_matches('.').to_owned()
}

/// time since a wall-clock time, such as `5 s ago`
fn format_age(at_ms: u64) -> String {
    let at = SystemTime::UNIX_EPOCH + Duration::from_millis(at_ms);
    match SystemTime::now().duration_since(at) {
        Ok(age) => format!("{} s ago", age.as_secs()),
        Err(_) => "just now".to_owned(),
    }
}
