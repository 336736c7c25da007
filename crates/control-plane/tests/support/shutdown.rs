//! Graceful shutdowns: a process receives the stop signal, hands over as the control process does, and exits.

use orchidvalve_consensus::View;

use super::cluster::Cluster;

/// Time in ms from the stop signal until the process is killed.
pub const GRACE_MS: u64 = 8_000;
/// The control process exits by itself this many ms before it would be killed.
const ENDING_MARGIN_MS: u64 = 1_500;
/// Longest time in ms to detect the loss of a machine: it is probed every 200 ms, and a reply is valid for 700 ms.
const DETECTION_MS: u64 = 900;

/// What happens to the machine after a graceful shutdown.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AfterShutdown {
    /// The machine is removed permanently.
    Removed,
    /// The process restarts after this time in ms.
    Restart(u64),
}

/// A graceful shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    deadline: u64,
    after_shutdown: AfterShutdown,
}

impl Cluster {
    /// Sends the stop signal to the process of a machine.
    pub fn request_shutdown(&mut self, machine: usize, after_shutdown: AfterShutdown) {
        let deadline = self.now + GRACE_MS - ENDING_MARGIN_MS;
        let host = &mut self.machines[machine];
        if let Some(control_node) = &mut host.control_node {
            control_node.set_leaving();
            host.shutdown = Some(Shutdown { deadline, after_shutdown });
        }
    }

    /// Whether the other machines have a majority of the voters and a complete copy of the log in a chain without this
    /// machine. A machine lost less than `DETECTION_MS` ago counts as present, since its loss cannot be detected yet.
    fn others_suffice_without(&self, machine: usize) -> bool {
        let Some(view) = self.latest_view() else { return true };
        let is_present = |m: &usize| {
            let host = &self.machines[*m];
            host.is_running() || (!host.removed && self.now < host.down_since + DETECTION_MS)
        };
        let others: Vec<usize> =
            (0..self.machines.len()).filter(|m| *m != machine && is_present(m)).collect();
        let voters = others.iter().filter(|m| view.is_voter(self.machines[**m].member())).count();
        let has_all = |m: &&usize| self.holds_all(**m, &view);
        let leaves_chain = !view.in_chain(self.machines[machine].member());
        leaves_chain && voters > view.voters.len() / 2 && others.iter().any(|m| has_all(&m))
    }

    /// Whether a machine is in the chain and has all acknowledged changes on its disk.
    fn holds_all(&self, machine: usize, view: &View) -> bool {
        let host = &self.machines[machine];
        // The disk may also hold entries that are not known to be committed yet.
        let end = self.checker.floor();
        !host.removed && view.in_chain(host.member()) && host.disk.recover().log.end() >= end
    }

    /// Whether the process of a machine is not needed, whichever others run: the latest view does not include it, and the
    /// view that it knows is durable on a majority of that view's voters.
    fn is_outside(&self, machine: usize) -> bool {
        let host = &self.machines[machine];
        let (Some(latest), me) = (self.latest_view(), host.member()) else { return true };
        let Some(known) = host.control_node.as_ref().and_then(|control_node| control_node.view()) else {
            return true;
        };
        let others = || (0..self.machines.len()).filter(|m| *m != machine && !self.machines[*m].removed);
        let is_voter = |m: &usize| known.is_voter(self.machines[*m].member());
        let knowing = others().filter(|m| is_voter(m) && self.has_on_disk(*m, known)).count();
        let is_named = latest.is_voter(me) || latest.in_chain(me);
        !is_named && knowing > known.voters.len() / 2 && others().any(|m| self.holds_all(m, &latest))
    }

    /// Whether the disk of a machine holds this view or a later one.
    fn has_on_disk(&self, machine: usize, view: &View) -> bool {
        let durable = self.machines[machine].disk.recover().agreement.and_then(|state| state.view);
        durable.is_some_and(|durable| durable.epoch >= view.epoch)
    }

    /// Ends a process that is shutting down once it may leave or its deadline has passed. Returns `true` if it ended.
    pub fn exit_if_due(&mut self, machine: usize) -> bool {
        let host = &self.machines[machine];
        let (Some(shutdown), Some(control_node)) = (host.shutdown, &host.control_node) else { return false };
        let may_leave = self.scenario.planted_bug == Some(super::scenario::PlantedBug::HastyShutdowns)
            || control_node.may_leave();
        let handed_over = may_leave && host.calls.is_empty();
        if !handed_over && self.now < shutdown.deadline {
            return false;
        }
        if handed_over && !self.others_suffice_without(machine) && !self.is_outside(machine) {
            let state = self.describe();
            self.checker.fail(format!("machine {machine} exits while the others need it; {state}"));
        }
        self.trace(|| format!("machine {machine}: ends, handed over: {handed_over}"));
        self.summary.graceful_shutdowns += 1;
        self.summary.handed_over += u64::from(handed_over);
        self.recovery.unstable_at = self.now;
        match shutdown.after_shutdown {
            AfterShutdown::Restart(pause) => self.crash(machine, true, pause),
            AfterShutdown::Removed => {
                self.stop_process(machine);
                self.machines[machine].removed = true;
                self.machines[machine].lost = None;
                let address = self.machines[machine].address;
                for other in (0..self.machines.len()).filter(|m| *m != machine) {
                    self.link_closed(other, address);
                }
                self.renew_seeds();
            }
        }
        true
    }
}
