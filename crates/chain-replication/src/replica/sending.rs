//! Sending entries to the successor and to learners.

use orchidvalve_protocol::identity::MemberId;

use crate::entry::{Entry, LogReader};
use crate::limits::BATCH_BYTES;
use crate::message::Message;
use crate::output::Output;
use crate::replica::Replica;
use crate::sequence::Sequence;

impl Replica {
    /// Returns the members that receive entries from this one: the successor and, at the tail, the learners.
    pub(super) fn receivers(&self) -> Vec<MemberId> {
        let mut receivers: Vec<MemberId> = self.view.successor(self.me).into_iter().collect();
        if self.view.tail() == Some(self.me) {
            receivers.extend(self.view.learners.iter().filter(|&&learner| !self.view.is_member(learner)));
        }
        receivers
    }

    /// Returns the highest sequence up to which the log is durable here and equal to the head's.
    pub(super) fn sendable(&self) -> Sequence {
        self.durable.min(self.predecessor.matched)
    }

    /// Requests the positions of members that receive entries from this one.
    pub(super) fn locate(&self, receivers: Vec<MemberId>, outputs: &mut Vec<Output>) {
        let message = Message::Locate { epoch: self.view.epoch };
        outputs.extend(receivers.into_iter().map(|to| Output::Send { to, message: message.clone() }));
    }

    /// Sends the position of this log to the predecessor, which then sends the missing entries.
    pub(super) fn send_position(&mut self, outputs: &mut Vec<Output>) {
        let Some(to) = self.view.predecessor(self.me) else { return };
        self.predecessor.position_id = self.predecessor.position_id.wrapping_add(1);
        self.predecessor.sent_at = self.now;
        self.predecessor.awaiting = true;
        let message = Message::Position {
            epoch: self.view.epoch,
            position_id: self.predecessor.position_id,
            first: self.log.first(),
            runs: self.log.runs().to_vec(),
            end: self.log.end(),
        };
        outputs.push(Output::Send { to, message });
    }

    /// Sends the entries that are due to one successor or learner.
    pub(super) fn replicate(&mut self, index: usize, reader: &dyn LogReader, outputs: &mut Vec<Output>) {
        let Some(position_id) = self.progress[index].position_id else { return };
        self.skip_matching(index);
        let first = self.log.first();
        if self.progress[index].next < first {
            let progress = &mut self.progress[index];
            progress.next = first;
            progress.probe = true;
            let previous_epoch = self.log.epoch_at(first - 1).unwrap_or(0);
            let message =
                Message::Reset { epoch: self.view.epoch, position_id, start: first, previous_epoch };
            outputs.push(Output::Send { to: progress.member, message });
        }
        while self.progress[index].next <= self.sendable() && self.progress[index].has_capacity() {
            self.send_batch(index, reader, outputs);
        }
        if self.progress[index].probe {
            self.send_entries(index, Vec::new(), outputs);
        }
    }

    /// Advances over the entries that the member has according to its position.
    fn skip_matching(&mut self, index: usize) {
        let sendable = self.sendable();
        let Some(peer_log) = &self.progress[index].peer_log else { return };
        // Entries that the member has trimmed are committed, so they are the same here.
        let trimmed = sendable.min(peer_log.first() - 1);
        let common = self.log.common_with(peer_log, sendable).map_or(trimmed, |known| known.max(trimmed));
        let is_comparison_complete = common < sendable || peer_log.end() <= sendable;
        let progress = &mut self.progress[index];
        let next = common + 1;
        if next > progress.next {
            progress.next = next;
            progress.probe = true;
        }
        if is_comparison_complete {
            progress.peer_log = None;
        }
    }

    fn send_batch(&mut self, index: usize, reader: &dyn LogReader, outputs: &mut Vec<Output>) {
        let mut entries = Vec::new();
        reader.read(self.progress[index].next, self.sendable(), BATCH_BYTES, &mut entries);
        let Some(last) = entries.last().map(|entry| entry.sequence) else {
            debug_assert!(false, "the log holds what was reported durable");
            self.progress[index].position_id = None;
            return;
        };
        let bytes = entries.iter().map(|entry| entry.payload.len()).sum();
        self.send_entries(index, entries, outputs);
        let now = self.now;
        self.progress[index].sent(last, bytes, now);
    }

    fn send_entries(&mut self, index: usize, entries: Vec<Entry>, outputs: &mut Vec<Output>) {
        let progress = &mut self.progress[index];
        let Some(position_id) = progress.position_id else { return };
        progress.probe = false;
        progress.sent_committed = self.committed;
        let previous_sequence = progress.next - 1;
        let message = Message::Entries {
            epoch: self.view.epoch,
            position_id,
            previous_sequence,
            previous_epoch: self.log.epoch_at(previous_sequence).unwrap_or(0),
            entries,
            committed: self.committed,
            epoch_base: self.predecessor.epoch_base,
        };
        outputs.push(Output::Send { to: progress.member, message });
    }
}
