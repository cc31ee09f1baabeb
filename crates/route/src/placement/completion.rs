use std::time::Duration;

use super::load::Work;

/// how a request ended at a VM
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// answered
    Answered,
    /// answered with an error of the VM itself
    Failed,
    /// refused before execution
    Refused,
    /// the connection broke, or could not be made
    Broken,
    /// cancelled by this daemon or its caller
    Cancelled,
}

/// a request that ended at a VM
#[derive(Debug, Clone, Copy)]
pub struct Completion<'a> {
    /// the service
    pub service: &'a str,
    /// the VM's instance id
    pub id: &'a str,
    /// work that [`Balancer::begin`](super::Balancer::begin) added
    pub work: &'a Work,
    /// outcome
    pub outcome: Outcome,
    /// time to the response, if the service is a plain one
    pub took: Option<Duration>,
}
