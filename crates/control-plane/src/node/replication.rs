//! Replication of the log: appends changes, applies committed ones, writes checkpoints and releases disk space.

use std::rc::Rc;

use orchidvalve_chain_replication::{Output as ChainOutput, Sequence};
use orchidvalve_control_state::{Applied, Change};
use orchidvalve_protocol::frames::encode;

use super::{ControlNode, Disk, NodeOutput};
use crate::disk_records::DiskRecord;
use crate::peer_messages::PeerMessage;

impl<D: Disk> ControlNode<D> {
    /// Reports to the replica up to which entry the log is durable on this node.
    pub(super) fn report_durable_entries(&mut self) {
        let through = self.log.durable_through(self.disk.durable_position());
        let mut outputs = Vec::new();
        self.replica.entries_durable(through, &self.log, &mut outputs);
        self.apply_chain_outputs(outputs);
    }

    /// Carries out the outputs of the replica, in order.
    pub(super) fn apply_chain_outputs(&mut self, outputs: Vec<ChainOutput>) {
        let mut appended = false;
        for output in outputs {
            match output {
                ChainOutput::Append(entry) => {
                    let position = self.disk.append(&DiskRecord::Entry(entry.clone()));
                    self.log.append(entry, position);
                    appended = true;
                }
                ChainOutput::Truncate { after } => {
                    self.disk.append(&DiskRecord::Truncate { after });
                    self.log.truncate(after);
                    self.state.discard_tentative();
                }
                ChainOutput::Reset { start, previous_epoch } => {
                    self.disk.append(&DiskRecord::Reset { start, previous_epoch });
                    self.log.reset(start, previous_epoch);
                    self.state.reset(start);
                }
                ChainOutput::Send { to, message } => {
                    self.outputs.push(NodeOutput::Send { to, message: PeerMessage::Chain(message) });
                }
                ChainOutput::Committed { through } => self.apply_through(through),
                ChainOutput::Synchronized { epoch } => self.member_caught_up(self.config.me, epoch),
                ChainOutput::LearnerCaughtUp { member, epoch } => self.member_caught_up(member, epoch),
                ChainOutput::Confirmed { barrier, committed } => self.barrier_confirmed(barrier, committed),
                ChainOutput::Refused(violation) => log::error!("{violation}"),
            }
        }
        if appended {
            self.report_new_durable_entries();
        }
    }

    /// Reports entries whose records were already durable when they were appended. This does not occur in practice.
    fn report_new_durable_entries(&mut self) {
        if self.log.durable_through(self.disk.durable_position()) > self.replica.durable_through() {
            self.report_durable_entries();
        }
    }

    /// Applies the committed entries up to `through` to the control state, and reports the outcomes of the requests that
    /// they decide.
    fn apply_through(&mut self, through: Sequence) {
        let first = self.state.applied() + 1;
        let mut changes = Vec::new();
        while self.state.applied() < through {
            let Some(entry) = self.log.get(self.state.applied() + 1) else { break };
            let payload = entry.payload.clone();
            if self.state.apply_committed(&payload) {
                self.checkpoints.set_applied(self.state.applied());
            }
            changes.push(payload);
        }
        if !changes.is_empty() {
            self.outputs.push(NodeOutput::Committed { first, changes });
        }
        self.compact();
        self.report_decided_outcomes();
    }

    /// Drops the entries before the latest committed checkpoint.
    fn compact(&mut self) {
        let Some(first) = self.checkpoints.take_compaction_point(&self.log) else { return };
        self.log.compact(first);
        self.replica.trimmed(first);
        let previous_epoch = self.log.previous_epoch();
        self.disk.append(&DiskRecord::Compacted { first, previous_epoch });
        self.release();
    }

    /// Releases the records before the oldest one needed. The state of the agreement is written again if its record would
    /// prevent the release of all later ones, and the leadership epoch if its record is released.
    pub(super) fn release(&mut self) {
        let Some(oldest) = self.log.oldest_disk_position() else { return };
        let agreement_position = self.agreement_record.durable_position();
        if agreement_position < oldest && self.log.first() > 1 && !self.agreement_record.is_being_written() {
            self.write_agreement(None);
        }
        let released_before = oldest.min(agreement_position);
        if released_before > self.disk.released_before() {
            let epoch = self.epoch();
            if self.leadership.is_released(epoch, released_before) {
                self.write_leadership_epoch(epoch);
            }
            self.disk.release_before(released_before);
        }
    }

    /// Writes the entry that begins the term, once this node is the established head. This is done once in each view and
    /// each start of the process.
    pub(super) fn begin_term_if_due(&mut self) {
        if !self.leadership.has_term_entry() && self.is_established_head() {
            let entry = self.replicate(&Change::BeginTerm);
            self.leadership.set_term_entry(entry);
        }
    }

    /// Proposes a checkpoint if this node is the established head and the log has grown long enough.
    pub(super) fn checkpoint_if_due(&mut self) {
        if self.checkpoints.is_due(&self.log, self.state.applied()) && self.is_established_head() {
            // The checkpoint includes uncommitted entries: under load there are always some.
            let snapshot = self.state.tentative(&self.log).snapshot();
            if self.propose(Change::Checkpoint(snapshot)) {
                self.checkpoints.set_proposed(self.log.end());
            }
        }
    }

    /// Proposes a change on behalf of this node itself; nothing waits for its outcome. Returns false if it cannot be
    /// proposed now.
    pub fn propose(&mut self, change: Change) -> bool {
        if !self.is_established_head() {
            return false;
        }
        match self.state.tentative(&self.log).apply(&change) {
            Ok(Applied::Changed) => self.replicate(&change).is_some(),
            Ok(Applied::Unchanged) => true,
            Err(error) => {
                log::warn!("control: a change proposed by this node is invalid: {error}");
                false
            }
        }
    }

    /// Appends a change as the head, and returns its sequence number; `None` if that is not possible.
    pub(super) fn replicate(&mut self, change: &Change) -> Option<Sequence> {
        let mut outputs = Vec::new();
        let sequence = self.replica.propose(Rc::from(encode(change)), &mut outputs);
        self.apply_chain_outputs(outputs);
        sequence
    }
}
