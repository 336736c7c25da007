//! Tests of versions of weights: minimum, single-version routes, servers that serve another version than expected.

mod generations_support;

use generations_support::*;
use orchidvalve_data_plane::generations::{AttemptOutcome, ItemResult, ServerInfo, ServerKey};
use rstest::rstest;

#[test]
fn versions_that_generated_events_are_reported() {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(group("job", 0, &["a"]));
    let attempt = gateway.last();
    gateway.started(&attempt, 7);
    gateway.event(&attempt, 1, "x", Some(9));
    gateway.event(&attempt, 2, "y", None);
    gateway.event(&attempt, 3, "z", Some(10));
    gateway.ended(&attempt, AttemptOutcome::Complete);
    assert_eq!(gateway.result(), &completed("x\ny\nz", &[9, 10], None));
}

#[test]
fn a_text_below_the_minimum_is_discarded() {
    let mut gateway = Gateway::new(&[7, 7]);
    gateway.assign(group("job", 0, &["a"]));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.event(&first, 1, "x", None);
    gateway.event(&first, 2, "y", Some(MINIMUM - 1));
    assert_eq!(gateway.cancelled, [first.id]);
    let second = gateway.last();
    assert_ne!(second.server, first.server);
    assert_eq!(second.last_event_id, None);
}

#[test]
fn servers_below_the_minimum_get_no_attempts() {
    let mut gateway = Gateway::new(&[MINIMUM - 1]);
    gateway.assign(group("job", 0, &["a"]));
    assert!(gateway.attempts.is_empty());
    gateway.runner.set_server(&server(0, MINIMUM));
    gateway.tick();
    assert_eq!(gateway.last().expect_version, Some(MINIMUM));
}

#[rstest]
#[case::named(Some(8), Some(8))]
#[case::named_too_old(Some(5), None)]
#[case::guessed(None, Some(9))]
fn a_421_updates_the_known_version(#[case] stated_version: Option<u64>, #[case] next: Option<u64>) {
    let mut gateway = Gateway::new(&[7]);
    gateway.runner.set_server(&ServerInfo { limit: Some(0), ..server(1, 9) });
    gateway.assign(group("job", 0, &["a"]));
    let first = gateway.last();
    let outcome = AttemptOutcome::Status {
        code: 421,
        not_executed: true,
        retry_after_ms: None,
        version: stated_version,
    };
    gateway.ended(&first, outcome);
    // A server that states its version is used at once.
    let pause = if stated_version.is_some() { 0 } else { 50 };
    gateway.advance(pause);
    let next_assignment = gateway.attempts.get(1).and_then(|attempt| attempt.expect_version);
    assert_eq!(next_assignment, next);
}

#[test]
fn a_server_with_unknown_version_waits_for_the_server_table() {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(group("job", 0, &["a"]));
    gateway.status(&gateway.last(), 421);
    gateway.advance(5_000);
    assert_eq!(gateway.attempts.len(), 1);
    gateway.runner.set_server(&server(0, 6));
    gateway.tick();
    assert_eq!(gateway.last().expect_version, Some(6));
}

#[test]
fn a_single_version_text_resumes_only_under_its_version() {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(single_version(group("job", 0, &["a"])));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=2);
    gateway.runner.set_server(&server(1, 8));
    gateway.ended(&first, AttemptOutcome::Broken);
    gateway.advance(10);
    assert_eq!(gateway.attempts.len(), 1, "server 0 is ejected, and server 1 serves another version");
    gateway.advance(100);
    let second = gateway.last();
    assert_eq!((second.server.0, second.last_event_id, second.expect_version), (0, Some(2), Some(7)));
}

#[test]
fn a_single_version_text_restarts_if_no_server_serves_its_version() {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(single_version(group("job", 0, &["a"])));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=2);
    gateway.runner.set_server(&server(1, 8));
    gateway.ended(&first, AttemptOutcome::Broken);
    gateway.runner.remove_server(ServerKey(0));
    gateway.tick();
    let second = gateway.last();
    assert_eq!((second.server.0, second.last_event_id, second.expect_version), (1, None, Some(8)));
    gateway.started(&second, 8);
    gateway.events(&second, 1..=3);
    gateway.ended(&second, AttemptOutcome::Complete);
    assert_eq!(gateway.result(), &completed("e1\ne2\ne3", &[8], None));
}

#[test]
fn a_single_version_text_leaves_a_server_whose_version_changes() {
    let mut gateway = Gateway::new(&[7, 7]);
    gateway.assign(single_version(group("job", 0, &["a"])));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.event(&first, 1, "e1", None);
    gateway.event(&first, 2, "other", Some(8));
    assert_eq!(gateway.cancelled, [first.id]);
    let second = gateway.last();
    assert_ne!(second.server, first.server);
    assert_eq!((second.last_event_id, second.expect_version), (Some(1), Some(7)));
}

#[test]
fn a_single_version_text_restarts_if_its_version_disappeared_while_running() {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(single_version(group("job", 0, &["a"])));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=2);
    gateway.runner.set_server(&server(0, 8));
    gateway.tick();
    gateway.ended(&first, AttemptOutcome::Broken);
    gateway.advance(50);
    let second = gateway.last();
    assert_eq!((second.last_event_id, second.expect_version), (None, Some(8)));
}

#[rstest]
#[case::job_ended(|gateway: &mut Gateway| gateway.with_runner(|runner, out| runner.cancel("job", out)))]
#[case::lease_expired(|gateway: &mut Gateway| gateway.with_runner(|runner, out| runner.lease_expired(3, u64::MAX, out)))]
fn an_archived_single_version_text_restarts_if_its_version_disappeared(#[case] drop_group: fn(&mut Gateway)) {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(single_version(group("job", 0, &["a"])));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=2);
    drop_group(&mut gateway);
    gateway.runner.set_server(&server(0, 8));
    gateway.tick();
    gateway.assign(single_version(group("later", 0, &["a"])));
    assert_eq!(
        gateway.attempts.len(),
        2,
        "no server serves the version of the archived text, and none ever will"
    );
    let second = gateway.last();
    assert_eq!((second.last_event_id, second.expect_version), (None, Some(8)));
}

#[test]
fn a_text_restarts_if_its_route_becomes_single_version_without_a_matching_server() {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(group("job", 0, &["a"]));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=2);
    gateway.ended(&first, AttemptOutcome::Broken);
    gateway.runner.set_server(&server(0, 8));
    gateway.tick();
    gateway.with_runner(|runner, out| runner.reroute(|_| Some(route_settings(true)), out));
    gateway.advance(100);
    let second = gateway.last();
    assert_eq!((second.last_event_id, second.expect_version), (None, Some(8)));
}

#[test]
fn a_scoring_text_of_two_versions_restarts_if_its_route_becomes_single_version() {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(scored(group("job", 0, &["a"])));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=1);
    gateway.event(&first, 2, "e2", Some(8));
    gateway.ended(&first, AttemptOutcome::Complete);
    let call = gateway.last_reward();
    gateway.with_runner(|runner, out| runner.reroute(|_| Some(route_settings(true)), out));
    gateway.tick();
    gateway.reward_status(&call, 200);
    assert!(gateway.reports.is_empty(), "a text of versions 7 and 8 is not a valid result on this route");
    let second = gateway.last();
    assert_ne!(second.id, first.id);
    assert_eq!(second.last_event_id, None);
    gateway.started(&second, 8);
    gateway.events(&second, 1..=2);
    gateway.ended(&second, AttemptOutcome::Complete);
    gateway.reward_status(&gateway.last_reward(), 200);
    let ItemResult::Completed { weight_versions, .. } = gateway.result() else { panic!("it has a text") };
    assert_eq!(*weight_versions, [8]);
}

#[test]
fn an_archived_single_version_text_resumes_where_its_version_is_served() {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(single_version(group("job", 0, &["a"])));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=2);
    gateway.with_runner(|runner, out| runner.cancel("job", out));
    gateway.assign(single_version(group("later", 0, &["a"])));
    let second = gateway.last();
    assert_eq!((second.last_event_id, second.expect_version), (Some(2), Some(7)));
}

#[test]
fn a_complete_archived_text_needs_no_server_with_its_version() {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(single_version(scored(group("job", 0, &["a"]))));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=2);
    gateway.ended(&first, AttemptOutcome::Complete);
    gateway.with_runner(|runner, out| runner.cancel("job", out));
    gateway.runner.set_server(&server(0, 8));
    gateway.tick();
    gateway.assign(single_version(scored(group("later", 0, &["a"]))));
    assert_eq!((gateway.attempts.len(), gateway.rewards.len()), (1, 2));
    gateway.reward_status(&gateway.last_reward(), 200);
    assert_eq!(gateway.result(), &completed("e1\ne2", &[7], Some("stamp-200")));
}

#[rstest]
#[case::below_the_minimum(false, MINIMUM - 1)]
#[case::another_than_the_text(true, 8)]
fn a_head_with_a_wrong_version_ends_the_attempt_at_once(#[case] single: bool, #[case] version: u64) {
    let mut gateway = Gateway::new(&[7, 7, 7]);
    let assignment = group("job", 0, &["a"]);
    gateway.assign(if single { single_version(assignment) } else { assignment });
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=2);
    gateway.ended(&first, AttemptOutcome::Broken);
    let second = gateway.last();
    gateway.started(&second, version);
    assert_eq!(gateway.cancelled, [second.id]);
    let third = gateway.last();
    assert_ne!(third.server, second.server);
    assert_eq!((third.last_event_id, third.expect_version), (Some(2), Some(7)));
}

/// Drops the groups that no server could run and returns their indexes.
fn drop_unservable_groups(gateway: &mut Gateway) -> Vec<u32> {
    let mut groups = Vec::new();
    gateway
        .with_runner(|runner, out| groups = runner.drop_unservable(out).iter().map(|id| id.group).collect());
    groups
}

#[test]
fn a_group_that_no_known_server_could_run_is_dropped() {
    let mut gateway = Gateway::new(&[MINIMUM - 1]);
    gateway.assign(group("job", 0, &["a", "b"]));
    assert_eq!(drop_unservable_groups(&mut gateway), [0]);
    assert_eq!((gateway.runner.open_groups(), drop_unservable_groups(&mut gateway).len()), (0, 0));
    gateway.runner.set_server(&server(0, MINIMUM));
    gateway.tick();
    assert!(gateway.attempts.is_empty() && gateway.reports.is_empty(), "nothing of the group is left here");
}

#[rstest]
#[case::a_server_suits(&[MINIMUM - 1, MINIMUM])]
#[case::a_busy_server_suits(&[MINIMUM])]
fn a_group_that_waits_for_a_free_slot_is_kept(#[case] versions: &[u64]) {
    let mut gateway = Gateway::new(versions);
    gateway.assign(group("job", 0, &["a", "b"]));
    gateway.assign(group("job", 1, &["c"]));
    assert!(drop_unservable_groups(&mut gateway).is_empty());
}

#[test]
fn a_running_or_scoring_group_is_kept() {
    let mut gateway = Gateway::new(&[MINIMUM, MINIMUM]);
    gateway.assign(scored(group("job", 0, &["a"])));
    gateway.assign(group("job", 1, &["b"]));
    let scored = gateway.attempts[0].clone();
    gateway.events(&scored, 1..=1);
    gateway.ended(&scored, AttemptOutcome::Complete);
    (0..2).for_each(|key| gateway.runner.set_server(&ServerInfo { draining: true, ..server(key, MINIMUM) }));
    assert!(drop_unservable_groups(&mut gateway).is_empty());
}
