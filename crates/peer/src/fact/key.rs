use macro_rules_attribute::apply;
use schema::key;
use schema::member::Fact;

/// the subject of a fact
#[apply(key!)]
pub enum Key {
    /// a draining VM, by its name
    Leaving(String),
    /// statements of an upstream VM, by its name
    Notice(String),
    /// highest revision of the configuration
    Revision,
    /// revision applied by an instance
    Applied(u64),
    /// load of the upstream VMs that an instance polls
    Load(u64),
    /// demand that an instance measured
    Demand(u64),
    /// a request that was handed over, by its id
    Moved(String),
    /// summed demand of a data centre
    Summary(String),
}

impl Key {
    /// the subject of a fact published by `origin`
    pub fn of(fact: &Fact, origin: u64) -> Key {
        match fact {
            Fact::Leaving(leaving) => Key::Leaving(leaving.vm.clone()),
            Fact::Notice(notice) => Key::Notice(notice.vm.clone()),
            Fact::Revision(_) => Key::Revision,
            Fact::Applied(_) => Key::Applied(origin),
            Fact::Load(_) => Key::Load(origin),
            Fact::Demand(_) => Key::Demand(origin),
            Fact::Moved(moved) => Key::Moved(moved.request.clone()),
            Fact::Summary(summary) => Key::Summary(summary.data_centre.clone()),
        }
    }
}
