//! The methods that daemons serve to each other for the protocol.

use std::sync::Arc;

use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::INTERNAL_ERROR_CODE;
use schema::member::{Ack, Difference, Exchange};
use serde::de::DeserializeOwned;

use super::inner::Inner;
use crate::gossip::{Answer, Message};

/// answers a probe
pub const PROBE: &str = "peer_probe";
/// probes a third member
pub const CHECK: &str = "peer_check";
/// takes the outcome of a check
pub const CONFIRM: &str = "peer_confirm";
/// takes news
pub const PUSH: &str = "peer_push";
/// compares hashes
pub const SYNC: &str = "peer_sync";
/// takes demand
pub const REPORT: &str = "peer_report";
/// exchanges sums between data centres
pub const EXCHANGE: &str = "peer_exchange";

/// the module with all of them
pub(super) fn module(inner: &Arc<Inner>) -> Result<RpcModule<Arc<Inner>>, RegisterMethodError> {
    let mut module = RpcModule::new(inner.clone());
    module.register_method(PROBE, |params, inner, _| {
        match serve(inner, &Message::Probe(params.one()?)) {
            Answer::Ack(ack) => Ok::<Ack, ErrorObjectOwned>(ack),
            _ => Err(mismatch()),
        }
    })?;
    module.register_method(SYNC, |params, inner, _| {
        match serve(inner, &Message::Sync(params.one()?)) {
            Answer::Difference(difference) => Ok::<Difference, ErrorObjectOwned>(difference),
            _ => Err(mismatch()),
        }
    })?;
    module.register_method(EXCHANGE, |params, inner, _| {
        match serve(inner, &Message::Exchange(params.one()?)) {
            Answer::Exchange(exchange) => Ok::<Exchange, ErrorObjectOwned>(exchange),
            _ => Err(mismatch()),
        }
    })?;
    register(&mut module, CHECK, Message::Check)?;
    register(&mut module, CONFIRM, Message::Confirm)?;
    register(&mut module, PUSH, Message::Push)?;
    register(&mut module, REPORT, Message::Report)?;
    Ok(module)
}

/// registers a method that answers nothing
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

fn serve(inner: &Arc<Inner>, message: &Message) -> Answer {
    inner.change(|core, now| core.serve(message, now))
}

fn mismatch() -> ErrorObjectOwned {
    let message = "The answer does not fit the method";
    ErrorObjectOwned::owned(INTERNAL_ERROR_CODE, message, None::<()>)
}
