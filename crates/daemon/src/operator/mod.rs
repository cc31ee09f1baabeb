//! JSON-RPC methods for operators, and those that daemons call on each other for them.

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

use crate::capacity::Leadership;
use crate::config::{History, PULL, Pull};
use crate::vms::{LIST, Query, Reader};

/// error code of a call before the daemon has started
const NOT_READY: i32 = -32_001;

/// components of the daemon that the methods use
pub struct Components {
    /// state shared with the entry
    pub context: Arc<Context>,
    /// newest revision of the configuration and its last changes
    pub history: Arc<History>,
    /// list of VMs
    pub reader: Arc<Reader>,
    /// whether this daemon may order capacity
    pub leadership: Arc<Leadership>,
    /// queue of reasons to stop this daemon
    pub stop: Sender<Leaving>,
}

/// the components, set once the daemon has started; the methods are registered before
pub type Slot = Arc<OnceLock<Components>>;

/// the methods of daemons and operators
///
/// # Panics
/// Never: method names are unique.
pub fn methods(slot: &Slot) -> RpcModule<Slot> {
    let mut module = RpcModule::new(Arc::clone(slot));
    let pull = module.register_method(PULL, |params, slot, _| {
        let pull: Pull = params.one()?;
        components(slot).map(|components| components.history.update_for(&pull))
    });
    pull.expect("method names are unique");
    let list = module.register_method(LIST, |params, slot, _| {
        let query: Query = params.one()?;
        components(slot).map(|components| components.reader.respond(&query))
    });
    list.expect("method names are unique");
    let spans = module.register_method(trace::SPANS, |params, slot, _| {
        let query: TraceQuery = params.one()?;
        components(slot).map(|components| trace::local(&components.context, &query.id))
    });
    spans.expect("method names are unique");
    let stop = module.register_method(drain::STOP, |params, slot, _| {
        let query: DrainQuery = params.one()?;
        components(slot).map(|components| drain::stop(components, &query))
    });
    stop.expect("method names are unique");
    operators(&mut module);
    module
}

fn operators(module: &mut RpcModule<Slot>) {
    let status = module.register_method(method::STATUS, |params, slot, _| {
        let _: StatusQuery = params.parse()?;
        components(slot).map(status::status)
    });
    status.expect("method names are unique");
    let drain = module.register_blocking_method(method::DRAIN, |params, slot, _| {
        let query: DrainQuery = params.parse()?;
        drain::drain(components(&slot)?, &query)
    });
    drain.expect("method names are unique");
    let trace = module.register_blocking_method(method::TRACE, |params, slot, _| {
        let query: TraceQuery = params.parse()?;
        components(&slot).map(|components| trace::of_fleet(&components.context, &query.id))
    });
    trace.expect("method names are unique");
}

fn components(slot: &Slot) -> Result<&Components, ErrorObjectOwned> {
    slot.get()
        .ok_or_else(|| ErrorObject::owned(NOT_READY, "The daemon is starting.", None::<()>))
}
