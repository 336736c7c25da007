//! Barriers of this member, and its replies to those of other members.

use orchidvalve_protocol::identity::MemberId;

use crate::barrier::ConfirmRequest;
use crate::message::Message;
use crate::output::Output;
use crate::replica::Replica;
use crate::sequence::{BarrierId, RoundNumber, Sequence};

impl Replica {
    /// Starts a barrier, which confirms that the view is still current at all members. [`Output::Confirmed`] reports
    /// the result; it may never come.
    pub fn barrier(&mut self, barrier: BarrierId, outputs: &mut Vec<Output>) {
        self.barriers.add(barrier);
        self.begin_barrier_round(outputs);
        self.complete_barriers(outputs);
    }

    /// Returns the sequence that a linearizable read that begins now must see, as far as this member knows.
    pub(super) fn read_index(&self) -> Sequence {
        let epoch_base = if self.is_head() { self.predecessor.epoch_base.unwrap_or(0) } else { 0 };
        self.committed.max(epoch_base)
    }

    pub(super) fn begin_barrier_round(&mut self, outputs: &mut Vec<Output>) {
        if !self.is_member() {
            return;
        }
        let others: Vec<MemberId> =
            self.view.members.iter().copied().filter(|&member| member != self.me).collect();
        let read_index = self.read_index();
        if let Some(request) = self.barriers.begin_round(others, read_index, self.now) {
            self.send_confirm(request, outputs);
        }
    }

    pub(super) fn send_confirm(
        &self,
        ConfirmRequest { round, members }: ConfirmRequest,
        outputs: &mut Vec<Output>,
    ) {
        let epoch = self.view.epoch;
        let message = |to| Output::Send { to, message: Message::Confirm { epoch, round } };
        outputs.extend(members.into_iter().map(message));
    }

    /// Replies to a `Confirm` of another member of the view.
    pub(super) fn handle_confirm(&self, from: MemberId, round: RoundNumber, outputs: &mut Vec<Output>) {
        if self.is_member() && self.view.is_member(from) {
            let message = Message::Confirmed { epoch: self.view.epoch, round, committed: self.read_index() };
            outputs.push(Output::Send { to: from, message });
        }
    }

    /// Handles the reply of a member at which the view is current.
    pub(super) fn handle_confirmed(
        &mut self,
        from: MemberId,
        round: RoundNumber,
        committed: Sequence,
        outputs: &mut Vec<Output>,
    ) {
        if self.view.is_member(from) {
            self.barriers.confirmation_received(from, round, committed);
            self.begin_barrier_round(outputs);
            self.complete_barriers(outputs);
        }
    }

    pub(super) fn complete_barriers(&mut self, outputs: &mut Vec<Output>) {
        let committed = self.committed;
        let completed = self.barriers.complete(committed);
        outputs.extend(completed.into_iter().map(|barrier| Output::Confirmed { barrier, committed }));
    }
}
