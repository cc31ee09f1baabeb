//! Checks of the command-line tool's settings.

use super::fault::Fault;
use super::report::Report;
use super::rule;
use crate::client::Client;

/// checks the settings of the command-line tool as a whole
///
/// # Errors
/// All their faults.
pub fn client(client: &Client) -> Result<(), Vec<Fault>> {
    let mut report = Report::default();
    if let Some(objects) = &client.objects {
        report.text("objects", objects, &rule::BASE_URL);
    }
    if let Some(control) = &client.control {
        report.text("control", control, &rule::ADDRESS);
    }
    report.positive("timeout_seconds", client.timeout_seconds.into());
    report.finish()
}
