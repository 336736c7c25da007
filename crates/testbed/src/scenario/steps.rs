//! The single steps of which faults consist.

use super::leader_faults::LeaderFault;
use super::timing::GRACE_MS;
use crate::fault_proxy::{Link, LinkFault};
use crate::host::ServerIndex;
use crate::launch::ProcessId;
use crate::operator::Action;
use crate::platform::PlatformFault;
use crate::server_fault::ServerFault;

/// One thing that is done to processes, links or servers.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Step {
    Kill(Vec<ProcessId>),
    Wipe(Vec<ProcessId>),
    Start(Vec<ProcessId>),
    Pause(Vec<ProcessId>),
    Resume(Vec<ProcessId>),
    /// Their quota of processor time is spent. That is no disruption: what is promised holds meanwhile.
    SpendQuota(Vec<ProcessId>),
    /// Their quota begins anew.
    RenewQuota(Vec<ProcessId>),
    /// They are told to stop, and started again once they have.
    Terminate(Vec<ProcessId>),
    /// They are told to stop; once they have, their machines are taken away with their disks.
    TerminateForGood(Vec<ProcessId>),
    /// Machines are gone at once, with their disks.
    Remove(Vec<ProcessId>),
    AddStore,
    AddControl,
    /// A fault of links; `None` ends the one that they have.
    Links(Vec<Link>, Option<LinkFault>),
    InjectServerFault(ServerIndex, ServerFault),
    RestartServer(ServerIndex),
    ClearServerFaults(ServerIndex),
    DrainServer(ServerIndex),
    RemoveServer(ServerIndex),
    /// A fault of the platform's interface; `None` ends the one that it has.
    Platform(Option<PlatformFault>),
    /// A fault of the machine that acted last as the leader, for a time in milliseconds.
    Leader(LeaderFault, u64),
    Operator(Action),
}

/// A step with its time in milliseconds: that from the beginning of a fault, or that of the host's clock.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ScheduledStep {
    pub at: u64,
    pub step: Step,
}

/// A step that is taken some time after the beginning of its fault.
pub(super) fn after(at: u64, step: Step) -> ScheduledStep {
    ScheduledStep { at, step }
}

impl Step {
    /// Whether it's work with notice.
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            Step::Terminate(_)
                | Step::TerminateForGood(_)
                | Step::Start(_)
                | Step::AddStore
                | Step::AddControl
        )
    }

    /// How long it may go on after its beginning, in milliseconds.
    pub fn lasts_ms(&self) -> u64 {
        match self {
            Step::Terminate(_) | Step::TerminateForGood(_) => GRACE_MS,
            Step::Leader(_, duration_ms) => *duration_ms,
            _ => 0,
        }
    }

    /// Whether it concerns the system's own machines, which then need not be in contact.
    pub fn concerns_machines(&self) -> bool {
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
