//! `agateloom status`

use schema::method;
use schema::operator::{Status, StatusQuery};

use super::rpc::{self, Effect};
use crate::error::Error;
use crate::output;
use crate::settings::Settings;

/// prints the state of the deployment as one daemon sees it
pub(super) fn run(settings: &Settings) -> Result<String, Error> {
    let query = StatusQuery {};
    let status: Status = rpc::call(settings, method::STATUS, &query, Effect::ReadOnly)?;
    output::render(&status, settings.output)
}
