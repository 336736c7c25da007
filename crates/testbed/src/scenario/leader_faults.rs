//! Faults of the machine that last acted as leader by an order to a server or a call to the platform. The machine is
//! determined when the fault begins.

use super::error::ScenarioError;
use super::link_faults::{Directions, fault_links};
use super::run::ScenarioRun;
use super::steps::{ScheduledStep, Step, after};
use crate::fault_proxy::LinkFault;
use crate::launch::{ProcessId, Role};

/// A fault of the leader's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaderFault {
    /// The machine is killed and restarted.
    Kill,
    /// The machine is paused.
    Pause,
    /// The machine is partitioned from all other machines.
    Partition,
}

impl ScenarioRun {
    /// Begins a fault of the machine that last acted as leader, and schedules its end.
    pub(super) fn begin_leader_fault(
        &mut self,
        now: u64,
        fault: LeaderFault,
        duration_ms: u64,
    ) -> Result<(), ScenarioError> {
        let processes = self.leader_processes();
        for ScheduledStep { at, step } in self.leader_fault_steps(&processes, fault, duration_ms) {
            if at == 0 {
                self.execute(now, step)?;
            } else {
                self.schedule.steps.push(after(now + at, step));
            }
        }
        self.schedule.disrupted_until = self.schedule.disrupted_until.max(now + duration_ms);
        self.schedule.steps.sort_by_key(|scheduled| scheduled.at);
        Ok(())
    }

    fn leader_fault_steps(
        &self,
        processes: &[ProcessId],
        fault: LeaderFault,
        duration_ms: u64,
    ) -> Vec<ScheduledStep> {
        let ids = processes.to_vec();
        match fault {
            LeaderFault::Kill => {
                vec![after(0, Step::Kill(ids.clone())), after(duration_ms, Step::Start(ids))]
            }
            LeaderFault::Pause => {
                vec![after(0, Step::Pause(ids.clone())), after(duration_ms, Step::Resume(ids))]
            }
            LeaderFault::Partition => {
                let fault = LinkFault::Partitioned;
                fault_links(&self.launcher, processes, Directions::BOTH, fault, duration_ms)
            }
        }
    }

    /// Returns all processes of the machine that last acted as leader, or of the first control node's machine if none
    /// has acted as leader.
    fn leader_processes(&self) -> Vec<ProcessId> {
        let name = self.last_leader.as_deref();
        let is_leader = |id: &ProcessId| Some(self.launcher.machine(*id).name.as_str()) == name;
        let leader = self.launcher.ids().into_iter().find(is_leader).or_else(|| {
            log::warn!("scenario: no machine has acted as leader yet; using the first control node");
            self.launcher.with_role(Role::Control).first().copied()
        });
        leader.map(|id| self.launcher.processes_of_same_machine(id)).unwrap_or_default()
    }
}
