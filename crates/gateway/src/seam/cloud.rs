use std::collections::BTreeMap;
use std::fmt;

use macro_rules_attribute::apply;
use schema::data;

use crate::duty::Permit;

/// the number of VMs wanted of one service, zone and price class
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Order {
    /// the service
    pub service: String,
    /// the zone
    pub zone: String,
    /// whether the cloud may reclaim them
    pub reclaimable: bool,
    /// how many
    pub count: u32,
}

/// why a call to the cloud API failed
#[apply(data!)]
pub enum CloudFault {
    /// the cloud has no such VMs now
    Unavailable,
    /// the cloud refused the call and did nothing
    Refused(u16),
    /// no usable answer; the call may have taken effect
    Unknown(String),
}

impl fmt::Display for CloudFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CloudFault::Unavailable => write!(f, "The cloud has no such VMs at the moment."),
            CloudFault::Refused(status) => write!(f, "The cloud API refused with {status}."),
            CloudFault::Unknown(cause) => write!(f, "The cloud API did not answer: {cause}."),
        }
    }
}

impl std::error::Error for CloudFault {}

/// the cloud API; a permit shows that the caller holds the lease now
#[allow(
    async_fn_in_trait,
    reason = "the gateway runs on one thread, futures need no Send"
)]
pub trait Cloud {
    /// reports the requests of each workspace that began in a window
    async fn report_usage(
        &self,
        permit: &Permit,
        window: u64,
        counts: &BTreeMap<String, u64>,
    ) -> Result<(), CloudFault>;

    /// orders a number of VMs
    async fn order(&self, permit: &Permit, order: &Order) -> Result<(), CloudFault>;
}
