//! JSON-RPC methods of the protocol between daemons.

use std::sync::Arc;

use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::INTERNAL_ERROR_CODE;
use schema::member::{Ack, Difference, Exchange};
use serde::de::DeserializeOwned;

use super::inner::Inner;
use crate::gossip::{Message, Response};

/// responds to a probe
pub const PROBE: &str = "peer_probe";
/// probes a third member on behalf of the caller
pub const CHECK: &str = "peer_check";
/// receives the result of an indirect probe
pub const CONFIRM: &str = "peer_confirm";
/// receives updates
pub const PUSH: &str = "peer_push";
/// compares hashes of the member table and the facts
pub const SYNC: &str = "peer_sync";
/// receives a report of demand
pub const REPORT: &str = "peer_report";
/// exchanges summaries between data centres
pub const EXCHANGE: &str = "peer_exchange";

/// a module with all methods of the protocol
pub(super) fn module(inner: &Arc<Inner>) -> Result<RpcModule<Arc<Inner>>, RegisterMethodError> {
    let mut module = RpcModule::new(inner.clone());
    module.register_method(PROBE, |params, inner, _| {
        match serve(inner, &Message::Probe(params.one()?)) {
            Response::Ack(ack) => Ok::<Ack, ErrorObjectOwned>(ack),
            _ => Err(mismatch()),
        }
    })?;
    module.register_method(SYNC, |params, inner, _| {
        match serve(inner, &Message::Sync(params.one()?)) {
            Response::Difference(difference) => Ok::<Difference, ErrorObjectOwned>(difference),
            _ => Err(mismatch()),
        }
    })?;
    module.register_method(EXCHANGE, |params, inner, _| {
        match serve(inner, &Message::Exchange(params.one()?)) {
            Response::Exchange(exchange) => Ok::<Exchange, ErrorObjectOwned>(exchange),
            _ => Err(mismatch()),
        }
    })?;
    register(&mut module, CHECK, Message::Check)?;
    register(&mut module, CONFIRM, Message::Confirm)?;
    register(&mut module, PUSH, Message::Push)?;
    register(&mut module, REPORT, Message::Report)?;
    Ok(module)
}

/// registers a method without a result
fn register<P: DeserializeOwned + 'static>(
    module: &mut RpcModule<Arc<Inner>>,
    name: &'static str,
    message: fn(P) -> Message,
) -> Result<(), RegisterMethodError> {
    module.register_method(name, move |params, inner, _| {
        let params: P = params.one()?;
        serve(inner, &message(params));
        Ok::<(), ErrorObjectOwned>(())
    })?;
    Ok(())
}

fn serve(inner: &Arc<Inner>, message: &Message) -> Response {
    inner.change(|core, now| core.serve(message, now))
}

fn mismatch() -> ErrorObjectOwned {
    let message = "The answer does not fit the method";
    ErrorObjectOwned::owned(INTERNAL_ERROR_CODE, message, None::<()>)
}
