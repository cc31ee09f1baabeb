//! Faults injected during a replay.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use macro_rules_attribute::apply;
use rand::Rng;
use schema::value;
use standin::engine::Faults;

use crate::world::{Engine, World};

/// a fault injected during a replay
#[apply(value!)]
pub enum Fault {
    /// no fault
    None,
    /// one VM of a model is reclaimed
    Reclaim,
    /// all VMs of models in one data centre are reclaimed
    Zone,
    /// the open connections of one engine freeze
    Freeze,
}

impl Fault {
    /// names of the engine VMs that the fault affects
    pub fn targets(self, world: &World, rng: &mut impl Rng) -> Vec<String> {
        let engines = world.engines();
        let vm = |engine: &Engine| engine.machine.vm.clone();
        match self {
            Fault::None => Vec::new(),
            Fault::Reclaim | Fault::Freeze => {
                vec![vm(&engines[rng.random_range(0..engines.len())])]
            }
            Fault::Zone => {
                let centres: BTreeSet<&str> = engines
                    .iter()
                    .map(|engine| engine.machine.data_centre.as_str())
                    .collect();
                let centre = centres.iter().nth(rng.random_range(0..centres.len()));
                let is_in_centre =
                    |engine: &&Engine| Some(&engine.machine.data_centre.as_str()) == centre;
                engines.iter().filter(is_in_centre).map(vm).collect()
            }
        }
    }

    /// injects the fault into these VMs; a reclaimed VM gets `notice_s` seconds of notice
    pub fn inject(self, world: &World, vms: &[String], notice_s: u32) {
        for vm in vms {
            match self {
                Fault::None => {}
                Fault::Reclaim | Fault::Zone => world.reclaim(vm, notice_s),
                Fault::Freeze => freeze(world, vm),
            }
        }
    }

    /// true if the fault terminates its VMs
    pub fn terminates_vms(self) -> bool {
        matches!(self, Fault::Reclaim | Fault::Zone)
    }
}

fn freeze(world: &World, vm: &str) {
    let faults = Faults {
        freeze: true,
        ..Faults::default()
    };
    let frozen = world.engine(vm).map(|engine| engine.set_faults(&faults));
    if let Some(Err(error)) = frozen {
        eprintln!("engine on VM {vm} was not frozen: {error}");
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Fault::None => "none",
            Fault::Reclaim => "reclaim",
            Fault::Zone => "zone",
            Fault::Freeze => "freeze",
        })
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let all = [Fault::None, Fault::Reclaim, Fault::Zone, Fault::Freeze];
        let found = all.into_iter().find(|fault| fault.to_string() == name);
        found.ok_or_else(|| format!("unknown fault {name}; expected none, reclaim, zone or freeze"))
    }
}
