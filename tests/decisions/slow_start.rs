//! Attempts at recently started servers.

use crate::host::*;
use orchidvalve::interface::*;
use orchidvalve::state::AttemptOutcome;

#[test]
fn a_warming_server_gets_no_burst() {
    let mut host = Host::new(settings(2));
    host.traffic(100, &[]);
    let now = host.now;
    host.round(|state| {
        state.membership_update_begins(false);
        state.member_listed(A, 0, true, Some(now));
        state.membership_update_ends();
    });
    let mut to_warming = 0;
    for _ in 0..5 {
        for _ in 0..12 {
            to_warming += attempts(&host.query(0, &[0]).1).iter().filter(|attempt| attempt.1 == A).count();
        }
        host.now += 40 * MS;
        host.end_attempts(|_| Some(AttemptOutcome::Answered));
    }
    // The server has a quarter of its capacity, times the overload multiple of 4: what a warm one completed in a
    // second, less the safety factor.
    assert!((1..=14).contains(&to_warming), "{to_warming} shard requests within 200 ms on a warming server");
}

#[test]
fn a_fleet_that_restarted_at_once_warms_up() {
    let mut host = Host::new(settings(2));
    let now = host.now;
    host.round(|state| {
        state.membership_update_begins(false);
        state.member_listed(A, 0, true, Some(now));
        state.member_listed(B, 1, true, Some(now));
        state.membership_update_ends();
    });
    let first = attempts(&host.traffic(20, &[])).len();
    host.traffic(60, &[]);
    let later = attempts(&host.traffic(20, &[])).len();
    assert!(first <= 4 && later >= 16, "{first} in the first second, {later} in the fifth");
}

#[test]
fn a_front_node_without_warm_up_quota_sends_nothing_to_warming_servers() {
    // One attempt per window from each of hundreds of front nodes would overload a warming server. The fleet's budget
    // leaves this front node none.
    let mut host = Host::new(settings(2));
    let now = host.now;
    host.round(|state| {
        state.membership_update_begins(false);
        state.member_listed(A, 0, true, Some(now));
        state.member_listed(B, 1, true, Some(now));
        state.membership_update_ends();
        state.fleet_limits_received(A, 0.0, 0);
        state.fleet_limits_received(B, 0.0, 0);
    });
    assert_eq!(attempts(&host.traffic(20, &[])).len(), 0);
    let mut actions = host.round(|state| state.fleet_limits_received(A, 1.0, 0));
    actions.extend(host.traffic(20, &[]));
    let sent = attempts(&actions);
    assert!(
        !sent.is_empty() && sent.iter().all(|attempt| attempt.1 == A),
        "a quota of one attempt per window: {sent:?}"
    );
}

/// Two hundred front nodes with little traffic each find a warming server next to a warm one. Warm, it completes 80
/// shard requests per second; now it has a fifth of that, and withstands twice this for a second. Allows for chance as
/// the operators' guide does.
#[test]
fn hundreds_of_front_nodes_with_little_traffic_do_not_overload_a_warming_server() {
    let mut settings = settings(2);
    settings.slow_start = SlowStart {
        initial_share: 0.2,
        duration: 9_000 * MS,
        overload_multiple: 2.0,
        overload_window: 1_000 * MS,
    };
    settings.front_nodes = 200;
    let mut sent = 0;
    for front in 0..200 {
        let mut host = Host::seeded(settings.clone(), front);
        for _ in 0..8 {
            host.query(0, &[0]);
            host.now += 50 * MS;
            host.end_attempts(|_| Some(AttemptOutcome::Answered));
            host.now += 950 * MS;
        }
        let now = host.now;
        host.round(|state| {
            state.membership_update_begins(false);
            state.member_listed(A, 0, true, Some(now));
            state.membership_update_ends();
        });
        // Seven in ten front nodes have a request for it in its first second: 140 shard requests for two servers.
        if front % 10 < 7 {
            host.now += front as Nanos * 5 * MS;
            sent += attempts(&host.query(0, &[0]).1).iter().filter(|attempt| attempt.1 == A).count();
        }
    }
    let expected: f64 = 2.0 * 0.2 * 80.0;
    assert!(
        (sent as f64) <= expected + 3.0 * expected.sqrt() + 3.0,
        "{sent} shard requests, limit about {expected}"
    );
}

#[test]
fn hundreds_of_front_nodes_do_not_overload_a_server_that_restarted_unannounced() {
    let mut settings = settings(2);
    settings.slow_start = SlowStart {
        initial_share: 0.2,
        duration: 9_000 * MS,
        overload_multiple: 2.0,
        overload_window: 1_000 * MS,
    };
    (settings.front_nodes, settings.cells_per_shard, settings.may_check_health) = (200, 1, false);
    let mut sent = 0;
    for front in 0..200 {
        let mut host = Host::seeded(settings.clone(), front);
        // A crashes, and restarts cold a moment later. No endpoint list reports either.
        for shard in [1, 1, 1, 1, 1, 1, 1, 0] {
            host.query(0, &[shard]);
            host.now += 50 * MS;
            host.end_attempts(|r| {
                Some(if r == A { AttemptOutcome::ConnectFailed } else { AttemptOutcome::Answered })
            });
            host.wait(450 * MS);
        }
        for _ in 0..20 {
            host.wait(50 * MS);
            host.end_attempts(|r| (r == A).then_some(AttemptOutcome::ConnectFailed));
        }
        host.in_flight.clear();
        if front % 10 < 7 {
            sent += attempts(&host.query(0, &[0]).1).iter().filter(|attempt| attempt.1 == A).count();
        }
    }
    let expected: f64 = 2.0 * 0.2 * 80.0;
    assert!(
        (sent as f64) <= expected + 3.0 * expected.sqrt() + 3.0,
        "{sent} shard requests, limit about {expected}"
    );
    assert!(sent > 0, "the restarted server gets some attempts");
}
