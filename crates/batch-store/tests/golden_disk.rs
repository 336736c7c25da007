//! Checks records that an earlier build wrote: the same inputs still write the same records, and the recorded records
//! are recovered to the same state, also if the last one is torn.

mod support;

use std::path::PathBuf;
use std::rc::Rc;

use orchidvalve_batch_store::entry::EntryRef;
use orchidvalve_batch_store::{DiskRecord, Record};
use orchidvalve_chain_replication::Entry;
use orchidvalve_control_state::Placement;
use orchidvalve_golden::{check_samples, read_samples};
use orchidvalve_protocol::frames::{decode, encode};
use orchidvalve_protocol::messages::{GatewayMessage, StoreResponse};
use rstest::rstest;
use support::{MAX_QUEUE_MS, Process, TARGET_RUN_MS, World, job, member, outcome};

const GATEWAY: u64 = 1;
const ACCEPTED_AT_MS: u64 = 1_700_000_100_000;

/// The records that the current version writes.
const DISK: &str = "disk.txt";
/// Records written before jobs had tenants.
const DISK_WITHOUT_TENANTS: &str = "disk-of-wire-version-5.txt";

fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Returns the disk of a store that accepted a job with results and another job that ended, both in its first
/// partition.
fn written_by_a_store() -> Vec<Vec<u8>> {
    let mut world = World::placed(1, 1);
    world.gateway_connected(GATEWAY, 1);
    world.submit(GATEWAY, 0, "a", job("a", 2, 2, 2));
    world.run();
    world.report(GATEWAY, 0, "a", &["a-0-1", "a-1-0"]);
    world.submit(GATEWAY, 0, "b", job("b", 1, 1, 1));
    world.run();
    world.end(GATEWAY, 0, "b");
    world.run();
    let members = [member(1)];
    world.place(2, &members, &[]);
    world.report(GATEWAY, 0, "a", &["a-0-0"]);
    world.run();
    world.stores[0].disk.iter().map(|record| record.payload.clone()).collect()
}

fn accepted(id: &str, groups: usize) -> Vec<u8> {
    let document = job(id, groups, 1, 1);
    let accepted = EntryRef::JobAccepted {
        job: &document,
        accepted_at_ms: ACCEPTED_AT_MS,
        target_run_ms: TARGET_RUN_MS,
        max_queue_ms: MAX_QUEUE_MS,
    };
    accepted.encode()
}

fn result(id: &str, item: &str) -> Vec<u8> {
    EntryRef::result(id, &outcome(item)).encode()
}

/// Returns records of two other partitions: one whose log was truncated, and one whose log starts late.
fn written_by_chains() -> Vec<Vec<u8>> {
    let append = |partition: u16, sequence: u64, epoch: u64, payload: Vec<u8>| DiskRecord::Append {
        partition,
        entry: Entry { sequence, epoch, payload: Rc::from(payload) },
    };
    let records = [
        append(1, 1, 1, accepted("c", 3)),
        append(1, 2, 1, result("c", "c-1-0")),
        append(1, 3, 1, result("c", "c-0-0")),
        DiskRecord::Truncate { partition: 1, after: 2 },
        append(1, 3, 2, result("c", "c-2-0")),
        append(2, 1, 1, accepted("forgotten", 1)),
        DiskRecord::Reset { partition: 2, start: 10, previous_epoch: 3 },
        append(2, 10, 4, accepted("old", 1)),
        append(2, 11, 4, accepted("d", 2)),
        DiskRecord::LogStart { partition: 2, first: 11, previous_epoch: 4, view_epoch: 6 },
        append(2, 12, 6, result("d", "d-1-0")),
        append(2, 13, 6, result("d", "d-0-0")),
    ];
    records.iter().map(encode).collect()
}

#[test]
fn the_same_inputs_write_the_recorded_records() {
    let records: Vec<Vec<u8>> = written_by_a_store().into_iter().chain(written_by_chains()).collect();
    let samples: Vec<(String, &Vec<u8>)> =
        (1..).zip(&records).map(|(position, record)| (format!("record-{position}"), record)).collect();
    check_samples(&path(DISK), &samples);
}

/// Starts a store with these records and gives it a view of each partition in which it is the only member.
fn started(records: Vec<Vec<u8>>) -> World {
    let mut world = World::new(1, 1);
    let disk = (1..).zip(records).map(|(position, payload)| Record { position, payload }).collect();
    world.stores[0] = Process::start(member(1), disk, 1, 9);
    world.gateway_connected(GATEWAY, 1);
    let placement = Placement { epoch: 7, members: vec![member(1)], ..Placement::default() };
    let placements = vec![placement; 3];
    world.input(0, |store, now, outputs| store.update_placements(&placements, now, outputs));
    world
}

fn read(world: &mut World, partition: u16, id: &str) -> StoreResponse {
    let call = world.next_call();
    let read = GatewayMessage::ReadResults {
        request_id: call,
        partition,
        id: id.to_owned(),
        after: 0,
        wait_ms: 0,
        tenant: None,
    };
    world.send_to_store(GATEWAY, 0, read);
    world.run();
    world.response(GATEWAY, call).cloned().expect("an response")
}

fn results(total: u32, items: &[&str]) -> StoreResponse {
    let outcomes = items.iter().map(|item| outcome(item)).collect();
    StoreResponse::Results { total, next: items.len() as u64, outcomes }
}

#[rstest]
#[case::intact(0, &["d-1-0", "d-0-0"], 14)]
#[case::torn_by_a_byte(1, &["d-1-0"], 13)]
#[case::torn_by_twenty_bytes(20, &["d-1-0"], 13)]
fn the_recorded_disk_is_recovered(
    #[values(DISK, DISK_WITHOUT_TENANTS)] file: &str,
    #[case] torn_bytes: usize,
    #[case] latest_results: &[&str],
    #[case] next_sequence: u64,
) {
    let mut records: Vec<Vec<u8>> = read_samples(&path(file)).into_iter().map(|(_, record)| record).collect();
    let last = records.last_mut().expect("records");
    last.truncate(last.len() - torn_bytes);
    let recorded = records.len();
    let mut world = started(records);
    // Each partition records its view at once, with the start of its log and the epoch before it.
    let view_records: Vec<DiskRecord> =
        world.stores[0].writes.iter().map(|record| decode(&record.payload).expect("a record")).collect();
    let log_start = |partition: u16, first: u64, previous_epoch: u64| DiskRecord::LogStart {
        partition,
        first,
        previous_epoch,
        view_epoch: 7,
    };
    assert_eq!(view_records, [log_start(0, 1, 0), log_start(1, 1, 0), log_start(2, 11, 4)]);
    assert_eq!(world.stores[0].writes[0].position, recorded as u64 + 1);
    world.run();
    assert_eq!(read(&mut world, 0, "a"), results(4, &["a-0-1", "a-1-0", "a-0-0"]));
    assert_eq!(read(&mut world, 0, "b"), results(1, &[]));
    assert_eq!(read(&mut world, 1, "c"), results(3, &["c-1-0", "c-2-0"]));
    assert_eq!(read(&mut world, 2, "d"), results(2, latest_results));
    assert_eq!(read(&mut world, 2, "old"), StoreResponse::NotFound);
    assert_eq!(read(&mut world, 2, "forgotten"), StoreResponse::NotFound);
    // New entries are appended after the recovered ones.
    let call = world.next_call();
    let end = GatewayMessage::EndJob { request_id: call, partition: 2, id: "d".to_owned(), tenant: None };
    world.send_to_store(GATEWAY, 0, end);
    let written = world.stores[0].writes.last().map(|record| decode::<DiskRecord>(&record.payload));
    let payload = Rc::from(EntryRef::JobEnded { job: "d" }.encode());
    let entry = Entry { sequence: next_sequence, epoch: 7, payload };
    assert_eq!(written, Some(Some(DiskRecord::Append { partition: 2, entry })));
    world.run();
    assert_eq!(world.response(GATEWAY, call), Some(&StoreResponse::Ended));
}
