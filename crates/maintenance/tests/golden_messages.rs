//! The bytes of messages, log records and simulated runs of the maintenance group, compared with recorded ones.

#[path = "site/mod.rs"]
mod cluster;

use std::collections::BTreeMap;
use std::path::PathBuf;

use cluster::{Cluster, MS, S};
use orchidvalve_golden::{Trace, check_hashes, check_samples, read_samples};
use orchidvalve_maintenance::datagrams::{Reassembler, ReceivedMessage, split};
use orchidvalve_maintenance::disruption_budget::{DisruptionBudget, Health, ObservedMachine};
use orchidvalve_maintenance::node::NodeMessage;
use orchidvalve_maintenance::queue::{Command, LoggedCommand, MaintenanceQueue, Timing};
use orchidvalve_maintenance::raft_group::{LogUpdate, RecoveredLog};

fn golden(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", name].iter().collect()
}

fn request(machine: &str, nonce: u64) -> Command {
    let (machine, by, why) = (machine.to_owned(), "an operator".to_owned(), "kernel".to_owned());
    Command::Request { machine, by, why, lasts: 20 * S, waits: 600 * S, nonce }
}

fn cancel(machine: &str, nonce: u64) -> Command {
    Command::Cancel { machine: machine.to_owned(), by: "an operator".to_owned(), nonce }
}

fn observation(health: [Health; 4], started_ms: i64) -> Command {
    let names = ["m0a", "m0b", "m1a", "m1b"];
    let seen = |position: usize| ObservedMachine {
        cell: position as u32 / 2,
        zone: if position.is_multiple_of(2) { "east" } else { "west" }.to_owned(),
        health: health[position],
        started_ms: if position == 0 { started_ms } else { 1 },
    };
    let seen: BTreeMap<String, ObservedMachine> =
        (0..4).map(|position| (names[position].to_owned(), seen(position))).collect();
    let rule = DisruptionBudget { cells: 2, reach: 1, share: 0.5, least_sound: 1, zone_share: 1.0, most: 8 };
    Command::Observe { seen, rule, pace: Timing { drain: 2 * S, look_lasts: 4 * S } }
}

const ALL_HEALTHY: [Health; 4] = [Health::Healthy; 4];

/// Commands that take one machine through all stages while others wait, are blocked, expire or are cancelled.
fn log() -> Vec<LoggedCommand> {
    use Health::{Draining, Failing, Healthy, WarmingUp};
    let expiring = Command::Request {
        machine: "m1a".to_owned(),
        by: "x".to_owned(),
        why: String::new(),
        lasts: S,
        waits: 3 * S,
        nonce: 4,
    };
    let steps = [
        (10, observation(ALL_HEALTHY, 1)),
        (11, request("m0a", 1)),
        (11, request("m0b", 2)),
        (11, request("m0b", 2)),
        (12, observation([Healthy, Failing, Healthy, Healthy], 1)),
        (13, observation(ALL_HEALTHY, 1)),
        (15, observation([Draining, Healthy, WarmingUp, Healthy], 1)),
        (16, observation([Draining, Healthy, WarmingUp, Healthy], 1)),
        (17, expiring),
        (18, request("unknown", 5)),
        (40, observation([Draining, Healthy, WarmingUp, Healthy], 1)),
        (41, observation([WarmingUp, Healthy, WarmingUp, Healthy], 30_000)),
        (43, observation([Healthy, Healthy, WarmingUp, Healthy], 30_000)),
        (44, cancel("unknown", 6)),
        (47, observation(ALL_HEALTHY, 30_000)),
    ];
    steps.into_iter().map(|(at, command)| LoggedCommand { at: at * S, command }).collect()
}

fn queue() -> MaintenanceQueue {
    let mut queue = MaintenanceQueue::default();
    log().iter().for_each(|logged| queue.apply(logged));
    queue
}

fn messages() -> Vec<(&'static str, NodeMessage)> {
    let address = "10.0.0.9:7500".parse().expect("an address");
    vec![
        ("group", NodeMessage::Raft(vec![8, 1, 0xff])),
        ("forward-ask", NodeMessage::Forward(request("m0a", 1 << 40), 0)),
        ("forward-cancel", NodeMessage::Forward(cancel("m0a", 7), 2)),
        ("forward-look", NodeMessage::Forward(observation(ALL_HEALTHY, -1), 1)),
        ("follow", NodeMessage::Follow(300, None)),
        ("follow-reached-at", NodeMessage::Follow(0, Some(address))),
        ("nothing-newer", NodeMessage::Fresh(300)),
        ("order", NodeMessage::Queue(Box::new(queue()))),
        ("order-empty", NodeMessage::Queue(Box::default())),
    ]
}

#[test]
fn messages_have_the_recorded_bytes_and_decode_back() {
    let datagrams = |message: &NodeMessage| split(0x0102_0304_0506_0708, 0x090a_0b0c, message);
    let mut samples = Vec::new();
    for (name, message) in messages() {
        let fragments = datagrams(&message);
        samples.extend(
            fragments.into_iter().enumerate().map(|(index, bytes)| (format!("{name}.{index}"), bytes)),
        );
    }
    check_samples(&golden("letters.txt"), &samples);
    let mut reassembler = Reassembler::default();
    let read = read_samples(&golden("letters.txt"));
    let read: Vec<_> = read.iter().filter_map(|(_, bytes)| reassembler.take(bytes)).collect();
    let written: Vec<_> = messages()
        .into_iter()
        .map(|(_, message)| ReceivedMessage { from: 0x0102_0304_0506_0708, message })
        .collect();
    assert_eq!(read, written);
}

#[test]
fn logged_commands_have_the_recorded_bytes_and_build_the_recorded_queues() {
    let encode = |logged: &LoggedCommand| postcard::to_stdvec(logged).expect("can be encoded");
    let samples: Vec<_> =
        log().iter().enumerate().map(|(n, logged)| (format!("{n:02}"), encode(logged))).collect();
    check_samples(&golden("log.txt"), &samples);
    let mut queue = MaintenanceQueue::default();
    let mut queues = Vec::new();
    for (name, bytes) in read_samples(&golden("log.txt")) {
        queue.apply(&postcard::from_bytes::<LoggedCommand>(&bytes).expect("can be decoded"));
        let mut trace = Trace::new();
        trace.add(&postcard::to_stdvec(&queue).expect("can be encoded"));
        queues.push((name, trace.finish()));
    }
    check_hashes(&golden("orders.txt"), &queues);
}

#[test]
fn records_have_the_recorded_keys_and_are_recovered() {
    let saved = LogUpdate {
        hard: Some(vec![1, 2]),
        snapshot: Some(vec![3]),
        entries: vec![(300, vec![4]), (301, Vec::new())],
        removed: vec![299],
    };
    let line = |(n, (key, value)): (usize, (Vec<u8>, Option<&[u8]>))| {
        let kind = if value.is_some() { "put" } else { "delete" };
        [(format!("{n}-{kind}-key"), key), (format!("{n}-{kind}-value"), value.unwrap_or_default().to_vec())]
    };
    let samples: Vec<_> = saved.records().enumerate().flat_map(line).collect();
    check_samples(&golden("records.txt"), &samples);
    let mut recovered = RecoveredLog::default();
    for (key, value) in saved.records() {
        assert!(value.is_none_or(|value| recovered.insert_record(&key, value.to_vec())));
    }
    assert_eq!(recovered.hard, Some(vec![1, 2]));
    assert_eq!(recovered.snapshot, Some(vec![3]));
    assert_eq!(recovered.entries, BTreeMap::from([(300, vec![4]), (301, Vec::new())]));
}

/// Three members and three followers with losses, a slow disk, a crash and a network partition.
#[test]
fn simulated_clusters_send_and_save_the_recorded_bytes() {
    let mut hashes = Vec::new();
    for run in 0..6_u64 {
        let mut cluster = Cluster::new(3, 3, run + 1);
        cluster.trace = Some(Trace::new());
        (cluster.loss, cluster.save_latency) = (0.05 * run as f64, (3 + 10 * run as i64) * MS);
        cluster.run(4 * S);
        cluster.request(0, "m0a");
        cluster.request(5, "m0b");
        cluster.run(6 * S);
        cluster.kill(run as usize % 3);
        cluster.request(4, "m1a");
        cluster.run(8 * S);
        cluster.start(run as usize % 3);
        cluster.side = vec![0, 1, 1, 0, 1, 1];
        cluster.run(5 * S);
        cluster.side = vec![0; 6];
        cluster.cancel(3, "m0b");
        cluster.run(5 * S);
        hashes.push((format!("run-{run}"), cluster.trace.expect("recorded").finish()));
    }
    check_hashes(&golden("simulation.txt"), &hashes);
}
