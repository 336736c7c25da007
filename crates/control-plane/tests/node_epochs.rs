//! The confirmations that count while a node knows a newer view than the one it acts in.

mod single_node;

use orchidvalve_consensus::{MemberStatus, Message};
use orchidvalve_control_plane::node::{ControlNode, NodeOutput};
use orchidvalve_control_plane::peer_messages::PeerMessage;
use single_node::{NumberingDisk, head_of_three, member, view};

fn head_of_view_one() -> ControlNode<NumberingDisk> {
    head_of_three(false, 1_000)
}

/// Returns the numbers of the pings that the node has sent.
fn pings(control_node: &mut ControlNode<NumberingDisk>) -> Vec<u64> {
    let number = |event: &NodeOutput| match event {
        NodeOutput::Send { message: PeerMessage::Agreement(Message::Ping { number, .. }), .. } => {
            Some(*number)
        }
        _ => None,
    };
    control_node.take_outputs().iter().filter_map(number).collect()
}

/// Responds to a ping for both other nodes, as members of `epoch`.
fn respond(control_node: &mut ControlNode<NumberingDisk>, number: u64, epoch: u64) {
    let status = MemberStatus { caught_up: true, ..MemberStatus::default() };
    for other in [2, 3] {
        let pong = Message::Pong { number, epoch, status };
        control_node.agreement_message(member(other), pong);
    }
}

#[test]
fn a_majority_in_the_current_view_counts() {
    let mut control_node = head_of_view_one();
    control_node.tick(1_000);
    let number = pings(&mut control_node)[0];
    respond(&mut control_node, number, 1);
    assert_eq!(control_node.quorum_confirmed_at(), Some(1_000));
}

#[test]
fn confirmations_of_a_view_that_is_not_entered_yet_do_not_count() {
    let mut control_node = head_of_view_one();
    control_node.tick(1_000);
    let _ = pings(&mut control_node);
    // After a network partition, another node sends the next view, whose record is not on the disk yet.
    control_node.agreement_message(member(2), Message::Decided { view: view(2, &[2, 3]) });
    control_node.tick(1_250);
    let number = *pings(&mut control_node).last().unwrap();
    respond(&mut control_node, number, 2);
    assert_eq!((control_node.epoch(), control_node.quorum_confirmed_at()), (1, None));
    control_node.durable(u64::MAX);
    assert_eq!(control_node.epoch(), 2);
    assert!(control_node.quorum_confirmed_at().is_some());
}
