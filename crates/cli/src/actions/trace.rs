//! `agateloom trace`

use schema::method;
use schema::operator::{Trace, TraceQuery};

use super::rpc::{self, Effect};
use crate::error::Error;
use crate::output;
use crate::settings::Settings;

/// shows the hops of a request
pub(super) fn run(id: &str, settings: &Settings) -> Result<String, Error> {
    let query = TraceQuery { id: id.to_owned() };
    let trace: Trace = rpc::call(settings, method::TRACE, &query, Effect::Reads)?;
    if trace.spans.is_empty() && trace.missing.is_empty() {
        return Err(Error::Absent(format!("no daemon knows of a request {id}")));
    }
    output::render(&trace, settings.output)
}
