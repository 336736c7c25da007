//! Which gateways run generations.

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

fn candidates(count: u8, share: f32) -> Vec<Candidate> {
    (0..count).map(|number| Candidate { address: address(number), share }).collect()
}

fn door(number: u8) -> Session {
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
#[case::one_for_each_slot_of_a_server(60, 0.12, SlotTotals { max_per_server: 6, total: 270 }, 6)]
#[case::as_many_as_there_are(4, 0.25, SlotTotals { max_per_server: 12, total: 108 }, 4)]
#[case::more_where_processors_cannot_carry_the_slots(60, 0.1, SlotTotals { max_per_server: 6, total: 800 }, 20)]
#[case::no_model_servers(60, 0.1, SlotTotals { max_per_server: 0, total: 0 }, 0)]
fn workers_are_as_few_as_can_carry_the_slots(
    #[case] doors: u8,
    #[case] share: f32,
    #[case] slots: SlotTotals,
    #[case] count: usize,
) {
    assert_eq!(select(candidates(doors, share), slots).len(), count);
}

#[test]
fn the_selection_does_not_depend_on_the_order_of_the_gateways() {
    let slots = SlotTotals { max_per_server: 6, total: 100 };
    let mut reversed = candidates(40, 0.1);
    reversed.reverse();
    assert_eq!(select(candidates(40, 0.1), slots), select(reversed, slots));
}

#[test]
fn a_worker_that_goes_is_replaced_by_one_gateway_and_all_others_stay() {
    let slots = SlotTotals { max_per_server: 6, total: 100 };
    let before = select(candidates(40, 0.1), slots);
    for gone in &before {
        let left = candidates(40, 0.1).into_iter().filter(|candidate| candidate.address != *gone);
        let after = select(left.collect(), slots);
        assert_eq!(after.len(), before.len());
        assert_eq!(after.iter().filter(|door| before.contains(door)).count(), before.len() - 1);
    }
}

#[test]
fn slots_are_counted_at_model_servers_only() {
    let table = table(vec![server(1, 6, Some("m")), server(2, 8, Some("m")), server(3, 30, None)]);
    assert_eq!(SlotTotals::of(&table), SlotTotals { max_per_server: 8, total: 14 });
}

const TERM: u64 = 5;

/// Chooses as a head that knows all sessions.
fn chooses(workers: &mut WorkerSelection, sessions: &SessionTable, servers: &ServerTable) -> bool {
    workers.select(TERM, sessions, false, servers)
}

#[test]
fn the_selection_changes_when_gateways_come_stop_or_go() {
    let servers = table(vec![server(1, 2, Some("m"))]);
    let mut sessions = SessionTable::default();
    let mut workers = WorkerSelection::default();
    sessions.open(door(1), 1_000);
    assert!(chooses(&mut workers, &sessions, &servers));
    assert_eq!(workers.list().gateways, [address(1)]);
    assert!(!chooses(&mut workers, &sessions, &servers));
    sessions.open(door(2), 1_000);
    assert!(chooses(&mut workers, &sessions, &servers));
    assert_eq!(workers.list().gateways, [address(1), address(2)]);
    let leaving = StoreHealth { draining: true, ..StoreHealth::default() };
    sessions.open(Session { health: Some(leaving), ..door(1) }, 1_000);
    assert!(chooses(&mut workers, &sessions, &servers));
    assert_eq!(workers.list().gateways, [address(2)]);
    sessions.close(&door(2), 0);
    sessions.expire(u64::MAX);
    assert!(chooses(&mut workers, &sessions, &servers));
    assert_eq!(workers.list().gateways, []);
    assert_eq!(workers.list().version, TableVersion { term: TERM, number: 4 });
}

#[test]
fn nobody_is_chosen_before_servers_are_known() {
    let mut sessions = SessionTable::default();
    sessions.open(door(1), 1_000);
    let mut workers = WorkerSelection::default();
    assert!(!chooses(&mut workers, &sessions, &ServerTable::default()));
    assert_eq!(workers.list(), &GatewayList::default());
}

#[test]
fn a_new_head_says_the_same_under_its_own_term() {
    let servers = table(vec![server(1, 2, Some("m"))]);
    let mut sessions = SessionTable::default();
    sessions.open(door(1), 1_000);
    let mut workers = WorkerSelection::default();
    let former =
        GatewayList { version: TableVersion { term: TERM - 1, number: 9 }, gateways: vec![address(1)] };
    assert!(workers.adopt(former));
    assert!(chooses(&mut workers, &sessions, &servers));
    assert_eq!(
        workers.list(),
        &GatewayList { version: TableVersion { term: TERM, number: 1 }, gateways: vec![address(1)] }
    );
}

/// All sessions ended with the quorum: their gateways go on meanwhile.
#[test]
fn a_head_that_does_not_know_all_sessions_yet_keeps_the_listed_gateways() {
    let servers = table(vec![server(1, 2, Some("m"))]);
    let mut sessions = SessionTable::default();
    let mut workers = WorkerSelection::default();
    let doors = vec![address(1), address(2)];
    workers.adopt(GatewayList { version: TableVersion { term: TERM, number: 3 }, gateways: doors.clone() });
    sessions.open(door(1), 1_000);
    assert!(!workers.select(TERM, &sessions, true, &servers));
    assert_eq!(workers.list().gateways, doors);
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
fn a_server_with_more_slots_makes_room_for_more_workers() {
    let mut sessions = SessionTable::default();
    (1..=9).for_each(|number| sessions.open(door(number), 1_000));
    let mut workers = WorkerSelection::default();
    let mut servers = table(vec![server(1, 3, Some("m"))]);
    chooses(&mut workers, &sessions, &servers);
    assert_eq!(workers.list().gateways.len(), 3);
    servers.replace(1, vec![server(1, 5, Some("m"))]);
    assert!(chooses(&mut workers, &sessions, &servers));
    assert_eq!(workers.list().gateways.len(), 5);
}
