//! The largest times that a configuration, a client or a server can state: none of them ends anything early.

mod requests_support;

use std::sync::Arc;

use orchidvalve_configuration::{Configuration, RouteTable};
use orchidvalve_data_plane::exchanges::reward_outcome;
use orchidvalve_data_plane::generations::{RewardOutcome, Routes};
use orchidvalve_data_plane::upstream::keep_alive_ms;
use orchidvalve_data_plane::work::RewardRoutes;
use requests_support::{Harness, SERVICE, head, success};
use rstest::rstest;

/// A clock reading, in milliseconds since 1970: later than any that a steady clock shows.
const NOW_MS: u64 = 1_800_000_000_000;

/// Returns a configuration of a single route whose times are all `time`.
fn routes_with_times(time: &str) -> Arc<RouteTable> {
    let document = format!(
        r#"{{"config-version":1,"routes":[{{"name":"repeat","hostname":"ficu95.example","path-prefix":"/repeat/",
        "route-type":"idempotent","timeout-ms":{time},"target-latency-ms":{time},"service":"{SERVICE}",
        "max-attempts":3}}],"services":[{{"name":"{SERVICE}","health-path":"/health"}}],
        "limits":{{"header-timeout-ms":{time},"idle-timeout-ms":{time}}}}}"#
    );
    RouteTable::compile(&Configuration::replace(document.as_bytes(), None).unwrap())
}

/// Guards against deadlines and hedges whose time overflows the clock.
#[rstest]
fn a_request_with_the_largest_times_is_served(
    #[values("18446744073709551615", "1.7e308")] time: &str,
    #[values("", "Deadline-Ms: 18446744073709551615\r\n")] lines: &str,
) {
    let mut harness = Harness::with_routes(2, routes_with_times(time));
    harness.begin_with("repeat", lines);
    let attempt = harness.last();
    harness.advance(20_000);
    assert_eq!(harness.client.status, None);
    harness.respond(attempt, success(), "text");
    assert_eq!(harness.client.status, Some(200));
}

/// Guards against reward calls that end at once: their deadline is a multiple of the target latency.
#[rstest]
fn a_multiple_of_the_longest_target_latency_can_be_added_to_a_clock(
    #[values("2300000000000000000", "18446744073709551615", "1.7e308")] time: &str,
) {
    let routes = RewardRoutes(Some(routes_with_times(time)));
    let route = routes.reward_route("ficu95.example", "/repeat/1", 0).unwrap();
    let deadline = route.target_latency_ms.checked_mul(8).and_then(|multiple| multiple.checked_add(NOW_MS));
    assert!(deadline.is_some(), "{}", route.target_latency_ms);
}

#[rstest]
#[case::largest_whole_number("18446744073709551615")]
#[case::infinite("inf")]
fn a_server_may_state_the_longest_retry_after(#[case] seconds: &str) {
    let rejection = head(503, &[("Retry-After", seconds)]);
    let RewardOutcome::Response { retry_after_ms, .. } = reward_outcome(Some(&rejection)) else {
        panic!("no response")
    };
    assert!(retry_after_ms.unwrap().checked_add(NOW_MS).is_some());
}

#[test]
fn a_server_may_state_the_longest_keep_alive() {
    let response = head(200, &[("Keep-Alive", "timeout=18446744073709551615")]);
    let kept_ms = keep_alive_ms(&response);
    assert!(kept_ms > 24 * 3_600 * 1_000 && kept_ms.checked_add(NOW_MS).is_some(), "{kept_ms}");
}
