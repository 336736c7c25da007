//! Shared test helpers: members, and a host that drives one `Agreement` and makes its writes durable at once.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::net::Ipv4Addr;

use orchidvalve_consensus::{Agreement, Ballot, DurableState, MemberStatus, Message, Output, View};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};

pub mod network;
pub mod simulation;
pub mod site;

pub fn address(machine: u8) -> NodeAddress {
    NodeAddress::new(Ipv4Addr::new(10, 0, 0, machine), 7000)
}

/// The member at `machine` with the disk number `disk`.
pub fn member(machine: u8, disk: u64) -> MemberId {
    MemberId { address: address(machine), disk }
}

/// The members at machines 1, 2, ... with their first disk.
pub fn members(count: u8) -> Vec<MemberId> {
    (1..=count).map(|machine| member(machine, 1)).collect()
}

pub fn addresses(count: u8) -> Vec<NodeAddress> {
    (1..=count).map(address).collect()
}

pub fn view(epoch: u64, voters: &[MemberId], chain: &[MemberId]) -> View {
    View { epoch, voters: voters.to_vec(), chain: chain.to_vec() }
}

pub fn ballot(round: u32, proposer: MemberId) -> Ballot {
    Ballot { round, proposer }
}

/// A member that has recovered `view` and is complete.
pub fn started(me: MemberId, view: &View) -> Agreement {
    let state = DurableState { view: Some(view.clone()), complete: true, ..DurableState::default() };
    Agreement::new(me, false, addresses(3), Some(state))
}

/// The status of a complete member of the chain.
pub fn ready() -> MemberStatus {
    MemberStatus { caught_up: true, reaches_chain: true, ..MemberStatus::default() }
}

/// Makes all writes in `outputs` durable, and all writes that follow from them; returns the other outputs.
pub fn settle(agreement: &mut Agreement, outputs: Vec<Output>) -> Vec<Output> {
    let mut rest = Vec::new();
    let mut pending = outputs;
    while !pending.is_empty() {
        let mut next = Vec::new();
        for output in pending {
            match output {
                Output::Persist { write_number, .. } => agreement.write_durable(write_number, &mut next),
                output => rest.push(output),
            }
        }
        pending = next;
    }
    rest
}

/// Returns the messages to `to` among `outputs`.
pub fn sent_to(outputs: &[Output], to: MemberId) -> Vec<Message> {
    let message = |output: &Output| match output {
        Output::Send { to: receiver, message } if *receiver == to => Some(message.clone()),
        _ => None,
    };
    outputs.iter().filter_map(message).collect()
}
