//! A subscriber's copy: never back, gaps, doubled changes, snapshots, servers.

use std::net::Ipv4Addr;

use orchidvalve_control_client::{FeedError, FeedReplica, FeedUpdate};
use orchidvalve_control_state::{Change, ControlState};
use orchidvalve_protocol::frames::encode;
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{GatewayList, ServerEntry, ServerTableUpdate, TableVersion};
use rstest::rstest;

const STATE: FeedUpdate = FeedUpdate { state: true, servers: false, workers: false };
const NOTHING: FeedUpdate = FeedUpdate { state: false, servers: false, workers: false };

fn change(version: u64) -> Change {
    Change::NameVersion { model: "large".to_owned(), version }
}

/// Changes `first..=last`; change `n` names version `n + 1`.
fn changes(first: u64, last: u64) -> Vec<Vec<u8>> {
    (first..=last).map(|n| encode(&change(n + 1))).collect()
}

fn state(sequence: u64) -> ControlState {
    let mut state = ControlState::default();
    if sequence > 0 {
        state.apply(&change(sequence + 1)).unwrap();
    }
    state
}

fn image(sequence: u64) -> Vec<u8> {
    encode(&state(sequence).snapshot())
}

fn assert_at(copy: &FeedReplica, sequence: u64) {
    assert_eq!(copy.sequence(), sequence);
    assert_eq!(copy.position().applied, sequence);
    assert_eq!(copy.state().snapshot(), state(sequence).snapshot());
}

fn copy_at(sequence: u64) -> FeedReplica {
    let mut copy = FeedReplica::default();
    if sequence > 0 {
        copy.apply_snapshot(sequence, &image(sequence)).unwrap();
    }
    copy
}

/// Where the copy is, what comes, where it is then; none if a snapshot is needed.
#[rstest]
#[case::first_ones(0, (1, 3), Some(3))]
#[case::next(3, (4, 4), Some(4))]
#[case::doubled(3, (2, 3), Some(3))]
#[case::all_doubled_long_ago(9, (1, 4), Some(9))]
#[case::overlap(3, (2, 6), Some(6))]
#[case::gap(3, (5, 6), None)]
#[case::gap_at_the_start(0, (2, 3), None)]
fn changes_are_applied_in_order(
    #[case] at: u64,
    #[case] (first, last): (u64, u64),
    #[case] expected: Option<u64>,
) {
    let mut copy = copy_at(at);
    let news = copy.apply_changes(first, &changes(first, last));
    let moved = if expected == Some(at) { NOTHING } else { STATE };
    let missing = FeedError::MissingChanges { sequence: first, applied: at };
    assert_eq!(news, expected.map(|_| moved).ok_or(missing));
    assert_at(&copy, expected.unwrap_or(at));
}

#[rstest]
#[case::first(0, 5, 5)]
#[case::later(3, 5, 5)]
#[case::same(5, 5, 5)]
#[case::earlier(5, 3, 5)]
#[case::of_the_beginning(5, 0, 5)]
fn snapshots_lead_forward_only(#[case] at: u64, #[case] sent: u64, #[case] expected: u64) {
    let mut copy = copy_at(at);
    let news = copy.apply_snapshot(sent, &image(sent));
    assert_eq!(news, Ok(if expected == at { NOTHING } else { STATE }));
    assert_at(&copy, expected);
}

#[test]
fn what_cannot_be_read_changes_nothing() {
    let mut copy = copy_at(3);
    let whole = image(5);
    for length in 0..whole.len() {
        assert_eq!(
            copy.apply_snapshot(5, &whole[..length]),
            Err(FeedError::Unreadable { sequence: 5 }),
            "{length}"
        );
        assert_at(&copy, 3);
    }
    let next = encode(&change(5));
    for length in 0..next.len() {
        let cut = [next[..length].to_vec()];
        assert_eq!(copy.apply_changes(4, &cut), Err(FeedError::Unreadable { sequence: 4 }), "{length}");
        assert_at(&copy, 3);
    }
}

#[test]
fn changes_before_an_unreadable_one_are_applied() {
    let mut copy = copy_at(3);
    let mut sent = changes(4, 6);
    sent[2] = vec![0xff];
    assert_eq!(copy.apply_changes(4, &sent), Err(FeedError::Unreadable { sequence: 6 }));
    assert_at(&copy, 5);
}

#[test]
fn a_change_that_does_not_fit_is_counted_and_changes_nothing() {
    let mut copy = copy_at(3);
    let unfit = encode(&Change::Retire { name: "nobody".to_owned() });
    assert_eq!(copy.apply_changes(4, &[unfit]), Ok(STATE));
    assert_eq!(copy.sequence(), 4);
    assert_eq!(copy.state().snapshot(), state(3).snapshot());
}

#[test]
fn a_checkpoint_in_the_feed_brings_the_whole_state() {
    let mut copy = copy_at(3);
    let checkpoint = encode(&Change::Checkpoint(state(8).snapshot()));
    assert_eq!(copy.apply_changes(4, &[checkpoint]), Ok(STATE));
    assert_eq!(copy.sequence(), 4);
    assert_eq!(copy.state().snapshot(), state(8).snapshot());
}

/// Each message of a feed in turn dropped, doubled, truncated or sent again at the end: the copy never goes back
/// and never holds a state that isn't the one of its number.
#[rstest]
fn one_message_changed(#[values("drop", "double", "truncate", "late")] kind: &str) {
    let feed: Vec<(u64, Vec<Vec<u8>>)> =
        (0..10).map(|n| (2 * n + 1, changes(2 * n + 1, 2 * n + 2))).collect();
    for place in 0..feed.len() {
        let mut changed = feed.clone();
        match kind {
            "drop" => drop(changed.remove(place)),
            "double" => changed.insert(place, feed[place].clone()),
            "truncate" => drop(changed[place].1[1].pop()),
            _ => changed.push(feed[place].clone()),
        }
        let mut copy = FeedReplica::default();
        for (first, sent) in changed {
            let before = copy.sequence();
            if copy.apply_changes(first, &sent).is_err() {
                // The session ends; the next one begins with what is missing.
                assert!(copy.sequence() >= before);
                let next = copy.sequence() + 1;
                copy.apply_changes(next, &changes(next, 20)).unwrap();
            }
            assert!(copy.sequence() >= before);
            assert_at(&copy, copy.sequence());
        }
        assert!(
            copy.sequence() == 20 || (kind == "drop" && place == 9),
            "{kind} {place}: {}",
            copy.sequence()
        );
    }
}

#[test]
fn servers_come_by_whole_tables_and_differences() {
    let entry = |slots| ServerEntry {
        instance: "i-1".to_owned(),
        service: "blue".to_owned(),
        address: NodeAddress::new(Ipv4Addr::new(10, 0, 1, 1), 8080),
        zone: "north".to_owned(),
        slots,
        draining: false,
        models: Vec::new(),
    };
    let version = |number| TableVersion { term: 1, number };
    let difference = |from, to| ServerTableUpdate::Delta {
        from: version(from),
        version: version(to),
        versions: Vec::new(),
        changed: vec![entry(to as u32)],
        removed: Vec::new(),
    };
    let mut copy = FeedReplica::default();
    let missing = Err(FeedError::MissingTable);
    assert_eq!(copy.apply_server_update(&difference(4, 5)), missing, "a whole table is needed first");
    let whole = ServerTableUpdate::Snapshot { version: version(5), servers: vec![entry(5)] };
    let servers = FeedUpdate { servers: true, ..NOTHING };
    assert_eq!(copy.apply_server_update(&whole), Ok(servers));
    assert_eq!(copy.apply_server_update(&difference(5, 6)), Ok(servers));
    for old in [difference(5, 6), difference(4, 5), whole] {
        assert_eq!(copy.apply_server_update(&old), Ok(NOTHING));
    }
    assert_eq!(copy.apply_server_update(&difference(7, 8)), missing);
    assert_eq!(copy.position().servers, version(6));
    assert_eq!(copy.servers().get("i-1"), Some(&entry(6)));
}

#[test]
fn the_workers_are_news_only_when_they_change() {
    let mut copy = FeedReplica::default();
    let workers = FeedUpdate { workers: true, ..NOTHING };
    let doors = |numbers: &[u8]| -> Vec<NodeAddress> {
        numbers.iter().map(|number| NodeAddress::new(Ipv4Addr::new(10, 0, 0, *number), 0)).collect()
    };
    let list = |term, number, members: &[u8]| GatewayList {
        version: TableVersion { term, number },
        gateways: doors(members),
    };
    assert_eq!(copy.apply_workers(list(3, 1, &[1, 2, 3])), workers);
    assert_eq!(copy.apply_workers(list(3, 2, &[1, 2, 3])), NOTHING);
    assert_eq!(copy.apply_workers(list(3, 3, &[1, 2, 4])), workers);
    // Late ones of this head and of a former one.
    assert_eq!(copy.apply_workers(list(3, 2, &[1, 2, 3])), NOTHING);
    assert_eq!(copy.apply_workers(list(2, 9, &[7])), NOTHING);
    assert_eq!(copy.workers(), doors(&[1, 2, 4]));
    assert_eq!(copy.apply_workers(list(4, 1, &[7])), workers);
    let mut sum = NOTHING;
    assert!(!sum.any());
    sum |= STATE;
    sum |= workers;
    assert_eq!(sum, FeedUpdate { state: true, servers: false, workers: true });
    assert!(sum.any());
}

#[test]
fn registrations_and_placements_come_through_the_feed() {
    let address = NodeAddress::new(Ipv4Addr::new(10, 0, 2, 1), 7000);
    let member = MemberId { address, disk: 5 };
    let register = Change::RegisterStore { name: "store-1".to_owned(), zone: "north".to_owned(), member };
    let mut copy = FeedReplica::default();
    assert_eq!(copy.apply_changes(1, &[encode(&register)]), Ok(STATE));
    assert_eq!(copy.state().stores()["store-1"].member, member);
}
