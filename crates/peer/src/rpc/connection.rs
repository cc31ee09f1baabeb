use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::{HeaderMap, HeaderValue, header::AUTHORIZATION};
use jsonrpsee::core::client::{ClientT, Error as ClientError};
use jsonrpsee::core::traits::ToRpcParams;
use jsonrpsee::types::error::{
    BATCHES_NOT_SUPPORTED_CODE, INVALID_PARAMS_CODE, INVALID_REQUEST_CODE, METHOD_NOT_FOUND_CODE,
    OVERSIZED_REQUEST_CODE, PARSE_ERROR_CODE, SERVER_IS_BUSY_CODE,
};
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::guard::UNAUTHORISED_CODE;
use super::meter::{Handshake, Meter, Metered};
use super::{CallError, MAX_MESSAGE_BYTES};

/// largest number of calls in flight on one connection
const MAX_CALLS_IN_FLIGHT: usize = 1024;
/// time after which the JSON-RPC client drops a call; the pool applies the caller's time-out
const REQUEST_TIMEOUT: Duration = Duration::from_secs(600);

/// a connection to one daemon
pub(super) struct Connection {
    client: WsClient,
    responses: AtomicU64,
    retired: Notify,
}

/// parameters that are already encoded as JSON
pub(super) struct Params(pub Box<RawValue>);

impl ToRpcParams for Params {
    fn to_rpc_params(self) -> Result<Option<Box<RawValue>>, serde_json::Error> {
        Ok(Some(self.0))
    }
}

impl Connection {
    pub(super) async fn open(
        control: &str,
        key: &str,
        meter: Arc<Meter>,
    ) -> Result<Connection, CallError> {
        let unreachable = |error: String| CallError::Unreachable(error);
        let stream = TcpStream::connect(control)
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "cannot set TCP_NODELAY on an outgoing connection");
        }
        Meter::add(&meter.connections, 1);
        let mut headers = HeaderMap::new();
        let value = HeaderValue::from_str(&format!("Bearer {key}"))
            .map_err(|error| unreachable(error.to_string()))?;
        headers.insert(AUTHORIZATION, value);
        let handshake = Handshake::new();
        let stream = Metered::new(stream, meter, handshake.clone());
        let client = WsClientBuilder::new()
            .set_headers(headers)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .max_concurrent_requests(MAX_CALLS_IN_FLIGHT)
            .request_timeout(REQUEST_TIMEOUT)
            .build_with_stream(format!("ws://{control}"), stream)
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        handshake.complete();
        Ok(Connection {
            client,
            responses: AtomicU64::new(0),
            retired: Notify::new(),
        })
    }

    pub(super) fn is_open(&self) -> bool {
        self.client.is_connected()
    }

    /// number of responses received so far
    pub(super) fn responses(&self) -> u64 {
        self.responses.load(Ordering::Relaxed)
    }

    pub(super) async fn call<R: DeserializeOwned>(
        &self,
        method: &str,
        params: Params,
    ) -> Result<R, CallError> {
        let result = self.client.request(method, params).await;
        match result {
            Ok(response) => {
                self.responses.fetch_add(1, Ordering::Relaxed);
                Ok(response)
            }
            Err(error) => Err(self.classify_error(error)),
        }
    }

    fn classify_error(&self, error: ClientError) -> CallError {
        match error {
            ClientError::Call(object) => {
                self.responses.fetch_add(1, Ordering::Relaxed);
                let code = object.code();
                let message = object.message().to_owned();
                if is_refusal(code) {
                    CallError::Refused { code, message }
                } else {
                    CallError::Failed { code, message }
                }
            }
            ClientError::ParseError(error) => CallError::Decode(error.to_string()),
            ClientError::RequestTimeout => CallError::Timeout,
            other => CallError::Disconnected(other.to_string()),
        }
    }

    /// ends [`Connection::wait_broken`], which holds a reference to the connection
    pub(super) fn retire(&self) {
        self.retired.notify_one();
    }

    /// waits until the connection breaks; false if it was retired before
    pub(super) async fn wait_broken(&self) -> bool {
        tokio::select! {
            _ = self.client.on_disconnect() => true,
            () = self.retired.notified() => false,
        }
    }
}

/// whether the server returns this code only if it did not run the method
fn is_refusal(code: i32) -> bool {
    [
        BATCHES_NOT_SUPPORTED_CODE,
        INVALID_PARAMS_CODE,
        INVALID_REQUEST_CODE,
        METHOD_NOT_FOUND_CODE,
        OVERSIZED_REQUEST_CODE,
        PARSE_ERROR_CODE,
        SERVER_IS_BUSY_CODE,
        UNAUTHORISED_CODE,
    ]
    .contains(&code)
}
