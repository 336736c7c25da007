//! The log on the logbook's simulated disk, dying at every call: what a member said of the order, and what it answered to
//! others, it still holds when it is back.

use std::collections::BTreeMap;
use std::sync::Arc;

use orchidvalve_log_store::disk::simulated::{CrashLoss, Persisted, SimulatedDisk};
use orchidvalve_log_store::{Batch, LogStore, LogStoreOptions};
use orchidvalve_maintenance::Nanos;
use orchidvalve_maintenance::disruption_budget::{DisruptionBudget, Health, ObservedMachine};
use orchidvalve_maintenance::queue::{Command, QueueEvent, Timing};
use orchidvalve_maintenance::raft_group::{Group, GroupSettings, LogUpdate, OutputSink, RecoveredLog};

const TICK: Nanos = 1_000_000;
const SPACE: u16 = 5;
const COMMANDS: u64 = 14;

fn book() -> LogStoreOptions {
    LogStoreOptions { segment_bytes: 2000, ..LogStoreOptions::named("order") }
}

fn left(store: &LogStore) -> RecoveredLog {
    let mut left = RecoveredLog::default();
    for (key, value) in store.snapshot().scan(SPACE) {
        assert!(left.insert_record(&key, value.expect("it can be read")));
    }
    left
}

/// Saves at once, and remembers what is durable; a write that fails is the end of this run.
struct Disk<'a> {
    store: &'a mut LogStore,
    durable: Option<u64>,
    dead: bool,
}

impl OutputSink for Disk<'_> {
    fn send(&mut self, _: u64, _: Vec<u8>) {}
    fn save(&mut self, number: u64, saved: LogUpdate) {
        let batch = saved.records().fold(Batch::new(), |batch, (key, value)| match value {
            Some(value) => batch.put(SPACE, &key, value),
            None => batch.delete(SPACE, &key),
        });
        let storage = batch.is_empty() || self.store.append(&batch).is_ok() && self.store.sync().is_ok();
        self.dead |= !storage;
        if !self.dead {
            self.durable = Some(number).filter(|n| *n > 0).or(self.durable);
        }
    }
}

/// Runs a group of one on that disk until it has carried out its commands or the disk dies; the events that it told.
fn run(disk: &SimulatedDisk) -> (Vec<QueueEvent>, bool) {
    let Ok((mut store, _)) = LogStore::open(Arc::new(disk.clone()), book()) else {
        return (Vec::new(), false);
    };
    let orders = GroupSettings { snapshot_interval: 5, ..GroupSettings::new(1, vec![1], TICK) };
    let mut group = Group::new(&orders, &left(&store), 0).expect("what is durable is whole");
    let (mut told, mut now, mut next, mut durable) = (Vec::new(), 0, 0, None);
    while next < COMMANDS || group.queue().recent_nonces().count() < COMMANDS as usize {
        now += 12 * TICK;
        assert!(now < 4_000 * TICK, "it stands still");
        let mut disk = Disk { store: &mut store, durable: None, dead: false };
        group.round(
            now,
            |inbox| {
                durable.take().into_iter().for_each(|number| inbox.durable(number));
                let seen = |n: u32| ObservedMachine {
                    cell: n,
                    zone: "z".into(),
                    health: Health::Healthy,
                    started_ms: 1,
                };
                let seen: BTreeMap<_, _> = (0..4).map(|n| (format!("m{n}"), seen(n / 2))).collect();
                let rule =
                    DisruptionBudget { cells: 2, reach: 1, zone_share: 1.0, ..DisruptionBudget::default() };
                inbox.observation(seen, rule, Timing { drain: 30 * TICK, look_lasts: 1_000 * TICK });
                if next < COMMANDS {
                    let (machine, nonce) = (format!("m{}", next % 4), next + 1);
                    inbox.command(match next % 5 {
                        4 => Command::Cancel { machine, by: String::new(), nonce },
                        _ => Command::Request {
                            machine,
                            by: String::new(),
                            why: String::new(),
                            lasts: 1_000 * TICK,
                            waits: 1_000 * TICK,
                            nonce,
                        },
                    });
                }
            },
            &mut disk,
        );
        durable = disk.durable;
        if disk.dead {
            return (told, false);
        }
        if group.leads() {
            next += 1;
        }
        // What it applied was agreed, which for a group of one means durable: it may have told anybody.
        told = group.queue().events.iter().cloned().collect();
    }
    (told, true)
}

#[test]
fn what_was_told_of_the_order_survives_a_crash_at_every_call_of_the_disk() {
    let disk = SimulatedDisk::new(1 << 20);
    let (whole, ended) = run(&disk);
    assert!(ended && whole.len() > 10, "{whole:?}");
    let calls = disk.calls();
    let mut states = 0;
    for call in 1..=calls {
        let disk = SimulatedDisk::new(1 << 20);
        disk.die_at(call);
        let (told, _) = run(&disk);
        for storage in [Persisted::Nothing, Persisted::All, Persisted::First(1), Persisted::Without(0)] {
            let disk = disk.after_crash(CrashLoss { files: storage, names: storage });
            let (mut store, _) = LogStore::open(Arc::new(disk.clone()), book()).expect("it opens");
            let orders = GroupSettings { snapshot_interval: 5, ..GroupSettings::new(1, vec![1], TICK) };
            let mut group = Group::new(&orders, &left(&store), 0).expect("what is durable is whole");
            // It leads again, and with that knows all that was agreed.
            let mut durable = None;
            for n in 1..40 {
                let mut disk = Disk { store: &mut store, durable: None, dead: false };
                group.round(
                    n * 12 * TICK,
                    |inbox| durable.take().into_iter().for_each(|n| inbox.durable(n)),
                    &mut disk,
                );
                durable = disk.durable;
            }
            let found: Vec<QueueEvent> = group.queue().events.iter().cloned().collect();
            assert!(
                found.len() >= told.len() && found[..told.len()] == told[..],
                "call {call}, {storage:?}: {found:?} after {told:?}"
            );
            states += 1;
        }
    }
    println!("{states} states after a crash at one of {calls} calls");
}
