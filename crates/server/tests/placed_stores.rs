//! Stores placed by the real placement role of the control plane, in virtual time: failures right after a repair,
//! planned shutdowns, wiped disks and control heads without reports. Accepted and read data is kept, and the partition
//! becomes usable again within a time limit.

mod placement_simulation;
#[path = "../../batch-store/tests/support/mod.rs"]
mod support;

use std::collections::BTreeSet;

use orchidvalve_protocol::messages::StoreResponse;
use placement_simulation::{COPIES, DETECTION_MS, GATEWAY, GRACE_MS, STEP_MS, STORES, Simulation};
use rand::Rng;
use rstest::rstest;

/// Returns the median and maximum of measured times.
fn spread(mut times: Vec<u64>) -> (u64, u64) {
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() - 1])
}

#[test]
fn a_second_loss_after_a_repair_loses_no_data() {
    let (mut repairs, mut second_repairs) = (Vec::new(), Vec::new());
    for seed in 0..100 {
        let mut simulation = Simulation::new(seed);
        simulation.run_for(1_000);
        let first = simulation.member(seed as usize % COPIES);
        simulation.crash(first, None);
        repairs.push(simulation.time_to_acceptance(5_000));
        simulation.run_until(5_000, Simulation::is_fully_replicated);
        // The member that held everything before the repair fails, up to about 0.2 s after the view changed.
        let delay = simulation.random.random_range(0..5);
        simulation.run_for(delay * STEP_MS);
        simulation.crash(simulation.member(0), None);
        if seed % 3 == 0 {
            simulation.change_control_head();
        }
        second_repairs.push(simulation.time_to_acceptance(8_000));
        simulation.check_final_state();
    }
    println!("first repair {:?}, second {:?} ms (median, longest)", spread(repairs), spread(second_repairs));
}

#[test]
fn a_rolling_restart_leaves_no_partition_without_enough_members() {
    let mut waits = Vec::new();
    for seed in 0..50 {
        let mut simulation = Simulation::new(seed);
        simulation.run_for(1_000);
        for index in 0..STORES {
            simulation.terminate(index);
            let started_at = simulation.world.now;
            while simulation.world.stores[index].running {
                simulation.generate_traffic();
                simulation.step();
                assert!(!simulation.placement().is_undersized(), "seed {seed}: {:?}", simulation.placement());
            }
            waits.push(simulation.world.now - started_at);
            // Wait for the end of the session, the restart of the process, and about one more second.
            for _ in 0..(2_000 / STEP_MS) {
                simulation.generate_traffic();
                simulation.step();
                assert!(!simulation.placement().is_undersized(), "seed {seed}: {:?}", simulation.placement());
            }
        }
        simulation.check_final_state();
    }
    let (median, longest) = spread(waits);
    println!("a terminated store ends after {median} ms (median), {longest} ms (longest)");
    assert!(longest < GRACE_MS - 1_500, "{longest} ms: the copies were not made in time");
}

/// The last member of a chain that is too short gets SIGTERM. It keeps running until another store has everything.
#[test]
fn a_store_that_shuts_down_with_the_only_copy_waits_until_it_is_copied() {
    for seed in 0..50 {
        let mut simulation = Simulation::new(seed);
        simulation.run_for(1_000);
        let (lost, leaving) = (simulation.member(0), simulation.member(1));
        simulation.crash(lost, None);
        let delay = simulation.random.random_range(0..20);
        simulation.run_for(delay * STEP_MS);
        simulation.terminate(leaving);
        simulation.run_until(GRACE_MS, |simulation| !simulation.world.stores[leaving].running);
        assert!(!simulation.placement().is_undersized(), "seed {seed}: {:?}", simulation.placement());
        simulation.time_to_acceptance(6_000);
        simulation.check_final_state();
    }
}

/// A former member returns after its session ended. It holds everything that the short chain holds, and gets SIGTERM
/// before a successor has copied the partition. It must not exit with one of two copies.
#[test]
fn a_former_member_that_shuts_down_stays_while_its_chain_is_undersized() {
    let mut waited = 0;
    for seed in 0..50 {
        let mut simulation = Simulation::new(seed);
        simulation.run_for(1_000);
        let former = simulation.member(0);
        simulation.partition(former, DETECTION_MS + 2 * STEP_MS);
        simulation.run_until(2_000, |simulation| simulation.placement().is_undersized());
        simulation.terminate(former);
        simulation.run_until(GRACE_MS, |simulation| {
            waited += u32::from(simulation.placement().is_undersized());
            !simulation.world.stores[former].running
        });
        assert!(!simulation.placement().is_undersized(), "seed {seed}: {:?}", simulation.placement());
        simulation.check_final_state();
    }
    assert!(waited > 50, "{waited} steps");
}

/// Both members shut down at the same time and must not wait for each other.
#[test]
fn two_stores_that_shut_down_at_once_end_in_time() {
    for seed in 0..50 {
        let mut simulation = Simulation::new(seed);
        simulation.run_for(1_000);
        let leaving = [simulation.member(0), simulation.member(1)];
        leaving.into_iter().for_each(|index| simulation.terminate(index));
        let is_gone = |simulation: &Simulation, index: usize| !simulation.world.stores[index].running;
        let started_at = simulation.world.now;
        let mut ended = BTreeSet::new();
        while ended.len() < leaving.len() {
            simulation.generate_traffic();
            simulation.step();
            ended.extend(leaving.into_iter().filter(|index| is_gone(&simulation, *index)));
            assert!(simulation.world.now < started_at + GRACE_MS - 1_500, "seed {seed}: {ended:?}");
            assert!(!simulation.placement().is_undersized(), "seed {seed}: {:?}", simulation.placement());
        }
        simulation.check_final_state();
    }
}

/// Stores shut down one second apart, even if the previous one has not returned. One of them may also lose its disk,
/// which counts as one failure.
#[rstest]
#[case::without_a_wipe(false)]
#[case::with_a_wipe(true)]
fn shutdowns_a_second_apart_lose_nothing(#[case] wipes: bool) {
    let mut accepted = 0;
    for seed in 0..50 {
        let mut simulation = Simulation::new(seed);
        simulation.run_for(1_000);
        let wiped = simulation.random.random_range(0..STORES);
        let wiped_at = simulation.world.now + simulation.random.random_range(0..60) * STEP_MS;
        for index in 0..STORES {
            simulation.terminate(index);
            for _ in 0..(1_000 / STEP_MS) {
                if wipes && simulation.world.now == wiped_at {
                    simulation.crash(wiped, Some(500));
                    simulation.machines[wiped].wiped = true;
                }
                simulation.run_for(STEP_MS);
            }
        }
        simulation.time_to_acceptance(15_000);
        simulation.check_final_state();
        accepted += simulation.accepted.len();
    }
    assert!(accepted > 200, "only {accepted} jobs were accepted");
}

/// All stores that hold the partition lose their disks, which exceeds the tolerance. The partition is usable again.
#[test]
fn a_partition_whose_copies_are_all_lost_is_usable_again() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed);
        simulation.run_for(1_000);
        // Shut one store down, so that it keeps an old copy that is no longer needed.
        simulation.terminate(simulation.member(0));
        simulation.run_for(4_000);
        for position in 0..COPIES {
            let index = simulation.member(position);
            simulation.crash(index, Some(500));
            simulation.machines[index].wiped = true;
        }
        // Previously accepted jobs are lost and must be reported as not found.
        let former = simulation.take_accepted();
        simulation.run_until(15_000, |simulation| simulation.placement().reset_epoch > 0);
        simulation.time_to_acceptance(5_000);
        simulation.check_final_state();
        for id in former {
            let call = simulation.world.read(GATEWAY, simulation.member(0), &id, 0, 0);
            simulation.world.run();
            assert_eq!(simulation.world.response(GATEWAY, call), Some(&StoreResponse::NotFound), "{id}");
        }
    }
}

/// A new member lacks recently committed entries and both other members are lost. It must wait for them.
#[test]
fn a_member_that_has_not_caught_up_does_not_continue_alone() {
    for seed in 0..150 {
        let mut simulation = Simulation::new(seed);
        simulation.run_for(1_000);
        let complete = [simulation.member(0), simulation.member(1)];
        simulation.terminate(complete[0]);
        let started_at = simulation.world.now;
        while simulation.placement().members.len() == COPIES && simulation.world.now < started_at + 5_000 {
            simulation.submit();
            simulation.submit();
            simulation.step();
        }
        assert_eq!(simulation.placement().members.len(), COPIES + 1, "seed {seed}");
        complete.into_iter().for_each(|index| simulation.crash(index, Some(2_500)));
        simulation.check_final_state();
    }
}

/// After a new member has joined, both others lose power. The one that is detected last also loses its disk. The one
/// that was detected first returns with everything.
#[test]
fn a_lost_member_counts_until_its_successor_is_complete() {
    for seed in 0..50 {
        let mut simulation = Simulation::new(seed);
        simulation.run_for(1_000);
        let complete = [simulation.member(0), simulation.member(1)];
        simulation.terminate(complete[0]);
        simulation.run_until(5_000, |simulation| simulation.placement().members.len() > COPIES);
        simulation.crash(complete[1], Some(3_000));
        let delay = simulation.random.random_range(1..19);
        simulation.run_for(delay * STEP_MS);
        simulation.crash(complete[0], Some(1_500));
        simulation.machines[complete[0]].wiped = true;
        simulation.check_final_state();
        assert_eq!(simulation.placement().reset_epoch, 0, "seed {seed}");
    }
}

/// The last member is lost while a former member, which also holds everything, is restarting.
#[test]
fn a_former_member_continues_when_the_last_one_is_lost() {
    for seed in 0..50 {
        let mut simulation = Simulation::new(seed);
        simulation.run_for(1_000);
        let members = [simulation.member(0), simulation.member(1)];
        (0..STORES).filter(|index| !members.contains(index)).for_each(|index| simulation.crash(index, None));
        simulation.run_for(1_500);
        simulation.crash(members[0], Some(2_000));
        simulation.run_until(2_000, |simulation| simulation.placement().is_undersized());
        simulation.crash(members[1], None);
        let former = simulation.world.stores[members[0]].me;
        simulation.run_until(6_000, |simulation| simulation.placement().members[0] == former);
        simulation.check_final_state();
    }
}

/// The last member is partitioned from the control nodes, but not from gateways, while a former member continues. It
/// must not report to gateways that recently accepted jobs are unknown.
#[test]
fn a_partitioned_member_of_a_short_chain_reports_no_job_as_unknown() {
    for seed in 0..50 {
        let mut simulation = Simulation::new(seed);
        simulation.run_for(1_000);
        let members = [simulation.member(0), simulation.member(1)];
        simulation.crash(members[0], Some(2_200));
        let others: Vec<usize> = (0..STORES).filter(|index| !members.contains(index)).collect();
        others.iter().for_each(|index| simulation.crash(*index, Some(3_000)));
        simulation.run_until(2_000, |simulation| simulation.placement().is_undersized());
        simulation.run_until(1_000, |simulation| {
            simulation.machines[members[1]].known_epoch == simulation.placement().epoch
        });
        simulation.partition(members[1], 10_000);
        simulation.time_to_acceptance(12_000);
        for _ in 0..40 {
            simulation.read_some(members[1]);
            simulation.run_for(STEP_MS);
        }
        simulation.check_final_state();
    }
}

/// Random faults at any time, as long as one node that holds everything keeps its disk.
#[test]
fn random_faults_lose_nothing() {
    let mut accepted = 0;
    for seed in 0..60 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..120 {
            simulation.run_for(4 * STEP_MS);
            simulation.inject_random_fault();
        }
        simulation.check_final_state();
        accepted += simulation.accepted.len();
    }
    assert!(accepted > 1_000, "only {accepted} jobs were accepted");
}
