//! Usage counts at control nodes: merging, forwarding to the head, and retention until their windows are decided.

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

/// Forwards all unsent counts of `from` to `to`.
fn forward(from: &mut UsageCollection, to: &mut UsageCollection) {
    for (gateway, windows) in from.take_unsent() {
        to.add(gateway, windows, WINDOW + 1);
    }
}

// Guards against counts that are added up although they were received twice, late, or by two routes.
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

// Guards against counts that go back and forth between two nodes, each of which considers the other one the head.
#[test]
fn only_new_counts_are_forwarded() {
    let (mut node, mut head) = (UsageCollection::default(), UsageCollection::default());
    add(&mut node, NORTH, WINDOW, &[("cuka620", 3)]);
    forward(&mut node, &mut head);
    assert_eq!(total(&head, WINDOW), [row("cuka620", 3)]);
    add(&mut node, NORTH, WINDOW, &[("cuka620", 3)]);
    assert!(node.take_unsent().is_empty());
    forward(&mut head, &mut node);
    assert!(node.take_unsent().is_empty());
}

// Guards against counts of an exited gateway that are never sent to a new head.
#[test]
fn nodes_send_all_their_counts_to_a_new_head() {
    let (mut node, mut head, mut next) =
        (UsageCollection::default(), UsageCollection::default(), UsageCollection::default());
    add(&mut node, NORTH, WINDOW, &[("cuka620", 3)]);
    add(&mut node, NORTH, WINDOW + 1, &[("cuka620", 1)]);
    forward(&mut node, &mut head);
    assert!(node.take_unsent().is_empty());
    node.mark_all_unsent();
    forward(&mut node, &mut next);
    assert_eq!(total(&next, WINDOW), [row("cuka620", 3)]);
    assert_eq!(total(&next, WINDOW + 1), [row("cuka620", 1)]);
}

// Guards against counts that only the former head has, because the node that received them failed with the gateway.
#[test]
fn a_former_head_sends_received_counts_to_the_new_one() {
    let (mut node, mut head, mut next) =
        (UsageCollection::default(), UsageCollection::default(), UsageCollection::default());
    add(&mut node, NORTH, WINDOW, &[("cuka620", 3)]);
    forward(&mut node, &mut head);
    head.mark_all_unsent();
    forward(&mut head, &mut next);
    assert_eq!(total(&next, WINDOW), [row("cuka620", 3)]);
}

// Guards against counts that are counted twice because a session moved to another control node.
#[test]
fn a_gateway_whose_session_moved_counts_once() {
    let (mut first, mut second, mut head) =
        (UsageCollection::default(), UsageCollection::default(), UsageCollection::default());
    add(&mut first, NORTH, WINDOW, &[("cuka620", 3)]);
    add(&mut second, NORTH, WINDOW, &[("cuka620", 5)]);
    forward(&mut second, &mut head);
    forward(&mut first, &mut head);
    assert_eq!(total(&head, WINDOW), [row("cuka620", 5)]);
}

// Guards against counts of decided windows that are forwarded, or kept for ever.
#[test]
fn counts_received_after_the_decision_are_not_forwarded() {
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

// Guards against memory use that grows while no window is decided.
#[test]
fn windows_that_are_never_decided_are_forgotten() {
    let mut collection = UsageCollection::default();
    add(&mut collection, NORTH, WINDOW, &[("cuka620", 3)]);
    let later = WINDOW + 1 + MAX_UNDECIDED_WINDOWS;
    collection.add(SOUTH, vec![usage(later, &[("cuka620", 1)])], later);
    assert_eq!(collection.earliest_window(), Some(later));
    let unsent: BTreeMap<u64, Vec<WindowUsage>> = collection.take_unsent();
    assert_eq!(unsent.keys().copied().collect::<Vec<u64>>(), [SOUTH]);
}

// Guards against a gateway whose clock is wrong: its windows must not displace those of other gateways.
#[test]
fn counts_of_windows_that_have_not_begun_are_ignored() {
    let mut collection = UsageCollection::default();
    add(&mut collection, NORTH, WINDOW, &[("cuka620", 3)]);
    add(&mut collection, SOUTH, WINDOW + 1_000, &[("cuka620", 9)]);
    add(&mut collection, SOUTH, u64::MAX, &[("cuka620", 9)]);
    assert!(collection.total(WINDOW + 1_000).is_empty());
    assert_eq!(total(&collection, WINDOW), [row("cuka620", 3)]);
}
