//! Letters, records and simulated runs of the maintenance group have the recorded bytes.

#[path = "site/mod.rs"]
mod site;

use std::collections::BTreeMap;
use std::path::PathBuf;

use orchidvalve_golden::{Trace, check_hashes, check_samples, read_samples};
use orchidvalve_maintenance::datagrams::{Reassembler, ReceivedMessage, split};
use orchidvalve_maintenance::disruption_budget::{DisruptionBudget, Health, ObservedMachine};
use orchidvalve_maintenance::node::NodeMessage;
use orchidvalve_maintenance::queue::{Command, LoggedCommand, MaintenanceQueue, Timing};
use orchidvalve_maintenance::raft_group::{LogUpdate, RecoveredLog};
use site::{MS, S, Site};

fn golden(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", name].iter().collect()
}

fn ask(machine: &str, nonce: u64) -> Command {
    let (machine, by, why) = (machine.to_owned(), "an operator".to_owned(), "kernel".to_owned());
    Command::Request { machine, by, why, lasts: 20 * S, waits: 600 * S, nonce }
}

fn cancel(machine: &str, nonce: u64) -> Command {
    Command::Cancel { machine: machine.to_owned(), by: "an operator".to_owned(), nonce }
}

fn look(health: [Health; 4], started_ms: i64) -> Command {
    let names = ["m0a", "m0b", "m1a", "m1b"];
    let seen = |place: usize| ObservedMachine {
        cell: place as u32 / 2,
        zone: if place.is_multiple_of(2) { "east" } else { "west" }.to_owned(),
        health: health[place],
        started_ms: if place == 0 { started_ms } else { 1 },
    };
    let seen: BTreeMap<String, ObservedMachine> =
        (0..4).map(|place| (names[place].to_owned(), seen(place))).collect();
    let rule = DisruptionBudget { cells: 2, reach: 1, share: 0.5, least_sound: 1, zone_share: 1.0, most: 8 };
    Command::Observe { seen, rule, pace: Timing { drain: 2 * S, look_lasts: 4 * S } }
}

const SOUND: [Health; 4] = [Health::Healthy; 4];

/// Commands that take one machine through all stages while others wait, are blocked_by, lapse or are cancelled.
fn log() -> Vec<LoggedCommand> {
    use Health::{Draining, Failing, Healthy, WarmingUp};
    let lapsing = Command::Request {
        machine: "m1a".to_owned(),
        by: "x".to_owned(),
        why: String::new(),
        lasts: S,
        waits: 3 * S,
        nonce: 4,
    };
    let steps = [
        (10, look(SOUND, 1)),
        (11, ask("m0a", 1)),
        (11, ask("m0b", 2)),
        (11, ask("m0b", 2)),
        (12, look([Healthy, Failing, Healthy, Healthy], 1)),
        (13, look(SOUND, 1)),
        (15, look([Draining, Healthy, WarmingUp, Healthy], 1)),
        (16, look([Draining, Healthy, WarmingUp, Healthy], 1)),
        (17, lapsing),
        (18, ask("unknown", 5)),
        (40, look([Draining, Healthy, WarmingUp, Healthy], 1)),
        (41, look([WarmingUp, Healthy, WarmingUp, Healthy], 30_000)),
        (43, look([Healthy, Healthy, WarmingUp, Healthy], 30_000)),
        (44, cancel("unknown", 6)),
        (47, look(SOUND, 30_000)),
    ];
    steps.into_iter().map(|(at, command)| LoggedCommand { at: at * S, command }).collect()
}

fn order() -> MaintenanceQueue {
    let mut order = MaintenanceQueue::default();
    log().iter().for_each(|logged| order.apply(logged));
    order
}

fn messages() -> Vec<(&'static str, NodeMessage)> {
    let address = "10.0.0.9:7500".parse().expect("an address");
    vec![
        ("group", NodeMessage::Raft(vec![8, 1, 0xff])),
        ("forward-ask", NodeMessage::Forward(ask("m0a", 1 << 40), 0)),
        ("forward-cancel", NodeMessage::Forward(cancel("m0a", 7), 2)),
        ("forward-look", NodeMessage::Forward(look(SOUND, -1), 1)),
        ("follow", NodeMessage::Follow(300, None)),
        ("follow-reached-at", NodeMessage::Follow(0, Some(address))),
        ("nothing-newer", NodeMessage::Fresh(300)),
        ("order", NodeMessage::Queue(Box::new(order()))),
        ("order-empty", NodeMessage::Queue(Box::default())),
    ]
}

#[test]
fn letters_have_the_recorded_bytes_and_are_read_back() {
    let datagrams = |message: &NodeMessage| split(0x0102_0304_0506_0708, 0x090a_0b0c, message);
    let mut samples = Vec::new();
    for (name, message) in messages() {
        let parts = datagrams(&message);
        samples.extend(parts.into_iter().enumerate().map(|(part, bytes)| (format!("{name}.{part}"), bytes)));
    }
    check_samples(&golden("letters.txt"), &samples);
    let mut pieces = Reassembler::default();
    let read = read_samples(&golden("letters.txt"));
    let read: Vec<_> = read.iter().filter_map(|(_, bytes)| pieces.take(bytes)).collect();
    let written: Vec<_> = messages()
        .into_iter()
        .map(|(_, message)| ReceivedMessage { from: 0x0102_0304_0506_0708, message })
        .collect();
    assert_eq!(read, written);
}

#[test]
fn logged_commands_have_the_recorded_bytes_and_build_the_recorded_orders() {
    let encode = |logged: &LoggedCommand| postcard::to_stdvec(logged).expect("can be encoded");
    let samples: Vec<_> =
        log().iter().enumerate().map(|(n, logged)| (format!("{n:02}"), encode(logged))).collect();
    check_samples(&golden("log.txt"), &samples);
    let mut order = MaintenanceQueue::default();
    let mut orders = Vec::new();
    for (name, bytes) in read_samples(&golden("log.txt")) {
        order.apply(&postcard::from_bytes::<LoggedCommand>(&bytes).expect("can be decoded"));
        let mut trace = Trace::new();
        trace.add(&postcard::to_stdvec(&order).expect("can be encoded"));
        orders.push((name, trace.finish()));
    }
    check_hashes(&golden("orders.txt"), &orders);
}

#[test]
fn records_have_the_recorded_keys_and_are_taken_back() {
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
    let mut left = RecoveredLog::default();
    for (key, value) in saved.records() {
        assert!(value.is_none_or(|value| left.insert_record(&key, value.to_vec())));
    }
    assert_eq!(left.hard, Some(vec![1, 2]));
    assert_eq!(left.snapshot, Some(vec![3]));
    assert_eq!(left.entries, BTreeMap::from([(300, vec![4]), (301, Vec::new())]));
}

/// Three members and three followers through loss, a slow disk, a death and a cut.
#[test]
fn simulated_sites_send_and_save_the_recorded_bytes() {
    let mut hashes = Vec::new();
    for run in 0..6_u64 {
        let mut site = Site::new(3, 3, run + 1);
        site.trace = Some(Trace::new());
        (site.loss, site.save_takes) = (0.05 * run as f64, (3 + 10 * run as i64) * MS);
        site.run(4 * S);
        site.ask(0, "m0a");
        site.ask(5, "m0b");
        site.run(6 * S);
        site.kill(run as usize % 3);
        site.ask(4, "m1a");
        site.run(8 * S);
        site.start(run as usize % 3);
        site.side = vec![0, 1, 1, 0, 1, 1];
        site.run(5 * S);
        site.side = vec![0; 6];
        site.cancel(3, "m0b");
        site.run(5 * S);
        hashes.push((format!("run-{run}"), site.trace.expect("recorded").finish()));
    }
    check_hashes(&golden("simulation.txt"), &hashes);
}
