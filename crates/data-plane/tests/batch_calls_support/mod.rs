//! Calls about batch jobs over links that lose, duplicate and delay responses, with store nodes that reject calls and
//! become unresponsive.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use orchidvalve_control_state::{Change, ControlState, Placement};
use orchidvalve_data_plane::batch_calls::{BatchCall, BatchCalls, BatchResponse, CallId};
use orchidvalve_golden::Trace;
use orchidvalve_protocol::frames;
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{GatewayMessage, ItemOutcome, ItemState, StoreResponse};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const STORES: u8 = 3;
pub const CALLS: usize = 6;
const STEP_MS: u64 = 20;
/// Every call has a response after this time, in milliseconds.
pub const MAX_DURATION_MS: u64 = 6_000;

fn store(number: u8) -> NodeAddress {
    NodeAddress::new(Ipv4Addr::new(10, 0, 0, number), 7_000)
}

fn state() -> ControlState {
    let members = (1..=STORES).map(|n| MemberId { address: store(n), disk: u64::from(n) });
    let placement = Placement { epoch: 1, members: members.collect(), ..Placement::default() };
    let mut state = ControlState::default();
    state.apply(&Change::Place(vec![(0, placement)])).unwrap();
    state
}

/// A message in transit, in either direction.
#[derive(Clone)]
pub enum InTransit {
    Call { message: GatewayMessage },
    Response { call: CallId, response: StoreResponse },
}

pub struct World {
    random: Pcg64Mcg,
    pub calls: BatchCalls,
    state: ControlState,
    pub in_transit: Vec<(u64, InTransit)>,
    /// Jobs that a store node has accepted.
    accepted: BTreeSet<String>,
    pub responses: BTreeMap<CallId, BatchResponse>,
    pub now: u64,
    /// All messages to store nodes and responses to clients, encoded, with their times.
    pub trace: Trace,
}

impl World {
    pub fn new(seed: u64) -> World {
        let random = Pcg64Mcg::seed_from_u64(seed);
        let (calls, in_transit, accepted, responses, trace) = Default::default();
        World { random, calls, state: state(), in_transit, accepted, responses, now: 5_000, trace }
    }

    /// Sends a message, which may be lost or delayed. A response may also be duplicated. A call may not, as a link
    /// delivers each message once and every further attempt is a message of its own.
    fn send(&mut self, message: &InTransit) {
        let choices = if matches!(message, InTransit::Response { .. }) { 5 } else { 4 };
        let copies = [0, 1, 1, 1, 2][self.random.random_range(0..choices)];
        for _ in 0..copies {
            let delay = self.random.random_range(0..5_u64) * self.random.random_range(0..300_u64);
            self.in_transit.push((self.now + delay, message.clone()));
        }
    }

    fn deliver(&mut self) {
        let due = self.in_transit.extract_if(.., |(at, _)| *at <= self.now);
        for (_, message) in due.collect::<Vec<_>>() {
            match message {
                InTransit::Call { message } => self.store_receives(message),
                InTransit::Response { call, response } => self.gateway_receives(call, response),
            }
        }
    }

    fn store_receives(&mut self, message: GatewayMessage) {
        let (call, response) = match message {
            GatewayMessage::SubmitJob { request_id: call, id, .. } if self.random.random() => {
                self.accepted.insert(id);
                let indefinite = self.random.random();
                (call, if indefinite { StoreResponse::OutcomeUnknown } else { StoreResponse::Accepted })
            }
            GatewayMessage::SubmitJob { request_id: call, .. } => {
                (call, StoreResponse::Rejected { retry_after_ms: 250 })
            }
            GatewayMessage::ReadResults { request_id: call, after, .. } if self.random.random() => {
                let outcomes = vec![outcome(after), outcome(after + 1)];
                (call, StoreResponse::Results { total: 9, next: after + 2, outcomes })
            }
            GatewayMessage::ReadResults { request_id: call, .. } => (call, StoreResponse::NotFound),
            GatewayMessage::ReadItemBody { request_id: call, item, .. } => {
                (call, StoreResponse::Body(item.into_bytes()))
            }
            GatewayMessage::EndJob { request_id: call, .. } => (call, StoreResponse::Ended),
            other => panic!("{other:?}"),
        };
        self.send(&InTransit::Response { call: CallId(call), response });
    }

    fn gateway_receives(&mut self, call: CallId, response: StoreResponse) {
        if let Some(response) = self.calls.response_received(self.now, call, response) {
            self.record_response(call, response);
        }
    }

    fn record_response(&mut self, call: CallId, response: BatchResponse) {
        self.trace.add_number(self.now);
        self.trace.add_number(call.0);
        trace_response(&mut self.trace, &response);
        let before = self.responses.insert(call, response);
        assert!(before.is_none(), "{call:?} has two responses");
    }

    pub fn step(&mut self) {
        self.now += STEP_MS;
        self.deliver();
        if self.random.random_ratio(1, 20) {
            let lost = store(self.random.random_range(1..=STORES));
            self.calls.store_lost(self.now, lost);
        }
        let (mut outgoing, mut responses) = (Vec::new(), Vec::new());
        self.calls.tick(self.now, &self.state, &|_| true, &|_| false, &mut outgoing, &mut responses);
        // The calls of one tick are in arbitrary order.
        outgoing.sort_by_key(|out| call_of(&out.message));
        responses.sort_by_key(|response| response.call);
        for out in outgoing {
            self.trace.add_number(self.now);
            self.trace.add(&frames::encode(&out.store));
            self.trace.add(&frames::encode(&out.message));
            self.send(&InTransit::Call { message: out.message });
        }
        for response in responses {
            self.record_response(response.call, response.response);
        }
    }

    /// Begins a read of results.
    pub fn begin_read(&mut self, number: usize) -> CallId {
        let call = BatchCall::Read { after: number as u64, wait_ms: 300 * number as u32 };
        self.calls.begin(self.now, &format!("job-{number}"), None, call)
    }

    pub fn begin(&mut self, number: usize) -> (CallId, String) {
        let id = format!("job-{number}");
        let call = match number % 3 {
            0 => BatchCall::Submit { job: Vec::new(), received_at_ms: 0 },
            1 => BatchCall::ItemBody { item: id.clone() },
            _ => BatchCall::End,
        };
        (self.calls.begin(self.now, &id, None, call), id)
    }

    /// Checks the response to a call once no message is in transit. A job may also be accepted after its client got a
    /// response.
    pub fn check(&self, call: CallId, id: &str) {
        match &self.responses[&call] {
            BatchResponse::Rejected { .. } => {
                assert!(!self.accepted.contains(id), "{id} was promised not to run");
            }
            BatchResponse::Accepted => assert!(self.accepted.contains(id)),
            BatchResponse::Body(body) => assert_eq!(body, id.as_bytes(), "the body of another call"),
            BatchResponse::OutcomeUnknown | BatchResponse::Unavailable | BatchResponse::Ended => {}
            other => panic!("{other:?}"),
        }
    }
}

fn outcome(number: u64) -> ItemOutcome {
    ItemOutcome {
        item: format!("item-{number}"),
        state: if number.is_multiple_of(3) { ItemState::Expired } else { ItemState::Completed },
        message: vec![0, number as u8],
        weight_versions: vec![number, number + 1],
        score: number.is_multiple_of(2).then(|| "3e1b.07".to_owned()),
    }
}

fn call_of(message: &GatewayMessage) -> CallId {
    match message {
        GatewayMessage::SubmitJob { request_id: call, .. }
        | GatewayMessage::ReadResults { request_id: call, .. }
        | GatewayMessage::ReadItemBody { request_id: call, .. }
        | GatewayMessage::EndJob { request_id: call, .. } => CallId(*call),
        other => panic!("{other:?}"),
    }
}

/// Adds a response to a client to the trace: its kind and contents.
fn trace_response(trace: &mut Trace, response: &BatchResponse) {
    match response {
        BatchResponse::Accepted => trace.add_number(1),
        BatchResponse::Rejected { retry_after_ms, .. } => {
            trace.add_number(2);
            trace.add_number((*retry_after_ms).into());
        }
        BatchResponse::OutcomeUnknown => trace.add_number(3),
        BatchResponse::NotFound => trace.add_number(4),
        BatchResponse::Unavailable => trace.add_number(5),
        BatchResponse::Results { total, after, outcomes } => {
            [6, u64::from(*total), *after].into_iter().for_each(|number| trace.add_number(number));
            trace.add(&frames::encode(outcomes));
        }
        BatchResponse::Body(body) => {
            trace.add_number(7);
            trace.add(body);
        }
        BatchResponse::Ended => trace.add_number(8),
        BatchResponse::OtherTenant => trace.add_number(9),
    }
}
