//! The selection of the gateways that run generations.

use std::net::Ipv4Addr;

use orchidvalve_control_plane::sessions::{Session, SessionTable};
use orchidvalve_control_plane::workers::{Candidate, SlotTotals, WorkerSelection, select};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{
    GatewayList, Handshake, PROTOCOL_VERSION, Role, ServerEntry, StoreHealth, TableVersion,
};
use orchidvalve_protocol::server_table::ServerTable;
use rstest::rstest;

fn address(number: u8) -> NodeAddress {
    NodeAddress::new(Ipv4Addr::new(10, 0, 0, number), 0)
}

fn candidates(count: u8, cpu_share: f32) -> Vec<Candidate> {
    (0..count).map(|number| Candidate { address: address(number), cpu_share }).collect()
}

fn gateway(number: u8) -> Session {
    Session::new(&Handshake {
        version: PROTOCOL_VERSION,
        role: Role::Gateway,
        name: format!("edge-{number}"),
        zone: "north".to_owned(),
        member: MemberId { address: address(number), disk: 0 },
        incarnation: 1,
        cpu_share: 0.25,
    })
}

fn server(number: u8, slots: u32, model: Option<&str>) -> ServerEntry {
    ServerEntry {
        instance: format!("i-{number}"),
        service: "service".to_owned(),
        address: address(100 + number),
        zone: "north".to_owned(),
        slots,
        draining: false,
        models: model.into_iter().map(|name| (name.to_owned(), 1)).collect(),
    }
}

fn table(servers: Vec<ServerEntry>) -> ServerTable {
    let mut table = ServerTable::default();
    table.replace(1, servers);
    table
}

#[rstest]
#[case::one_for_each_slot_of_the_largest_server(60, 0.12, SlotTotals { max_per_server: 6, total: 270 }, 6)]
#[case::all_candidates_if_too_few(4, 0.25, SlotTotals { max_per_server: 12, total: 108 }, 4)]
#[case::more_if_their_cores_cannot_handle_the_slots(60, 0.1, SlotTotals { max_per_server: 6, total: 800 }, 20)]
#[case::no_model_servers(60, 0.1, SlotTotals { max_per_server: 0, total: 0 }, 0)]
fn the_fewest_workers_that_handle_the_slots_are_selected(
    #[case] gateways: u8,
    #[case] cpu_share: f32,
    #[case] slots: SlotTotals,
    #[case] count: usize,
) {
    assert_eq!(select(candidates(gateways, cpu_share), slots).len(), count);
}

#[test]
fn the_selection_does_not_depend_on_the_order_of_the_gateways() {
    let slots = SlotTotals { max_per_server: 6, total: 100 };
    let mut reversed = candidates(40, 0.1);
    reversed.reverse();
    assert_eq!(select(candidates(40, 0.1), slots), select(reversed, slots));
}

#[test]
fn a_lost_worker_is_replaced_and_all_others_stay() {
    let slots = SlotTotals { max_per_server: 6, total: 100 };
    let before = select(candidates(40, 0.1), slots);
    for lost in &before {
        let left = candidates(40, 0.1).into_iter().filter(|candidate| candidate.address != *lost);
        let after = select(left.collect(), slots);
        assert_eq!(after.len(), before.len());
        assert_eq!(after.iter().filter(|gateway| before.contains(gateway)).count(), before.len() - 1);
    }
}

#[test]
fn slots_are_counted_at_model_servers_only() {
    let table = table(vec![server(1, 6, Some("m")), server(2, 8, Some("m")), server(3, 30, None)]);
    assert_eq!(SlotTotals::of(&table), SlotTotals { max_per_server: 8, total: 14 });
}

const TERM: u64 = 5;

/// Repeats the selection as a head that knows all sessions.
fn select_again(workers: &mut WorkerSelection, sessions: &SessionTable, servers: &ServerTable) -> bool {
    workers.select(TERM, sessions, false, servers)
}

#[test]
fn the_selection_follows_the_sessions_of_gateways() {
    let servers = table(vec![server(1, 2, Some("m"))]);
    let mut sessions = SessionTable::default();
    let mut workers = WorkerSelection::default();
    sessions.open(gateway(1), 1_000);
    assert!(select_again(&mut workers, &sessions, &servers));
    assert_eq!(workers.list().gateways, [address(1)]);
    assert!(!select_again(&mut workers, &sessions, &servers));
    sessions.open(gateway(2), 1_000);
    assert!(select_again(&mut workers, &sessions, &servers));
    assert_eq!(workers.list().gateways, [address(1), address(2)]);
    let shutting_down = StoreHealth { draining: true, ..StoreHealth::default() };
    sessions.open(Session { health: Some(shutting_down), ..gateway(1) }, 1_000);
    assert!(select_again(&mut workers, &sessions, &servers));
    assert_eq!(workers.list().gateways, [address(2)]);
    sessions.close(&gateway(2), 0);
    sessions.expire(u64::MAX);
    assert!(select_again(&mut workers, &sessions, &servers));
    assert_eq!(workers.list().gateways, []);
    assert_eq!(workers.list().version, TableVersion { term: TERM, number: 4 });
}

#[test]
fn no_worker_is_selected_before_servers_are_known() {
    let mut sessions = SessionTable::default();
    sessions.open(gateway(1), 1_000);
    let mut workers = WorkerSelection::default();
    assert!(!select_again(&mut workers, &sessions, &ServerTable::default()));
    assert_eq!(workers.list(), &GatewayList::default());
}

#[test]
fn a_new_head_publishes_the_same_list_under_its_own_term() {
    let servers = table(vec![server(1, 2, Some("m"))]);
    let mut sessions = SessionTable::default();
    sessions.open(gateway(1), 1_000);
    let mut workers = WorkerSelection::default();
    let former =
        GatewayList { version: TableVersion { term: TERM - 1, number: 9 }, gateways: vec![address(1)] };
    assert!(workers.adopt(former));
    assert!(select_again(&mut workers, &sessions, &servers));
    assert_eq!(
        workers.list(),
        &GatewayList { version: TableVersion { term: TERM, number: 1 }, gateways: vec![address(1)] }
    );
}

/// All sessions ended when the quorum was lost, but the gateways continue to run.
#[test]
fn a_head_that_does_not_know_all_sessions_yet_keeps_the_listed_gateways() {
    let servers = table(vec![server(1, 2, Some("m"))]);
    let mut sessions = SessionTable::default();
    let mut workers = WorkerSelection::default();
    let listed = vec![address(1), address(2)];
    workers.adopt(GatewayList { version: TableVersion { term: TERM, number: 3 }, gateways: listed.clone() });
    sessions.open(gateway(1), 1_000);
    assert!(!workers.select(TERM, &sessions, true, &servers));
    assert_eq!(workers.list().gateways, listed);
    assert!(workers.select(TERM, &sessions, false, &servers));
    assert_eq!(workers.list().gateways, [address(1)]);
}

#[test]
fn older_lists_are_ignored() {
    let list = |term, number| GatewayList {
        version: TableVersion { term, number },
        gateways: vec![address(number as u8)],
    };
    let mut workers = WorkerSelection::default();
    assert!(workers.adopt(list(2, 5)));
    assert!(!workers.adopt(list(2, 5)) && !workers.adopt(list(2, 4)) && !workers.adopt(list(1, 9)));
    assert_eq!(workers.list(), &list(2, 5));
    assert!(workers.adopt(list(3, 1)));
}

#[test]
fn a_server_with_more_slots_allows_more_workers() {
    let mut sessions = SessionTable::default();
    (1..=9).for_each(|number| sessions.open(gateway(number), 1_000));
    let mut workers = WorkerSelection::default();
    let mut servers = table(vec![server(1, 3, Some("m"))]);
    select_again(&mut workers, &sessions, &servers);
    assert_eq!(workers.list().gateways.len(), 3);
    servers.replace(1, vec![server(1, 5, Some("m"))]);
    assert!(select_again(&mut workers, &sessions, &servers));
    assert_eq!(workers.list().gateways.len(), 5);
}
