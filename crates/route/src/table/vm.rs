//! Upstream VMs and their locations.

use std::collections::HashMap;

use macro_rules_attribute::apply;
use schema::cloud;
use schema::config::{Declaration, Fencing, Upstream};
use schema::{data, key, value};

/// location of a daemon
#[apply(key!)]
pub struct Location {
    /// the data centre
    pub data_centre: String,
    /// the region of the data centre
    pub region: String,
}

/// distance of a VM from the daemon
#[apply(value!)]
pub enum Tier {
    /// in the daemon's data centre
    DataCentre,
    /// in another data centre of the daemon's region
    Region,
    /// across the link between regions
    Link,
}

/// a VM that serves a service
#[apply(data!)]
pub struct Vm {
    /// unique name; the address if the VM is not listed by the platform
    pub name: String,
    /// `ip:port` on which it serves
    pub address: String,
    /// upstream it belongs to
    pub upstream: String,
    /// service of the upstream
    pub service: String,
    /// data centre in which it runs
    pub data_centre: String,
    /// region of the data centre
    pub region: String,
    /// requests that it runs at the same time
    pub slots: u32,
    /// whether it checks the fencing tokens of orders
    pub fencing: Fencing,
}

impl Tier {
    /// all tiers, nearest first
    pub const ALL: [Tier; 3] = [Tier::DataCentre, Tier::Region, Tier::Link];
}

impl Location {
    /// distance of a VM from this location
    pub fn tier(&self, vm: &Vm) -> Tier {
        if vm.data_centre == self.data_centre {
            return Tier::DataCentre;
        }
        if vm.region == self.region {
            return Tier::Region;
        }
        Tier::Link
    }
}

impl Vm {
    /// creates a VM of a declared upstream
    pub fn new(name: &str, address: &str, upstream: &Upstream) -> Vm {
        Vm {
            name: name.to_owned(),
            address: address.to_owned(),
            upstream: upstream.name.clone(),
            service: upstream.service.clone(),
            data_centre: upstream.data_centre.clone(),
            region: upstream.region.clone(),
            slots: upstream.slots,
            fencing: upstream.fencing,
        }
    }
}

/// VMs of the upstreams' fixed addresses in a declaration
pub fn fixed_vms(declaration: &Declaration) -> Vec<Vm> {
    let mut vms = Vec::new();
    for upstream in &declaration.upstreams {
        for address in &upstream.addresses {
            vms.push(Vm::new(address, address, upstream));
        }
    }
    vms
}

/// running VMs of the platform's list that belong to a declared upstream
pub fn platform_vms(declaration: &Declaration, list: &cloud::List) -> Vec<Vm> {
    let upstreams: HashMap<&str, &Upstream> = declaration
        .upstreams
        .iter()
        .map(|upstream| (upstream.name.as_str(), upstream))
        .collect();
    let mut vms = Vec::new();
    for vm in &list.vms {
        if vm.state == cloud::State::Starting || vm.address.is_empty() {
            continue;
        }
        if let Some(upstream) = upstreams.get(vm.upstream.as_str()) {
            vms.push(Vm::new(&vm.name, &vm.address, upstream));
        }
    }
    vms
}
