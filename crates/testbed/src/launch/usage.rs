//! Resource usage and logs of processes.

use std::fs;

use super::launcher::{Launcher, ProcessId};

/// Number of fields between the process name and the CPU times in `/proc/<pid>/stat`.
const STAT_TIMES: usize = 11;
/// Maximum number of bytes returned from the end of a log.
const LOG_TAIL_BYTES: usize = 4 << 10;

/// Resource usage of a process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// CPU time, in milliseconds.
    pub cpu_ms: u64,
    /// Peak resident memory, in kilobytes.
    pub peak_kb: u64,
}

impl Launcher {
    /// Returns the resource usage of a running process since its start; `None` if it cannot be read.
    pub fn usage(&self, id: ProcessId) -> Option<Usage> {
        let process = self.processes[id.0].child.as_ref()?.id();
        let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
        let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        // After the name in parentheses, the CPU times are the 12th and 13th field (proc_pid_stat(5)).
        let fields: Vec<u64> = stat
            .rsplit_once(')')?
            .1
            .split_whitespace()
            .skip(STAT_TIMES)
            .take(2)
            .filter_map(|field| field.parse().ok())
            .collect();
        let ticks: u64 = fields.iter().sum();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        Some(Usage {
            cpu_ms: ticks * 1_000 / rustix::param::clock_ticks_per_second(),
            peak_kb: peak.trim().trim_end_matches(" kB").parse().ok()?,
        })
    }

    /// Returns the end of a process's log.
    pub fn log_tail(&self, id: ProcessId) -> String {
        let bytes = fs::read(self.path(id, "log")).unwrap_or_default();
        String::from_utf8_lossy(&bytes[bytes.len().saturating_sub(LOG_TAIL_BYTES)..]).into_owned()
    }
}
