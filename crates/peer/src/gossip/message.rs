use std::time::Duration;

use macro_rules_attribute::apply;
use schema::member::{Ack, Check, Confirm, Difference, Digest, Exchange, Probe, Push, Report};
use schema::{data, key};

/// a daemon to call
#[apply(key!)]
pub struct Target {
    /// instance, 0 when it is not known
    pub instance: u64,
    /// `ip:port` of its control address
    pub control: String,
}

/// what one daemon asks of another
#[apply(data!)]
pub enum Message {
    /// whether it is alive
    Probe(Probe),
    /// to probe a third member
    Check(Check),
    /// to take note that a member answered
    Confirm(Confirm),
    /// to take note of news
    Push(Push),
    /// to compare what both know
    Sync(Digest),
    /// to take note of demand
    Report(Report),
    /// to exchange sums between data centres
    Exchange(Exchange),
}

/// what it answers
#[apply(data!)]
pub enum Answer {
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
    /// names the call when it is answered
    pub ticket: u64,
    /// whom to call
    pub to: Target,
    /// what to ask
    pub message: Message,
    /// how long to wait
    pub timeout: Duration,
}
