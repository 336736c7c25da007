//! Confirmation of the epoch by a majority, and the behaviour after a freeze of the process.

use orchidvalve_consensus::timing::{FAILURE_TIMEOUT, PING_INTERVAL};
use orchidvalve_consensus::{Agreement, MemberStatus, Message, Output};
use orchidvalve_protocol::identity::MemberId;
use rstest::rstest;

mod support;

use support::network::Network;
use support::{ballot, member, members, ready, sent_to, settle, started, view};

fn ping_number(outputs: &[Output], to: MemberId) -> u64 {
    let number = |message: &Message| match message {
        Message::Ping { number, .. } => Some(*number),
        _ => None,
    };
    sent_to(outputs, to).iter().find_map(number).expect("no ping")
}

/// The first of three members, and the number of a ping that it sent at 1000.
fn pinging() -> (Agreement, u64) {
    let mut agreement = started(member(1, 1), &view(1, &members(3), &members(3)));
    let mut outputs = Vec::new();
    agreement.tick(1_000, &mut outputs);
    (agreement, ping_number(&outputs, member(2, 1)))
}

fn pong(number: u64) -> Message {
    Message::Pong { number, epoch: 1, status: ready() }
}

#[test]
fn reply_confirms_the_send_time_of_its_ping() {
    let (mut agreement, number) = pinging();
    assert_eq!(agreement.quorum_confirmed_at(), None);
    agreement.message_received(1_090, member(2, 1), pong(number), &mut Vec::new());
    assert_eq!(agreement.quorum_confirmed_at(), Some(1_000));
}

#[rstest]
#[case::unknown_number(|number| Message::Pong { number: number + 1, epoch: 1, status: ready() })]
#[case::older_epoch(|number| Message::Pong { number, epoch: 0, status: ready() })]
#[case::newer_epoch(|number| Message::Pong { number, epoch: 2, status: ready() })]
#[case::accepted_a_later_view(|number| {
    Message::Pong { number, epoch: 1, status: MemberStatus { unsettled: true, ..ready() } }
})]
fn reply_without_evidence_for_the_epoch_does_not_confirm_it(#[case] reply: fn(u64) -> Message) {
    let (mut agreement, number) = pinging();
    agreement.message_received(1_090, member(2, 1), reply(number), &mut Vec::new());
    assert_eq!(agreement.quorum_confirmed_at(), None);
}

#[test]
fn a_member_outside_the_voters_confirms_nothing() {
    let (mut agreement, number) = pinging();
    agreement.message_received(1_090, member(4, 1), pong(number), &mut Vec::new());
    agreement.message_received(1_090, member(2, 2), pong(number), &mut Vec::new());
    assert_eq!(agreement.quorum_confirmed_at(), None);
}

#[test]
fn process_that_accepted_a_view_does_not_confirm_the_epoch() {
    let (mut agreement, number) = pinging();
    let accept = Message::Accept { ballot: ballot(1, member(3, 1)), view: view(2, &members(3), &members(2)) };
    agreement.message_received(1_010, member(3, 1), accept, &mut Vec::new());
    agreement.message_received(1_090, member(2, 1), pong(number), &mut Vec::new());
    assert_eq!(agreement.quorum_confirmed_at(), None);
    agreement.message_received(1_095, member(3, 1), pong(number), &mut Vec::new());
    assert_eq!(agreement.quorum_confirmed_at(), Some(1_000));
}

#[test]
fn a_new_view_starts_without_confirmation() {
    let (mut agreement, number) = pinging();
    agreement.message_received(1_010, member(2, 1), pong(number), &mut Vec::new());
    let next = view(2, &members(3), &members(2));
    agreement.message_received(1_020, member(2, 1), Message::Decided { view: next }, &mut Vec::new());
    assert_eq!(agreement.quorum_confirmed_at(), None);
}

#[test]
fn confirm_now_pings_at_once() {
    let (mut agreement, _) = pinging();
    let mut outputs = Vec::new();
    agreement.confirm_now(1_050, &mut outputs);
    let number = ping_number(&outputs, member(3, 1));
    agreement.message_received(1_060, member(3, 1), pong(number), &mut Vec::new());
    assert_eq!(agreement.quorum_confirmed_at(), Some(1_050));
}

#[test]
fn a_single_voter_confirms_by_itself() {
    let alone = members(1);
    let mut agreement = started(alone[0], &view(1, &alone, &alone));
    agreement.tick(1_234, &mut Vec::new());
    assert_eq!(agreement.quorum_confirmed_at(), Some(1_234));
}

#[test]
fn accepted_view_is_decided_after_its_proposer_is_lost() {
    let mut network = Network::new();
    let all = members(3);
    for me in &all {
        network.add(*me, started(*me, &view(1, &all, &all)));
    }
    network.run(FAILURE_TIMEOUT + PING_INTERVAL);
    let next = view(2, &all, &all[..2]);
    let accept = Message::Accept { ballot: ballot(1, all[2]), view: next.clone() };
    network.drive(all[1], |agreement, now, outputs| agreement.message_received(now, all[2], accept, outputs));
    network.run(2_000);
    assert_eq!(network.view(all[0]), next);
    let confirmed_at = network.nodes[&all[0]].quorum_confirmed_at();
    assert!(confirmed_at.is_some_and(|at| at + PING_INTERVAL + 2 > network.now), "{confirmed_at:?}");
}

#[test]
fn thawed_process_counts_no_peer_as_dead_before_the_timeout_of_new_pings() {
    let mut agreement = started(member(1, 1), &view(1, &members(3), &members(3)));
    let mut outputs = Vec::new();
    for now in (1_000..3_000).step_by(100) {
        outputs.clear();
        agreement.tick(now, &mut outputs);
        let numbers: Vec<u64> = sent_to(&outputs, member(2, 1))
            .iter()
            .filter_map(
                |message| if let Message::Ping { number, .. } = message { Some(*number) } else { None },
            )
            .collect();
        for number in numbers {
            agreement.message_received(now, member(2, 1), pong(number), &mut Vec::new());
            agreement.message_received(now, member(3, 1), pong(number), &mut Vec::new());
        }
    }
    let thawed_at = 60_000;
    for now in (thawed_at..thawed_at + FAILURE_TIMEOUT).step_by(100) {
        outputs.clear();
        agreement.tick(now, &mut outputs);
        if let Some(number) = sent_to(&outputs, member(2, 1)).iter().find_map(|message| match message {
            Message::Ping { number, .. } => Some(*number),
            _ => None,
        }) {
            agreement.message_received(now, member(2, 1), pong(number), &mut Vec::new());
        }
        assert!(!outputs.iter().any(|output| matches!(output, Output::Persist { .. })), "proposal at {now}");
    }
    outputs.clear();
    agreement.tick(thawed_at + FAILURE_TIMEOUT, &mut outputs);
    let sent = settle(&mut agreement, outputs);
    let prepare = |message: &Message| matches!(message, Message::Prepare { epoch: 2, .. });
    assert!(sent_to(&sent, member(2, 1)).iter().any(prepare), "{sent:?}");
}

#[test]
fn reply_to_a_ping_from_before_the_freeze_is_ignored() {
    let (mut agreement, number) = pinging();
    agreement.message_received(60_000, member(2, 1), pong(number), &mut Vec::new());
    assert_eq!(agreement.quorum_confirmed_at(), None);
}

#[test]
fn ping_numbers_of_a_restarted_process_exceed_those_of_the_earlier_run() {
    let (_, first) = pinging();
    let mut restarted = started(member(1, 1), &view(1, &members(3), &members(3)));
    let mut outputs = Vec::new();
    restarted.tick(1_500, &mut outputs);
    assert!(ping_number(&outputs, member(2, 1)) > first);
}

/// Guards against a reply to a ping of an earlier start that was still in the peer's buffers. It arrives at the next
/// start, whose clock begins at the same time.
#[test]
fn reply_to_a_ping_of_an_earlier_start_is_ignored() {
    let start = |first_ping: u64| {
        let voters = members(3);
        let mut agreement = started(member(1, 1), &view(1, &voters, &voters)).with_first_ping(first_ping);
        let mut outputs = Vec::new();
        agreement.tick(1_000, &mut outputs);
        (agreement, ping_number(&outputs, member(2, 1)))
    };
    let (_, earlier) = start(0x51a3_0f62_9c4e_7b21);
    let (mut agreement, number) = start(0x2f90_c811_4d63_aa07);
    agreement.message_received(1_050, member(2, 1), pong(earlier), &mut Vec::new());
    assert_eq!(agreement.quorum_confirmed_at(), None);
    agreement.message_received(1_060, member(2, 1), pong(number), &mut Vec::new());
    assert_eq!(agreement.quorum_confirmed_at(), Some(1_000));
}

/// A host reports at each of its ticks that a member has caught up, for a standby as long as it is outside the chain.
#[rstest]
#[case::standby(member(4, 1), member(4, 1))]
#[case::a_member_of_the_chain(member(1, 1), member(1, 1))]
#[case::another_member(member(1, 1), member(4, 1))]
fn only_a_new_caught_up_report_makes_the_tick_due_at_once(#[case] me: MemberId, #[case] ready: MemberId) {
    let mut agreement = started(me, &view(1, &members(3), &members(3)));
    for turn in 0..3 {
        agreement.tick(1_000, &mut Vec::new());
        let waits_until = agreement.next_tick_at();
        assert!(waits_until > 1_000, "turn {turn}: nothing has happened");
        agreement.member_caught_up(ready, 1, &mut Vec::new());
        assert!(turn == 0 || agreement.next_tick_at() == waits_until, "turn {turn}: it was known");
    }
}
