//! Configuration of one data centre.

use macro_rules_attribute::apply;
use schema::config::Kind;
use schema::data;

/// configuration of a data centre
#[apply(data!)]
pub struct DataCentre {
    /// name of the data centre
    pub name: String,
    /// region it is in
    pub region: String,
    /// number of daemons
    pub daemons: usize,
    /// upstream VMs, grouped by service
    pub groups: Vec<Group>,
}

/// VMs of one service in a data centre
#[apply(data!)]
pub struct Group {
    /// name of the service
    pub service: String,
    /// kind of the service
    pub kind: Kind,
    /// number of VMs
    pub count: usize,
}

impl DataCentre {
    /// a data centre without daemons and VMs
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

    /// adds engines of a model service
    pub fn engines(self, service: &str, count: usize) -> Self {
        self.group(service, Kind::Model, count)
    }

    /// adds VMs of a plain service
    pub fn plain_services(self, service: &str, count: usize) -> Self {
        self.group(service, Kind::Plain, count)
    }

    /// the only cloud zone of the data centre
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
    /// name of the upstream to which these VMs belong
    pub fn upstream(&self, centre: &str) -> String {
        format!("{}-{centre}", self.service)
    }
}
