//! Authentication of callers and their access to services.

use schema::config::{Service, Workspace};

use crate::fault::Fault;
use crate::http::Headers;
use crate::snapshot::Snapshot;

/// scheme of the Authorization header, in lower case
const SCHEME: &str = "bearer ";

/// the workspace of the bearer key in the headers
///
/// # Errors
/// 401 when the key is missing or belongs to no workspace.
pub(super) fn workspace<'a>(
    snapshot: &'a Snapshot,
    headers: &Headers,
) -> Result<&'a Workspace, Fault> {
    let Some(value) = headers.get("authorization") else {
        let message = "The header Authorization with a bearer key is missing.";
        return Err(Fault::not_run(401, "key", message));
    };
    let scheme = value.get(..SCHEME.len()).map(str::to_ascii_lowercase);
    if scheme.as_deref() != Some(SCHEME) {
        return Err(Fault::not_run(
            401,
            "key",
            "The header Authorization must hold a bearer key.",
        ));
    }
    let key = value[SCHEME.len()..].trim();
    let workspace = snapshot.workspace(key);
    workspace.ok_or_else(|| Fault::not_run(401, "key", "The key belongs to no workspace."))
}

/// the service of this name, if the workspace may call it
///
/// # Errors
/// 404 when there is none, 403 when the workspace may not call it.
pub(super) fn service<'a>(
    snapshot: &'a Snapshot,
    workspace: &Workspace,
    name: &str,
) -> Result<&'a Service, Fault> {
    let Some(service) = snapshot.service(name) else {
        return Err(Fault::not_run(
            404,
            "service",
            format!("There is no service {name:?}."),
        ));
    };
    if workspace.services.is_empty() || workspace.services.iter().any(|allowed| allowed == name) {
        return Ok(service);
    }
    let message = format!("The workspace may not call the service {name:?}.");
    Err(Fault::not_run(403, "service", message))
}
