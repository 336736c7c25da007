//! The first view of a system in which three of the machines are seeds, some of which start late or never.

use orchidvalve_consensus::{Agreement, Timing};
use rstest::rstest;

mod support;

use support::site::Site;
use support::{address, member};

const SEEDS: u8 = 3;
const CATCH_UP: u64 = 4_400;

fn start_site(machines: &[u8], tolerance: usize) -> Site {
    let mut site = Site::empty(SEEDS, Timing::new(CATCH_UP, tolerance + 1));
    for machine in machines {
        site.add_first(member(*machine, 1));
    }
    site
}

fn has_view(site: &Site) -> bool {
    site.network.nodes.values().any(|agreement| agreement.view().is_some())
}

/// Returns whether the view has as many voters as the tolerance requires, all of them in the chain.
fn has_grown(site: &Site, voters: usize) -> bool {
    let latest = site.network.nodes.values().filter_map(Agreement::view).max();
    latest.is_some_and(|view| view.voters.len() == voters && view.chain.len() == voters)
}

#[rstest]
#[case::all_of_six(&[1, 2, 3, 4, 5, 6])]
#[case::one_seed_never_starts(&[1, 3, 4, 5, 6])]
#[case::the_first_seed_never_starts(&[2, 3, 4, 5, 6, 7, 8])]
#[case::seeds_last(&[8, 7, 6, 5, 4, 3, 2])]
fn a_system_grows_beyond_its_seeds(#[case] machines: &[u8], #[values(1, 2)] tolerance: usize) {
    let mut site = start_site(machines, tolerance);
    let voters = 2 * tolerance + 1;
    site.run_until(CATCH_UP, |site| has_grown(site, voters));
    site.run(10_000);
    assert!(has_grown(&site, voters), "{:?}", site.views());
    assert!(site.network.nodes.values().all(|agreement| agreement.view() == Some(&site.view())));
}

#[rstest]
#[case::one_of_three(&[3, 4, 5, 6, 7, 8])]
#[case::none(&[4, 5, 6, 7, 8])]
fn without_a_majority_of_the_seeds_there_is_no_first_view(#[case] machines: &[u8]) {
    let mut site = start_site(machines, 2);
    site.run(20_000);
    assert!(!has_view(&site), "{:?}", site.views());
    for seed in (1..=SEEDS).filter(|seed| !machines.contains(seed)) {
        site.add_first(member(seed, 1));
    }
    site.run_until(CATCH_UP, |site| has_grown(site, 5));
}

/// The system has grown without the seed; it becomes a learner and replaces a voter when others are lost.
#[test]
fn late_seed_decides_no_second_first_view() {
    let mut site = start_site(&[1, 2, 4, 5], 1);
    site.run(10_000);
    let before = site.view();
    site.add_first(member(3, 1));
    site.run(5_000);
    assert_eq!(site.view(), before);
    for lost in [2, 4] {
        site.lose(member(lost, 1));
        site.run(CATCH_UP);
    }
    let after = site.view();
    assert!(after.voters.iter().any(|voter| voter.address == address(3)), "{after:?}");
    assert_eq!(after.epoch, site.network.nodes[&member(3, 1)].epoch());
}

/// The listed seeds have no disk and don't run. The other machines are notified of that at different times.
#[rstest]
#[case::one_of_three(&[2])]
#[case::two_of_three(&[1, 3])]
fn seeds_without_a_disk_are_excluded(#[case] without_disk: &[u8], #[values(1, 2)] tolerance: usize) {
    let machines: Vec<u8> = (1..=8).filter(|machine| !without_disk.contains(machine)).collect();
    let mut site = start_site(&machines, tolerance);
    for machine in machines.iter().rev() {
        site.run(100);
        for seed in without_disk {
            site.agreement(member(*machine, 1)).exclude_seed(address(*seed));
        }
    }
    let voters = 2 * tolerance + 1;
    site.run_until(CATCH_UP, |site| has_view(site) && has_grown(site, voters));
    site.run(10_000);
    let latest = site.view();
    assert!(site.network.nodes.values().all(|agreement| agreement.view() == Some(&latest)));
    let first = site.views().into_iter().find(|view| view.epoch == 1).expect("a first view");
    assert!(first.voters.iter().all(|voter| voter.address <= address(SEEDS)), "{first:?}");
}

/// Seeds 1 and 2 decide the first view before seed 3 starts. Then seed 1 loses its disk, seed 2 is partitioned, and
/// seed 3 starts: two of three seeds do not know any view.
fn with_a_wiped_seed(bootstrap: bool) -> Site {
    let mut site = start_site(&[1, 2], 1);
    site.run(3_000);
    assert_eq!(site.view().epoch, 1);
    site.lose(member(1, 1));
    site.add_first(member(3, 1));
    if bootstrap {
        site.add_first(member(1, 2));
    } else {
        site.add_empty(member(1, 2));
    }
    site.isolate(member(2, 1));
    site.run(30_000);
    site
}

/// Votes on the first view are counted by address, but only a process started with `bootstrap=true` may give one. A
/// machine that has lost its disk is not started with it.
#[test]
fn wiped_seed_does_not_vote_on_a_second_first_view() {
    let mut site = with_a_wiped_seed(false);
    for machine in [member(1, 2), member(3, 1)] {
        assert_eq!(site.agreement(machine).view(), None, "{machine}");
    }
    site.network.heal();
    site.run(10_000);
    let latest = site.view();
    assert!(latest.voters.contains(&member(2, 1)), "the first view goes on: {latest:?}");
    assert!(site.network.nodes.values().all(|agreement| agreement.view() == Some(&latest)));
}

/// Shows what the rule prevents: a wiped seed that starts with `bootstrap=true` decides another first view.
#[test]
fn simulation_detects_a_second_first_view_if_a_wiped_seed_votes() {
    let mut site = with_a_wiped_seed(true);
    let second = site.agreement(member(3, 1)).view().cloned().expect("a view");
    assert_eq!(second.epoch, 1);
    assert!(!second.voters.contains(&member(2, 1)));
}
