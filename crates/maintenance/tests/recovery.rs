//! The log on the simulated disk of the log store, which crashes at every call: what a member reported about the queue, and
//! what it sent to others, is still there after a restart.

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

fn store_options() -> LogStoreOptions {
    LogStoreOptions { segment_bytes: 2000, ..LogStoreOptions::named("order") }
}

fn recovered(store: &LogStore) -> RecoveredLog {
    let mut recovered = RecoveredLog::default();
    for (key, value) in store.snapshot().scan(SPACE) {
        assert!(recovered.insert_record(&key, value.expect("it can be read")));
    }
    recovered
}

/// Saves updates immediately and records what is durable. A failed write ends the run.
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

/// Runs a group of one member on the disk until it has applied its commands or the disk fails. Returns the events that it
/// reported, and whether it ended in order.
fn run(disk: &SimulatedDisk) -> (Vec<QueueEvent>, bool) {
    let Ok((mut store, _)) = LogStore::open(Arc::new(disk.clone()), store_options()) else {
        return (Vec::new(), false);
    };
    let settings = GroupSettings { snapshot_interval: 5, ..GroupSettings::new(1, vec![1], TICK) };
    let mut group = Group::new(&settings, &recovered(&store), 0).expect("the durable log is complete");
    let (mut reported, mut now, mut next, mut durable) = (Vec::new(), 0, 0, None);
    while next < COMMANDS || group.queue().recent_nonces().count() < COMMANDS as usize {
        now += 12 * TICK;
        assert!(now < 4_000 * TICK, "no progress");
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
            return (reported, false);
        }
        if group.leads() {
            next += 1;
        }
        // An applied command is committed, which means durable in a group of one. So it may have been reported.
        reported = group.queue().events.iter().cloned().collect();
    }
    (reported, true)
}

#[test]
fn reported_events_survive_a_crash_at_every_disk_call() {
    let disk = SimulatedDisk::new(1 << 20);
    let (whole, ended) = run(&disk);
    assert!(ended && whole.len() > 10, "{whole:?}");
    let calls = disk.calls();
    let mut states = 0;
    for call in 1..=calls {
        let disk = SimulatedDisk::new(1 << 20);
        disk.die_at(call);
        let (reported, _) = run(&disk);
        for storage in [Persisted::Nothing, Persisted::All, Persisted::First(1), Persisted::Without(0)] {
            let disk = disk.after_crash(CrashLoss { files: storage, names: storage });
            let (mut store, _) =
                LogStore::open(Arc::new(disk.clone()), store_options()).expect("the store opens");
            let settings = GroupSettings { snapshot_interval: 5, ..GroupSettings::new(1, vec![1], TICK) };
            let mut group =
                Group::new(&settings, &recovered(&store), 0).expect("the durable log is complete");
            // After it is elected again, it knows all committed entries.
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
                found.len() >= reported.len() && found[..reported.len()] == reported[..],
                "call {call}, {storage:?}: {found:?} after {reported:?}"
            );
            states += 1;
        }
    }
    println!("{states} states after a crash at one of {calls} calls");
}
