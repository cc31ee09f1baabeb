//! `agateloom status`

use schema::method;
use schema::operator::{Status, StatusQuery};

use super::rpc::{self, Effect};
use crate::error::Error;
use crate::output;
use crate::settings::Settings;

/// shows what one daemon knows of the whole
pub(super) fn run(settings: &Settings) -> Result<String, Error> {
    let query = StatusQuery {};
    let status: Status = rpc::call(settings, method::STATUS, &query, Effect::Reads)?;
    output::render(&status, settings.output)
}
