//! Random runs with a lossy network, power losses, wiped disks and a view authority that follows its rules.

mod support;

use rstest::rstest;
use support::world::World;

const STEPS: usize = 6_000;

#[rstest]
#[case::two_copies(4, 2)]
#[case::three_copies(5, 3)]
#[case::one_copy(3, 1)]
fn committed_entries_survive(#[case] machines: u8, #[case] minimum: usize) {
    let (mut committed, mut confirmed) = (0, 0);
    for seed in 0..40 {
        let mut world = World::new(seed, machines, minimum);
        for _ in 0..STEPS {
            world.step();
        }
        world.heal();
        world.check_end();
        committed += world.committed_entries.len();
        confirmed += world.confirmed;
    }
    assert!(committed > 4_000, "only {committed} entries were committed");
    assert!(confirmed > 100, "only {confirmed} barriers were confirmed");
}
