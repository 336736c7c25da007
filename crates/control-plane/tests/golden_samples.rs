//! Recorded bytes of every message between control nodes, of every record on their disks and of every session message.
//! Their encoding must not change, since other versions read it from the network and from disks.

use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use orchidvalve_chain_replication::{Entry, EpochRun, Message as ChainMessage};
use orchidvalve_consensus::acceptor::Acceptor;
use orchidvalve_consensus::{
    AcceptedView, Ballot, DurableState, MemberStatus, Message as AgreementMessage, View,
};
use orchidvalve_control_plane::disk_records::DiskRecord;
use orchidvalve_control_plane::peer_messages::{ForwardNumber, HeadRequest, PeerMessage, RequestOutcome};
use orchidvalve_control_plane::sessions::Session;
use orchidvalve_control_state::{Change, ControlState, ModelUsage, Placement, UsageReport};
use orchidvalve_golden::{check_samples, read_samples};
use orchidvalve_protocol::frames::{decode, encode};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{
    ControlMessage, FeedPosition, GatewayList, Handshake, ModelVersionChange, Role, ServerEntry,
    ServerTableUpdate, ServiceLoad, SessionMessage, StoreHealth, TableVersion, TenantRequests, WindowUsage,
};

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Checks that the samples have the recorded bytes, and that these decode to the samples.
fn check<T>(name: &str, samples: &[(&str, T)])
where
    T: PartialEq + std::fmt::Debug + Encode<Binary> + for<'de> Decode<'de, Binary, Global>,
{
    let encoded: Vec<(&str, Vec<u8>)> =
        samples.iter().map(|(name, sample)| (*name, encode(sample))).collect();
    check_samples(&file(name), &encoded);
    for ((_, bytes), (name, sample)) in read_samples(&file(name)).iter().zip(samples) {
        assert_eq!(decode::<T>(bytes).as_ref(), Some(sample), "{name}");
    }
}

fn address(number: u8) -> NodeAddress {
    NodeAddress::new(Ipv4Addr::new(10, 0, 0, number), 7000)
}

fn member(number: u8) -> MemberId {
    MemberId { address: address(number), disk: 0x1234_5678_9abc_def0 + u64::from(number) }
}

fn handshake(role: Role) -> Handshake {
    Handshake {
        version: 3,
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

fn version(term: u64, number: u64) -> TableVersion {
    TableVersion { term, number }
}

fn entry() -> ServerEntry {
    ServerEntry {
        instance: "i-1".to_owned(),
        service: "blue".to_owned(),
        address: address(9),
        zone: "north".to_owned(),
        slots: 16,
        draining: true,
        models: vec![("large".to_owned(), 3), ("small".to_owned(), 1)],
    }
}

fn complete_table() -> ServerTableUpdate {
    ServerTableUpdate::Snapshot { version: version(2, 9), servers: vec![entry(), entry()] }
}

fn table_difference() -> ServerTableUpdate {
    ServerTableUpdate::Delta {
        from: version(1, 300),
        version: version(2, 9),
        versions: vec![ModelVersionChange { server: 1, model: 0, version: 300 }],
        changed: vec![entry()],
        removed: vec!["i-2".to_owned()],
    }
}

fn workers() -> GatewayList {
    GatewayList { version: version(2, 300), gateways: vec![address(1), address(3)] }
}

fn view() -> View {
    View { epoch: 4, voters: vec![member(1), member(2)], chain: vec![member(2)] }
}

fn ballot() -> Ballot {
    Ballot { round: 3, proposer: member(2) }
}

fn status() -> MemberStatus {
    MemberStatus { caught_up: true, unsettled: false, reaches_chain: true, leaving: true, impaired: false }
}

fn log_entry(sequence: u64) -> Entry {
    Entry { sequence, epoch: 2, payload: Rc::from(&b"change"[..]) }
}

#[test]
fn messages_between_control_nodes_are_as_recorded() {
    let agreement = PeerMessage::Agreement;
    let chain = PeerMessage::Chain;
    let forwarded = |outcome| PeerMessage::ForwardOutcome { number: ForwardNumber(5), outcome };
    let reason = || "why".to_owned();
    let (epoch, ballot, view) = (4, ballot(), view());
    let runs = vec![EpochRun { epoch: 1, first: 1 }, EpochRun { epoch: 2, first: 8 }];
    let sessions = vec![
        Session { health: Some(health()), ..Session::new(&handshake(Role::Store)) },
        Session::new(&handshake(Role::Gateway)),
        Session::new(&handshake(Role::Control)),
    ];
    let change = HeadRequest::Change { change: vec![1, 200, 3] };
    let retirement = HeadRequest::Retire { name: "store-1".to_owned() };
    let entries = ChainMessage::Entries {
        epoch: 2,
        position_id: 9,
        previous_sequence: 7,
        previous_epoch: 1,
        entries: vec![log_entry(8), log_entry(9)],
        committed: 7,
        epoch_base: Some(8),
    };
    let accepted = Some(AcceptedView { ballot, view: view.clone() });
    let promised = Ballot { round: 5, ..ballot };
    check(
        "peer-messages.txt",
        &[
            ("introduction", PeerMessage::Handshake { handshake: handshake(Role::Control) }),
            ("hello", agreement(AgreementMessage::Hello { member: member(1), bootstrap: true, epoch: 300 })),
            ("ping", agreement(AgreementMessage::Ping { number: 1 << 40, epoch: 3 })),
            ("pong", agreement(AgreementMessage::Pong { number: 9, epoch: 3, status: status() })),
            ("prepare", agreement(AgreementMessage::Prepare { epoch, ballot })),
            ("promise", agreement(AgreementMessage::Promise { epoch, ballot, accepted })),
            ("first-promise", agreement(AgreementMessage::Promise { epoch, ballot, accepted: None })),
            ("accept", agreement(AgreementMessage::Accept { ballot, view: view.clone() })),
            ("accepted", agreement(AgreementMessage::Accepted { epoch, ballot })),
            ("refusal", agreement(AgreementMessage::Nack { epoch, ballot, promised })),
            ("decision", agreement(AgreementMessage::Decided { view })),
            (
                "position",
                chain(ChainMessage::Position { epoch: 2, position_id: u64::MAX, first: 1, runs, end: 9 }),
            ),
            ("locate", chain(ChainMessage::Locate { epoch: 2 })),
            ("entries", chain(entries)),
            ("acknowledgement", chain(ChainMessage::Acknowledge { epoch: 2, sequence: 9 })),
            ("reset", chain(ChainMessage::Reset { epoch: 2, position_id: 5, start: 300, previous_epoch: 1 })),
            ("confirm", chain(ChainMessage::Confirm { epoch: 2, round: 1 << 50 })),
            ("confirmation", chain(ChainMessage::Confirmed { epoch: 2, round: 1 << 50, committed: 9 })),
            ("forwarded-change", PeerMessage::Forward { number: ForwardNumber(u64::MAX), request: change }),
            ("forwarded-retirement", PeerMessage::Forward { number: ForwardNumber(7), request: retirement }),
            ("outcome-done", forwarded(RequestOutcome::Done)),
            ("outcome-other-version", forwarded(RequestOutcome::VersionConflict { reason: reason() })),
            ("outcome-invalid", forwarded(RequestOutcome::Invalid { reason: reason() })),
            ("outcome-not-found", forwarded(RequestOutcome::NotFound { reason: reason() })),
            ("outcome-conflict", forwarded(RequestOutcome::Conflict { reason: reason() })),
            ("outcome-unclear", forwarded(RequestOutcome::Unknown)),
            ("sessions", PeerMessage::Sessions { sessions }),
            ("no-sessions", PeerMessage::Sessions { sessions: Vec::new() }),
            ("sessions-unchanged", PeerMessage::SessionsUnchanged),
            ("whole-table", PeerMessage::Servers(complete_table())),
            ("table-difference", PeerMessage::Servers(table_difference())),
            ("workers", PeerMessage::Workers(workers())),
            ("no-workers", PeerMessage::Workers(GatewayList::default())),
            ("learner-ready", PeerMessage::LearnerCaughtUp { partition: 7, epoch: 300, member: member(3) }),
            ("usage", PeerMessage::Usage { incarnation: 1 << 60, windows: usage() }),
            ("load", PeerMessage::Load { incarnation: 1 << 60, loads: loads() }),
        ],
    );
}

#[test]
fn records_on_disk_are_as_recorded() {
    let acceptor = Acceptor {
        promised: Some(ballot()),
        accepted: Some(AcceptedView { ballot: ballot(), view: view() }),
    };
    let agreement = DurableState { view: Some(view()), acceptor, complete: true };
    check(
        "disk-records.txt",
        &[
            ("entry", DiskRecord::Entry(log_entry(300))),
            ("truncation", DiskRecord::Truncate { after: 300 }),
            ("reset", DiskRecord::Reset { start: 300, previous_epoch: 2 }),
            ("agreement", DiskRecord::Agreement(agreement)),
            ("first-agreement", DiskRecord::Agreement(DurableState::default())),
            ("duty-note", DiskRecord::LeadershipEpoch { epoch: 300 }),
            ("trimming", DiskRecord::Compacted { first: 300, previous_epoch: 2 }),
        ],
    );
}

fn usage() -> Vec<WindowUsage> {
    let counts = vec![TenantRequests { tenant: "cuka620".to_owned(), requests: 70_000 }];
    vec![WindowUsage { window: 353_445_120, counts }, WindowUsage { window: 353_445_121, counts: Vec::new() }]
}

fn loads() -> Vec<ServiceLoad> {
    vec![ServiceLoad { service: "blue".to_owned(), running: 300, waiting: 7 }]
}

#[test]
fn messages_to_control_nodes_are_as_recorded() {
    let position = FeedPosition { applied: 500, servers: version(2, 3) };
    let model = || "large".to_owned();
    check(
        "messages-to-control.txt",
        &[
            ("introduction", SessionMessage::Handshake { handshake: handshake(Role::Gateway), position }),
            ("store-heartbeat", SessionMessage::Heartbeat { position, health: Some(health()) }),
            ("door-heartbeat", SessionMessage::Heartbeat { position, health: None }),
            ("learner-ready", SessionMessage::LearnerCaughtUp { partition: 1, epoch: 2, member: member(3) }),
            ("goodbye", SessionMessage::Goodbye),
            (
                "model-use",
                SessionMessage::ReportModelUsage { model: model(), single_version: true, lag: Some(3) },
            ),
            (
                "first-model-use",
                SessionMessage::ReportModelUsage { model: model(), single_version: false, lag: None },
            ),
            ("usage", SessionMessage::ReportUsage { windows: usage() }),
            ("load", SessionMessage::ReportLoad { loads: loads() }),
        ],
    );
}

#[test]
fn messages_from_control_nodes_are_as_recorded() {
    check(
        "messages-from-control.txt",
        &[
            ("welcome", ControlMessage::Welcome { controls: vec![address(1), address(2)] }),
            ("elsewhere", ControlMessage::Redirect { controls: Vec::new() }),
            ("heartbeat", ControlMessage::Heartbeat),
            ("snapshot", ControlMessage::Snapshot { sequence: 300, state: vec![1, 2, 250] }),
            ("changes", ControlMessage::Changes { first: 299, changes: vec![vec![1], vec![], vec![200, 3]] }),
            ("whole-table", ControlMessage::Servers(complete_table())),
            ("table-difference", ControlMessage::Servers(table_difference())),
            ("workers", ControlMessage::Gateways(workers())),
            ("first-view-vote", ControlMessage::FirstViewVote { message: vec![3, 250, 1] }),
        ],
    );
}

/// Returns changes of every kind.
fn changes() -> Vec<(&'static str, Change)> {
    let configuration = br#"{"config-version":1,"routes":[],"services":[]}"#;
    let placement = Placement {
        epoch: 5,
        members: vec![member(1), member(2)],
        learners: vec![member(3)],
        complete_replicas: vec![member(1)],
        copies: 2,
        reset_epoch: 4,
    };
    let (name, zone) = ("store-1".to_owned(), "north".to_owned());
    let usage = ModelUsage { single_version: true, lag: Some(2) };
    let report = UsageReport { window: 77, counts: [("cuka620".to_owned(), 412)].into() };
    vec![
        ("whole-configuration", Change::Replace { base: 0, body: configuration.to_vec() }),
        ("patch", Change::Patch { base: 1, body: br#"{"config-version":2}"#.to_vec() }),
        ("version", Change::NameVersion { model: "large".to_owned(), version: 3 }),
        ("registration", Change::RegisterStore { name, zone, member: member(4) }),
        ("placement", Change::Place(vec![(0, placement)])),
        ("retirement", Change::Retire { name: "store-1".to_owned() }),
        ("term", Change::BeginTerm),
        ("model-use", Change::RecordModelUsage { model: "large".to_owned(), usage }),
        ("usage-decided", Change::DecideUsageReport(report)),
        (
            "other-usage-decided",
            Change::DecideUsageReport(UsageReport { window: 78, ..UsageReport::default() }),
        ),
        ("usage-accepted", Change::AcceptUsageReport { window: 77 }),
    ]
}

#[test]
fn changes_of_the_control_state_are_as_recorded() {
    let mut changes = changes();
    let mut state = ControlState::default();
    let applied: Vec<bool> = changes.iter().map(|(_, change)| state.apply(change).is_ok()).collect();
    changes.push(("checkpoint", Change::Checkpoint(state.snapshot())));
    check("changes.txt", &changes);
    assert_eq!(applied, [true; 11]);
}
