//! The steps of which each fault consists.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use super::compound_faults::{
    duplicate_responses, leave_with_only_copy, replace_then_wipe, restart_one_then_all,
};
use super::faults::Fault;
use super::key_faults::{revoke_last, revoke_one_by_one};
use super::leader_faults::LeaderFault;
use super::link_faults::{Directions, SLOW_LINK, fault_links};
use super::platform_faults::{SLOW_PLATFORM, platform_fault};
use super::servers::ServerIndices;
use super::steps::{ScheduledStep, Step, after};
use super::timing::{DOWN_MS, QUOTA_MS, QUOTA_PERIOD_MS, QUOTA_RUN_MS, SERVER_FAULT_MS};
use super::workload::Workload;
use crate::fault_proxy::LinkFault;
use crate::launch::{Launcher, ProcessId, Role};
use crate::operator::Action;
use crate::platform::PlatformFault;
use crate::server_fault::ServerFault;

/// Time between marking a server as draining and its removal, in milliseconds.
const DRAIN_MS: u64 = 6_000;
/// Time that an added machine has to start before another one is retired, in milliseconds.
const ADDED_MS: u64 = 1_500;
/// Time that the operator grants for a retirement, in seconds.
const RETIREMENT_S: u64 = 8;
/// Factor by which a slow server is slower.
const SLOWDOWN: u64 = 4;
/// A stream breaks after its first three events.
const BROKEN_STREAM: ServerFault = ServerFault::BreakStream { after_events: 3 };

/// The objects that faults can affect.
pub(super) struct FaultTargets<'a> {
    pub launcher: &'a Launcher,
    pub servers: &'a ServerIndices,
    pub workload: &'a Workload,
    /// Duration of link faults, in milliseconds.
    pub partition_ms: u64,
}

/// Returns the steps of a fault, with their times from its beginning in milliseconds.
pub(super) fn steps(fault: Fault, targets: &FaultTargets<'_>, random: &mut Pcg64Mcg) -> Vec<ScheduledStep> {
    let FaultTargets { launcher, servers, .. } = *targets;
    match fault {
        Fault::KillStore => kill_and_restart(targets.pick(Role::Store, random), false),
        Fault::KillControl => kill_and_restart(targets.pick(Role::Control, random), false),
        Fault::KillGateway => kill_and_restart(last_gateway(launcher), false),
        Fault::WipeStore => kill_and_restart(targets.pick(Role::Store, random), true),
        Fault::WipeControl => kill_and_restart(targets.pick(Role::Control, random), true),
        Fault::KillAll => kill_and_restart(launcher.ids(), false),
        Fault::PauseStore => pause_and_resume(targets.pick(Role::Store, random)),
        Fault::PauseControl => pause_and_resume(targets.pick(Role::Control, random)),
        Fault::TerminateGateway => vec![after(0, Step::Terminate(last_gateway(launcher)))],
        Fault::TerminateStore => vec![after(0, Step::Terminate(targets.pick(Role::Store, random)))],
        Fault::AddStore => vec![after(0, Step::AddStore)],
        Fault::RetireStore => targets.add_then_retire_store(random),
        Fault::CrashServer => inject_then_restart(servers, ServerFault::Crash),
        Fault::UnresponsiveServer => inject_then_restart(servers, ServerFault::Unresponsive),
        Fault::SlowServer => slow_down_temporarily(servers),
        Fault::BreakStreams => inject_on_all_models(servers, BROKEN_STREAM),
        Fault::MalformedResponses => inject_on_all_models(servers, ServerFault::MalformedResponse),
        Fault::DrainServer => drain_then_remove(servers),
        Fault::ChangeConfiguration => vec![after(0, Step::Operator(configuration_change(targets.workload)))],
        Fault::RaceConfiguration => vec![after(0, Step::Operator(configuration_race(targets.workload)))],
        Fault::InvalidConfiguration => {
            vec![after(0, Step::Operator(invalid_configuration(targets.workload)))]
        }
        Fault::PartitionControl => targets.partition_control(Directions::BOTH, random),
        Fault::PartitionControlInbound => targets.partition_control(Directions::INBOUND, random),
        Fault::PartitionControlOutbound => targets.partition_control(Directions::OUTBOUND, random),
        Fault::ResetControlLinks => targets.fault_control_links(Directions::BOTH, LinkFault::Reset, random),
        Fault::SlowControlLinks => targets.fault_control_links(Directions::BOTH, SLOW_LINK, random),
        Fault::LoseResponses => Vec::new(),
        Fault::ReplaceControlThenWipe => {
            let lost = targets.pick(Role::Control, random);
            replace_then_wipe(&lost, &targets.pick_other(Role::Control, &lost, random))
        }
        Fault::LeaveWithOnlyCopy => {
            let wiped = targets.pick(Role::Store, random);
            leave_with_only_copy(&wiped, &targets.pick_other(Role::Store, &wiped, random))
        }
        Fault::RestartAfterManyChanges => {
            restart_one_then_all(&targets.pick(Role::Control, random), &launcher.ids())
        }
        Fault::DuplicateResponses => duplicate_responses(servers),
        Fault::QuotaControl => under_quota(&targets.pick(Role::Control, random)),
        Fault::QuotaStore => under_quota(&targets.pick(Role::Store, random)),
        Fault::QuotaGateway => under_quota(&last_gateway(launcher)),
        Fault::QuotaAll => under_quota(&launcher.ids()),
        Fault::RevokeKey => targets.workload.tenants.as_ref().map(revoke_one_by_one).unwrap_or_default(),
        Fault::RevokeLastKey => targets.workload.tenants.as_ref().map(revoke_last).unwrap_or_default(),
        Fault::UnknownKeys => Vec::new(),
        Fault::PlatformSlow => platform_fault(SLOW_PLATFORM),
        Fault::PlatformUnresponsive => platform_fault(PlatformFault::Unresponsive),
        Fault::PlatformBusy => platform_fault(PlatformFault::Busy),
        Fault::PlatformReset => platform_fault(PlatformFault::Reset),
        Fault::PlatformPartitioned => platform_fault(PlatformFault::Partitioned),
        Fault::KillLeader => vec![after(0, Step::Leader(LeaderFault::Kill, DOWN_MS))],
        Fault::PauseLeader => vec![after(0, Step::Leader(LeaderFault::Pause, DOWN_MS))],
        Fault::PartitionLeader => vec![after(0, Step::Leader(LeaderFault::Partition, targets.partition_ms))],
        Fault::PauseLeaderPlatformUnresponsive => {
            let mut steps = platform_fault(PlatformFault::Unresponsive);
            steps.insert(1, after(0, Step::Leader(LeaderFault::Pause, DOWN_MS)));
            steps
        }
    }
}

impl FaultTargets<'_> {
    /// Picks a machine with the given role and returns all its processes, since machines fail as a unit.
    fn pick(&self, role: Role, random: &mut Pcg64Mcg) -> Vec<ProcessId> {
        let of_role = self.launcher.with_role(role);
        let id = of_role[random.random_range(0..of_role.len())];
        self.launcher.processes_of_same_machine(id)
    }

    /// Draws until another machine than `first` is picked. Returns `first` if no draw finds another one.
    fn pick_other(&self, role: Role, first: &[ProcessId], random: &mut Pcg64Mcg) -> Vec<ProcessId> {
        const DRAWS: usize = 100;
        let mut drawn = (0..DRAWS).map(|_| self.pick(role, random));
        drawn.find(|drawn| drawn != first).unwrap_or_else(|| first.to_vec())
    }

    /// Adds a store node, and retires another one after the added one had time to start.
    fn add_then_retire_store(&self, random: &mut Pcg64Mcg) -> Vec<ScheduledStep> {
        let node = self.launcher.machine(self.pick(Role::Store, random)[0]).name.clone();
        let retire = Action::Retire { node, duration_s: RETIREMENT_S };
        vec![after(0, Step::AddStore), after(ADDED_MS, Step::Operator(retire))]
    }

    /// Partitions the links of a control node in the given directions.
    fn partition_control(&self, directions: Directions, random: &mut Pcg64Mcg) -> Vec<ScheduledStep> {
        self.fault_control_links(directions, LinkFault::Partitioned, random)
    }

    /// Sets a fault on the links of a control node.
    fn fault_control_links(
        &self,
        directions: Directions,
        fault: LinkFault,
        random: &mut Pcg64Mcg,
    ) -> Vec<ScheduledStep> {
        let processes = self.pick(Role::Control, random);
        fault_links(self.launcher, &processes, directions, fault, self.partition_ms)
    }
}

fn last_gateway(launcher: &Launcher) -> Vec<ProcessId> {
    launcher.with_role(Role::Gateway).last().copied().into_iter().collect()
}

/// Kills processes and restarts them, with or without wiping their disks.
fn kill_and_restart(ids: Vec<ProcessId>, wipe: bool) -> Vec<ScheduledStep> {
    let mut steps = vec![after(0, Step::Kill(ids.clone()))];
    if wipe {
        steps.push(after(1, Step::Wipe(ids.clone())));
    }
    steps.push(after(DOWN_MS, Step::Start(ids)));
    steps
}

fn pause_and_resume(ids: Vec<ProcessId>) -> Vec<ScheduledStep> {
    vec![after(0, Step::Pause(ids.clone())), after(DOWN_MS, Step::Resume(ids))]
}

/// Pauses processes during the rest of each quota period. All periods begin at the same time, as they do for the
/// processes of a single machine.
fn under_quota(ids: &[ProcessId]) -> Vec<ScheduledStep> {
    let periods = (0..QUOTA_MS / QUOTA_PERIOD_MS).map(|period| period * QUOTA_PERIOD_MS);
    let of_period = |start: u64| {
        [
            after(start + QUOTA_RUN_MS, Step::SpendQuota(ids.to_vec())),
            after(start + QUOTA_PERIOD_MS, Step::RenewQuota(ids.to_vec())),
        ]
    };
    periods.flat_map(of_period).collect()
}

fn inject_then_restart(servers: &ServerIndices, fault: ServerFault) -> Vec<ScheduledStep> {
    let server = servers.models[0];
    vec![
        after(0, Step::InjectServerFault(server, fault)),
        after(SERVER_FAULT_MS, Step::RestartServer(server)),
    ]
}

fn slow_down_temporarily(servers: &ServerIndices) -> Vec<ScheduledStep> {
    let server = servers.models[0];
    vec![
        after(0, Step::InjectServerFault(server, ServerFault::Slowdown(SLOWDOWN))),
        after(SERVER_FAULT_MS, Step::ClearServerFaults(server)),
    ]
}

fn drain_then_remove(servers: &ServerIndices) -> Vec<ScheduledStep> {
    let server = servers.models[0];
    vec![after(0, Step::DrainServer(server)), after(DRAIN_MS, Step::RemoveServer(server))]
}

fn inject_on_all_models(servers: &ServerIndices, fault: ServerFault) -> Vec<ScheduledStep> {
    servers.models.iter().map(|server| after(0, Step::InjectServerFault(*server, fault))).collect()
}

fn configuration_change(workload: &Workload) -> Action {
    let added = workload.application_route("r-added", "/added/", 1_400, 150);
    let changed = workload.application_route(&workload.plain_route, &workload.plain_prefix, 1_400, 150);
    Action::Patch { upsert: json!({"routes": [added, changed]}), remove: json!({}) }
}

fn invalid_configuration(workload: &Workload) -> Action {
    Action::Invalid { route: workload.plain_route.clone() }
}

fn configuration_race(workload: &Workload) -> Action {
    let (route, field) = (workload.plain_route.clone(), "timeout-ms".to_owned());
    Action::Race { route, field, first: json!(1_300), second: json!(1_250) }
}
