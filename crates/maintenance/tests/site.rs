//! Scenarios of maintenance in virtual time: one fault each among the front nodes, and the invariants that hold despite it.

#[path = "site/mod.rs"]
mod cluster;

use cluster::{Cluster, MS, S};
use orchidvalve_maintenance::disruption_budget::Health;
use orchidvalve_maintenance::queue::{Event, Stage};

#[test]
fn two_replicas_of_a_shard_requested_together_go_out_one_after_the_other() {
    let mut cluster = Cluster::new(3, 2, 1);
    cluster.until("a leader", 10 * S, |s| s.leader().is_some());
    cluster.request(3, "m0a");
    cluster.request(4, "m0b");
    cluster.until("the first is out", 20 * S, |s| {
        s.stage(0, "m0a") == Some(Stage::Out) || s.stage(0, "m0b") == Some(Stage::Out)
    });
    let (first, second) =
        if cluster.stage(0, "m0a") == Some(Stage::Out) { ("m0a", "m0b") } else { ("m0b", "m0a") };
    assert_eq!(cluster.stage(0, second), Some(Stage::Requested));
    for n in 0..5 {
        cluster.until("all know the queue", 5 * S, |s| s.stage(n, first) == Some(Stage::Out));
    }
    // The machine is worked on, and restarts with a warm-up.
    let before = cluster.seen.remove(first).unwrap();
    cluster.run(3 * S);
    let mut cold = before;
    (cold.health, cold.started_ms) = (Health::WarmingUp, 2);
    cluster.seen.insert(first.to_owned(), cold);
    cluster.until("it returns", 5 * S, |s| s.stage(0, first) == Some(Stage::Returning));
    cluster.run(3 * S);
    assert_eq!(
        cluster.stage(0, second),
        Some(Stage::Requested),
        "the other replica waits until it has warmed up"
    );
    cluster.seen.get_mut(first).unwrap().health = Health::Healthy;
    cluster.until("the second goes", 20 * S, |s| s.stage(4, second) == Some(Stage::Out));
    assert_eq!(
        (cluster.event_count(first, Event::Admitted), cluster.event_count(second, Event::Admitted)),
        (1, 1)
    );
}

#[test]
fn a_crash_of_the_leader_neither_loses_nor_repeats_admissions() {
    for seed in 1..12 {
        let mut cluster = Cluster::new(3, 2, seed);
        cluster.until("a leader", 10 * S, |s| s.leader().is_some());
        let leader = cluster.leader().unwrap();
        for cell in 0..4 {
            cluster.request(3 + cell % 2, &format!("m{cell}a"));
        }
        // The leader crashes at some time between the requests and the last admission.
        cluster.run(seed as i64 * 7 * MS);
        cluster.kill(leader);
        cluster.until("another one leads", 20 * S, |s| s.leader().is_some_and(|l| l != leader));
        let alive = cluster.leader().unwrap();
        cluster.until("all are out", 30 * S, |s| {
            (0..4).all(|c| s.stage(alive, &format!("m{c}a")) == Some(Stage::Out))
        });
        cluster.start(leader);
        cluster.until("it has caught up", 20 * S, |s| s.stage(leader, "m3a") == Some(Stage::Out));
        for cell in 0..4 {
            let machine = format!("m{cell}a");
            let times = (
                cluster.event_count(&machine, Event::Requested),
                cluster.event_count(&machine, Event::Admitted),
            );
            assert_eq!(times, (1, 1), "{machine}, seed {seed}");
        }
    }
}

/// Each vote waits for two disks with a latency of 450 ms each, and a member starts a new election after 500 to 800 ms. Unless
/// this time grows after each failed election, every vote is overtaken by the next one.
#[test]
fn a_leader_is_elected_although_disks_are_slower_than_the_election_timeout() {
    for seed in 1..6 {
        let mut cluster = Cluster::new(3, 1, seed);
        cluster.save_latency = 450 * MS;
        cluster.until("a leader", 30 * S, |s| s.leader().is_some());
        let leader = cluster.leader().unwrap();
        cluster.kill(leader);
        cluster.request(3, "m0a");
        cluster.until("another one leads, and the request is kept", 60 * S, |s| {
            s.stage(3, "m0a") == Some(Stage::Out)
        });
    }
}

/// A follower sends five queries for each retry of a command, and one of three members is down. Whichever it is, the retries
/// must not all go to that member.
#[test]
fn retries_of_a_command_go_to_different_members() {
    for killed in 0..3 {
        let mut cluster = Cluster::following_every(50 * MS, 3, 1, 1);
        cluster.until("a leader", 10 * S, |s| s.leader().is_some());
        cluster.kill(killed);
        cluster.until("one of the others leads", 10 * S, |s| s.leader().is_some());
        cluster.request(3, "m0a");
        cluster.until("the request is in the queue", 2 * S, |s| s.stage(3, "m0a").is_some());
    }
}

#[test]
fn a_minority_partition_admits_nothing_while_the_majority_continues() {
    let mut cluster = Cluster::new(5, 4, 3);
    cluster.until("a leader", 10 * S, |s| s.leader().is_some());
    let leader = cluster.leader().unwrap();
    // The leader, one more member and two followers are on one side.
    let other = (0..5).find(|n| *n != leader).unwrap();
    cluster.side = (0..9).map(|n| u8::from(n == leader || n == other || n == 5 || n == 6)).collect();
    cluster.request(5, "m0a");
    cluster.request(7, "m0b");
    cluster.until("the larger side continues", 30 * S, |s| s.stage(7, "m0b") == Some(Stage::Out));
    assert_eq!(cluster.stage(5, "m0a"), None, "the smaller side does not accept the request");
    assert_eq!(cluster.stage(leader, "m0a"), None);
    cluster.side = vec![0; 9];
    cluster.request(5, "m0a");
    cluster.until("both sides know the queue", 30 * S, |s| {
        s.stage(5, "m0b") == Some(Stage::Out) && s.stage(leader, "m0a") == Some(Stage::Requested)
    });
}

#[test]
fn losses_and_crashes_in_turn_keep_one_consistent_queue() {
    for seed in [4, 5, 6] {
        let mut cluster = Cluster::new(3, 3, seed);
        (cluster.loss, cluster.delay, cluster.save_latency) = (0.3, 15 * MS, 20 * MS);
        cluster.until("a leader", 60 * S, |s| s.leader().is_some());
        let names: Vec<String> = cluster.seen.keys().cloned().collect();
        for (n, machine) in names.iter().enumerate() {
            cluster.request(3 + n % 3, machine);
            cluster.run(300 * MS);
            let victim = n % 3;
            cluster.kill(victim);
            cluster.run(700 * MS);
            cluster.start(victim);
        }
        // Each machine that went out restarts and comes back, until all have.
        for round in 0..40 {
            let out: Vec<String> = names
                .iter()
                .filter(|m| (0..3).any(|n| cluster.stage(n, m) == Some(Stage::Out)))
                .cloned()
                .collect();
            for machine in &out {
                let s = cluster.seen.get_mut(machine).unwrap();
                s.started_ms = 10 + round;
            }
            cluster.run(3 * S);
            if names.iter().all(|m| cluster.event_count(m, Event::Back) > 0) {
                break;
            }
        }
        for machine in &names {
            assert!(
                cluster.event_count(machine, Event::Back) > 0,
                "{machine}, seed {seed}: {:#?}",
                cluster.by_version
            );
            assert_eq!(cluster.event_count(machine, Event::Requested), 1, "{machine}, seed {seed}");
        }
    }
}

#[test]
fn a_draining_machine_is_recalled_if_the_other_replica_fails() {
    let mut cluster = Cluster::new(3, 1, 8);
    cluster.until("a leader", 10 * S, |s| s.leader().is_some());
    cluster.request(3, "m1a");
    cluster.until("it drains", 10 * S, |s| s.stage(0, "m1a") == Some(Stage::Draining));
    cluster.seen.get_mut("m1b").unwrap().health = Health::Failing;
    cluster.until("it is recalled", 5 * S, |s| s.event_count("m1a", Event::Recalled) == 1);
    assert_eq!(cluster.event_count("m1a", Event::WentOut), 0);
    cluster.seen.get_mut("m1b").unwrap().health = Health::Healthy;
    cluster.until("it goes out", 10 * S, |s| s.stage(3, "m1a") == Some(Stage::Out));
    // It never comes back: it is overdue, and the other replica stays in service.
    cluster.seen.remove("m1a");
    cluster.request(3, "m1b");
    cluster.run(40 * S);
    assert_eq!(cluster.event_count("m1a", Event::Overdue), 1);
    assert_eq!(cluster.stage(3, "m1b"), Some(Stage::Requested));
    let node = cluster.nodes[3].node.as_ref().unwrap();
    let why = node.queue().explain("m1b").unwrap();
    assert!(why.contains("shard 1"), "{why}");
    assert!(node.queue().explain("m1a").unwrap().contains("longer than it asked for"));
    // Discovery has replaced it. It still counts as one of three replicas, and as missing, though it is not listed.
    let mut new = cluster.seen["m1b"].clone();
    new.started_ms = 9;
    cluster.seen.insert("m1c".to_owned(), new);
    cluster.run(5 * S);
    assert_eq!(cluster.stage(3, "m1b"), Some(Stage::Requested));
    // The operator declares that it will not come back.
    cluster.cancel(3, "m1a");
    cluster.until("the other replica goes", 20 * S, |s| s.stage(3, "m1b") == Some(Stage::Out));
}

#[test]
fn a_machine_that_is_never_taken_out_returns_to_service() {
    let mut cluster = Cluster::new(3, 1, 9);
    cluster.until("a leader", 10 * S, |s| s.leader().is_some());
    cluster.request(3, "m2a");
    cluster.until("it may go", 10 * S, |s| s.stage(3, "m2a") == Some(Stage::Out));
    // It is not taken out within the requested 20 s, so it returns to service.
    cluster.until("it is in use again", 30 * S, |s| s.stage(3, "m2a").is_none());
    assert_eq!(cluster.event_count("m2a", Event::Expired), 1);
}

#[test]
fn a_member_that_missed_hundreds_of_commands_catches_up_by_snapshot() {
    let mut cluster = Cluster::new(3, 1, 10);
    cluster.until("a leader", 10 * S, |s| s.leader().is_some());
    let leader = cluster.leader().unwrap();
    let away = (0..3).find(|n| *n != leader).unwrap();
    cluster.kill(away);
    for n in 0..320 {
        let machine = format!("m{}a", n % 4);
        if n % 2 == 0 {
            cluster.request(3, &machine)
        } else {
            cluster.cancel(3, &machine);
            0
        };
        cluster.run(60 * MS);
    }
    let version = cluster.nodes[leader].node.as_ref().unwrap().queue().version;
    assert!(version > 300, "{version}");
    assert!(cluster.nodes[leader].disk.entries.len() < 300, "the log was compacted");
    cluster.start(away);
    cluster.until("it has caught up by a snapshot", 20 * S, |s| {
        s.nodes[away].node.as_ref().unwrap().queue().version >= version
    });
}

#[test]
fn any_majority_of_members_elects_a_leader() {
    for gone in 0..3 {
        let mut cluster = Cluster::new(3, 0, 11);
        cluster.kill(gone);
        cluster.until("two of three elect one", 4 * S, |s| s.leader().is_some());
    }
    for (a, b) in [(0, 1), (0, 2), (1, 3), (2, 4), (3, 4)] {
        let mut cluster = Cluster::new(5, 0, 12);
        cluster.until("a leader", 10 * S, |s| s.leader().is_some());
        cluster.kill(a);
        cluster.kill(b);
        // A failed leader is detected once it has been unresponsive for the longest election time-out.
        cluster.until("three of five elect one", 6 * S, |s| s.leader().is_some_and(|l| l != a && l != b));
    }
}

#[test]
fn three_hundred_nodes_learn_of_an_admission_before_the_machine_goes_out() {
    let mut cluster = Cluster::new(3, 297, 13);
    cluster.loss = 0.2;
    cluster.until("a leader", 10 * S, |s| s.leader().is_some());
    cluster.request(299, "m0a");
    cluster.until("it is admitted", 10 * S, |s| s.event_count("m0a", Event::Admitted) == 1);
    let mut known = 0;
    while cluster.event_count("m0a", Event::WentOut) == 0 {
        cluster.step();
        known = (0..300).filter(|&n| cluster.stage(n, "m0a").is_some()).count();
    }
    // Each node sends ten queries in two seconds. With a loss of a fifth in each direction, all ten fail for one node in
    // two hundred thousand.
    assert_eq!(known, 300, "every node knows of the admission before the machine goes out");
}
