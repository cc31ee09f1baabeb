use crate::Error;

/// settings of a node, as a builder
#[derive(Clone, Default)]
pub struct Settings {
    pub(crate) vm: String,
    pub(crate) region: String,
    pub(crate) data_centre: String,
    pub(crate) control: String,
    pub(crate) callers: String,
    pub(crate) seeds: Vec<String>,
    pub(crate) fleet_key: String,
    pub(crate) operator_key: String,
    pub(crate) max_pending: Option<usize>,
}

impl Settings {
    /// settings of the daemon on VM `vm` of a data centre
    pub fn new(vm: &str, data_centre: &str) -> Settings {
        Settings {
            vm: vm.to_owned(),
            data_centre: data_centre.to_owned(),
            ..Settings::default()
        }
    }

    /// region of the data centre
    pub fn region(mut self, region: &str) -> Settings {
        self.region = region.to_owned();
        self
    }

    /// `ip:port` to listen on for daemons and operators; port 0 means any free port
    pub fn control(mut self, address: &str) -> Settings {
        self.control = address.to_owned();
        self
    }

    /// `ip:port` for callers, which is sent to the other daemons
    pub fn callers(mut self, address: &str) -> Settings {
        self.callers = address.to_owned();
        self
    }

    /// control addresses to join the cluster through; may include the node's own
    pub fn seeds(mut self, addresses: &[String]) -> Settings {
        self.seeds = addresses.to_vec();
        self
    }

    /// key for calls between daemons
    pub fn fleet_key(mut self, key: &str) -> Settings {
        self.fleet_key = key.to_owned();
        self
    }

    /// most connections at the control address that have not shown a valid key yet
    pub fn max_pending(mut self, connections: usize) -> Settings {
        self.max_pending = Some(connections);
        self
    }

    /// key for calls of operators, different from the fleet key
    pub fn operator_key(mut self, key: &str) -> Settings {
        self.operator_key = key.to_owned();
        self
    }

    pub(crate) fn validate(&self) -> Result<(), Error> {
        let required = [
            ("vm", &self.vm),
            ("data_centre", &self.data_centre),
            ("control", &self.control),
            ("fleet_key", &self.fleet_key),
            ("operator_key", &self.operator_key),
        ];
        for (name, value) in required {
            if value.is_empty() {
                return Err(Error::Setting(name));
            }
        }
        if self.fleet_key == self.operator_key {
            return Err(Error::Setting("operator_key"));
        }
        Ok(())
    }
}
