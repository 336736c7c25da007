//! The outputs of the chain equal the recorded ones, byte for byte and in the same order.

mod support;

use std::path::PathBuf;
use std::rc::Rc;

use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use orchidvalve_chain_replication::{Entry, EpochRun, EpochRuns, Message};
use orchidvalve_golden::{check_hashes, check_samples, read_samples};
use support::world::World;
use support::{disk, member, view};

const STEPS: usize = 3_000;
const RUNS_PER_CHAIN: u64 = 14;

fn golden(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", name].iter().collect()
}

#[test]
fn simulated_runs_produce_the_recorded_bytes() {
    let mut hashes = Vec::new();
    for (machines, minimum) in [(4, 2), (5, 3), (3, 1)] {
        for run in 0..RUNS_PER_CHAIN {
            let mut world = World::traced(50_000 + run, machines, minimum);
            for _ in 0..STEPS {
                world.step();
            }
            world.heal();
            world.check_end();
            let trace = world.trace.expect("recorded");
            hashes.push((format!("machines-{machines}-minimum-{minimum}-run-{run}"), trace.finish()));
        }
    }
    check_hashes(&golden("simulation.txt"), &hashes);
}

fn check_parts<T>(file: &str, values: &[(&'static str, T)])
where
    T: Encode<Binary> + for<'de> Decode<'de, Binary, Global> + PartialEq + std::fmt::Debug,
{
    let encode = |value: &T| musli::storage::to_vec(value).expect("can be encoded");
    let samples: Vec<_> = values.iter().map(|(name, value)| (*name, encode(value))).collect();
    check_samples(&golden(file), &samples);
    for ((_, value), (name, bytes)) in values.iter().zip(read_samples(&golden(file))) {
        let read: T = musli::storage::from_slice(&bytes).expect("can be decoded");
        assert_eq!(read, *value, "{name}");
    }
}

fn entry(sequence: u64, epoch: u64, payload: &[u8]) -> Entry {
    Entry { sequence, epoch, payload: Rc::from(payload) }
}

fn runs() -> Vec<EpochRun> {
    vec![EpochRun { epoch: 1, first: 1 }, EpochRun { epoch: 300, first: 70_000 }]
}

fn entries_message(entries: Vec<Entry>, epoch_base: Option<u64>) -> Message {
    Message::Entries {
        epoch: 300,
        position_id: 1 << 60,
        previous_sequence: 69_999,
        previous_epoch: 1,
        entries,
        committed: 69_000,
        epoch_base,
    }
}

fn messages() -> Vec<(&'static str, Message)> {
    let two_entries = vec![entry(70_000, 300, b"two entries"), entry(70_001, 300, &[0, 0xff])];
    vec![
        (
            "position-empty",
            Message::Position { epoch: 1, position_id: 0, first: 1, runs: Vec::new(), end: 0 },
        ),
        (
            "position",
            Message::Position { epoch: 300, position_id: 1 << 60, first: 2, runs: runs(), end: 70_001 },
        ),
        ("locate", Message::Locate { epoch: 300 }),
        ("entries-none", entries_message(Vec::new(), None)),
        ("entries-two", entries_message(two_entries, Some(70_000))),
        ("acknowledge", Message::Acknowledge { epoch: 300, sequence: 70_001 }),
        ("reset", Message::Reset { epoch: 300, position_id: 1 << 60, start: 69_000, previous_epoch: 1 }),
        ("confirm", Message::Confirm { epoch: 300, round: 1 << 33 }),
        ("confirmed", Message::Confirmed { epoch: 300, round: 1 << 33, committed: 70_001 }),
    ]
}

#[test]
fn messages_have_the_recorded_bytes_and_decode_to_the_same_values() {
    check_parts("messages.txt", &messages());
}

#[test]
fn records_and_parts_have_the_recorded_bytes_and_decode_to_the_same_values() {
    check_parts(
        "entries.txt",
        &[("empty", entry(1, 1, &[])), ("bytes", entry(70_000, 300, b"\x00\x7f\x80"))],
    );
    let full = view(300, &[member(1), disk(2, 1 << 63)], &[member(3)], 2);
    check_parts("views.txt", &[("none", view(0, &[], &[], 0)), ("full", full)]);
    check_parts("epoch_runs.txt", &[("list", runs())]);
}

/// The host stores the runs of a log on disk, so their contents must not change.
#[test]
fn epoch_runs_behave_as_recorded() {
    let mut log = EpochRuns::new(2, 70_001, runs());
    let epochs = [0, 1, 2, 69_999, 70_000, 70_001, 70_002].map(|sequence| log.epoch_at(sequence));
    assert_eq!(epochs, [Some(0), Some(1), Some(1), Some(1), Some(300), Some(300), None]);
    log.append(301);
    log.append(301);
    log.trim(70_000);
    let run = |epoch, first| EpochRun { epoch, first };
    assert_eq!(log.runs(), [run(1, 1), run(300, 70_000), run(301, 70_002)]);
    assert_eq!((log.first(), log.end()), (70_000, 70_003));
    let other = EpochRuns::new(1, 70_005, vec![run(1, 1), run(300, 70_000), run(302, 70_001)]);
    assert_eq!(log.common_with(&other, u64::MAX), Some(70_000));
    assert_eq!(log.common_with(&other, 69_999), Some(69_999));
    log.truncate(70_001);
    assert_eq!(log.runs(), [run(1, 1), run(300, 70_000)]);
    log.reset(80_000, 300);
    assert_eq!((log.first(), log.end()), (80_000, 79_999));
    assert_eq!(log.runs(), [run(300, 79_999)]);
    assert_eq!(log.epoch_at(79_999), Some(300));
    assert_eq!(log.epoch_at(79_998), None);
}
