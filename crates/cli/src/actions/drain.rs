//! `agateloom drain`

use schema::method;
use schema::operator::{DrainQuery, Drained};

use super::rpc::{self, Effect};
use crate::error::Error;
use crate::output;
use crate::settings::Settings;

/// requests that a VM is drained
pub(super) fn run(vm: &str, settings: &Settings) -> Result<String, Error> {
    let query = DrainQuery { vm: vm.to_owned() };
    let drained: Drained = rpc::call(settings, method::DRAIN, &query, Effect::Mutating)?;
    output::render(&drained, settings.output)
}
