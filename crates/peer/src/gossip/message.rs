use std::time::Duration;

use macro_rules_attribute::apply;
use schema::member::{Ack, Check, Confirm, Difference, Digest, Exchange, Probe, Push, Report};
use schema::{data, key};

/// a daemon to call
#[apply(key!)]
pub struct Target {
    /// instance, 0 if unknown
    pub instance: u64,
    /// `ip:port` of its control address
    pub control: String,
}

/// request of one daemon to another
#[apply(data!)]
pub enum Message {
    /// to respond, as a sign of life
    Probe(Probe),
    /// to probe a third member for the sender
    Check(Check),
    /// to receive the result of a probe that it asked for
    Confirm(Confirm),
    /// to receive updates
    Push(Push),
    /// to compare its records and facts with a digest
    Sync(Digest),
    /// to receive a report of demand
    Report(Report),
    /// to exchange summaries between data centres
    Exchange(Exchange),
}

/// response to a [`Message`]
#[apply(data!)]
pub enum Response {
    /// to a probe
    Ack(Ack),
    /// to a digest
    Difference(Difference),
    /// to an exchange
    Exchange(Exchange),
    /// to all others
    Done,
}

/// a call to make
#[apply(data!)]
pub struct Call {
    /// identifies the call in [`Core::complete_call`](super::Core::complete_call)
    pub id: u64,
    /// receiver
    pub to: Target,
    /// request
    pub message: Message,
    /// time limit for the response
    pub timeout: Duration,
}
