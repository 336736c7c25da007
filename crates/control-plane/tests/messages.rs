//! Messages between control nodes and their subscribers: every variant with each single change of its bytes.
//!
//! A new variant breaks the build of the `_index` functions until it has an index, and the tests until there is a sample
//! of it.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::rc::Rc;

use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use orchidvalve_chain_replication::{Entry, EpochRun, Message as ChainMessage};
use orchidvalve_consensus::{AcceptedView, Ballot, MemberStatus, Message as AgreementMessage, View};
use orchidvalve_control_plane::peer_messages::{ForwardNumber, HeadRequest, PeerMessage, RequestOutcome};
use orchidvalve_control_plane::sessions::Session;
use orchidvalve_protocol::frames::{FrameError, MAX_FRAME_BYTES, read_frame, write_frame};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{
    ControlMessage, FeedPosition, GatewayList, Handshake, ModelVersionChange, PROTOCOL_VERSION, Role,
    ServerEntry, ServerTableUpdate, ServiceLoad, SessionMessage, StoreHealth, TableVersion, TenantRequests,
    WindowUsage,
};

fn address(number: u8) -> NodeAddress {
    NodeAddress::new(Ipv4Addr::new(10, 0, 0, number), 7000)
}

fn member(number: u8) -> MemberId {
    MemberId { address: address(number), disk: 0x1234_5678_9abc_def0 + u64::from(number) }
}

fn handshake(role: Role) -> Handshake {
    Handshake {
        version: PROTOCOL_VERSION,
        role,
        name: "edge-1".to_owned(),
        zone: "north".to_owned(),
        member: member(1),
        incarnation: 77,
        cpu_share: 0.25,
    }
}

fn health() -> StoreHealth {
    StoreHealth { disk_failing: true, used_bytes: 1 << 33, capacity_bytes: 1 << 40, draining: true }
}

fn servers() -> Vec<ServerTableUpdate> {
    let entry = ServerEntry {
        instance: "i-1".to_owned(),
        service: "blue".to_owned(),
        address: address(9),
        zone: "north".to_owned(),
        slots: 16,
        draining: true,
        models: vec![("large".to_owned(), 3), ("small".to_owned(), 1)],
    };
    let version = TableVersion { term: 2, number: 9 };
    vec![
        ServerTableUpdate::Snapshot { version, servers: vec![entry.clone(), entry.clone()] },
        ServerTableUpdate::Delta {
            from: TableVersion { term: 1, number: 300 },
            version,
            versions: vec![ModelVersionChange { server: 1, model: 0, version: 300 }],
            changed: vec![entry],
            removed: vec!["i-2".to_owned()],
        },
    ]
}

fn workers() -> GatewayList {
    GatewayList { version: TableVersion { term: 2, number: 300 }, gateways: vec![address(1), address(3)] }
}

fn agreement_index(message: &AgreementMessage) -> usize {
    match message {
        AgreementMessage::Hello { .. } => 0,
        AgreementMessage::Ping { .. } => 1,
        AgreementMessage::Pong { .. } => 2,
        AgreementMessage::Prepare { .. } => 3,
        AgreementMessage::Promise { .. } => 4,
        AgreementMessage::Accept { .. } => 5,
        AgreementMessage::Accepted { .. } => 6,
        AgreementMessage::Nack { .. } => 7,
        AgreementMessage::Decided { .. } => 8,
    }
}

fn agreement_samples() -> Vec<AgreementMessage> {
    let ballot = Ballot { round: 3, proposer: member(2) };
    let view = View { epoch: 4, voters: vec![member(1), member(2)], chain: vec![member(2)] };
    let status = MemberStatus { caught_up: true, leaving: true, ..MemberStatus::default() };
    vec![
        AgreementMessage::Hello { member: member(1), bootstrap: true, epoch: 300 },
        AgreementMessage::Ping { number: 1 << 40, epoch: 3 },
        AgreementMessage::Pong { number: 9, epoch: 3, status },
        AgreementMessage::Prepare { epoch: 4, ballot },
        AgreementMessage::Promise {
            epoch: 4,
            ballot,
            accepted: Some(AcceptedView { ballot, view: view.clone() }),
        },
        AgreementMessage::Promise { epoch: 4, ballot, accepted: None },
        AgreementMessage::Accept { ballot, view: view.clone() },
        AgreementMessage::Accepted { epoch: 4, ballot },
        AgreementMessage::Nack { epoch: 4, ballot, promised: Ballot { round: 5, ..ballot } },
        AgreementMessage::Decided { view },
    ]
}

fn chain_index(message: &ChainMessage) -> usize {
    match message {
        ChainMessage::Position { .. } => 0,
        ChainMessage::Entries { .. } => 1,
        ChainMessage::Acknowledge { .. } => 2,
        ChainMessage::Reset { .. } => 3,
        ChainMessage::Confirm { .. } => 4,
        ChainMessage::Confirmed { .. } => 5,
        ChainMessage::Locate { .. } => 6,
    }
}

fn chain_samples() -> Vec<ChainMessage> {
    let locate = ChainMessage::Locate { epoch: 2 };
    let entry = |sequence| Entry { sequence, epoch: 2, payload: Rc::from(&b"change"[..]) };
    let runs = vec![EpochRun { epoch: 1, first: 1 }, EpochRun { epoch: 2, first: 8 }];
    vec![
        locate,
        ChainMessage::Position { epoch: 2, position_id: u64::MAX, first: 1, runs, end: 9 },
        ChainMessage::Entries {
            epoch: 2,
            position_id: 9,
            previous_sequence: 7,
            previous_epoch: 1,
            entries: vec![entry(8), entry(9)],
            committed: 7,
            epoch_base: Some(8),
        },
        ChainMessage::Acknowledge { epoch: 2, sequence: 9 },
        ChainMessage::Reset { epoch: 2, position_id: 5, start: 300, previous_epoch: 1 },
        ChainMessage::Confirm { epoch: 2, round: 1 << 50 },
        ChainMessage::Confirmed { epoch: 2, round: 1 << 50, committed: 9 },
    ]
}

fn outcome_index(outcome: &RequestOutcome) -> usize {
    match outcome {
        RequestOutcome::Done => 0,
        RequestOutcome::VersionConflict { .. } => 1,
        RequestOutcome::Invalid { .. } => 2,
        RequestOutcome::NotFound { .. } => 3,
        RequestOutcome::Conflict { .. } => 4,
        RequestOutcome::Unknown => 5,
    }
}

fn outcome_samples() -> Vec<RequestOutcome> {
    let reason = || "why".to_owned();
    vec![
        RequestOutcome::Done,
        RequestOutcome::VersionConflict { reason: reason() },
        RequestOutcome::Invalid { reason: reason() },
        RequestOutcome::NotFound { reason: reason() },
        RequestOutcome::Conflict { reason: reason() },
        RequestOutcome::Unknown,
    ]
}

fn peer_index(message: &PeerMessage) -> usize {
    match message {
        PeerMessage::Handshake { .. } => 0,
        PeerMessage::Agreement(_) => 1,
        PeerMessage::Chain(_) => 2,
        PeerMessage::Forward { .. } => 3,
        PeerMessage::ForwardOutcome { .. } => 4,
        PeerMessage::Sessions { .. } => 5,
        PeerMessage::Servers(_) => 6,
        PeerMessage::LearnerCaughtUp { .. } => 7,
        PeerMessage::Workers(_) => 8,
        PeerMessage::SessionsUnchanged => 9,
        PeerMessage::Usage { .. } => 10,
        PeerMessage::Load { .. } => 11,
    }
}

fn peer_samples() -> Vec<PeerMessage> {
    let change = HeadRequest::Change { change: vec![1, 200, 3] };
    let session = Session { health: Some(health()), ..Session::new(&handshake(Role::Store)) };
    let gateway = Session::new(&handshake(Role::Gateway));
    let mut samples = vec![
        PeerMessage::Handshake { handshake: handshake(Role::Control) },
        PeerMessage::Forward { number: ForwardNumber(u64::MAX), request: change },
        PeerMessage::Sessions { sessions: vec![session, gateway] },
        PeerMessage::Sessions { sessions: Vec::new() },
        PeerMessage::SessionsUnchanged,
        PeerMessage::LearnerCaughtUp { partition: 7, epoch: 300, member: member(3) },
        PeerMessage::Workers(workers()),
        PeerMessage::Workers(GatewayList::default()),
        PeerMessage::Usage { incarnation: u64::MAX, windows: usage() },
        PeerMessage::Load { incarnation: 7, loads: loads() },
    ];
    samples.extend(agreement_samples().into_iter().map(PeerMessage::Agreement));
    samples.extend(chain_samples().into_iter().map(PeerMessage::Chain));
    samples.extend(
        outcome_samples()
            .into_iter()
            .map(|outcome| PeerMessage::ForwardOutcome { number: ForwardNumber(5), outcome }),
    );
    samples.extend(servers().into_iter().map(PeerMessage::Servers));
    samples
}

fn usage() -> Vec<WindowUsage> {
    let counts = vec![TenantRequests { tenant: "cuka620".to_owned(), requests: 70_000 }];
    vec![WindowUsage { window: 353_445_120, counts }, WindowUsage { window: 353_445_121, counts: Vec::new() }]
}

fn loads() -> Vec<ServiceLoad> {
    vec![ServiceLoad { service: "blue".to_owned(), running: 300, waiting: 7 }]
}

fn to_control_index(message: &SessionMessage) -> usize {
    match message {
        SessionMessage::Handshake { .. } => 0,
        SessionMessage::Heartbeat { .. } => 1,
        SessionMessage::LearnerCaughtUp { .. } => 2,
        SessionMessage::Goodbye => 3,
        SessionMessage::ReportModelUsage { .. } => 4,
        SessionMessage::ReportUsage { .. } => 5,
        SessionMessage::ReportLoad { .. } => 6,
    }
}

fn to_control_samples() -> Vec<SessionMessage> {
    let position = FeedPosition { applied: 500, servers: TableVersion { term: 2, number: 3 } };
    let model = || "large".to_owned();
    vec![
        SessionMessage::Handshake { handshake: handshake(Role::Gateway), position },
        SessionMessage::Heartbeat { position, health: Some(health()) },
        SessionMessage::Heartbeat { position, health: None },
        SessionMessage::LearnerCaughtUp { partition: 1, epoch: 2, member: member(3) },
        SessionMessage::Goodbye,
        SessionMessage::ReportModelUsage { model: model(), single_version: true, lag: Some(3) },
        SessionMessage::ReportModelUsage { model: model(), single_version: false, lag: None },
        SessionMessage::ReportUsage { windows: usage() },
        SessionMessage::ReportLoad { loads: loads() },
    ]
}

fn from_control_index(message: &ControlMessage) -> usize {
    match message {
        ControlMessage::Welcome { .. } => 0,
        ControlMessage::Redirect { .. } => 1,
        ControlMessage::Heartbeat => 2,
        ControlMessage::Snapshot { .. } => 3,
        ControlMessage::Changes { .. } => 4,
        ControlMessage::Servers(_) => 5,
        ControlMessage::Gateways(_) => 6,
        ControlMessage::FirstViewVote { .. } => 7,
    }
}

fn from_control_samples() -> Vec<ControlMessage> {
    let mut samples = vec![
        ControlMessage::Welcome { controls: vec![address(1), address(2)] },
        ControlMessage::Redirect { controls: Vec::new() },
        ControlMessage::Heartbeat,
        ControlMessage::Snapshot { sequence: 300, state: vec![1, 2, 250] },
        ControlMessage::Changes { first: 299, changes: vec![vec![1], vec![], vec![200, 3]] },
        ControlMessage::Gateways(workers()),
        ControlMessage::FirstViewVote { message: vec![3, 250, 1] },
    ];
    samples.extend(servers().into_iter().map(ControlMessage::Servers));
    samples
}

/// Checks that every variant up to the highest index has a sample.
fn assert_complete<T>(samples: &[T], index: impl Fn(&T) -> usize, variants: usize) {
    let indices: BTreeSet<usize> = samples.iter().map(index).collect();
    assert_eq!(indices, (0..variants).collect());
}

#[test]
fn every_variant_has_a_sample() {
    assert_complete(&agreement_samples(), agreement_index, 9);
    assert_complete(&chain_samples(), chain_index, 7);
    assert_complete(&outcome_samples(), outcome_index, 6);
    assert_complete(&peer_samples(), peer_index, 12);
    assert_complete(&to_control_samples(), to_control_index, 7);
    assert_complete(&from_control_samples(), from_control_index, 8);
}

trait Message: PartialEq + std::fmt::Debug + Encode<Binary> + for<'de> Decode<'de, Binary, Global> {}
impl<T: PartialEq + std::fmt::Debug + Encode<Binary> + for<'de> Decode<'de, Binary, Global>> Message for T {}

fn frame<T: Message>(message: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_frame(&mut bytes, message);
    bytes
}

/// Returns all messages decoded from the bytes of a connection, and whether the connection has to be dropped then.
fn receive<T: Message>(mut bytes: &[u8]) -> (Vec<T>, bool) {
    let mut messages = Vec::new();
    loop {
        match read_frame::<T>(bytes) {
            Ok(Some((message, length))) => {
                messages.push(message);
                bytes = &bytes[length..];
            }
            Ok(None) => return (messages, false),
            Err(_) => return (messages, true),
        }
    }
}

/// Checks that each sample is decoded unchanged; that a truncated frame is incomplete; that a frame whose length field is too
/// short or too long is refused; and that a flipped bit leads to a refusal, an incomplete frame or one message without a
/// panic. (Numbers have several encodings, so a few bits do not matter.)
fn check_bytes<T: Message>(samples: &[T]) {
    for sample in samples {
        let complete = frame(sample);
        assert_eq!(receive::<T>(&complete), (vec![receive::<T>(&complete).0.remove(0)], false));
        assert_eq!(&receive::<T>(&complete).0[0], sample);
        for length in 0..complete.len() {
            assert_eq!(receive::<T>(&complete[..length]), (Vec::new(), false), "{sample:?} at {length}");
        }
        for body in 0..complete.len() - 4 {
            let mut short = (body as u32).to_le_bytes().to_vec();
            short.extend_from_slice(&complete[4..4 + body]);
            assert_eq!(receive::<T>(&short), (Vec::new(), true), "{sample:?} with {body} bytes");
        }
        let mut longer = ((complete.len() - 3) as u32).to_le_bytes().to_vec();
        longer.extend_from_slice(&complete[4..]);
        longer.push(0);
        assert_eq!(receive::<T>(&longer), (Vec::new(), true), "{sample:?} with an extra byte");
        for bit in 0..complete.len() * 8 {
            let mut flipped = complete.clone();
            flipped[bit / 8] ^= 1 << (bit % 8);
            let (messages, dropped) = receive::<T>(&flipped);
            assert!(messages.len() <= 1 && !(dropped && messages.first() == Some(sample)), "bit {bit}");
        }
    }
}

#[test]
fn peer_messages_with_changed_bytes_are_detected() {
    check_bytes(&peer_samples());
}

#[test]
fn messages_to_control_with_changed_bytes_are_detected() {
    check_bytes(&to_control_samples());
}

#[test]
fn messages_from_control_with_changed_bytes_are_detected() {
    check_bytes(&from_control_samples());
}

/// Checks that frames which are dropped, doubled or replayed as a complete leave the boundaries of the others intact.
fn check_frames<T: Message + Clone>(samples: &[T]) {
    for index in 0..samples.len() {
        let mut dropped = samples.to_vec();
        dropped.remove(index);
        let mut doubled = samples.to_vec();
        doubled.insert(index, samples[index].clone());
        let mut replayed = samples.to_vec();
        replayed.push(samples[index].clone());
        for changed in [dropped, doubled, replayed] {
            let bytes: Vec<u8> = changed.iter().flat_map(frame).collect();
            assert_eq!(receive::<T>(&bytes), (changed, false));
        }
        // A malformed frame ends the connection; the messages before it are delivered.
        let mut bytes: Vec<u8> = samples[..index].iter().flat_map(frame).collect();
        bytes.extend_from_slice(&[1, 0, 0, 0, 0xff]);
        bytes.extend(samples[index..].iter().flat_map(frame));
        assert_eq!(receive::<T>(&bytes), (samples[..index].to_vec(), true));
    }
}

#[test]
fn dropped_doubled_and_replayed_frames_leave_the_others_intact() {
    check_frames(&peer_samples());
    check_frames(&to_control_samples());
    check_frames(&from_control_samples());
}

#[test]
fn an_oversized_frame_is_refused_by_its_length() {
    let bytes = (MAX_FRAME_BYTES as u32 + 1).to_le_bytes();
    let refused = read_frame::<ControlMessage>(&bytes);
    assert_eq!(refused, Err(FrameError::TooLarge { bytes: MAX_FRAME_BYTES + 1 }));
}
