//! A view that is learned from others proves no quorum: it may be an old one that was held up on its way.

mod single_node;

use orchidvalve_consensus::{MemberStatus, Message};
use orchidvalve_control_plane::node::{ControlNode, NodeOutput};
use orchidvalve_control_plane::peer_messages::PeerMessage;
use rstest::rstest;
use single_node::{NumberingDisk, head_of_three, member, view};

const START: u64 = 1_000;
/// Later than anything is relied on that was confirmed at the start.
const CUT_OFF_MS: u64 = 5_000;
/// Position behind all records of these tests.
const ALL_RECORDS: u64 = 100;

/// Numbers of the pings of an epoch that were sent.
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

/// A node that was cut off hears of view 2 when the cut has ended, while the others are in view 3.
#[rstest]
#[case::of_the_others_view(2, true)]
#[case::of_an_old_view(3, false)]
fn a_view_that_comes_late_proves_no_quorum(#[case] epoch_of_the_others: u64, #[case] expected: bool) {
    let mut control_node = head_of_three(true, START);
    control_node.tick(START);
    let healed_at = START + CUT_OFF_MS;
    control_node.advance_clock(healed_at);
    assert!(!control_node.has_quorum());
    control_node.agreement_message(member(2), Message::Decided { view: view(2, &[1, 2, 3]) });
    control_node.durable(ALL_RECORDS);
    assert_eq!(control_node.epoch(), 2);
    assert!(!control_node.has_quorum(), "nobody has answered a ping in it");
    control_node.tick(healed_at + 1);
    let pings = pings(&mut control_node, 2);
    pong(&mut control_node, *pings.last().expect("a ping"), epoch_of_the_others);
    assert_eq!(control_node.has_quorum(), expected);
}

/// In touch before, the node stays in touch while pings of the new view are under way.
#[test]
fn a_node_in_touch_stays_in_touch_over_a_change_of_views() {
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
