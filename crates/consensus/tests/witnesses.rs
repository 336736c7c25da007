//! The first view of a system in which none of the seeds has a disk: the seeds vote on it as witnesses.
//!
//! Guards against a system that never begins to work (no first view) and against one that begins twice (two of them).

use orchidvalve_consensus::{Ballot, Message, Timing, View, Witness};
use orchidvalve_protocol::identity::{MemberId, NO_DISK};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

mod support;

use support::site::Site;
use support::{address, member, view};

const SEEDS: u8 = 3;
const CATCH_UP: u64 = 4_400;
/// Simulations with random faults.
const RUNS: u64 = 100;

fn witness(machine: u8) -> MemberId {
    member(machine, NO_DISK)
}

/// Starts machines with a disk, and as witnesses those of the seeds that run.
fn start_site(machines: &[u8], witnesses: &[u8], tolerance: usize) -> Site {
    let mut site = Site::empty(SEEDS, Timing::new(CATCH_UP, tolerance + 1));
    for machine in machines {
        site.add_first(member(*machine, 1));
    }
    for machine in witnesses {
        site.network.witnesses.insert(witness(*machine), Witness::default());
    }
    site
}

fn exclude_seed(site: &mut Site, machine: MemberId, seed: u8) {
    if site.network.nodes.contains_key(&machine) {
        site.agreement(machine).exclude_seed(address(seed));
    }
}

/// Notifies the machines one after the other that no seed has a disk.
fn exclude_seeds(site: &mut Site, machines: &[u8], pause_ms: u64) {
    for machine in machines {
        for seed in 1..=SEEDS {
            exclude_seed(site, member(*machine, 1), seed);
            site.run(pause_ms);
        }
    }
}

fn first_views(site: &Site) -> Vec<View> {
    let mut views: Vec<View> =
        site.network.changes.iter().map(|(_, view)| view.clone()).filter(|view| view.epoch == 1).collect();
    views.sort_unstable();
    views.dedup();
    views
}

fn has_grown(site: &Site, voters: usize) -> bool {
    let latest = site.network.nodes.values().filter_map(|agreement| agreement.view()).max();
    latest.is_some_and(|view| view.voters.len() == voters && view.chain.len() == voters)
}

#[rstest]
#[case::all_witnesses(&[1, 2, 3], &[4, 5, 6, 7, 8])]
#[case::one_witness_never_starts(&[1, 3], &[8, 7, 6, 5, 4])]
fn seeds_without_a_disk_decide_the_first_view(
    #[case] witnesses: &[u8],
    #[case] machines: &[u8],
    #[values(1, 2)] tolerance: usize,
    #[values(0, 50)] pause_ms: u64,
) {
    let mut site = start_site(machines, witnesses, tolerance);
    exclude_seeds(&mut site, machines, pause_ms);
    let voters = 2 * tolerance + 1;
    site.run_until(CATCH_UP, |site| has_grown(site, voters));
    site.run(10_000);
    let [first] = first_views(&site).try_into().expect("one first view");
    assert!(first.voters.iter().all(|voter| voter.address > address(SEEDS)), "{first:?}");
    let latest = site.view();
    assert!(site.network.nodes.values().all(|agreement| agreement.view() == Some(&latest)));
}

#[test]
fn without_a_majority_of_the_witnesses_there_is_no_first_view() {
    let machines = [4, 5, 6];
    let mut site = start_site(&machines, &[2], 1);
    exclude_seeds(&mut site, &machines, 0);
    site.run(20_000);
    assert_eq!(first_views(&site), []);
    site.network.witnesses.insert(witness(3), Witness::default());
    site.run_until(CATCH_UP, |site| has_grown(site, 3));
}

#[test]
fn a_machine_that_begins_no_system_gets_no_first_view() {
    let mut site = start_site(&[], &[1, 2, 3], 1);
    for machine in [4, 5, 6] {
        site.add_empty(member(machine, 1));
    }
    exclude_seeds(&mut site, &[4, 5, 6], 0);
    site.run(20_000);
    assert_eq!(first_views(&site), []);
}

/// Messages are lost, duplicated and delayed, machines are partitioned from witnesses, some are lost for good, and they
/// learn at random times which seeds have no disk. If none is lost, there is a first view once the faults are over.
#[test]
fn exactly_one_first_view_is_decided_under_random_faults() {
    for seed in 0..RUNS {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let machines: Vec<u8> = (4..4 + random.random_range(3..=6)).collect();
        let mut site = start_site(&machines, &[1, 2, 3], random.random_range(1..=2));
        let loses_machines = random.random_bool(0.5);
        lose_messages(&mut site, seed, random.random_range(0..40));
        for _ in 0..60 {
            let machine = member(machines[random.random_range(0..machines.len())], 1);
            match random.random_range(0..12) {
                0 if loses_machines => site.lose(machine),
                1 => site.network.partition(machine, witness(random.random_range(1..=SEEDS))),
                2 => site.network.partition(witness(random.random_range(1..=SEEDS)), machine),
                3 => site.network.heal(),
                _ => exclude_seed(&mut site, machine, random.random_range(1..=SEEDS)),
            }
            site.run(random.random_range(0..200));
        }
        site.network.heal();
        site.network.set_delivery(Box::new(|_| vec![1]));
        exclude_seeds(&mut site, &machines, 0);
        site.run(10_000);
        let views = first_views(&site);
        assert!(views.len() <= 1, "seed {seed}: {views:?}");
        assert!(loses_machines || views.len() == 1, "seed {seed}: no first view");
    }
}

/// Loses this share of all messages, duplicates one in ten of the others, and delays them at random.
fn lose_messages(site: &mut Site, seed: u64, loss_percent: u32) {
    let mut random = Pcg64Mcg::seed_from_u64(seed + 1_000_000);
    site.network.set_delivery(Box::new(move |_| {
        if random.random_range(0..100) < loss_percent {
            return Vec::new();
        }
        let copies = 1 + usize::from(random.random_range(0..10) == 0);
        (0..copies).map(|_| random.random_range(1..300)).collect()
    }));
}

fn ballot(round: u32, machine: u8) -> Ballot {
    Ballot { round, proposer: member(machine, 1) }
}

fn prepare(epoch: u64, round: u32, machine: u8) -> Message {
    Message::Prepare { epoch, ballot: ballot(round, machine) }
}

#[test]
fn a_witness_keeps_its_promises() {
    let mut witness = Witness::default();
    let (low, high) = (ballot(1, 4), ballot(2, 5));
    let first = view(1, &[member(4, 1)], &[member(4, 1)]);
    let promise = Message::Promise { epoch: 1, ballot: high, accepted: None };
    assert_eq!(witness.message_received(member(5, 1), &prepare(1, 2, 5)), Some(promise));
    let nack = Message::Nack { epoch: 1, ballot: low, promised: high };
    assert_eq!(witness.message_received(member(4, 1), &prepare(1, 1, 4)), Some(nack.clone()));
    let accept = Message::Accept { ballot: low, view: first.clone() };
    assert_eq!(witness.message_received(member(4, 1), &accept), Some(nack));
    let accept = Message::Accept { ballot: high, view: first.clone() };
    let accepted = Message::Accepted { epoch: 1, ballot: high };
    assert_eq!(witness.message_received(member(5, 1), &accept), Some(accepted));
    let Some(Message::Promise { accepted: Some(accepted), .. }) =
        witness.message_received(member(4, 1), &prepare(1, 3, 4))
    else {
        panic!("no accepted view")
    };
    assert_eq!((accepted.ballot, accepted.view), (high, first));
}

#[rstest]
#[case::of_another_proposer(None, prepare(1, 1, 5))]
#[case::for_a_later_view(None, prepare(2, 1, 4))]
#[case::once_a_member_knows_a_view(Some(Message::Hello { member: member(4, 1), bootstrap: true, epoch: 1 }), prepare(1, 1, 4))]
#[case::once_a_view_is_decided(
    Some(Message::Decided { view: view(1, &[member(4, 1)], &[member(4, 1)]) }), prepare(1, 1, 4))]
#[case::once_a_later_view_is_proposed(Some(prepare(2, 1, 4)), prepare(1, 1, 4))]
fn a_witness_does_not_vote(#[case] before: Option<Message>, #[case] message: Message) {
    let mut witness = Witness::default();
    if let Some(before) = before {
        assert_eq!(witness.message_received(member(4, 1), &before), None);
    }
    assert_eq!(witness.message_received(member(4, 1), &message), None);
}
