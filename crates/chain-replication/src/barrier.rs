//! Barriers: evidence that the current view of this member is still current at every member, like ReadIndex in Raft
//! (Ongaro 2014, section 6.4). It is gathered in rounds, so that many reads share the messages of one round.

use orchidvalve_protocol::identity::MemberId;

use crate::limits::{CONFIRM_RESEND_MS, Milliseconds};
use crate::sequence::{BarrierId, RoundNumber, Sequence};

/// A round of confirmations.
#[derive(Debug)]
struct Round {
    barriers: Vec<BarrierId>,
    /// Members that have not confirmed yet.
    missing: Vec<MemberId>,
    /// Highest committed sequence of any member that has confirmed.
    read_index: Sequence,
    /// When the requests were last sent.
    sent_at: Milliseconds,
}

/// A barrier that every member has confirmed.
#[derive(Debug)]
struct ConfirmedBarrier {
    barrier: BarrierId,
    /// The sequence that must be committed here before the read.
    read_index: Sequence,
}

/// The members to which `Confirm` is sent, and the number of the round.
#[derive(Debug)]
pub(crate) struct ConfirmRequest {
    pub round: RoundNumber,
    pub members: Vec<MemberId>,
}

/// The pending barriers of one replica.
#[derive(Debug)]
pub(crate) struct Barriers {
    /// Barriers added after the current round began.
    queued: Vec<BarrierId>,
    round: Option<Round>,
    /// Number of the latest round.
    number: RoundNumber,
    confirmed: Vec<ConfirmedBarrier>,
}

impl Barriers {
    pub fn new(first_round: RoundNumber) -> Barriers {
        Barriers { queued: Vec::new(), round: None, number: first_round, confirmed: Vec::new() }
    }

    pub fn add(&mut self, barrier: BarrierId) {
        self.queued.push(barrier);
    }

    /// Queues all barriers again, because the view changed.
    pub fn restart(&mut self) {
        if let Some(round) = self.round.take() {
            self.queued.extend(round.barriers);
        }
        self.queued.extend(self.confirmed.drain(..).map(|confirmed| confirmed.barrier));
    }

    /// Begins a round if barriers are queued and no round is in progress. Returns the requests to send.
    pub fn begin_round(
        &mut self,
        others: Vec<MemberId>,
        read_index: Sequence,
        now: Milliseconds,
    ) -> Option<ConfirmRequest> {
        if self.round.is_some() || self.queued.is_empty() {
            return None;
        }
        self.number = self.number.wrapping_add(1);
        let barriers = std::mem::take(&mut self.queued);
        self.round = Some(Round { barriers, missing: others.clone(), read_index, sent_at: now });
        self.finish_round();
        Some(ConfirmRequest { round: self.number, members: others })
    }

    /// Records the confirmation of a member.
    pub fn confirmation_received(&mut self, from: MemberId, number: RoundNumber, committed: Sequence) {
        if number != self.number {
            return;
        }
        if let Some(round) = &mut self.round {
            round.missing.retain(|&member| member != from);
            round.read_index = round.read_index.max(committed);
        }
        self.finish_round();
    }

    /// Returns the requests to repeat, [`CONFIRM_RESEND_MS`] after they were last sent.
    pub fn overdue(&mut self, now: Milliseconds) -> Option<ConfirmRequest> {
        let round =
            self.round.as_mut().filter(|round| now.saturating_sub(round.sent_at) >= CONFIRM_RESEND_MS)?;
        round.sent_at = now;
        Some(ConfirmRequest { round: self.number, members: round.missing.clone() })
    }

    /// Removes and returns the barriers whose read index is committed here.
    pub fn complete(&mut self, committed: Sequence) -> Vec<BarrierId> {
        let completed = self.confirmed.extract_if(.., |confirmed| confirmed.read_index <= committed);
        completed.map(|confirmed| confirmed.barrier).collect()
    }

    fn finish_round(&mut self) {
        if let Some(round) = self.round.take_if(|round| round.missing.is_empty()) {
            let read_index = round.read_index;
            self.confirmed
                .extend(round.barriers.into_iter().map(|barrier| ConfirmedBarrier { barrier, read_index }));
        }
    }
}
