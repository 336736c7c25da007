//! Counts of usage at control nodes: merged, passed on to the head, kept until their windows are decided.

use std::collections::BTreeMap;

use orchidvalve_control_plane::usage_collection::UsageCollection;
use orchidvalve_control_state::MAX_UNDECIDED_WINDOWS;
use orchidvalve_protocol::messages::{TenantRequests, WindowUsage};

const WINDOW: u64 = 353_445_120;
/// Incarnations of two gateways.
const NORTH: u64 = 71;
const SOUTH: u64 = 72;

fn usage(window: u64, counts: &[(&str, u64)]) -> WindowUsage {
    let counts = counts
        .iter()
        .map(|(tenant, requests)| TenantRequests { tenant: (*tenant).to_owned(), requests: *requests });
    WindowUsage { window, counts: counts.collect() }
}

fn add(collection: &mut UsageCollection, gateway: u64, window: u64, counts: &[(&str, u64)]) {
    collection.add(gateway, vec![usage(window, counts)], WINDOW + 1);
}

fn total(collection: &UsageCollection, window: u64) -> Vec<(String, u64)> {
    collection.total(window).into_iter().collect()
}

fn row(tenant: &str, requests: u64) -> (String, u64) {
    (tenant.to_owned(), requests)
}

/// Everything that `from` passes on reaches `to`.
fn pass_on(from: &mut UsageCollection, to: &mut UsageCollection) {
    for (gateway, windows) in from.take_unsent() {
        to.add(gateway, windows, WINDOW + 1);
    }
}

// Guards against counts that are added where they come twice, late, or by two ways.
#[test]
fn counts_of_a_gateway_are_merged_by_their_maximum_and_gateways_summed() {
    let mut collection = UsageCollection::default();
    add(&mut collection, NORTH, WINDOW, &[("cuka620", 3), ("seje681", 1)]);
    add(&mut collection, NORTH, WINDOW, &[("cuka620", 5)]);
    add(&mut collection, NORTH, WINDOW, &[("cuka620", 4)]);
    add(&mut collection, SOUTH, WINDOW, &[("cuka620", 2)]);
    assert_eq!(total(&collection, WINDOW), [row("cuka620", 7), row("seje681", 1)]);
    assert!(collection.total(WINDOW + 1).is_empty());
}

// Guards against counts that go back and forth between two nodes which take each other for the head.
#[test]
fn only_what_is_new_is_passed_on() {
    let (mut node, mut head) = (UsageCollection::default(), UsageCollection::default());
    add(&mut node, NORTH, WINDOW, &[("cuka620", 3)]);
    pass_on(&mut node, &mut head);
    assert_eq!(total(&head, WINDOW), [row("cuka620", 3)]);
    add(&mut node, NORTH, WINDOW, &[("cuka620", 3)]);
    assert!(node.take_unsent().is_empty());
    pass_on(&mut head, &mut node);
    assert!(node.take_unsent().is_empty());
}

// Guards against counts of a gateway that has died, which a new head would never hear of again.
#[test]
fn a_new_head_is_told_everything_by_those_who_were_told_first() {
    let (mut node, mut head, mut next) =
        (UsageCollection::default(), UsageCollection::default(), UsageCollection::default());
    add(&mut node, NORTH, WINDOW, &[("cuka620", 3)]);
    add(&mut node, NORTH, WINDOW + 1, &[("cuka620", 1)]);
    pass_on(&mut node, &mut head);
    assert!(node.take_unsent().is_empty());
    node.mark_all_unsent();
    pass_on(&mut node, &mut next);
    assert_eq!(total(&next, WINDOW), [row("cuka620", 3)]);
    assert_eq!(total(&next, WINDOW + 1), [row("cuka620", 1)]);
}

// Guards against counts that only the former head knew: the node that was told first died together with the gateway.
#[test]
fn the_former_head_tells_the_new_one_what_others_had_told_it() {
    let (mut node, mut head, mut next) =
        (UsageCollection::default(), UsageCollection::default(), UsageCollection::default());
    add(&mut node, NORTH, WINDOW, &[("cuka620", 3)]);
    pass_on(&mut node, &mut head);
    head.mark_all_unsent();
    pass_on(&mut head, &mut next);
    assert_eq!(total(&next, WINDOW), [row("cuka620", 3)]);
}

// Guards against a session that moves to another control node and thereby counts twice.
#[test]
fn a_gateway_whose_session_moved_counts_once() {
    let (mut first, mut second, mut head) =
        (UsageCollection::default(), UsageCollection::default(), UsageCollection::default());
    add(&mut first, NORTH, WINDOW, &[("cuka620", 3)]);
    add(&mut second, NORTH, WINDOW, &[("cuka620", 5)]);
    pass_on(&mut second, &mut head);
    pass_on(&mut first, &mut head);
    assert_eq!(total(&head, WINDOW), [row("cuka620", 5)]);
}

// Guards against counts of decided windows that are passed on or kept for ever.
#[test]
fn counts_that_come_after_the_decision_are_not_passed_on() {
    let mut collection = UsageCollection::default();
    add(&mut collection, NORTH, WINDOW, &[("cuka620", 3)]);
    collection.set_decided_before(WINDOW + 1);
    assert!(collection.take_unsent().is_empty());
    add(&mut collection, NORTH, WINDOW, &[("cuka620", 4)]);
    assert!(collection.take_unsent().is_empty());
    collection.mark_all_unsent();
    assert!(collection.take_unsent().is_empty());
    assert_eq!(collection.earliest_window(), None);
    collection.set_decided_before(WINDOW + 50);
    assert!(collection.total(WINDOW).is_empty());
}

// Guards against memory that grows as long as no window is decided.
#[test]
fn windows_that_are_never_decided_are_forgotten() {
    let mut collection = UsageCollection::default();
    add(&mut collection, NORTH, WINDOW, &[("cuka620", 3)]);
    let later = WINDOW + 1 + MAX_UNDECIDED_WINDOWS;
    collection.add(SOUTH, vec![usage(later, &[("cuka620", 1)])], later);
    assert_eq!(collection.earliest_window(), Some(later));
    let told: BTreeMap<u64, Vec<WindowUsage>> = collection.take_unsent();
    assert_eq!(told.keys().copied().collect::<Vec<u64>>(), [SOUTH]);
}

// Guards against a gateway with a wrong clock: its windows must not push out those of the others.
#[test]
fn counts_of_windows_that_have_not_begun_are_ignored() {
    let mut collection = UsageCollection::default();
    add(&mut collection, NORTH, WINDOW, &[("cuka620", 3)]);
    add(&mut collection, SOUTH, WINDOW + 1_000, &[("cuka620", 9)]);
    add(&mut collection, SOUTH, u64::MAX, &[("cuka620", 9)]);
    assert!(collection.total(WINDOW + 1_000).is_empty());
    assert_eq!(total(&collection, WINDOW), [row("cuka620", 3)]);
}
