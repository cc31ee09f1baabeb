use std::collections::BTreeMap;
use std::fmt;

use macro_rules_attribute::apply;
use schema::data;

use crate::duty::Permit;

/// the desired number of VMs of one service, zone and price class
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Capacity {
    /// name of the service
    pub service: String,
    /// zone of the VMs
    pub zone: String,
    /// whether the cloud may reclaim the VMs
    pub reclaimable: bool,
    /// desired number of VMs
    pub count: u32,
}

/// why a call to the cloud API failed
#[apply(data!)]
pub enum CloudError {
    /// the cloud has no capacity for such VMs at the moment
    Unavailable,
    /// the cloud refused the call with this status and changed nothing
    Refused(u16),
    /// no usable response; the call may have taken effect
    Unknown(String),
}

impl fmt::Display for CloudError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CloudError::Unavailable => {
                write!(f, "cloud has no capacity for the ordered VMs at the moment")
            }
            CloudError::Refused(status) => {
                write!(f, "cloud API refused the call with status {status}")
            }
            CloudError::Unknown(cause) => {
                write!(f, "no usable response from the cloud API: {cause}")
            }
        }
    }
}

impl std::error::Error for CloudError {}

/// the cloud API; each call carries a permit as proof that this daemon holds the lease
#[allow(
    async_fn_in_trait,
    reason = "the gateway runs on one thread, futures need no Send"
)]
pub trait Cloud {
    /// reports the number of requests of each workspace that began in a window
    async fn report_usage(
        &self,
        permit: &Permit,
        window: u64,
        counts: &BTreeMap<String, u64>,
    ) -> Result<(), CloudError>;

    /// sets the desired number of VMs
    async fn set_capacity(&self, permit: &Permit, capacity: &Capacity) -> Result<(), CloudError>;
}
