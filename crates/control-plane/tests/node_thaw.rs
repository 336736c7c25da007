//! A process that was suspended sets its clock before it handles any event that arrived meanwhile.

mod single_node;

use orchidvalve_consensus::{MemberStatus, Message};
use orchidvalve_control_plane::node::{ControlNode, NodeOutput, RequestNumber};
use orchidvalve_control_plane::peer_messages::{HeadRequest, PeerMessage, RequestOutcome};
use orchidvalve_control_state::Change;
use orchidvalve_protocol::frames::encode;
use single_node::{NumberingDisk, head_of_three, member};

const START: u64 = 1_000;
/// Longer than any earlier confirmation remains valid.
const FREEZE_MS: u64 = 20_000;

/// Returns the head of three nodes, ready for messages and requests at `START`.
fn head() -> ControlNode<NumberingDisk> {
    let mut control_node = head_of_three(true, START);
    control_node.tick(START);
    control_node
}

/// Returns the number of the latest ping that was sent.
fn last_ping(control_node: &mut ControlNode<NumberingDisk>) -> u64 {
    let number = |event: NodeOutput| match event {
        NodeOutput::Send { message: PeerMessage::Agreement(Message::Ping { number, .. }), .. } => {
            Some(number)
        }
        _ => None,
    };
    control_node.take_outputs().into_iter().filter_map(number).last().expect("a ping")
}

fn respond(control_node: &mut ControlNode<NumberingDisk>, from: u8, number: u64) {
    let status = MemberStatus { caught_up: true, ..MemberStatus::default() };
    control_node.agreement_message(member(from), Message::Pong { number, epoch: 1, status });
}

#[test]
fn a_thawed_node_has_no_quorum_before_it_handles_what_has_arrived() {
    let mut control_node = head();
    let number = last_ping(&mut control_node);
    respond(&mut control_node, 2, number);
    assert!(control_node.has_quorum());
    control_node.advance_clock(START + FREEZE_MS);
    assert!(!control_node.has_quorum());
    // A response from before the freeze was waiting, too.
    respond(&mut control_node, 3, number);
    assert!(!control_node.has_quorum());
}

#[test]
fn a_thawed_head_decides_no_waiting_request() {
    let mut control_node = head();
    let number = last_ping(&mut control_node);
    respond(&mut control_node, 2, number);
    let change = Change::NameVersion { model: "model".to_owned(), version: 2 };
    control_node.advance_clock(START + FREEZE_MS);
    control_node.submit(RequestNumber(1), HeadRequest::Change { change: encode(&change) });
    let outcome = |event: NodeOutput| match event {
        NodeOutput::RequestDecided { request: RequestNumber(1), outcome } => Some(outcome),
        _ => None,
    };
    let outcome = control_node.take_outputs().into_iter().find_map(outcome);
    assert_eq!(outcome, Some(RequestOutcome::Unknown));
}

#[test]
fn the_timeout_of_a_request_starts_when_it_is_handled() {
    let mut control_node = head();
    // No event arrived for a while, so the node has not ticked since.
    control_node.advance_clock(START + 90);
    control_node.read(RequestNumber(1));
    let is_unconfirmed =
        |event: &NodeOutput| matches!(event, NodeOutput::ReadUnconfirmed { request: RequestNumber(1) });
    control_node.tick(START + 90 + 899);
    assert!(!control_node.take_outputs().iter().any(is_unconfirmed));
    control_node.tick(START + 90 + 900);
    assert!(control_node.take_outputs().iter().any(is_unconfirmed));
}

/// The clock of a process never goes back, and an earlier time changes nothing.
#[test]
fn an_earlier_time_is_ignored() {
    let mut control_node = head();
    let number = last_ping(&mut control_node);
    respond(&mut control_node, 2, number);
    control_node.advance_clock(START - 500);
    assert!(control_node.has_quorum());
}
