//! Retirement of a store node: the head decides, and refuses only after the view was confirmed.

mod single_node;

use orchidvalve_chain_replication::Message as ChainMessage;
use orchidvalve_consensus::{MemberStatus, Message};
use orchidvalve_control_plane::node::{
    ControlNode, NodeOutput, REQUEST_TIMEOUT_MS, RequestNumber, RequestOrigin, RetirementVerdict,
};
use orchidvalve_control_plane::peer_messages::{HeadRequest, PeerMessage, RequestOutcome};
use single_node::{NumberingDisk, head_of_three};

const REQUEST: RequestNumber = RequestNumber(41);

/// Returns the head of a chain of three that a majority has just confirmed.
fn confirmed_head() -> ControlNode<NumberingDisk> {
    let mut control_node = head_of_three(false, 1_000);
    control_node.tick(1_000);
    let status = MemberStatus { caught_up: true, ..MemberStatus::default() };
    for event in control_node.take_outputs() {
        if let NodeOutput::Send { to, message: PeerMessage::Agreement(Message::Ping { number, .. }) } = event
        {
            control_node.agreement_message(to, Message::Pong { number, epoch: 1, status });
        }
    }
    assert!(control_node.is_established_head());
    control_node
}

fn request_retirement(control_node: &mut ControlNode<NumberingDisk>) -> RequestOrigin {
    control_node.submit(REQUEST, HeadRequest::Retire { name: "store-1".to_owned() });
    let origin = control_node.take_outputs().into_iter().find_map(|event| match event {
        NodeOutput::RetirementRequested { origin, name } if name == "store-1" => Some(origin),
        _ => None,
    });
    origin.expect("the head has to decide")
}

/// Returns the reported outcomes, after all other nodes have confirmed the view if `others_confirm`.
fn outcomes(control_node: &mut ControlNode<NumberingDisk>, others_confirm: bool) -> Vec<RequestOutcome> {
    let mut outcomes = Vec::new();
    for event in control_node.take_outputs() {
        match event {
            NodeOutput::Send { to, message: PeerMessage::Chain(ChainMessage::Confirm { epoch, round }) }
                if others_confirm =>
            {
                control_node.chain_message(to, ChainMessage::Confirmed { epoch, round, committed: 0 });
            }
            NodeOutput::RequestDecided { request: REQUEST, outcome } => outcomes.push(outcome),
            _ => {}
        }
    }
    outcomes.extend(control_node.take_outputs().into_iter().filter_map(|event| match event {
        NodeOutput::RequestDecided { request: REQUEST, outcome } => Some(outcome),
        _ => None,
    }));
    outcomes
}

#[test]
fn a_refusal_is_reported_once_the_view_is_confirmed() {
    let mut control_node = confirmed_head();
    let origin = request_retirement(&mut control_node);
    control_node.decide_retirement(origin, "store-1", RetirementVerdict::TooFewRemain);
    let reported = outcomes(&mut control_node, true);
    assert!(matches!(reported[..], [RequestOutcome::Conflict { .. }]), "{reported:?}");
}

/// A partitioned node knows too few sessions and would refuse every retirement.
#[test]
fn a_partitioned_head_refuses_nothing() {
    let mut control_node = confirmed_head();
    let origin = request_retirement(&mut control_node);
    control_node.decide_retirement(origin, "store-1", RetirementVerdict::TooFewRemain);
    assert_eq!(outcomes(&mut control_node, false), []);
    control_node.tick(1_000 + REQUEST_TIMEOUT_MS);
    assert_eq!(outcomes(&mut control_node, false), [RequestOutcome::Unknown]);
}

#[test]
fn an_undetermined_verdict_leaves_the_outcome_unknown() {
    let mut control_node = confirmed_head();
    let origin = request_retirement(&mut control_node);
    control_node.decide_retirement(origin, "store-1", RetirementVerdict::Undetermined);
    assert_eq!(outcomes(&mut control_node, true), [RequestOutcome::Unknown]);
}

#[test]
fn a_former_head_refuses_nothing() {
    let mut control_node = confirmed_head();
    let origin = request_retirement(&mut control_node);
    control_node.tick(10_000);
    control_node.decide_retirement(origin, "store-1", RetirementVerdict::TooFewRemain);
    assert_eq!(outcomes(&mut control_node, true), [RequestOutcome::Unknown]);
}
