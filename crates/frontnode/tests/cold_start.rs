//! Many front node processes that start at the same time, with faults of discovery and of the links between them.

mod node_group;

use std::time::Duration;

use node_group::{Fleet, FleetOptions, SHARDS};
use orchidvalve_test_store::discovery::Behavior;

const HOUR: Duration = Duration::from_secs(3600);

/// No endpoint list is known at the start, and the links lose a third of the datagrams. With the cold start, a few
/// nodes query discovery and pass the list on to the others, whose own slots come within a minute. Without it, all
/// query discovery at once.
#[test]
fn only_a_few_of_many_starting_nodes_query_discovery_and_the_others_get_the_list_from_them() {
    const NODES: usize = 24;
    let mut options = FleetOptions::of(NODES);
    (options.known, options.discovery) = (false, Behavior::Normal);
    options.coldstart = Some("fetches_a_second = 0.4\n".to_owned());
    let fleet = Fleet::open("cold-herd", &options);
    {
        let mut faults = fleet.fleet_relay.faults();
        (faults.loss, faults.duplication, faults.delay) = (0.3, 0.1, Duration::from_millis(2));
    }
    fleet.wait_until("all have a list", |f| (0..NODES).all(|n| f.serves(n)));
    let requests = fleet.agent.requests().iter().filter(|a| a.from.unwrap_or(0) == 0).count();
    let by_peers = (0..NODES).filter(|&n| fleet.gauge(n, "coldstart_adopted") > 0).count();
    assert!(
        requests <= NODES / 2 && by_peers >= NODES / 2,
        "{requests} queried discovery, {by_peers} their peers"
    );
    assert_eq!(fleet.query(NODES - 1, "r", "c1"), 200);
    drop(fleet);
    options.coldstart = None;
    let fleet = Fleet::open("warm-herd", &options);
    fleet.wait_until("all have a list", |f| (0..NODES).all(|n| f.serves(n)));
    let requests = fleet.agent.requests().iter().filter(|a| a.from.unwrap_or(0) == 0).count();
    assert_eq!(requests, NODES, "without the cold start all nodes query discovery");
}

/// All nodes have a new list and a query at the same time, and discovery is unresponsive. Without pacing, all connect
/// to every replica at the same moment. With it, their connections to a replica are spread, and each node serves once
/// it is connected.
#[test]
fn connections_of_nodes_that_start_together_are_spread_over_their_span() {
    const NODES: usize = 20;
    let run_nodes = |test_name: &str, lines: &str| {
        let mut options = FleetOptions::of(NODES);
        options.fleet = false;
        options.coldstart = Some(format!("patience_ms = 100\n{lines}"));
        let f = Fleet::open(test_name, &options);
        std::thread::scope(|scope| {
            for node in 0..NODES {
                let f = &f;
                scope.spawn(move || f.wait_until("it serves", |f| f.query(node, "r", "c1") == 200));
            }
        });
        f.wait_until("every node has connected to every store", |f| {
            f.stores.iter().all(|store| store.observations().connections >= NODES)
        });
        let spans = f.stores.iter().map(|store| {
            let opened = store.observations().accepted_at;
            let (first, last) = (opened.iter().min().unwrap(), opened.iter().max().unwrap());
            last.duration_since(*first)
        });
        spans.min().unwrap()
    };
    // Twenty random times within four seconds all fall within two seconds once in fifty thousand; the seeds are fixed.
    let spread = run_nodes("cold-spread", "connects_a_second = 5.0\n");
    assert!(spread > Duration::from_secs(2), "{spread:?}");
}

/// Discovery is unresponsive, and nodes serve from the lists of their configurations: immediately from a new list, but
/// from one written an hour ago only after each replica has answered health checks. Once discovery answers, a replica
/// that it lists as draining gets no new shard requests.
#[test]
fn with_discovery_down_an_older_list_is_used_more_cautiously_until_discovery_answers() {
    let mut options = FleetOptions::of(2);
    options.fleet = false;
    options.coldstart = Some("patience_ms = 100\nfetches_a_second = 100.0\nmost_wait_ms = 400\n".to_owned());
    let new = Fleet::open("cold-new", &options);
    assert_eq!(new.query(0, "r", "c1"), 200);
    let probes: usize = new.stores.iter().map(|s| s.observations().health_checks).sum();
    assert_eq!(probes, 0, "a new list is trusted like a response of discovery");
    drop(new);
    options.written_ago = vec![(0, HOUR), (1, HOUR)];
    let old = Fleet::open("cold-old", &options);
    // A query lasts at most 2 s; queries of the first second may come too early.
    old.wait_until("it serves within seconds", |f| f.query(0, "r", "c1") == 200);
    // Past half a minute, an hour is twelve half-lives of five minutes: four unverified steps, eight health checks
    // each.
    for (n, store) in old.stores.iter().enumerate() {
        let observed = store.observations();
        assert!(
            observed.payloads.is_empty() || observed.health_checks >= 8,
            "store {n}: shard requests after {} health checks",
            observed.health_checks
        );
    }
    old.agent.publish(old.members(&[(0, "draining")]));
    old.agent.set_behavior(Behavior::Normal);
    old.wait_until("both have a list of discovery", |f| (0..2).all(|n| f.gauge(n, "coldstart_told") == 1));
    let before = old.received(0, "c");
    for n in 0..20 {
        assert_eq!(old.query(n % 2, &format!("d{n}"), "c2"), 200);
    }
    assert_eq!(
        old.received(0, "c"),
        before,
        "a draining store gets no new shard requests once the node knows"
    );
    assert!(old.received(1, "c2") > 0);
}

/// Two nodes have lists of different age, and discovery is unresponsive. The node with the older list takes over the
/// newer one, but not vice versa. A partitioned node uses its own list.
#[test]
fn a_newer_list_of_a_peer_replaces_an_older_one_but_not_vice_versa() {
    let mut options = FleetOptions::of(3);
    options.coldstart = Some("fresh_s = 600\nhalf_life_s = 600\n".to_owned());
    options.written_ago = vec![(0, 2 * HOUR), (1, HOUR / 2), (2, 3 * HOUR)];
    let fleet = Fleet::open("cold-ages", &options);
    fleet.fleet_relay.partition(&[2], 3);
    fleet.wait_until("node 0 uses the list of node 1", |f| f.gauge(0, "coldstart_adopted") == 2);
    let age = |n: usize| fleet.gauge(n, "coldstart_list_age_ms");
    let is_near = |age: u64, of: Duration| age.abs_diff(of.as_millis() as u64) < 60_000;
    assert!(is_near(age(0), HOUR / 2), "{} ms", age(0));
    // Node 1 keeps requesting, as its list is old too, but the received lists are not newer.
    assert_eq!(fleet.gauge(1, "coldstart_adopted"), 1);
    assert!(is_near(age(1), HOUR / 2), "{} ms", age(1));
    assert!(is_near(age(2), 3 * HOUR) && fleet.gauge(2, "coldstart_adopted") == 1, "node 2 is partitioned");
    for n in 0..3 {
        fleet.wait_until("each node serves with its list", |f| f.query(n, &format!("r{n}"), "c") == 200);
    }
}

/// A node that crashes repeatedly at its start finds its list on disk each time and queries discovery less and less
/// often.
#[test]
fn a_node_killed_repeatedly_starts_from_its_disk_and_rarely_queries_discovery() {
    let mut options = FleetOptions::of(1);
    (options.known, options.discovery, options.logbook, options.fleet) =
        (false, Behavior::Normal, true, false);
    options.coldstart = Some("fetches_a_second = 1.0\n".to_owned());
    let mut fleet = Fleet::open("cold-loop", &options);
    fleet.wait_until("it has a list of discovery", |f| f.gauge(0, "coldstart_told") == 1);
    fleet.wait_until("the list is on disk", |f| {
        f.gauge(0, "logbook_syncs") > 0 && f.gauge(0, "logbook_waiting") == 0
    });
    fleet.query(0, "r", "c");
    let before = fleet.agent.requests().len();
    for n in 1..=8 {
        let lines = fleet.restart(0);
        let line = lines.iter().find(|l| l.contains("recent starts")).unwrap();
        assert!(line.contains(&format!(" {n} recent starts")), "{line}");
        assert!(lines.iter().any(|l| l.contains("remembered on disk")), "{lines:?}");
        assert_eq!(fleet.query(0, &format!("r{n}"), "c"), 200, "with the list on disk");
        fleet.wait_until("the list is on disk", |f| {
            f.gauge(0, "logbook_syncs") > 0 && f.gauge(0, "logbook_waiting") == 0
        });
    }
    let requests = fleet.agent.requests().len() - before;
    // The watch of the first run ended with that run; a node killed before its slot sent no request.
    assert!(requests <= 3, "{requests} requests in 8 starts");
    assert!((0..SHARDS).map(|n| fleet.received(n, "c")).sum::<usize>() >= 8 * SHARDS);
}

/// Discovery sends complete lists one at a time, each after a delay: the few nodes that got one pass it on to the
/// others.
#[test]
fn a_slow_discovery_is_not_queried_by_all_nodes_but_all_get_a_list() {
    const NODES: usize = 16;
    let mut options = FleetOptions::of(NODES);
    (options.known, options.discovery) = (false, Behavior::Slow(Duration::from_millis(700)));
    options.coldstart = Some("fetches_a_second = 0.4\n".to_owned());
    let fleet = Fleet::open("cold-slow", &options);
    fleet.wait_until("all have a list", |f| (0..NODES).all(|n| f.serves(n)));
    let requests = fleet.agent.requests().iter().filter(|a| a.from.unwrap_or(0) == 0).count();
    assert!(requests <= NODES / 2, "{requests} queried discovery");
}

/// A replica has just started, and many nodes start with one query each. Without the fleet, each node may send it one
/// shard request per window. In a fleet, all nodes together may, from the round in which they learn of the replica.
#[test]
fn a_replica_in_slow_start_is_not_flooded_by_nodes_that_start_with_it() {
    const NODES: usize = 24;
    let run_nodes = |on: bool| {
        let mut options = FleetOptions::of(NODES);
        (options.fleet, options.known, options.discovery) = (on, true, Behavior::Normal);
        (options.started_ms, options.cold_ms) = (vec![(0, 0)], 60_000);
        options.coldstart = on.then(|| "fetches_a_second = 10.0\n".to_owned());
        let started = std::time::Instant::now();
        let fleet = Fleet::open(&format!("cold-store-{on}"), &options);
        std::thread::scope(|scope| {
            for node in 0..NODES {
                let fleet = &fleet;
                scope.spawn(move || {
                    for n in 0..3 {
                        fleet.query(node, &format!("n{node}-{n}"), &format!("c{node}x{n}y"));
                    }
                });
            }
        });
        (fleet.received(0, "c"), started.elapsed().as_secs_f64())
    };
    let (unshared, _) = run_nodes(false);
    let (shared, elapsed) = run_nodes(true);
    // One shard request per second in total; a node whose random initial fraction of a token is almost one is a bit
    // early.
    let bound = 2.0 + 2.0 * elapsed;
    assert!(shared as f64 <= bound, "{shared} shard requests in {elapsed:.1} s");
    assert!(unshared as f64 > bound, "without a fleet they send {unshared}: the test would show nothing");
}
