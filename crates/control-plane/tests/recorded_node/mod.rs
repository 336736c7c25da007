//! The only node of a control plane, with a disk that keeps its records in memory.

#![allow(dead_code)]

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::rc::Rc;

use orchidvalve_consensus::{DurableState, View};
use orchidvalve_control_plane::disk_records::RecoveredState;
use orchidvalve_control_plane::node::{ControlNode, Disk, NodeConfig};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};

pub type Node = ControlNode<RecordingDisk>;

pub const START_MS: u64 = 1_000;

#[derive(Default)]
struct Records {
    held: VecDeque<(u64, Vec<u8>)>,
    last: u64,
    released_before: u64,
}

/// A disk on which records are durable as soon as they are written; released records are dropped.
#[derive(Clone, Default)]
pub struct RecordingDisk(Rc<RefCell<Records>>);

impl Disk for RecordingDisk {
    fn append(&mut self, payload: Vec<u8>) -> u64 {
        let mut records = self.0.borrow_mut();
        records.last += 1;
        let position = records.last;
        records.held.push_back((position, payload));
        position
    }

    fn release_before(&mut self, position: u64) {
        let mut records = self.0.borrow_mut();
        records.released_before = position;
        while records.held.pop_front_if(|(at, _)| *at < position).is_some() {}
    }
}

impl RecordingDisk {
    pub fn recover(&self) -> RecoveredState {
        let mut recovered = RecoveredState::default();
        for (position, payload) in &self.0.borrow().held {
            recovered.apply_record(*position, payload);
        }
        recovered
    }

    pub fn last(&self) -> u64 {
        self.0.borrow().last
    }

    pub fn released_before(&self) -> u64 {
        self.0.borrow().released_before
    }
}

/// Starts the only node of a control plane with tolerance 0.
pub fn start(recovered: RecoveredState, disk: RecordingDisk) -> Node {
    let me = MemberId { address: NodeAddress::new(Ipv4Addr::new(10, 0, 0, 1), 7000), disk: 1 };
    let view = View { epoch: 1, voters: vec![me], chain: vec![me] };
    let first = DurableState { view: Some(view), ..DurableState::default() };
    let recovered =
        RecoveredState { agreement: Some(recovered.agreement.clone().unwrap_or(first)), ..recovered };
    let identity = NodeConfig {
        me,
        bootstrap: false,
        seeds: Vec::new(),
        tolerance: 0,
        catch_up_ms: 4_400,
        incarnation: 7,
    };
    let mut control_node = ControlNode::new(identity, recovered, disk.clone(), START_MS);
    turn(&mut control_node, &disk);
    control_node
}

pub fn turn(control_node: &mut Node, disk: &RecordingDisk) {
    for _ in 0..3 {
        control_node.tick(START_MS);
        control_node.durable(disk.last());
        let _ = control_node.take_outputs();
    }
}
