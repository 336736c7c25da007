//! The single steps that faults consist of.

use super::leader_faults::LeaderFault;
use super::timing::GRACE_MS;
use crate::fault_proxy::{Link, LinkFault};
use crate::host::ServerIndex;
use crate::launch::ProcessId;
use crate::operator::Action;
use crate::platform::PlatformFault;
use crate::server_fault::ServerFault;

/// An action on processes, links, servers, the platform or the operator.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Step {
    Kill(Vec<ProcessId>),
    Wipe(Vec<ProcessId>),
    Start(Vec<ProcessId>),
    Pause(Vec<ProcessId>),
    Resume(Vec<ProcessId>),
    /// Pauses processes whose CPU quota is used up. This is no disruption: all guarantees hold in the meantime.
    SpendQuota(Vec<ProcessId>),
    /// Resumes processes at the start of a new quota period.
    RenewQuota(Vec<ProcessId>),
    /// Sends SIGTERM to processes, and restarts them after they have exited.
    Terminate(Vec<ProcessId>),
    /// Sends SIGTERM to processes, and removes their machines and disks after they have exited.
    TerminateAndRemove(Vec<ProcessId>),
    /// Removes machines and their disks at once.
    Remove(Vec<ProcessId>),
    AddStore,
    AddControl,
    /// Sets a fault on links; `None` ends the current fault.
    Links(Vec<Link>, Option<LinkFault>),
    InjectServerFault(ServerIndex, ServerFault),
    RestartServer(ServerIndex),
    ClearServerFaults(ServerIndex),
    DrainServer(ServerIndex),
    RemoveServer(ServerIndex),
    /// Sets a fault of the platform's API; `None` ends the current fault.
    Platform(Option<PlatformFault>),
    /// Applies a fault to the machine that last acted as leader, for the given time in milliseconds.
    Leader(LeaderFault, u64),
    Operator(Action),
}

/// A step with its time in milliseconds: relative to the beginning of a fault, or absolute on the host's clock.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ScheduledStep {
    pub at: u64,
    pub step: Step,
}

/// Returns a step that is due `at` milliseconds after the beginning of its fault.
pub(super) fn after(at: u64, step: Step) -> ScheduledStep {
    ScheduledStep { at, step }
}

impl Step {
    /// Whether the step is planned work, which is announced to the system.
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            Step::Terminate(_)
                | Step::TerminateAndRemove(_)
                | Step::Start(_)
                | Step::AddStore
                | Step::AddControl
        )
    }

    /// Maximum duration of the step after its start, in milliseconds.
    pub fn lasts_ms(&self) -> u64 {
        match self {
            Step::Terminate(_) | Step::TerminateAndRemove(_) => GRACE_MS,
            Step::Leader(_, duration_ms) => *duration_ms,
            _ => 0,
        }
    }

    /// Whether the step affects the system's own machines, which then need not reach each other.
    pub fn affects_machines(&self) -> bool {
        !matches!(
            self,
            Step::SpendQuota(_)
                | Step::RenewQuota(_)
                | Step::InjectServerFault(..)
                | Step::RestartServer(_)
                | Step::ClearServerFaults(_)
                | Step::DrainServer(_)
                | Step::RemoveServer(_)
                | Step::Platform(_)
                | Step::Operator(_)
        )
    }
}
