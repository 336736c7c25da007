//! Repairs in virtual time: planned shutdowns, hanging disks, standbys, and the time until the next loss can be
//! tolerated.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use orchidvalve_consensus::timing::{FAILURE_TIMEOUT, PING_INTERVAL};
use orchidvalve_consensus::{Agreement, Message, Timing};
use orchidvalve_protocol::identity::MemberId;
use rstest::rstest;

mod support;

use support::site::Site;
use support::{member, members, sent_to, settle, started, view};

/// `bounds.catch-up-s` of the deployments, in milliseconds.
const CATCH_UP: [u64; 2] = [4_400, 6_000];

fn tolerate(losses: usize) -> Timing {
    Timing::new(CATCH_UP[0], losses + 1)
}

fn has_all_voters_running(site: &Site, members: usize) -> bool {
    let view = site.view();
    let runs = |voter: &MemberId| site.network.nodes.contains_key(voter);
    view.chain.len() == members && view.voters.len() == members && view.voters.iter().all(runs)
}

#[rstest]
#[case::head(1)]
#[case::middle(2)]
#[case::tail(3)]
fn leaving_member_is_replaced_before_it_ends(#[case] leaving: u8) {
    let mut site = Site::start(4, tolerate(1));
    let leaving = member(leaving, 1);
    assert!(!site.agreement(leaving).may_leave());
    site.agreement(leaving).set_leaving();
    let may_leave = |site: &Site| site.network.nodes[&leaving].may_leave();
    let time = site.run_until(2_000, may_leave);
    println!("may leave after {time} ms: {:?}", site.views());
    let at_leave = site.view();
    assert!(!at_leave.is_voter(leaving) && at_leave.in_chain(member(4, 1)), "{at_leave:?}");
    for pair in site.views().windows(2) {
        let kept = pair[1].chain.iter().filter(|member| pair[0].in_chain(**member)).count();
        assert!(kept >= 3, "complete copies fell below three: {pair:?}");
    }
    let durable = |me: &MemberId| site.network.nodes[me].epoch() == at_leave.epoch;
    assert!(at_leave.voters.iter().filter(|voter| durable(voter)).count() >= 2);
    site.lose(leaving);
    site.run(20_000);
    assert_eq!(site.view(), at_leave);
}

#[test]
fn leaving_member_that_waits_does_not_become_a_voter_again() {
    let mut site = Site::start(4, tolerate(1));
    site.agreement(member(1, 1)).set_leaving();
    site.run(20_000);
    assert!(!site.view().is_voter(member(1, 1)) && has_all_voters_running(&site, 3), "{:?}", site.view());
    site.lose(member(2, 1));
    site.run(20_000);
    assert!(!site.view().is_voter(member(1, 1)), "{:?}", site.view());
}

#[test]
fn leaving_member_waits_until_a_majority_reports_the_view_as_durable() {
    let mut site = Site::start(4, tolerate(1));
    let is_later_pong = |message: &Message| matches!(message, Message::Pong { epoch: 3.., .. });
    site.network.set_delivery(Box::new(move |message| if is_later_pong(message) { vec![] } else { vec![1] }));
    site.agreement(member(1, 1)).set_leaving();
    let knows =
        |site: &Site| !site.network.nodes[&member(1, 1)].view().expect("a view").is_voter(member(1, 1));
    site.run_until(1_000, knows);
    assert!(!site.agreement(member(1, 1)).may_leave());
    site.run(300);
    assert!(!site.agreement(member(1, 1)).may_leave());
    site.network.set_delivery(Box::new(|_| vec![1]));
    site.run_until(1_000, |site| site.network.nodes[&member(1, 1)].may_leave());
}

#[test]
fn leaving_member_lost_between_the_two_steps_is_removed_from_the_voters() {
    let mut site = Site::start(4, tolerate(1));
    site.agreement(member(1, 1)).set_leaving();
    for _ in 0..1_000 {
        if site.view().voters.len() < 4 {
            site.network.run(1);
        }
    }
    assert_eq!(site.view().voters.len(), 4);
    site.lose(member(1, 1));
    let time = site.run_until(CATCH_UP[0], |site| has_all_voters_running(site, 3));
    println!("three voters after {time} ms");
}

/// Guards against a surplus voter that stayed forever, so that every acknowledgement waited for its disk.
#[rstest]
#[case::three(4, 1)]
#[case::five(6, 2)]
fn leaving_member_that_restarts_between_the_two_steps_leaves_no_surplus_voter(
    #[case] machines: u8,
    #[case] losses: usize,
) {
    let mut site = Site::start(machines, tolerate(losses));
    let surplus = usize::from(machines);
    site.agreement(member(1, 1)).set_leaving();
    for _ in 0..1_000 {
        if site.view().voters.len() < surplus {
            site.network.run(1);
        }
    }
    assert_eq!(site.view().voters.len(), surplus);
    site.restart(member(1, 1));
    let time = site.run_until(CATCH_UP[0], |site| has_all_voters_running(site, surplus - 1));
    println!("{} voters after {time} ms", surplus - 1);
    let settled = site.view();
    site.run(20_000);
    assert_eq!(site.view(), settled);
}

#[test]
fn leaving_voter_waits_while_the_others_are_no_majority() {
    let mut site = Site::start(3, tolerate(1));
    site.agreement(member(1, 1)).set_leaving();
    site.run_until(2_000, |site| site.network.nodes[&member(1, 1)].may_leave());
    site.lose(member(3, 1));
    site.run(2_000);
    assert!(site.view().is_voter(member(1, 1)));
    assert!(!site.agreement(member(1, 1)).may_leave());
}

/// The other members don't know yet that the third machine is lost: it counts as alive for 700 ms after its last reply.
#[rstest]
fn leaving_voter_does_not_rely_on_a_voter_that_was_just_lost(#[values(0, 100, 300, 600)] before: u64) {
    let mut site = Site::start(3, tolerate(1));
    site.lose(member(3, 1));
    site.run(before);
    site.agreement(member(1, 1)).set_leaving();
    for _ in 0..100 {
        site.run(50);
        assert!(!site.agreement(member(1, 1)).may_leave(), "{:?}", site.views());
    }
}

/// The leaving member has left the chain when another member is lost: without the leaving one nothing could be
/// acknowledged until the lost member returns.
#[rstest]
fn leaving_member_rejoins_the_chain_while_it_is_too_short(#[values(0, 100, 300, 600)] before: u64) {
    let mut site = Site::start(3, tolerate(1));
    site.lose(member(3, 1));
    site.run(before);
    site.agreement(member(1, 1)).set_leaving();
    let is_long_again = |site: &Site| site.view().epoch > 1 && site.view().chain.len() == 2;
    site.run(1_500);
    assert!(is_long_again(&site) && !site.view().in_chain(member(3, 1)), "{:?}", site.views());
    site.add_empty(member(3, 2));
    let time = site.run_until(2_000, |site| site.network.nodes[&member(1, 1)].may_leave());
    println!("may leave {time} ms after the return: {:?}", site.views());
    assert!(!site.view().in_chain(member(1, 1)) && is_long_again(&site));
}

#[test]
fn without_a_learner_the_leaving_head_leaves_the_chain_and_stays_a_voter() {
    let mut site = Site::start(3, tolerate(1));
    site.agreement(member(1, 1)).set_leaving();
    site.run_until(2_000, |site| site.network.nodes[&member(1, 1)].may_leave());
    assert_eq!(site.view(), view(2, &members(3), &members(3)[1..]));
    site.run(10_000);
    assert_eq!(site.view().epoch, 2, "the leaving member does not rejoin the chain");
    site.lose(member(1, 1));
    site.run(5_000);
    assert!(site.agreement(member(2, 1)).quorum_confirmed_at().is_some());
}

#[test]
fn chain_without_a_surplus_copy_keeps_its_leaving_member() {
    let mut site = Site::start(3, tolerate(1));
    site.lose(member(3, 1));
    site.run(2_000);
    site.agreement(member(1, 1)).set_leaving();
    site.run(5_000);
    assert_eq!(site.view().chain, members(2));
    assert!(!site.agreement(member(1, 1)).may_leave());
    site.set_copy_time(1_000);
    site.add_empty(member(4, 1));
    site.run_until(CATCH_UP[0], |site| site.network.nodes[&member(1, 1)].may_leave());
    let view = site.view();
    assert!(view.in_chain(member(4, 1)) && view.chain.len() == 2, "{view:?}");
}

#[test]
fn no_member_waits_if_all_are_leaving() {
    let mut site = Site::start(3, tolerate(1));
    for me in members(3) {
        site.agreement(me).set_leaving();
    }
    let all_may = |site: &Site| site.network.nodes.values().all(Agreement::may_leave);
    let time = site.run_until(2_000, all_may);
    assert!(time <= 2 * PING_INTERVAL + 100, "{time} ms");
}

#[rstest]
#[case::head(1)]
#[case::tail(3)]
fn member_with_a_hanging_disk_leaves_the_chain_and_returns_when_it_recovers(#[case] impaired: u8) {
    let mut site = Site::start(3, tolerate(1));
    let impaired = member(impaired, 1);
    site.agreement(impaired).set_impaired(true);
    assert_eq!(site.agreement(impaired).quorum_confirmed_at(), None);
    let time = site.run_until(FAILURE_TIMEOUT, |site| !site.view().in_chain(impaired));
    println!("out of the chain after {time} ms");
    for _ in 0..100 {
        site.network.drive(member(2, 1), |agreement, _, outputs| {
            agreement.member_caught_up(impaired, agreement.epoch(), outputs);
        });
        site.run(100);
    }
    assert!(site.view().is_voter(impaired) && site.view().chain.len() == 2, "{:?}", site.view());
    assert_eq!(site.agreement(impaired).quorum_confirmed_at(), None);
    site.agreement(impaired).set_impaired(false);
    site.run_until(FAILURE_TIMEOUT, |site| site.view().in_chain(impaired));
    site.run(500);
    assert!(site.agreement(impaired).quorum_confirmed_at().is_some());
}

#[test]
fn an_impaired_head_starts_no_proposal() {
    let mut site = Site::start(3, tolerate(1));
    site.agreement(member(1, 1)).set_impaired(true);
    site.lose(member(3, 1));
    let proposers: Rc<RefCell<BTreeSet<MemberId>>> = Rc::default();
    let seen = Rc::clone(&proposers);
    site.network.set_delivery(Box::new(move |message| {
        if let Message::Prepare { ballot, .. } = message {
            seen.borrow_mut().insert(ballot.proposer);
        }
        vec![1]
    }));
    site.run(3_000);
    assert_eq!(*proposers.borrow(), BTreeSet::from([member(2, 1)]));
}

#[test]
fn member_reports_the_epoch_that_is_on_its_disk() {
    let mut agreement = started(member(1, 1), &view(1, &members(3), &members(3)));
    let mut outputs = Vec::new();
    let next = view(2, &members(3), &members(2));
    agreement.message_received(1_000, member(2, 1), Message::Decided { view: next }, &mut outputs);
    assert_eq!(agreement.epoch(), 2);
    let pong = |agreement: &mut Agreement| {
        let mut replies = Vec::new();
        let ping = Message::Ping { number: 7, epoch: 2 };
        agreement.message_received(1_001, member(2, 1), ping, &mut replies);
        let status = sent_to(&replies, member(2, 1)).into_iter().find_map(|message| match message {
            Message::Pong { epoch, status, .. } => Some((epoch, status.unsettled, status.caught_up)),
            _ => None,
        });
        status.expect("a pong")
    };
    assert_eq!(pong(&mut agreement), (1, true, false));
    settle(&mut agreement, outputs);
    assert_eq!(pong(&mut agreement), (2, false, true));
}

#[test]
fn view_is_effective_once_a_majority_of_its_voters_reports_it_as_durable() {
    let mut site = Site::start(3, tolerate(1));
    assert!(site.agreement(member(1, 1)).is_effective());
    let next = view(2, &members(3), &members(2));
    let mut outputs = Vec::new();
    let now = site.network.now;
    let agreement = site.agreement(member(1, 1));
    agreement.message_received(now, member(2, 1), Message::Decided { view: next.clone() }, &mut outputs);
    assert!(!agreement.is_effective());
    settle(agreement, outputs);
    assert!(!agreement.is_effective(), "its own disk alone");
    site.network.drive(member(1, 1), Agreement::confirm_now);
    site.run(2 * PING_INTERVAL);
    assert!(site.agreement(member(1, 1)).is_effective());
}

/// A member leaves the chain `removals` times within a minute, then returns for good.
#[rstest]
fn returning_member_is_in_the_chain_within_the_catch_up_time(
    #[values(0, 1, 2, 4, 7)] removals: u64,
    #[values(CATCH_UP[0], CATCH_UP[1])] catch_up: u64,
) {
    let mut site = Site::start(3, Timing::new(catch_up, 2));
    let victim = member(3, 1);
    for _ in 0..removals {
        site.isolate(victim);
        site.run_until(2_000, |site| !site.view().in_chain(victim));
        site.network.heal();
        site.run_until(catch_up, |site| site.view().in_chain(victim));
    }
    site.isolate(victim);
    site.run_until(2_000, |site| !site.view().in_chain(victim));
    site.network.heal();
    let time = site.run_until(catch_up, |site| site.view().in_chain(victim));
    println!("catch-up {catch_up}, {removals} removals before: in the chain after {time} ms");
    assert!(time < catch_up);
}

/// A machine is lost and its successor starts at the same time, at the same or at another address.
#[rstest]
fn successor_is_a_voter_within_the_catch_up_time(
    #[values(CATCH_UP[0], CATCH_UP[1])] catch_up: u64,
    #[values(member(2, 2), member(4, 1))] successor: MemberId,
    #[values(0, 1_500)] copy_time: u64,
) {
    let mut site = Site::start(3, Timing::new(catch_up, 2));
    site.set_copy_time(copy_time);
    site.lose(member(2, 1));
    site.add_empty(successor);
    let time = site.run_until(catch_up, |site| has_all_voters_running(site, 3));
    println!("catch-up {catch_up}, copy {copy_time}: {successor} is in after {time} ms");
    site.run(2 * PING_INTERVAL);
    assert!(site.agreement(successor).is_effective());
}

#[test]
fn flap_damping_does_not_apply_to_a_chain_that_is_too_short() {
    let timing = Timing::new(CATCH_UP[1], 2);
    let mut site = Site::start(3, timing);
    let victim = member(3, 1);
    for _ in 0..2 {
        site.network.heal();
        site.run_until(CATCH_UP[1], |site| site.view().in_chain(victim));
        site.isolate(victim);
        site.run_until(2_000, |site| !site.view().in_chain(victim));
    }
    site.network.heal();
    site.lose(member(2, 1));
    let time = site.run_until(CATCH_UP[1], |site| site.view().chain == [member(1, 1), victim]);
    assert!(time < timing.damping_limit - 500, "{time} ms");
}

#[rstest]
#[case::one_of_four(4, 1, 3)]
#[case::one_of_five(5, 1, 3)]
#[case::two_of_five(5, 2, 5)]
#[case::two_of_six(6, 2, 5)]
#[case::two_of_eight(8, 2, 5)]
fn any_losses_that_are_tolerated_are_repaired(
    #[case] machines: u8,
    #[case] losses: usize,
    #[case] voters: usize,
) {
    for first in 1..=machines {
        for second in first..=machines {
            if (losses == 2) == (first == second) {
                continue;
            }
            let mut site = Site::start(machines, tolerate(losses));
            assert!(has_all_voters_running(&site, voters), "{:?}", site.view());
            let lost = [first, second];
            for machine in &lost[..losses] {
                site.lose(member(*machine, 1));
            }
            let has_standbys = usize::from(machines) >= voters + losses;
            if has_standbys {
                site.run_until(CATCH_UP[0], |site| has_all_voters_running(site, voters));
            } else {
                site.run(CATCH_UP[0]);
                assert!(site.network.nodes.values().all(|node| node.quorum_confirmed_at().is_some()));
            }
            for machine in &lost[..losses] {
                site.add_empty(member(*machine, 2));
            }
            site.run_until(CATCH_UP[0], |site| has_all_voters_running(site, voters));
        }
    }
}

/// Seeds that missed the first view become voters, two at a time, if more voters are required.
#[test]
fn two_standbys_become_voters_if_five_are_required() {
    let mut site = Site::start(3, tolerate(2));
    assert!(has_all_voters_running(&site, 3));
    site.add_empty(member(4, 1));
    site.run(5_000);
    assert!(has_all_voters_running(&site, 3), "four voters tolerate no more losses than three");
    site.add_empty(member(5, 1));
    site.run_until(2_000, |site| has_all_voters_running(site, 5));
}

/// The parts of a repair that the doc comment of `Timing` adds up.
#[rstest]
fn repair_steps_leave_time_for_the_copy(#[values(CATCH_UP[0], CATCH_UP[1])] catch_up: u64) {
    use orchidvalve_consensus::timing::{PROPOSER_STAGGER, RETRY_STAGGER, RETRY_TIMEOUT};
    let timing = Timing::new(catch_up, 2);
    assert!(timing.replacement_delay.max(timing.damping_limit) <= catch_up / 3);
    let waits = timing.replacement_delay.max(timing.damping_limit);
    let sum = 2 * PING_INTERVAL + FAILURE_TIMEOUT + waits + PROPOSER_STAGGER + RETRY_TIMEOUT + RETRY_STAGGER;
    println!("catch-up {catch_up}: {sum} ms");
    assert!(sum + 900 < catch_up);
}
