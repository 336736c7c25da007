//! Each rule of the invariant checker: a stream of events that violates exactly this rule, and a similar stream that
//! violates none.

use orchidvalve_fault_injection::invariants::{Event, InvariantChecker, Violation};
use orchidvalve_fault_injection::scenario::Scenario;
use orchidvalve_fault_injection::store_model::Overload;
use orchidvalve_fault_injection::{MS, Nanos, SECOND};

const TEXT: &str = r#"
name = "audit"
lasts_s = 10.0
fronts = 2
[stores]
cells = 2
[rules]
attempts_cap = 2
further_free = 1.0
further_share = 0.1
[[grade]]
name = "look"
effect = "pure"
soft_ms = 300
abandon_ms = 1000
floor = 0.5
[[grade]]
name = "hold"
effect = "receipted"
soft_ms = 300
abandon_ms = 4000
window_ms = 1000
[[grade]]
name = "pay"
effect = "effectful"
soft_ms = 300
abandon_ms = 1000
[[load]]
from_s = 0.0
to_s = 1.0
rate = 1.0
"#;

fn violations_of(stream: &[(Nanos, Event)]) -> Vec<Violation> {
    let mut checker = InvariantChecker::new(&Scenario::read(TEXT).unwrap());
    stream.iter().for_each(|(at, event)| checker.observe(*at, event));
    checker.end(10 * SECOND)
}

fn query_sent(id: &str, class: usize, shards: &[usize], until: Nanos) -> Event {
    let key = (class == 1).then(|| "k1".to_owned());
    Event::QuerySent { id: id.into(), front_node: 0, class, tenant: None, shards: shards.into(), key, until }
}

fn answered(id: &str, status: u16, complete: bool, parts: &[(usize, &str)]) -> Event {
    let parts = parts.iter().map(|(shard, value)| (*shard, (*value).to_owned())).collect();
    Event::Answered { id: id.into(), status, complete, parts }
}

fn attempt_received(id: &str, shard: usize, store: &str) -> Event {
    Event::AttemptReceived { id: id.into(), shard, store: store.into(), key: Some("k1".into()) }
}

fn served(id: &str, shard: usize, store: &str, value: &str) -> Event {
    Event::Served { id: id.into(), shard, store: store.into(), value: value.into() }
}

/// Asserts that `good` violates no rule and `bad` violates only `rule`; returns the violations of `bad`.
fn assert_violates(rule: u8, good: &[(Nanos, Event)], bad: &[(Nanos, Event)]) -> Vec<Violation> {
    assert_eq!(violations_of(good), Vec::new());
    let violations = violations_of(bad);
    assert!(
        !violations.is_empty() && violations.iter().all(|b| b.rule == rule),
        "rule {rule}: {violations:#?}"
    );
    assert!(violations.iter().all(|b| !b.proof.is_empty()));
    violations
}

/// The events of a query with one shard request that is served before its deadline.
fn complete(class: usize) -> Vec<(Nanos, Event)> {
    vec![
        (0, query_sent("a", class, &[0], SECOND)),
        (MS, attempt_received("a", 0, "s-0")),
        (5 * MS, served("a", 0, "s-0", "v")),
        (6 * MS, answered("a", 200, true, &[(0, "v")])),
    ]
}

fn with(mut stream: Vec<(Nanos, Event)>, more: &[(Nanos, Event)]) -> Vec<(Nanos, Event)> {
    stream.extend_from_slice(more);
    stream.sort_by_key(|(at, _)| *at);
    stream
}

#[test]
fn each_query_gets_one_response_in_time_and_no_attempt_after_it() {
    let good = complete(0);
    assert_violates(1, &good, &good[..3]);
    assert_violates(
        1,
        &good,
        &with(good[..3].to_vec(), &[(2 * SECOND, answered("a", 200, true, &[(0, "v")]))]),
    );
    assert_violates(1, &good, &with(good.clone(), &[(9 * MS, answered("a", 503, false, &[]))]));
    let late = assert_violates(1, &good, &with(good.clone(), &[(900 * MS, attempt_received("a", 0, "s-1"))]));
    assert_eq!((late[0].shard, late[0].store.as_deref(), late[0].at_ms), (Some(0), Some("s-1"), 900));
    assert_violates(1, &good, &with(good.clone(), &[(2 * MS, attempt_received("a", 1, "s-1"))]));
}

#[test]
fn open_queries_of_a_killed_front_node_are_no_violation() {
    let stream = [(0, query_sent("a", 0, &[0], SECOND)), (MS, Event::FrontNodeKilled { front_node: 0 })];
    assert_eq!(violations_of(&stream), Vec::new());
}

#[test]
fn effectful_and_receipted_attempts_are_not_repeated() {
    let rejected = Event::Rejected { id: "a".into(), shard: 0, store: "s-1".into() };
    let again = [(0, attempt_received("a", 0, "s-1")), (MS / 2, rejected)];
    let good = with(complete(2), &again);
    assert_violates(2, &good, &with(complete(2), &again[..1]));
    // The query is rejected although an attempt may have been executed.
    let stream = [
        (0, query_sent("a", 2, &[0], SECOND)),
        (MS, attempt_received("a", 0, "s-0")),
        (9 * MS, answered("a", 503, false, &[])),
    ];
    assert_violates(2, &complete(2), &stream);
    // Receipted: attempted again within the window, after the window, and without the idempotency key.
    let long = |at| {
        vec![
            (0, query_sent("a", 1, &[0], 4 * SECOND)),
            (MS, attempt_received("a", 0, "s-0")),
            (at, attempt_received("a", 0, "s-1")),
            (at + MS, served("a", 0, "s-1", "v")),
            (at + 2 * MS, answered("a", 200, true, &[(0, "v")])),
        ]
    };
    assert_violates(2, &long(900 * MS), &long(1500 * MS));
    let mut other = complete(1);
    other[1].1 = Event::AttemptReceived { id: "a".into(), shard: 0, store: "s-0".into(), key: None };
    assert_violates(2, &complete(1), &other);
}

#[test]
fn a_closed_store_receives_no_attempts_after_the_grace_period() {
    let closed = |at| (at, Event::Listed { store: "s-0".into(), closed: true, started_at: None });
    let late = |more: &[(Nanos, Event)]| {
        let later = complete(0).into_iter().map(|(at, e)| match e {
            Event::QuerySent { id, front_node, class, tenant, shards, key, .. } => (
                at + 3 * SECOND,
                Event::QuerySent { id, front_node, class, tenant, shards, key, until: 5 * SECOND },
            ),
            e => (at + 3 * SECOND, e),
        });
        with(later.collect(), more)
    };
    assert_violates(3, &late(&[closed(2500 * MS)]), &late(&[closed(SECOND)]));
    let back =
        (2 * SECOND, Event::Listed { store: "s-0".into(), closed: false, started_at: Some(2 * SECOND) });
    assert_eq!(violations_of(&late(&[closed(SECOND), back])), Vec::new(), "the store is in use again");
    let unresponsive = (SECOND / 2, Event::DiscoveryUnresponsive(true));
    assert_eq!(
        violations_of(&late(&[closed(SECOND), unresponsive])),
        Vec::new(),
        "front nodes cannot know of it while discovery is unresponsive"
    );
}

#[test]
fn an_overload_counts_only_after_discovery_published_the_start() {
    let overload = Overload { requests: 9, limit: 8, by_front_node: vec![(0, 9)] };
    let overloaded = (2 * SECOND, Event::Overloaded { store: "s-1".into(), overload });
    let listed = (SECOND, Event::Listed { store: "s-1".into(), closed: false, started_at: Some(SECOND) });
    assert_violates(
        4,
        &with(complete(0), std::slice::from_ref(&overloaded)),
        &with(complete(0), &[listed, overloaded]),
    );
}

#[test]
fn responses_have_only_served_values_and_correct_completeness() {
    let pair = |complete, parts: &[(usize, &str)]| {
        vec![
            (0, query_sent("a", 0, &[0, 1], SECOND)),
            (MS, attempt_received("a", 0, "s-0")),
            (5 * MS, served("a", 0, "s-0", "v")),
            (6 * MS, answered("a", 200, complete, parts)),
        ]
    };
    let good = pair(false, &[(0, "v")]);
    assert_violates(5, &good, &pair(true, &[(0, "v")]));
    assert_violates(5, &good, &pair(false, &[(0, "w")]));
    assert_violates(5, &good, &pair(false, &[]));
    assert_violates(5, &good, &pair(false, &[(0, "v"), (0, "v")]));
}

#[test]
fn attempts_stay_within_the_cap_and_the_budget() {
    let again = |n: i64| (n * 2 * MS, attempt_received("a", 0, "s-1"));
    assert_violates(6, &with(complete(0), &[again(1)]), &with(complete(0), &[again(1), again(2)]));
    // The budget of two queries with one shard request each is 1 + 0.1 * 4 = 1.4 further attempts.
    let second = |e: &Event| match e.clone() {
        Event::QuerySent { front_node, class, tenant, shards, key, until, .. } => {
            Event::QuerySent { id: "b".into(), front_node, class, tenant, shards, key, until }
        }
        Event::AttemptReceived { shard, store, key, .. } => {
            Event::AttemptReceived { id: "b".into(), shard, store, key }
        }
        Event::Served { shard, store, value, .. } => Event::Served { id: "b".into(), shard, store, value },
        Event::Answered { status, complete, parts, .. } => {
            Event::Answered { id: "b".into(), status, complete, parts }
        }
        e => e,
    };
    let two: Vec<_> =
        complete(0).into_iter().flat_map(|(at, e)| [(at, e.clone()), (at, second(&e))]).collect();
    let good = with(two.clone(), &[again(1)]);
    assert_violates(6, &good, &with(good.clone(), &[(3 * MS, attempt_received("b", 0, "s-1"))]));
}
