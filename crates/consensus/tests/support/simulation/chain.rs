//! The model of the replicated chain: which machines are in sync, and which entries are acknowledged.

use orchidvalve_consensus::View;
use orchidvalve_protocol::identity::MemberId;
use rand::Rng;

use super::{Machine, Simulation};

impl Simulation {
    /// A member of the chain copies what its predecessor holds in this epoch, a learner copies what the tail holds.
    pub(super) fn synchronise(&mut self, machine: usize) {
        let Some(view) = self.machines[machine].view.clone() else { return };
        let me = self.machines[machine].me;
        if self.machines[machine].disk_epoch() != view.epoch {
            return;
        }
        if self.machines[machine].synced_in == view.epoch {
            if self.random.random_bool(0.05) {
                self.report_caught_up(machine, &view);
            }
            return;
        }
        let position = view.chain.iter().position(|entry| *entry == me);
        if position == Some(0) {
            let complete = self.holds_acknowledged(&self.machines[machine], view.epoch);
            assert!(complete, "{}: the head of {view:?} lacks acknowledged entries", self.context());
        } else {
            let source = position.map_or(view.chain.len(), |position| position) - 1;
            let Some(log) = self.synced_log(view.chain[source], machine, view.epoch) else { return };
            if self.random.random_bool(0.5) {
                return;
            }
            self.machines[machine].log = log;
        }
        self.machines[machine].synced_in = view.epoch;
        self.report_caught_up(machine, &view);
    }

    /// Reports that a machine is in sync: a member of the chain reports itself, a learner is reported by itself or by
    /// the tail.
    pub(super) fn report_caught_up(&mut self, machine: usize, view: &View) {
        let me = self.machines[machine].me;
        let by_tail = !view.in_chain(me) && self.random.random_bool(0.5);
        let tail = self.machines.iter().position(|node| Some(node.me) == view.tail() && node.is_running());
        let reporter = if by_tail { tail.unwrap_or(machine) } else { machine };
        self.drive(reporter, |agreement, _, outputs| agreement.member_caught_up(me, view.epoch, outputs));
    }

    /// Returns true if a machine holds every entry that was acknowledged up to `epoch`.
    pub(super) fn holds_acknowledged(&self, node: &Machine, epoch: u64) -> bool {
        let mut entries = self.acknowledged.iter().enumerate();
        entries.all(|(entry, acknowledged_in)| {
            *acknowledged_in > epoch || node.log.binary_search(&(entry as u32)).is_ok()
        })
    }

    pub(super) fn synced_log(&self, source: MemberId, reader: usize, epoch: u64) -> Option<Vec<u32>> {
        let index = self.machines.iter().position(|node| node.me == source)?;
        let node = &self.machines[index];
        let synced = node.is_running() && node.synced_in == epoch && node.chain_epoch() == epoch;
        (synced && !self.partitions.contains(&(index, reader))).then(|| node.log.clone())
    }

    /// The head acknowledges an entry if all members of the chain are in sync in its epoch.
    pub(super) fn acknowledge(&mut self, machine: usize) {
        let Some(view) = self.machines[machine].view.clone() else { return };
        if view.head() != Some(self.machines[machine].me) || self.random.random_bool(0.5) {
            return;
        }
        let index = |entry: &MemberId| self.machines.iter().position(|node| node.me == *entry);
        let Some(chain) = view.chain.iter().map(index).collect::<Option<Vec<usize>>>() else { return };
        let takes_part = |node: &Machine| {
            node.is_running() && node.synced_in == view.epoch && node.chain_epoch() == view.epoch
        };
        if chain.iter().all(|node| takes_part(&self.machines[*node])) {
            let entry = self.acknowledged.len() as u32;
            self.acknowledged.push(view.epoch);
            for node in chain {
                self.machines[node].log.push(entry);
            }
        }
    }
}
