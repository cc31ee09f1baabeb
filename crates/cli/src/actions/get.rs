//! `agateloom get`

use schema::client::Output;

use super::platform;
use crate::error::Error;
use crate::settings::Settings;

/// prints the declaration in force in a form that `apply` accepts
pub(super) fn run(settings: &Settings) -> Result<String, Error> {
    let revision = platform::read(&platform::client(settings)?)?;
    let serialize_error =
        |cause: String| Error::Other(format!("can't serialize the declaration: {cause}"));
    match settings.output {
        Output::Json => serde_json::to_string_pretty(&revision.declaration)
            .map_err(|error| serialize_error(error.to_string())),
        Output::Text => {
            let yaml = serde_norway::to_string(&revision.declaration)
                .map_err(|error| serialize_error(error.to_string()))?;
            let edit = &revision.edit;
            Ok(format!(
                "# revision {} by {}\n{yaml}",
                edit.revision, edit.author
            ))
        }
    }
}
