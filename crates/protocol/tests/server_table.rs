//! The server table: replacement, deltas, gaps and older terms.

use std::net::Ipv4Addr;

use orchidvalve_protocol::frames::encode;
use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::messages::{ModelVersionChange, ServerEntry, ServerTableUpdate, TableVersion};
use orchidvalve_protocol::server_table::ServerTable;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

fn entry(number: u8, slots: u32) -> ServerEntry {
    ServerEntry {
        instance: format!("i-{number}"),
        service: "blue".to_owned(),
        address: NodeAddress::new(Ipv4Addr::new(10, 0, 1, number), 8080),
        zone: "north".to_owned(),
        slots,
        draining: false,
        models: vec![("large".to_owned(), 1)],
    }
}

fn version(term: u64, number: u64) -> TableVersion {
    TableVersion { term, number }
}

fn entries(table: &ServerTable) -> Vec<ServerEntry> {
    table.servers().cloned().collect()
}

#[test]
fn unchanged_list_yields_no_update() {
    let mut table = ServerTable::default();
    assert!(table.replace(3, vec![entry(1, 4)]).is_some());
    assert_eq!(table.replace(3, vec![entry(1, 4)]), None);
    assert_eq!(table.version(), version(3, 1));
}

#[test]
fn first_list_yields_an_update_even_if_it_is_empty() {
    let mut table = ServerTable::default();
    assert!(table.replace(1, Vec::new()).is_some());
    assert_eq!(table.replace(1, Vec::new()), None);
}

#[rstest]
#[case::added(&[(1, 4)], &[(1, 4), (2, 4)])]
#[case::removed(&[(1, 4), (2, 4)], &[(2, 4)])]
#[case::changed(&[(1, 4), (2, 4)], &[(1, 4), (2, 5)])]
#[case::emptied(&[(1, 4)], &[])]
#[case::all_new(&[(1, 4)], &[(2, 4), (3, 4)])]
fn a_delta_leads_from_one_list_to_the_next(#[case] before: &[(u8, u32)], #[case] after: &[(u8, u32)]) {
    let list = |items: &[(u8, u32)]| items.iter().map(|(n, s)| entry(*n, *s)).collect::<Vec<_>>();
    let mut leader = ServerTable::default();
    let mut subscriber = ServerTable::default();
    leader.replace(2, list(before));
    assert!(subscriber.apply(&leader.snapshot()));
    let update = leader.replace(2, list(after)).unwrap();
    assert!(matches!(update, ServerTableUpdate::Delta { .. }));
    assert!(subscriber.apply(&update));
    assert_eq!(entries(&subscriber), list(after));
    assert_eq!(subscriber.version(), leader.version());
}

/// Returns an entry that holds two models.
fn entry_with(number: u8, versions: [u64; 2]) -> ServerEntry {
    let models = vec![("large".to_owned(), versions[0]), ("small".to_owned(), versions[1])];
    ServerEntry { models, ..entry(number, 4) }
}

fn tables_with(servers: Vec<ServerEntry>) -> (ServerTable, ServerTable) {
    let mut leader = ServerTable::default();
    let mut subscriber = ServerTable::default();
    leader.replace(2, servers);
    assert!(subscriber.apply(&leader.snapshot()));
    (leader, subscriber)
}

#[test]
fn new_weight_versions_are_sent_without_the_rest_of_the_entries() {
    let servers = |version| (1..=200).map(|number| entry_with(number, [version, 1])).collect::<Vec<_>>();
    let (mut leader, mut subscriber) = tables_with(servers(999));
    let update = leader.replace(2, servers(1_000)).expect("an update");
    let ServerTableUpdate::Delta { versions, changed, .. } = &update else { panic!("{update:?}") };
    assert_eq!((versions.len(), changed.len()), (200, 0));
    let bytes = encode(&update).len();
    assert!(bytes < 200 * 8, "{bytes} bytes");
    assert!(subscriber.apply(&update));
    assert_eq!(entries(&subscriber), entries(&leader));
}

#[test]
fn a_delta_may_change_versions_add_change_and_remove_servers_at_once() {
    let before = vec![entry_with(1, [1, 1]), entry_with(2, [1, 1]), entry_with(3, [1, 1]), entry(4, 4)];
    let after =
        vec![entry_with(2, [2, 7]), entry_with(3, [1, 9]), entry_with(4, [1, 1]), entry_with(5, [1, 1])];
    let (mut leader, mut subscriber) = tables_with(before);
    let update = leader.replace(2, after).expect("an update");
    let change = |server, model, version| ModelVersionChange { server, model, version };
    let ServerTableUpdate::Delta { versions, changed, removed, .. } = &update else { panic!("{update:?}") };
    assert_eq!(versions, &[change(1, 0, 2), change(1, 1, 7), change(2, 1, 9)]);
    assert_eq!(changed, &[entry_with(4, [1, 1]), entry_with(5, [1, 1])]);
    assert_eq!(removed, &["i-1"]);
    assert!(subscriber.apply(&update));
    assert_eq!(entries(&subscriber), entries(&leader));
}

#[rstest]
#[case::no_such_server(&[(0, 0), (2, 0)])]
#[case::no_such_model(&[(0, 0), (1, 2)])]
#[case::out_of_order(&[(1, 0), (0, 0)])]
fn version_changes_that_do_not_fit_the_table_are_rejected(#[case] indices: &[(u32, u32)]) {
    let (_, mut subscriber) = tables_with(vec![entry_with(1, [1, 1]), entry_with(2, [1, 1])]);
    let change =
        |(server, model): &(u32, u32)| ModelVersionChange { server: *server, model: *model, version: 2 };
    let update = ServerTableUpdate::Delta {
        from: version(2, 1),
        version: version(2, 2),
        versions: indices.iter().map(change).collect(),
        changed: Vec::new(),
        removed: Vec::new(),
    };
    assert!(!subscriber.apply(&update));
    assert_eq!(subscriber.version(), version(2, 1));
    assert_eq!(entries(&subscriber), [entry_with(1, [1, 1]), entry_with(2, [1, 1])]);
}

/// Whichever of the updates a subscriber receives, it has the leader's table once it has the leader's version.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn deltas_and_snapshots_give_the_same_table_in_any_interleaving(#[case] seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut leader = ServerTable::default();
    let mut subscriber = ServerTable::default();
    for _ in 0..2_000 {
        let numbers: Vec<u8> = (1..9).filter(|_| random.random_bool(0.8)).collect();
        let mut versions = || [random.random_range(1..3), random.random_range(1..3)];
        let list = numbers.into_iter().map(|number| entry_with(number, versions())).collect();
        let update = leader.replace(1, list);
        if let Some(update) = update
            && random.random_bool(0.7)
        {
            subscriber.apply(&update);
        }
        if random.random_bool(0.1) {
            for update in leader.updates_since(subscriber.version()) {
                assert!(subscriber.apply(&update));
            }
        }
        if subscriber.version() == leader.version() {
            assert_eq!(entries(&subscriber), entries(&leader));
        }
    }
}

#[test]
fn a_gap_is_reported_and_changes_nothing() {
    let mut leader = ServerTable::default();
    let mut subscriber = ServerTable::default();
    leader.replace(1, vec![entry(1, 4)]);
    assert!(subscriber.apply(&leader.snapshot()));
    leader.replace(1, vec![entry(1, 5)]);
    let later = leader.replace(1, vec![entry(1, 6)]).unwrap();
    assert!(!subscriber.apply(&later));
    assert_eq!(entries(&subscriber), [entry(1, 4)]);
    assert_eq!(subscriber.version(), version(1, 1));
}

#[test]
fn older_and_duplicate_updates_are_ignored() {
    let mut leader = ServerTable::default();
    let first = leader.replace(1, vec![entry(1, 4)]).unwrap();
    let snapshot = leader.snapshot();
    let second = leader.replace(1, vec![entry(1, 5)]).unwrap();
    let mut subscriber = ServerTable::default();
    for update in [&snapshot, &second, &second, &first, &snapshot] {
        assert!(subscriber.apply(update));
    }
    assert_eq!(entries(&subscriber), [entry(1, 5)]);
}

#[test]
fn a_later_term_outranks_higher_numbers_of_an_earlier_one() {
    let mut previous = ServerTable::default();
    for slots in 1..=20 {
        previous.replace(4, vec![entry(1, slots)]);
    }
    let mut next = ServerTable::default();
    next.replace(5, vec![entry(2, 1)]);
    let mut subscriber = ServerTable::default();
    assert!(subscriber.apply(&previous.snapshot()));
    assert!(subscriber.apply(&next.snapshot()));
    assert!(subscriber.apply(&previous.snapshot()));
    assert_eq!(entries(&subscriber), [entry(2, 1)]);
}

#[test]
fn previous_leader_cannot_replace_the_table() {
    let mut table = ServerTable::default();
    table.replace(5, vec![entry(2, 1)]);
    assert_eq!(table.replace(4, vec![entry(1, 1)]), None);
    assert_eq!(table.version(), version(5, 1));
    assert_eq!(entries(&table), [entry(2, 1)]);
}

/// The previous leader's last delta reached another process but not the next leader.
#[rstest]
#[case::list_unchanged_for_the_leader(vec![entry(1, 4)])]
#[case::list_changed_for_the_leader(vec![entry(1, 4), entry(3, 4)])]
fn first_update_of_a_new_term_applies_at_every_process(#[case] list: Vec<ServerEntry>) {
    let mut previous = ServerTable::default();
    previous.replace(1, vec![entry(1, 4)]);
    let mut next = ServerTable::default();
    let mut other = ServerTable::default();
    assert!(next.apply(&previous.snapshot()));
    assert!(other.apply(&previous.snapshot()));
    let last = previous.replace(1, vec![entry(2, 4)]).unwrap();
    assert!(other.apply(&last));
    let update = next.replace(2, list.clone()).expect("the other process has another list");
    assert!(other.apply(&update), "the other process stays behind permanently");
    assert_eq!(entries(&other), list);
}

#[test]
fn subscriber_receives_the_missing_deltas_or_a_snapshot() {
    let mut table = ServerTable::default();
    table.replace(1, vec![entry(1, 1)]);
    let mut versions = vec![table.version()];
    for slots in 2..=60 {
        table.replace(1, vec![entry(1, slots)]);
        versions.push(table.version());
    }
    for from in versions.into_iter().chain([version(0, 0), version(1, 17), version(0, 9)]) {
        let updates = table.updates_since(from);
        let mut subscriber = ServerTable::default();
        if from.number > 0 && from.term == 1 {
            let servers = vec![entry(1, from.number as u32)];
            assert!(subscriber.apply(&ServerTableUpdate::Snapshot { version: from, servers }));
        }
        for update in &updates {
            assert!(subscriber.apply(update), "from {from:?}");
        }
        assert_eq!(subscriber.version(), table.version());
        assert_eq!(entries(&subscriber), entries(&table));
        assert_eq!(updates.is_empty(), from == table.version());
    }
}

#[test]
fn subscriber_ahead_of_this_process_receives_no_update() {
    let mut table = ServerTable::default();
    table.replace(1, vec![entry(1, 1)]);
    assert!(table.updates_since(version(2, 1)).is_empty());
}

/// Tables exchange updates with losses and changing writers. All become equal as soon as they receive the leader's
/// complete table, and no version decreases.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn versions_never_decrease_under_random_updates(#[case] seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut tables: Vec<ServerTable> = (0..4).map(|_| ServerTable::default()).collect();
    let mut sent: Vec<ServerTableUpdate> = Vec::new();
    let mut term = 1;
    for _ in 0..5_000 {
        let leader = term as usize % tables.len();
        let versions: Vec<TableVersion> = tables.iter().map(ServerTable::version).collect();
        match random.random_range(0..10) {
            0 => term += 1,
            1..4 => {
                let list = (1..6).filter(|_| random.random_bool(0.5));
                let list = list.collect::<Vec<u8>>().into_iter().map(|n| entry(n, random.random_range(1..3)));
                let list = list.collect();
                sent.extend(tables[leader].replace(term, list));
            }
            _ => {
                let index = random.random_range(0..tables.len());
                if let Some(update) = sent.choose(&mut random) {
                    tables[index].apply(update);
                }
            }
        }
        for (table, before) in tables.iter().zip(versions) {
            assert!(table.version() >= before);
        }
    }
    term += 1;
    tables[0].replace(term, vec![entry(1, 1)]);
    let snapshot = tables[0].snapshot();
    for table in &mut tables {
        assert!(table.apply(&snapshot));
        assert_eq!(entries(table), [entry(1, 1)]);
    }
}
