//! The role of usage reporting against a platform over loopback: what is decided and sent, and which head sends it again.
//! The time is passed in, so no test waits for a clock.

#[path = "../../data-plane/tests/sockets_support/mod.rs"]
mod sockets_support;
mod usage_support;

use orchidvalve_control_plane::singleton_roles::DECISION_DELAY_MS;
use orchidvalve_control_state::{ControlState, MAX_UNDECIDED_WINDOWS, StateSnapshot};
use orchidvalve_protocol::frames::{decode, encode};
use rstest::rstest;
use usage_support::*;

// Guards against reports that are decided before late counts arrive, or sent before they are committed.
#[test]
fn a_window_is_decided_after_its_end_and_sent_once_it_is_committed() {
    let mut platform = Platform::new();
    let mut head = Head::new(&platform, TERM, state_with_tenants());
    head.count(71, 0, "cuka620", 300);
    head.count(72, 0, "cuka620", 112);
    head.count(72, 0, "seje681", 412);
    head.pass_to(WINDOW_MS + DECISION_DELAY_MS - 1);
    head.turn();
    assert_eq!(head.tentative.usage_reports().next_window(), None);
    head.pass_to(WINDOW_MS + DECISION_DELAY_MS);
    head.turn();
    assert_eq!(head.tentative.usage_reports().next_window(), Some(WINDOW + 1));
    platform.expect_no_call(&mut head);
    head.commit();
    let call = platform.call(&mut head);
    assert!(call.head.starts_with("POST /usage-reports HTTP/1.1\r\n"), "{}", call.head);
    assert!(call.head.contains("Duty-Holder: control-1\r\n") && call.head.contains("Fence-Token: 12\r\n"));
    assert!(call.head.contains("Content-Type: application/json\r\n"));
    assert_eq!(call.body, format!(r#"{{"window":{WINDOW},"counts":{{"cuka620":412,"seje681":412}}}}"#));
}

// Guards against reports that are sent again after the platform has accepted them.
#[test]
fn an_accepted_report_is_not_sent_again() {
    let mut platform = Platform::new();
    let mut head = Head::new(&platform, TERM, state_with_tenants());
    head.decide_first_window();
    platform.call(&mut head).answer(200);
    head.until(|head| head.tentative.usage_reports().unaccepted_windows().next().is_none().then_some(()));
    // The committed state still contains the report.
    platform.expect_no_call(&mut head);
    head.commit();
    platform.expect_no_call(&mut head);
    assert_eq!(head.state.usage_reports().unaccepted_windows().count(), 0);
}

// Guards against ONE of incident keys-and-duties: a report in flight under a former term arrives after the report of
// another window under the next term, so that the fencing token decreases.
#[test]
fn no_report_is_sent_while_one_of_a_former_term_is_in_flight() {
    let mut platform = Platform::new();
    let mut head = Head::new(&platform, TERM, state_with_tenants());
    head.pass_to(2 * WINDOW_MS + DECISION_DELAY_MS);
    head.turn();
    head.commit();
    assert_eq!(head.state.usage_reports().unaccepted_windows().count(), 2);
    let mut open = platform.call(&mut head);
    head.roles.set_term(Some(TERM + 1));
    platform.expect_no_call(&mut head);
    open.answer(200);
    open.wait_until_read(&mut head);
    let next = platform.call_within(&mut head, 1_000);
    assert!(next.head.contains(&format!("Fence-Token: {}\r\n", TERM + 1)), "{}", next.head);
}

// Guards against windows that are skipped because they have no requests: their reports are due as well.
#[test]
fn a_window_without_requests_is_reported() {
    let mut platform = Platform::new();
    let mut head = Head::new(&platform, TERM, state_with_tenants());
    head.decide_first_window();
    assert_eq!(platform.call(&mut head).body, format!(r#"{{"window":{WINDOW},"counts":{{}}}}"#));
}

/// When the head is killed.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Killed {
    BeforeTheCall,
    WhileTheCallIsOpen,
    AfterTheCallIsAccepted,
}

// Guards against two different reports of one window, and against a report that is lost with its head.
#[rstest]
fn the_next_head_sends_the_same_report_under_a_higher_term(
    #[values(Killed::BeforeTheCall, Killed::WhileTheCallIsOpen, Killed::AfterTheCallIsAccepted)]
    killed: Killed,
) {
    let mut platform = Platform::new();
    let mut former = Head::new(&platform, TERM, state_with_tenants());
    former.count(71, 0, "cuka620", 3);
    former.decide_first_window();
    let mut first_body = None;
    if killed != Killed::BeforeTheCall {
        let mut call = platform.call(&mut former);
        first_body = Some(call.body.clone());
        if killed == Killed::AfterTheCallIsAccepted {
            call.answer(200);
        }
    }
    // An acceptance by the platform is not committed yet.
    let state = former.state.clone();
    let at = former.now;
    drop(former);
    let mut next = Head::successor(&platform, TERM + 1, state, at);
    // This head has received more counts than the former one.
    next.count(71, 0, "cuka620", 5);
    next.pass_to(WINDOW_MS + DECISION_DELAY_MS + LEASE_WAIT_MS - 1);
    platform.expect_no_call(&mut next);
    next.pass_to(WINDOW_MS + DECISION_DELAY_MS + LEASE_WAIT_MS);
    let mut call = platform.call(&mut next);
    assert!(call.head.contains("Fence-Token: 13\r\n"), "{}", call.head);
    assert_eq!(call.body, format!(r#"{{"window":{WINDOW},"counts":{{"cuka620":3}}}}"#));
    assert!(first_body.is_none_or(|body| body == call.body));
    call.answer(200);
    next.until(|head| head.tentative.usage_reports().unaccepted_windows().next().is_none().then_some(()));
}

// Guards against a report that is decided again after a power loss: the platform may have accepted the first one.
#[test]
fn a_committed_report_is_sent_unchanged_after_a_power_loss() {
    let mut platform = Platform::new();
    let mut former = Head::new(&platform, TERM, state_with_tenants());
    former.count(71, 0, "cuka620", 3);
    former.decide_first_window();
    let body = platform.call(&mut former).body;
    let disk = encode(&former.state.snapshot());
    let at = former.now;
    drop(former);
    let snapshot: StateSnapshot = decode(&disk).expect("it was just encoded");
    let state = ControlState::from_snapshot(&snapshot).expect("it was just taken");
    let mut next = Head::successor(&platform, TERM + 40, state, at);
    next.pass_to(WINDOW_MS + DECISION_DELAY_MS + LEASE_WAIT_MS);
    assert_eq!(platform.call(&mut next).body, body);
}

// Guards against a head that changes the report of a window when counts arrive late.
#[test]
fn counts_received_after_the_decision_do_not_change_the_report() {
    let mut platform = Platform::new();
    let mut head = Head::new(&platform, TERM, state_with_tenants());
    head.count(71, 0, "cuka620", 3);
    head.decide_first_window();
    let mut call = platform.call(&mut head);
    call.answer(503);
    call.wait_until_read(&mut head);
    head.count(71, 0, "cuka620", 9);
    head.pass(200);
    assert_eq!(platform.call(&mut head).body, format!(r#"{{"window":{WINDOW},"counts":{{"cuka620":3}}}}"#));
    assert_eq!(head.state.usage_reports().next_window(), Some(WINDOW + 1));
}

// Guards against calls of a node that may no longer be the head.
#[test]
fn nothing_is_sent_without_a_confirmed_quorum() {
    let mut platform = Platform::new();
    let mut head = Head::new(&platform, TERM, state_with_tenants());
    head.confirmed = false;
    head.decide_first_window();
    platform.expect_no_call(&mut head);
    assert!(
        head.next_wakeup(&mut platform) > head.now,
        "the event loop must not spin until there is a quorum"
    );
    head.confirmed = true;
    platform.call(&mut head);
}

// Guards against reports that are dropped or changed if the platform is overloaded, down, unresponsive or rejects them.
#[rstest]
#[case::overloaded(Some(429))]
#[case::down(Some(503))]
#[case::rejected(Some(400))]
#[case::not_found(Some(404))]
#[case::unresponsive(None)]
fn an_unaccepted_report_is_sent_again_after_a_pause(#[case] status: Option<u16>) {
    let mut platform = Platform::new();
    let mut head = Head::new(&platform, TERM, state_with_tenants());
    head.count(71, 0, "cuka620", 3);
    head.decide_first_window();
    let mut call = platform.call(&mut head);
    let body = call.body.clone();
    match status {
        Some(status) => {
            call.answer(status);
            call.wait_until_read(&mut head);
        }
        None => {
            platform.expect_no_call(&mut head);
            head.pass(3_000);
            head.turn();
        }
    }
    platform.expect_no_call(&mut head);
    assert!(head.next_wakeup(&mut platform) > head.now, "the event loop must not spin during the pause");
    head.pass(100);
    assert_eq!(platform.call(&mut head).body, body);
}

// Guards against a recovering platform that receives all reports at once, and against reports that become overdue because
// older ones, which are overdue anyway, were sent before them.
#[test]
fn reports_that_can_arrive_in_time_are_sent_before_overdue_ones() {
    let mut platform = Platform::new();
    let mut head = Head::new(&platform, TERM, state_with_tenants());
    head.platform_is_down = true;
    let last = 6;
    head.pass_to((last + 1) * WINDOW_MS + DECISION_DELAY_MS);
    head.turn();
    head.commit();
    assert_eq!(head.state.usage_reports().unaccepted_windows().count() as u64, last + 1);
    head.platform_is_down = false;
    let mut order = Vec::new();
    while order.len() as u64 <= last {
        let mut call = platform.call_within(&mut head, 1_000);
        order.push(call.window() - WINDOW);
        call.answer(200);
        call.wait_until_read(&mut head);
    }
    // At 37.5 s, reports of windows that ended more than 10 s ago are overdue.
    assert_eq!(order, [5, 6, 0, 1, 2, 3, 4]);
    assert!(head.sent_at.windows(5).all(|sent| sent[4] >= sent[0] + 100), "{:?}", head.sent_at);
}

// Guards against windows that are skipped after a time without a head, and against a flood of changes after that time.
#[test]
fn windows_missed_without_a_head_are_decided_in_order() {
    let platform = Platform::new();
    let mut state = state_with_tenants();
    decide(&mut state, WINDOW);
    let mut head = Head::new(&platform, TERM, state);
    head.pass_to(20 * WINDOW_MS + DECISION_DELAY_MS);
    head.count(71, 18, "cuka620", 4);
    let mut decided = Vec::new();
    for _ in 0..5 {
        let before = head.tentative.usage_reports().next_window().unwrap();
        head.decide();
        decided.push(head.tentative.usage_reports().next_window().unwrap() - before);
    }
    assert_eq!(decided, [8, 8, 3, 0, 0]);
    head.commit();
    let windows: Vec<u64> = head.state.usage_reports().unaccepted_windows().collect();
    assert_eq!(windows, (WINDOW..WINDOW + 20).collect::<Vec<u64>>());
    let counts = head.state.usage_reports().unaccepted_counts(WINDOW + 18).unwrap();
    assert_eq!(counts.get("cuka620"), Some(&4));
}

// Guards against a system that reports thousands of windows after a long time without power.
#[test]
fn windows_that_are_too_old_are_not_reported() {
    let platform = Platform::new();
    let mut state = state_with_tenants();
    decide(&mut state, WINDOW);
    accept(&mut state, WINDOW);
    let mut head = Head::new(&platform, TERM, state);
    let missed = 10 * MAX_UNDECIDED_WINDOWS;
    head.pass_to(missed * WINDOW_MS + DECISION_DELAY_MS);
    (0..30).for_each(|_| head.decide());
    head.commit();
    let windows: Vec<u64> = head.state.usage_reports().unaccepted_windows().collect();
    let first = WINDOW + missed - MAX_UNDECIDED_WINDOWS;
    assert_eq!(windows, (first..WINDOW + missed).collect::<Vec<u64>>());
}

// Guards against a head that decides before the nodes that have received counts have sent them.
#[test]
fn a_new_head_waits_for_sessions_before_it_decides() {
    let platform = Platform::new();
    let at = SINCE + WINDOW_MS + DECISION_DELAY_MS;
    let mut state = state_with_tenants();
    decide(&mut state, WINDOW - 1);
    let mut head = Head::successor(&platform, TERM, state, at);
    head.turn();
    assert_eq!(head.tentative.usage_reports().next_window(), Some(WINDOW));
    head.count(71, 0, "cuka620", 3);
    head.pass(1_500);
    head.turn();
    head.commit();
    assert_eq!(head.state.usage_reports().unaccepted_counts(WINDOW).unwrap().get("cuka620"), Some(&3));
}

// Guards against a first window that is lost with the first head: its counts show that the window was in progress.
#[test]
fn the_first_window_is_the_earliest_with_counts() {
    let platform = Platform::new();
    let mut head = Head::successor(&platform, TERM, state_with_tenants(), SINCE + 3 * WINDOW_MS);
    head.turn();
    head.count(71, 1, "cuka620", 3);
    head.pass(DECISION_DELAY_MS + WINDOW_MS);
    head.decide();
    head.commit();
    let windows: Vec<u64> = head.state.usage_reports().unaccepted_windows().collect();
    assert_eq!(windows, [WINDOW + 1, WINDOW + 2, WINDOW + 3]);
}

#[test]
fn nothing_is_decided_without_tenants_in_the_configuration() {
    let platform = Platform::new();
    let mut head = Head::new(&platform, TERM, ControlState::default());
    head.pass_to(3 * WINDOW_MS);
    head.turn();
    assert_eq!(head.tentative.usage_reports().next_window(), None);
}

// Guards against calls to a platform that does not accept them.
#[test]
fn nothing_is_decided_if_the_role_is_not_enabled() {
    let platform = Platform::new();
    let mut head = Head::with_role_disabled(&platform, state_with_tenants());
    head.count(71, 0, "cuka620", 3);
    head.pass_to(3 * WINDOW_MS);
    head.turn();
    assert_eq!(head.tentative.usage_reports().next_window(), None);
}

// Guards against tenants that are missing from a report, because they are many or were removed from the configuration.
#[test]
fn a_report_names_all_tenants_with_requests() {
    let mut platform = Platform::new();
    let mut head = Head::new(&platform, TERM, state_with_tenants());
    for number in 0..84 {
        head.count(71 + number % 3, 0, &format!("tenant-{number}"), number + 1);
    }
    head.decide_first_window();
    let report: serde_json::Value = serde_json::from_str(&platform.call(&mut head).body).unwrap();
    let counts = report["counts"].as_object().unwrap();
    assert_eq!(counts.len(), 84);
    assert!((0..84).all(|number| counts[&format!("tenant-{number}")] == number + 1));
}

// Guards against a head that spins, or that sleeps past the time of a decision.
#[test]
fn the_head_wakes_up_at_the_next_decision() {
    let mut platform = Platform::new();
    let mut head = Head::new(&platform, TERM, state_with_tenants());
    for window in 1..=2 {
        let due_at = window * WINDOW_MS + DECISION_DELAY_MS;
        head.pass_to(due_at - 50);
        head.turn();
        assert_eq!(head.next_wakeup(&mut platform), SINCE + due_at);
        head.pass_to(due_at);
        head.decide();
    }
}
