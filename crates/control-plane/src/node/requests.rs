//! Requests: the head decides them, other nodes forward them to it, and their outcomes are reported or expire.

use orchidvalve_chain_replication::{BarrierId, Sequence};
use orchidvalve_control_state::{Applied, Change, ChangeError};
use orchidvalve_protocol::frames::decode;
use orchidvalve_protocol::identity::MemberId;

use super::open_requests::{ExpiredRequest, ReportableRequest};
use super::{ControlNode, Disk, NodeOutput, RequestNumber, RequestOrigin, RetirementVerdict};
use crate::peer_messages::{ForwardNumber, HeadRequest, PeerMessage, RequestOutcome};

impl<D: Disk> ControlNode<D> {
    /// Submits a local request. This node decides it if it is the head and forwards it to the head otherwise.
    /// [`NodeOutput::RequestDecided`] follows in any case.
    pub fn submit(&mut self, number: RequestNumber, request: HeadRequest) {
        match self.unentered_head().or(self.replica.view().head()) {
            Some(head) if head == self.config.me => self.decide(RequestOrigin::Local(number), request),
            Some(head) => self.forward(head, number, request),
            None => self.report_outcome(RequestOrigin::Local(number), RequestOutcome::Unknown),
        }
    }

    /// Returns the head of a newer view that this node knows but has not entered yet, unless this node is that head. A view
    /// is entered once it is durable here, which takes long while the disk hangs.
    fn unentered_head(&self) -> Option<MemberId> {
        let view = self.agreement.view().filter(|view| view.epoch > self.epoch())?;
        view.head().filter(|head| *head != self.config.me)
    }

    /// Forwards a local request to the head.
    fn forward(&mut self, head: MemberId, number: RequestNumber, request: HeadRequest) {
        self.requests.add_forwarded(number, self.now);
        let message = PeerMessage::Forward { number: self.forward_number(number), request };
        self.outputs.push(NodeOutput::Send { to: head, message });
    }

    /// Returns the number under which a request is forwarded. It differs from the numbers of earlier starts of the process,
    /// whose outcomes may still arrive.
    fn forward_number(&self, number: RequestNumber) -> ForwardNumber {
        ForwardNumber(number.0.wrapping_add(self.config.incarnation))
    }

    /// Processes a request that another control node has forwarded.
    pub fn forwarded_request(&mut self, from: MemberId, number: ForwardNumber, request: HeadRequest) {
        if self.replica.is_head() {
            self.decide(RequestOrigin::Peer { from, number }, request);
        } else {
            self.report_outcome(RequestOrigin::Peer { from, number }, RequestOutcome::Unknown);
        }
    }

    /// Processes the outcome, sent by the head, of a request that this node forwarded.
    pub fn forwarded_outcome(&mut self, number: ForwardNumber, outcome: RequestOutcome) {
        let request = RequestNumber(number.0.wrapping_sub(self.config.incarnation));
        if self.requests.take_forwarded(request) {
            self.outputs.push(NodeOutput::RequestDecided { request, outcome });
        }
    }

    /// Decides a request as the head. The outcome is unknown if this node is not the established head.
    fn decide(&mut self, origin: RequestOrigin, request: HeadRequest) {
        if !self.is_established_head() {
            self.report_outcome(origin, RequestOutcome::Unknown);
            return;
        }
        match request {
            HeadRequest::Retire { name } => {
                self.outputs.push(NodeOutput::RetirementRequested { origin, name });
            }
            HeadRequest::Change { change } => match decode::<Change>(&change) {
                Some(change) => self.decide_change(origin, &change),
                None => {
                    log::error!("control: cannot decode a request; run the same version on all machines");
                    self.report_outcome(origin, RequestOutcome::Unknown);
                }
            },
        }
    }

    /// Processes the host's response to [`NodeOutput::RetirementRequested`]. A refusal is reported only after a barrier has
    /// confirmed that this node is still the head.
    pub fn decide_retirement(&mut self, origin: RequestOrigin, name: &str, verdict: RetirementVerdict) {
        if !self.is_established_head() {
            self.report_outcome(origin, RequestOutcome::Unknown);
            return;
        }
        match verdict {
            RetirementVerdict::Allowed => {
                self.decide_change(origin, &Change::Retire { name: name.to_owned() });
            }
            RetirementVerdict::TooFewRemain => {
                let reason = "too few storage machines would be left: add one first".to_owned();
                self.report_outcome_when_confirmed(origin, RequestOutcome::Conflict { reason });
            }
            RetirementVerdict::Undetermined => self.report_outcome(origin, RequestOutcome::Unknown),
        }
    }

    /// Applies a change to the tentative state and, if that changes it, appends it to the log.
    fn decide_change(&mut self, origin: RequestOrigin, change: &Change) {
        let (outcome, is_changed) = match self.state.tentative(&self.log).apply(change) {
            Ok(applied) => (RequestOutcome::Done, applied == Applied::Changed),
            Err(error) => (rejection(&error), false),
        };
        if is_changed && self.replicate(change).is_none() {
            self.report_outcome(origin, RequestOutcome::Unknown);
            return;
        }
        self.report_outcome_when_confirmed(origin, outcome);
    }

    /// Reports `outcome` once everything that it depends on is committed. A refusal also needs confirmation that the view was
    /// still current after the request arrived (ReadIndex, Ongaro 2014, section 6.4).
    fn report_outcome_when_confirmed(&mut self, origin: RequestOrigin, outcome: RequestOutcome) {
        let is_refusal = outcome != RequestOutcome::Done;
        let barrier = is_refusal.then(|| self.requests.next_barrier());
        self.requests.add_decided(origin, self.log.end(), barrier, outcome, self.now);
        if let Some(barrier) = barrier {
            self.run_barrier(barrier);
        }
        self.report_decided_outcomes();
    }

    /// Starts a barrier at the replica; `barrier_confirmed` follows.
    fn run_barrier(&mut self, barrier: BarrierId) {
        let mut outputs = Vec::new();
        self.replica.barrier(barrier, &mut outputs);
        self.apply_chain_outputs(outputs);
    }

    /// Reads the latest state. [`NodeOutput::ReadConfirmed`] or [`NodeOutput::ReadUnconfirmed`] follows.
    pub fn read(&mut self, request: RequestNumber) {
        if !self.replica.is_member() {
            self.outputs.push(NodeOutput::ReadUnconfirmed { request });
            return;
        }
        let barrier = self.requests.next_barrier();
        self.requests.add_read(request, barrier, self.now);
        self.run_barrier(barrier);
    }

    /// Processes the confirmation of a barrier, on which a read or a refusal waits.
    pub(super) fn barrier_confirmed(&mut self, barrier: BarrierId, committed: Sequence) {
        if let Some(request) = self.requests.barrier_confirmed(barrier) {
            debug_assert!(self.state.applied() >= committed);
            self.outputs.push(NodeOutput::ReadConfirmed { request });
        }
        self.report_decided_outcomes();
    }

    /// Reports the outcomes of decided requests that are committed and confirmed by now.
    pub(super) fn report_decided_outcomes(&mut self) {
        for ReportableRequest { origin, outcome } in self.requests.take_reportable(self.state.applied()) {
            self.report_outcome(origin, outcome);
        }
    }

    /// Ends all decided requests with an unknown outcome: another node is the head, and decides what becomes of them.
    pub(super) fn abandon_decided_requests(&mut self) {
        for origin in self.requests.take_decided() {
            self.report_outcome(origin, RequestOutcome::Unknown);
        }
    }

    /// Ends the expired requests with an unknown outcome.
    pub(super) fn expire_requests(&mut self) {
        let expired = self.requests.expire(self.now);
        for origin in expired.decided {
            self.report_outcome(origin, RequestOutcome::Unknown);
        }
        for request in expired.pending {
            self.outputs.push(match request {
                ExpiredRequest::Read { request } => NodeOutput::ReadUnconfirmed { request },
                ExpiredRequest::Forwarded { request } => {
                    NodeOutput::RequestDecided { request, outcome: RequestOutcome::Unknown }
                }
            });
        }
    }

    fn report_outcome(&mut self, origin: RequestOrigin, outcome: RequestOutcome) {
        self.outputs.push(match origin {
            RequestOrigin::Local(request) => NodeOutput::RequestDecided { request, outcome },
            RequestOrigin::Peer { from: to, number } => {
                NodeOutput::Send { to, message: PeerMessage::ForwardOutcome { number, outcome } }
            }
        });
    }
}

fn rejection(error: &ChangeError) -> RequestOutcome {
    let reason = error.to_string();
    match error {
        ChangeError::BaseTooOld { .. } => RequestOutcome::Unknown,
        ChangeError::VersionConflict { .. } => RequestOutcome::VersionConflict { reason },
        ChangeError::Invalid(_) => RequestOutcome::Invalid { reason },
        ChangeError::UnknownStore { .. } => RequestOutcome::NotFound { reason },
    }
}
