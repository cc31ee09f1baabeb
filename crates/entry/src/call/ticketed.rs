//! Calls under a ticket: they run at the daemon that issued it.

use engine::{Answer, Call, Header};
use schema::failure::Verdict;
use store::claim::Fingerprint;
use tokio::time::Instant;

use super::claimed::{in_use, mismatch, replayed};
use super::plain::{Plain, UNDER_WAY};
use super::{admit, auth, remote};
use crate::context::Context;
use crate::fault::Fault;
use crate::http::Exchange;
use crate::ticket::{LIFE, Name, Standing};

/// issues a ticket to the caller's workspace
pub(super) fn issue(context: &Context, exchange: Exchange) {
    let snapshot = context.snapshot.load();
    let workspace = match auth::workspace(&snapshot, &exchange.headers) {
        Ok(workspace) => workspace,
        Err(fault) => return exchange.fail(&fault),
    };
    if let Err(fault) = admit::stage(context) {
        return exchange.fail(&fault);
    }
    let issuer = context.node.me().instance;
    match context
        .tickets
        .issue(issuer, &workspace.name, Instant::now())
    {
        Some(name) => {
            let life = LIFE.as_millis();
            exchange.json(
                201,
                &format!("{{\"ticket\":\"{name}\",\"expires_in_ms\":{life}}}"),
            );
        }
        None => {
            let message = "Too many tickets are out.";
            exchange.fail(&Fault::refused(503, "tickets", message).after(UNDER_WAY));
        }
    }
}

/// runs the call here, or passes it to the daemon that issued the ticket
pub(super) fn run(plain: &Plain<'_>, name: &Name) -> Result<Answer, Fault> {
    if name.issuer != plain.context.node.me().instance {
        return pass_on(plain, name);
    }
    let call = Fingerprint::new(plain.call.method, plain.call.path, plain.call.body);
    let call = format!("{}/{}", plain.service, call.as_str());
    let book = &plain.context.tickets;
    match book.begin(name, plain.workspace, &call, Instant::now()) {
        Standing::Mine => (),
        Standing::Done(answer) => return Ok(replayed(answer)),
        Standing::Unsure => return Err(in_use()),
        Standing::Mismatch => return Err(mismatch()),
        Standing::Unknown => {
            let message = "The ticket is not known; it lapsed or is another workspace's.";
            return Err(Fault::unsure(410, "ticket", message));
        }
    }
    let result = plain.send();
    match &result {
        Ok(answer) => book.finish(name, answer),
        Err(fault) if fault.verdict == Verdict::NotRun => book.release(name),
        Err(_) => (),
    }
    result
}

fn pass_on(plain: &Plain<'_>, name: &Name) -> Result<Answer, Fault> {
    let members = plain.context.node.members();
    let issuer = members.iter().find(|member| member.instance == name.issuer);
    let Some(issuer) = issuer.filter(|_| !plain.passed_on) else {
        return Err(lost("the daemon that issued it is gone"));
    };
    let path = format!("/services/{}{}", plain.service, plain.call.path);
    let mut headers = plain.call.headers.to_vec();
    headers.push(Header::new("authorization", plain.authorization));
    headers.push(Header::new(remote::HOP, "1"));
    let call = Call {
        method: plain.call.method,
        path: &path,
        headers: &headers,
        body: plain.call.body,
    };
    let answer = plain.context.engines.call(&issuer.callers, &call);
    answer.map_err(|failure| lost(&failure.to_string()))
}

fn lost(cause: &str) -> Fault {
    let message = format!("The call of this ticket may have run: {cause}.");
    Fault::unsure(503, "ticket_issuer_lost", message).after(UNDER_WAY)
}
