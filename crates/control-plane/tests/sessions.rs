//! Sessions of gateways and store nodes: moves between control nodes, stale lists and unresponsive reporters.

use std::net::Ipv4Addr;

use orchidvalve_control_plane::sessions::{RECONNECT_GRACE_MS, REPORT_TIMEOUT_MS, Session, SessionTable};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{Handshake, PROTOCOL_VERSION, Role, StoreHealth};
use rstest::rstest;

/// When the sessions with this control node are opened, where the time does not matter.
const OPENED_AT: u64 = 1_050;
/// Interval between two lists of one control node.
const LIST_INTERVAL_MS: u64 = 400;

fn member(number: u8) -> MemberId {
    MemberId {
        address: NodeAddress::new(Ipv4Addr::new(10, 0, 0, number), 7000),
        disk: 100 + u64::from(number),
    }
}

fn session(name: &str, role: Role, incarnation: u64) -> Session {
    Session::new(&Handshake {
        version: PROTOCOL_VERSION,
        role,
        name: name.to_owned(),
        zone: "north".to_owned(),
        member: member(9),
        incarnation,
        cpu_share: 0.25,
    })
}

fn gateway(incarnation: u64) -> Session {
    session("door-1", Role::Gateway, incarnation)
}

/// Returns the open local sessions, without their ages.
fn local(table: &SessionTable) -> Vec<Session> {
    table.local(2_000).into_iter().map(|session| Session { age_ms: 0, ..session }).collect()
}

fn incarnations(table: &SessionTable) -> Vec<u64> {
    table.sessions().map(|s| s.incarnation).collect()
}

#[test]
fn a_closed_local_session_counts_until_the_reconnect_grace_is_over() {
    let mut table = SessionTable::default();
    table.open(gateway(1), OPENED_AT);
    assert!(!table.expire(1_000_000));
    table.close(&gateway(1), 1_000);
    assert!(local(&table).is_empty());
    assert!(!table.expire(1_000 + RECONNECT_GRACE_MS - 1));
    assert_eq!(table.gateways().count(), 1);
    assert!(table.expire(1_000 + RECONNECT_GRACE_MS));
    assert_eq!(table.gateways().count(), 0);
}

#[test]
fn the_end_of_an_earlier_incarnation_does_not_end_the_later_one() {
    let mut table = SessionTable::default();
    table.open(gateway(1), OPENED_AT);
    table.open(gateway(2), OPENED_AT);
    table.close(&gateway(1), 1_000);
    table.expire(10_000);
    assert_eq!(incarnations(&table), [2]);
}

#[test]
fn a_session_that_moved_to_another_control_node_never_expires() {
    let mut table = SessionTable::default();
    table.open(gateway(1), OPENED_AT);
    table.close(&gateway(1), 1_000);
    table.apply_report(member(2), vec![gateway(1)], 1_300);
    for now in 1_300..1_300 + REPORT_TIMEOUT_MS {
        assert!(!table.expire(now), "expired at {now}");
    }
    assert!(local(&table).is_empty());
}

#[test]
fn a_session_that_moved_here_stays_local_despite_later_reports() {
    let mut table = SessionTable::default();
    table.apply_report(member(2), vec![gateway(1)], 1_000);
    table.open(gateway(1), OPENED_AT);
    table.apply_report(member(2), vec![gateway(1)], 1_100);
    table.apply_report(member(2), vec![], 1_500);
    assert!(!table.expire(100_000));
    assert_eq!(local(&table), [gateway(1)]);
}

#[test]
fn a_stale_report_of_an_earlier_incarnation_does_not_replace_an_open_local_session() {
    let mut table = SessionTable::default();
    table.apply_report(member(2), vec![gateway(1)], 1_000);
    table.open(gateway(2), OPENED_AT);
    table.apply_report(member(2), vec![gateway(1)], 1_200);
    assert_eq!(local(&table), [gateway(2)], "the gateway is connected here");
    table.apply_report(member(2), vec![], 1_600);
    table.expire(10_000);
    assert_eq!(incarnations(&table), [2]);
}

#[rstest]
#[case::former_reporter_last(&[2, 3, 2])]
#[case::new_reporter_last(&[2, 2, 3])]
#[case::alternating(&[3, 2, 3, 2])]
fn a_session_is_open_while_one_of_two_nodes_reports_it(#[case] order: &[u8]) {
    let mut table = SessionTable::default();
    let mut now = 1_000;
    for reporter in order {
        table.apply_report(member(*reporter), vec![gateway(1)], now);
        now += 10;
    }
    // The former node notices that the session has ended; the new one continues to list it.
    table.apply_report(member(2), vec![], now);
    let mut next_list = now + LIST_INTERVAL_MS + 100;
    for time in now..now + 5_000 {
        if time == next_list {
            table.apply_report(member(3), vec![gateway(1)], time);
            next_list += LIST_INTERVAL_MS + 100;
        }
        assert!(!table.expire(time), "expired at {time}");
    }
}

#[test]
fn a_session_missing_from_a_list_expires_after_the_reconnect_grace() {
    let mut table = SessionTable::default();
    table.apply_report(member(2), vec![gateway(1), session("door-2", Role::Gateway, 5)], 1_000);
    table.apply_report(member(2), vec![gateway(1)], 1_400);
    assert!(!table.expire(1_400 + RECONNECT_GRACE_MS - 1));
    assert!(table.expire(1_400 + RECONNECT_GRACE_MS));
    assert_eq!(incarnations(&table), [1]);
    // Repeated empty lists do not postpone the expiry.
    table.apply_report(member(2), vec![], 2_000);
    table.apply_report(member(2), vec![], 2_400);
    assert!(table.expire(2_000 + RECONNECT_GRACE_MS));
}

#[test]
fn the_report_of_an_unresponsive_node_expires() {
    let mut table = SessionTable::default();
    table.apply_report(member(2), vec![gateway(1)], 1_000);
    assert!(!table.expire(1_000 + REPORT_TIMEOUT_MS - 1));
    assert!(table.expire(1_000 + REPORT_TIMEOUT_MS));
}

#[test]
fn a_later_incarnation_elsewhere_replaces_a_closed_local_session() {
    let mut table = SessionTable::default();
    table.open(gateway(1), OPENED_AT);
    table.close(&gateway(1), 1_000);
    table.apply_report(member(2), vec![gateway(2)], 1_100);
    assert_eq!(incarnations(&table), [2]);
    table.expire(1_000 + RECONNECT_GRACE_MS);
    assert_eq!(incarnations(&table), [2]);
}

#[test]
fn a_gateway_and_a_store_node_of_one_machine_are_two_sessions() {
    let mut table = SessionTable::default();
    table.open(session("edge-1", Role::Gateway, 1), OPENED_AT);
    table.open(session("edge-1", Role::Store, 2), OPENED_AT);
    assert_eq!(table.sessions().count(), 2);
    assert_eq!(table.gateways().count(), 1);
}

#[test]
fn properties_of_an_open_session_are_replaced() {
    let mut table = SessionTable::default();
    table.open(session("store-1", Role::Store, 1), OPENED_AT);
    let health = StoreHealth { disk_failing: true, used_bytes: 5, capacity_bytes: 10, draining: false };
    let changed = Session { health: Some(health), ..session("store-1", Role::Store, 1) };
    table.open(changed.clone(), OPENED_AT);
    assert_eq!(local(&table), [changed]);
}

/// Returns a session with this age at the time of its report.
fn aged(incarnation: u64, age_ms: u64) -> Session {
    Session { age_ms, ..session("store-1", Role::Store, incarnation) }
}

/// A control node that has just started receives reports of both incarnations of a store node, the later one first.
#[rstest]
#[case::later_incarnation_first(&[(3, 2, 40), (2, 1, 9_000)])]
#[case::earlier_incarnation_first(&[(2, 1, 9_000), (3, 2, 40)])]
#[case::later_incarnation_first_and_again(&[(3, 2, 40), (2, 1, 9_000), (2, 1, 9_001), (3, 2, 41)])]
fn the_incarnation_whose_session_was_opened_last_is_the_later_one(#[case] reports: &[(u8, u64, u64)]) {
    let mut table = SessionTable::default();
    for &(reporter, incarnation, age_ms) in reports {
        table.apply_report(member(reporter), vec![aged(incarnation, age_ms)], 20_000);
        table.expire(20_000);
    }
    assert_eq!(incarnations(&table), [2]);
}

#[test]
fn a_local_session_of_an_earlier_incarnation_is_hidden() {
    let mut table = SessionTable::default();
    table.open(aged(1, 0), 1_000);
    table.apply_report(member(2), vec![aged(2, 50)], 9_000);
    assert_eq!(incarnations(&table), [2], "the end of the first incarnation was not noticed yet");
    table.open(Session { health: None, ..aged(1, 0) }, 9_100);
    assert_eq!(
        incarnations(&table),
        [2],
        "late properties of the first incarnation do not make it the later one"
    );
}

#[test]
fn a_delayed_report_does_not_make_a_session_younger() {
    let mut table = SessionTable::default();
    table.apply_report(member(2), vec![aged(1, 100)], 5_000);
    table.apply_report(member(3), vec![aged(2, 10)], 6_000);
    // This report was in transit for three seconds.
    table.apply_report(member(2), vec![aged(1, 500)], 8_400);
    assert_eq!(incarnations(&table), [2]);
}

#[test]
fn ages_of_local_sessions_are_reported() {
    let mut table = SessionTable::default();
    table.open(aged(1, 0), 1_000);
    table.open(aged(1, 0), 1_700);
    assert_eq!(table.local(4_000), [aged(1, 3_000)], "changed properties do not make it younger");
}

/// A control node whose sessions have not changed reports only that its last list is still valid.
#[test]
fn a_renewed_list_counts_as_sent_again() {
    let mut table = SessionTable::default();
    table.apply_report(member(2), vec![gateway(1), session("door-2", Role::Gateway, 5)], 1_000);
    table.apply_report(member(2), vec![gateway(1)], 1_200);
    for now in (1_600..9_000).step_by(400) {
        table.renew_report(member(2), now);
        table.expire(now + 100);
        let expected: &[u64] = if now + 100 < 1_200 + RECONNECT_GRACE_MS { &[1, 5] } else { &[1] };
        assert_eq!(incarnations(&table), expected, "at {now}: a removed session must not return");
    }
    assert_eq!(table.reported_count(member(2), 8_900), Some(1));
    table.expire(8_800 + REPORT_TIMEOUT_MS);
    assert_eq!(table.sessions().count(), 0, "nothing was renewed");
    assert_eq!(table.reported_count(member(2), 8_800 + REPORT_TIMEOUT_MS), None);
}

/// The reporter was unreachable for longer than its list is valid but did not notice, since it received from this node.
#[test]
fn an_expired_list_is_renewed_as_well() {
    let mut table = SessionTable::default();
    table.apply_report(member(2), vec![aged(1, 100)], 1_000);
    assert!(table.expire(1_000 + REPORT_TIMEOUT_MS));
    table.open(aged(2, 0), 5_000);
    table.renew_report(member(2), 20_000);
    assert_eq!(table.sessions().count(), 1);
    assert_eq!(incarnations(&table), [2], "the ages of renewed sessions have grown meanwhile");
    table.renew_report(member(3), 20_000);
    assert_eq!(table.reported_count(member(3), 20_000), None, "it has sent no list");
}
