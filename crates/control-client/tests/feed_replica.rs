//! A subscriber's replica: monotonic updates, gaps, duplicated changes, snapshots, servers.

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

fn assert_at(replica: &FeedReplica, sequence: u64) {
    assert_eq!(replica.sequence(), sequence);
    assert_eq!(replica.position().applied, sequence);
    assert_eq!(replica.state().snapshot(), state(sequence).snapshot());
}

fn replica_at(sequence: u64) -> FeedReplica {
    let mut replica = FeedReplica::default();
    if sequence > 0 {
        replica.apply_snapshot(sequence, &image(sequence)).unwrap();
    }
    replica
}

/// The position of the replica, the received changes, and the position after them; `None` if changes are missing.
#[rstest]
#[case::first_ones(0, (1, 3), Some(3))]
#[case::next(3, (4, 4), Some(4))]
#[case::duplicate(3, (2, 3), Some(3))]
#[case::old_duplicates(9, (1, 4), Some(9))]
#[case::overlap(3, (2, 6), Some(6))]
#[case::gap(3, (5, 6), None)]
#[case::gap_at_the_start(0, (2, 3), None)]
fn changes_are_applied_in_order(
    #[case] at: u64,
    #[case] (first, last): (u64, u64),
    #[case] expected: Option<u64>,
) {
    let mut replica = replica_at(at);
    let update = replica.apply_changes(first, &changes(first, last));
    let moved = if expected == Some(at) { NOTHING } else { STATE };
    let missing = FeedError::MissingChanges { sequence: first, applied: at };
    assert_eq!(update, expected.map(|_| moved).ok_or(missing));
    assert_at(&replica, expected.unwrap_or(at));
}

#[rstest]
#[case::first(0, 5, 5)]
#[case::later(3, 5, 5)]
#[case::same(5, 5, 5)]
#[case::earlier(5, 3, 5)]
#[case::of_the_beginning(5, 0, 5)]
fn snapshots_only_advance_the_replica(#[case] at: u64, #[case] sent: u64, #[case] expected: u64) {
    let mut replica = replica_at(at);
    let update = replica.apply_snapshot(sent, &image(sent));
    assert_eq!(update, Ok(if expected == at { NOTHING } else { STATE }));
    assert_at(&replica, expected);
}

#[test]
fn undecodable_data_changes_nothing() {
    let mut replica = replica_at(3);
    let complete = image(5);
    for length in 0..complete.len() {
        assert_eq!(
            replica.apply_snapshot(5, &complete[..length]),
            Err(FeedError::Unreadable { sequence: 5 }),
            "{length}"
        );
        assert_at(&replica, 3);
    }
    let next = encode(&change(5));
    for length in 0..next.len() {
        let truncated = [next[..length].to_vec()];
        assert_eq!(
            replica.apply_changes(4, &truncated),
            Err(FeedError::Unreadable { sequence: 4 }),
            "{length}"
        );
        assert_at(&replica, 3);
    }
}

#[test]
fn changes_before_an_unreadable_one_are_applied() {
    let mut replica = replica_at(3);
    let mut sent = changes(4, 6);
    sent[2] = vec![0xff];
    assert_eq!(replica.apply_changes(4, &sent), Err(FeedError::Unreadable { sequence: 6 }));
    assert_at(&replica, 5);
}

#[test]
fn invalid_change_advances_the_sequence_only() {
    let mut replica = replica_at(3);
    let invalid = encode(&Change::Retire { name: "nobody".to_owned() });
    assert_eq!(replica.apply_changes(4, &[invalid]), Ok(STATE));
    assert_eq!(replica.sequence(), 4);
    assert_eq!(replica.state().snapshot(), state(3).snapshot());
}

#[test]
fn checkpoint_in_the_feed_replaces_the_state() {
    let mut replica = replica_at(3);
    let checkpoint = encode(&Change::Checkpoint(state(8).snapshot()));
    assert_eq!(replica.apply_changes(4, &[checkpoint]), Ok(STATE));
    assert_eq!(replica.sequence(), 4);
    assert_eq!(replica.state().snapshot(), state(8).snapshot());
}

/// Each message of a feed in turn is dropped, duplicated, truncated or repeated at the end: the replica never returns
/// to an older state, and its state always matches its sequence number.
#[rstest]
fn replica_is_monotonic_if_one_message_is_mutated(
    #[values("drop", "duplicate", "truncate", "repeat")] kind: &str,
) {
    let feed: Vec<(u64, Vec<Vec<u8>>)> =
        (0..10).map(|n| (2 * n + 1, changes(2 * n + 1, 2 * n + 2))).collect();
    for position in 0..feed.len() {
        let mut changed = feed.clone();
        match kind {
            "drop" => drop(changed.remove(position)),
            "duplicate" => changed.insert(position, feed[position].clone()),
            "truncate" => drop(changed[position].1[1].pop()),
            _ => changed.push(feed[position].clone()),
        }
        let mut replica = FeedReplica::default();
        for (first, sent) in changed {
            let before = replica.sequence();
            if replica.apply_changes(first, &sent).is_err() {
                // The session ends; the next one starts with the missing changes.
                assert!(replica.sequence() >= before);
                let next = replica.sequence() + 1;
                replica.apply_changes(next, &changes(next, 20)).unwrap();
            }
            assert!(replica.sequence() >= before);
            assert_at(&replica, replica.sequence());
        }
        assert!(
            replica.sequence() == 20 || (kind == "drop" && position == 9),
            "{kind} {position}: {}",
            replica.sequence()
        );
    }
}

#[test]
fn server_table_is_updated_by_snapshots_and_deltas() {
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
    let delta = |from, to| ServerTableUpdate::Delta {
        from: version(from),
        version: version(to),
        versions: Vec::new(),
        changed: vec![entry(to as u32)],
        removed: Vec::new(),
    };
    let mut replica = FeedReplica::default();
    let missing = Err(FeedError::MissingTable);
    assert_eq!(replica.apply_server_update(&delta(4, 5)), missing, "a snapshot is needed first");
    let snapshot = ServerTableUpdate::Snapshot { version: version(5), servers: vec![entry(5)] };
    let servers = FeedUpdate { servers: true, ..NOTHING };
    assert_eq!(replica.apply_server_update(&snapshot), Ok(servers));
    assert_eq!(replica.apply_server_update(&delta(5, 6)), Ok(servers));
    for old in [delta(5, 6), delta(4, 5), snapshot] {
        assert_eq!(replica.apply_server_update(&old), Ok(NOTHING));
    }
    assert_eq!(replica.apply_server_update(&delta(7, 8)), missing);
    assert_eq!(replica.position().servers, version(6));
    assert_eq!(replica.servers().get("i-1"), Some(&entry(6)));
}

#[test]
fn worker_list_counts_as_changed_only_if_it_changes() {
    let mut replica = FeedReplica::default();
    let workers = FeedUpdate { workers: true, ..NOTHING };
    let gateways = |numbers: &[u8]| -> Vec<NodeAddress> {
        numbers.iter().map(|number| NodeAddress::new(Ipv4Addr::new(10, 0, 0, *number), 0)).collect()
    };
    let list = |term, number, members: &[u8]| GatewayList {
        version: TableVersion { term, number },
        gateways: gateways(members),
    };
    assert_eq!(replica.apply_workers(list(3, 1, &[1, 2, 3])), workers);
    assert_eq!(replica.apply_workers(list(3, 2, &[1, 2, 3])), NOTHING);
    assert_eq!(replica.apply_workers(list(3, 3, &[1, 2, 4])), workers);
    // Stale lists of this head and of a previous one.
    assert_eq!(replica.apply_workers(list(3, 2, &[1, 2, 3])), NOTHING);
    assert_eq!(replica.apply_workers(list(2, 9, &[7])), NOTHING);
    assert_eq!(replica.workers(), gateways(&[1, 2, 4]));
    assert_eq!(replica.apply_workers(list(4, 1, &[7])), workers);
    let mut sum = NOTHING;
    assert!(!sum.any());
    sum |= STATE;
    sum |= workers;
    assert_eq!(sum, FeedUpdate { state: true, servers: false, workers: true });
    assert!(sum.any());
}

#[test]
fn feed_delivers_registrations() {
    let address = NodeAddress::new(Ipv4Addr::new(10, 0, 2, 1), 7000);
    let member = MemberId { address, disk: 5 };
    let register = Change::RegisterStore { name: "store-1".to_owned(), zone: "north".to_owned(), member };
    let mut replica = FeedReplica::default();
    assert_eq!(replica.apply_changes(1, &[encode(&register)]), Ok(STATE));
    assert_eq!(replica.state().stores()["store-1"].member, member);
}
