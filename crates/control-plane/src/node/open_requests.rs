//! Open requests: decided ones that wait for their commit or for a barrier, reads that wait for a barrier, and requests
//! forwarded to the head.
use orchidvalve_chain_replication::{BarrierId, Milliseconds, Sequence};
use orchidvalve_protocol::identity::MemberId;

use crate::peer_messages::{ForwardNumber, RequestOutcome};

/// A request that is not decided within this time, in milliseconds, ends with [`RequestOutcome::Unknown`].
pub const REQUEST_TIMEOUT_MS: Milliseconds = 900;

/// Number by which the host identifies a local request. Each number is used once in a run of the process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct RequestNumber(pub u64);

/// The receiver of a request's outcome.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RequestOrigin {
    /// The host of this node, which submitted the request under this number.
    Local(RequestNumber),
    /// Another control node, which forwarded the request.
    Peer {
        /// The node that forwarded the request.
        from: MemberId,
        /// Number of the request at that node.
        number: ForwardNumber,
    },
}

/// A request whose outcome the head knows but may not report yet.
#[derive(Debug)]
struct DecidedRequest {
    origin: RequestOrigin,
    /// The outcome holds once all entries up to this one are committed.
    sequence: Sequence,
    /// The outcome holds once this barrier is confirmed; `None` if no barrier is needed, or it is confirmed already.
    barrier: Option<BarrierId>,
    outcome: RequestOutcome,
    deadline: Milliseconds,
}

/// A request whose outcome may be reported now.
#[derive(Debug)]
pub(super) struct ReportableRequest {
    pub(super) origin: RequestOrigin,
    pub(super) outcome: RequestOutcome,
}

/// A local request that waits for a barrier or for the head.
#[derive(Debug)]
enum PendingRequest {
    Read { request: RequestNumber, barrier: BarrierId, deadline: Milliseconds },
    Forwarded { request: RequestNumber, deadline: Milliseconds },
}

/// The requests that have expired, in the order in which their outcomes are reported.
#[derive(Default, Debug)]
pub(super) struct Expired {
    /// Decided requests.
    pub(super) decided: Vec<RequestOrigin>,
    /// Reads and forwarded requests.
    pub(super) pending: Vec<ExpiredRequest>,
}

/// A local request that was not decided in time.
#[derive(Debug)]
pub(super) enum ExpiredRequest {
    Read { request: RequestNumber },
    Forwarded { request: RequestNumber },
}

/// All open requests. Each ends in one of three ways: its outcome is reported, it expires, or this node abandons it because
/// it is no longer the head.
#[derive(Debug)]
pub(super) struct OpenRequests {
    decided: Vec<DecidedRequest>,
    pending: Vec<PendingRequest>,
    last_barrier: BarrierId,
}

impl Default for OpenRequests {
    fn default() -> OpenRequests {
        OpenRequests { decided: Vec::new(), pending: Vec::new(), last_barrier: 1 }
    }
}

impl OpenRequests {
    /// Returns the number of a new barrier.
    pub(super) fn next_barrier(&mut self) -> BarrierId {
        self.last_barrier += 1;
        self.last_barrier
    }

    /// Adds a decided request. Its `outcome` may be reported once all entries up to `sequence` are committed and the
    /// barrier, if there is one, is confirmed.
    pub(super) fn add_decided(
        &mut self,
        origin: RequestOrigin,
        sequence: Sequence,
        barrier: Option<BarrierId>,
        outcome: RequestOutcome,
        now: Milliseconds,
    ) {
        let deadline = now + REQUEST_TIMEOUT_MS;
        self.decided.push(DecidedRequest { origin, sequence, barrier, outcome, deadline });
    }

    /// Adds a local read that waits for a barrier.
    pub(super) fn add_read(&mut self, request: RequestNumber, barrier: BarrierId, now: Milliseconds) {
        self.pending.push(PendingRequest::Read { request, barrier, deadline: now + REQUEST_TIMEOUT_MS });
    }

    /// Adds a local request that was forwarded to the head.
    pub(super) fn add_forwarded(&mut self, request: RequestNumber, now: Milliseconds) {
        self.pending.push(PendingRequest::Forwarded { request, deadline: now + REQUEST_TIMEOUT_MS });
    }

    /// Removes a forwarded request whose outcome has arrived. Returns false if the request is no longer open.
    pub(super) fn take_forwarded(&mut self, request: RequestNumber) -> bool {
        let matches_request = |pending: &PendingRequest| match pending {
            PendingRequest::Forwarded { request: forwarded, .. } => *forwarded == request,
            PendingRequest::Read { .. } => false,
        };
        let index = self.pending.iter().position(matches_request);
        index.map(|index| self.pending.swap_remove(index)).is_some()
    }

    /// Marks a barrier as confirmed for the decided requests that wait for it. Removes and returns the read that waits for
    /// it, if there is one.
    pub(super) fn barrier_confirmed(&mut self, barrier: BarrierId) -> Option<RequestNumber> {
        for decided in self.decided.iter_mut().filter(|decided| decided.barrier == Some(barrier)) {
            decided.barrier = None;
        }
        let matches_request = |pending: &PendingRequest| match pending {
            PendingRequest::Read { barrier: awaited, .. } => *awaited == barrier,
            PendingRequest::Forwarded { .. } => false,
        };
        let index = self.pending.iter().position(matches_request)?;
        match self.pending.swap_remove(index) {
            PendingRequest::Read { request, .. } => Some(request),
            PendingRequest::Forwarded { .. } => None,
        }
    }

    /// Takes the decided requests whose outcomes may be reported now that all entries up to `applied` are committed.
    pub(super) fn take_reportable(&mut self, applied: Sequence) -> Vec<ReportableRequest> {
        let is_reportable =
            |decided: &mut DecidedRequest| decided.sequence <= applied && decided.barrier.is_none();
        let reportable = self.decided.extract_if(.., is_reportable);
        reportable
            .map(|DecidedRequest { origin, outcome, .. }| ReportableRequest { origin, outcome })
            .collect()
    }

    /// Takes all decided requests, because this node is no longer the head.
    pub(super) fn take_decided(&mut self) -> Vec<RequestOrigin> {
        std::mem::take(&mut self.decided).into_iter().map(|decided| decided.origin).collect()
    }

    /// Takes the requests that were not decided in time.
    pub(super) fn expire(&mut self, now: Milliseconds) -> Expired {
        let decided = self.decided.extract_if(.., |decided| decided.deadline <= now);
        let decided = decided.map(|decided| decided.origin).collect();
        let is_expired = |pending: &mut PendingRequest| match pending {
            PendingRequest::Read { deadline, .. } | PendingRequest::Forwarded { deadline, .. } => {
                *deadline <= now
            }
        };
        let expired = |pending: PendingRequest| match pending {
            PendingRequest::Read { request, .. } => ExpiredRequest::Read { request },
            PendingRequest::Forwarded { request, .. } => ExpiredRequest::Forwarded { request },
        };
        let pending = self.pending.extract_if(.., is_expired).map(expired).collect();
        Expired { decided, pending }
    }
}
