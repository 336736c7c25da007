//! A control node's disk that an earlier build wrote, and what a start finds on it: entries, a checkpoint, states of
//! the agreement, the note that this machine gave orders, and ends that were torn off.

use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

use orchidvalve_chain_replication::EpochRun;
use orchidvalve_consensus::{AcceptedView, Ballot, View};
use orchidvalve_control_plane::disk_records::RecoveredState;
use orchidvalve_control_plane::replicated_log::ReplicatedLog;
use orchidvalve_control_state::{Change, ControlState};
use orchidvalve_golden::read_samples;
use orchidvalve_protocol::frames::decode;
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_wal::{Options, Record, Ring};

const FILE_BYTES: u64 = 6_144;

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn recover(records: &[Record]) -> RecoveredState {
    let mut recovered = RecoveredState::default();
    for record in records {
        recovered.apply_record(record.position, &record.payload);
    }
    recovered
}

/// A folder of the fixture, copied to where it may be written.
struct Copy(PathBuf);

impl Copy {
    fn of(name: &str) -> Copy {
        let folder = std::env::temp_dir().join(format!("orchidvalve-golden-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        for file in std::fs::read_dir(golden(name)).unwrap() {
            let file = file.unwrap();
            std::fs::copy(file.path(), folder.join(file.file_name())).unwrap();
        }
        Copy(folder)
    }

    fn open(&self) -> Vec<Record> {
        let options = Options { file_bytes: FILE_BYTES, ..Options::with_capacity(4 * FILE_BYTES) };
        let (ring, recovery) = Ring::open(&self.0, options, Box::new(|| {})).unwrap();
        drop(ring);
        assert!(!recovery.is_first_use);
        recovery.records
    }
}

impl Drop for Copy {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn member(number: u8) -> MemberId {
    MemberId { address: NodeAddress::new(Ipv4Addr::new(10, 0, 0, number), 7000), disk: u64::from(number) }
}

/// Sequence, epoch and position on the disk of each entry that is held.
fn entries(journal: &ReplicatedLog) -> Vec<(u64, u64, u64)> {
    let held = |sequence| {
        let entry = journal.get(sequence).unwrap();
        (entry.sequence, entry.epoch, journal.disk_position(sequence).unwrap())
    };
    (journal.first()..=journal.end()).map(held).collect()
}

fn state(journal: &ReplicatedLog) -> ControlState {
    let mut state = ControlState::default();
    for sequence in journal.first()..=journal.end() {
        let change: Change = decode(&journal.get(sequence).unwrap().payload).unwrap();
        state.apply(&change).unwrap();
    }
    state
}

fn assert_agreement(recovered: &RecoveredState) {
    let agreement = recovered.agreement.as_ref().unwrap();
    let view =
        View { epoch: 3, voters: vec![member(1), member(2), member(3)], chain: vec![member(1), member(2)] };
    assert_eq!(agreement.view.as_ref(), Some(&view));
    assert!(agreement.complete);
    let ballot = Ballot { round: 2, proposer: member(2) };
    assert_eq!(agreement.acceptor.promised, Some(ballot));
    let next = View { epoch: 4, voters: view.voters.clone(), chain: vec![member(1)] };
    assert_eq!(agreement.acceptor.accepted, Some(AcceptedView { ballot, view: next }));
}

#[test]
fn a_whole_disk_is_recovered() {
    let records = Copy::of("disk-whole").open();
    assert_eq!((records.first().unwrap().position, records.last().unwrap().position), (1, 17));
    let recovered = recover(&records);
    assert_agreement(&recovered);
    assert_eq!(recovered.agreement_position, Some(14));
    assert_eq!(recovered.leadership_epoch, Some(3));
    assert_eq!(recovered.unreadable, 0);
    let journal = &recovered.log;
    assert_eq!((journal.first(), journal.end(), journal.previous_epoch()), (4, 8, 1));
    assert_eq!(entries(journal), [(4, 1, 6), (5, 3, 10), (6, 3, 11), (7, 3, 16), (8, 3, 17)]);
    let journal_state = journal.state();
    assert_eq!((journal_state.first, journal_state.end, journal_state.committed), (4, 8, 3));
    let runs = [EpochRun { epoch: 1, first: 3 }, EpochRun { epoch: 3, first: 5 }];
    assert_eq!(journal_state.runs, runs);
    let state = state(journal);
    assert_eq!(state.versions()["large"], 7);
    assert_eq!(state.stores()["store-1"].member, member(9));
    assert_eq!(state.configuration_version(), 1);
}

#[test]
fn a_disk_whose_last_records_were_torn_off_is_recovered_up_to_them() {
    let records = Copy::of("disk-torn").open();
    assert_eq!(records.last().unwrap().position, 16);
    let recovered = recover(&records);
    assert_agreement(&recovered);
    assert_eq!((recovered.leadership_epoch, recovered.unreadable), (Some(3), 0));
    let journal = &recovered.log;
    assert_eq!(entries(journal), [(4, 1, 6), (5, 3, 10), (6, 3, 11), (7, 3, 16)]);
    assert_eq!(state(journal).versions()["large"], 6);
}

/// The same records, without those that were released, and with bytes that are none.
#[test]
fn records_are_recovered_by_their_bytes_alone() {
    let mut recovered = RecoveredState::default();
    for (position, payload) in read_samples(&golden("disk-released.txt")) {
        recovered.apply_record(position.parse().unwrap(), &payload);
    }
    assert_agreement(&recovered);
    assert_eq!((recovered.agreement_position, recovered.leadership_epoch), (Some(14), Some(3)));
    assert_eq!(recovered.unreadable, 2);
    let journal = &recovered.log;
    assert_eq!((journal.first(), journal.end(), journal.previous_epoch()), (4, 8, 1));
    assert_eq!(entries(journal), [(4, 1, 6), (5, 3, 10), (6, 3, 11), (7, 3, 16), (8, 3, 17)]);
    assert_eq!(journal.checkpoint_bytes(), journal.get(4).unwrap().payload.len());
    assert_eq!(state(journal).versions()["large"], 7);
}
