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
use super::meter::{Meter, Metered};
use super::{CallError, MESSAGE_BYTES};

/// calls that wait on one connection at a time
const CONCURRENT: usize = 1024;
/// time after which the client forgets a call; callers have their own time-outs
const FORGET: Duration = Duration::from_secs(600);

/// a connection to one daemon
pub(super) struct Connection {
    client: WsClient,
    answers: AtomicU64,
    retired: Notify,
}

/// parameters that are JSON already
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
            tracing::debug!(%error, "no delay could not be set");
        }
        Meter::add(&meter.connections, 1);
        let mut headers = HeaderMap::new();
        let value = HeaderValue::from_str(&format!("Bearer {key}"))
            .map_err(|error| unreachable(error.to_string()))?;
        headers.insert(AUTHORIZATION, value);
        let client = WsClientBuilder::new()
            .set_headers(headers)
            .max_request_size(MESSAGE_BYTES)
            .max_response_size(MESSAGE_BYTES)
            .max_concurrent_requests(CONCURRENT)
            .request_timeout(FORGET)
            .build_with_stream(format!("ws://{control}"), Metered::new(stream, meter))
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        Ok(Connection {
            client,
            answers: AtomicU64::new(0),
            retired: Notify::new(),
        })
    }

    pub(super) fn is_open(&self) -> bool {
        self.client.is_connected()
    }

    /// number of answers that came so far
    pub(super) fn answers(&self) -> u64 {
        self.answers.load(Ordering::Relaxed)
    }

    pub(super) async fn call<R: DeserializeOwned>(
        &self,
        method: &str,
        params: Params,
    ) -> Result<R, CallError> {
        let result = self.client.request(method, params).await;
        match result {
            Ok(answer) => {
                self.answers.fetch_add(1, Ordering::Relaxed);
                Ok(answer)
            }
            Err(error) => Err(self.failure(error)),
        }
    }

    fn failure(&self, error: ClientError) -> CallError {
        match error {
            ClientError::Call(object) => {
                self.answers.fetch_add(1, Ordering::Relaxed);
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
            other => CallError::Lost(other.to_string()),
        }
    }

    /// lets the watcher of the connection go
    pub(super) fn retire(&self) {
        self.retired.notify_one();
    }

    /// waits until the connection breaks; false when it was given up before
    pub(super) async fn broke(&self) -> bool {
        tokio::select! {
            _ = self.client.on_disconnect() => true,
            () = self.retired.notified() => false,
        }
    }
}

/// whether the server answers with this code only before it runs a method
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
