//! Tests of reward calls: when they are sent, what is retried, and what ends in a report.

mod generations_support;

use generations_support::*;
use orchidvalve_data_plane::generations::{AttemptOutcome, ItemResult, RewardOutcome, ServerInfo};
use rstest::rstest;

/// Returns a gateway whose only item has a complete text.
fn gateway_with_complete_text() -> Gateway {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(scored(group("job", 0, &["a"])));
    let attempt = gateway.last();
    gateway.started(&attempt, 7);
    gateway.events(&attempt, 1..=2);
    assert!(gateway.rewards.is_empty(), "no call before the text is complete");
    gateway.ended(&attempt, AttemptOutcome::Complete);
    gateway
}

#[test]
fn a_result_is_reported_with_its_score() {
    let mut gateway = gateway_with_complete_text();
    assert!(gateway.reports.is_empty());
    let call = gateway.last_reward();
    gateway.reward_status(&call, 200);
    assert_eq!(gateway.result(), &completed("e1\ne2", &[7], Some("stamp-200")));
    gateway.reward_status(&call, 200);
    assert_eq!((gateway.reports.len(), gateway.runner.open_groups()), (1, 0));
}

#[rstest]
#[case::rejected(RewardOutcome::Response { code: 503, signature: None, retry_after_ms: None })]
#[case::gateway(RewardOutcome::Response { code: 504, signature: None, retry_after_ms: None })]
#[case::failed(RewardOutcome::Response { code: 500, signature: None, retry_after_ms: None })]
#[case::no_signature(RewardOutcome::Response { code: 200, signature: None, retry_after_ms: None })]
#[case::broken(RewardOutcome::Broken)]
#[case::no_connection(RewardOutcome::ConnectFailed)]
fn a_failed_call_is_retried_at_another_server(#[case] outcome: RewardOutcome) {
    let mut gateway = gateway_with_complete_text();
    let first = gateway.last_reward();
    gateway.reward_ended(&first, outcome);
    assert_eq!(gateway.rewards.len(), 1, "the retry waits for its backoff");
    gateway.advance(50);
    let second = gateway.last_reward();
    assert_eq!(gateway.rewards.len(), 2);
    assert_ne!(second.server, first.server);
    gateway.reward_status(&second, 200);
    assert!(matches!(gateway.result(), ItemResult::Completed { .. }));
}

#[rstest]
#[case::failures_count(500, true)]
#[case::rejections_do_not(503, false)]
#[case::other_failures_do_not(502, false)]
fn an_item_expires_at_the_limit_of_500_responses(#[case] code: u16, #[case] expired: bool) {
    let mut gateway = gateway_with_complete_text();
    for count in 1..=MAX_ATTEMPTS {
        assert!(gateway.reports.is_empty(), "{count}");
        gateway.reward_status(&gateway.last_reward(), code);
        // Longer than any backoff, and too short for the next call to be hedged.
        gateway.advance(REWARD_TARGET_MS);
    }
    assert_eq!(gateway.reports.len(), usize::from(expired));
}

#[test]
fn a_call_in_flight_can_complete_an_item_at_its_failure_limit() {
    let mut gateway = gateway_with_complete_text();
    gateway.advance(2 * REWARD_TARGET_MS);
    let (first, second) = (gateway.rewards[0].clone(), gateway.rewards[1].clone());
    gateway.reward_status(&second, 500);
    gateway.advance(REWARD_TARGET_MS);
    assert_eq!(gateway.rewards.len(), 2, "no third call while the first is in flight");
    gateway.reward_status(&first, 200);
    assert!(matches!(gateway.result(), ItemResult::Completed { .. }));
}

#[test]
fn a_slow_call_is_hedged_once() {
    let mut gateway = gateway_with_complete_text();
    let first = gateway.last_reward();
    gateway.advance(2 * REWARD_TARGET_MS - 1);
    assert_eq!(gateway.rewards.len(), 1);
    gateway.advance(1);
    let second = gateway.last_reward();
    assert_eq!(gateway.rewards.len(), 2);
    assert_ne!(second.server, first.server);
    gateway.advance(10 * REWARD_TARGET_MS);
    assert_eq!(gateway.rewards.len(), 2, "only once");
    gateway.reward_status(&second, 200);
    assert!(matches!(gateway.result(), ItemResult::Completed { .. }));
    assert_eq!(gateway.runner.in_flight(), 0);
    gateway.reward_status(&first, 200);
    assert_eq!(gateway.reports.len(), 1);
}

#[test]
fn a_call_that_never_ends_is_retried() {
    let mut gateway = gateway_with_complete_text();
    gateway.advance(10_000);
    assert!(gateway.rewards.len() > 2);
    assert!(gateway.reports.is_empty());
}

#[test]
fn a_call_waits_for_its_route() {
    let mut gateway = Gateway::new(&[7]);
    gateway.runner.set_routes(routes(false));
    gateway.assign(scored(group("job", 0, &["a"])));
    let attempt = gateway.last();
    gateway.events(&attempt, 1..=1);
    gateway.ended(&attempt, AttemptOutcome::Complete);
    gateway.advance(3_000);
    assert!(gateway.rewards.is_empty() && gateway.reports.is_empty());
    gateway.runner.set_routes(routes(true));
    gateway.advance(1_000);
    gateway.reward_status(&gateway.last_reward(), 200);
    assert!(matches!(gateway.result(), ItemResult::Completed { .. }));
}

#[test]
fn an_item_without_a_score_expires_at_its_deadline() {
    let mut gateway = gateway_with_complete_text();
    gateway.advance(EXPIRES_AT - gateway.now - 1);
    assert!(gateway.reports.is_empty());
    gateway.advance(1);
    assert_eq!(gateway.result(), &ItemResult::Expired);
    assert_eq!(gateway.runner.in_flight(), 0);
}

#[test]
fn cancelling_the_batch_job_cancels_its_calls() {
    let mut gateway = gateway_with_complete_text();
    let call = gateway.last_reward();
    gateway.with_runner(|runner, out| runner.cancel("job", out));
    assert_eq!(gateway.runner.in_flight(), 0);
    gateway.reward_status(&call, 200);
    gateway.advance(EXPIRES_AT);
    assert!(gateway.reports.is_empty());
    assert_eq!(gateway.rewards.len(), 1);
}

#[test]
fn a_complete_text_of_an_earlier_batch_job_only_needs_its_score() {
    let mut gateway = gateway_with_complete_text();
    gateway.with_runner(|runner, out| runner.cancel("job", out));
    gateway.assign(scored(group("later", 0, &["a"])));
    assert_eq!((gateway.attempts.len(), gateway.rewards.len()), (1, 2));
    gateway.reward_status(&gateway.last_reward(), 200);
    assert_eq!(gateway.result(), &completed("e1\ne2", &[7], Some("stamp-200")));
}

/// Two thirds of the four slots of the scoring service, times this gateway's fraction.
#[rstest]
#[case::the_only_gateway(1.0, 3)]
#[case::one_of_two(0.5, 2)]
#[case::one_of_many_has_one_at_least(0.01, 1)]
fn reward_calls_leave_slots_to_clients(#[case] slot_fraction: f64, #[case] most: usize) {
    let mut gateway = Gateway::new(&[7, 7, 7, 7]);
    gateway.runner.set_slot_fraction(slot_fraction);
    gateway.assign(scored(group("job", 0, &["a", "b", "c", "d"])));
    for attempt in gateway.attempts.clone() {
        gateway.events(&attempt, 1..=1);
        gateway.ended(&attempt, AttemptOutcome::Complete);
    }
    assert_eq!(gateway.rewards.len(), most);
    gateway.reward_status(&gateway.rewards[0].clone(), 200);
    assert_eq!(gateway.rewards.len(), most + 1, "the next one follows");
    let draining_server =
        |key| ServerInfo { service: "scoring".into(), models: vec![], draining: true, ..server(key, 0) };
    (100..102).for_each(|key| gateway.runner.set_server(&draining_server(key)));
    gateway.tick();
    assert_eq!(gateway.rewards.len(), most + 1);
}
