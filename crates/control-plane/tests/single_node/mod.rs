//! A single control node driven directly by a test: its members, its disk and its start from recovered state.

#![allow(dead_code)]

use std::net::Ipv4Addr;

use orchidvalve_consensus::{DurableState, View};
use orchidvalve_control_plane::disk_records::RecoveredState;
use orchidvalve_control_plane::node::{ControlNode, Disk, NodeConfig};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};

/// A disk that only numbers its records; the test decides when they are durable.
#[derive(Default)]
pub struct NumberingDisk {
    position: u64,
}

impl Disk for NumberingDisk {
    fn append(&mut self, _: Vec<u8>) -> u64 {
        self.position += 1;
        self.position
    }

    fn release_before(&mut self, _: u64) {}
}

pub fn member(number: u8) -> MemberId {
    MemberId { address: NodeAddress::new(Ipv4Addr::new(10, 0, 0, number), 7000), disk: u64::from(number) }
}

/// A view with the voters 1, 2 and 3.
pub fn view(epoch: u64, chain: &[u8]) -> View {
    View { epoch, voters: [1, 2, 3].map(member).to_vec(), chain: chain.iter().map(|m| member(*m)).collect() }
}

/// Starts machine 1 at `now` as the head of three machines in their first view. `complete` says whether its disk holds
/// all entries.
pub fn head_of_three(complete: bool, now: u64) -> ControlNode<NumberingDisk> {
    let identity = NodeConfig {
        me: member(1),
        bootstrap: false,
        seeds: Vec::new(),
        tolerance: 1,
        catch_up_ms: 4_400,
        incarnation: 7,
    };
    let agreement = DurableState { view: Some(view(1, &[1, 2, 3])), complete, ..DurableState::default() };
    let recovered = RecoveredState { agreement: Some(agreement), ..RecoveredState::default() };
    ControlNode::new(identity, recovered, NumberingDisk::default(), now)
}
