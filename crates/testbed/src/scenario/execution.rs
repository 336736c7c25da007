//! Executes the steps of a scenario.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use super::error::ScenarioError;
use super::run::ScenarioRun;
use super::steps::{ScheduledStep, Step};
use super::timing::GRACE_MS;
use super::wiring::{add_gateway, add_to_proxy};
use crate::fault_proxy::{LinkFault, MachineIndex};
use crate::host::ServerIndex;
use crate::launch::{ProcessId, Role};
use crate::observation::Observation;
use crate::operator::Action;
use crate::platform::PlatformFault;
use crate::server_fault::ServerFault;

impl ScenarioRun {
    /// Executes the steps that are due.
    pub(super) fn run_due_steps(&mut self, now: u64) -> Result<(), ScenarioError> {
        let steps = std::mem::take(&mut self.schedule.steps);
        let (due, later): (Vec<ScheduledStep>, Vec<ScheduledStep>) =
            steps.into_iter().partition(|scheduled| scheduled.at <= now);
        self.schedule.steps = later;
        for ScheduledStep { step, .. } in due {
            match step {
                Step::SpendQuota(_) | Step::RenewQuota(_) => log::debug!("scenario: {step:?}"),
                // The text of a patch would contain API keys.
                Step::Operator(Action::Patch { .. }) => log::info!("scenario: the operator sends a patch"),
                _ => log::info!("scenario: {step:?}"),
            }
            if step.affects_machines() {
                if !step.is_planned() {
                    self.schedule.disrupted_until = self.end_of_disruption(now);
                }
                let (description, planned) = (format!("{step:?}"), step.is_planned());
                self.host.observe(Observation::Disruption { description, planned });
                self.host.observe(Observation::ControlPlaneDisturbed);
            }
            self.execute(now, step)?;
        }
        Ok(())
    }

    /// Time of the last scheduled step that affects machines; `now` if there is none.
    fn end_of_disruption(&self, now: u64) -> u64 {
        let later = self.schedule.steps.iter().filter(|scheduled| scheduled.step.affects_machines());
        later.map(|scheduled| scheduled.at).chain([now]).max().unwrap_or(now)
    }

    pub(super) fn execute(&mut self, now: u64, step: Step) -> Result<(), ScenarioError> {
        match step {
            Step::Kill(ids) => ids.into_iter().try_for_each(|id| self.kill(id))?,
            Step::Wipe(ids) => ids.into_iter().try_for_each(|id| self.wipe(id))?,
            Step::Start(ids) => ids.into_iter().try_for_each(|id| self.launcher.start(id))?,
            Step::Pause(ids) => self.running(ids).try_for_each(|id| self.launcher.pause(id))?,
            Step::Resume(ids) => {
                self.running(ids.clone()).try_for_each(|id| self.launcher.resume(id))?;
                self.supervision.extend_grace(&ids, now);
                self.observe_resume(ids.iter().map(|id| self.launcher.machine_index(*id)).collect());
            }
            Step::SpendQuota(ids) => self.running(ids).try_for_each(|id| self.launcher.pause(id))?,
            Step::RenewQuota(ids) => self.running(ids).try_for_each(|id| self.launcher.resume(id))?,
            Step::Terminate(ids) => self.terminate(now, ids)?,
            Step::TerminateAndRemove(ids) => {
                let (running, stopped): (Vec<ProcessId>, Vec<ProcessId>) =
                    ids.into_iter().partition(|id| self.launcher.is_running(*id));
                self.remove(&stopped)?;
                self.supervision.removed_after_exit.extend(&running);
                self.terminate(now, running)?;
            }
            Step::Remove(ids) => self.remove(&ids)?,
            Step::AddStore => {
                let added = self.launcher.add_store();
                self.start_added(&added)?;
            }
            Step::AddControl => self.add_control()?,
            Step::Links(links, fault) => {
                self.schedule.is_link_slow = matches!(fault, Some(LinkFault::Slow { .. }));
                links.iter().for_each(|link| self.host.set_link(link.from, link.to, fault));
                if fault.is_none() {
                    self.observe_resume(links.iter().flat_map(|link| [link.from, link.to]).collect());
                }
            }
            Step::InjectServerFault(index, fault) => {
                self.host.with_server(index, |server, _, out| server.inject(fault, out));
            }
            Step::RestartServer(index) => self.restart_server(index),
            Step::ClearServerFaults(index) => {
                self.host.with_server(index, |server, _, _| server.clear_faults());
            }
            Step::DrainServer(index) => self.drain_server(index),
            Step::RemoveServer(index) => self.remove_server(index),
            Step::Platform(fault) => self.set_platform_fault(fault),
            Step::Leader(fault, duration_ms) => self.begin_leader_fault(now, fault, duration_ms)?,
            Step::Operator(action) => self.traffic.add_action(now, action),
        }
        Ok(())
    }

    /// Records that machines were resumed or their links restored.
    fn observe_resume(&mut self, machines: BTreeSet<MachineIndex>) {
        let topology = self.launcher.topology();
        let machines = machines.into_iter().map(|index| topology.machines[index.0].name.clone()).collect();
        self.host.observe(Observation::MachinesResumed { machines });
    }

    fn set_platform_fault(&mut self, fault: Option<PlatformFault>) {
        self.host.with_platform(|platform, _| platform.set_fault(fault));
        self.host.observe(Observation::PlatformDisrupted { begins: fault.is_some() });
    }

    /// Returns the running processes among `ids`, since another fault may have ended some of them.
    fn running(&self, ids: Vec<ProcessId>) -> std::vec::IntoIter<ProcessId> {
        let running: Vec<ProcessId> = ids.into_iter().filter(|id| self.launcher.is_running(*id)).collect();
        running.into_iter()
    }

    /// Kills a process. If it was to be removed after its exit, its machine is removed now.
    pub(super) fn kill(&mut self, id: ProcessId) -> Result<(), ScenarioError> {
        self.launcher.kill(id)?;
        if self.supervision.removed_after_exit.contains(&id) {
            self.remove(&[id])?;
        }
        self.supervision.forget(id);
        Ok(())
    }

    /// Wipes the disk of a process, which is killed if another fault has restarted it.
    fn wipe(&mut self, id: ProcessId) -> Result<(), ScenarioError> {
        self.kill(id)?;
        self.launcher.wipe(id)?;
        Ok(())
    }

    /// Sends SIGTERM to the running processes among `ids`.
    fn terminate(&mut self, now: u64, ids: Vec<ProcessId>) -> Result<(), ScenarioError> {
        for id in self.running(ids) {
            self.launcher.terminate(id)?;
            if self.launcher.role(id) == Role::Gateway {
                let port = self.launcher.topology().ports.frontend;
                let gateway = SocketAddrV4::new(self.launcher.machine(id).ip, port).to_string();
                self.host.observe(Observation::GatewayStopping { gateway });
            }
            self.supervision.stopping.entry(id).or_insert(now + GRACE_MS);
        }
        Ok(())
    }

    fn add_control(&mut self) -> Result<(), ScenarioError> {
        let added = self.launcher.add_control();
        let topology = self.launcher.topology();
        if let Some(id) = added.first() {
            add_gateway(&mut self.host, topology.ports, self.launcher.machine(*id));
        }
        self.host.directory.control_nodes = topology.control_addresses();
        self.start_added(&added)
    }

    /// Starts the processes of an added machine, and connects the machine to the fault proxy if one is used.
    fn start_added(&mut self, ids: &[ProcessId]) -> Result<(), ScenarioError> {
        let topology = self.launcher.topology();
        if let Some(id) = ids.first().filter(|_| topology.proxied) {
            let (index, machine) = (self.launcher.machine_index(*id), self.launcher.machine(*id));
            add_to_proxy(&mut self.host, topology, index, machine)?;
        }
        for id in ids {
            self.launcher.start(*id)?;
        }
        Ok(())
    }

    /// Removes the machines of processes, with their disks.
    pub(super) fn remove(&mut self, ids: &[ProcessId]) -> Result<(), ScenarioError> {
        for id in ids {
            self.launcher.remove(*id)?;
            self.supervision.forget(*id);
        }
        self.host.directory.control_nodes = self.launcher.topology().control_addresses();
        Ok(())
    }

    fn drain_server(&mut self, index: ServerIndex) {
        self.host.with_server(index, |server, _, _| server.drain());
        let instance = self.host.server(index).instance();
        self.host.observe(Observation::ServerDraining { server: instance.clone() });
        self.host.with_platform(|platform, now| platform.mark_draining(now, &instance));
    }

    fn remove_server(&mut self, index: ServerIndex) {
        let instance = self.host.server(index).instance();
        self.host.with_platform(|platform, now| platform.remove(now, &instance));
        self.host.with_server(index, |server, _, out| server.inject(ServerFault::Crash, out));
    }

    fn restart_server(&mut self, index: ServerIndex) {
        let before = self.host.server(index).instance();
        self.host.with_server(index, |server, _, out| server.restart(out));
        let after = self.host.server(index).instance();
        let service = self.workload.model_service.clone();
        self.host.observe(Observation::ServerStarted { server: after.clone(), service });
        self.host.with_platform(|platform, now| platform.rename(now, &before, &after));
    }
}
