//! Checks of the settings of the command-line tool.

use super::collector::Collector;
use super::fault::Fault;
use super::rule;
use crate::client::Client;

/// checks the settings of the command-line tool
///
/// # Errors
/// All faults found.
pub fn client(client: &Client) -> Result<(), Vec<Fault>> {
    let mut faults = Collector::default();
    if let Some(objects) = &client.objects {
        faults.check_text("objects", objects, &rule::BASE_URL);
    }
    if let Some(control) = &client.control {
        faults.check_text("control", control, &rule::ADDRESS);
    }
    faults.check_positive("timeout_seconds", client.timeout_seconds.into());
    faults.into_result()
}
