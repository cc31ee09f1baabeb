//! Calls with a ticket as their key: they run on the daemon that issued the ticket.

use engine::{Header, Request, Response};
use schema::failure::Verdict;
use store::claim::Fingerprint;
use tokio::time::Instant;

use super::claimed::{in_use, mismatch, replayed};
use super::plain::{IN_FLIGHT_RETRY_AFTER, Invocation};
use super::{admit, auth, remote};
use crate::context::Context;
use crate::fault::Fault;
use crate::http::Exchange;
use crate::ticket::{LIFETIME, Name, Status};

/// issues a ticket to the caller's workspace
pub(super) fn issue(context: &Context, exchange: Exchange) {
    let snapshot = context.snapshot.load();
    let workspace = match auth::workspace(&snapshot, &exchange.headers) {
        Ok(workspace) => workspace,
        Err(fault) => return exchange.fail(&fault),
    };
    if let Err(fault) = admit::check_stage(context) {
        return exchange.fail(&fault);
    }
    let issuer = context.node.me().instance;
    match context
        .tickets
        .issue(issuer, &workspace.name, Instant::now())
    {
        Some(name) => {
            let lifetime = LIFETIME.as_millis();
            exchange.json(
                201,
                &format!("{{\"ticket\":\"{name}\",\"expires_in_ms\":{lifetime}}}"),
            );
        }
        None => {
            let message = "Too many tickets are out.";
            exchange.fail(
                &Fault::not_run(503, "tickets", message).with_retry_after(IN_FLIGHT_RETRY_AFTER),
            );
        }
    }
}

/// runs the call if this daemon issued the ticket, else forwards it to the issuer
pub(super) fn run(invocation: &Invocation<'_>, name: &Name) -> Result<Response, Fault> {
    if name.issuer != invocation.context.node.me().instance {
        return forward(invocation, name);
    }
    let digest = Fingerprint::new(
        invocation.request.method,
        invocation.request.path,
        invocation.request.body,
    );
    let call = format!("{}/{}", invocation.service, digest.as_str());
    let tickets = &invocation.context.tickets;
    match tickets.begin(name, invocation.workspace, &call, Instant::now()) {
        Status::Acquired => (),
        Status::Completed(response) => return Ok(replayed(response)),
        Status::InProgress => return Err(in_use()),
        Status::Mismatch => return Err(mismatch()),
        Status::InvalidTicket => {
            let message = "The ticket is not known; it lapsed or is another workspace's.";
            return Err(Fault::may_have_run(410, "ticket", message));
        }
    }
    let result = invocation.send();
    match &result {
        Ok(response) => tickets.finish(name, response),
        Err(fault) if fault.verdict == Verdict::NotRun => tickets.release(name),
        Err(_) => (),
    }
    result
}

fn forward(invocation: &Invocation<'_>, name: &Name) -> Result<Response, Fault> {
    let members = invocation.context.node.members();
    let issuer = members.iter().find(|member| member.instance == name.issuer);
    let Some(issuer) = issuer.filter(|_| !invocation.is_forwarded) else {
        return Err(issuer_lost("the daemon that issued it is gone"));
    };
    let path = format!(
        "/services/{}{}",
        invocation.service, invocation.request.path
    );
    let mut headers = invocation.request.headers.to_vec();
    headers.push(Header::new("authorization", invocation.authorization));
    headers.push(Header::new(remote::HOP_HEADER, "1"));
    let request = Request {
        method: invocation.request.method,
        path: &path,
        headers: &headers,
        body: invocation.request.body,
    };
    let limit = invocation.urgency.time_left();
    let engines = &invocation.context.engines;
    let response = engines.call(&issuer.callers, &request, limit);
    response.map_err(|failure| issuer_lost(&failure.to_string()))
}

fn issuer_lost(cause: &str) -> Fault {
    let message = format!("The call of this ticket may have run: {cause}.");
    Fault::may_have_run(503, "ticket_issuer_lost", message).with_retry_after(IN_FLIGHT_RETRY_AFTER)
}
