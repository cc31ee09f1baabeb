//! The engines' and desks' own records of a replay.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use macro_rules_attribute::apply;
use schema::{data, message};
use standin::cloud::Bill;
use standin::engine::Run;
use standin::plain::Execution;

use super::call::{Body, Ready};
use crate::world::World;

/// pause between two looks at the record of an engine that will die
const LOOK_PERIOD: Duration = Duration::from_millis(100);

/// longest time to look
const LOOK_LONGEST: Duration = Duration::from_secs(10);

/// runs of the engines, by VM
pub type Runs = BTreeMap<String, Vec<Run>>;

/// everything that the upstreams recorded
#[apply(data!)]
pub struct Record {
    /// runs of the engines, by VM
    pub runs: Runs,
    /// calls that plain services ran
    pub executions: Vec<Execution>,
}

impl Record {
    /// asks all upstreams; `dead` has the last records of engines that are gone
    pub fn read(world: &World, dead: Runs) -> io::Result<Self> {
        let mut runs = dead;
        for engine in world.engines() {
            if runs.contains_key(&engine.machine.vm) {
                continue;
            }
            let record = engine.record().map_err(io::Error::other)?;
            runs.insert(engine.machine.vm.clone(), record);
        }
        let mut executions = Vec::new();
        for plain in world.plain_services() {
            executions.extend(plain.record().map_err(io::Error::other)?);
        }
        Ok(Self { runs, executions })
    }
}

/// one run of an engine for a call of a trace
#[apply(message!)]
struct Line {
    policy: String,
    vm: String,
    daemon: String,
    call: usize,
    group: u32,
    run: Run,
}

impl Record {
    /// appends the runs of a trace's calls to a file, one JSON line each
    pub fn append(
        &self,
        path: &Path,
        policy: &str,
        world: &World,
        calls: &[Ready],
    ) -> io::Result<()> {
        let mut file = File::options().create(true).append(true).open(path)?;
        let mut numbers = HashMap::new();
        for (number, call) in calls.iter().enumerate() {
            if let Body::Model { hash, .. } = call.body {
                numbers.insert(hash, number);
            }
        }
        for (vm, runs) in &self.runs {
            for run in runs {
                let Some(number) = numbers.get(&run.prompt_hash) else {
                    continue;
                };
                let call = &calls[*number];
                let line = Line {
                    policy: policy.to_owned(),
                    vm: vm.clone(),
                    daemon: world.daemons()[call.daemon].vm().to_owned(),
                    call: *number,
                    group: call.group,
                    run: run.clone(),
                };
                writeln!(file, "{}", serde_json::to_string(&line)?)?;
            }
        }
        Ok(())
    }
}

/// follows the records of engines until they die
pub fn follow(world: &World, vms: &[String]) -> Runs {
    let deadline = Instant::now() + LOOK_LONGEST;
    let mut runs = Runs::new();
    let mut alive: Vec<&String> = vms.iter().collect();
    while !alive.is_empty() && Instant::now() < deadline {
        alive.retain(|vm| {
            let record = world.engine(vm).map(|engine| engine.record());
            match record {
                Some(Ok(record)) => {
                    runs.insert((*vm).clone(), record);
                    true
                }
                _ => false,
            }
        });
        thread::sleep(LOOK_PERIOD);
    }
    runs
}

/// what the engines' VMs cost so far, millionths of the currency
pub fn engines_cost(world: &World) -> io::Result<u64> {
    let url = format!("http://{}/control/bill", world.cloud().address());
    let answer = attohttpc::get(url).send().map_err(io::Error::other)?;
    let bill: Bill = answer.json().map_err(io::Error::other)?;
    let is_engine = |vm: &str| world.engine(vm).is_some();
    let charges = bill.charges.iter().filter(|charge| is_engine(&charge.vm));
    Ok(charges.map(|charge| charge.micros).sum())
}
