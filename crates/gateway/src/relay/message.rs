use macro_rules_attribute::apply;
use schema::message;

use super::Encoded;
use crate::adapter::Revision;
use crate::freshness::Confirmation;
use crate::model::Vm;
use crate::rollout::Entry;

/// a call of a follower: what it knows, and how long to hold the call
#[apply(message!)]
#[derive(Default)]
pub struct Known {
    /// version of its configuration, and the generation of the store in which it was read
    pub config: Option<(u64, u64)>,
    /// list of VMs that it has
    pub vms: Position,
    /// longest time for which the call is held if there is nothing newer, milliseconds
    pub wait_ms: u64,
    /// hash of its list of requests for roll-outs, if it has one
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollouts: Option<u64>,
}

/// state of a daemon's list of VMs
#[apply(message!)]
#[derive(Copy, Default, Eq)]
pub struct Position {
    /// random number of the daemon's process, to which the sequence belongs
    pub instance: u64,
    /// number of changes of the list in that process
    pub sequence: u64,
    /// hash of the list, the same at all daemons that have the same VMs
    pub hash: u64,
}

/// answer to a follower
#[apply(message!)]
#[derive(Default)]
pub struct Reply {
    /// generation of the store that the sender has seen
    pub generation: u64,
    /// for how long the call was held, milliseconds, rounded down
    pub held_ms: u64,
    /// the configuration, if the follower's is older
    pub config: Option<ConfigUpdate>,
    /// the sender's version, and its age when this was sent
    pub confirmation: Option<Confirmation>,
    /// position from which the sender would watch the configuration
    pub config_revision: Option<Revision>,
    /// the list of VMs
    pub vms: Option<VmUpdate>,
    /// the requests for roll-outs, if the deployment uses them
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollouts: Option<RolloutUpdate>,
}

/// a configuration as it stands in the store
#[apply(message!)]
pub struct ConfigUpdate {
    /// generation of the store in which it was read last
    pub generation: u64,
    /// content of the object
    pub body: Encoded,
}

/// state of the list of VMs
#[apply(message!)]
pub struct VmUpdate {
    /// the list that results from this update
    pub position: Position,
    /// revision of the store up to which the list is complete
    pub revision: Revision,
    /// how long ago the list was known to be complete, milliseconds, rounded up
    pub age_ms: u64,
    /// what changed since the follower's position
    pub change: VmChange,
}

/// state of the list of requests for roll-outs
#[apply(message!)]
pub struct RolloutUpdate {
    /// revision of the store up to which the list is complete
    pub revision: Revision,
    /// the list, if the follower has another one
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entries: Option<Vec<Entry>>,
}

/// difference between two lists of VMs
#[apply(message!)]
pub enum VmChange {
    /// none
    None,
    /// VMs that were added or changed, and ids of those that were removed
    Some {
        /// added and changed VMs
        listed: Vec<Vm>,
        /// ids of removed VMs
        removed: Vec<String>,
    },
    /// the complete list, as the follower's position is unknown: a list of VMs
    Complete(Encoded),
}
