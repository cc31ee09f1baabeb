//! Draining a VM at an operator's word.

use std::time::Duration;

use jsonrpsee::types::{ErrorObject, ErrorObjectOwned};
use schema::member::{Fact, Leaving};
use schema::operator::{DrainQuery, Drained};
use tokio::time::Instant;

use super::Parts;

/// method by which a daemon passes a drain on to the daemon concerned
pub const STOP: &str = "daemon_stop";
/// time that an upstream VM is given, seconds
const UPSTREAM_SECONDS: u64 = 3600;
/// longest wait for the daemon concerned
const PASS_TIMEOUT: Duration = Duration::from_secs(2);
/// error code of an unknown VM
const UNKNOWN: i32 = -32_004;

/// drains a daemon or an upstream VM
pub fn drain(parts: &Parts, query: &DrainQuery) -> Result<Drained, ErrorObjectOwned> {
    let node = &parts.context.node;
    if query.vm == node.me().vm {
        return Ok(stop(parts, query));
    }
    let members = node.members();
    if let Some(member) = members.iter().find(|member| member.vm == query.vm) {
        let passed = node.call_blocking(member, STOP, query, PASS_TIMEOUT);
        return passed.map_err(|error| ErrorObject::owned(UNKNOWN, error.to_string(), None::<()>));
    }
    let rows = parts.context.vms.snapshot(Instant::now());
    let Some(row) = rows.iter().find(|row| row.vm.name == query.vm) else {
        let message = format!("There is no VM {}.", query.vm);
        return Err(ErrorObject::owned(UNKNOWN, message, None::<()>));
    };
    let leaving = Leaving {
        vm: query.vm.clone(),
        seconds: UPSTREAM_SECONDS,
    };
    let until = Instant::now() + Duration::from_secs(UPSTREAM_SECONDS);
    parts.context.vms.start_drain(&query.vm, until);
    node.publish(Fact::Leaving(leaving));
    Ok(Drained {
        vm: query.vm.clone(),
        in_flight: row.in_flight,
    })
}

/// begins the stop of this daemon
pub fn stop(parts: &Parts, query: &DrainQuery) -> Drained {
    let in_flight = parts.context.journals.open().len() as u32;
    let leaving = Leaving {
        vm: query.vm.clone(),
        seconds: u64::MAX,
    };
    if parts.stop.try_send(leaving).is_err() {
        tracing::debug!(event = "stop_known");
    }
    Drained {
        vm: query.vm.clone(),
        in_flight,
    }
}
