//! Jobs, results and reads on a chain of stores.

mod support;

use orchidvalve_batch_store::entry::EntryRef;
use orchidvalve_batch_store::{DiskRecord, Record};
use orchidvalve_chain_replication::Entry;
use orchidvalve_control_state::Placement;
use orchidvalve_protocol::frames::encode;
use orchidvalve_protocol::messages::{GatewayMessage, ItemState, SessionMessage, StoreHealth, StoreResponse};
use rstest::rstest;
use support::{MAX_QUEUE_MS, RETENTION_MS, World, disk, job, member, result_items};

#[test]
fn a_job_is_accepted_once_it_is_on_all_disks() {
    let mut world = World::placed(2, 2);
    world.gateway_connected(1, 1);
    let call = world.submit(1, 0, "j", job("j", 1, 2, 1));
    assert_eq!(world.response(1, call), None);
    world.sync(0);
    assert_eq!(world.response(1, call), None);
    world.run();
    assert_eq!(world.response(1, call), Some(&StoreResponse::Accepted));
    let again = world.submit(1, 0, "j", job("j", 1, 2, 1));
    assert_eq!(world.response(1, again), Some(&StoreResponse::Accepted));
    let elsewhere = world.submit(1, 1, "j", job("j", 1, 2, 1));
    assert_eq!(world.response(1, elsewhere), Some(&StoreResponse::Accepted));
}

#[test]
fn a_pending_job_is_not_appended_twice() {
    let mut world = World::placed(2, 2);
    world.gateway_connected(1, 1);
    let first = world.submit(1, 0, "j", job("j", 1, 2, 1));
    let second = world.submit(1, 0, "j", job("j", 1, 2, 1));
    assert_eq!(world.stores[0].writes.len(), 1);
    world.run();
    assert_eq!(world.response(1, first), Some(&StoreResponse::Accepted));
    assert_eq!(world.response(1, second), Some(&StoreResponse::Accepted));
}

#[rstest]
#[case::not_the_head(1, StoreHealth { disk_failing: false, used_bytes: 1, capacity_bytes: 100, draining: false }, 2)]
#[case::disk_failing(0, StoreHealth { disk_failing: true, used_bytes: 1, capacity_bytes: 100, draining: false }, 2)]
#[case::disk_low(0, StoreHealth { disk_failing: false, used_bytes: 76, capacity_bytes: 100, draining: false }, 2)]
#[case::chain_too_short(0, StoreHealth { disk_failing: false, used_bytes: 1, capacity_bytes: 100, draining: false }, 3)]
fn a_rejected_job_is_not_appended(#[case] index: usize, #[case] health: StoreHealth, #[case] minimum: usize) {
    let mut world = World::placed(2, minimum);
    world.gateway_connected(1, 1);
    world.stores[index].store.set_health(health);
    let call = world.submit(1, index, "j", job("j", 1, 2, 1));
    assert!(matches!(world.response(1, call), Some(StoreResponse::Rejected { .. })));
    assert!(world.stores[index].writes.is_empty());
}

#[test]
fn a_replaced_head_reports_an_unknown_outcome_of_pending_submissions() {
    let mut world = World::placed(2, 2);
    world.gateway_connected(1, 1);
    let call = world.submit(1, 0, "j", job("j", 1, 2, 1));
    let next = Placement { epoch: 2, members: vec![member(2)], learners: vec![], ..Placement::default() };
    world.place_at(0, &next);
    assert_eq!(world.response(1, call), Some(&StoreResponse::OutcomeUnknown));
}

#[test]
fn a_commit_that_times_out_has_an_unknown_outcome() {
    let mut world = World::placed(2, 2);
    world.gateway_connected(1, 1);
    world.stores[1].running = false;
    let call = world.submit(1, 0, "j", job("j", 1, 2, 1));
    world.advance(5_000);
    assert_eq!(world.response(1, call), Some(&StoreResponse::OutcomeUnknown));
    world.stores[1].running = true;
    world.advance(3_000);
    let again = world.submit(1, 0, "j", job("j", 1, 2, 1));
    assert_eq!(world.response(1, again), Some(&StoreResponse::Accepted));
}

fn with_job(groups: usize, per_group: usize, desired: u32) -> World {
    let mut world = World::placed(3, 2);
    world.gateway_connected(1, 1);
    world.submit(1, 0, "j", job("j", groups, per_group, desired));
    world.run();
    world
}

#[test]
fn a_result_has_one_position_at_all_members() {
    let mut world = with_job(1, 3, 1);
    world.report(1, 0, "j", &["j-0-1", "j-0-0"]);
    world.report(1, 0, "j", &["j-0-0"]);
    world.run();
    world.report(1, 0, "j", &["j-0-1", "j-0-2"]);
    world.run();
    for index in 0..3 {
        let call = world.read(1, index, "j", 0, 0);
        world.run();
        assert_eq!(result_items(world.response(1, call)), ["j-0-1", "j-0-0", "j-0-2"]);
        let call = world.read(1, index, "j", 2, 0);
        world.run();
        let response = world.response(1, call);
        assert!(matches!(response, Some(StoreResponse::Results { total: 3, next: 3, .. })));
        assert_eq!(result_items(response), ["j-0-2"]);
    }
    let acknowledged = &world.gateways[&1].acknowledged;
    assert!(
        ["j-0-0", "j-0-1", "j-0-2"]
            .iter()
            .all(|item| acknowledged.iter().any(|acknowledged| acknowledged == item))
    );
}

#[test]
fn a_read_waits_for_a_result() {
    let mut world = with_job(1, 2, 1);
    let call = world.read(1, 2, "j", 0, 1_000);
    world.advance(500);
    assert_eq!(world.response(1, call), None);
    world.report(1, 0, "j", &["j-0-1"]);
    world.run();
    assert_eq!(result_items(world.response(1, call)), ["j-0-1"]);
    let call = world.read(1, 2, "j", 1, 1_000);
    world.advance(1_100);
    assert!(result_items(world.response(1, call)).is_empty());
}

#[test]
fn a_response_is_bounded_in_bytes() {
    let mut world = with_job(1, 4, 1);
    let outcomes = (0..4)
        .map(|position| {
            let mut outcome = support::outcome(&format!("j-0-{position}"));
            outcome.message = vec![b'x'; 400_000];
            outcome
        })
        .collect();
    world.send_to_store(1, 0, GatewayMessage::ReportOutcomes { partition: 0, job: "j".to_owned(), outcomes });
    world.run();
    let call = world.read(1, 1, "j", 1, 0);
    world.run();
    assert_eq!(result_items(world.response(1, call)), ["j-0-1", "j-0-2"]);
}

#[test]
fn an_unknown_job_is_not_found_only_after_a_barrier() {
    let mut world = with_job(1, 2, 1);
    let call = world.read(1, 1, "unknown", 0, 0);
    world.run();
    assert_eq!(world.response(1, call), Some(&StoreResponse::NotFound));
    world.stores[2].running = false;
    let read = world.read(1, 1, "unknown", 0, 0);
    let end = world.end(1, 1, "unknown");
    let body = world.item_body(1, 1, "unknown", "item");
    let empty = world.read(1, 1, "j", 0, 0);
    world.advance(1_200);
    for call in [read, end, body, empty] {
        assert_eq!(world.response(1, call), Some(&StoreResponse::Unavailable));
    }
}

#[test]
fn known_results_are_read_without_a_barrier() {
    let mut world = with_job(1, 2, 1);
    world.report(1, 0, "j", &["j-0-1"]);
    world.run();
    world.stores[0].running = false;
    let call = world.read(1, 1, "j", 0, 0);
    assert_eq!(result_items(world.response(1, call)), ["j-0-1"]);
}

#[test]
fn an_item_body_is_read_until_the_job_ends() {
    let mut world = with_job(1, 2, 1);
    let call = world.item_body(1, 2, "j", "j-0-1");
    world.run();
    assert_eq!(world.response(1, call), Some(&StoreResponse::Body(b"hello".to_vec())));
    let call = world.item_body(1, 2, "j", "nothing");
    world.run();
    assert_eq!(world.response(1, call), Some(&StoreResponse::NotFound));
    world.end(1, 0, "j");
    world.run();
    let call = world.item_body(1, 2, "j", "j-0-1");
    world.run();
    assert_eq!(world.response(1, call), Some(&StoreResponse::NotFound));
}

#[test]
fn the_end_of_a_job_is_committed_before_it_is_acknowledged_and_cancels_at_all_gateways() {
    let mut world = with_job(2, 2, 2);
    world.gateway_connected(2, 1);
    world.report(1, 0, "j", &["j-0-0"]);
    world.run();
    let call = world.end(1, 0, "j");
    assert_eq!(world.response(1, call), None);
    world.run();
    assert_eq!(world.response(1, call), Some(&StoreResponse::Ended));
    assert!(world.gateways.values().all(|gateway| gateway.cancelled.contains(&"j".to_owned())));
    let again = world.end(2, 2, "j");
    assert_eq!(world.response(2, again), Some(&StoreResponse::Ended));
    world.report(2, 0, "j", &["j-0-1"]);
    world.run();
    assert!(world.gateways[&2].acknowledged.contains(&"j-0-1".to_owned()));
    let read = world.read(1, 1, "j", 0, 1_000);
    assert_eq!(result_items(world.response(1, read)), ["j-0-0"]);
}

#[test]
fn a_gateway_that_connects_after_the_end_of_a_job_gets_the_cancellation() {
    let mut world = with_job(1, 2, 1);
    world.end(1, 0, "j");
    world.run();
    world.gateway_connected(2, 1);
    assert!(world.gateways[&2].cancelled.contains(&"j".to_owned()));
}

#[test]
fn items_expire_at_their_deadline() {
    let mut world = with_job(1, 2, 1);
    world.report(1, 0, "j", &["j-0-1"]);
    // When the gateway received the job, its wall clock may have been two seconds behind the store's.
    world.advance(MAX_QUEUE_MS + 2_000);
    let call = world.read(1, 1, "j", 0, 0);
    world.run();
    assert_eq!(result_items(world.response(1, call)).len(), 1);
    world.advance(1_500);
    let call = world.read(1, 1, "j", 1, 0);
    world.run();
    match world.response(1, call) {
        Some(StoreResponse::Results { outcomes, .. }) => {
            assert_eq!(outcomes.len(), 1);
            assert_eq!((outcomes[0].item.as_str(), outcomes[0].state), ("j-0-0", ItemState::Expired));
        }
        other => panic!("no results but {other:?}"),
    }
}

#[test]
fn jobs_and_results_are_recovered_after_a_power_failure() {
    let mut world = with_job(2, 2, 2);
    world.report(1, 0, "j", &["j-1-1"]);
    world.run();
    for index in 0..3 {
        world.restart(index);
    }
    world.place(1, &[member(1), member(2), member(3)], &[]);
    world.gateway_connected(1, 1);
    world.advance(500);
    for index in 0..3 {
        let read = world.read(1, index, "j", 0, 0);
        let body = world.item_body(1, index, "j", "j-0-0");
        world.run();
        assert_eq!(result_items(world.response(1, read)), ["j-1-1"]);
        assert_eq!(world.response(1, body), Some(&StoreResponse::Body(b"hello".to_vec())));
    }
}

#[test]
fn a_learner_with_a_new_disk_catches_up() {
    let mut world = with_job(1, 2, 1);
    world.report(1, 0, "j", &["j-0-1"]);
    world.run();
    world.stores[0] = support::Process::start(disk(1, 2), Vec::new(), 2, 77);
    world.place(2, &[member(2), member(3)], &[disk(1, 2)]);
    world.advance(1_000);
    let ready = SessionMessage::LearnerCaughtUp { partition: 0, epoch: 2, member: disk(1, 2) };
    assert!(world.to_control.contains(&ready));
    world.place(3, &[member(2), member(3), disk(1, 2)], &[]);
    world.advance(1_000);
    world.place(4, &[disk(1, 2)], &[]);
    let call = world.read(1, 0, "j", 0, 0);
    assert_eq!(result_items(world.response(1, call)), ["j-0-1"]);
}

#[test]
fn a_restarted_store_ignores_views_older_than_the_last_accepted_one() {
    let mut world = with_job(1, 2, 1);
    world.place(5, &[member(1), member(2), member(3)], &[]);
    world.restart(0);
    world.place_at(
        0,
        &Placement { epoch: 4, members: vec![member(1)], learners: vec![], ..Placement::default() },
    );
    world.gateway_connected(1, 1);
    let call = world.read(1, 0, "j", 0, 0);
    assert_eq!(world.response(1, call), Some(&StoreResponse::Unavailable));
}

/// Guards against items that expire at once because a limit from a job's record overflows the clock.
#[test]
fn items_of_a_recorded_job_with_the_largest_limits_do_not_expire() {
    let document = job("j", 1, 2, 1);
    let accepted = EntryRef::JobAccepted {
        job: &document,
        accepted_at_ms: 1_700_000_000_000,
        target_run_ms: u64::MAX,
        max_queue_ms: u64::MAX,
    };
    let entry = Entry { sequence: 1, epoch: 1, payload: accepted.encode().into() };
    let record = Record { position: 1, payload: encode(&DiskRecord::Append { partition: 0, entry }) };
    let mut world = World::new(1, 1);
    world.stores[0] = support::Process::start(member(1), vec![record], 1, 9);
    world.place(2, &[member(1)], &[]);
    world.gateway_connected(1, 1);
    world.advance(60_000);
    let call = world.read(1, 0, "j", 0, 0);
    assert_eq!(result_items(world.response(1, call)), [] as [&str; 0]);
    assert_eq!(world.gateways[&1].assigned.len(), 1);
}

#[test]
fn a_result_that_is_logged_twice_has_one_position() {
    let document = job("j", 1, 2, 1);
    let outcomes = ["j-0-1", "j-0-1", "j-0-0", "j-0-1"].map(support::outcome);
    let accepted = EntryRef::JobAccepted {
        job: &document,
        accepted_at_ms: 0,
        target_run_ms: 1,
        max_queue_ms: u64::MAX / 4,
    };
    let entries = std::iter::once(accepted).chain(outcomes.iter().map(|one| EntryRef::result("j", one)));
    let records = (1..).zip(entries).map(|(sequence, entry)| {
        let entry = Entry { sequence, epoch: 1, payload: entry.encode().into() };
        Record { position: sequence, payload: encode(&DiskRecord::Append { partition: 0, entry }) }
    });
    let mut world = World::new(1, 1);
    world.stores[0] = support::Process::start(member(1), records.collect(), 1, 9);
    world.place(2, &[member(1)], &[]);
    world.gateway_connected(1, 1);
    let call = world.read(1, 0, "j", 0, 0);
    assert_eq!(result_items(world.response(1, call)), ["j-0-1", "j-0-0"]);
}

#[test]
fn records_of_ended_jobs_are_released_after_the_retention_time() {
    let mut world = with_job(1, 2, 1);
    world.report(1, 0, "j", &["j-0-0", "j-0-1"]);
    world.submit(1, 0, "k", job("k", 1, 2, 1));
    world.end(1, 0, "j");
    world.advance(RETENTION_MS - 10_000);
    let call = world.read(1, 1, "j", 0, 0);
    assert_eq!(result_items(world.response(1, call)).len(), 2);
    let before = world.stores[0].disk.len();
    world.advance(30_000);
    assert!(world.stores[0].disk.len() < before);
    for index in 0..3 {
        world.restart(index);
    }
    world.place(1, &[member(1), member(2), member(3)], &[]);
    world.gateway_connected(1, 2);
    world.advance(1_000);
    let call = world.read(1, 1, "j", 0, 0);
    let kept = world.item_body(1, 1, "k", "k-0-0");
    world.run();
    assert_eq!(world.response(1, call), Some(&StoreResponse::NotFound));
    let again = world.submit(1, 0, "k", job("k", 1, 2, 1));
    world.run();
    assert_eq!(world.response(1, again), Some(&StoreResponse::Accepted));
    // The items expired long ago, so their bodies are no longer available.
    assert_eq!(world.response(1, kept), Some(&StoreResponse::NotFound));
}

/// The last member of a chain that is too short is partitioned while former members continue without it. It must not
/// report that a job is unknown: it cannot confirm alone that its view is current.
#[test]
fn a_member_of_a_chain_that_is_too_short_reaches_no_barrier() {
    let mut world = World::placed(3, 2);
    world.gateway_connected(1, 1);
    let alone = Placement { epoch: 2, members: vec![member(3)], ..Placement::default() };
    world.place_at(2, &alone);
    let others = Placement { epoch: 3, members: vec![member(1), member(2)], ..Placement::default() };
    world.place_at(0, &others);
    world.place_at(1, &others);
    let submitted = world.submit(1, 0, "j", job("j", 1, 2, 1));
    world.run();
    assert_eq!(world.response(1, submitted), Some(&StoreResponse::Accepted));
    let read = world.read(1, 2, "j", 0, 0);
    let body = world.item_body(1, 2, "j", "j-0-0");
    let end = world.end(1, 2, "j");
    world.run();
    assert_eq!([read, body, end].map(|call| world.response(1, call)), [None; 3]);
    world.advance(1_200);
    assert_eq!([read, body, end].map(|call| world.response(1, call)), [Some(&StoreResponse::Unavailable); 3]);
}

#[test]
fn pending_calls_get_responses_once_a_short_chain_is_long_enough() {
    let mut world = with_job(1, 2, 1);
    world.place(2, &[member(1)], &[member(2)]);
    let (read, unknown) = (world.read(1, 0, "j", 0, 0), world.read(1, 0, "k", 0, 0));
    world.run();
    assert_eq!([read, unknown].map(|call| world.response(1, call)), [None; 2]);
    world.place(3, &[member(1), member(2)], &[]);
    assert_eq!(result_items(world.response(1, read)), Vec::<&str>::new());
    assert_eq!(world.response(1, unknown), Some(&StoreResponse::NotFound));
}

/// Stores and control nodes may be started with different tolerances. A chain that is too short by the placement must
/// be too short for the stores as well.
#[test]
fn a_chain_shorter_than_its_placement_requires_commits_nothing() {
    let mut world = World::placed(3, 2);
    world.gateway_connected(1, 1);
    let placement =
        Placement { epoch: 2, members: vec![member(1), member(2)], copies: 3, ..Placement::default() };
    world.place_at(0, &placement);
    world.place_at(1, &placement);
    world.run();
    let call = world.submit(1, 0, "j", job("j", 1, 2, 1));
    assert!(matches!(world.response(1, call), Some(StoreResponse::Rejected { .. })));
}

/// All machines that held the partition came back with other disks. Its log restarts on other stores, one of which
/// still has entries of the former log.
fn world_with_restarted_log() -> World {
    let mut world = with_job(1, 8, 1);
    world.report(1, 0, "j", &["j-0-1"]);
    world.run();
    let restarted = Placement {
        epoch: 2,
        members: vec![member(2), member(1)],
        learners: vec![member(3)],
        reset_epoch: 2,
        ..Placement::default()
    };
    for index in 0..3 {
        world.place_at(index, &restarted);
    }
    world.run();
    world
}

#[test]
fn jobs_of_a_partition_whose_log_was_restarted_are_unknown() {
    let mut world = world_with_restarted_log();
    for index in 0..2 {
        let (read, end) = (world.read(1, index, "j", 0, 0), world.end(1, index, "j"));
        world.run();
        assert_eq!([read, end].map(|call| world.response(1, call)), [Some(&StoreResponse::NotFound); 2]);
    }
    world.gateways.get_mut(&1).unwrap().assigned.clear();
    world.advance(2_000);
    assert_eq!(world.gateways[&1].assigned.len(), 0, "no group of the former jobs is dispatched");
}

#[test]
fn a_restarted_store_recovers_no_entry_of_the_former_log() {
    let mut world = world_with_restarted_log();
    world.restart(0);
    world.restart(1);
    world.place(3, &[member(1), member(2)], &[]);
    world.gateway_connected(1, 1);
    let call = world.read(1, 0, "j", 0, 0);
    world.run();
    assert_eq!(world.response(1, call), Some(&StoreResponse::NotFound));
}

#[test]
fn the_head_of_a_partition_whose_log_was_restarted_dispatches_again() {
    let mut world = with_job(1, 8, 1);
    let restarted =
        Placement { epoch: 2, members: vec![member(1), member(2)], reset_epoch: 2, ..Placement::default() };
    world.place_at(0, &restarted);
    world.place_at(1, &restarted);
    world.run();
    world.gateways.get_mut(&1).unwrap().assigned.clear();
    world.submit(1, 0, "k", job("k", 1, 8, 1));
    world.run();
    assert_eq!(world.gateways[&1].assigned.len(), 1);
}

#[test]
fn a_partition_whose_log_was_restarted_accepts_and_keeps_jobs() {
    let mut world = world_with_restarted_log();
    let call = world.submit(1, 1, "j", job("j", 1, 8, 1));
    world.run();
    assert_eq!(world.response(1, call), Some(&StoreResponse::Accepted));
    assert!(
        world.gateways[&1].assigned.iter().any(|(terms, _)| terms.epoch == 2),
        "the gateway has capacity for it"
    );
    world.report(1, 1, "j", &["j-0-0"]);
    world.run();
    world.restart(0);
    world.restart(1);
    world.place(3, &[member(1), member(2)], &[]);
    world.gateway_connected(1, 1);
    let call = world.read(1, 0, "j", 0, 0);
    world.run();
    assert_eq!(result_items(world.response(1, call)), ["j-0-0"]);
}

#[test]
fn a_store_that_returns_with_the_former_log_drops_it() {
    let mut world = with_job(1, 2, 1);
    world.report(1, 0, "j", &["j-0-1"]);
    world.run();
    let restarted =
        Placement { epoch: 2, members: vec![member(1), member(2)], reset_epoch: 2, ..Placement::default() };
    world.place_at(0, &restarted);
    world.place_at(1, &restarted);
    world.submit(1, 0, "j", job("j", 1, 2, 1));
    world.run();
    world.restart(2);
    let grown = Placement { epoch: 3, members: vec![member(1), member(2), member(3)], ..restarted };
    for index in 0..3 {
        world.place_at(index, &grown);
    }
    world.run();
    world.report(1, 0, "j", &["j-0-0"]);
    world.run();
    world.gateway_connected(1, 1);
    let call = world.read(1, 2, "j", 0, 0);
    world.run();
    assert_eq!(result_items(world.response(1, call)), ["j-0-0"]);
}

/// A store that loses power right after it accepted a view may return to the previous view, in which its former peers
/// wait. Its reports about the later view must hold even then.
#[test]
fn a_view_is_not_reported_before_its_record_is_durable() {
    let mut world = with_job(1, 2, 1);
    world.to_control.clear();
    let alone = Placement {
        epoch: 2,
        members: vec![member(1)],
        learners: vec![member(3)],
        copies: 2,
        ..Placement::default()
    };
    world.place_at(2, &alone);
    world.sync(2);
    world.place_at(0, &alone);
    for _ in 0..3 {
        for (from, to, message) in std::mem::take(&mut world.network) {
            world.deliver(from, to, message);
        }
        world.sync(2);
    }
    world.now += 2_000;
    world.input(0, orchidvalve_batch_store::Store::tick);
    assert_eq!(world.to_control, []);
    world.run();
    let ready = |number| SessionMessage::LearnerCaughtUp { partition: 0, epoch: 2, member: member(number) };
    assert!(world.to_control.contains(&ready(1)) && world.to_control.contains(&ready(3)));
}

#[test]
fn a_call_on_a_closed_link_gets_no_response() {
    let mut world = with_job(1, 2, 1);
    let call = world.read(1, 0, "j", 0, 2_000);
    world.run();
    world.input(0, |store, _, _| store.gateway_disconnected(orchidvalve_batch_store::LinkId(10)));
    world.gateway_connected(1, 1);
    world.report(1, 0, "j", &["j-0-1"]);
    world.advance(2_500);
    assert_eq!(world.response(1, call), None);
}
