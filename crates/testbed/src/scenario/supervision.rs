//! Supervises processes that have exited, have to exit, or are retired.

use std::collections::{BTreeMap, BTreeSet};

use super::error::ScenarioError;
use super::report::EndedProcess;
use super::run::ScenarioRun;
use super::steps::{Step, after};
use super::timing::GRACE_MS;
use crate::launch::ProcessId;
use crate::observation::Observation;

/// Time until an exited process is restarted, in milliseconds.
const RESTART_MS: u64 = 400;
/// Interval at which processes are checked, in milliseconds.
const INTERVAL_MS: u64 = 100;

/// State of the processes that have exited or have to.
#[derive(Debug, Default)]
pub(super) struct Supervision {
    /// Processes that received SIGTERM, with the time at which they are killed.
    pub stopping: BTreeMap<ProcessId, u64>,
    /// Processes whose machines are removed with their disks after they have exited.
    pub removed_after_exit: BTreeSet<ProcessId>,
    /// Number of retired machines that were removed.
    retired: usize,
    ended: Vec<EndedProcess>,
    next_at: u64,
}

impl Supervision {
    /// Whether it is time to check the processes.
    pub fn is_due(&mut self, now: u64) -> bool {
        let is_due = now >= self.next_at;
        if is_due {
            self.next_at = now + INTERVAL_MS;
        }
        is_due
    }

    /// Forgets that a process was to stop, since it has been killed or removed.
    pub fn forget(&mut self, id: ProcessId) {
        self.stopping.remove(&id);
        self.removed_after_exit.remove(&id);
    }

    /// Allows resumed processes the whole time to stop, since they receive SIGTERM only now.
    pub fn extend_grace(&mut self, resumed: &[ProcessId], now: u64) {
        for (_, kill_at) in self.stopping.iter_mut().filter(|(id, _)| resumed.contains(id)) {
            *kill_at = now + GRACE_MS;
        }
    }

    /// Removes and returns the processes that did not stop in time.
    fn take_overdue(&mut self, now: u64) -> Vec<ProcessId> {
        let overdue: Vec<ProcessId> =
            self.stopping.iter().filter(|(_, at)| **at <= now).map(|(id, _)| *id).collect();
        self.stopping.retain(|id, _| !overdue.contains(id));
        overdue
    }

    /// Removes and returns the processes that exited unexpectedly or did not stop in time.
    pub fn take_ended(&mut self) -> Vec<EndedProcess> {
        std::mem::take(&mut self.ended)
    }
}

impl ScenarioRun {
    /// Restarts exited processes, kills those that did not stop in time, and removes retired machines.
    pub(super) fn supervise_processes(&mut self, now: u64) -> Result<(), ScenarioError> {
        let is_disrupted = now <= self.schedule.disrupted_until;
        if is_disrupted || !self.supervision.stopping.is_empty() {
            let description = "a machine is down or stopping".to_owned();
            self.host.observe(Observation::Disruption { description, planned: !is_disrupted });
        }
        if self.schedule.is_link_slow {
            self.host.observe(Observation::ControlPlaneDisturbed);
        }
        for id in self.supervision.take_overdue(now) {
            self.add_ended(id, "it did not stop within its grace".to_owned());
            self.launcher.kill(id)?;
            self.replace_ended(now, id)?;
        }
        for (id, status) in self.launcher.reap() {
            self.host.observe(Observation::ControlPlaneDisturbed);
            if self.supervision.stopping.remove(&id).is_none() {
                let log = self.launcher.log_tail(id);
                self.add_ended(id, format!("{status}\n{log}"));
            }
            self.replace_ended(now, id)?;
        }
        self.remove_retired()
    }

    fn add_ended(&mut self, id: ProcessId, log: String) {
        let process = self.launcher.name(id);
        self.supervision.ended.push(EndedProcess { process, log });
    }

    /// Schedules the restart of an exited process, or removes its machine if it was to leave.
    fn replace_ended(&mut self, now: u64, id: ProcessId) -> Result<(), ScenarioError> {
        if self.supervision.removed_after_exit.remove(&id) {
            return self.remove(&[id]);
        }
        self.schedule.steps.push(after(now + RESTART_MS, Step::Start(vec![id])));
        Ok(())
    }

    fn remove_retired(&mut self) -> Result<(), ScenarioError> {
        let retired = self.traffic.retired();
        for node in &retired[self.supervision.retired..] {
            for id in self.launcher.ids() {
                if self.launcher.machine(id).name == *node {
                    self.remove(&[id])?;
                }
            }
        }
        self.supervision.retired = retired.len();
        Ok(())
    }
}
