//! The control nodes that refer processes to others, and how often they do.

use orchidvalve_control_plane::session_balance::{MoveSchedule, Referrals, has_surplus};
use rstest::rstest;

#[rstest]
#[case::alone(300, &[], false)]
#[case::few(7, &[0, 0], false)]
#[case::even(70, &[70, 70, 70, 70], false)]
#[case::a_little_more(80, &[70, 70, 70, 70], false)]
#[case::many_more(100, &[70, 70, 70, 70], true)]
#[case::others_have_none(117, &[117, 117, 0, 0], true)]
#[case::fewer_than_the_others(20, &[117, 117], false)]
#[case::small_numbers(8, &[4, 4], false)]
fn a_node_with_many_more_sessions_than_the_others_has_a_surplus(
    #[case] local: usize,
    #[case] others: &[usize],
    #[case] expected: bool,
) {
    assert_eq!(has_surplus(local, others), expected);
}

/// For any number of nodes, at min one accepts a referred process, and the moves end.
#[test]
fn moves_end_and_some_node_always_accepts_a_session() {
    for nodes in 2..8_usize {
        let mut counts: Vec<usize> = (0..nodes).map(|node| if node < nodes / 2 { 150 } else { 0 }).collect();
        let surplus = |counts: &[usize], node: usize| {
            let others: Vec<usize> =
                (0..counts.len()).filter(|other| *other != node).map(|other| counts[other]).collect();
            has_surplus(counts[node], &others)
        };
        let mut moves = 0;
        while let Some(from) = (0..nodes).find(|node| surplus(&counts, *node)) {
            let to = (0..nodes).filter(|node| !surplus(&counts, *node)).min_by_key(|node| counts[*node]);
            counts[to.expect("a node without a surplus")] += 1;
            counts[from] -= 1;
            moves += 1;
            assert!(moves < 2_000, "{counts:?}");
        }
        let (min, max) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
        assert!(max - min <= 150 / 2, "{counts:?}");
    }
}

#[test]
fn sessions_move_one_at_a_time_and_not_while_views_change() {
    let mut schedule = MoveSchedule::default();
    schedule.view_changed(1_000);
    let moves: Vec<u64> = (1_000..8_000).filter(|now| schedule.take_due(*now)).collect();
    assert_eq!(moves, [6_000, 6_500, 7_000, 7_500]);
}

#[test]
fn each_incarnation_of_a_process_is_referred_once() {
    let mut referrals = Referrals::default();
    assert!(referrals.refer(7, 1_000));
    assert!(!referrals.refer(7, 1_060), "the other nodes did not accept it");
    assert!(referrals.refer(8, 1_060));
    assert!(referrals.refer(7, 20_000));
}
