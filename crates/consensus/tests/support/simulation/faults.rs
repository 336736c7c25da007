//! Injection of faults, and its end.

use orchidvalve_consensus::Agreement;
use orchidvalve_protocol::identity::MemberId;
use rand::Rng;

use super::{Event, Machine, Simulation};

impl Simulation {
    pub(super) fn fault(&mut self) {
        if self.faults_ended {
            return;
        }
        let next = self.now + self.random.random_range(1..self.plan.fault_interval * 2);
        self.schedule(next, Event::Fault);
        let machine = self.random.random_range(0..self.machines.len());
        let down = self.now + self.random.random_range(50..4_000);
        match self.random.random_range(0..10) {
            0..3 => self.partition(),
            3..5 => self.partitions.clear(),
            5..7 => self.freeze(machine, down),
            7 => self.wipe(machine, down),
            8 => {
                self.summary.power_losses += 1;
                self.stop(machine);
                self.schedule(down, Event::Start { machine });
            }
            _ => {
                if self.random.random_bool(0.2) {
                    for machine in 0..self.machines.len() {
                        if self.machines[machine].agreement.is_some() {
                            self.stop(machine);
                            self.schedule(down, Event::Start { machine });
                        }
                    }
                }
            }
        }
    }

    pub(super) fn partition(&mut self) {
        let from = self.random.random_range(0..self.machines.len());
        let to = self.random.random_range(0..self.machines.len());
        self.partitions.push((from, to));
        if self.random.random_bool(0.5) {
            self.partitions.push((to, from));
        }
    }

    pub(super) fn freeze(&mut self, machine: usize, until: u64) {
        if self.machines[machine].is_running() {
            self.summary.freezes += 1;
            self.machines[machine].frozen = true;
            self.schedule(until, Event::Thaw { machine });
        }
    }

    pub(super) fn thaw(&mut self, machine: usize) {
        let node = &mut self.machines[machine];
        if !node.frozen {
            return;
        }
        node.frozen = false;
        let inbox = std::mem::take(&mut node.inbox);
        let tick_first = self.random.random_bool(0.5);
        if tick_first {
            self.drive(machine, Agreement::tick);
        }
        for (from, message) in inbox {
            let to = self.machines[machine].me;
            self.deliver(from, to, message);
        }
        if !tick_first {
            self.drive(machine, Agreement::tick);
        }
    }

    /// A machine loses its disk if the others can tolerate that: a chain of three or more is complete, no write or
    /// instance is pending, and all voters except this one have their disks.
    pub(super) fn wipe(&mut self, machine: usize, until: u64) {
        let Some((_, (view, _))) = self.decided.last_key_value() else { return };
        let has_disk = |voter: &MemberId| self.machines.iter().any(|node| node.me == *voter);
        let settled = |node: &Machine| node.disk.as_ref().is_none_or(|disk| disk.acceptor.accepted.is_none());
        let idle = |node: &Machine| node.writes.is_empty() && settled(node);
        let synced = |entry: &MemberId| {
            self.machines.iter().any(|node| node.me == *entry && node.synced_in == view.epoch)
        };
        let tolerable = view.chain.len() >= 3
            && view.voters.iter().all(has_disk)
            && self.machines.iter().all(idle)
            && view.chain.iter().all(synced);
        if !tolerable {
            return;
        }
        self.summary.wipes += 1;
        self.stop(machine);
        let node = &mut self.machines[machine];
        node.me.disk += 1;
        node.bootstrap = false;
        node.disk = None;
        node.log.clear();
        node.synced_in = 0;
        node.view = None;
        self.schedule(until, Event::Start { machine });
    }

    pub(super) fn end_faults(&mut self) {
        self.faults_ended = true;
        self.partitions.clear();
        for machine in 0..self.machines.len() {
            if self.machines[machine].frozen {
                self.thaw(machine);
            }
            self.start(machine);
        }
    }
}
