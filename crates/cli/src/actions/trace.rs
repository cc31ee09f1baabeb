//! `agateloom trace`

use schema::method;
use schema::operator::{Trace, TraceQuery};

use super::rpc::{self, Effect};
use crate::error::Error;
use crate::output;
use crate::settings::Settings;

/// prints the spans of a request
pub(super) fn run(id: &str, settings: &Settings) -> Result<String, Error> {
    let query = TraceQuery { id: id.to_owned() };
    let trace: Trace = rpc::call(settings, method::TRACE, &query, Effect::ReadOnly)?;
    if trace.spans.is_empty() && trace.missing.is_empty() {
        return Err(Error::NotFound(format!(
            "no daemon has a span of request {id}"
        )));
    }
    output::render(&trace, settings.output)
}
