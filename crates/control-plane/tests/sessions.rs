//! Sessions of gateways and store nodes: moves between control nodes, stale lists, silent reporters.

use std::net::Ipv4Addr;

use orchidvalve_control_plane::sessions::{RECONNECT_GRACE_MS, REPORT_TIMEOUT_MS, Session, SessionTable};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{Handshake, PROTOCOL_VERSION, Role, StoreHealth};
use rstest::rstest;

/// When the sessions with this control node are opened, where that doesn't matter.
const OPENED_AT: u64 = 1_050;
/// Pause between two lists of one control node.
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

fn door(incarnation: u64) -> Session {
    session("door-1", Role::Gateway, incarnation)
}

/// Open local sessions, without their ages.
fn local(table: &SessionTable) -> Vec<Session> {
    table.local(2_000).into_iter().map(|session| Session { age_ms: 0, ..session }).collect()
}

fn incarnations(table: &SessionTable) -> Vec<u64> {
    table.sessions().map(|s| s.incarnation).collect()
}

#[test]
fn an_own_session_stands_until_it_ends_and_then_for_the_time_of_a_move() {
    let mut table = SessionTable::default();
    table.open(door(1), OPENED_AT);
    assert!(!table.expire(1_000_000));
    table.close(&door(1), 1_000);
    assert!(local(&table).is_empty());
    assert!(!table.expire(1_000 + RECONNECT_GRACE_MS - 1));
    assert_eq!(table.gateways().count(), 1);
    assert!(table.expire(1_000 + RECONNECT_GRACE_MS));
    assert_eq!(table.gateways().count(), 0);
}

#[test]
fn the_end_of_an_earlier_start_does_not_end_the_later_one() {
    let mut table = SessionTable::default();
    table.open(door(1), OPENED_AT);
    table.open(door(2), OPENED_AT);
    table.close(&door(1), 1_000);
    table.expire(10_000);
    assert_eq!(incarnations(&table), [2]);
}

#[test]
fn a_session_that_moved_to_another_control_node_never_lapses() {
    let mut table = SessionTable::default();
    table.open(door(1), OPENED_AT);
    table.close(&door(1), 1_000);
    table.apply_report(member(2), vec![door(1)], 1_300);
    for now in 1_300..1_300 + REPORT_TIMEOUT_MS {
        assert!(!table.expire(now), "lapsed at {now}");
    }
    assert!(local(&table).is_empty());
}

#[test]
fn a_session_that_moved_here_stays_local_whatever_the_former_reporter_says() {
    let mut table = SessionTable::default();
    table.apply_report(member(2), vec![door(1)], 1_000);
    table.open(door(1), OPENED_AT);
    table.apply_report(member(2), vec![door(1)], 1_100);
    table.apply_report(member(2), vec![], 1_500);
    assert!(!table.expire(100_000));
    assert_eq!(local(&table), [door(1)]);
}

#[test]
fn a_stale_report_of_an_earlier_incarnation_does_not_replace_an_open_local_session() {
    let mut table = SessionTable::default();
    table.apply_report(member(2), vec![door(1)], 1_000);
    table.open(door(2), OPENED_AT);
    table.apply_report(member(2), vec![door(1)], 1_200);
    assert_eq!(local(&table), [door(2)], "the door is connected here");
    table.apply_report(member(2), vec![], 1_600);
    table.expire(10_000);
    assert_eq!(incarnations(&table), [2]);
}

#[rstest]
#[case::old_teller_last(&[2, 3, 2])]
#[case::new_teller_last(&[2, 2, 3])]
#[case::turns(&[3, 2, 3, 2])]
fn a_session_reported_by_two_nodes_is_open_as_long_as_one_of_them_reports_it(#[case] order: &[u8]) {
    let mut table = SessionTable::default();
    let mut now = 1_000;
    for reporter in order {
        table.apply_report(member(*reporter), vec![door(1)], now);
        now += 10;
    }
    // The former machine notices that the session has gone; the new one goes on listing it.
    table.apply_report(member(2), vec![], now);
    let mut next_list = now + LIST_INTERVAL_MS + 100;
    for time in now..now + 5_000 {
        if time == next_list {
            table.apply_report(member(3), vec![door(1)], time);
            next_list += LIST_INTERVAL_MS + 100;
        }
        assert!(!table.expire(time), "lapsed at {time}");
    }
}

#[test]
fn what_a_list_no_longer_holds_lapses_after_the_time_of_a_move() {
    let mut table = SessionTable::default();
    table.apply_report(member(2), vec![door(1), session("door-2", Role::Gateway, 5)], 1_000);
    table.apply_report(member(2), vec![door(1)], 1_400);
    assert!(!table.expire(1_400 + RECONNECT_GRACE_MS - 1));
    assert!(table.expire(1_400 + RECONNECT_GRACE_MS));
    assert_eq!(incarnations(&table), [1]);
    // Empty lists told again and again don't put the end off.
    table.apply_report(member(2), vec![], 2_000);
    table.apply_report(member(2), vec![], 2_400);
    assert!(table.expire(2_000 + RECONNECT_GRACE_MS));
}

#[test]
fn the_report_of_a_silent_node_lapses() {
    let mut table = SessionTable::default();
    table.apply_report(member(2), vec![door(1)], 1_000);
    assert!(!table.expire(1_000 + REPORT_TIMEOUT_MS - 1));
    assert!(table.expire(1_000 + REPORT_TIMEOUT_MS));
}

#[test]
fn a_later_start_elsewhere_replaces_a_session_that_ended_here() {
    let mut table = SessionTable::default();
    table.open(door(1), OPENED_AT);
    table.close(&door(1), 1_000);
    table.apply_report(member(2), vec![door(2)], 1_100);
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
fn facts_of_an_open_session_are_replaced() {
    let mut table = SessionTable::default();
    table.open(session("store-1", Role::Store, 1), OPENED_AT);
    let health = StoreHealth { disk_failing: true, used_bytes: 5, capacity_bytes: 10, draining: false };
    let changed = Session { health: Some(health), ..session("store-1", Role::Store, 1) };
    table.open(changed.clone(), OPENED_AT);
    assert_eq!(local(&table), [changed]);
}

/// A session of that age when it is reported.
fn aged(incarnation: u64, age_ms: u64) -> Session {
    Session { age_ms, ..session("store-1", Role::Store, incarnation) }
}

/// A control node that has just started hears of both starts of a store for the first time, the later one first.
#[rstest]
#[case::later_start_first(&[(3, 2, 40), (2, 1, 9_000)])]
#[case::earlier_start_first(&[(2, 1, 9_000), (3, 2, 40)])]
#[case::later_start_first_and_again(&[(3, 2, 40), (2, 1, 9_000), (2, 1, 9_001), (3, 2, 41)])]
fn of_two_starts_the_one_whose_session_was_opened_last_is_the_later(#[case] reports: &[(u8, u64, u64)]) {
    let mut table = SessionTable::default();
    for &(reporter, incarnation, age_ms) in reports {
        table.apply_report(member(reporter), vec![aged(incarnation, age_ms)], 20_000);
        table.expire(20_000);
    }
    assert_eq!(incarnations(&table), [2]);
}

#[test]
fn a_local_session_whose_process_has_started_anew_elsewhere_is_not_shown() {
    let mut table = SessionTable::default();
    table.open(aged(1, 0), 1_000);
    table.apply_report(member(2), vec![aged(2, 50)], 9_000);
    assert_eq!(incarnations(&table), [2], "the end of the first start isn't noticed yet");
    table.open(Session { health: None, ..aged(1, 0) }, 9_100);
    assert_eq!(
        incarnations(&table),
        [2],
        "facts of the first start that come late don't make it a later one"
    );
}

#[test]
fn a_delayed_report_makes_no_session_younger() {
    let mut table = SessionTable::default();
    table.apply_report(member(2), vec![aged(1, 100)], 5_000);
    table.apply_report(member(3), vec![aged(2, 10)], 6_000);
    // This one was three seconds on its way.
    table.apply_report(member(2), vec![aged(1, 500)], 8_400);
    assert_eq!(incarnations(&table), [2]);
}

#[test]
fn ages_of_local_sessions_are_reported() {
    let mut table = SessionTable::default();
    table.open(aged(1, 0), 1_000);
    table.open(aged(1, 0), 1_700);
    assert_eq!(table.local(4_000), [aged(1, 3_000)], "other facts don't make it younger");
}

/// A control node that has nothing new to tell says only that its sessions stand.
#[test]
fn a_list_that_is_renewed_stands_as_if_it_were_sent_again() {
    let mut table = SessionTable::default();
    table.apply_report(member(2), vec![door(1), session("door-2", Role::Gateway, 5)], 1_000);
    table.apply_report(member(2), vec![door(1)], 1_200);
    for now in (1_600..9_000).step_by(400) {
        table.renew_report(member(2), now);
        table.expire(now + 100);
        let expected: &[u64] = if now + 100 < 1_200 + RECONNECT_GRACE_MS { &[1, 5] } else { &[1] };
        assert_eq!(incarnations(&table), expected, "at {now}: what left isn't brought back");
    }
    assert_eq!(table.reported_count(member(2), 8_900), Some(1));
    table.expire(8_800 + REPORT_TIMEOUT_MS);
    assert_eq!(table.sessions().count(), 0, "nothing was renewed");
    assert_eq!(table.reported_count(member(2), 8_800 + REPORT_TIMEOUT_MS), None);
}

/// The reporter couldn't be heard for longer than its list counts, but didn't notice: it hears this node.
#[test]
fn a_list_that_expired_is_renewed_too() {
    let mut table = SessionTable::default();
    table.apply_report(member(2), vec![aged(1, 100)], 1_000);
    assert!(table.expire(1_000 + REPORT_TIMEOUT_MS));
    table.open(aged(2, 0), 5_000);
    table.renew_report(member(2), 20_000);
    assert_eq!(table.sessions().count(), 1);
    assert_eq!(incarnations(&table), [2], "the ages of what is renewed have grown meanwhile");
    table.renew_report(member(3), 20_000);
    assert_eq!(table.reported_count(member(3), 20_000), None, "it has sent no list");
}
