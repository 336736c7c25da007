//! Stories of machines taken out for work, in virtual time: each is one trouble among the front nodes, and what must hold.

#[path = "site/mod.rs"]
mod site;

use orchidvalve_maintenance::disruption_budget::Health;
use orchidvalve_maintenance::queue::{Event, Stage};
use site::{MS, S, Site};

#[test]
fn both_holders_of_a_shard_asked_for_at_one_moment_go_one_after_the_other() {
    let mut site = Site::new(3, 2, 1);
    site.until("a leader", 10 * S, |s| s.leader().is_some());
    site.ask(3, "m0a");
    site.ask(4, "m0b");
    site.until("the first is out", 20 * S, |s| {
        s.stage(0, "m0a") == Some(Stage::Out) || s.stage(0, "m0b") == Some(Stage::Out)
    });
    let (first, second) =
        if site.stage(0, "m0a") == Some(Stage::Out) { ("m0a", "m0b") } else { ("m0b", "m0a") };
    assert_eq!(site.stage(0, second), Some(Stage::Requested));
    for n in 0..5 {
        site.until("all know the order", 5 * S, |s| s.stage(n, first) == Some(Stage::Out));
    }
    // It is worked on, and starts again, cold at first.
    let before = site.seen.remove(first).unwrap();
    site.run(3 * S);
    let mut cold = before;
    (cold.health, cold.started_ms) = (Health::WarmingUp, 2);
    site.seen.insert(first.to_owned(), cold);
    site.until("it returns", 5 * S, |s| s.stage(0, first) == Some(Stage::Returning));
    site.run(3 * S);
    assert_eq!(site.stage(0, second), Some(Stage::Requested), "its twin waits until it is warm");
    site.seen.get_mut(first).unwrap().health = Health::Healthy;
    site.until("the second goes", 20 * S, |s| s.stage(4, second) == Some(Stage::Out));
    assert_eq!(
        (site.record_event(first, Event::Admitted), site.record_event(second, Event::Admitted)),
        (1, 1)
    );
}

#[test]
fn a_leader_killed_in_the_middle_of_admissions_loses_and_doubles_none() {
    for seed in 1..12 {
        let mut site = Site::new(3, 2, seed);
        site.until("a leader", 10 * S, |s| s.leader().is_some());
        let leader = site.leader().unwrap();
        for cell in 0..4 {
            site.ask(3 + cell % 2, &format!("m{cell}a"));
        }
        // Somewhere between the asks and the last admission.
        site.run(seed as i64 * 7 * MS);
        site.kill(leader);
        site.until("another one leads", 20 * S, |s| s.leader().is_some_and(|l| l != leader));
        let alive = site.leader().unwrap();
        site.until("all are out", 30 * S, |s| {
            (0..4).all(|c| s.stage(alive, &format!("m{c}a")) == Some(Stage::Out))
        });
        site.start(leader);
        site.until("it has caught up", 20 * S, |s| s.stage(leader, "m3a") == Some(Stage::Out));
        for cell in 0..4 {
            let machine = format!("m{cell}a");
            let times =
                (site.record_event(&machine, Event::Requested), site.record_event(&machine, Event::Admitted));
            assert_eq!(times, (1, 1), "{machine}, seed {seed}");
        }
    }
}

/// Each vote waits for two disks, of 450 ms each, and the members wait for 500 to 800 ms before they try again: without a
/// longer wait after each vote that came to nothing, every vote is overtaken by the next.
#[test]
fn a_group_on_disks_slower_than_its_waits_still_finds_a_leader() {
    for seed in 1..6 {
        let mut site = Site::new(3, 1, seed);
        site.save_takes = 450 * MS;
        site.until("a leader", 30 * S, |s| s.leader().is_some());
        let leader = site.leader().unwrap();
        site.kill(leader);
        site.ask(3, "m0a");
        site.until("another one, and the ask is not lost", 60 * S, |s| s.stage(3, "m0a") == Some(Stage::Out));
    }
}

/// A follower asks for news five times to each try of a command, and one of three members is dead: whichever it is, tries
/// must not all go to that one.
#[test]
fn a_command_goes_to_another_member_each_time_however_often_news_is_asked_for() {
    for killed in 0..3 {
        let mut site = Site::following_every(50 * MS, 3, 1, 1);
        site.until("a leader", 10 * S, |s| s.leader().is_some());
        site.kill(killed);
        site.until("one of the others leads", 10 * S, |s| s.leader().is_some());
        site.ask(3, "m0a");
        site.until("the ask is in the order", 2 * S, |s| s.stage(3, "m0a").is_some());
    }
}

#[test]
fn a_side_without_most_of_the_group_admits_nobody_while_the_other_goes_on() {
    let mut site = Site::new(5, 4, 3);
    site.until("a leader", 10 * S, |s| s.leader().is_some());
    let leader = site.leader().unwrap();
    // The leader, one more member and two followers on one side.
    let other = (0..5).find(|n| *n != leader).unwrap();
    site.side = (0..9).map(|n| u8::from(n == leader || n == other || n == 5 || n == 6)).collect();
    site.ask(5, "m0a");
    site.ask(7, "m0b");
    site.until("the larger side goes on", 30 * S, |s| s.stage(7, "m0b") == Some(Stage::Out));
    assert_eq!(site.stage(5, "m0a"), None, "the smaller side cannot even take the ask");
    assert_eq!(site.stage(leader, "m0a"), None);
    site.side = vec![0; 9];
    site.ask(5, "m0a");
    site.until("both sides know the order", 30 * S, |s| {
        s.stage(5, "m0b") == Some(Stage::Out) && s.stage(leader, "m0a") == Some(Stage::Requested)
    });
}

#[test]
fn links_that_lose_a_third_and_nodes_that_die_in_turn_keep_one_order() {
    for seed in [4, 5, 6] {
        let mut site = Site::new(3, 3, seed);
        (site.loss, site.delay, site.save_takes) = (0.3, 15 * MS, 20 * MS);
        site.until("a leader", 60 * S, |s| s.leader().is_some());
        let names: Vec<String> = site.seen.keys().cloned().collect();
        for (n, machine) in names.iter().enumerate() {
            site.ask(3 + n % 3, machine);
            site.run(300 * MS);
            let victim = n % 3;
            site.kill(victim);
            site.run(700 * MS);
            site.start(victim);
        }
        // Each machine that went out is worked on and comes back, until all were.
        for round in 0..40 {
            let out: Vec<String> = names
                .iter()
                .filter(|m| (0..3).any(|n| site.stage(n, m) == Some(Stage::Out)))
                .cloned()
                .collect();
            for machine in &out {
                let s = site.seen.get_mut(machine).unwrap();
                s.started_ms = 10 + round;
            }
            site.run(3 * S);
            if names.iter().all(|m| site.record_event(m, Event::Back) > 0) {
                break;
            }
        }
        for machine in &names {
            assert!(
                site.record_event(machine, Event::Back) > 0,
                "{machine}, seed {seed}: {:#?}",
                site.by_version
            );
            assert_eq!(site.record_event(machine, Event::Requested), 1, "{machine}, seed {seed}");
        }
    }
}

#[test]
fn a_machine_whose_twin_turns_bad_while_it_drains_is_called_back_and_one_that_is_out_blocks_its_twin() {
    let mut site = Site::new(3, 1, 8);
    site.until("a leader", 10 * S, |s| s.leader().is_some());
    site.ask(3, "m1a");
    site.until("it drains", 10 * S, |s| s.stage(0, "m1a") == Some(Stage::Draining));
    site.seen.get_mut("m1b").unwrap().health = Health::Failing;
    site.until("it is called back", 5 * S, |s| s.record_event("m1a", Event::Recalled) == 1);
    assert_eq!(site.record_event("m1a", Event::WentOut), 0);
    site.seen.get_mut("m1b").unwrap().health = Health::Healthy;
    site.until("it goes after all", 10 * S, |s| s.stage(3, "m1a") == Some(Stage::Out));
    // It never comes back: overdue, and its twin stays.
    site.seen.remove("m1a");
    site.ask(3, "m1b");
    site.run(40 * S);
    assert_eq!(site.record_event("m1a", Event::Overdue), 1);
    assert_eq!(site.stage(3, "m1b"), Some(Stage::Requested));
    let node = site.nodes[3].node.as_ref().unwrap();
    let why = node.queue().explain("m1b").unwrap();
    assert!(why.contains("shard 1"), "{why}");
    assert!(node.queue().explain("m1a").unwrap().contains("longer than it asked for"));
    // Discovery has replaced it: of three holders it still is one that is missing, though nobody names it.
    let mut new = site.seen["m1b"].clone();
    new.started_ms = 9;
    site.seen.insert("m1c".to_owned(), new);
    site.run(5 * S);
    assert_eq!(site.stage(3, "m1b"), Some(Stage::Requested));
    // Whoever took it out says that it will not be back.
    site.cancel(3, "m1a");
    site.until("the twin goes", 20 * S, |s| s.stage(3, "m1b") == Some(Stage::Out));
}

#[test]
fn a_machine_whose_operator_vanished_comes_back_into_use_and_its_ask_lapses() {
    let mut site = Site::new(3, 1, 9);
    site.until("a leader", 10 * S, |s| s.leader().is_some());
    site.ask(3, "m2a");
    site.until("it may go", 10 * S, |s| s.stage(3, "m2a") == Some(Stage::Out));
    // Nobody takes it out within the 20 s it asked for: it serves again.
    site.until("it is in use again", 30 * S, |s| s.stage(3, "m2a").is_none());
    assert_eq!(site.record_event("m2a", Event::Expired), 1);
}

#[test]
fn three_hundred_commands_fold_into_snapshots_and_a_member_that_missed_them_catches_up() {
    let mut site = Site::new(3, 1, 10);
    site.until("a leader", 10 * S, |s| s.leader().is_some());
    let leader = site.leader().unwrap();
    let away = (0..3).find(|n| *n != leader).unwrap();
    site.kill(away);
    for n in 0..320 {
        let machine = format!("m{}a", n % 4);
        if n % 2 == 0 {
            site.ask(3, &machine)
        } else {
            site.cancel(3, &machine);
            0
        };
        site.run(60 * MS);
    }
    let version = site.nodes[leader].node.as_ref().unwrap().queue().version;
    assert!(version > 300, "{version}");
    assert!(site.nodes[leader].disk.entries.len() < 300, "the log was folded");
    site.start(away);
    site.until("it has caught up by a snapshot", 20 * S, |s| {
        s.nodes[away].node.as_ref().unwrap().queue().version >= version
    });
}

#[test]
fn whichever_members_are_left_they_elect_one_and_never_split_every_vote() {
    for gone in 0..3 {
        let mut site = Site::new(3, 0, 11);
        site.kill(gone);
        site.until("two of three elect one", 4 * S, |s| s.leader().is_some());
    }
    for (a, b) in [(0, 1), (0, 2), (1, 3), (2, 4), (3, 4)] {
        let mut site = Site::new(5, 0, 12);
        site.until("a leader", 10 * S, |s| s.leader().is_some());
        site.kill(a);
        site.kill(b);
        // One that led is known to be gone once its silence is longer than the longest wait.
        site.until("three of five elect one", 6 * S, |s| s.leader().is_some_and(|l| l != a && l != b));
    }
}

#[test]
fn three_hundred_nodes_each_learn_of_an_admission_before_the_machine_may_go() {
    let mut site = Site::new(3, 297, 13);
    site.loss = 0.2;
    site.until("a leader", 10 * S, |s| s.leader().is_some());
    site.ask(299, "m0a");
    site.until("it is admitted", 10 * S, |s| s.record_event("m0a", Event::Admitted) == 1);
    let mut known = 0;
    while site.record_event("m0a", Event::WentOut) == 0 {
        site.step();
        known = (0..300).filter(|&n| site.stage(n, "m0a").is_some()).count();
    }
    // Two seconds are ten asks of each: all ten lost both ways at a fifth is one node in two hundred thousand.
    assert_eq!(known, 300, "all know it when it may go");
}
