//! How long a store that shuts down waits until other stores have its copies.

use std::net::Ipv4Addr;

use orchidvalve_batch_store::graceful_shutdown::GracefulShutdown;
use orchidvalve_control_state::{Change, ControlState, Placement};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use rstest::rstest;

const STARTED_AT: u64 = 10_000;
const GRACE_MS: u64 = 8_000;
const LAST_WAIT_MS: u64 = 6_499;

fn member(number: u8) -> MemberId {
    MemberId { address: NodeAddress::new(Ipv4Addr::new(10, 0, 0, number), 7000), disk: 1 }
}

fn members(numbers: &str) -> Vec<MemberId> {
    numbers.bytes().map(|byte| member(byte - b'0')).collect()
}

fn name(number: u8) -> String {
    format!("store-{number}")
}

/// Builds a state from partitions as `MEMBERS/LEARNERS`, the registered stores, and those of them that are retiring.
fn state(partitions: &str, stores: &str, retiring: &str) -> ControlState {
    let mut state = ControlState::default();
    for number in stores.bytes().map(|byte| byte - b'0') {
        let (name, zone) = (name(number), "zone".to_owned());
        state.apply(&Change::RegisterStore { name, zone, member: member(number) }).unwrap();
    }
    for number in retiring.bytes().map(|byte| byte - b'0') {
        state.apply(&Change::Retire { name: name(number) }).unwrap();
    }
    let placement = |text: &str| {
        let (in_chain, learners) = text.split_once('/').unwrap();
        let (members, learners) = (members(in_chain), members(learners));
        Placement { epoch: 1, members, learners, copies: 2, ..Placement::default() }
    };
    let placements = (0u16..).zip(partitions.split_whitespace().map(placement)).collect();
    state.apply(&Change::Place(placements)).unwrap();
    state
}

/// Store 1 shuts down. Arguments: partitions, stores, retiring stores, time since the start, whether store 1 has a
/// session, and whether it may exit.
#[rstest]
#[case::no_partition("23/ 34/", "1234", "", 0, true, true)]
#[case::no_partition_and_no_session("23/", "1234", "", 0, false, true)]
#[case::only_a_learner("23/1", "1234", "", 0, true, true)]
#[case::a_learner_that_may_have_joined("23/1", "1234", "", 0, false, false)]
#[case::a_learner_that_may_have_joined_long_ago("23/1", "1234", "", LAST_WAIT_MS, false, false)]
#[case::a_learner_without_a_session_whose_time_is_up("23/1", "1234", "", LAST_WAIT_MS + 1, false, true)]
#[case::no_learner_yet("12/", "123", "", 1_499, true, false)]
#[case::no_learner_in_time("12/", "123", "", 1_500, true, true)]
#[case::no_learner_as_it_has_no_session("12/", "123", "", 4_000, false, false)]
#[case::a_learner_copies("12/3", "123", "", 1_500, true, false)]
#[case::a_learner_copies_for_long("12/3", "123", "", LAST_WAIT_MS, true, false)]
#[case::time_is_up("12/3", "123", "", LAST_WAIT_MS + 1, true, true)]
#[case::a_learner_has_joined("123/", "123", "", 3_000, true, false)]
#[case::released_from_one_of_two("23/ 12/3", "123", "", 3_000, true, false)]
#[case::released_from_both("23/ 32/", "123", "", 100, true, true)]
#[case::no_candidate("12/", "12", "", 0, true, true)]
#[case::no_candidate_for_the_only_copy("1/", "1", "", 0, true, true)]
#[case::only_a_retiring_candidate("12/", "123", "3", 0, true, true)]
#[case::the_only_copy_is_being_copied("1/2", "12", "", 3_000, true, false)]
#[case::the_other_store_has_a_copy("12/", "12", "", 3_000, true, true)]
#[case::one_of_two_partitions_moves("12/ 12/3", "123", "", 3_000, true, false)]
fn a_shutdown_waits_while_a_copy_can_be_made(
    #[case] partitions: &str,
    #[case] stores: &str,
    #[case] retiring: &str,
    #[case] elapsed: u64,
    #[case] has_session: bool,
    #[case] expected: bool,
) {
    let shutdown = GracefulShutdown::new(STARTED_AT, GRACE_MS);
    let state = state(partitions, stores, retiring);
    assert_eq!(shutdown.is_complete(STARTED_AT + elapsed, member(1), &state, has_session), expected);
}

/// Store 1 is briefly lost and leaves the chain. The chain is then too short and commits nothing, so store 1 still
/// holds everything and would continue the chain if the last member were lost.
#[rstest]
#[case::a_learner_copies("2/3", "12", "123", 0, false)]
#[case::a_learner_copies_for_long("2/3", "12", "123", LAST_WAIT_MS, false)]
#[case::no_learner_yet("2/", "12", "123", 1_499, false)]
#[case::no_learner_in_time("2/", "12", "123", 1_500, true)]
#[case::no_candidate("2/", "12", "12", 0, true)]
#[case::time_is_up("2/3", "12", "123", LAST_WAIT_MS + 1, true)]
#[case::it_holds_nothing("2/3", "2", "123", 0, true)]
#[case::a_complete_chain_does_not_need_it("23/", "123", "123", 0, true)]
fn a_shutdown_waits_while_a_short_chain_may_depend_on_the_store(
    #[case] partitions: &str,
    #[case] complete_replicas: &str,
    #[case] stores: &str,
    #[case] elapsed: u64,
    #[case] expected: bool,
) {
    let shutdown = GracefulShutdown::new(STARTED_AT, GRACE_MS);
    let mut state = state(partitions, stores, "");
    let undersized = Placement {
        epoch: 2,
        complete_replicas: members(complete_replicas),
        ..state.partitions()[0].clone()
    };
    state.apply(&Change::Place(vec![(0, undersized)])).unwrap();
    assert_eq!(shutdown.is_complete(STARTED_AT + elapsed, member(1), &state, true), expected);
}

#[test]
fn a_store_with_a_grace_period_below_the_margin_ends_at_once() {
    let shutdown = GracefulShutdown::new(STARTED_AT, 1_000);
    assert!(shutdown.is_complete(STARTED_AT, member(1), &state("12/3", "123", ""), true));
}
