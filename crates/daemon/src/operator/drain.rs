//! Drains a VM on an operator's request.

use std::time::Duration;

use jsonrpsee::types::{ErrorObject, ErrorObjectOwned};
use schema::member::{Fact, Leaving};
use schema::operator::{DrainQuery, Drained};
use tokio::time::Instant;

use super::Components;

/// method by which a daemon forwards a drain to the daemon to be drained
pub const STOP: &str = "daemon_stop";
/// time that an upstream VM is given to finish its requests
const UPSTREAM_DRAIN_SECONDS: u64 = 3600;
/// timeout of a forwarded drain
const FORWARD_TIMEOUT: Duration = Duration::from_secs(2);
/// error code of an unknown VM or a failed forward
const UNKNOWN_VM: i32 = -32_004;

/// drains a daemon or an upstream VM
pub fn drain(components: &Components, query: &DrainQuery) -> Result<Drained, ErrorObjectOwned> {
    let node = &components.context.node;
    if query.vm == node.me().vm {
        return Ok(stop(components, query));
    }
    let members = node.members();
    if let Some(member) = members.iter().find(|member| member.vm == query.vm) {
        let forwarded = node.call_blocking(member, STOP, query, FORWARD_TIMEOUT);
        return forwarded
            .map_err(|error| ErrorObject::owned(UNKNOWN_VM, error.to_string(), None::<()>));
    }
    let rows = components.context.vms.snapshot(Instant::now());
    let Some(row) = rows.iter().find(|row| row.vm.name == query.vm) else {
        let message = format!("There is no VM {}.", query.vm);
        return Err(ErrorObject::owned(UNKNOWN_VM, message, None::<()>));
    };
    let leaving = Leaving {
        vm: query.vm.clone(),
        seconds: UPSTREAM_DRAIN_SECONDS,
    };
    let until = Instant::now() + Duration::from_secs(UPSTREAM_DRAIN_SECONDS);
    components.context.vms.start_drain(&query.vm, until);
    node.publish(Fact::Leaving(leaving));
    Ok(Drained {
        vm: query.vm.clone(),
        in_flight: row.in_flight,
    })
}

/// starts to drain and stop this daemon
pub fn stop(components: &Components, query: &DrainQuery) -> Drained {
    let in_flight = components.context.journals.open().len() as u32;
    let leaving = Leaving {
        vm: query.vm.clone(),
        seconds: u64::MAX,
    };
    if components.stop.try_send(leaving).is_err() {
        tracing::debug!(event = "stop_known");
    }
    Drained {
        vm: query.vm.clone(),
        in_flight,
    }
}
