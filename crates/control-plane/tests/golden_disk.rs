//! Recovery from a control node's disk that an earlier build wrote: entries, a checkpoint, states of the agreement, the
//! record that the node gave orders, and torn tails.

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

/// A copy of a fixture directory that may be written.
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

/// Returns sequence number, epoch and disk position of each entry held.
fn entries(log: &ReplicatedLog) -> Vec<(u64, u64, u64)> {
    let held = |sequence| {
        let entry = log.get(sequence).unwrap();
        (entry.sequence, entry.epoch, log.disk_position(sequence).unwrap())
    };
    (log.first()..=log.end()).map(held).collect()
}

fn state(log: &ReplicatedLog) -> ControlState {
    let mut state = ControlState::default();
    for sequence in log.first()..=log.end() {
        let change: Change = decode(&log.get(sequence).unwrap().payload).unwrap();
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
fn an_intact_disk_is_recovered() {
    let records = Copy::of("disk-whole").open();
    assert_eq!((records.first().unwrap().position, records.last().unwrap().position), (1, 17));
    let recovered = recover(&records);
    assert_agreement(&recovered);
    assert_eq!(recovered.agreement_position, Some(14));
    assert_eq!(recovered.leadership_epoch, Some(3));
    assert_eq!(recovered.unreadable, 0);
    let log = &recovered.log;
    assert_eq!((log.first(), log.end(), log.previous_epoch()), (4, 8, 1));
    assert_eq!(entries(log), [(4, 1, 6), (5, 3, 10), (6, 3, 11), (7, 3, 16), (8, 3, 17)]);
    let log_state = log.state();
    assert_eq!((log_state.first, log_state.end, log_state.committed), (4, 8, 3));
    let runs = [EpochRun { epoch: 1, first: 3 }, EpochRun { epoch: 3, first: 5 }];
    assert_eq!(log_state.runs, runs);
    let state = state(log);
    assert_eq!(state.versions()["large"], 7);
    assert_eq!(state.stores()["store-1"].member, member(9));
    assert_eq!(state.configuration_version(), 1);
}

#[test]
fn a_disk_with_a_torn_tail_is_recovered_up_to_it() {
    let records = Copy::of("disk-torn").open();
    assert_eq!(records.last().unwrap().position, 16);
    let recovered = recover(&records);
    assert_agreement(&recovered);
    assert_eq!((recovered.leadership_epoch, recovered.unreadable), (Some(3), 0));
    let log = &recovered.log;
    assert_eq!(entries(log), [(4, 1, 6), (5, 3, 10), (6, 3, 11), (7, 3, 16)]);
    assert_eq!(state(log).versions()["large"], 6);
}

/// The same records, without released ones and with two unreadable ones.
#[test]
fn records_are_recovered_from_their_bytes_alone() {
    let mut recovered = RecoveredState::default();
    for (position, payload) in read_samples(&golden("disk-released.txt")) {
        recovered.apply_record(position.parse().unwrap(), &payload);
    }
    assert_agreement(&recovered);
    assert_eq!((recovered.agreement_position, recovered.leadership_epoch), (Some(14), Some(3)));
    assert_eq!(recovered.unreadable, 2);
    let log = &recovered.log;
    assert_eq!((log.first(), log.end(), log.previous_epoch()), (4, 8, 1));
    assert_eq!(entries(log), [(4, 1, 6), (5, 3, 10), (6, 3, 11), (7, 3, 16), (8, 3, 17)]);
    assert_eq!(log.checkpoint_bytes(), log.get(4).unwrap().payload.len());
    assert_eq!(state(log).versions()["large"], 7);
}
