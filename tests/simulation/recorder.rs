//! Records the calls of the action sink: hashed as numbers, and kept to be executed after the round.

use std::collections::BTreeSet;

use orchidvalve::interface::*;
use orchidvalve_golden::Trace;

pub struct Recorder<'a> {
    pub trace: &'a mut Trace,
    pub kinds: &'a mut BTreeSet<u64>,
    pub calls: Vec<Action>,
}

pub enum Action {
    StartAttempt(ShardRequestIndex, ReplicaIndex, Nanos, Nanos),
    CancelAttempt(ShardRequestIndex, usize),
    Answer(QueryIndex),
    CheckHealth(ReplicaIndex),
    WakeAt(Nanos),
    RequestMembership,
}

impl Recorder<'_> {
    fn record(&mut self, kind: u64, numbers: &[u64]) {
        self.kinds.insert(kind);
        self.trace.add_number(kind);
        numbers.iter().for_each(|number| self.trace.add_number(*number));
    }
}

impl ActionSink for Recorder<'_> {
    fn start_attempt(
        &mut self,
        request: ShardRequestIndex,
        replica: ReplicaIndex,
        limit: Nanos,
        send_within: Nanos,
    ) {
        self.record(1, &[request.0 as u64, replica.0 as u64, limit as u64, send_within as u64]);
        self.calls.push(Action::StartAttempt(request, replica, limit, send_within));
    }

    fn cancel_attempt(&mut self, request: ShardRequestIndex, attempt: usize) {
        self.record(2, &[request.0 as u64, attempt as u64]);
        self.calls.push(Action::CancelAttempt(request, attempt));
    }

    fn answer(&mut self, query: QueryIndex, whole: bool) {
        self.record(3, &[query.0 as u64, u64::from(whole)]);
        self.calls.push(Action::Answer(query));
    }

    fn reject(&mut self, query: QueryIndex, max_retry_after: Nanos) {
        self.record(4, &[query.0 as u64, max_retry_after as u64]);
    }

    fn expire(&mut self, query: QueryIndex) {
        self.record(5, &[query.0 as u64]);
    }

    fn check_health(&mut self, replica: ReplicaIndex) {
        self.record(6, &[replica.0 as u64]);
        self.calls.push(Action::CheckHealth(replica));
    }

    fn wake_at(&mut self, at: Nanos) {
        self.record(7, &[at as u64]);
        self.calls.push(Action::WakeAt(at));
    }

    fn request_membership(&mut self) {
        self.record(8, &[]);
        self.calls.push(Action::RequestMembership);
    }
}
