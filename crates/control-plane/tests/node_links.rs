//! The behaviour of a control node when a link to another one is established.

use std::net::Ipv4Addr;

use orchidvalve_consensus::{DurableState, MemberStatus, Message, View};
use orchidvalve_control_plane::disk_records::RecoveredState;
use orchidvalve_control_plane::node::{ControlNode, Disk, NodeConfig, NodeOutput};
use orchidvalve_control_plane::peer_messages::PeerMessage;
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use rstest::rstest;

const START: u64 = 1_000;

struct NoDisk;

impl Disk for NoDisk {
    fn append(&mut self, _: Vec<u8>) -> u64 {
        1
    }

    fn release_before(&mut self, _: u64) {}
}

fn member(number: u8) -> MemberId {
    MemberId { address: NodeAddress::new(Ipv4Addr::new(10, 0, 0, number), 7000), disk: u64::from(number) }
}

/// Returns node 1 right after its start. With a view on its disk it is the head.
fn started(view: Option<View>) -> ControlNode<NoDisk> {
    let seeds = [1, 2, 3].map(|m| member(m).address).to_vec();
    let config = NodeConfig {
        me: member(1),
        bootstrap: false,
        seeds,
        tolerance: 1,
        catch_up_ms: 4_400,
        incarnation: 7,
    };
    let agreement = view.map(|view| DurableState { view: Some(view), ..DurableState::default() });
    let recovered = RecoveredState { agreement, ..RecoveredState::default() };
    ControlNode::new(config, recovered, NoDisk, START)
}

fn status(unsettled: bool) -> MemberStatus {
    MemberStatus { caught_up: true, unsettled, ..MemberStatus::default() }
}

fn view_of_three() -> View {
    let members = [1, 2, 3].map(member).to_vec();
    View { epoch: 1, voters: members.clone(), chain: members }
}

/// Returns the messages of the agreement that were sent to `to`.
fn sent_to(control_node: &mut ControlNode<NoDisk>, to: MemberId) -> Vec<Message> {
    let message = |event: NodeOutput| match event {
        NodeOutput::Send { to: receiver, message: PeerMessage::Agreement(message) } if receiver == to => {
            Some(message)
        }
        _ => None,
    };
    control_node.take_outputs().into_iter().filter_map(message).collect()
}

/// A starting node sends pings before any link is up: they are lost, and the next round is due 200 ms later.
#[rstest]
#[case(2)]
#[case(3)]
fn a_starting_node_has_a_quorum_once_one_linked_node_responds(#[case] other: u8) {
    let other = member(other);
    let mut control_node = started(Some(view_of_three()));
    control_node.tick(START);
    let _ = control_node.take_outputs();
    control_node.tick(START + 7);
    assert!(sent_to(&mut control_node, other).is_empty());
    assert!(!control_node.has_quorum());

    control_node.link_up(other);
    let sent = sent_to(&mut control_node, other);
    let [Message::Ping { number, epoch: 1 }] = sent[..] else { panic!("no ping: {sent:?}") };
    let pong = Message::Pong { number, epoch: 1, status: status(false) };
    control_node.agreement_message(other, pong);
    assert!(control_node.has_quorum());
    assert_eq!(control_node.quorum_confirmed_at(), Some(START + 7));
}

/// A response that reports a later view, or a view that is being decided, confirms nothing.
#[rstest]
#[case::later_view(2, false)]
#[case::view_being_decided(1, true)]
fn the_response_to_a_ping_on_a_new_link_is_checked(#[case] epoch: u64, #[case] unsettled: bool) {
    let mut control_node = started(Some(view_of_three()));
    control_node.tick(START);
    let _ = control_node.take_outputs();
    control_node.link_up(member(2));
    let sent = sent_to(&mut control_node, member(2));
    let [Message::Ping { number, .. }] = sent[..] else { panic!("no ping: {sent:?}") };
    control_node.agreement_message(member(2), Message::Pong { number, epoch, status: status(unsettled) });
    assert_eq!(control_node.quorum_confirmed_at(), None);
    assert!(!control_node.has_quorum());
}

/// Before the first view, the hello of the agreement on the new link is sufficient.
#[test]
fn no_ping_is_sent_on_a_new_link_without_a_view() {
    let mut control_node = started(None);
    control_node.tick(START);
    let _ = control_node.take_outputs();
    control_node.link_up(member(2));
    assert!(sent_to(&mut control_node, member(2)).is_empty());
}
