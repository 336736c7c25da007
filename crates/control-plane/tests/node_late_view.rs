//! A view learned from other nodes does not confirm a quorum: it may be an old one that was delayed.

mod single_node;

use orchidvalve_consensus::{MemberStatus, Message};
use orchidvalve_control_plane::node::{ControlNode, NodeOutput};
use orchidvalve_control_plane::peer_messages::PeerMessage;
use rstest::rstest;
use single_node::{NumberingDisk, head_of_three, member, view};

const START: u64 = 1_000;
/// Longer than any confirmation from the start remains valid.
const PARTITION_MS: u64 = 5_000;
/// A disk position after all records of these tests.
const ALL_RECORDS: u64 = 100;

/// Returns the numbers of the pings sent for an epoch.
fn pings(control_node: &mut ControlNode<NumberingDisk>, of_epoch: u64) -> Vec<u64> {
    let number = |output: NodeOutput| match output {
        NodeOutput::Send { message: PeerMessage::Agreement(Message::Ping { number, epoch }), .. } => {
            (epoch == of_epoch).then_some(number)
        }
        _ => None,
    };
    control_node.take_outputs().into_iter().filter_map(number).collect()
}

fn pong(control_node: &mut ControlNode<NumberingDisk>, number: u64, epoch: u64) {
    let status = MemberStatus { caught_up: true, ..MemberStatus::default() };
    control_node.agreement_message(member(2), Message::Pong { number, epoch, status });
}

/// A partitioned node learns view 2 after the partition has ended, while the other nodes are in view 2 or already in view 3.
#[rstest]
#[case::the_others_are_in_that_view(2, true)]
#[case::the_others_are_in_a_later_view(3, false)]
fn a_late_view_does_not_confirm_a_quorum(#[case] epoch_of_the_others: u64, #[case] expected: bool) {
    let mut control_node = head_of_three(true, START);
    control_node.tick(START);
    let healed_at = START + PARTITION_MS;
    control_node.advance_clock(healed_at);
    assert!(!control_node.has_quorum());
    control_node.agreement_message(member(2), Message::Decided { view: view(2, &[1, 2, 3]) });
    control_node.durable(ALL_RECORDS);
    assert_eq!(control_node.epoch(), 2);
    assert!(!control_node.has_quorum(), "no ping of this view was answered");
    control_node.tick(healed_at + 1);
    let pings = pings(&mut control_node, 2);
    pong(&mut control_node, *pings.last().expect("a ping"), epoch_of_the_others);
    assert_eq!(control_node.has_quorum(), expected);
}

/// A node that had a quorum keeps it while pings of the new view are in flight.
#[test]
fn a_node_keeps_its_quorum_during_a_change_of_views() {
    let mut control_node = head_of_three(true, START);
    control_node.tick(START);
    control_node.link_up(member(2));
    let number = *pings(&mut control_node, 1).last().expect("a ping");
    pong(&mut control_node, number, 1);
    control_node.tick(START + 200);
    let confirmed = control_node.quorum_confirmed_at();
    assert!(control_node.has_quorum(), "{confirmed:?}");
    control_node.agreement_message(member(2), Message::Decided { view: view(2, &[1, 2, 3]) });
    control_node.durable(ALL_RECORDS);
    assert_eq!(control_node.epoch(), 2);
    assert!(control_node.has_quorum());
}
