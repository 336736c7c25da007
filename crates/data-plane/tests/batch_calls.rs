//! Calls of batch jobs: which store is asked, what is tried again, and what the client is told.

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

/// Partitions whose chains are stores 1, 2 and 3.
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

    fn answer(&mut self, call: CallId, answer: StoreResponse) {
        let response = self.calls.response_received(self.now, call, answer);
        self.responses.extend(response.map(|response| CallResponse { call, response }));
    }

    fn asked(&self) -> Vec<NodeAddress> {
        self.sent.iter().map(|o| o.store).collect()
    }

    fn response(&self) -> Option<&BatchResponse> {
        assert!(self.responses.len() <= 1, "a call is answered once");
        self.responses.first().map(|answered| &answered.response)
    }
}

fn submission() -> BatchCall {
    BatchCall::Submit { job: b"job".to_vec(), received_at_ms: 77 }
}

fn reading() -> BatchCall {
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
fn what_changes_a_job_goes_to_the_head_of_its_partition(#[case] call: BatchCall) {
    let mut gateway = Gateway::new();
    gateway.same_zone.insert(store(3));
    let call = gateway.begin(call);
    assert_eq!(gateway.asked(), [store(1)]);
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
#[case::reading(reading())]
#[case::body(item_body())]
fn readings_stay_in_the_zone_and_then_go_round(#[case] call: BatchCall) {
    let mut gateway = Gateway::new();
    gateway.same_zone.insert(store(2));
    let call = gateway.begin(call);
    assert_eq!(gateway.asked(), [store(2)]);
    for _ in 0..2 {
        gateway.answer(call, StoreResponse::Unavailable);
        assert!(gateway.response().is_none());
        gateway.pass(100);
    }
    assert_eq!(gateway.asked().into_iter().collect::<BTreeSet<_>>(), gateway.up);
}

#[rstest]
#[case::taken(submission(), StoreResponse::Accepted, |a: &BatchResponse| matches!(a, BatchResponse::Accepted))]
#[case::full(submission(), rejected(), |a: &BatchResponse| matches!(a, BatchResponse::Rejected { retry_after_ms: 250, .. }))]
#[case::unknown(reading(), StoreResponse::NotFound, |a: &BatchResponse| matches!(a, BatchResponse::NotFound))]
#[case::unknown_item(item_body(), StoreResponse::NotFound, |a: &BatchResponse| matches!(a, BatchResponse::NotFound))]
#[case::body(item_body(), StoreResponse::Body(b"b".to_vec()), |a: &BatchResponse| matches!(a, BatchResponse::Body(b) if b == b"b"))]
#[case::ended(BatchCall::End, StoreResponse::Ended, |a: &BatchResponse| matches!(a, BatchResponse::Ended))]
#[case::results(
    reading(),
    StoreResponse::Results { total: 40, next: 13, outcomes: vec![outcome()] },
    |a: &BatchResponse| matches!(a, BatchResponse::Results { total: 40, after: 12, outcomes } if outcomes.len() == 1)
)]
fn what_a_store_is_sure_of_is_told(
    #[case] call: BatchCall,
    #[case] answer: StoreResponse,
    #[case] expected: fn(&BatchResponse) -> bool,
) {
    let mut gateway = Gateway::new();
    let call = gateway.begin(call);
    gateway.answer(call, answer);
    assert!(expected(gateway.response().unwrap()), "{:?}", gateway.responses);
    assert_eq!(gateway.calls.pending(), 0);
    gateway.answer(call, StoreResponse::Accepted);
    gateway.pass(10_000);
    assert_eq!((gateway.responses.len(), gateway.sent.len()), (1, 1));
}

#[rstest]
fn the_answer_to_another_kind_of_call_is_none(
    #[values(submission(), reading(), item_body(), BatchCall::End)] call: BatchCall,
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
    for answer in responses {
        let fits = match answer {
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
        gateway.answer(number, answer);
        assert!(gateway.response().is_none(), "{:?}", gateway.responses);
        gateway.pass(100);
        assert_eq!((gateway.calls.pending(), gateway.sent.len()), (1, 1), "it still waits for its answer");
        ignored += 1;
    }
    assert!(ignored >= 4);
}

#[test]
fn a_response_to_another_call_reaches_neither() {
    let mut gateway = Gateway::new();
    let (first, second) = (gateway.begin(reading()), gateway.begin(item_body()));
    gateway.answer(CallId(second.0 + 1), StoreResponse::NotFound);
    assert!(gateway.response().is_none());
    gateway.answer(second, StoreResponse::NotFound);
    assert_eq!(gateway.responses.iter().map(|answered| answered.call).collect::<Vec<_>>(), [second]);
    assert_eq!(gateway.calls.pending(), 1);
    assert_ne!(first, second);
}

/// What befalls the first try of a submission or an end.
#[derive(Clone, Copy, Debug)]
enum First {
    Unclear,
    LinkLost,
    Silence,
}

fn befall(gateway: &mut Gateway, call: CallId, first: First, unclear: StoreResponse) {
    match first {
        First::Unclear => gateway.answer(call, unclear),
        First::LinkLost => gateway.calls.store_lost(gateway.now, store(1)),
        First::Silence => gateway.pass(650),
    }
}

/// An end that was sent may have been done: no status says that it never will be.
#[rstest]
fn an_undecided_end_is_never_promised_not_to_run(
    #[values(First::Unclear, First::LinkLost, First::Silence)] first: First,
) {
    let mut gateway = Gateway::new();
    let call = gateway.begin(BatchCall::End);
    befall(&mut gateway, call, first, StoreResponse::Unavailable);
    gateway.up.clear();
    while gateway.response().is_none() {
        gateway.pass(100);
        assert!(gateway.now < 8_000, "the client is told in time");
    }
    assert!(matches!(gateway.response(), Some(BatchResponse::OutcomeUnknown)), "{:?}", gateway.responses);
}

/// A submission that may have been taken is never answered with a promise, whatever later tries say.
#[rstest]
fn an_undecided_submission_is_never_promised_not_to_run(
    #[values(First::Unclear, First::LinkLost, First::Silence)] first: First,
    #[values(false, true)] later_refused: bool,
) {
    let mut gateway = Gateway::new();
    let call = gateway.begin(submission());
    befall(&mut gateway, call, first, StoreResponse::OutcomeUnknown);
    gateway.pass(100);
    assert!(gateway.sent.len() > 1, "it is tried again");
    while gateway.response().is_none() {
        if later_refused {
            gateway.answer(call, rejected());
        }
        gateway.pass(100);
        assert!(gateway.now < 8_000, "the client is told in time");
    }
    assert!(matches!(gateway.response(), Some(BatchResponse::OutcomeUnknown)), "{:?}", gateway.responses);
}

#[test]
fn a_submission_retried_may_still_be_accepted() {
    let mut gateway = Gateway::new();
    let call = gateway.begin(submission());
    gateway.calls.store_lost(gateway.now, store(1));
    gateway.pass(10);
    gateway.answer(call, rejected());
    gateway.pass(100);
    gateway.answer(call, StoreResponse::Accepted);
    assert!(matches!(gateway.response(), Some(BatchResponse::Accepted)));
}

#[rstest]
#[case::submission(submission(), 1_500, |a: &BatchResponse| matches!(a, BatchResponse::Rejected { .. }))]
#[case::reading(reading(), 2_200, |a: &BatchResponse| matches!(a, BatchResponse::Unavailable))]
#[case::body(item_body(), 1_200, |a: &BatchResponse| matches!(a, BatchResponse::Unavailable))]
#[case::end(BatchCall::End, 1_200, |a: &BatchResponse| matches!(a, BatchResponse::Unavailable))]
fn without_a_store_nothing_was_sent(
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
fn a_call_waits_for_a_store_to_come_up() {
    let mut gateway = Gateway::new();
    gateway.up.clear();
    gateway.begin(submission());
    gateway.up.insert(store(1));
    gateway.pass(100);
    assert_eq!(gateway.asked(), [store(1)]);
}

#[test]
fn a_reading_whose_store_is_lost_goes_to_another_at_once() {
    let mut gateway = Gateway::new();
    gateway.begin(reading());
    let first = gateway.asked()[0];
    gateway.calls.store_lost(gateway.now, store(9));
    gateway.pass(1);
    assert_eq!(gateway.sent.len(), 1);
    gateway.calls.store_lost(gateway.now, first);
    gateway.up.remove(&first);
    gateway.pass(0);
    assert_eq!(gateway.sent.len(), 2);
    assert_ne!(gateway.asked()[1], first);
}

#[test]
fn a_changed_placement_is_followed() {
    let mut gateway = Gateway::new();
    let call = gateway.begin(submission());
    let members = vec![MemberId { address: store(3), disk: 3 }];
    let placement = Placement { epoch: 2, members, learners: Vec::new(), ..Placement::default() };
    let partition = partition_of(ID, usize::from(PARTITIONS));
    gateway.state.apply(&Change::Place(vec![(partition, placement)])).unwrap();
    gateway.answer(call, StoreResponse::OutcomeUnknown);
    gateway.pass(100);
    assert_eq!(gateway.asked(), [store(1), store(3)]);
}

#[test]
fn a_client_that_has_disconnected_is_told_nothing() {
    let mut gateway = Gateway::new();
    let call = gateway.begin(reading());
    gateway.calls.remove(call);
    gateway.answer(call, StoreResponse::NotFound);
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
#[case::reading(reading())]
#[case::body(item_body())]
#[case::end(BatchCall::End)]
fn a_process_that_ends_gives_pending_calls_a_final_response(
    #[case] call: BatchCall,
    #[values(false, true)] sent: bool,
) {
    let mut gateway = Gateway::new();
    if !sent {
        gateway.up.clear();
    }
    let changes = matches!(call, BatchCall::Submit { .. } | BatchCall::End);
    let submits = matches!(call, BatchCall::Submit { .. });
    let number = gateway.begin(call);
    let responses = gateway.calls.end_all();
    let [CallResponse { call: response, response: answer }] = &responses[..] else {
        panic!("one answer: {responses:?}")
    };
    assert_eq!((*response, gateway.calls.pending()), (number, 0));
    match answer {
        BatchResponse::OutcomeUnknown => assert!(changes && sent),
        BatchResponse::Rejected { .. } => assert!(submits && !sent),
        BatchResponse::Unavailable => assert!(!(submits || changes && sent)),
        other => panic!("{other:?}"),
    }
}

/// A reading that is asked anew may wait only as long as its client still waits: else the gateway has to give up before
/// the store answers.
#[rstest]
#[case::link_lost(First::LinkLost, 1_400)]
#[case::silence(First::Silence, 1_600)]
fn a_reading_that_is_asked_anew_waits_for_what_is_left(#[case] first: First, #[case] after_ms: u64) {
    const ALLOWED_MS: u64 = 1_000;
    let mut gateway = Gateway::new();
    let began_at = gateway.now;
    let call = gateway.begin(reading());
    let held = |gateway: &Gateway| match gateway.sent.last().map(|out| &out.message) {
        Some(GatewayMessage::ReadResults { wait_ms, .. }) => u64::from(*wait_ms),
        other => panic!("{other:?}"),
    };
    assert_eq!(held(&gateway), ALLOWED_MS);
    if matches!(first, First::LinkLost) {
        gateway.pass(after_ms);
        let asked = gateway.asked()[0];
        gateway.calls.store_lost(gateway.now, asked);
    }
    while gateway.sent.len() < 2 {
        gateway.pass(20);
    }
    assert!(gateway.now >= began_at + after_ms);
    let answered_at = gateway.now + held(&gateway);
    assert!(answered_at <= began_at + ALLOWED_MS + 700, "{answered_at}");
    gateway.pass(answered_at - gateway.now);
    gateway.answer(call, StoreResponse::Results { total: 40, next: 12, outcomes: Vec::new() });
    assert!(matches!(gateway.response(), Some(BatchResponse::Results { .. })), "{:?}", gateway.responses);
}
