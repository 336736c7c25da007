//! How the first view and the following ones are decided, step by step.

use orchidvalve_consensus::timing::{
    FAILURE_TIMEOUT, PING_INTERVAL, PROPOSER_STAGGER, REPLACEMENT_DELAY, SEED_WAIT,
};
use orchidvalve_consensus::{Agreement, DurableState, Message, Output, Timing};
use rstest::rstest;

mod support;

use support::network::Network;
use support::{addresses, ballot, member, members, sent_to, settle, started, view};

/// Three members in view 1 that have run long enough to count each other as alive.
fn three_members() -> Network {
    let mut network = Network::new();
    let all = members(3);
    for me in &all {
        network.add(*me, started(*me, &view(1, &all, &all)));
    }
    network.run(FAILURE_TIMEOUT + PING_INTERVAL);
    network
}

fn with_empty_disk(machine: u8, bootstrap: bool) -> Agreement {
    Agreement::new(member(machine, 1), bootstrap, addresses(3), None)
}

#[test]
fn three_seeds_decide_the_first_view_at_once() {
    let mut network = Network::new();
    for machine in 1..=3 {
        network.add(member(machine, 1), with_empty_disk(machine, true));
    }
    network.run(50);
    let expected = view(1, &members(3), &members(3));
    assert_eq!(network.changes.len(), 3);
    assert!(network.changes.iter().all(|(_, change)| *change == expected));
}

#[test]
fn two_of_three_seeds_wait_and_then_decide_without_the_third() {
    let mut network = Network::new();
    network.add(member(1, 1), with_empty_disk(1, true));
    network.add(member(3, 1), with_empty_disk(3, true));
    network.run(SEED_WAIT - 1);
    assert!(network.changes.is_empty());
    network.run(50);
    let two = [member(1, 1), member(3, 1)];
    assert_eq!(network.view(member(3, 1)), view(1, &two, &two));
}

#[test]
fn one_of_three_seeds_decides_nothing() {
    let mut network = Network::new();
    network.add(member(1, 1), with_empty_disk(1, true));
    network.run(5_000);
    assert_eq!(network.epoch(member(1, 1)), 0);
}

#[test]
fn seeds_with_empty_disks_that_do_not_bootstrap_decide_nothing() {
    let mut network = Network::new();
    network.add(member(1, 1), with_empty_disk(1, true));
    network.add(member(2, 1), with_empty_disk(2, false));
    network.add(member(3, 1), with_empty_disk(3, false));
    network.run(5_000);
    assert!((1..=3).all(|machine| network.epoch(member(machine, 1)) == 0));
}

#[test]
fn process_with_an_empty_disk_learns_the_view_of_a_running_system() {
    let mut network = three_members();
    network.add(member(4, 1), with_empty_disk(4, false));
    network.run(10);
    assert_eq!(network.view(member(4, 1)), view(1, &members(3), &members(3)));
}

#[test]
fn a_seed_that_met_a_running_system_does_not_vote_on_the_first_view() {
    let mut agreement = with_empty_disk(1, true);
    let mut outputs = Vec::new();
    agreement.tick(1_000, &mut outputs);
    let hello = Message::Hello { member: member(2, 1), bootstrap: false, epoch: 3 };
    agreement.message_received(1_001, member(2, 1), hello, &mut outputs);
    outputs.clear();
    let prepare = Message::Prepare { epoch: 1, ballot: ballot(1, member(3, 1)) };
    agreement.message_received(1_002, member(3, 1), prepare, &mut outputs);
    assert_eq!(outputs, []);
}

#[rstest]
#[case::head(1)]
#[case::middle(2)]
#[case::tail(3)]
fn a_dead_member_leaves_the_chain_but_stays_a_voter(#[case] dead: u8) {
    let mut network = three_members();
    let kept: Vec<_> =
        members(3).into_iter().filter(|entry| entry.address != member(dead, 1).address).collect();
    network.remove(member(dead, 1));
    network.run(FAILURE_TIMEOUT - PING_INTERVAL - 5);
    assert_eq!(network.epoch(kept[0]), 1);
    network.run(2 * PING_INTERVAL);
    for survivor in &kept {
        assert_eq!(network.view(*survivor), view(2, &members(3), &kept));
    }
}

#[test]
fn second_voter_in_rank_proposes_after_the_stagger_if_the_first_does_not() {
    let mut network = three_members();
    network.remove(member(3, 1));
    // The proposals of the head are lost on the way to the middle, which still counts the head as alive.
    network.run(FAILURE_TIMEOUT - PING_INTERVAL);
    let before = network.now;
    network.partition(member(1, 1), member(3, 1));
    network.run(2 * PING_INTERVAL + PROPOSER_STAGGER);
    assert!(network.now - before < FAILURE_TIMEOUT + PROPOSER_STAGGER);
    assert_eq!(network.epoch(member(2, 1)), 2);
}

#[test]
fn nothing_is_proposed_without_a_majority() {
    let mut network = three_members();
    network.remove(member(1, 1));
    network.remove(member(2, 1));
    network.run(5_000);
    assert_eq!(network.epoch(member(3, 1)), 1);
    let disk = &network.nodes[&member(3, 1)];
    assert_eq!(disk.view(), Some(&view(1, &members(3), &members(3))));
}

#[test]
fn member_that_has_not_caught_up_does_not_continue_the_chain_alone() {
    let mut network = Network::new();
    let all = members(3);
    let chain = [all[0], all[1]];
    let current = view(4, &all, &chain);
    network.add(all[0], started(all[0], &current));
    network.add(all[2], started(all[2], &current));
    let state = DurableState { view: Some(current), complete: false, ..DurableState::default() };
    network.add(all[1], Agreement::new(all[1], false, addresses(3), Some(state)));
    network.run(FAILURE_TIMEOUT + PING_INTERVAL);
    network.remove(all[0]);
    network.run(5_000);
    assert_eq!(network.epoch(all[1]), 4, "the chain would have lost acknowledged entries");
    network.drive(all[1], |agreement, _, outputs| agreement.member_caught_up(all[1], 4, outputs));
    network.run(1_000);
    assert_eq!(network.view(all[1]).chain, [all[1]]);
}

#[test]
fn a_returning_voter_is_appended_once_it_is_ready() {
    let mut network = three_members();
    network.remove(member(1, 1));
    network.run(1_500);
    let second = view(2, &members(3), &members(3)[1..]);
    assert_eq!(network.view(member(2, 1)), second);
    network.add(member(1, 1), started(member(1, 1), &view(1, &members(3), &members(3))));
    network.run(2_000);
    assert_eq!(
        network.view(member(1, 1)),
        second,
        "the returning voter knows the view but has not caught up"
    );
    network.drive(member(1, 1), |agreement, _, outputs| agreement.member_caught_up(member(1, 1), 2, outputs));
    network.run(1_000);
    let chain = [member(2, 1), member(3, 1), member(1, 1)];
    assert_eq!(network.view(member(1, 1)), view(3, &members(3), &chain));
}

#[test]
fn report_of_the_tail_that_a_member_has_caught_up_is_sufficient() {
    let mut network = three_members();
    network.remove(member(1, 1));
    network.run(1_500);
    network.add(member(1, 1), started(member(1, 1), &view(1, &members(3), &members(3))));
    network.run(1_000);
    network.drive(member(3, 1), |agreement, _, outputs| agreement.member_caught_up(member(1, 1), 2, outputs));
    network.run(2 * PROPOSER_STAGGER);
    assert_eq!(network.view(member(1, 1)).chain.last(), Some(&member(1, 1)));
}

#[test]
fn caught_up_report_for_another_epoch_is_ignored() {
    let mut network = three_members();
    network.remove(member(1, 1));
    network.run(1_500);
    network.add(member(1, 1), started(member(1, 1), &view(1, &members(3), &members(3))));
    network.run(1_000);
    for epoch in [1, 3] {
        network.drive(member(3, 1), |agreement, _, outputs| {
            agreement.member_caught_up(member(1, 1), epoch, outputs);
        });
    }
    network.run(3_000);
    assert_eq!(network.epoch(member(3, 1)), 2);
}

/// Adds a caught-up learner that all members know.
fn add_learner(network: &mut Network, learner: orchidvalve_protocol::identity::MemberId) {
    network.add(learner, Agreement::new(learner, false, addresses(3), None));
    announce_learners(network, &[learner]);
}

fn announce_learners(network: &mut Network, learners: &[orchidvalve_protocol::identity::MemberId]) {
    let all: Vec<_> = network.nodes.keys().copied().collect();
    for me in all {
        network.drive(me, |agreement, _, _| agreement.set_learners(learners));
    }
    network.run(500);
    for learner in learners {
        network.drive(*learner, |agreement, _, outputs| {
            let epoch = agreement.epoch();
            agreement.member_caught_up(*learner, epoch, outputs);
        });
    }
}

#[test]
fn machine_that_lost_its_disk_replaces_its_old_identity() {
    let mut network = three_members();
    network.remove(member(2, 1));
    network.run(1_500);
    add_learner(&mut network, member(2, 2));
    network.run(1_000);
    let voters = [member(1, 1), member(3, 1), member(2, 2)];
    assert_eq!(network.view(member(2, 2)), view(3, &voters, &voters));
}

#[test]
fn learner_at_another_address_replaces_a_dead_voter_only_after_the_delay() {
    let mut network = three_members();
    network.remove(member(2, 1));
    network.run(FAILURE_TIMEOUT + PING_INTERVAL);
    add_learner(&mut network, member(4, 1));
    network.run(REPLACEMENT_DELAY - 900);
    assert_eq!(network.epoch(member(1, 1)), 2);
    network.run(1_500);
    let voters = [member(1, 1), member(3, 1), member(4, 1)];
    assert_eq!(network.view(member(1, 1)), view(3, &voters, &voters));
}

#[test]
fn a_single_learner_does_not_make_the_number_of_voters_even() {
    let mut network = three_members();
    add_learner(&mut network, member(4, 1));
    network.run(5_000);
    assert_eq!(network.epoch(member(1, 1)), 1);
}

#[test]
fn two_learners_at_the_same_time_become_voters_together() {
    let mut network = three_members();
    network.add(member(4, 1), Agreement::new(member(4, 1), false, addresses(3), None));
    network.add(member(5, 1), Agreement::new(member(5, 1), false, addresses(3), None));
    announce_learners(&mut network, &[member(4, 1), member(5, 1)]);
    network.run(1_000);
    assert!((1..=5).all(|machine| network.view(member(machine, 1)) == view(2, &members(5), &members(5))));
}

#[test]
fn a_single_learner_makes_an_even_number_odd() {
    let mut network = Network::new();
    let two = members(2);
    for me in &two {
        network.add(*me, started(*me, &view(1, &two, &two)));
    }
    network.run(FAILURE_TIMEOUT + PING_INTERVAL);
    add_learner(&mut network, member(3, 1));
    network.run(1_000);
    assert_eq!(network.view(member(3, 1)), view(2, &members(3), &members(3)));
}

#[test]
fn one_way_partition_counts_as_dead_and_the_view_settles() {
    let mut network = three_members();
    network.partition(member(2, 1), member(1, 1));
    network.run(30_000);
    let changes = network.changes.len();
    network.run(10_000);
    assert!(network.epoch(member(3, 1)) > 1);
    assert_eq!(network.changes.len(), changes);
}

#[test]
fn voter_replies_to_an_older_instance_with_the_decided_view() {
    let current = view(5, &members(3), &members(3));
    let mut agreement = started(member(1, 1), &current);
    let prepare = Message::Prepare { epoch: 5, ballot: ballot(9, member(2, 1)) };
    let mut outputs = Vec::new();
    agreement.message_received(1_000, member(2, 1), prepare, &mut outputs);
    assert_eq!(sent_to(&outputs, member(2, 1)), [Message::Decided { view: current }]);
}

#[test]
fn promise_is_sent_only_after_it_is_durable() {
    let mut agreement = started(member(1, 1), &view(1, &members(3), &members(3)));
    let prepare = Message::Prepare { epoch: 2, ballot: ballot(1, member(2, 1)) };
    let mut outputs = Vec::new();
    agreement.message_received(1_000, member(2, 1), prepare.clone(), &mut outputs);
    agreement.message_received(1_001, member(2, 1), prepare, &mut outputs);
    let [Output::Persist { write_number, state }] = &outputs[..] else { panic!("{outputs:?}") };
    assert_eq!(state.acceptor.promised, Some(ballot(1, member(2, 1))));
    let mut released = Vec::new();
    agreement.write_durable(*write_number, &mut released);
    let promise = Message::Promise { epoch: 2, ballot: ballot(1, member(2, 1)), accepted: None };
    assert_eq!(sent_to(&released, member(2, 1)), [promise.clone(), promise]);
}

#[test]
fn view_is_reported_only_after_it_is_durable() {
    let mut agreement = started(member(1, 1), &view(1, &members(3), &members(3)));
    let next = view(2, &members(3), &members(2));
    let mut outputs = Vec::new();
    agreement.message_received(1_000, member(2, 1), Message::Decided { view: next.clone() }, &mut outputs);
    assert!(!outputs.iter().any(|output| matches!(output, Output::ViewChanged(_))));
    let settled = settle(&mut agreement, outputs);
    assert_eq!(settled.last(), Some(&Output::ViewChanged(next)));
}

#[test]
fn lower_ballot_is_rejected_with_the_promised_one() {
    let mut agreement = started(member(1, 1), &view(1, &members(3), &members(3)));
    let mut outputs = Vec::new();
    let high = ballot(4, member(2, 1));
    let low = ballot(3, member(3, 1));
    agreement.message_received(
        1_000,
        member(2, 1),
        Message::Prepare { epoch: 2, ballot: high },
        &mut outputs,
    );
    agreement.message_received(1_000, member(3, 1), Message::Prepare { epoch: 2, ballot: low }, &mut outputs);
    let nack = Message::Nack { epoch: 2, ballot: low, promised: high };
    assert_eq!(sent_to(&outputs, member(3, 1)), [nack]);
}

#[test]
fn a_view_that_keeps_no_member_of_the_chain_is_not_accepted() {
    let current = view(1, &members(3), &members(2));
    let mut agreement = started(member(1, 1), &current);
    let other = view(2, &members(3), &members(3)[2..]);
    let accept = Message::Accept { ballot: ballot(1, member(2, 1)), view: other };
    let mut outputs = Vec::new();
    agreement.message_received(1_000, member(2, 1), accept, &mut outputs);
    assert_eq!(outputs, []);
}

/// Runs until `done`, for at most `limit` milliseconds; returns the time it took. Every 50 ms all hosts report that
/// their member has caught up.
fn run_caught_up_until(network: &mut Network, limit: u64, done: impl Fn(&Network) -> bool) -> u64 {
    let start = network.now;
    while network.now < start + limit && !done(network) {
        for me in members(3) {
            network.drive(me, |agreement, _, outputs| {
                let epoch = agreement.epoch();
                agreement.member_caught_up(me, epoch, outputs);
            });
        }
        network.run(50);
    }
    network.now - start
}

#[test]
fn partition_of_two_members_causes_one_view_change_and_another_when_it_heals() {
    let mut network = three_members();
    network.partition(member(2, 1), member(3, 1));
    network.partition(member(3, 1), member(2, 1));
    run_caught_up_until(&mut network, 60_000, |_| false);
    let settled = network.view(member(1, 1));
    assert_eq!((settled.epoch, settled.chain.len()), (2, 2), "{settled:?}");
    network.heal();
    let time = run_caught_up_until(&mut network, 5_000, |network| network.epoch(member(1, 1)) == 3);
    assert!(time < 2 * FAILURE_TIMEOUT, "{time} ms");
    assert_eq!(network.view(member(1, 1)).chain.len(), 3);
}

#[test]
fn flapping_member_is_kept_out_of_the_chain_for_a_bounded_time() {
    let mut network = three_members();
    let is_complete = |network: &Network| network.view(member(1, 1)).chain.len() == 3;
    let limit = Timing::default().damping_limit;
    for round in 0..6 {
        for other in &members(3)[..2] {
            network.partition(*other, member(3, 1));
            network.partition(member(3, 1), *other);
        }
        let removal = run_caught_up_until(&mut network, 5_000, |network| !is_complete(network));
        network.heal();
        let time = run_caught_up_until(&mut network, 60_000, is_complete);
        println!("round {round}: removed after {removal} ms, back after {time} ms");
        let is_suppressed = time >= limit - PING_INTERVAL;
        assert_eq!(is_suppressed, round > 0, "round {round}: {time} ms");
        assert!(time <= limit + 3 * PING_INTERVAL, "round {round}: {time} ms");
    }
}

#[test]
fn voter_outside_the_chain_does_not_remove_members_that_only_it_cannot_reach() {
    let mut network = Network::new();
    let all = members(3);
    for me in &all {
        network.add(*me, started(*me, &view(1, &all, &all[..2])));
    }
    network.partition(all[1], all[2]);
    network.run(10_000);
    assert_eq!(network.epoch(all[0]), 1);
}
