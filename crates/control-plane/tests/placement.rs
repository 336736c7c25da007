//! Placement of partitions: the first placement, losses, retirement and disk faults.

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

fn store_node(number: u8, zone: &str) -> LiveStoreNode {
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

/// Returns a placement with two copies whose members are known to be complete.
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

/// Parses store nodes from words of number, zone and marks: `r`etiring, `f`ull, `d`isk fault, `w`iped (it has another disk).
fn store_nodes(text: &str) -> Vec<LiveStoreNode> {
    let read = |word: &str| {
        let (number, rest) = word.split_at(1);
        let (number, zone) = (number.parse().unwrap(), &rest[..1]);
        let disk = if rest.contains('w') { 1 } else { member(number).disk };
        LiveStoreNode {
            member: MemberId { disk, ..member(number) },
            retiring: rest.contains('r'),
            is_full: rest.contains('f'),
            disk_failing: rest.contains('d'),
            ..store_node(number, zone)
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
#[case::one_has_a_failing_disk("1a 2bd", 2, false)]
#[case::enough("1a 2b", 2, true)]
#[case::enough_of_one_zone("1a 2a", 2, true)]
#[case::retiring_nodes_do_not_count("1a 2b 3br", 2, true)]
#[case::two_may_be_lost("1a 2b", 3, false)]
#[case::single_copy("1a", 1, true)]
fn the_first_placement_waits_for_enough_store_nodes(
    #[case] live: &str,
    #[case] copies: usize,
    #[case] placed: bool,
) {
    let changes = first(&store_nodes(live), copies);
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
fn copies_are_in_distinct_zones_if_possible(#[case] live: &str, #[case] copies: usize) {
    let live = store_nodes(live);
    let zone = |m: &MemberId| live.iter().find(|s| s.member == *m).unwrap().zone.clone();
    for (partition, placement) in first(&live, copies) {
        let zones: BTreeSet<String> = placement.members.iter().map(zone).collect();
        assert_eq!(zones.len(), copies, "partition {partition}: {placement:?}");
    }
}

#[test]
fn the_first_placement_spreads_the_heads() {
    let live = store_nodes("1a 2b 3a 4b");
    let mut heads = BTreeMap::new();
    for (_, placement) in first(&live, 2) {
        *heads.entry(placement.members[0]).or_insert(0) += 1;
    }
    assert_eq!(heads.values().copied().collect::<Vec<_>>(), [2, 2, 2, 2]);
}

/// Columns: members, complete replicas and learners before; live store nodes; nodes that have caught up; members and
/// learners after, `None` if nothing changes.
#[rstest]
#[case::nothing_to_do("12", "12", "", "1a 2b 3a", "", None)]
#[case::tail_lost("12", "12", "", "1a 3b", "", Some(("1", "3")))]
#[case::head_lost("12", "12", "", "2b 3a", "", Some(("2", "3")))]
#[case::lost_without_a_replacement("12", "12", "", "1a", "", Some(("1", "")))]
#[case::undersized_without_a_replacement("1", "1", "", "1a", "", None)]
#[case::undersized_and_a_node_is_added("1", "1", "", "1a 2b", "", Some(("1", "2")))]
#[case::all_lost("12", "12", "", "3a 4b", "", None)]
#[case::all_lost_but_a_learner("12", "12", "3", "3a", "3", None)]
#[case::learner_copies("1", "1", "3", "1a 3b 4b", "", None)]
#[case::learner_caught_up("1", "1", "3", "1a 3b 4b", "3", Some(("13", "")))]
#[case::learner_lost("1", "1", "3", "1a 4b", "", Some(("1", "4")))]
#[case::ready_learner_lost("1", "1", "3", "1a 4b", "3", Some(("1", "4")))]
#[case::learner_has_a_failing_disk("1", "1", "3", "1a 3bd 4b", "3", Some(("1", "4")))]
#[case::learner_retires("1", "1", "3", "1a 3br 4b", "3", Some(("1", "4")))]
#[case::head_lost_while_learning("12", "12", "3", "2b 3a", "", Some(("2", "3")))]
#[case::failing_disk_of_the_tail("12", "12", "", "1a 2bd 3b", "", Some(("1", "3")))]
#[case::failing_disk_of_the_head("12", "12", "", "1ad 2b 3a", "", Some(("2", "3")))]
#[case::failing_disks_of_all("12", "12", "", "1ad 2bd 3b", "", None)]
#[case::only_an_incomplete_member_remains("12", "1", "", "2b 3a", "", None)]
#[case::the_remaining_member_has_reported("12", "1", "", "2b 3a", "2", Some(("2", "3")))]
#[case::the_complete_one_leads("123", "3", "", "2b 3a", "", Some(("32", "")))]
#[case::lost_before_the_successor_is_complete("123", "12", "", "1ar 3b", "", Some(("1", "3")))]
#[case::head_lost_before_the_successor_is_complete("123", "12", "", "2br 3a", "", Some(("2", "3")))]
#[case::lost_before_a_retiring_one_is_complete("123", "12", "", "1a 3br 4b", "", Some(("1", "4")))]
#[case::lost_when_the_successor_is_complete("123", "12", "", "1ar 3b", "3", Some(("13", "")))]
#[case::one_copy_is_enough_to_continue("12", "1", "", "1a 3b", "", Some(("1", "3")))]
#[case::learner_of_a_full_chain_is_not_needed("12", "12", "3", "1a 2b 3a", "", Some(("12", "")))]
#[case::former_member_returns("1", "12", "", "1a 2b 3b", "", Some(("12", "")))]
#[case::former_member_returns_while_another_learns("1", "12", "3", "1a 2b 3b", "", Some(("12", "")))]
#[case::former_member_continues("1", "12", "3", "2b 3b", "", Some(("2", "3")))]
#[case::former_member_continues_although_it_retires("1", "12", "", "2br 3b", "", Some(("2", "3")))]
#[case::former_member_with_a_failing_disk("1", "12", "", "2bd 3b", "", None)]
#[case::learner_of_an_undersized_chain_continues("1", "1", "3", "3b 4a", "3", Some(("3", "4")))]
#[case::retiring_begins("12", "12", "", "1a 2br 3b", "", Some(("12", "3")))]
#[case::retiring_continues("12", "12", "3", "1a 2br 3b", "", None)]
#[case::successor_of_retiring_joins("12", "12", "3", "1a 2br 3b", "3", Some(("123", "")))]
#[case::successor_joins_although_all_are_complete("12", "12", "3", "1a 2br 3b", "123", Some(("123", "")))]
#[case::successor_is_not_complete("123", "12", "", "1a 2br 3b", "12", None)]
#[case::other_is_not_complete("123", "3", "", "1a 2br 3b", "23", None)]
#[case::retiring_ends("123", "1", "", "1a 2br 3b", "13", Some(("13", "")))]
#[case::retiring_head_ends("123", "2", "", "1ar 2b 3a", "23", Some(("23", "")))]
#[case::retiring_without_a_replacement("12", "12", "", "1a 2br", "", None)]
#[case::retiring_and_lost("12", "12", "", "1a 3b", "", Some(("1", "3")))]
#[case::both_retire("12", "12", "", "1ar 2br 3a 4b", "", Some(("12", "3")))]
#[case::both_retire_one_ready("12", "12", "3", "1ar 2br 3a 4b", "3", Some(("123", "4")))]
#[case::both_retire_both_ready("123", "123", "4", "1ar 2br 3a 4b", "4", Some(("234", "")))]
#[case::both_retire_and_one_replacement_exists("12", "12", "", "1ar 2br 3a", "", Some(("12", "3")))]
#[case::one_of_both_is_removed_with_one_replacement("123", "12", "", "1ar 2br 3a", "3", Some(("23", "")))]
#[case::the_other_is_still_needed("23", "23", "", "2br 3a", "", None)]
#[case::all_retire("12", "12", "", "1ar 2br", "", None)]
#[case::released_head_leaves_a_complete_one("1234", "134", "", "1ar 2b 3a 4b", "", Some(("342", "")))]
#[case::no_free_disk_to_replace_a_retiring_one("12", "12", "", "1a 2br 3bf", "", None)]
#[case::the_one_with_free_disk("12", "12", "", "1a 2br 3bf 4a", "", Some(("12", "4")))]
#[case::lost_and_no_free_disk("12", "12", "", "1a 3bf", "", Some(("1", "3")))]
#[case::both_retire_both_complete("1234", "1", "", "1ar 2br 3a 4b", "34", Some(("34", "")))]
fn a_plan_changes_a_placement_by_one_step(
    #[case] in_chain: &str,
    #[case] complete: &str,
    #[case] learners: &str,
    #[case] live: &str,
    #[case] caught_up: &str,
    #[case] expected: Option<(&str, &str)>,
) {
    let before = Placement {
        complete_replicas: members(&numbers(complete)),
        ..placement(7, &numbers(in_chain), &numbers(learners))
    };
    let reports: Reports = numbers(caught_up)
        .into_iter()
        .map(|m| CaughtUp { partition: 0, epoch: 7, member: member(m) })
        .collect();
    let live = store_nodes(live);
    let changes =
        plan(&[before], &PlacementInput { live: &live, caught_up: &reports, copies: 2, lost: &Lost::new() });
    let after = changes.iter().map(|(_, next)| (next.epoch, next.members.clone(), next.learners.clone()));
    let expected = expected.map(|(m, l)| (8, members(&numbers(m)), members(&numbers(l))));
    assert_eq!(after.collect::<Vec<_>>(), Vec::from_iter(expected));
}

/// Columns: members, complete replicas and learners before; live store nodes; nodes that have caught up; complete replicas
/// after.
#[rstest]
#[case::a_former_member_counts_while_the_chain_is_undersized("12", "12", "", "1a 3b", "", "12")]
#[case::one_that_was_not_complete_does_not_count("12", "1", "", "1a 3b", "", "1")]
#[case::a_report_counts("12", "1", "", "1a 3b", "2", "12")]
#[case::a_former_member_does_not_count_in_the_next_full_chain("1", "12", "3", "1a 3b", "3", "13")]
#[case::a_learner_of_an_undersized_chain_is_complete("1", "1", "3", "1a 3b", "3", "13")]
#[case::a_learner_of_a_full_chain_is_not("12", "12", "3", "1a 2br 3b", "3", "12")]
#[case::a_former_member_of_a_full_chain_does_not_count("123", "123", "", "1a 2b", "", "12")]
#[case::one_that_is_lost_before_another_is_complete_counts("123", "12", "", "1ar 3b", "", "12")]
fn complete_replicas_are_recorded(
    #[case] in_chain: &str,
    #[case] complete: &str,
    #[case] learners: &str,
    #[case] live: &str,
    #[case] caught_up: &str,
    #[case] expected: &str,
) {
    let before = Placement {
        complete_replicas: members(&numbers(complete)),
        ..placement(7, &numbers(in_chain), &numbers(learners))
    };
    let reports: Reports = numbers(caught_up)
        .into_iter()
        .map(|m| CaughtUp { partition: 0, epoch: 7, member: member(m) })
        .collect();
    let live = store_nodes(live);
    let changes =
        plan(&[before], &PlacementInput { live: &live, caught_up: &reports, copies: 2, lost: &Lost::new() });
    assert_eq!(changes[0].1.complete_replicas, members(&numbers(expected)));
}

#[rstest]
#[case::of_another_partition(1, 7)]
#[case::of_an_earlier_epoch(0, 6)]
#[case::of_a_later_epoch(0, 8)]
fn a_report_counts_only_for_its_partition_and_epoch(#[case] partition: u16, #[case] epoch: u64) {
    let live = store_nodes("1a 3b");
    let reports = Reports::from([CaughtUp { partition, epoch, member: member(3) }]);
    let changes = plan(
        &[placement(7, &[1], &[3])],
        &PlacementInput { live: &live, caught_up: &reports, copies: 2, lost: &Lost::new() },
    );
    assert_eq!(changes, []);
}

#[rstest]
#[case::zone_without_a_copy("12", "1a 3a 4b", 4)]
#[case::zone_of_the_retiring_node("12", "1a 2br 3a 4b", 4)]
#[case::any_zone_if_there_is_no_other("12", "1a 3a", 3)]
fn a_successor_is_in_a_zone_without_a_copy(#[case] members: &str, #[case] live: &str, #[case] expected: u8) {
    let numbers: Vec<u8> = members.bytes().map(|b| b - b'0').collect();
    let live = store_nodes(live);
    let input = PlacementInput { live: &live, caught_up: &Reports::new(), copies: 2, lost: &Lost::new() };
    let changes = plan(&[placement(1, &numbers, &[])], &input);
    assert_eq!(changes[0].1.learners, [member(expected)]);
}

#[test]
fn a_node_that_returns_with_another_disk_is_another_member() {
    let wiped = LiveStoreNode { member: MemberId { disk: 999, ..member(2) }, ..store_node(2, "b") };
    let live = [store_node(1, "a"), wiped.clone()];
    let input = PlacementInput { live: &live, caught_up: &Reports::new(), copies: 2, lost: &Lost::new() };
    let changes = plan(&[placement(1, &[1, 2], &[])], &input);
    assert_eq!(changes[0].1.members, [member(1)]);
    assert_eq!(changes[0].1.learners, [wiped.member]);
}

#[test]
fn the_copies_of_a_lost_node_are_spread() {
    let live = store_nodes("1a 2a 3b 4b 5b");
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
    // The only store node left in its zone has to hold a copy of each partition.
    assert_eq!(load.remove(&member(2)), Some(usize::from(PARTITIONS)));
    let (least, most) = (load.values().min().unwrap(), load.values().max().unwrap());
    assert!(most - least <= 1, "{load:?}");
}

#[test]
fn only_a_node_without_copies_can_be_removed() {
    let partitions = [placement(1, &[1, 2], &[3])];
    assert_eq!(
        [1, 2, 3, 4].map(|m| can_remove_store_node(&member(m), &partitions)),
        [false, false, false, true]
    );
}

/// At `completed`, a machine is removed with its disk, and that must not count as a loss. Columns: members and complete
/// replicas of a partition without node 1.
#[rstest]
#[case::others_are_complete("23", "23", true)]
#[case::it_was_only_removed_because_it_was_unreachable("2", "21", false)]
#[case::the_chain_is_undersized_without_it("2", "2", false)]
#[case::a_member_may_be_incomplete("23", "2", false)]
fn a_store_node_can_be_removed_once_enough_others_are_complete(
    #[case] in_chain: &str,
    #[case] complete: &str,
    #[case] expected: bool,
) {
    let unrelated = placement(1, &[2, 3], &[]);
    let other =
        Placement { complete_replicas: members(&numbers(complete)), ..placement(4, &numbers(in_chain), &[]) };
    assert_eq!(can_remove_store_node(&member(1), &[unrelated, other]), expected);
}

/// A member joined, and the complete replicas before it were lost or removed before it could report. That it is complete is
/// recorded as soon as it reports, since the removal of a retiring node may depend on it.
#[rstest]
#[case::reported("23", "2", "3", Some("23"))]
#[case::not_reported("23", "2", "", None)]
#[case::known("23", "23", "3", None)]
fn missing_complete_replicas_are_recorded(
    #[case] in_chain: &str,
    #[case] complete: &str,
    #[case] caught_up: &str,
    #[case] expected: Option<&str>,
) {
    let live = store_nodes("1a 2a 3b");
    let before =
        Placement { complete_replicas: members(&numbers(complete)), ..placement(7, &numbers(in_chain), &[]) };
    let reports: Reports = numbers(caught_up)
        .into_iter()
        .map(|m| CaughtUp { partition: 0, epoch: 7, member: member(m) })
        .collect();
    let input = PlacementInput { live: &live, caught_up: &reports, copies: 2, lost: &Lost::new() };
    let changes = plan(&[before], &input);
    let recorded =
        changes.first().map(|(_, next)| (next.epoch, next.members.clone(), next.complete_replicas.clone()));
    let expected = expected.map(|complete| (8, members(&numbers(in_chain)), members(&numbers(complete))));
    assert_eq!(recorded, expected);
}

/// Columns: members; complete replicas; live store nodes, where `w` marks another disk; nodes that have reported.
#[rstest]
#[case::the_only_complete_one_is_wiped("1", "1", "1aw 2b", "", true)]
#[case::the_complete_one_is_unreachable("1", "1", "2b", "", false)]
#[case::the_complete_one_is_live("1", "1", "1a 2b", "", false)]
#[case::one_of_two_complete_ones_is_unreachable("12", "12", "1aw", "", false)]
#[case::both_are_wiped("12", "12", "1aw 2bw", "", true)]
#[case::a_former_member_is_complete("1", "12", "1aw", "", false)]
#[case::a_former_member_is_wiped_too("1", "12", "1aw 2bw", "", true)]
#[case::the_other_may_yet_report("12", "1", "1aw", "", false)]
#[case::the_other_is_live_and_has_not_reported("12", "1", "1aw 2b", "", true)]
#[case::the_other_has_reported("12", "1", "1aw 2b", "2", false)]
#[case::the_other_cannot_write("12", "1", "1aw 2bd", "", false)]
fn a_partition_is_lost_when_no_node_can_be_complete(
    #[case] in_chain: &str,
    #[case] complete: &str,
    #[case] live: &str,
    #[case] caught_up: &str,
    #[case] expected: bool,
) {
    let before =
        Placement { complete_replicas: members(&numbers(complete)), ..placement(7, &numbers(in_chain), &[]) };
    let reports: Reports = numbers(caught_up)
        .into_iter()
        .map(|m| CaughtUp { partition: 0, epoch: 7, member: member(m) })
        .collect();
    let live = store_nodes(live);
    let input = PlacementInput { live: &live, caught_up: &reports, copies: 2, lost: &Lost::new() };
    assert_eq!(is_partition_lost(0, &before, &input), expected);
}

#[rstest]
#[case::enough_nodes("2b 3a", Some(vec![2, 3]))]
#[case::one_retires("2b 3ar 4a", Some(vec![2, 4]))]
#[case::too_few("2b", None)]
fn a_lost_partition_restarts_empty_on_eligible_nodes(#[case] live: &str, #[case] expected: Option<Vec<u8>>) {
    let live = store_nodes(live);
    let lost = Lost::from([0]);
    let input = PlacementInput { live: &live, caught_up: &Reports::new(), copies: 2, lost: &lost };
    let changes = plan(&[placement(7, &[1], &[])], &input);
    let expected = expected.map(|members| (0, Placement { reset_epoch: 8, ..placement(8, &members, &[]) }));
    assert_eq!(changes, Vec::from_iter(expected));
}

#[test]
fn the_epoch_of_a_restart_is_kept_in_later_placements() {
    let live = store_nodes("1a 2b 3a");
    let before = Placement { reset_epoch: 5, ..placement(7, &[1, 4], &[]) };
    let input = PlacementInput { live: &live, caught_up: &Reports::new(), copies: 2, lost: &Lost::new() };
    let changes = plan(&[before], &input);
    assert_eq!((changes[0].1.epoch, changes[0].1.reset_epoch), (8, 5));
}
