//! Maintenance of machines by several front node processes, with faults between them.

mod node_group;

use std::collections::BTreeMap;
use std::time::Duration;

use node_group::{Fleet, FleetOptions};
use orchidvalve_test_store::discovery::Behavior;
use serde_json::{Value, json};

const LINES: &str = "tick_ms = 20\nfollow_ms = 50\ndrain_ms = 300\nlook_lasts_ms = 2000\nzone_share = 1.0\n";

fn open(test_name: &str, members: usize, nodes: usize) -> Fleet {
    let mut options = FleetOptions::of(nodes);
    (options.fleet, options.logbook, options.discovery) = (false, true, Behavior::Normal);
    options.maintenance = Some((members, LINES.to_owned()));
    let fleet = Fleet::open(test_name, &options);
    fleet.wait_until("the group has a leader", |f| leader(f, members).is_some());
    fleet
}

fn leader(f: &Fleet, members: usize) -> Option<usize> {
    (0..members).find(|&n| f.operator(n, "GET", "/_maintenance", &Value::Null).1["leads"] == true)
}

fn request_maintenance(f: &Fleet, node: usize, machine: &str) {
    let request = json!({"machine": machine, "by": "story", "lasts_ms": 600_000});
    assert_eq!(f.operator(node, "POST", "/_maintenance/ask", &request).0, 202);
}

/// Returns the stage of a machine according to a node; empty if the machine is not in the maintenance queue.
fn stage(f: &Fleet, node: usize, machine: &str) -> String {
    let view = f.operator(node, "GET", "/_maintenance", &Value::Null).1;
    let entries = view["entries"].as_array().cloned().unwrap_or_default();
    let entry = entries.iter().find(|e| e["machine"] == machine);
    entry.and_then(|e| e["stage"].as_str()).unwrap_or_default().to_owned()
}

/// Returns all events that the nodes know, by version. Checks that all nodes agree and that no two machines are out at
/// the same time, as any two of the three machines share a shard here.
fn checked_events(f: &Fleet, nodes: &[usize]) -> Vec<(u64, String, String)> {
    let mut all: BTreeMap<u64, Vec<(String, String)>> = BTreeMap::new();
    for &node in nodes {
        let view = f.operator(node, "GET", "/_maintenance", &Value::Null).1;
        let mut mine: BTreeMap<u64, Vec<(String, String)>> = BTreeMap::new();
        for e in view["events"].as_array().into_iter().flatten() {
            let word = |key: &str| e[key].as_str().unwrap().to_owned();
            mine.entry(e["version"].as_u64().unwrap()).or_default().push((word("machine"), word("event")));
        }
        for (version, events) in mine {
            assert_eq!(
                *all.entry(version).or_insert(events.clone()),
                events,
                "node {node}, version {version}"
            );
        }
    }
    let mut out: Vec<String> = Vec::new();
    let mut ordered = Vec::new();
    for (version, events) in all {
        for (machine, event) in events {
            match event.as_str() {
                "admitted" => out.push(machine.clone()),
                "back" | "lapsed" | "recalled" | "cancelled" => out.retain(|m| *m != machine),
                _ => {}
            }
            assert!(out.len() <= 1, "{out:?} are out together at version {version}");
            ordered.push((version, machine, event));
        }
    }
    ordered
}

fn count_events(events: &[(u64, String, String)], machine: &str, event: &str) -> usize {
    events.iter().filter(|(_, m, e)| m == machine && e == event).count()
}

/// Maintenance of two machines with a common shard is requested at the same time at two followers, over links that lose
/// a fifth of the datagrams, and the leader is killed while it admits one. One machine is drained by all nodes and goes
/// out; the other follows only once the first is warm again. No request is lost or executed twice.
#[test]
fn two_machines_with_a_common_shard_go_out_in_turn_although_the_leader_is_killed() {
    const NODES: usize = 5;
    let mut f = open("work-turn", 3, NODES);
    {
        let mut faults = f.maintenance_relay.faults();
        (faults.loss, faults.duplication, faults.delay) = (0.2, 0.2, Duration::from_millis(3));
    }
    let killed = leader(&f, 3).unwrap();
    request_maintenance(&f, 3, "s-0");
    request_maintenance(&f, 4, "s-1");
    f.wait_until("a request reached the leader", |f| {
        ["s-0", "s-1"].iter().any(|m| !stage(f, killed, m).is_empty())
    });
    f.kill(killed);
    let alive: Vec<usize> = (0..NODES).filter(|&n| n != killed).collect();
    let out = |f: &Fleet| {
        let of = |m: &&str| alive.iter().all(|&n| stage(f, n, m) == "out");
        ["s-0", "s-1"].into_iter().find(of).map(str::to_owned)
    };
    f.wait_until("one of them is out at every node", |f| out(f).is_some());
    let first = out(&f).unwrap();
    let second = if first == "s-0" { "s-1" } else { "s-0" };
    f.wait_until("the other one waits", |f| alive.iter().all(|&n| stage(f, n, second) == "asked"));
    let store: usize = first[2..].parse().unwrap();
    let before = f.received(store, "c");
    for n in 0..20 {
        assert_eq!(f.query(alive[n % alive.len()], &format!("r{n}"), "c1"), 200);
    }
    assert_eq!(f.received(store, "c"), before, "no node sends it new shard requests");
    f.restart(killed);
    // During the maintenance, discovery lists the machine as draining, and then as started again.
    f.agent.publish(f.members(&[(store, "draining")]));
    let mut members = f.members(&[]);
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64;
    members[store]["up_since_ms"] = json!(now);
    f.agent.publish(members);
    f.wait_until("the second one is out at every node", |f| (0..NODES).all(|n| stage(f, n, second) == "out"));
    let events = checked_events(&f, &(0..NODES).collect::<Vec<_>>());
    for (machine, back) in [(first.as_str(), 1), (second, 0)] {
        let counts = ["asked", "admitted", "back"].map(|e| count_events(&events, machine, e));
        assert_eq!(counts, [1, 1, back], "{machine}: {events:?}");
    }
    assert_eq!(f.query(killed, "r", "c2"), 200, "the killed node serves again and knows the queue");
}

/// A member and a follower are partitioned from the others. Their side admits no machine; the other side continues.
/// Once the partition heals, all nodes have the same queue.
#[test]
fn only_the_side_of_a_partition_with_a_majority_of_the_group_admits_machines() {
    const NODES: usize = 5;
    let f = open("work-cut", 3, NODES);
    let partitioned = leader(&f, 3).unwrap();
    f.maintenance_relay.partition(&[partitioned, 4], NODES);
    request_maintenance(&f, 4, "s-0");
    request_maintenance(&f, 3, "s-2");
    let rest: Vec<usize> = (0..4).filter(|&n| n != partitioned).collect();
    f.wait_until("the larger side continues", |f| rest.iter().all(|&n| stage(f, n, "s-2") == "out"));
    assert_eq!((stage(&f, partitioned, "s-0"), stage(&f, 4, "s-0")), (String::new(), String::new()));
    assert_eq!(stage(&f, 4, "s-2"), "", "node 4 is partitioned and learns of it later");
    assert!(f.query(4, "r", "c") == 200, "and continues to serve");
    f.maintenance_relay.faults().partitions.clear();
    f.wait_until("all nodes have the same queue", |f| (0..NODES).all(|n| stage(f, n, "s-2") == "out"));
    request_maintenance(&f, 4, "s-0");
    f.wait_until("the request is in the queue", |f| (0..NODES).all(|n| stage(f, n, "s-0") == "asked"));
    let events = checked_events(&f, &(0..NODES).collect::<Vec<_>>());
    assert_eq!((count_events(&events, "s-2", "admitted"), count_events(&events, "s-0", "admitted")), (1, 0));
}

/// All nodes are killed at the same time, as in a power loss; the queue is restored from their disks.
#[test]
fn the_maintenance_queue_survives_the_loss_of_all_nodes() {
    let mut f = open("work-dark", 3, 4);
    request_maintenance(&f, 3, "s-1");
    f.wait_until("the machine is out", |f| (0..4).all(|n| stage(f, n, "s-1") == "out"));
    (0..4).for_each(|n| f.kill(n));
    (0..4).for_each(|n| drop(f.restart(n)));
    f.wait_until("the restarted nodes know the machine is out", |f| {
        (0..4).all(|n| stage(f, n, "s-1") == "out")
    });
    let events = checked_events(&f, &[0, 1, 2, 3]);
    assert_eq!((count_events(&events, "s-1", "asked"), count_events(&events, "s-1", "admitted")), (1, 1));
}
