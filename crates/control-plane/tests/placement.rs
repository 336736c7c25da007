//! Placement of partitions: the first one, losses, retirement, faults of disks.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use orchidvalve_control_plane::placement::{
    CaughtUp, LiveStoreNode, PARTITIONS, PlacementInput, can_remove_store_node, initial_placement,
    is_partition_lost, plan,
};
use orchidvalve_control_state::Placement;
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use rstest::rstest;

type Lost = BTreeSet<u16>;
type Reports = BTreeSet<CaughtUp>;

fn member(number: u8) -> MemberId {
    MemberId {
        address: NodeAddress::new(Ipv4Addr::new(10, 0, 2, number), 7000),
        disk: 100 + u64::from(number),
    }
}

fn store(number: u8, zone: &str) -> LiveStoreNode {
    LiveStoreNode {
        member: member(number),
        zone: zone.to_owned(),
        retiring: false,
        is_full: false,
        disk_failing: false,
    }
}

fn members(numbers: &[u8]) -> Vec<MemberId> {
    numbers.iter().map(|number| member(*number)).collect()
}

/// A placement with two copies whose members are known to hold everything.
fn placement(epoch: u64, in_chain: &[u8], learners: &[u8]) -> Placement {
    Placement {
        epoch,
        members: members(in_chain),
        learners: members(learners),
        complete_replicas: members(in_chain),
        copies: 2,
        reset_epoch: 0,
    }
}

fn numbers(text: &str) -> Vec<u8> {
    text.bytes().map(|b| b - b'0').collect()
}

/// Stores by number and zone; a mark behind the zone: `r`etiring, `f`ull, `d`isk fault, `w`iped: it has another disk.
fn stores(text: &str) -> Vec<LiveStoreNode> {
    let read = |word: &str| {
        let (number, rest) = word.split_at(1);
        let (number, zone) = (number.parse().unwrap(), &rest[..1]);
        let disk = if rest.contains('w') { 1 } else { member(number).disk };
        LiveStoreNode {
            member: MemberId { disk, ..member(number) },
            retiring: rest.contains('r'),
            is_full: rest.contains('f'),
            disk_failing: rest.contains('d'),
            ..store(number, zone)
        }
    };
    text.split_whitespace().map(read).collect()
}

fn first(live: &[LiveStoreNode], copies: usize) -> Vec<(u16, Placement)> {
    initial_placement(&PlacementInput { live, caught_up: &Reports::new(), copies, lost: &Lost::new() })
}

#[rstest]
#[case::none("", 2, false)]
#[case::too_few("1a", 2, false)]
#[case::one_retires("1a 2br", 2, false)]
#[case::one_has_disk_trouble("1a 2bd", 2, false)]
#[case::enough("1a 2b", 2, true)]
#[case::enough_of_one_zone("1a 2a", 2, true)]
#[case::without_the_retiring("1a 2b 3br", 2, true)]
#[case::two_may_be_lost("1a 2b", 3, false)]
#[case::single_copy("1a", 1, true)]
fn the_first_placement_waits_for_enough_machines(
    #[case] live: &str,
    #[case] copies: usize,
    #[case] placed: bool,
) {
    let changes = first(&stores(live), copies);
    assert_eq!(changes.len(), if placed { usize::from(PARTITIONS) } else { 0 });
    for (index, (partition, placement)) in changes.iter().enumerate() {
        assert_eq!(usize::from(*partition), index);
        assert_eq!((placement.epoch, placement.members.len(), placement.learners.len()), (1, copies, 0));
        let distinct: BTreeSet<_> = placement.members.iter().collect();
        assert_eq!(distinct.len(), copies);
    }
}

#[rstest]
#[case::two_zones("1a 2b", 2)]
#[case::uneven("1a 2a 3a 4b", 2)]
#[case::odd("1a 2a 3b", 2)]
#[case::three_zones("1a 2a 3b 4c", 3)]
#[case::many("1a 2a 3a 4b 5b 6c", 3)]
fn copies_are_in_distinct_zones_where_that_can_be(#[case] live: &str, #[case] copies: usize) {
    let live = stores(live);
    let zone = |m: &MemberId| live.iter().find(|s| s.member == *m).unwrap().zone.clone();
    for (partition, placement) in first(&live, copies) {
        let zones: BTreeSet<String> = placement.members.iter().map(zone).collect();
        assert_eq!(zones.len(), copies, "partition {partition}: {placement:?}");
    }
}

#[test]
fn the_first_placement_spreads_the_heads() {
    let live = stores("1a 2b 3a 4b");
    let mut heads = BTreeMap::new();
    for (_, placement) in first(&live, 2) {
        *heads.entry(placement.members[0]).or_insert(0) += 1;
    }
    assert_eq!(heads.values().copied().collect::<Vec<_>>(), [2, 2, 2, 2]);
}

/// Members, those known to hold everything, and learners before; live stores; who was reported as ready; members
/// and learners after, none where all stays.
#[rstest]
#[case::nothing_to_do("12", "12", "", "1a 2b 3a", "", None)]
#[case::tail_lost("12", "12", "", "1a 3b", "", Some(("1", "3")))]
#[case::head_lost("12", "12", "", "2b 3a", "", Some(("2", "3")))]
#[case::lost_without_another("12", "12", "", "1a", "", Some(("1", "")))]
#[case::short_for_want_of_machines("1", "1", "", "1a", "", None)]
#[case::short_and_a_machine_comes("1", "1", "", "1a 2b", "", Some(("1", "2")))]
#[case::all_lost("12", "12", "", "3a 4b", "", None)]
#[case::all_lost_but_a_learner("12", "12", "3", "3a", "3", None)]
#[case::learner_copies("1", "1", "3", "1a 3b 4b", "", None)]
#[case::learner_caught_up("1", "1", "3", "1a 3b 4b", "3", Some(("13", "")))]
#[case::learner_lost("1", "1", "3", "1a 4b", "", Some(("1", "4")))]
#[case::ready_learner_lost("1", "1", "3", "1a 4b", "3", Some(("1", "4")))]
#[case::learner_has_disk_trouble("1", "1", "3", "1a 3bd 4b", "3", Some(("1", "4")))]
#[case::learner_is_to_be_emptied("1", "1", "3", "1a 3br 4b", "3", Some(("1", "4")))]
#[case::head_lost_while_learning("12", "12", "3", "2b 3a", "", Some(("2", "3")))]
#[case::disk_trouble_of_the_tail("12", "12", "", "1a 2bd 3b", "", Some(("1", "3")))]
#[case::disk_trouble_of_the_head("12", "12", "", "1ad 2b 3a", "", Some(("2", "3")))]
#[case::disk_trouble_of_all("12", "12", "", "1ad 2bd 3b", "", None)]
#[case::only_an_incomplete_member_stays("12", "1", "", "2b 3a", "", None)]
#[case::the_member_that_stays_has_reported("12", "1", "", "2b 3a", "2", Some(("2", "3")))]
#[case::the_complete_one_leads("123", "3", "", "2b 3a", "", Some(("32", "")))]
#[case::lost_before_the_successor_is_complete("123", "12", "", "1ar 3b", "", Some(("1", "3")))]
#[case::head_lost_before_the_successor_is_complete("123", "12", "", "2br 3a", "", Some(("2", "3")))]
#[case::lost_before_a_leaving_one_is_complete("123", "12", "", "1a 3br 4b", "", Some(("1", "4")))]
#[case::lost_when_the_successor_is_complete("123", "12", "", "1ar 3b", "3", Some(("13", "")))]
#[case::one_copy_is_enough_to_go_on("12", "1", "", "1a 3b", "", Some(("1", "3")))]
#[case::learner_of_a_full_chain_is_not_needed("12", "12", "3", "1a 2b 3a", "", Some(("12", "")))]
#[case::former_member_is_back("1", "12", "", "1a 2b 3b", "", Some(("12", "")))]
#[case::former_member_is_back_while_another_learns("1", "12", "3", "1a 2b 3b", "", Some(("12", "")))]
#[case::former_member_goes_on("1", "12", "3", "2b 3b", "", Some(("2", "3")))]
#[case::former_member_goes_on_though_it_retires("1", "12", "", "2br 3b", "", Some(("2", "3")))]
#[case::former_member_with_disk_trouble("1", "12", "", "2bd 3b", "", None)]
#[case::learner_of_a_short_chain_goes_on("1", "1", "3", "3b 4a", "3", Some(("3", "4")))]
#[case::retiring_begins("12", "12", "", "1a 2br 3b", "", Some(("12", "3")))]
#[case::retiring_goes_on("12", "12", "3", "1a 2br 3b", "", None)]
#[case::successor_of_retiring_joins("12", "12", "3", "1a 2br 3b", "3", Some(("123", "")))]
#[case::successor_joins_though_all_are_complete("12", "12", "3", "1a 2br 3b", "123", Some(("123", "")))]
#[case::successor_is_not_complete("123", "12", "", "1a 2br 3b", "12", None)]
#[case::other_is_not_complete("123", "3", "", "1a 2br 3b", "23", None)]
#[case::retiring_ends("123", "1", "", "1a 2br 3b", "13", Some(("13", "")))]
#[case::retiring_head_ends("123", "2", "", "1ar 2b 3a", "23", Some(("23", "")))]
#[case::retiring_without_another("12", "12", "", "1a 2br", "", None)]
#[case::retiring_and_lost("12", "12", "", "1a 3b", "", Some(("1", "3")))]
#[case::both_retire("12", "12", "", "1ar 2br 3a 4b", "", Some(("12", "3")))]
#[case::both_retire_one_ready("12", "12", "3", "1ar 2br 3a 4b", "3", Some(("123", "4")))]
#[case::both_retire_both_ready("123", "123", "4", "1ar 2br 3a 4b", "4", Some(("234", "")))]
#[case::both_retire_and_one_machine_stays("12", "12", "", "1ar 2br 3a", "", Some(("12", "3")))]
#[case::one_of_both_goes_as_one_machine_stays("123", "12", "", "1ar 2br 3a", "3", Some(("23", "")))]
#[case::the_other_is_needed_then("23", "23", "", "2br 3a", "", None)]
#[case::all_retire("12", "12", "", "1ar 2br", "", None)]
#[case::released_head_leaves_a_complete_one("1234", "134", "", "1ar 2b 3a 4b", "", Some(("342", "")))]
#[case::no_room_for_the_copy_of_one_that_retires("12", "12", "", "1a 2br 3bf", "", None)]
#[case::the_one_with_room("12", "12", "", "1a 2br 3bf 4a", "", Some(("12", "4")))]
#[case::lost_and_no_room("12", "12", "", "1a 3bf", "", Some(("1", "3")))]
#[case::both_retire_both_complete("1234", "1", "", "1ar 2br 3a 4b", "34", Some(("34", "")))]
fn one_step_at_a_time(
    #[case] in_chain: &str,
    #[case] holders: &str,
    #[case] learners: &str,
    #[case] live: &str,
    #[case] caught_up: &str,
    #[case] expected: Option<(&str, &str)>,
) {
    let before = Placement {
        complete_replicas: members(&numbers(holders)),
        ..placement(7, &numbers(in_chain), &numbers(learners))
    };
    let reports: Reports = numbers(caught_up)
        .into_iter()
        .map(|m| CaughtUp { partition: 0, epoch: 7, member: member(m) })
        .collect();
    let live = stores(live);
    let changes =
        plan(&[before], &PlacementInput { live: &live, caught_up: &reports, copies: 2, lost: &Lost::new() });
    let after = changes.iter().map(|(_, next)| (next.epoch, next.members.clone(), next.learners.clone()));
    let expected = expected.map(|(m, l)| (8, members(&numbers(m)), members(&numbers(l))));
    assert_eq!(after.collect::<Vec<_>>(), Vec::from_iter(expected));
}

/// Members and those known to hold everything before, learners; live stores; who was reported as ready; those known
/// to hold everything after.
#[rstest]
#[case::a_former_member_counts_while_the_chain_is_short("12", "12", "", "1a 3b", "", "12")]
#[case::one_that_was_not_complete_does_not_count("12", "1", "", "1a 3b", "", "1")]
#[case::a_report_counts("12", "1", "", "1a 3b", "2", "12")]
#[case::a_former_member_counts_no_more_in_a_full_chain("1", "12", "3", "1a 3b", "3", "13")]
#[case::a_learner_of_a_short_chain_is_complete("1", "1", "3", "1a 3b", "3", "13")]
#[case::a_learner_of_a_full_chain_is_not("12", "12", "3", "1a 2br 3b", "3", "12")]
#[case::a_former_member_of_a_full_chain_does_not_count("123", "123", "", "1a 2b", "", "12")]
#[case::one_that_is_lost_before_another_is_complete_counts("123", "12", "", "1ar 3b", "", "12")]
fn complete_replicas_are_recorded(
    #[case] in_chain: &str,
    #[case] holders: &str,
    #[case] learners: &str,
    #[case] live: &str,
    #[case] caught_up: &str,
    #[case] expected: &str,
) {
    let before = Placement {
        complete_replicas: members(&numbers(holders)),
        ..placement(7, &numbers(in_chain), &numbers(learners))
    };
    let reports: Reports = numbers(caught_up)
        .into_iter()
        .map(|m| CaughtUp { partition: 0, epoch: 7, member: member(m) })
        .collect();
    let live = stores(live);
    let changes =
        plan(&[before], &PlacementInput { live: &live, caught_up: &reports, copies: 2, lost: &Lost::new() });
    assert_eq!(changes[0].1.complete_replicas, members(&numbers(expected)));
}

#[rstest]
#[case::of_another_partition(1, 7)]
#[case::of_an_earlier_epoch(0, 6)]
#[case::of_a_later_epoch(0, 8)]
fn readiness_counts_for_its_partition_and_epoch(#[case] partition: u16, #[case] epoch: u64) {
    let live = stores("1a 3b");
    let reports = Reports::from([CaughtUp { partition, epoch, member: member(3) }]);
    let changes = plan(
        &[placement(7, &[1], &[3])],
        &PlacementInput { live: &live, caught_up: &reports, copies: 2, lost: &Lost::new() },
    );
    assert_eq!(changes, []);
}

#[rstest]
#[case::zone_without_a_copy("12", "1a 3a 4b", 4)]
#[case::zone_of_the_machine_that_is_to_be_emptied("12", "1a 2br 3a 4b", 4)]
#[case::any_zone_if_there_is_no_other("12", "1a 3a", 3)]
fn a_successor_is_in_a_zone_without_a_copy(#[case] members: &str, #[case] live: &str, #[case] expected: u8) {
    let numbers: Vec<u8> = members.bytes().map(|b| b - b'0').collect();
    let live = stores(live);
    let input = PlacementInput { live: &live, caught_up: &Reports::new(), copies: 2, lost: &Lost::new() };
    let changes = plan(&[placement(1, &numbers, &[])], &input);
    assert_eq!(changes[0].1.learners, [member(expected)]);
}

#[test]
fn a_machine_that_comes_back_with_another_disk_is_another_member() {
    let wiped = LiveStoreNode { member: MemberId { disk: 999, ..member(2) }, ..store(2, "b") };
    let live = [store(1, "a"), wiped.clone()];
    let input = PlacementInput { live: &live, caught_up: &Reports::new(), copies: 2, lost: &Lost::new() };
    let changes = plan(&[placement(1, &[1, 2], &[])], &input);
    assert_eq!(changes[0].1.members, [member(1)]);
    assert_eq!(changes[0].1.learners, [wiped.member]);
}

#[test]
fn the_copies_of_a_lost_machine_are_spread() {
    let live = stores("1a 2a 3b 4b 5b");
    let partitions: Vec<Placement> = first(&live, 2).into_iter().map(|(_, p)| p).collect();
    let left: Vec<LiveStoreNode> = live.iter().filter(|s| s.member != member(1)).cloned().collect();
    let changes = plan(
        &partitions,
        &PlacementInput { live: &left, caught_up: &Reports::new(), copies: 2, lost: &Lost::new() },
    );
    assert!(changes.iter().all(|(_, p)| p.learners.len() == 1));
    let mut load = BTreeMap::new();
    for (index, before) in partitions.iter().enumerate() {
        let now = changes.iter().find(|(p, _)| usize::from(*p) == index).map_or(before, |(_, p)| p);
        for member in now.members.iter().chain(&now.learners) {
            *load.entry(*member).or_insert(0) += 1;
        }
    }
    // The only machine left in its zone has to hold a copy of each.
    assert_eq!(load.remove(&member(2)), Some(usize::from(PARTITIONS)));
    let (least, most) = (load.values().min().unwrap(), load.values().max().unwrap());
    assert!(most - least <= 1, "{load:?}");
}

#[test]
fn only_a_machine_without_copies_is_empty() {
    let partitions = [placement(1, &[1, 2], &[3])];
    assert_eq!(
        [1, 2, 3, 4].map(|m| can_remove_store_node(&member(m), &partitions)),
        [false, false, false, true]
    );
}

/// At `completed` a machine is removed with its disk, and that counts as no loss: members and those known to hold
/// everything, without the machine 1.
#[rstest]
#[case::others_hold_everything("23", "23", true)]
#[case::it_was_only_taken_out_since_it_is_away("2", "21", false)]
#[case::the_chain_is_short_without_it("2", "2", false)]
#[case::a_member_may_lack_something("23", "2", false)]
fn a_store_node_is_empty_once_enough_others_are_complete(
    #[case] in_chain: &str,
    #[case] holders: &str,
    #[case] expected: bool,
) {
    let whole = placement(1, &[2, 3], &[]);
    let other =
        Placement { complete_replicas: members(&numbers(holders)), ..placement(4, &numbers(in_chain), &[]) };
    assert_eq!(can_remove_store_node(&member(1), &[whole, other]), expected);
}

/// A member joined a chain of which the former ones were lost or left before it could report: that it holds everything
/// is noted as soon as it says so, since a machine may wait for that to be removed.
#[rstest]
#[case::reported("23", "2", "3", Some("23"))]
#[case::not_reported("23", "2", "", None)]
#[case::known("23", "23", "3", None)]
fn missing_complete_replicas_are_recorded(
    #[case] in_chain: &str,
    #[case] holders: &str,
    #[case] caught_up: &str,
    #[case] expected: Option<&str>,
) {
    let live = stores("1a 2a 3b");
    let before =
        Placement { complete_replicas: members(&numbers(holders)), ..placement(7, &numbers(in_chain), &[]) };
    let reports: Reports = numbers(caught_up)
        .into_iter()
        .map(|m| CaughtUp { partition: 0, epoch: 7, member: member(m) })
        .collect();
    let input = PlacementInput { live: &live, caught_up: &reports, copies: 2, lost: &Lost::new() };
    let changes = plan(&[before], &input);
    let noted =
        changes.first().map(|(_, next)| (next.epoch, next.members.clone(), next.complete_replicas.clone()));
    let expected = expected.map(|holders| (8, members(&numbers(in_chain)), members(&numbers(holders))));
    assert_eq!(noted, expected);
}

/// Members, those known to hold everything; live stores, where `w` marks one with another disk; who has reported.
#[rstest]
#[case::the_only_holder_is_wiped("1", "1", "1aw 2b", "", true)]
#[case::the_holder_is_away("1", "1", "2b", "", false)]
#[case::the_holder_is_here("1", "1", "1a 2b", "", false)]
#[case::one_of_two_holders_is_away("12", "12", "1aw", "", false)]
#[case::both_are_wiped("12", "12", "1aw 2bw", "", true)]
#[case::a_former_member_holds_everything("1", "12", "1aw", "", false)]
#[case::a_former_member_is_wiped_too("1", "12", "1aw 2bw", "", true)]
#[case::the_other_may_yet_report("12", "1", "1aw", "", false)]
#[case::the_other_is_here_and_has_not_reported("12", "1", "1aw 2b", "", true)]
#[case::the_other_has_reported("12", "1", "1aw 2b", "2", false)]
#[case::the_other_cannot_write("12", "1", "1aw 2bd", "", false)]
fn a_partition_is_lost_when_all_that_may_hold_everything_are_gone(
    #[case] in_chain: &str,
    #[case] holders: &str,
    #[case] live: &str,
    #[case] caught_up: &str,
    #[case] expected: bool,
) {
    let before =
        Placement { complete_replicas: members(&numbers(holders)), ..placement(7, &numbers(in_chain), &[]) };
    let reports: Reports = numbers(caught_up)
        .into_iter()
        .map(|m| CaughtUp { partition: 0, epoch: 7, member: member(m) })
        .collect();
    let live = stores(live);
    let input = PlacementInput { live: &live, caught_up: &reports, copies: 2, lost: &Lost::new() };
    assert_eq!(is_partition_lost(0, &before, &input), expected);
}

#[rstest]
#[case::enough_machines("2b 3a", Some(vec![2, 3]))]
#[case::one_retires("2b 3ar 4a", Some(vec![2, 4]))]
#[case::too_few("2b", None)]
fn a_lost_partition_begins_anew_on_nodes_that_stay(#[case] live: &str, #[case] expected: Option<Vec<u8>>) {
    let live = stores(live);
    let lost = Lost::from([0]);
    let input = PlacementInput { live: &live, caught_up: &Reports::new(), copies: 2, lost: &lost };
    let changes = plan(&[placement(7, &[1], &[])], &input);
    let expected = expected.map(|fresh| (0, Placement { reset_epoch: 8, ..placement(8, &fresh, &[]) }));
    assert_eq!(changes, Vec::from_iter(expected));
}

#[test]
fn a_partition_that_began_anew_says_so_from_then_on() {
    let live = stores("1a 2b 3a");
    let before = Placement { reset_epoch: 5, ..placement(7, &[1, 4], &[]) };
    let input = PlacementInput { live: &live, caught_up: &Reports::new(), copies: 2, lost: &Lost::new() };
    let changes = plan(&[before], &input);
    assert_eq!((changes[0].1.epoch, changes[0].1.reset_epoch), (8, 5));
}
