//! Golden test of the encoding of every message between processes, and of values that are compared across processes.

use std::net::Ipv4Addr;
use std::path::Path;

use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use orchidvalve_golden::check_samples;
use orchidvalve_protocol::frames::{decode, encode, read_frame, write_frame};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{
    AssignedGroup, AssignedItem, AssignedJob, ControlMessage, FeedPosition, GatewayList, GatewayMessage,
    Handshake, ItemFailures, ItemOutcome, ItemState, LinkProtocol, ModelVersionChange, PROTOCOL_VERSION,
    Role, ScorerRequest, ServerEntry, ServerTableUpdate, ServiceLoad, SessionMessage, StoreHealth,
    StoreMessage, StoreResponse, TableVersion, TenantRequests, WindowUsage,
};
use orchidvalve_protocol::rendezvous::{hash, mix, rank};

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden");

type Samples = Vec<(&'static str, Vec<u8>)>;

/// Adds the encoded value after checking that it decodes to the same value.
fn add<T>(samples: &mut Samples, name: &'static str, value: T)
where
    T: Encode<Binary> + for<'de> Decode<'de, Binary, Global> + PartialEq,
{
    let bytes = encode(&value);
    assert!(decode::<T>(&bytes) == Some(value), "{name} decodes to another value");
    samples.push((name, bytes));
}

fn check(file: &str, samples: &Samples) {
    check_samples(&Path::new(FOLDER).join(file), samples);
}

fn address(last: u8) -> NodeAddress {
    NodeAddress::new(Ipv4Addr::new(10, 1, 2, last), 7660 + u16::from(last))
}

fn member(last: u8) -> MemberId {
    MemberId { address: address(last), disk: 0x0102_0304_0506_0700 + u64::from(last) }
}

fn servers_version() -> TableVersion {
    TableVersion { term: 5, number: 1_000 }
}

fn position() -> FeedPosition {
    FeedPosition { applied: 70_000, servers: servers_version() }
}

fn health() -> StoreHealth {
    StoreHealth { disk_failing: true, used_bytes: 1 << 33, capacity_bytes: 1 << 40, draining: false }
}

fn handshake(role: Role) -> Handshake {
    Handshake {
        version: PROTOCOL_VERSION,
        role,
        name: "storage-a-1".to_owned(),
        zone: "zone-a".to_owned(),
        member: member(3),
        incarnation: 0xfedc_ba98_7654_3211,
        cpu_share: 0.25,
    }
}

fn server(number: u8) -> ServerEntry {
    ServerEntry {
        instance: format!("i-{number}"),
        service: "blue".to_owned(),
        address: address(number),
        zone: "zone-b".to_owned(),
        slots: 300,
        draining: number == 2,
        models: vec![("large".to_owned(), 7), ("small".to_owned(), 1 << 40)],
    }
}

fn scorer_request() -> ScorerRequest {
    ScorerRequest {
        id: "scorer-1".to_owned(),
        hostname: "scorer.example".to_owned(),
        path: "/score".to_owned(),
        body: b"score\x00this".to_vec(),
    }
}

fn assigned_item(scorer: Option<ScorerRequest>) -> AssignedItem {
    AssignedItem {
        id: "item-1".to_owned(),
        path: "/v1/generate".to_owned(),
        headers: vec![("Model".to_owned(), "large".to_owned()), ("X-Empty".to_owned(), String::new())],
        body: vec![0, 1, 2, 0xff],
        token_usage: 4_096,
        scorer,
    }
}

fn assigned_group() -> AssignedGroup {
    AssignedGroup { index: 9, items: vec![assigned_item(None), assigned_item(Some(scorer_request()))] }
}

fn assigned_job(model: Option<&str>) -> AssignedJob {
    AssignedJob {
        partition: 513,
        epoch: 12,
        job: "job-7".to_owned(),
        hostname: "batch.example".to_owned(),
        path: "/v1/lots".to_owned(),
        model: model.map(str::to_owned),
        min_weights_version: 6,
        age_ms: 123_456,
        tenant: model.map(|_| "cuka620".to_owned()),
    }
}

fn outcome(state: ItemState) -> ItemOutcome {
    ItemOutcome {
        item: "item-1".to_owned(),
        state,
        message: b"line\nline".to_vec(),
        weight_versions: vec![6, 7, 1 << 50],
        score: Some("3e.1".to_owned()),
    }
}

#[test]
fn identities_and_parts_of_messages_are_encoded_as_recorded() {
    let mut samples = Samples::new();
    add(&mut samples, "node-address", address(200));
    add(&mut samples, "member", member(200));
    add(&mut samples, "member-without-disk", MemberId { address: address(1), disk: 0 });
    add(&mut samples, "role-control", Role::Control);
    add(&mut samples, "role-door", Role::Gateway);
    add(&mut samples, "role-store", Role::Store);
    add(&mut samples, "introduction-control", handshake(Role::Control));
    add(&mut samples, "introduction-door", handshake(Role::Gateway));
    add(&mut samples, "introduction-store", handshake(Role::Store));
    add(&mut samples, "feed-position", position());
    add(&mut samples, "feed-position-first", FeedPosition::default());
    add(&mut samples, "table-version", servers_version());
    add(&mut samples, "store-health", health());
    add(&mut samples, "store-health-leaving", StoreHealth { draining: true, ..StoreHealth::default() });
    add(&mut samples, "server-entry", server(1));
    add(&mut samples, "server-entry-draining", server(2));
    add(&mut samples, "worker-list", GatewayList { version: servers_version(), gateways: vec![address(1)] });
    add(&mut samples, "scorer-call", scorer_request());
    add(&mut samples, "work-item", assigned_item(None));
    add(&mut samples, "work-item-with-scorer", assigned_item(Some(scorer_request())));
    add(&mut samples, "work-group", assigned_group());
    add(&mut samples, "work-terms", assigned_job(None));
    add(&mut samples, "work-terms-with-model", assigned_job(Some("large")));
    add(&mut samples, "item-state-completed", ItemState::Completed);
    add(&mut samples, "item-state-expired", ItemState::Expired);
    add(&mut samples, "item-outcome-completed", outcome(ItemState::Completed));
    let expired = ItemOutcome { score: None, message: Vec::new(), ..outcome(ItemState::Expired) };
    add(&mut samples, "item-outcome-expired", expired);
    check("message_parts.txt", &samples);
}

#[test]
fn messages_of_sessions_are_encoded_as_recorded() {
    let mut samples = Samples::new();
    let to = &mut samples;
    let handshake = handshake(Role::Store);
    add(to, "to-control-introduce", SessionMessage::Handshake { handshake, position: position() });
    add(
        to,
        "to-control-heartbeat",
        SessionMessage::Heartbeat { position: position(), health: Some(health()) },
    );
    add(to, "to-control-heartbeat-of-door", SessionMessage::Heartbeat { position: position(), health: None });
    add(
        to,
        "to-control-learner-ready",
        SessionMessage::LearnerCaughtUp { partition: 300, epoch: 70_001, member: member(4) },
    );
    add(to, "to-control-goodbye", SessionMessage::Goodbye);
    let model = || "large".to_owned();
    let use_of = |lag| SessionMessage::ReportModelUsage { model: model(), single_version: true, lag };
    add(to, "to-control-use-model", use_of(Some(3)));
    add(to, "to-control-use-model-without-lag", use_of(None));
    let counts = vec![TenantRequests { tenant: "cuka620".to_owned(), requests: 70_000 }];
    let windows = vec![WindowUsage { window: 353_445_120, counts }];
    add(to, "to-control-report-usage", SessionMessage::ReportUsage { windows });
    let loads = vec![ServiceLoad { service: "blue".to_owned(), running: 300, waiting: 7 }];
    add(to, "to-control-report-load", SessionMessage::ReportLoad { loads });
    let controls = || vec![address(1), address(2)];
    add(to, "from-control-welcome", ControlMessage::Welcome { controls: controls() });
    add(to, "from-control-elsewhere", ControlMessage::Redirect { controls: controls() });
    add(to, "from-control-heartbeat", ControlMessage::Heartbeat);
    add(
        to,
        "from-control-snapshot",
        ControlMessage::Snapshot { sequence: 99_999, state: vec![1, 2, 3, 200] },
    );
    let changes = vec![vec![9, 8], Vec::new(), vec![7]];
    add(to, "from-control-changes", ControlMessage::Changes { first: 100_000, changes });
    let snapshot =
        ServerTableUpdate::Snapshot { version: servers_version(), servers: vec![server(1), server(2)] };
    add(to, "from-control-servers-whole", ControlMessage::Servers(snapshot.clone()));
    let difference = ServerTableUpdate::Delta {
        from: TableVersion { term: 5, number: 999 },
        version: servers_version(),
        versions: vec![ModelVersionChange { server: 2, model: 1, version: 300 }],
        changed: vec![server(3)],
        removed: vec!["i-4".to_owned(), "i-5".to_owned()],
    };
    add(to, "from-control-servers-difference", ControlMessage::Servers(difference.clone()));
    let gateways = GatewayList { version: servers_version(), gateways: vec![address(7), address(8)] };
    add(to, "from-control-workers", ControlMessage::Gateways(gateways));
    add(to, "servers-update-whole", snapshot);
    add(to, "servers-update-difference", difference);
    let message = vec![3, 250, 1];
    add(to, "from-control-first-view-vote", ControlMessage::FirstViewVote { message });
    check("session_messages.txt", &samples);
}

#[test]
fn messages_of_links_to_stores_are_encoded_as_recorded() {
    let mut samples = Samples::new();
    let to = &mut samples;
    let id = || "job-7".to_owned();
    let tenant = || Some("cuka620".to_owned());
    let (call, partition) = (1 << 40, 513);
    add(to, "to-store-introduce", GatewayMessage::Handshake(handshake(Role::Gateway)));
    add(to, "to-store-heartbeat", GatewayMessage::Heartbeat { generation_capacity: 640 });
    let job = vec![5, 4, 3, 2, 1, 255];
    add(
        to,
        "to-store-submit",
        GatewayMessage::SubmitJob {
            request_id: call,
            partition,
            id: id(),
            job,
            received_at_ms: 1_790_000_000_123,
        },
    );
    add(
        to,
        "to-store-read",
        GatewayMessage::ReadResults {
            request_id: call,
            partition,
            id: id(),
            after: 17,
            wait_ms: 5_000,
            tenant: tenant(),
        },
    );
    let item = || "item-1".to_owned();
    add(
        to,
        "to-store-item-body",
        GatewayMessage::ReadItemBody {
            request_id: call,
            partition,
            id: id(),
            item: item(),
            tenant: tenant(),
        },
    );
    add(to, "to-store-end", GatewayMessage::EndJob { request_id: call, partition, id: id(), tenant: None });
    let outcomes = || vec![outcome(ItemState::Completed), outcome(ItemState::Expired)];
    add(
        to,
        "to-store-outcomes",
        GatewayMessage::ReportOutcomes { partition, job: id(), outcomes: outcomes() },
    );
    add(
        to,
        "to-store-returned",
        GatewayMessage::ReturnGroups { partition, epoch: 4, job: id(), groups: vec![0, 70_000] },
    );
    let failures = || vec![ItemFailures { item: "item-1".to_owned(), count: 3 }];
    add(
        to,
        "to-store-failures",
        GatewayMessage::ReportFailures { partition, job: id(), failures: failures() },
    );
    add(
        to,
        "from-store-failures",
        StoreMessage::KnownFailures { partition, job: id(), failures: failures() },
    );
    add(to, "from-store-heartbeat", StoreMessage::Heartbeat);
    add(
        to,
        "from-store-answer",
        StoreMessage::Response { request_id: call, response: StoreResponse::Accepted },
    );
    let assigned = assigned_job(Some("large"));
    add(
        to,
        "from-store-assign",
        StoreMessage::AssignGroups { job: assigned, groups: vec![assigned_group(), assigned_group()] },
    );
    add(to, "from-store-cancel", StoreMessage::CancelJob { partition, job: id() });
    add(
        to,
        "from-store-recorded",
        StoreMessage::AcknowledgeOutcomes { partition, job: id(), items: vec![item(), item()] },
    );
    add(to, "store-answer-accepted", StoreResponse::Accepted);
    add(to, "store-answer-refused", StoreResponse::Rejected { retry_after_ms: 250 });
    add(to, "store-answer-unclear", StoreResponse::OutcomeUnknown);
    add(to, "store-answer-not-found", StoreResponse::NotFound);
    add(to, "store-answer-not-sure", StoreResponse::Unavailable);
    add(to, "store-answer-results", StoreResponse::Results { total: 300, next: 2, outcomes: outcomes() });
    add(to, "store-answer-body", StoreResponse::Body(vec![0, 0x80, 0xff]));
    add(to, "store-answer-ended", StoreResponse::Ended);
    add(to, "store-answer-other-tenant", StoreResponse::OtherTenant);
    check("store_messages.txt", &samples);
}

#[test]
fn links_begin_with_the_recorded_bytes() {
    let first_bytes = |kind: LinkProtocol, handshake: &dyn Fn(&mut Vec<u8>)| {
        let mut bytes = vec![kind.byte()];
        handshake(&mut bytes);
        bytes
    };
    let session = SessionMessage::Handshake { handshake: handshake(Role::Gateway), position: position() };
    let client = GatewayMessage::Handshake(handshake(Role::Gateway));
    let samples = [
        ("session", first_bytes(LinkProtocol::Session, &|out| write_frame(out, &session))),
        ("store-client", first_bytes(LinkProtocol::StoreClient, &|out| write_frame(out, &client))),
        ("control-peer-kind", vec![LinkProtocol::ControlPeer.byte()]),
        ("store-peer-kind", vec![LinkProtocol::StorePeer.byte()]),
        ("protocol-version", PROTOCOL_VERSION.to_le_bytes().to_vec()),
    ];
    check_samples(&Path::new(FOLDER).join("link_beginnings.txt"), &samples);
    let read = read_frame::<SessionMessage>(&samples[0].1[1..]).unwrap().unwrap();
    assert!(
        read == (session, samples[0].1.len() - 1),
        "the first message of the session decodes to another value"
    );
    let read = read_frame::<GatewayMessage>(&samples[1].1[1..]).unwrap().unwrap();
    assert!(
        read == (client, samples[1].1.len() - 1),
        "the first message of the link decodes to another value"
    );
}

#[test]
fn ranks_and_hashes_are_as_recorded() {
    let number = |value: u64| value.to_le_bytes().to_vec();
    let samples = [
        ("mix-0", number(mix(0))),
        ("mix-1", number(mix(1))),
        ("mix-greatest", number(mix(u64::MAX))),
        ("hash-nothing", number(hash(b"", 0))),
        ("hash-text", number(hash(b"job-7", 3))),
        ("hash-bytes", number(hash(&[0, 0xff, 0x80], u64::MAX))),
        ("rank-first", number(rank(7, address(1)))),
        ("rank-second", number(rank(7, address(2)))),
        ("rank-other-seed", number(rank(8, address(1)))),
    ];
    check_samples(&Path::new(FOLDER).join("rendezvous.txt"), &samples);
}

#[test]
fn identities_are_displayed_as_recorded() {
    let text = |value: &dyn std::fmt::Display| value.to_string().into_bytes();
    let samples = [
        ("address", text(&address(9))),
        ("member", text(&member(9))),
        ("role-control", text(&Role::Control)),
        ("role-door", text(&Role::Gateway)),
        ("role-store", text(&Role::Store)),
    ];
    check_samples(&Path::new(FOLDER).join("displayed_identities.txt"), &samples);
}
