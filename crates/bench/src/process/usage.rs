//! Resource usage of a process, from `/proc`.

use std::fs;
use std::io;
use std::time::Duration;

use macro_rules_attribute::apply;
use schema::value;

/// clock ticks per second in `/proc/PID/stat`, always 100 on Linux
const TICKS_PER_SECOND: u64 = 100;

/// index of `utime` in `/proc/PID/stat`, counted after the command name
const USER_TICKS_FIELD: usize = 11;

/// index of `stime` in `/proc/PID/stat`, counted after the command name
const SYSTEM_TICKS_FIELD: usize = 12;

/// CPU time, memory and threads of a process
#[apply(value!)]
pub struct Usage {
    /// CPU time of all threads, user and system
    pub cpu_time: Duration,
    /// resident memory, bytes
    pub resident_bytes: u64,
    /// largest resident memory so far, bytes
    pub peak_resident_bytes: u64,
    /// number of threads
    pub threads: u64,
}

impl Usage {
    /// reads the usage of the process with this id
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
        let ticks = ticks(USER_TICKS_FIELD).unwrap_or(0) + ticks(SYSTEM_TICKS_FIELD).unwrap_or(0);
        Ok(Self {
            cpu_time: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
            resident_bytes: status_value(&status, "VmRSS:") * 1_024,
            peak_resident_bytes: status_value(&status, "VmHWM:") * 1_024,
            threads: status_value(&status, "Threads:"),
        })
    }
}

/// number in a line of `/proc/PID/status`; 0 if the line is missing
fn status_value(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
