//! JSON-RPC calls to a daemon, authenticated with the operator key.

use std::io::ErrorKind;

use jsonrpsee::core::client::{ClientT, Error as RpcError};
use jsonrpsee::core::traits::ToRpcParams;
use jsonrpsee::http_client::transport::Error as TransportError;
use jsonrpsee::http_client::{HeaderMap, HeaderValue, HttpClient, HttpClientBuilder};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::{RawValue, to_raw_value};

use crate::error::Error;
use crate::settings::Settings;

/// HTTP status codes of a rejected key
const UNAUTHORIZED: [u16; 2] = [401, 403];

/// whether a method changes state on the daemon
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Effect {
    /// it changes nothing
    ReadOnly,
    /// without a response it is unknown whether the call took effect
    Mutating,
}

/// JSON-RPC parameters passed by name
struct NamedParams<'a, Q>(&'a Q);

impl<Q: Serialize> ToRpcParams for NamedParams<'_, Q> {
    fn to_rpc_params(self) -> Result<Option<Box<RawValue>>, serde_json::Error> {
        to_raw_value(self.0).map(Some)
    }
}

/// calls a method of the daemon at the control address in the settings
pub(super) fn call<Q, R>(
    settings: &Settings,
    method: &str,
    query: &Q,
    effect: Effect,
) -> Result<R, Error>
where
    Q: Serialize + Sync,
    R: DeserializeOwned,
{
    let client = connect(settings)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::Other(format!("can't start the async runtime: {error}")))?;
    let response = runtime.block_on(client.request(method, NamedParams(query)));
    response.map_err(|error| convert_error(&error, settings, effect))
}

fn connect(settings: &Settings) -> Result<HttpClient, Error> {
    let address = settings.control()?;
    let key = settings.operator_key()?;
    let mut bearer = HeaderValue::try_from(format!("Bearer {key}")).map_err(|_| {
        Error::Usage(
            "the operator key contains characters that an HTTP header can't carry".to_owned(),
        )
    })?;
    bearer.set_sensitive(true);
    let mut headers = HeaderMap::new();
    headers.insert("authorization", bearer);
    HttpClientBuilder::default()
        .set_headers(headers)
        .request_timeout(settings.timeout)
        .build(format!("http://{address}"))
        .map_err(|error| {
            Error::Other(format!(
                "can't create an HTTP client for {address}: {error}"
            ))
        })
}

fn convert_error(error: &RpcError, settings: &Settings, effect: Effect) -> Error {
    let daemon = match settings.control() {
        Ok(address) => format!("the daemon at {address}"),
        Err(_) => "the daemon".to_owned(),
    };
    match error {
        RpcError::Call(call) => {
            Error::Denied(format!("{daemon} refused the request: {}", call.message()))
        }
        RpcError::Transport(cause)
            if http_status(cause.as_ref()).is_some_and(|s| UNAUTHORIZED.contains(&s)) =>
        {
            Error::Denied(format!("{daemon} rejected the operator key"))
        }
        RpcError::Transport(cause) if is_connect_error(cause.as_ref()) => {
            Error::Unreachable(format!("{daemon} can't be reached"))
        }
        other => response_error(format!("no valid response from {daemon}: {other}"), effect),
    }
}

/// error for a response that is missing or malformed
fn response_error(cause: String, effect: Effect) -> Error {
    match effect {
        Effect::ReadOnly => Error::Unreachable(cause),
        Effect::Mutating => Error::OutcomeUnknown(cause),
    }
}

fn http_status(cause: &(dyn std::error::Error + 'static)) -> Option<u16> {
    match cause.downcast_ref::<TransportError>() {
        Some(TransportError::Rejected { status_code }) => Some(*status_code),
        _ => None,
    }
}

/// whether the connection failed before anything was sent
fn is_connect_error(cause: &(dyn std::error::Error + 'static)) -> bool {
    let mut next = Some(cause);
    while let Some(error) = next {
        if let Some(io) = error.downcast_ref::<std::io::Error>() {
            let kinds = [
                ErrorKind::ConnectionRefused,
                ErrorKind::HostUnreachable,
                ErrorKind::NetworkUnreachable,
            ];
            return kinds.contains(&io.kind());
        }
        next = error.source();
    }
    false
}
