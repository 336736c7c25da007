//! An in-memory disk: records become durable some time after they were appended, and a crash loses the other records.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use orchidvalve_control_plane::disk_records::RecoveredState;
use orchidvalve_control_plane::node::Disk;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

#[derive(Debug)]
struct Contents {
    records: VecDeque<(u64, Vec<u8>)>,
    next: u64,
    durable: u64,
    released: u64,
    /// Released records are dropped in groups of this many positions.
    granularity: u64,
    /// Planted bug: a record is reported as durable as soon as it is appended.
    lies: bool,
}

/// A handle to the disk, shared by the state machine and the simulation.
#[derive(Clone, Debug)]
pub struct SimulatedDisk(Rc<RefCell<Contents>>);

impl Disk for SimulatedDisk {
    fn append(&mut self, payload: Vec<u8>) -> u64 {
        let mut contents = self.0.borrow_mut();
        let position = contents.next;
        contents.next += 1;
        contents.records.push_back((position, payload));
        position
    }

    fn release_before(&mut self, position: u64) {
        let mut contents = self.0.borrow_mut();
        contents.released = contents.released.max(position);
        contents.drop_released();
    }
}

impl Contents {
    /// Drops released records that are durable, in groups of `granularity`, as the ring of files does.
    fn drop_released(&mut self) {
        let limit = self.released.min(self.durable) / self.granularity * self.granularity;
        while self.records.front().is_some_and(|(position, _)| *position < limit) {
            self.records.pop_front();
        }
    }
}

impl SimulatedDisk {
    pub fn new(granularity: u64, lies: bool) -> SimulatedDisk {
        let records = VecDeque::new();
        let contents = Contents { records, next: 1, durable: 0, released: 0, granularity, lies };
        SimulatedDisk(Rc::new(RefCell::new(contents)))
    }

    /// Returns the position of the latest record.
    pub fn end(&self) -> u64 {
        self.0.borrow().next - 1
    }

    /// Returns the durable position that is reported to the state machine.
    pub fn reported_durable(&self) -> u64 {
        let contents = self.0.borrow();
        if contents.lies { contents.next - 1 } else { contents.durable }
    }

    pub fn has_pending(&self) -> bool {
        let contents = self.0.borrow();
        contents.durable + 1 < contents.next
    }

    /// Completes a sync that began when `through` was the position of the latest record.
    pub fn synced(&self, through: u64) {
        let mut contents = self.0.borrow_mut();
        contents.durable = contents.durable.max(through.min(contents.next - 1));
        contents.drop_released();
    }

    /// Returns the number of records held and their size in bytes.
    pub fn usage(&self) -> (usize, usize) {
        let contents = self.0.borrow();
        (contents.records.len(), contents.records.iter().map(|(_, payload)| payload.len()).sum())
    }

    /// Drops records that are not durable; with a probability of 0.3, some of them survive because they were written already.
    pub fn crash(&self, random: &mut Pcg64Mcg) {
        let mut contents = self.0.borrow_mut();
        let pending = contents.next - 1 - contents.durable;
        let written = if random.random_bool(0.3) { random.random_range(0..=pending) } else { 0 };
        let kept = contents.durable + written;
        contents.records.retain(|(position, _)| *position <= kept);
        contents.durable = kept;
        contents.next = kept + 1;
        contents.drop_released();
    }

    /// Returns the positions and payloads of all records held.
    pub fn records(&self) -> Vec<(u64, Vec<u8>)> {
        self.0.borrow().records.iter().cloned().collect()
    }

    pub fn recover(&self) -> RecoveredState {
        let mut recovered = RecoveredState::default();
        for (position, payload) in &self.0.borrow().records {
            recovered.apply_record(*position, payload);
        }
        recovered
    }
}
