//! A process's use of the machine, from `/proc`.

use std::fs;
use std::io;
use std::time::Duration;

use macro_rules_attribute::apply;
use schema::value;

/// ticks a second in `/proc/PID/stat`, fixed on Linux
const TICKS_PER_SECOND: u64 = 100;

/// fields of `/proc/PID/stat` after the command's name
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;

/// processor time and memory of a process
#[apply(value!)]
pub struct Usage {
    /// processor time of all its threads
    pub processor: Duration,
    /// resident memory, bytes
    pub memory: u64,
    /// largest resident memory so far, bytes
    pub peak_memory: u64,
    /// threads
    pub threads: u64,
}

impl Usage {
    /// reads the use of a process
    pub fn of(id: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        let (_, stat) = stat.rsplit_once(')').ok_or(io::ErrorKind::InvalidData)?;
        let fields: Vec<&str> = stat.split_whitespace().collect();
        let ticks = |field: usize| {
            fields
                .get(field)
                .and_then(|value| value.parse::<u64>().ok())
        };
        let ticks = ticks(USER_TICKS).unwrap_or(0) + ticks(SYSTEM_TICKS).unwrap_or(0);
        Ok(Self {
            processor: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
            memory: field(&status, "VmRSS:") * 1_024,
            peak_memory: field(&status, "VmHWM:") * 1_024,
            threads: field(&status, "Threads:"),
        })
    }
}

fn field(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
