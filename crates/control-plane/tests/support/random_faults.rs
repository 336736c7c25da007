//! Random faults of the simulated machines, and the checks once all faults are over.

use orchidvalve_control_plane::node::ControlNode;
use rand::Rng;
use rand::seq::IndexedRandom;

use super::cluster::{Cluster, Event, address};

/// The longest time in ms for which a machine that has returned still counts as lost.
pub const RECOVERY_MS: u64 = 4_000;
/// Time in ms after the last fault from which a system without faults acknowledges changes.
const CALM_MS: u64 = 3_000;
/// A system without faults acknowledges a change within this time in ms.
const ANSWER_MS: u64 = 1_000;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RandomFault {
    /// The process ends; all written records stay on the disk.
    Kill,
    PowerLoss,
    /// The machine loses power and comes back with an empty disk.
    Wipe,
    Freeze,
    /// Either no messages from the machine arrive, or no messages to it.
    OneWayPartition,
    /// Messages from the machine to one other machine are lost.
    SingleLinkPartition,
    DiskHang,
    /// The machine is removed permanently, and an empty one is added at another address.
    Replacement,
    /// All machines lose power at once.
    PowerLossOfAll,
    /// All processes end at once.
    KillOfAll,
    /// All machines lose power at once, and one of them also loses its disk.
    PowerLossOfAllAndWipe,
}

/// Faults of single machines.
pub const SINGLE_MACHINE_FAULTS: [RandomFault; 8] = [
    RandomFault::Kill,
    RandomFault::PowerLoss,
    RandomFault::Wipe,
    RandomFault::Freeze,
    RandomFault::OneWayPartition,
    RandomFault::SingleLinkPartition,
    RandomFault::DiskHang,
    RandomFault::Replacement,
];

impl Cluster {
    pub fn fault(&mut self) {
        let (_, last) = self.scenario.fault_window;
        let interval = self.scenario.fault_interval;
        let pause = self.random.random_range(1..=interval * 2);
        if self.now + pause < last {
            self.schedule(pause, Event::RandomFault);
        }
        let Some(fault) = self.scenario.faults.choose(&mut self.random).copied() else { return };
        let lost = self.lost();
        let blackout = matches!(
            fault,
            RandomFault::PowerLossOfAll | RandomFault::KillOfAll | RandomFault::PowerLossOfAllAndWipe
        );
        if lost >= self.scenario.tolerance || (blackout && lost > 0) {
            return;
        }
        let healthy: Vec<usize> =
            self.living().into_iter().filter(|m| self.machines[*m].lost.is_none()).collect();
        let Some(machine) = healthy.choose(&mut self.random).copied() else { return };
        self.summary.faults += 1;
        self.inject(fault, machine);
    }

    pub fn inject(&mut self, fault: RandomFault, machine: usize) {
        self.machines[machine].lost = Some(u64::MAX);
        let pause = self.random.random_range(20..3_000);
        self.trace(|| format!("machine {machine}: {fault:?} for {pause} ms"));
        match fault {
            RandomFault::Kill => self.crash(machine, true, pause),
            RandomFault::PowerLoss => self.crash(machine, false, pause),
            RandomFault::Wipe => self.wipe(machine, pause),
            RandomFault::Freeze => {
                self.machines[machine].frozen = true;
                self.schedule(pause, Event::Thaw { machine });
            }
            RandomFault::OneWayPartition => {
                let outwards = self.random.random_bool(0.5);
                let others: Vec<usize> = (0..self.machines.len()).filter(|m| *m != machine).collect();
                let partition = |other: usize| if outwards { (machine, other) } else { (other, machine) };
                self.blocked_links.extend(others.into_iter().map(partition));
                self.schedule(pause, Event::HealPartition { machine });
            }
            RandomFault::SingleLinkPartition => {
                let others: Vec<usize> = (0..self.machines.len()).filter(|m| *m != machine).collect();
                let other = others.choose(&mut self.random).copied();
                self.blocked_links.extend(other.map(|other| (machine, other)));
                self.schedule(pause, Event::HealPartition { machine });
            }
            RandomFault::DiskHang => {
                self.machines[machine].hanging = true;
                self.schedule(pause, Event::DiskWorks { machine });
            }
            RandomFault::Replacement => self.replace(machine, pause),
            RandomFault::PowerLossOfAll => self.crash_all(false),
            RandomFault::KillOfAll => self.crash_all(true),
            RandomFault::PowerLossOfAllAndWipe => {
                self.crash_all(false);
                self.empty_disk(machine);
            }
        }
    }

    /// Ends a process at once. `tells`: the machine stays up and closes the process's connections.
    pub fn crash(&mut self, machine: usize, tells: bool, pause: u64) {
        let address = self.machines[machine].address;
        self.machines[machine].lost = Some(u64::MAX);
        self.stop_process(machine);
        if tells {
            for other in (0..self.machines.len()).filter(|m| *m != machine) {
                self.link_closed(other, address);
            }
        }
        self.schedule(pause, Event::Start { machine });
    }

    pub fn stop_process(&mut self, machine: usize) {
        let host = &mut self.machines[machine];
        host.shutdown = None;
        host.down_since = self.now;
        host.control_node = None;
        host.frozen = false;
        host.inbox.clear();
        host.session_inbox.clear();
        host.sessions.clear();
        let waiting = std::mem::take(&mut host.operator_inbox);
        host.syncing = false;
        host.hanging = false;
        host.disk.crash(&mut self.random);
        let calls = std::mem::take(&mut host.calls);
        for attempt in waiting {
            self.connection_reset(attempt);
        }
        for call in calls.into_values() {
            self.lost_call(call);
        }
    }

    fn crash_all(&mut self, tells: bool) {
        self.summary.blackouts += 1;
        self.blocked_links.clear();
        for machine in 0..self.machines.len() {
            if !self.machines[machine].removed {
                let pause = self.random.random_range(20..1_500);
                self.crash(machine, tells, pause);
            }
        }
    }

    /// Injects a fault of all machines, right after an acknowledgement.
    pub fn blackout(&mut self) {
        if self.quiet || self.lost() > 0 {
            return;
        }
        let living = self.living();
        let Some(machine) = living.choose(&mut self.random).copied() else { return };
        let kinds = [RandomFault::PowerLossOfAll, RandomFault::KillOfAll, RandomFault::PowerLossOfAllAndWipe];
        let kind = kinds[self.random.random_range(0..kinds.len())];
        self.inject(kind, machine);
    }

    fn empty_disk(&mut self, machine: usize) {
        self.disks += 1;
        let disk = self.new_disk();
        let host = &mut self.machines[machine];
        host.disk_identity = self.disks;
        host.disk = disk;
        host.bootstrap = false;
    }

    pub fn wipe(&mut self, machine: usize, pause: u64) {
        self.crash(machine, false, pause);
        self.empty_disk(machine);
    }

    pub fn replace(&mut self, machine: usize, pause: u64) {
        self.stop_process(machine);
        self.machines[machine].removed = true;
        self.machines[machine].lost = None;
        let number = self.machines.len() as u8 + 1;
        self.add_machine(address(number), false);
        let machine = self.machines.len() - 1;
        self.machines[machine].lost = Some(u64::MAX);
        self.renew_seeds();
        self.schedule(pause, Event::Start { machine });
    }

    pub fn heal_partition(&mut self, machine: usize) {
        self.blocked_links.retain(|(from, to)| *from != machine && *to != machine);
        self.machines[machine].isolated = false;
        self.heal_client_partitions(machine);
        if self.machines[machine].control_node.is_some() && !self.machines[machine].frozen {
            self.machines[machine].lost = Some(self.now);
        }
    }

    pub fn disk_works(&mut self, machine: usize) {
        if self.machines[machine].hanging {
            self.machines[machine].hanging = false;
            self.machines[machine].lost = Some(self.now);
            self.begin_sync(machine);
        }
    }

    pub fn end_faults(&mut self) {
        self.quiet = true;
        self.blocked_links.clear();
        for machine in 0..self.machines.len() {
            self.machines[machine].isolated = false;
            self.heal_client_partitions(machine);
        }
        for machine in 0..self.machines.len() {
            self.schedule(0, Event::Thaw { machine });
            self.schedule(0, Event::Start { machine });
            self.schedule(0, Event::DiskWorks { machine });
        }
        self.schedule(CALM_MS, Event::Probe);
        self.schedule(CALM_MS + ANSWER_MS, Event::CheckChain);
    }

    /// Whether every machine knows the latest view, and as many of them as the tolerance requires are voters and in
    /// the chain. Further machines are standbys.
    pub fn chain_is_complete(&self) -> bool {
        let Some(view) = self.latest_view() else { return false };
        let present: Vec<&super::cluster::Machine> = self.machines.iter().filter(|m| !m.removed).collect();
        let knows = |m: &&super::cluster::Machine| {
            m.is_running()
                && m.control_node.as_ref().is_some_and(|control_node| control_node.view() == Some(&view))
        };
        let required = present.len().min(2 * self.scenario.tolerance + 1);
        let in_chain = present.iter().filter(|m| view.in_chain(m.member())).count();
        present.iter().all(knows) && in_chain == required && view.voters.len() == required
    }

    pub fn check_chain(&mut self) {
        if let Some(change) = self.clients.open_probe(&self.checker) {
            let message =
                format!("a system without faults has not acknowledged {change:?} within {ANSWER_MS} ms");
            return self.checker.fail(message);
        }
        if self.chain_is_complete() {
            self.clients.stop();
            self.operators.stop();
            // Requests in flight complete in the meantime, and the last machine receives the last commit.
            return self.schedule(2_000, Event::End);
        }
        let (_, last) = self.scenario.fault_window;
        if self.now >= last + self.scenario.back_within {
            let view = self.latest_view();
            let message = format!("the chain is not complete after the faults: {view:?}");
            return self.checker.fail(message);
        }
        self.schedule(250, Event::CheckChain);
    }

    /// Checks that all machines hold the same state, including every committed change.
    pub fn finish(&mut self) {
        let end = self.checker.end();
        for machine in self.living() {
            self.check_state(machine);
            let applied = self.machines[machine].control_node.as_ref().map_or(0, ControlNode::applied);
            if applied != end {
                let message = format!("machine {machine} is at {applied} at the end, {end} are committed");
                self.checker.fail(message);
            }
        }
        if !self.subscribers_have(end) {
            self.checker.fail(format!("a subscriber does not have all {end} changes at the end"));
        }
        self.check_history();
        self.recovery.finish();
        self.stop();
    }
}
