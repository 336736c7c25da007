//! Tests of the tenants that servers receive with items and reward calls, and store nodes with calls about batch jobs.

mod tenants_support;

use std::net::Ipv4Addr;
use std::sync::Arc;

use orchidvalve_configuration::RouteTable;
use orchidvalve_control_state::{Change, ControlState, Placement};
use orchidvalve_data_plane::batch_calls::{BatchCall, BatchCalls, BatchResponse};
use orchidvalve_data_plane::exchanges::{generation_bytes, reward_bytes};
use orchidvalve_data_plane::generations::{
    AttemptId, AttemptOutcome, Item, Runner, RunnerCommand, ServerInfo, ServerKey,
};
use orchidvalve_data_plane::work::{AssignedGroups, RewardRoutes, Work};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{
    AssignedGroup, AssignedItem, AssignedJob, GatewayMessage, ScorerRequest, StoreResponse,
};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use tenants_support::*;

fn store() -> NodeAddress {
    NodeAddress::new(Ipv4Addr::new(10, 0, 0, 1), 7_000)
}

/// A gateway that runs one item of a batch job.
struct Gateway {
    work: Work,
    runner: Runner,
    now: u64,
    /// The attempts of the item, and the bytes sent to their servers.
    sent: Vec<(AttemptId, Vec<u8>)>,
    items: Vec<Arc<Item>>,
    ended: bool,
}

impl Gateway {
    fn new() -> Gateway {
        let mut runner = Runner::new(Pcg64Mcg::new(5), 1.0, Arc::new(RewardRoutes(None)));
        for key in [1, 2] {
            runner.set_server(&ServerInfo {
                key: ServerKey(key),
                service: "huvo11a".into(),
                same_zone: true,
                slots: 8,
                queued: 0,
                limit: None,
                models: Vec::new(),
                draining: false,
            });
        }
        let (work, sent, items) = Default::default();
        Gateway { work, runner, now: 50_000, sent, items, ended: false }
    }

    fn assign(&mut self, tenant: Option<&str>, headers: &[(&str, &str)], table: Option<&Arc<RouteTable>>) {
        let item = AssignedItem {
            id: "e5b2907c14da6f38".into(),
            path: "/jobs/3/91c4".into(),
            headers: headers.iter().map(|(name, value)| ((*name).into(), (*value).into())).collect(),
            body: b"body".to_vec(),
            token_usage: 940,
            scorer: Some(ScorerRequest {
                id: "17c90be4".into(),
                hostname: "ficu95.example".into(),
                path: "/repeat/9".into(),
                body: b"score".to_vec(),
            }),
        };
        let job = AssignedJob {
            partition: 0,
            epoch: 1,
            job: "job".into(),
            hostname: "ficu95.example".into(),
            path: "/jobs/7c41e0".into(),
            model: None,
            min_weights_version: 0,
            age_ms: 10,
            tenant: tenant.map(str::to_owned),
        };
        let groups = vec![AssignedGroup { index: 0, items: vec![item] }];
        let mut commands = Vec::new();
        let assigned = AssignedGroups { store: store(), job, groups };
        self.work.assign(self.now, assigned, table, &mut self.runner, &mut commands);
        self.runner.tick(self.now, &mut commands);
        self.process_commands(commands);
    }

    fn configure(&mut self, table: &Arc<RouteTable>) {
        let mut commands = Vec::new();
        self.work.routes_changed(table, &mut self.runner, &mut commands);
        self.runner.tick(self.now, &mut commands);
        self.process_commands(commands);
    }

    /// Breaks the stream of the last attempt, so that the item is attempted again.
    fn break_stream(&mut self) {
        let mut commands = Vec::new();
        let (attempt, _) = self.sent.last().expect("there is an attempt");
        self.runner.attempt_ended(self.now, *attempt, AttemptOutcome::Broken, &mut commands);
        self.now += 5_000;
        self.runner.tick(self.now, &mut commands);
        self.process_commands(commands);
    }

    fn process_commands(&mut self, commands: Vec<RunnerCommand>) {
        for command in commands {
            match command {
                RunnerCommand::Attempt { attempt, item, route, last_event_id, deadline_ms, .. } => {
                    let bytes = generation_bytes(&item, &route, "i-7", last_event_id, None, deadline_ms);
                    self.sent.push((attempt, bytes));
                    self.items.push(item);
                }
                RunnerCommand::CancelAttempt { .. } | RunnerCommand::Report { .. } => self.ended = true,
                _ => {}
            }
        }
    }

    fn last(&self) -> &[u8] {
        &self.sent.last().expect("there is an attempt").1
    }
}

const CLAIMS: [(&str, &str); 4] =
    [("Model", "m"), ("tenant", OTHER_TENANT), ("AUTHORIZATION", "Bearer k-3f09c1"), ("Tenant", "x")];

// Guards the invariant UNASKED: items reach servers with their job's tenant, and without a tenant or key of the
// document.
#[rstest]
#[case::of_a_tenant(Some(TENANT), &[TENANT])]
#[case::of_a_public_route(None, &[])]
fn servers_receive_the_tenant_of_an_item_and_no_key(#[case] tenant: Option<&str>, #[case] expected: &[&str]) {
    let mut gateway = Gateway::new();
    gateway.assign(tenant, &CLAIMS, Some(&two_tenants(1)));
    assert_eq!(values(gateway.last(), "tenant"), expected);
    assert!(values(gateway.last(), "authorization").is_empty());
    assert!(!contains(gateway.last(), KEY));
    assert_eq!(values(gateway.last(), "model"), ["m"]);
}

#[test]
fn without_tenants_item_headers_are_unchanged() {
    let mut gateway = Gateway::new();
    gateway.assign(None, &CLAIMS, Some(&table(1, None)));
    assert_eq!(values(gateway.last(), "tenant"), [OTHER_TENANT, "x"]);
    assert_eq!(values(gateway.last(), "authorization"), ["Bearer k-3f09c1"]);
}

// Guards the invariants UNASKED and LOST: jobs outlive their keys, and keep the tenant that submitted them.
#[rstest]
#[case::key_removed(Some(&[(TENANT, &[] as &[&str])] as &[Keys<'static>]))]
#[case::key_moved(Some(&[(OTHER_TENANT, &[KEY] as &[&str])] as &[Keys<'static>]))]
#[case::tenant_renamed(Some(&[("renamed", &[KEY] as &[&str])] as &[Keys<'static>]))]
#[case::no_tenant_left(Some(&[] as &[Keys<'static>]))]
#[case::no_tenants_any_more(None)]
fn the_items_of_a_job_keep_its_tenant(#[case] next: Option<&[Keys<'static>]>) {
    let mut gateway = Gateway::new();
    gateway.assign(Some(TENANT), &CLAIMS, Some(&two_tenants(1)));
    gateway.configure(&table(2, next));
    assert!(!gateway.ended, "the attempt in flight continues");
    gateway.break_stream();
    assert_eq!(gateway.sent.len(), 2);
    gateway.configure(&two_tenants(3));
    gateway.break_stream();
    assert_eq!(gateway.sent.len(), 3);
    for (_, sent) in &gateway.sent {
        assert_eq!(values(sent, "tenant"), [TENANT]);
        assert!(values(sent, "authorization").is_empty());
    }
}

// Guards the invariant UNASKED: a job from before there were tenants must not name one by headers of its items.
#[test]
fn a_job_without_tenant_names_none_once_there_are_tenants() {
    let mut gateway = Gateway::new();
    gateway.assign(None, &CLAIMS, Some(&table(1, None)));
    gateway.configure(&two_tenants(2));
    assert!(!gateway.ended, "the attempt in flight continues");
    gateway.break_stream();
    assert!(values(gateway.last(), "tenant").is_empty());
    assert!(!contains(gateway.last(), KEY));
    gateway.configure(&table(3, None));
    gateway.break_stream();
    assert_eq!(values(gateway.last(), "tenant"), [OTHER_TENANT, "x"]);
}

// Guards the invariant UNASKED: groups that waited for their route are run with their tenant.
#[test]
fn groups_that_waited_for_a_route_keep_their_tenant() {
    let mut gateway = Gateway::new();
    gateway.assign(Some(TENANT), &[], None);
    assert!(gateway.sent.is_empty());
    gateway.configure(&table(2, None));
    assert_eq!(values(gateway.last(), "tenant"), [TENANT]);
}

// Guards the invariant UNASKED: a text started for one tenant isn't resumed for another one whose item has the same
// id and body.
#[rstest]
#[case::same_tenant(Some(TENANT), &["1"])]
#[case::another_tenant(Some(OTHER_TENANT), &[])]
#[case::no_tenant(None, &[])]
fn the_text_of_another_tenant_is_not_resumed(#[case] next: Option<&str>, #[case] resumed: &[&str]) {
    let table = two_tenants(1);
    let mut gateway = Gateway::new();
    gateway.assign(Some(TENANT), &[], Some(&table));
    let attempt = gateway.sent[0].0;
    let mut commands = Vec::new();
    gateway.runner.stream_started(attempt, None, &mut commands);
    gateway.runner.event_received(gateway.now, attempt, 1, b"e1", None, &mut commands);
    gateway.work.lease_expired(0, &mut gateway.runner, &mut commands);
    gateway.process_commands(commands);
    gateway.assign(next, &[], Some(&table));
    assert_eq!(gateway.sent.len(), 2);
    assert_eq!(values(gateway.last(), "last-event-id"), resumed);
}

#[test]
fn reward_calls_name_no_tenant() {
    let mut gateway = Gateway::new();
    gateway.assign(Some(TENANT), &CLAIMS, Some(&two_tenants(1)));
    let sent = reward_bytes(&gateway.items[0], "i-7", 100);
    assert!(values(&sent, "tenant").is_empty() && values(&sent, "authorization").is_empty());
    assert!(contains(&sent, "/repeat/9"));
}

// Guards the invariant UNASKED: store nodes receive the tenant of the key with every call about a job.
#[rstest]
#[case::read(BatchCall::Read { after: 0, wait_ms: 0 })]
#[case::item_body(BatchCall::ItemBody { item: "i".into() })]
#[case::end(BatchCall::End)]
fn calls_about_jobs_carry_their_tenant_to_store_nodes(
    #[case] call: BatchCall,
    #[values(Some(TENANT), None)] tenant: Option<&str>,
) {
    let mut state = ControlState::default();
    let members = vec![MemberId { address: store(), disk: 1 }];
    let placement = Placement { epoch: 1, members, ..Placement::default() };
    state.apply(&Change::Place(vec![(0, placement)])).unwrap();
    let mut calls = BatchCalls::default();
    let id = calls.begin(1_000, "job", tenant, call);
    // The first attempt gets no response in time, so there is a second one.
    let (mut sent, mut responses) = (Vec::new(), Vec::new());
    for now in [1_000, 1_601] {
        calls.tick(now, &state, &|_| true, &|_| true, &mut sent, &mut responses);
    }
    let tenants: Vec<Option<&str>> = sent
        .iter()
        .map(|outbound| match &outbound.message {
            GatewayMessage::ReadResults { tenant, .. }
            | GatewayMessage::ReadItemBody { tenant, .. }
            | GatewayMessage::EndJob { tenant, .. } => tenant.as_deref(),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(tenants, [tenant, tenant]);
    let response = calls.response_received(1_700, id, StoreResponse::OtherTenant);
    assert!(matches!(response, Some(BatchResponse::OtherTenant)));
}
