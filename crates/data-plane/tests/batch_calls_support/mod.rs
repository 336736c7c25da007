//! Calls of batch jobs over links on which answers get lost, doubled and late, with stores that reject and become
//! unresponsive.

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
/// Every call has been answered by then.
pub const LONGEST_MS: u64 = 6_000;

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

/// A message on its way, one direction or the other, until it arrives.
#[derive(Clone)]
pub enum Travelling {
    Asked { message: GatewayMessage },
    Answer { call: CallId, answer: StoreResponse },
}

pub struct World {
    random: Pcg64Mcg,
    pub calls: BatchCalls,
    state: ControlState,
    pub travelling: Vec<(u64, Travelling)>,
    /// Jobs that some store took.
    taken: BTreeSet<String>,
    pub responses: BTreeMap<CallId, BatchResponse>,
    pub now: u64,
    /// Everything that stores were asked and clients were told, encoded, with its time.
    pub trace: Trace,
}

impl World {
    pub fn new(seed: u64) -> World {
        let random = Pcg64Mcg::seed_from_u64(seed);
        let (calls, travelling, taken, responses, trace) = Default::default();
        World { random, calls, state: state(), travelling, taken, responses, now: 5_000, trace }
    }

    /// A message leaves: it may be lost and take long. An answer may also come twice; a call doesn't, since a link
    /// brings each message once, and every further try is a message of its own.
    fn leave(&mut self, message: &Travelling) {
        let most = if matches!(message, Travelling::Answer { .. }) { 5 } else { 4 };
        let copies = [0, 1, 1, 1, 2][self.random.random_range(0..most)];
        for _ in 0..copies {
            let delay = self.random.random_range(0..5_u64) * self.random.random_range(0..300_u64);
            self.travelling.push((self.now + delay, message.clone()));
        }
    }

    fn arrive(&mut self) {
        let due = self.travelling.extract_if(.., |(at, _)| *at <= self.now);
        for (_, message) in due.collect::<Vec<_>>() {
            match message {
                Travelling::Asked { message } => self.store_asked(message),
                Travelling::Answer { call, answer } => self.gateway_answered(call, answer),
            }
        }
    }

    fn store_asked(&mut self, message: GatewayMessage) {
        let (call, answer) = match message {
            GatewayMessage::SubmitJob { request_id: call, id, .. } if self.random.random() => {
                self.taken.insert(id);
                let unclear = self.random.random();
                (call, if unclear { StoreResponse::OutcomeUnknown } else { StoreResponse::Accepted })
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
        self.leave(&Travelling::Answer { call: CallId(call), answer });
    }

    fn gateway_answered(&mut self, call: CallId, answer: StoreResponse) {
        if let Some(answer) = self.calls.response_received(self.now, call, answer) {
            self.tell(call, answer);
        }
    }

    fn tell(&mut self, call: CallId, answer: BatchResponse) {
        self.trace.add_number(self.now);
        self.trace.add_number(call.0);
        trace_answer(&mut self.trace, &answer);
        let before = self.responses.insert(call, answer);
        assert!(before.is_none(), "{call:?} is answered twice");
    }

    pub fn step(&mut self) {
        self.now += STEP_MS;
        self.arrive();
        if self.random.random_ratio(1, 20) {
            let lost = store(self.random.random_range(1..=STORES));
            self.calls.store_lost(self.now, lost);
        }
        let (mut outgoing, mut answers) = (Vec::new(), Vec::new());
        self.calls.tick(self.now, &self.state, &|_| true, &|_| false, &mut outgoing, &mut answers);
        // The calls of one tick come in any order.
        outgoing.sort_by_key(|out| call_of(&out.message));
        answers.sort_by_key(|answered| answered.call);
        for out in outgoing {
            self.trace.add_number(self.now);
            self.trace.add(&frames::encode(&out.store));
            self.trace.add(&frames::encode(&out.message));
            self.leave(&Travelling::Asked { message: out.message });
        }
        for answered in answers {
            self.tell(answered.call, answered.response);
        }
    }

    /// Begins a reading of results.
    pub fn begin_reading(&mut self, number: usize) -> CallId {
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

    /// What was told, once nothing is on its way any more: a job may also be taken after its client was answered.
    pub fn check(&self, call: CallId, id: &str) {
        match &self.responses[&call] {
            BatchResponse::Rejected { .. } => {
                assert!(!self.taken.contains(id), "{id} was promised not to run");
            }
            BatchResponse::Accepted => assert!(self.taken.contains(id)),
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

/// Adds an answer to a client: its kind and what it carries.
fn trace_answer(trace: &mut Trace, answer: &BatchResponse) {
    match answer {
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
