//! Commit and acknowledgement of entries.

use crate::entry::LogReader;
use crate::message::Message;
use crate::output::Output;
use crate::replica::Replica;
use crate::sequence::Sequence;

impl Replica {
    /// Sends, acknowledges and commits everything that the latest input permits.
    pub(super) fn advance(&mut self, reader: &dyn LogReader, outputs: &mut Vec<Output>) {
        if !self.predecessor.synchronized
            && (self.is_member() || self.view.learners.contains(&self.me))
            && self.predecessor.epoch_base.is_some_and(|epoch_base| self.sendable() >= epoch_base)
        {
            self.predecessor.synchronized = true;
            if self.is_member() {
                outputs.push(Output::Synchronized { epoch: self.view.epoch });
            }
        }
        self.commit_through(self.predecessor.committed, outputs);
        for index in 0..self.progress.len() {
            self.replicate(index, reader, outputs);
        }
        self.acknowledge(outputs);
        self.report_caught_up_learners(outputs);
        self.complete_barriers(outputs);
    }

    /// Commits, and acknowledges to the predecessor, the entries that all members from this one to the tail have on
    /// disk: an entry that reached the tail is on all disks (van Renesse and Schneider 2004, section 3).
    pub(super) fn acknowledge(&mut self, outputs: &mut Vec<Output>) {
        let reached = match self.view.successor(self.me) {
            None => self.sendable(),
            Some(successor) => {
                let progress = self.progress.iter().find(|progress| progress.member == successor);
                let Some(sequence) = progress.and_then(|progress| progress.acknowledged) else {
                    return;
                };
                sequence
            }
        };
        if self.is_member() && self.view.can_commit() {
            self.commit_through(reached, outputs);
        }
        // Until the position has a reply, no entry is known to equal the predecessor's.
        let Some(to) = self.view.predecessor(self.me) else { return };
        if !self.predecessor.awaiting && self.predecessor.acknowledged.is_none_or(|known| known < reached) {
            self.predecessor.acknowledged = Some(reached);
            let message = Message::Acknowledge { epoch: self.view.epoch, sequence: reached };
            outputs.push(Output::Send { to, message });
        }
    }

    /// Commits up to `sequence`, limited to the entries that are durable and matched here.
    pub(super) fn commit_through(&mut self, sequence: Sequence, outputs: &mut Vec<Output>) {
        let through = sequence.min(self.sendable());
        if through > self.committed {
            self.committed = through;
            outputs.push(Output::Committed { through });
        }
    }

    /// At the tail: reports the learners that have every entry that is durable at the tail.
    pub(super) fn report_caught_up_learners(&mut self, outputs: &mut Vec<Output>) {
        let (epoch, sendable) = (self.view.epoch, self.sendable());
        if !self.predecessor.synchronized || self.view.tail() != Some(self.me) {
            return;
        }
        for progress in self.progress.iter_mut().filter(|progress| !progress.reported_caught_up) {
            if progress.acknowledged.is_some_and(|sequence| sequence >= sendable) {
                progress.reported_caught_up = true;
                outputs.push(Output::LearnerCaughtUp { member: progress.member, epoch });
            }
        }
    }
}
