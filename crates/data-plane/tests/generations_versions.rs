//! Versions of weights: minimum, single-version routes, servers that hold another version than thought.

mod generations_support;

use generations_support::*;
use orchidvalve_data_plane::generations::{AttemptOutcome, ItemResult, ServerInfo, ServerKey};
use rstest::rstest;

#[test]
fn versions_that_made_an_event_are_told() {
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
fn a_text_under_the_minimum_is_dropped() {
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
fn servers_under_the_minimum_get_nothing() {
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
    // A server that says what it holds is used at once.
    let pause = if stated_version.is_some() { 0 } else { 50 };
    gateway.pass(pause);
    let again = gateway.attempts.get(1).and_then(|attempt| attempt.expect_version);
    assert_eq!(again, next);
}

#[test]
fn a_server_that_serves_no_known_version_waits_for_the_list() {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(group("job", 0, &["a"]));
    gateway.status(&gateway.last(), 421);
    gateway.pass(5_000);
    assert_eq!(gateway.attempts.len(), 1);
    gateway.runner.set_server(&server(0, 6));
    gateway.tick();
    assert_eq!(gateway.last().expect_version, Some(6));
}

#[test]
fn a_single_version_text_goes_on_only_under_its_version() {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(single_version(group("job", 0, &["a"])));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=2);
    gateway.runner.set_server(&server(1, 8));
    gateway.ended(&first, AttemptOutcome::Broken);
    gateway.pass(10);
    assert_eq!(gateway.attempts.len(), 1, "server 0 is paused, and server 1 holds another version");
    gateway.pass(100);
    let second = gateway.last();
    assert_eq!((second.server.0, second.last_event_id, second.expect_version), (0, Some(2), Some(7)));
}

#[test]
fn a_single_version_text_starts_anew_if_no_server_serves_its_version() {
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
fn a_single_version_text_starts_anew_if_its_version_went_while_it_ran() {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(single_version(group("job", 0, &["a"])));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=2);
    gateway.runner.set_server(&server(0, 8));
    gateway.tick();
    gateway.ended(&first, AttemptOutcome::Broken);
    gateway.pass(50);
    let second = gateway.last();
    assert_eq!((second.last_event_id, second.expect_version), (None, Some(8)));
}

#[rstest]
#[case::job_ended(|gateway: &mut Gateway| gateway.direct(|runner, out| runner.cancel("job", out)))]
#[case::lease_expired(|gateway: &mut Gateway| gateway.direct(|runner, out| runner.lease_expired(3, u64::MAX, out)))]
fn a_single_version_text_brought_back_starts_anew_if_its_version_went_meanwhile(
    #[case] taken_away: fn(&mut Gateway),
) {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(single_version(group("job", 0, &["a"])));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=2);
    taken_away(&mut gateway);
    gateway.runner.set_server(&server(0, 8));
    gateway.tick();
    gateway.assign(single_version(group("later", 0, &["a"])));
    assert_eq!(gateway.attempts.len(), 2, "no server holds the version of the kept text, and none ever will");
    let second = gateway.last();
    assert_eq!((second.last_event_id, second.expect_version), (None, Some(8)));
}

#[test]
fn a_text_starts_anew_if_its_route_is_made_single_version_when_its_version_is_served_no_more() {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(group("job", 0, &["a"]));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=2);
    gateway.ended(&first, AttemptOutcome::Broken);
    gateway.runner.set_server(&server(0, 8));
    gateway.tick();
    gateway.direct(|runner, out| runner.reroute(|_| Some(facts(true)), out));
    gateway.pass(100);
    let second = gateway.last();
    assert_eq!((second.last_event_id, second.expect_version), (None, Some(8)));
}

#[test]
fn a_text_of_two_versions_that_waits_for_its_score_is_made_anew_if_its_route_is_made_single_version() {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(scored(group("job", 0, &["a"])));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=1);
    gateway.event(&first, 2, "e2", Some(8));
    gateway.ended(&first, AttemptOutcome::Complete);
    let call = gateway.last_reward();
    gateway.direct(|runner, out| runner.reroute(|_| Some(facts(true)), out));
    gateway.tick();
    gateway.reward_status(&call, 200);
    assert!(gateway.reports.is_empty(), "a text of versions 7 and 8 is no result of this route");
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
fn a_single_version_text_brought_back_goes_on_where_its_version_is_served() {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(single_version(group("job", 0, &["a"])));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=2);
    gateway.direct(|runner, out| runner.cancel("job", out));
    gateway.assign(single_version(group("later", 0, &["a"])));
    let second = gateway.last();
    assert_eq!((second.last_event_id, second.expect_version), (Some(2), Some(7)));
}

#[test]
fn a_complete_text_brought_back_needs_no_server_with_its_version() {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(single_version(scored(group("job", 0, &["a"]))));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=2);
    gateway.ended(&first, AttemptOutcome::Complete);
    gateway.direct(|runner, out| runner.cancel("job", out));
    gateway.runner.set_server(&server(0, 8));
    gateway.tick();
    gateway.assign(single_version(scored(group("later", 0, &["a"]))));
    assert_eq!((gateway.attempts.len(), gateway.rewards.len()), (1, 2));
    gateway.reward_status(&gateway.last_reward(), 200);
    assert_eq!(gateway.result(), &completed("e1\ne2", &[7], Some("stamp-200")));
}

#[rstest]
#[case::under_the_minimum(false, MINIMUM - 1)]
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

/// Gives up what no server could run; the numbers of the groups.
fn hopeless(gateway: &mut Gateway) -> Vec<u32> {
    let mut groups = Vec::new();
    gateway.direct(|runner, out| groups = runner.drop_unservable(out).iter().map(|id| id.group).collect());
    groups
}

#[test]
fn a_group_that_no_known_server_could_run_is_dropped() {
    let mut gateway = Gateway::new(&[MINIMUM - 1]);
    gateway.assign(group("job", 0, &["a", "b"]));
    assert_eq!(hopeless(&mut gateway), [0]);
    assert_eq!((gateway.runner.open_groups(), hopeless(&mut gateway).len()), (0, 0));
    gateway.runner.set_server(&server(0, MINIMUM));
    gateway.tick();
    assert!(gateway.attempts.is_empty() && gateway.reports.is_empty(), "nothing of it is left here");
}

#[rstest]
#[case::a_server_suits(&[MINIMUM - 1, MINIMUM])]
#[case::a_busy_server_suits(&[MINIMUM])]
fn a_group_that_only_waits_its_turn_is_kept(#[case] versions: &[u64]) {
    let mut gateway = Gateway::new(versions);
    gateway.assign(group("job", 0, &["a", "b"]));
    gateway.assign(group("job", 1, &["c"]));
    assert!(hopeless(&mut gateway).is_empty());
}

#[test]
fn a_group_of_which_something_runs_or_waits_for_its_score_is_kept() {
    let mut gateway = Gateway::new(&[MINIMUM, MINIMUM]);
    gateway.assign(scored(group("job", 0, &["a"])));
    gateway.assign(group("job", 1, &["b"]));
    let scored = gateway.attempts[0].clone();
    gateway.events(&scored, 1..=1);
    gateway.ended(&scored, AttemptOutcome::Complete);
    (0..2).for_each(|key| gateway.runner.set_server(&ServerInfo { draining: true, ..server(key, MINIMUM) }));
    assert!(hopeless(&mut gateway).is_empty());
}
