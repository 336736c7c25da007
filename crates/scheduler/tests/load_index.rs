//! Order of servers: fewest attempts in flight first, then those in the same zone, then random.

use std::collections::BTreeSet;

use orchidvalve_scheduler::LoadIndex;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

/// (server, limit, same_zone, in flight)
type Row = (u32, u32, bool, u32);

fn index(rows: &[Row], random: &mut Pcg64Mcg) -> LoadIndex<u32> {
    let mut index = LoadIndex::default();
    for &(server, limit, same_zone, in_flight) in rows {
        index.set(server, limit, same_zone, random);
        for _ in 0..in_flight {
            index.begin(server, random);
        }
    }
    index
}

#[rstest]
#[case::fewest_in_flight(&[(1, 9, false, 2), (2, 9, false, 1), (3, 9, false, 3)], &[], Some(2))]
#[case::ineligible_is_skipped(&[(1, 9, false, 2), (2, 9, false, 1)], &[2], Some(1))]
#[case::no_capacity(&[(1, 2, false, 2), (2, 9, false, 5)], &[], Some(2))]
#[case::limit_zero(&[(1, 0, false, 0), (2, 9, false, 5)], &[], Some(2))]
#[case::same_zone_among_equals(&[(1, 9, false, 1), (2, 9, true, 1), (3, 9, false, 1)], &[], Some(2))]
#[case::fewer_beats_same_zone(&[(1, 9, false, 0), (2, 9, true, 1)], &[], Some(1))]
#[case::none_eligible(&[(1, 9, false, 0)], &[1], None)]
#[case::none_with_capacity(&[(1, 1, false, 1)], &[], None)]
fn picks(#[case] rows: &[Row], #[case] ineligible: &[u32], #[case] expected: Option<u32>) {
    let index = index(rows, &mut Pcg64Mcg::new(7));
    assert_eq!(index.pick(|server| !ineligible.contains(&server)), expected);
}

#[test]
fn ties_are_broken_at_random() {
    let rows: Vec<Row> = (0..4).map(|server| (server, 9, false, 0)).collect();
    let picked: BTreeSet<_> =
        (0..100).filter_map(|seed| index(&rows, &mut Pcg64Mcg::seed_from_u64(seed)).pick(|_| true)).collect();
    assert_eq!(picked.len(), 4);
}

#[rstest]
#[case(0, true)]
#[case(2, true)]
#[case(3, false)]
fn counts_eligible_servers_with_and_without_capacity(#[case] count: usize, #[case] more: bool) {
    let rows = [(1, 1, false, 1), (2, 9, false, 0), (3, 0, false, 0), (4, 9, false, 2), (5, 9, false, 0)];
    let index = index(&rows, &mut Pcg64Mcg::new(7));
    assert_eq!(index.more_eligible_than(count, |server| server != 5), more);
}

#[test]
fn a_removed_server_is_counted_until_its_last_attempt_ends() {
    let mut random = Pcg64Mcg::new(7);
    let mut index = index(&[(1, 9, false, 2)], &mut random);
    index.remove(1);
    assert_eq!(index.pick(|_| true), None);
    index.set(1, 2, false, &mut random);
    assert_eq!(index.pick(|_| true), None);
    index.end(1, &mut random);
    assert_eq!((index.pick(|_| true), index.in_flight(1)), (Some(1), 1));
}
