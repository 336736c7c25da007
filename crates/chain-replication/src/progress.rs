//! The state of a replica towards its successor or one of its learners.

use orchidvalve_protocol::identity::MemberId;

use crate::epoch_runs::EpochRuns;
use crate::inflights::Inflights;
use crate::limits::{Milliseconds, PROBE_MS};
use crate::sequence::{PositionId, Sequence};

/// Progress of the replication to a successor or learner in the current view.
#[derive(Debug)]
pub(crate) struct Progress {
    pub member: MemberId,
    /// Id of the latest position received from it; `None` before the first.
    pub position_id: Option<PositionId>,
    /// Sequence of the next entry to send.
    pub next: Sequence,
    /// The receiver's log according to that position, kept until the comparison with this log is complete.
    pub peer_log: Option<EpochRuns>,
    /// Whether a message is sent even if there are no entries to send.
    pub probe: bool,
    /// Highest sequence acknowledged in this view.
    pub acknowledged: Option<Sequence>,
    /// Whether the member, if it is a learner, was reported as caught up.
    pub reported_caught_up: bool,
    /// Highest committed sequence sent to the member.
    pub sent_committed: Sequence,
    inflights: Inflights,
    /// When the member last acknowledged an entry or was last probed.
    progressed_at: Milliseconds,
}

impl Progress {
    pub fn new(member: MemberId) -> Progress {
        Progress {
            member,
            position_id: None,
            next: 1,
            peer_log: None,
            probe: false,
            acknowledged: None,
            reported_caught_up: false,
            sent_committed: 0,
            inflights: Inflights::default(),
            progressed_at: 0,
        }
    }

    /// Handles a position of the member: replication restarts after the entries that both logs have.
    pub fn start_at_position(&mut self, position_id: PositionId, peer_log: EpochRuns, now: Milliseconds) {
        self.position_id = Some(position_id);
        self.peer_log = Some(peer_log);
        self.next = 0;
        self.probe = true;
        self.inflights.clear();
        self.progressed_at = now;
    }

    /// Returns whether another message with entries may be sent.
    pub fn has_capacity(&self) -> bool {
        self.inflights.has_capacity()
    }

    /// Records a message with the entries up to `last`.
    pub fn sent(&mut self, last: Sequence, payload_bytes: usize, now: Milliseconds) {
        if self.inflights.is_empty() {
            self.progressed_at = now;
        }
        self.next = last + 1;
        if self.acknowledged.is_none_or(|known| known < last) {
            self.inflights.add(last, payload_bytes);
        }
    }

    /// Records an acknowledgement. Returns whether it is above the previous one.
    pub fn acknowledge(&mut self, sequence: Sequence, now: Milliseconds) -> bool {
        if self.acknowledged.is_some_and(|known| known >= sequence) {
            return false;
        }
        self.acknowledged = Some(sequence);
        self.progressed_at = now;
        self.inflights.acknowledge(sequence);
        true
    }

    /// Returns true if the member has unacknowledged entries and acknowledged none for [`PROBE_MS`]; true again only
    /// after another [`PROBE_MS`].
    pub fn is_stalled(&mut self, now: Milliseconds) -> bool {
        let outstanding = self.acknowledged.is_none_or(|known| known + 1 < self.next);
        let stalled = outstanding && now.saturating_sub(self.progressed_at) >= PROBE_MS;
        if stalled {
            self.progressed_at = now;
        }
        stalled
    }
}
