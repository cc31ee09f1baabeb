//! Calls a daemon as an operator.

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

/// HTTP statuses for a wrong key
const DENIED: [u16; 2] = [401, 403];

/// whether a method changes something on the daemon
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Effect {
    /// it only looks
    Reads,
    /// a lost answer leaves it open whether it took effect
    Changes,
}

/// parameters by name
struct Named<'a, Q>(&'a Q);

impl<Q: Serialize> ToRpcParams for Named<'_, Q> {
    fn to_rpc_params(self) -> Result<Option<Box<RawValue>>, serde_json::Error> {
        to_raw_value(self.0).map(Some)
    }
}

/// calls a method of the daemon that the settings name
pub(super) fn call<Q, A>(
    settings: &Settings,
    method: &str,
    query: &Q,
    effect: Effect,
) -> Result<A, Error>
where
    Q: Serialize + Sync,
    A: DeserializeOwned,
{
    let client = connect(settings)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::Failed(format!("no runtime: {error}")))?;
    let answer = runtime.block_on(client.request(method, Named(query)));
    answer.map_err(|error| explain(&error, settings, effect))
}

fn connect(settings: &Settings) -> Result<HttpClient, Error> {
    let address = settings.control()?;
    let key = settings.operator_key()?;
    let mut bearer = HeaderValue::try_from(format!("Bearer {key}"))
        .map_err(|_| Error::Usage("the operators' key is no header value".to_owned()))?;
    bearer.set_sensitive(true);
    let mut headers = HeaderMap::new();
    headers.insert("authorization", bearer);
    HttpClientBuilder::default()
        .set_headers(headers)
        .request_timeout(settings.timeout)
        .build(format!("http://{address}"))
        .map_err(|error| Error::Failed(format!("no client for {address}: {error}")))
}

fn explain(error: &RpcError, settings: &Settings, effect: Effect) -> Error {
    let daemon = match settings.control() {
        Ok(address) => format!("the daemon at {address}"),
        Err(_) => "the daemon".to_owned(),
    };
    match error {
        RpcError::Call(call) => Error::Denied(format!("{daemon} refused: {}", call.message())),
        RpcError::Transport(cause)
            if status(cause.as_ref()).is_some_and(|s| DENIED.contains(&s)) =>
        {
            Error::Denied(format!("{daemon} does not take this operators' key"))
        }
        RpcError::Transport(cause) if is_unconnected(cause.as_ref()) => {
            Error::Unreachable(format!("{daemon} can't be reached"))
        }
        other => lost(format!("{daemon} did not answer: {other}"), effect),
    }
}

/// an answer that did not come or can't be read
fn lost(cause: String, effect: Effect) -> Error {
    match effect {
        Effect::Reads => Error::Unreachable(cause),
        Effect::Changes => Error::Unknown(cause),
    }
}

fn status(cause: &(dyn std::error::Error + 'static)) -> Option<u16> {
    match cause.downcast_ref::<TransportError>() {
        Some(TransportError::Rejected { status_code }) => Some(*status_code),
        _ => None,
    }
}

/// whether no connection came about, so that nothing was sent
fn is_unconnected(cause: &(dyn std::error::Error + 'static)) -> bool {
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
