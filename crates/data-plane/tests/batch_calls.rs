//! Tests of calls about batch jobs: which store node is called, what is retried, and the responses to clients.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use orchidvalve_control_state::{Change, ControlState, Placement};
use orchidvalve_data_plane::batch_calls::{
    BatchCall, BatchCalls, BatchResponse, CallId, CallResponse, partition_of,
};
use orchidvalve_data_plane::store_links::OutboundMessage;
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{GatewayMessage, ItemOutcome, ItemState, StoreResponse};
use rstest::rstest;

const PARTITIONS: u16 = 4;
const ID: &str = "7c41e09b52d6a3f8";

fn store(number: u8) -> NodeAddress {
    NodeAddress::new(Ipv4Addr::new(10, 0, 0, number), 7_000)
}

/// Returns a control state in which the chain of every partition consists of the store nodes 1, 2 and 3.
fn state() -> ControlState {
    let members = [1, 2, 3].map(|n| MemberId { address: store(n), disk: u64::from(n) });
    let placement =
        Placement { epoch: 1, members: members.to_vec(), learners: Vec::new(), ..Placement::default() };
    let placements = (0..PARTITIONS).map(|p| (p, placement.clone())).collect();
    let mut state = ControlState::default();
    state.apply(&Change::Place(placements)).unwrap();
    state
}

struct Gateway {
    calls: BatchCalls,
    state: ControlState,
    up: BTreeSet<NodeAddress>,
    same_zone: BTreeSet<NodeAddress>,
    sent: Vec<OutboundMessage>,
    responses: Vec<CallResponse>,
    now: u64,
}

impl Gateway {
    fn new() -> Gateway {
        let up = [1, 2, 3].map(store).into();
        let (calls, same_zone, sent, responses) = Default::default();
        Gateway { calls, state: state(), up, same_zone, sent, responses, now: 5_000 }
    }

    fn begin(&mut self, call: BatchCall) -> CallId {
        let call = self.calls.begin(self.now, ID, None, call);
        self.pass(0);
        call
    }

    fn pass(&mut self, milliseconds: u64) {
        self.now += milliseconds;
        let (up, same_zone) = (self.up.clone(), self.same_zone.clone());
        let (is_up, is_same_zone) = (|s| up.contains(&s), |s| same_zone.contains(&s));
        self.calls.tick(self.now, &self.state, &is_up, &is_same_zone, &mut self.sent, &mut self.responses);
    }

    fn respond(&mut self, call: CallId, store_response: StoreResponse) {
        let response = self.calls.response_received(self.now, call, store_response);
        self.responses.extend(response.map(|response| CallResponse { call, response }));
    }

    fn stores_called(&self) -> Vec<NodeAddress> {
        self.sent.iter().map(|o| o.store).collect()
    }

    fn response(&self) -> Option<&BatchResponse> {
        assert!(self.responses.len() <= 1, "a call gets one response");
        self.responses.first().map(|first| &first.response)
    }
}

fn submission() -> BatchCall {
    BatchCall::Submit { job: b"job".to_vec(), received_at_ms: 77 }
}

fn read() -> BatchCall {
    BatchCall::Read { after: 12, wait_ms: 1_000 }
}

fn item_body() -> BatchCall {
    BatchCall::ItemBody { item: "e5b2907c14da6f38".into() }
}

fn rejected() -> StoreResponse {
    StoreResponse::Rejected { retry_after_ms: 250 }
}

fn outcome() -> ItemOutcome {
    ItemOutcome {
        item: "e5b2907c14da6f38".into(),
        state: ItemState::Expired,
        message: Vec::new(),
        weight_versions: Vec::new(),
        score: None,
    }
}

#[rstest]
#[case::submission(submission())]
#[case::end(BatchCall::End)]
fn submissions_and_ends_go_to_the_partition_head(#[case] call: BatchCall) {
    let mut gateway = Gateway::new();
    gateway.same_zone.insert(store(3));
    let call = gateway.begin(call);
    assert_eq!(gateway.stores_called(), [store(1)]);
    let expected = partition_of(ID, usize::from(PARTITIONS));
    match &gateway.sent[0].message {
        GatewayMessage::SubmitJob { request_id: number, partition, id, job, received_at_ms } => {
            assert_eq!((*number, *partition, id.as_str()), (call.0, expected, ID));
            assert_eq!((job.as_slice(), *received_at_ms), (&b"job"[..], 77));
        }
        GatewayMessage::EndJob { request_id: number, partition, id, .. } => {
            assert_eq!((*number, *partition, id.as_str()), (call.0, expected, ID));
        }
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case::read(read())]
#[case::body(item_body())]
fn reads_prefer_the_zone_and_then_rotate(#[case] call: BatchCall) {
    let mut gateway = Gateway::new();
    gateway.same_zone.insert(store(2));
    let call = gateway.begin(call);
    assert_eq!(gateway.stores_called(), [store(2)]);
    for _ in 0..2 {
        gateway.respond(call, StoreResponse::Unavailable);
        assert!(gateway.response().is_none());
        gateway.pass(100);
    }
    assert_eq!(gateway.stores_called().into_iter().collect::<BTreeSet<_>>(), gateway.up);
}

#[rstest]
#[case::accepted(submission(), StoreResponse::Accepted, |a: &BatchResponse| matches!(a, BatchResponse::Accepted))]
#[case::full(submission(), rejected(), |a: &BatchResponse| matches!(a, BatchResponse::Rejected { retry_after_ms: 250, .. }))]
#[case::unknown(read(), StoreResponse::NotFound, |a: &BatchResponse| matches!(a, BatchResponse::NotFound))]
#[case::unknown_item(item_body(), StoreResponse::NotFound, |a: &BatchResponse| matches!(a, BatchResponse::NotFound))]
#[case::body(item_body(), StoreResponse::Body(b"b".to_vec()), |a: &BatchResponse| matches!(a, BatchResponse::Body(b) if b == b"b"))]
#[case::ended(BatchCall::End, StoreResponse::Ended, |a: &BatchResponse| matches!(a, BatchResponse::Ended))]
#[case::results(
    read(),
    StoreResponse::Results { total: 40, next: 13, outcomes: vec![outcome()] },
    |a: &BatchResponse| matches!(a, BatchResponse::Results { total: 40, after: 12, outcomes } if outcomes.len() == 1)
)]
fn definite_responses_are_forwarded(
    #[case] call: BatchCall,
    #[case] response: StoreResponse,
    #[case] expected: fn(&BatchResponse) -> bool,
) {
    let mut gateway = Gateway::new();
    let call = gateway.begin(call);
    gateway.respond(call, response);
    assert!(expected(gateway.response().unwrap()), "{:?}", gateway.responses);
    assert_eq!(gateway.calls.pending(), 0);
    gateway.respond(call, StoreResponse::Accepted);
    gateway.pass(10_000);
    assert_eq!((gateway.responses.len(), gateway.sent.len()), (1, 1));
}

#[rstest]
fn responses_of_the_wrong_kind_are_ignored(
    #[values(submission(), read(), item_body(), BatchCall::End)] call: BatchCall,
) {
    let responses = [
        StoreResponse::Accepted,
        rejected(),
        StoreResponse::OutcomeUnknown,
        StoreResponse::NotFound,
        StoreResponse::Results { total: 1, next: 1, outcomes: vec![outcome()] },
        StoreResponse::Body(b"b".to_vec()),
        StoreResponse::Ended,
        StoreResponse::OtherTenant,
    ];
    let mut ignored = 0;
    for response in responses {
        let fits = match response {
            StoreResponse::Accepted | StoreResponse::Rejected { .. } | StoreResponse::OutcomeUnknown => {
                matches!(call, BatchCall::Submit { .. })
            }
            StoreResponse::NotFound | StoreResponse::OtherTenant | StoreResponse::Unavailable => {
                !matches!(call, BatchCall::Submit { .. })
            }
            StoreResponse::Results { .. } => matches!(call, BatchCall::Read { .. }),
            StoreResponse::Body(_) => matches!(call, BatchCall::ItemBody { .. }),
            StoreResponse::Ended => matches!(call, BatchCall::End),
        };
        if fits {
            continue;
        }
        let mut gateway = Gateway::new();
        let number = gateway.begin(call.clone());
        gateway.respond(number, response);
        assert!(gateway.response().is_none(), "{:?}", gateway.responses);
        gateway.pass(100);
        assert_eq!((gateway.calls.pending(), gateway.sent.len()), (1, 1), "it still waits for its response");
        ignored += 1;
    }
    assert!(ignored >= 4);
}

#[test]
fn a_response_to_an_unknown_call_is_ignored() {
    let mut gateway = Gateway::new();
    let (first, second) = (gateway.begin(read()), gateway.begin(item_body()));
    gateway.respond(CallId(second.0 + 1), StoreResponse::NotFound);
    assert!(gateway.response().is_none());
    gateway.respond(second, StoreResponse::NotFound);
    assert_eq!(gateway.responses.iter().map(|response| response.call).collect::<Vec<_>>(), [second]);
    assert_eq!(gateway.calls.pending(), 1);
    assert_ne!(first, second);
}

/// The outcome of the first attempt of a submission or an end.
#[derive(Clone, Copy, Debug)]
enum FirstOutcome {
    Indefinite,
    LinkLost,
    Timeout,
}

fn fail_first_attempt(gateway: &mut Gateway, call: CallId, first: FirstOutcome, indefinite: StoreResponse) {
    match first {
        FirstOutcome::Indefinite => gateway.respond(call, indefinite),
        FirstOutcome::LinkLost => gateway.calls.store_lost(gateway.now, store(1)),
        FirstOutcome::Timeout => gateway.pass(650),
    }
}

/// An end that was sent may have been executed, so its response must not promise otherwise.
#[rstest]
fn an_end_with_unknown_outcome_is_never_promised_not_to_run(
    #[values(FirstOutcome::Indefinite, FirstOutcome::LinkLost, FirstOutcome::Timeout)] first: FirstOutcome,
) {
    let mut gateway = Gateway::new();
    let call = gateway.begin(BatchCall::End);
    fail_first_attempt(&mut gateway, call, first, StoreResponse::Unavailable);
    gateway.up.clear();
    while gateway.response().is_none() {
        gateway.pass(100);
        assert!(gateway.now < 8_000, "the client gets a response in time");
    }
    assert!(matches!(gateway.response(), Some(BatchResponse::OutcomeUnknown)), "{:?}", gateway.responses);
}

/// A submission that may have been accepted never gets a promise that it was not, whatever later attempts report.
#[rstest]
fn a_submission_with_unknown_outcome_is_never_promised_not_to_run(
    #[values(FirstOutcome::Indefinite, FirstOutcome::LinkLost, FirstOutcome::Timeout)] first: FirstOutcome,
    #[values(false, true)] later_rejected: bool,
) {
    let mut gateway = Gateway::new();
    let call = gateway.begin(submission());
    fail_first_attempt(&mut gateway, call, first, StoreResponse::OutcomeUnknown);
    gateway.pass(100);
    assert!(gateway.sent.len() > 1, "it is retried");
    while gateway.response().is_none() {
        if later_rejected {
            gateway.respond(call, rejected());
        }
        gateway.pass(100);
        assert!(gateway.now < 8_000, "the client gets a response in time");
    }
    assert!(matches!(gateway.response(), Some(BatchResponse::OutcomeUnknown)), "{:?}", gateway.responses);
}

#[test]
fn a_submission_retried_may_still_be_accepted() {
    let mut gateway = Gateway::new();
    let call = gateway.begin(submission());
    gateway.calls.store_lost(gateway.now, store(1));
    gateway.pass(10);
    gateway.respond(call, rejected());
    gateway.pass(100);
    gateway.respond(call, StoreResponse::Accepted);
    assert!(matches!(gateway.response(), Some(BatchResponse::Accepted)));
}

#[rstest]
#[case::submission(submission(), 1_500, |a: &BatchResponse| matches!(a, BatchResponse::Rejected { .. }))]
#[case::read(read(), 2_200, |a: &BatchResponse| matches!(a, BatchResponse::Unavailable))]
#[case::body(item_body(), 1_200, |a: &BatchResponse| matches!(a, BatchResponse::Unavailable))]
#[case::end(BatchCall::End, 1_200, |a: &BatchResponse| matches!(a, BatchResponse::Unavailable))]
fn without_a_store_node_nothing_is_sent(
    #[case] call: BatchCall,
    #[case] allowed: u64,
    #[case] expected: fn(&BatchResponse) -> bool,
) {
    let mut gateway = Gateway::new();
    gateway.up.clear();
    gateway.begin(call);
    gateway.pass(allowed - 1);
    assert!(gateway.response().is_none());
    assert!(gateway.calls.next_wakeup() > gateway.now);
    gateway.pass(1);
    assert!(expected(gateway.response().unwrap()), "{:?}", gateway.responses);
    assert!(gateway.sent.is_empty());
}

#[test]
fn a_call_waits_for_a_store_link() {
    let mut gateway = Gateway::new();
    gateway.up.clear();
    gateway.begin(submission());
    gateway.up.insert(store(1));
    gateway.pass(100);
    assert_eq!(gateway.stores_called(), [store(1)]);
}

#[test]
fn a_read_is_retried_at_once_when_its_store_node_is_lost() {
    let mut gateway = Gateway::new();
    gateway.begin(read());
    let first = gateway.stores_called()[0];
    gateway.calls.store_lost(gateway.now, store(9));
    gateway.pass(1);
    assert_eq!(gateway.sent.len(), 1);
    gateway.calls.store_lost(gateway.now, first);
    gateway.up.remove(&first);
    gateway.pass(0);
    assert_eq!(gateway.sent.len(), 2);
    assert_ne!(gateway.stores_called()[1], first);
}

#[test]
fn retries_follow_a_changed_placement() {
    let mut gateway = Gateway::new();
    let call = gateway.begin(submission());
    let members = vec![MemberId { address: store(3), disk: 3 }];
    let placement = Placement { epoch: 2, members, learners: Vec::new(), ..Placement::default() };
    let partition = partition_of(ID, usize::from(PARTITIONS));
    gateway.state.apply(&Change::Place(vec![(partition, placement)])).unwrap();
    gateway.respond(call, StoreResponse::OutcomeUnknown);
    gateway.pass(100);
    assert_eq!(gateway.stores_called(), [store(1), store(3)]);
}

#[test]
fn a_disconnected_client_gets_no_response() {
    let mut gateway = Gateway::new();
    let call = gateway.begin(read());
    gateway.calls.remove(call);
    gateway.respond(call, StoreResponse::NotFound);
    gateway.pass(10_000);
    assert_eq!((gateway.responses.len(), gateway.calls.pending()), (0, 0));
    assert_eq!(gateway.calls.next_wakeup(), u64::MAX);
}

#[test]
fn ids_spread_over_the_partitions() {
    let used: BTreeSet<u16> = (0..200).map(|n| partition_of(&format!("{n:016x}"), 16)).collect();
    assert_eq!(used.len(), 16);
    assert_eq!(partition_of(ID, 0), 0);
}

#[rstest]
#[case::submission(submission())]
#[case::read(read())]
#[case::body(item_body())]
#[case::end(BatchCall::End)]
fn shutdown_gives_pending_calls_a_final_response(#[case] call: BatchCall, #[values(false, true)] sent: bool) {
    let mut gateway = Gateway::new();
    if !sent {
        gateway.up.clear();
    }
    let changes = matches!(call, BatchCall::Submit { .. } | BatchCall::End);
    let submits = matches!(call, BatchCall::Submit { .. });
    let number = gateway.begin(call);
    let responses = gateway.calls.end_all();
    let [CallResponse { call, response }] = &responses[..] else {
        panic!("expected one response: {responses:?}")
    };
    assert_eq!((*call, gateway.calls.pending()), (number, 0));
    match response {
        BatchResponse::OutcomeUnknown => assert!(changes && sent),
        BatchResponse::Rejected { .. } => assert!(submits && !sent),
        BatchResponse::Unavailable => assert!(!(submits || changes && sent)),
        other => panic!("{other:?}"),
    }
}

/// A read that is retried may wait only as long as its client does, as otherwise the gateway would end it before the
/// store node responds.
#[rstest]
#[case::link_lost(FirstOutcome::LinkLost, 1_400)]
#[case::timeout(FirstOutcome::Timeout, 1_600)]
fn a_retried_read_waits_for_the_remaining_time(#[case] first: FirstOutcome, #[case] after_ms: u64) {
    const ALLOWED_MS: u64 = 1_000;
    let mut gateway = Gateway::new();
    let started_at = gateway.now;
    let call = gateway.begin(read());
    let wait_ms_sent = |gateway: &Gateway| match gateway.sent.last().map(|out| &out.message) {
        Some(GatewayMessage::ReadResults { wait_ms, .. }) => u64::from(*wait_ms),
        other => panic!("{other:?}"),
    };
    assert_eq!(wait_ms_sent(&gateway), ALLOWED_MS);
    if matches!(first, FirstOutcome::LinkLost) {
        gateway.pass(after_ms);
        let store_called = gateway.stores_called()[0];
        gateway.calls.store_lost(gateway.now, store_called);
    }
    while gateway.sent.len() < 2 {
        gateway.pass(20);
    }
    assert!(gateway.now >= started_at + after_ms);
    let responds_at = gateway.now + wait_ms_sent(&gateway);
    assert!(responds_at <= started_at + ALLOWED_MS + 700, "{responds_at}");
    gateway.pass(responds_at - gateway.now);
    gateway.respond(call, StoreResponse::Results { total: 40, next: 12, outcomes: Vec::new() });
    assert!(matches!(gateway.response(), Some(BatchResponse::Results { .. })), "{:?}", gateway.responses);
}
