//! The plan of one data centre.

use macro_rules_attribute::apply;
use schema::config::Kind;
use schema::data;

/// a data centre to build
#[apply(data!)]
pub struct Centre {
    /// its name
    pub name: String,
    /// region it is in
    pub region: String,
    /// daemons in it
    pub daemons: usize,
    /// VMs of services in it
    pub groups: Vec<Group>,
}

/// VMs of one service in a data centre
#[apply(data!)]
pub struct Group {
    /// name of the service
    pub service: String,
    /// what its VMs run
    pub kind: Kind,
    /// how many VMs
    pub count: usize,
}

impl Centre {
    /// an empty data centre
    pub fn new(region: &str, name: &str) -> Self {
        let groups = Vec::new();
        Self {
            name: name.to_owned(),
            region: region.to_owned(),
            daemons: 0,
            groups,
        }
    }

    /// sets the number of daemons
    pub fn daemons(mut self, count: usize) -> Self {
        self.daemons = count;
        self
    }

    /// adds model engines
    pub fn engines(self, service: &str, count: usize) -> Self {
        self.group(service, Kind::Model, count)
    }

    /// adds plain services
    pub fn plains(self, service: &str, count: usize) -> Self {
        self.group(service, Kind::Plain, count)
    }

    /// zone of the cloud in it
    pub fn zone(&self) -> String {
        format!("{}-1", self.name)
    }

    fn group(mut self, service: &str, kind: Kind, count: usize) -> Self {
        self.groups.push(Group {
            service: service.to_owned(),
            kind,
            count,
        });
        self
    }
}

impl Group {
    /// name of the upstream in a data centre
    pub fn upstream(&self, centre: &str) -> String {
        format!("{}-{centre}", self.service)
    }
}
