//! How long a store that shuts down waits for others to take its copies.

use std::net::Ipv4Addr;

use orchidvalve_batch_store::graceful_shutdown::GracefulShutdown;
use orchidvalve_control_state::{Change, ControlState, Placement};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use rstest::rstest;

const BEGUN_AT: u64 = 10_000;
const GRACE_MS: u64 = 8_000;
const LATEST: u64 = 6_499;

fn member(number: u8) -> MemberId {
    MemberId { address: NodeAddress::new(Ipv4Addr::new(10, 0, 0, number), 7000), disk: 1 }
}

fn members(numbers: &str) -> Vec<MemberId> {
    numbers.bytes().map(|byte| member(byte - b'0')).collect()
}

fn name(number: u8) -> String {
    format!("store-{number}")
}

/// Partitions as `MEMBERS/LEARNERS`, registered stores, and those among them that are to be emptied.
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

/// Store 1 shuts down: partitions, stores, those being decommissioned, time since the start, whether it has a session;
/// whether it may end.
#[rstest]
#[case::no_partition("23/ 34/", "1234", "", 0, true, true)]
#[case::no_partition_and_out_of_touch("23/", "1234", "", 0, false, true)]
#[case::only_a_learner("23/1", "1234", "", 0, true, true)]
#[case::a_learner_that_may_have_joined("23/1", "1234", "", 0, false, false)]
#[case::a_learner_that_may_have_joined_long_ago("23/1", "1234", "", LATEST, false, false)]
#[case::a_learner_out_of_touch_whose_time_is_up("23/1", "1234", "", LATEST + 1, false, true)]
#[case::no_answer_yet("12/", "123", "", 1_499, true, false)]
#[case::no_answer("12/", "123", "", 1_500, true, true)]
#[case::no_answer_as_it_is_out_of_touch("12/", "123", "", 4_000, false, false)]
#[case::a_learner_copies("12/3", "123", "", 1_500, true, false)]
#[case::a_learner_copies_for_long("12/3", "123", "", LATEST, true, false)]
#[case::time_is_up("12/3", "123", "", LATEST + 1, true, true)]
#[case::a_learner_has_joined("123/", "123", "", 3_000, true, false)]
#[case::released_from_one_of_two("23/ 12/3", "123", "", 3_000, true, false)]
#[case::released_from_both("23/ 32/", "123", "", 100, true, true)]
#[case::nobody_could_take_it("12/", "12", "", 0, true, true)]
#[case::nobody_could_take_the_only_copy("1/", "1", "", 0, true, true)]
#[case::only_one_to_be_emptied_could("12/", "123", "3", 0, true, true)]
#[case::the_only_copy_is_taken("1/2", "12", "", 3_000, true, false)]
#[case::the_other_has_it_now("12/", "12", "", 3_000, true, true)]
#[case::one_of_two_partitions_moves("12/ 12/3", "123", "", 3_000, true, false)]
fn a_shutdown_waits_while_a_copy_can_be_made(
    #[case] partitions: &str,
    #[case] stores: &str,
    #[case] retiring: &str,
    #[case] elapsed: u64,
    #[case] in_touch: bool,
    #[case] expected: bool,
) {
    let shutdown = GracefulShutdown::new(BEGUN_AT, GRACE_MS);
    let state = state(partitions, stores, retiring);
    assert_eq!(shutdown.is_complete(BEGUN_AT + elapsed, member(1), &state, in_touch), expected);
}

/// Store 1 was lost for a moment: the chain is too short without it and commits nothing, so it still holds everything,
/// and the chain would go on with it if the last member were lost.
#[rstest]
#[case::a_learner_copies("2/3", "12", "123", 0, false)]
#[case::a_learner_copies_for_long("2/3", "12", "123", LATEST, false)]
#[case::no_answer_yet("2/", "12", "123", 1_499, false)]
#[case::no_answer("2/", "12", "123", 1_500, true)]
#[case::nobody_could_take_it("2/", "12", "12", 0, true)]
#[case::time_is_up("2/3", "12", "123", LATEST + 1, true)]
#[case::it_holds_nothing("2/3", "2", "123", 0, true)]
#[case::a_whole_chain_forgets_it("23/", "123", "123", 0, true)]
fn a_shutdown_waits_while_a_short_chain_may_need_the_store(
    #[case] partitions: &str,
    #[case] holders: &str,
    #[case] stores: &str,
    #[case] elapsed: u64,
    #[case] expected: bool,
) {
    let shutdown = GracefulShutdown::new(BEGUN_AT, GRACE_MS);
    let mut state = state(partitions, stores, "");
    let noted = Placement { epoch: 2, complete_replicas: members(holders), ..state.partitions()[0].clone() };
    state.apply(&Change::Place(vec![(0, noted)])).unwrap();
    assert_eq!(shutdown.is_complete(BEGUN_AT + elapsed, member(1), &state, true), expected);
}

#[test]
fn a_store_with_a_grace_period_below_the_margin_ends_at_once() {
    let shutdown = GracefulShutdown::new(BEGUN_AT, 1_000);
    assert!(shutdown.is_complete(BEGUN_AT, member(1), &state("12/3", "123", ""), true));
}
