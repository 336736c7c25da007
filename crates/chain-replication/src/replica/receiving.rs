//! Handling of messages from the neighbours in the chain.

use orchidvalve_protocol::identity::MemberId;

use crate::entry::{Entry, LogReader};
use crate::epoch_runs::EpochRuns;
use crate::message::Message;
use crate::output::{Output, Violation};
use crate::replica::Replica;
use crate::sequence::{EntryId, Epoch, PositionId, Sequence};

impl Replica {
    /// Handles a message from `from`.
    pub fn message_received(
        &mut self,
        from: MemberId,
        message: Message,
        reader: &dyn LogReader,
        outputs: &mut Vec<Output>,
    ) {
        if self.view.epoch == 0 || message.epoch() != self.view.epoch {
            return;
        }
        match message {
            Message::Position { position_id, first, runs, end, .. } => {
                let peer_log = EpochRuns::new(first.max(1), end, runs);
                self.handle_position(from, position_id, peer_log, reader, outputs);
            }
            Message::Locate { .. } => {
                if self.view.predecessor(self.me) == Some(from) {
                    self.send_position(outputs);
                }
            }
            Message::Entries {
                position_id,
                previous_sequence,
                previous_epoch,
                entries,
                committed,
                epoch_base,
                ..
            } => {
                if self.view.predecessor(self.me) == Some(from) {
                    if self.predecessor.learn_epoch_base(epoch_base) {
                        self.progress.iter_mut().for_each(|progress| progress.probe = true);
                    }
                    let previous = EntryId { sequence: previous_sequence, epoch: previous_epoch };
                    self.handle_entries(from, position_id, previous, entries, outputs);
                    self.truncate_stale_suffix(outputs);
                    self.predecessor.committed = self.predecessor.committed.max(committed);
                    self.advance(reader, outputs);
                }
            }
            Message::Acknowledge { sequence, .. } => self.handle_acknowledge(from, sequence, reader, outputs),
            Message::Reset { position_id, start, previous_epoch, .. } => {
                if self.view.predecessor(self.me) == Some(from) && position_id == self.predecessor.position_id
                {
                    self.handle_reset(start, previous_epoch, outputs);
                    self.advance(reader, outputs);
                }
            }
            Message::Confirm { round, .. } => self.handle_confirm(from, round, outputs),
            Message::Confirmed { round, committed, .. } => {
                self.handle_confirmed(from, round, committed, outputs);
            }
        }
    }

    /// Handles the position of a receiver: replication to it restarts after the entries that both logs have.
    pub(super) fn handle_position(
        &mut self,
        from: MemberId,
        position_id: PositionId,
        peer_log: EpochRuns,
        reader: &dyn LogReader,
        outputs: &mut Vec<Output>,
    ) {
        let Some(index) = self.progress.iter().position(|progress| progress.member == from) else {
            return;
        };
        self.progress[index].start_at_position(position_id, peer_log, self.now);
        self.replicate(index, reader, outputs);
    }

    /// Handles the entries after `previous` from the predecessor.
    pub(super) fn handle_entries(
        &mut self,
        from: MemberId,
        position_id: PositionId,
        previous: EntryId,
        entries: Vec<Entry>,
        outputs: &mut Vec<Output>,
    ) {
        if previous.sequence > self.predecessor.matched {
            if self.log.epoch_at(previous.sequence) != Some(previous.epoch) {
                if !self.predecessor.awaiting {
                    self.send_position(outputs);
                }
                return;
            }
            self.predecessor.matched = previous.sequence;
        }
        if position_id == self.predecessor.position_id {
            self.predecessor.awaiting = false;
        }
        if entries.last().is_none_or(|last| last.sequence <= self.predecessor.matched) {
            // No new entry: the predecessor has missed an acknowledgement or probes for one.
            self.predecessor.acknowledged = None;
        }
        for entry in entries {
            if !self.accept_entry(from, entry, outputs) {
                return;
            }
        }
    }

    /// Accepts the next entry after the matched ones. Returns false if the entry is not acceptable.
    fn accept_entry(&mut self, from: MemberId, entry: Entry, outputs: &mut Vec<Output>) -> bool {
        let (sequence, epoch) = (entry.sequence, entry.epoch);
        if sequence <= self.predecessor.matched {
            let contradicts = sequence >= self.log.first() && self.log.epoch_at(sequence) != Some(epoch);
            if contradicts {
                outputs.push(Output::Refused(Violation::MatchedEntry { from, sequence, epoch }));
            }
            return !contradicts;
        }
        if sequence != self.predecessor.matched + 1 {
            return false;
        }
        if sequence <= self.log.end() && self.log.epoch_at(sequence) != Some(epoch) {
            if sequence <= self.committed {
                outputs.push(Output::Refused(Violation::CommittedEntry { from, sequence, epoch }));
                return false;
            }
            self.truncate(sequence - 1, outputs);
        }
        if sequence > self.log.end() {
            self.log.append(epoch);
            outputs.push(Output::Append(entry));
        }
        self.predecessor.matched = sequence;
        true
    }

    /// Discards entries of earlier epochs that the head did not have when it entered the view.
    pub(super) fn truncate_stale_suffix(&mut self, outputs: &mut Vec<Output>) {
        let Some(epoch_base) = self.predecessor.epoch_base else { return };
        let keep = epoch_base.max(self.predecessor.matched).max(self.committed);
        let end = self.log.end();
        if end > keep && self.log.epoch_at(end) != Some(self.view.epoch) {
            self.truncate(keep, outputs);
        }
    }

    fn truncate(&mut self, after: Sequence, outputs: &mut Vec<Output>) {
        debug_assert!(after >= self.committed, "a committed entry is never truncated");
        self.log.truncate(after);
        self.durable = self.durable.min(after);
        outputs.push(Output::Truncate { after });
    }

    /// Handles a reset: the predecessor no longer holds entries before `start`, so the log restarts there.
    pub(super) fn handle_reset(&mut self, start: Sequence, previous_epoch: Epoch, outputs: &mut Vec<Output>) {
        if start == 0 || start - 1 <= self.predecessor.matched {
            return;
        }
        self.log.reset(start, previous_epoch);
        self.durable = start - 1;
        self.committed = start - 1;
        self.predecessor.matched = start - 1;
        outputs.push(Output::Reset { start, previous_epoch });
    }

    /// Handles an acknowledgement: the entries up to `sequence` are on all disks from that receiver to the tail.
    pub(super) fn handle_acknowledge(
        &mut self,
        from: MemberId,
        sequence: Sequence,
        reader: &dyn LogReader,
        outputs: &mut Vec<Output>,
    ) {
        let sequence = sequence.min(self.sendable());
        let now = self.now;
        let Some(index) = self.progress.iter().position(|progress| progress.member == from) else {
            return;
        };
        if self.progress[index].acknowledge(sequence, now) {
            self.advance(reader, outputs);
        }
    }
}
