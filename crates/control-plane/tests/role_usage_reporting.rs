//! The role of usage reporting, against a platform over loopback: what is decided, sent, and sent again by whom. The
//! time is passed in; nothing waits for a clock.

#[path = "../../data-plane/tests/sockets_support/mod.rs"]
mod sockets_support;
mod usage_support;

use orchidvalve_control_plane::singleton_roles::DECISION_DELAY_MS;
use orchidvalve_control_state::{ControlState, MAX_UNDECIDED_WINDOWS, StateSnapshot};
use orchidvalve_protocol::frames::{decode, encode};
use rstest::rstest;
use usage_support::*;

// Guards against reports that come too early for late counts, or that are sent before they are on disk.
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

// Guards against reports that are sent again although the platform has accepted them.
#[test]
fn a_report_that_was_accepted_is_sent_no_more() {
    let mut platform = Platform::new();
    let mut head = Head::new(&platform, TERM, state_with_tenants());
    head.decide_first_window();
    platform.call(&mut head).answer(200);
    head.until(|head| head.tentative.usage_reports().unaccepted_windows().next().is_none().then_some(()));
    // The committed state still has the report.
    platform.expect_no_call(&mut head);
    head.commit();
    platform.expect_no_call(&mut head);
    assert_eq!(head.state.usage_reports().unaccepted_windows().count(), 0);
}

// Guards against ONE of incident keys-and-duties: a report that is on its way under a former term arrives after the
// report of another window under the next term, so that the fence falls.
#[test]
fn no_report_is_sent_while_one_of_a_former_term_is_on_its_way() {
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

// Guards against windows without requests that are left out: they are due like any other.
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

// Guards against two reports of one window that differ, and against a report that is lost with its head.
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
    // The acceptance, if there is one, isn't committed.
    let state = former.state.clone();
    let at = former.now;
    drop(former);
    let mut next = Head::successor(&platform, TERM + 1, state, at);
    // More has come to its ears than the former head knew.
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

// Guards against a report that is decided anew after all power was lost: the platform may have accepted the first one.
#[test]
fn what_the_disk_holds_is_sent_after_all_power_was_lost() {
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

// Guards against a head that changes the report of a window when counts come late.
#[test]
fn counts_that_come_after_the_decision_change_nothing() {
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

// Guards against calls of a node that may be the head no more.
#[test]
fn nothing_is_sent_without_the_confirmation_of_a_quorum() {
    let mut platform = Platform::new();
    let mut head = Head::new(&platform, TERM, state_with_tenants());
    head.confirmed = false;
    head.decide_first_window();
    platform.expect_no_call(&mut head);
    assert!(head.next_wakeup(&mut platform) > head.now, "it would spin until there is a quorum");
    head.confirmed = true;
    platform.call(&mut head);
}

// Guards against reports that are dropped, or changed, where the platform is busy, down, silent or refuses.
#[rstest]
#[case::busy(Some(429))]
#[case::down(Some(503))]
#[case::refused(Some(400))]
#[case::unknown(Some(404))]
#[case::silent(None)]
fn a_report_that_was_not_accepted_is_sent_again_after_a_pause(#[case] status: Option<u16>) {
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
    assert!(head.next_wakeup(&mut platform) > head.now, "it would spin during the pause");
    head.pass(100);
    assert_eq!(platform.call(&mut head).body, body);
}

// Guards against a platform that comes back and is met by all reports at once, and against reports that come too late
// since older ones, which are late anyway, were sent before them.
#[test]
fn reports_that_can_still_come_in_time_go_before_late_ones() {
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
    // At 37.5 s, windows are late whose ends are more than 10 s ago.
    assert_eq!(order, [5, 6, 0, 1, 2, 3, 4]);
    assert!(head.sent_at.windows(5).all(|sent| sent[4] >= sent[0] + 100), "{:?}", head.sent_at);
}

// Guards against windows that are skipped where there was no head, and against a flood of changes after that.
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
    let away = 10 * MAX_UNDECIDED_WINDOWS;
    head.pass_to(away * WINDOW_MS + DECISION_DELAY_MS);
    (0..30).for_each(|_| head.decide());
    head.commit();
    let windows: Vec<u64> = head.state.usage_reports().unaccepted_windows().collect();
    let first = WINDOW + away - MAX_UNDECIDED_WINDOWS;
    assert_eq!(windows, (first..WINDOW + away).collect::<Vec<u64>>());
}

// Guards against a head that decides before those who were told counts have told it.
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

// Guards against a first window that is lost with the first head: counts are a proof that the window was running.
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
fn nothing_is_decided_as_long_as_no_configuration_has_tenants() {
    let platform = Platform::new();
    let mut head = Head::new(&platform, TERM, ControlState::default());
    head.pass_to(3 * WINDOW_MS);
    head.turn();
    assert_eq!(head.tentative.usage_reports().next_window(), None);
}

// Guards against calls to a platform that doesn't take them.
#[test]
fn nothing_is_decided_without_the_duty() {
    let platform = Platform::new();
    let mut head = Head::without_duty(&platform, state_with_tenants());
    head.count(71, 0, "cuka620", 3);
    head.pass_to(3 * WINDOW_MS);
    head.turn();
    assert_eq!(head.tentative.usage_reports().next_window(), None);
}

// Guards against tenants that are missing where there are many, or that the configuration has no more.
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

// Guards against a head that turns without end, or that sleeps past the time of a decision.
#[test]
fn the_next_decision_is_when_it_wakes_up() {
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
