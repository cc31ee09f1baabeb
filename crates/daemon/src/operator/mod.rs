//! Operators' calls and the daemons' calls behind them.

mod drain;
mod status;
mod trace;

use std::sync::{Arc, OnceLock};

use crossbeam::channel::Sender;
use entry::Context;
use jsonrpsee::RpcModule;
use jsonrpsee::types::{ErrorObject, ErrorObjectOwned};
use schema::member::Leaving;
use schema::method;
use schema::operator::{DrainQuery, StatusQuery, TraceQuery};

use crate::capacity::Tenure;
use crate::config::{Keeper, PULL, Pull};
use crate::vms::{Ask, LIST, Reader};

/// error code of a call that came too early
const NOT_READY: i32 = -32_001;

/// what the methods need, once it stands; they are registered before
pub struct Parts {
    /// what the entry shares
    pub context: Arc<Context>,
    /// revisions of the configuration
    pub keeper: Arc<Keeper>,
    /// list of VMs
    pub reader: Arc<Reader>,
    /// right to act for capacity
    pub tenure: Arc<Tenure>,
    /// tells this daemon to stop
    pub stop: Sender<Leaving>,
}

/// the parts, once they stand
pub type Slot = Arc<OnceLock<Parts>>;

/// the methods of daemons and operators
///
/// # Panics
/// Never: the names are distinct.
pub fn methods(slot: &Slot) -> RpcModule<Slot> {
    let mut module = RpcModule::new(Arc::clone(slot));
    let pull = module.register_method(PULL, |params, slot, _| {
        let pull: Pull = params.one()?;
        parts(slot).map(|parts| parts.keeper.pull(&pull))
    });
    pull.expect("the name stands once");
    let list = module.register_method(LIST, |params, slot, _| {
        let ask: Ask = params.one()?;
        parts(slot).map(|parts| parts.reader.answer(&ask))
    });
    list.expect("the name stands once");
    let spans = module.register_method(trace::SPANS, |params, slot, _| {
        let query: TraceQuery = params.one()?;
        parts(slot).map(|parts| trace::own(&parts.context, &query.id))
    });
    spans.expect("the name stands once");
    let stop = module.register_method(drain::STOP, |params, slot, _| {
        let query: DrainQuery = params.one()?;
        parts(slot).map(|parts| drain::stop(parts, &query))
    });
    stop.expect("the name stands once");
    operators(&mut module);
    module
}

fn operators(module: &mut RpcModule<Slot>) {
    let status = module.register_method(method::STATUS, |params, slot, _| {
        let _: StatusQuery = params.parse()?;
        parts(slot).map(status::status)
    });
    status.expect("the name stands once");
    let drain = module.register_blocking_method(method::DRAIN, |params, slot, _| {
        let query: DrainQuery = params.parse()?;
        drain::drain(parts(&slot)?, &query)
    });
    drain.expect("the name stands once");
    let trace = module.register_blocking_method(method::TRACE, |params, slot, _| {
        let query: TraceQuery = params.parse()?;
        parts(&slot).map(|parts| trace::joined(&parts.context, &query.id))
    });
    trace.expect("the name stands once");
}

fn parts(slot: &Slot) -> Result<&Parts, ErrorObjectOwned> {
    slot.get()
        .ok_or_else(|| ErrorObject::owned(NOT_READY, "The daemon is starting.", None::<()>))
}
