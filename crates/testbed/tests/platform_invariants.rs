//! The invariant ONE for platform calls and for orders to servers, and the figures of usage reports.

use std::collections::BTreeMap;

use orchidvalve_testbed::credentials::Credentials;
use orchidvalve_testbed::invariants::{
    Invariant, InvariantBounds, InvariantChecker, UsageAccounts, UsageBounds, UsageFigures,
};
use orchidvalve_testbed::observation::{
    ItemSent, JobSent, Observation, PlatformCall, PlatformOrder, RewardSent,
};
use rstest::rstest;

type Observed = Vec<(u64, Observation)>;

const A: &str = "edge-1";
const B: &str = "edge-2";
const LEASE_MS: u64 = 3_000;
const RESUME_SLACK_MS: u64 = 300;

fn counts(of_acme: u64) -> BTreeMap<String, u64> {
    [("acme".to_owned(), of_acme)].into()
}

fn call_from(leader: &str, source: &str, token: u64, order: PlatformOrder) -> Observation {
    let call = PlatformCall { leader: leader.to_owned(), source: source.to_owned(), token, order };
    Observation::PlatformCallReceived { call, accepted: true }
}

/// Each machine has its own address.
fn call(leader: &str, token: u64, order: PlatformOrder) -> Observation {
    call_from(leader, &format!("address of {leader}"), token, order)
}

/// Returns a report whose counts depend only on the number of the window.
fn report(leader: &str, token: u64, window: u64) -> Observation {
    call(leader, token, PlatformOrder::UsageReport { window, counts: counts(window) })
}

fn scaling(leader: &str, token: u64, zone: &str) -> Observation {
    let (service, zone) = ("apps".to_owned(), zone.to_owned());
    call(leader, token, PlatformOrder::Scaling { service, zone, desired_count: 3 })
}

fn order(leader: &str, token: u64) -> Observation {
    Observation::OrderReceived { server: "m1".to_owned(), leader: leader.to_owned(), token }
}

fn refused(observation: Observation) -> Observation {
    match observation {
        Observation::PlatformCallReceived { call, .. } => {
            Observation::PlatformCallReceived { call, accepted: false }
        }
        other => other,
    }
}

fn resumed(machine: &str) -> Observation {
    Observation::MachinesResumed { machines: vec![machine.to_owned()] }
}

fn platform(begins: bool) -> Observation {
    Observation::PlatformDisrupted { begins }
}

fn violations(observed: &Observed) -> Vec<(Invariant, String, u64)> {
    let mut checker = InvariantChecker::new(InvariantBounds::default());
    for (at, observation) in observed {
        checker.observe(*at, observation);
    }
    let found = checker.violations().iter();
    found.map(|violation| (violation.invariant, violation.subject.clone(), violation.at)).collect()
}

#[rstest]
#[case::different_counts(
    vec![(10, report(A, 1, 7)), (20, call(A, 1, PlatformOrder::UsageReport { window: 7, counts: counts(8) }))],
    "window-7", 20
)]
#[case::missing_tenant(
    vec![
        (10, report(A, 1, 7)),
        (20, call(A, 1, PlatformOrder::UsageReport { window: 7, counts: BTreeMap::new() })),
    ],
    "window-7", 20
)]
#[case::different_counts_of_two_leaders(
    vec![
        (10, report(A, 1, 7)),
        (90_000, call(B, 2, PlatformOrder::UsageReport { window: 7, counts: counts(8) })),
    ],
    "window-7", 90_000
)]
#[case::different_counts_in_a_disruption(
    vec![
        (10, platform(true)),
        (20, report(A, 1, 7)),
        (30, call(A, 1, PlatformOrder::UsageReport { window: 7, counts: counts(8) })),
    ],
    "window-7", 30
)]
#[case::same_token_with_two_names(vec![(10, report(A, 1, 7)), (9_000, report(B, 1, 8))], "usage", 9_000)]
#[case::same_token_from_two_machines_with_one_name(
    vec![
        (10, call_from(A, "127.0.0.1", 1, PlatformOrder::UsageReport { window: 7, counts: counts(7) })),
        (9_000, call_from(A, "127.0.0.2", 1, PlatformOrder::UsageReport { window: 8, counts: counts(8) })),
    ],
    "usage", 9_000
)]
#[case::same_token_for_a_zone(
    vec![(10, scaling(A, 1, "north")), (9_000, scaling(B, 1, "north"))],
    "scaling/apps/north", 9_000
)]
#[case::lower_token(vec![(10, report(A, 2, 7)), (9_000, report(B, 1, 8))], "usage", 9_000)]
#[case::lower_token_of_the_same_leader(vec![(10, report(A, 2, 7)), (9_000, report(A, 1, 8))], "usage", 9_000)]
#[case::lower_token_in_a_rejected_call(
    vec![(10, report(A, 2, 7)), (9_000, refused(report(B, 1, 8)))],
    "usage", 9_000
)]
#[case::alternation_within_the_lease(
    vec![(10, report(A, 1, 7)), (20, report(B, 2, 8)), (9 + LEASE_MS, report(A, 3, 9))],
    "usage", 9 + LEASE_MS
)]
#[case::alternation_of_three_leaders(
    vec![(10, report(A, 1, 7)), (20, report(B, 2, 8)), (30, report("edge-3", 3, 9)), (40, report(A, 4, 10))],
    "usage", 40
)]
#[case::alternation_long_after_a_resume(
    vec![
        (0, resumed(A)),
        (10 + RESUME_SLACK_MS, report(A, 1, 7)),
        (400, report(B, 2, 8)),
        (500, report(A, 3, 9)),
    ],
    "usage", 500
)]
#[case::another_machine_was_resumed(
    vec![(10, report(A, 2, 7)), (20, resumed(A)), (30, report(B, 1, 8))],
    "usage", 30
)]
#[case::long_after_a_disruption(
    vec![(10, platform(true)), (20, platform(false)), (400, report(A, 2, 7)), (410, report(B, 1, 8))],
    "usage", 410
)]
#[case::orders_with_the_same_token(vec![(10, order(A, 1)), (9_000, order(B, 1))], "m1", 9_000)]
#[case::orders_in_a_disruption_of_the_platform(
    vec![(10, platform(true)), (20, order(A, 2)), (30, order(B, 1))],
    "m1", 30
)]
fn planted_violations_are_reported(#[case] observed: Observed, #[case] subject: &str, #[case] at: u64) {
    assert_eq!(violations(&observed), [(Invariant::One, subject.to_owned(), at)]);
}

#[rstest]
#[case::growing_tokens(vec![(10, report(A, 1, 7)), (20, report(A, 2, 8)), (30, report(B, 3, 9))])]
#[case::an_exact_repeat(vec![(10, report(A, 1, 7)), (20, report(A, 1, 7)), (4_000, report(B, 2, 7))])]
#[case::other_counts_were_rejected(vec![
    (10, refused(call(A, 1, PlatformOrder::UsageReport { window: 7, counts: counts(8) }))),
    (20, report(A, 1, 7)),
])]
#[case::alternation_after_the_lease(vec![
    (10, report(A, 1, 7)),
    (20, report(B, 2, 8)),
    (10 + LEASE_MS, report(A, 3, 9)),
])]
#[case::other_subjects(vec![
    (10, scaling(A, 2, "north")),
    (20, scaling(B, 1, "south")),
    (30, scaling(A, 3, "north")),
    (40, report(B, 2, 7)),
])]
#[case::just_resumed(vec![
    (10, report(A, 1, 7)),
    (20, report(B, 2, 8)),
    (100, resumed(A)),
    (100 + RESUME_SLACK_MS, report(A, 1, 9)),
])]
#[case::in_a_disruption(vec![(10, report(A, 2, 7)), (20, platform(true)), (9_000, report(B, 1, 8))])]
#[case::just_after_a_disruption(vec![
    (10, report(A, 2, 7)),
    (20, platform(true)),
    (30, platform(false)),
    (30 + RESUME_SLACK_MS, report(B, 1, 8)),
])]
#[case::orders_of_a_resumed_leader(vec![(10, order(A, 2)), (20, order(B, 3)), (30, resumed(A)), (40, order(A, 2))])]
fn allowed_calls_and_orders_violate_no_invariant(#[case] observed: Observed) {
    assert_eq!(violations(&observed), []);
}

/// Windows of 2 s with reports due 4 s after their end, and a tolerance of 10%. The observations' clock starts within
/// window 50.
const USAGE_BOUNDS: UsageBounds =
    UsageBounds { wall_ms_at_start: 101_000, window_s: 2, report_deadline_s: 4, tolerance: 0.1 };
/// The first complete window of the traffic: from 1,000 to 3,000 ms of the observations' clock, due at 7,000 ms.
const WINDOW: u64 = 51;
const DUE_MS: u64 = 7_000;

fn started(id: &str, is_stream: bool) -> Observation {
    Observation::TenantRequestStarted { id: id.to_owned(), tenant: "acme".to_owned(), is_stream }
}

fn event(id: &str, event: u64) -> Observation {
    Observation::EventEmitted { execution: 1, id: id.to_owned(), event, version: 1 }
}

/// Ten requests that start within the window.
fn ten_requests() -> Observed {
    (0..10).map(|number| (1_500, started(&format!("r-{number}"), false))).collect()
}

fn reported(at: u64, window: u64, counts: BTreeMap<String, u64>) -> (u64, Observation) {
    (at, call(A, 1, PlatformOrder::UsageReport { window, counts }))
}

/// Returns the figures of the windows whose reports are due when that of `WINDOW` is.
fn figures(observed: &Observed) -> UsageFigures {
    let mut accounts = UsageAccounts::new(USAGE_BOUNDS);
    for (at, observation) in observed {
        accounts.observe(*at, observation);
    }
    accounts.figures(0, DUE_MS)
}

fn job_of(item: &str, reward: &str) -> Observation {
    let reward = RewardSent { id: reward.to_owned(), host: "h".to_owned(), path: "/r".to_owned(), body: 0 };
    let item = ItemSent { id: item.to_owned(), path: "/i".to_owned(), body: 0, events: 1, reward };
    Observation::JobSent(JobSent {
        job: "job".to_owned(),
        host: "h".to_owned(),
        min_version: 0,
        single_version: false,
        max_attempts: 1,
        max_queue_ms: 1,
        deadline_ms: 1,
        items: vec![item],
        credentials: Credentials::default(),
    })
}

#[rstest]
#[case::exact(vec![reported(3_100, WINDOW, counts(10))], 0, 0)]
#[case::within_tolerance(vec![reported(3_100, WINDOW, counts(9))], 0, 0)]
#[case::outside_tolerance(vec![reported(3_100, WINDOW, counts(8))], 0, 1)]
#[case::too_many(vec![reported(3_100, WINDOW, counts(12))], 0, 1)]
#[case::a_tenant_without_requests(
    vec![reported(3_100, WINDOW, [("acme".to_owned(), 10), ("other".to_owned(), 1)].into())], 0, 1
)]
#[case::at_the_deadline(vec![reported(DUE_MS, WINDOW, counts(10))], 0, 0)]
#[case::after_the_deadline(vec![reported(DUE_MS + 1, WINDOW, counts(10))], 1, 0)]
#[case::no_report(vec![], 1, 0)]
#[case::another_window(vec![reported(3_100, WINDOW + 1, counts(10))], 1, 0)]
#[case::refused(vec![(3_100, refused(reported(3_100, WINDOW, counts(10)).1))], 1, 0)]
#[case::a_request_executed_twice(
    vec![(1_600, started("r-1", false)), reported(3_100, WINDOW, counts(10))], 0, 0
)]
#[case::requests_of_the_next_window(
    vec![(3_000, started("s-1", false)), (3_000, started("s-2", false)), reported(3_100, WINDOW, counts(10))], 0, 0
)]
#[case::items_and_reward_calls(
    vec![
        (1_600, job_of("i-1", "w-1")),
        (1_700, started("i-1", true)),
        (1_800, event("i-1", 1)),
        (1_900, started("w-1", false)),
        (1_900, started("w-2", false)),
        reported(3_100, WINDOW, counts(11)),
    ],
    0, 0
)]
#[case::a_stream_counts_from_its_first_event(
    vec![
        (500, started("s-1", true)),
        (1_000, event("s-1", 1)),
        (1_900, started("s-2", true)),
        (1_950, started("s-3", true)),
        (3_000, event("s-2", 1)),
        (3_000, event("s-3", 1)),
        reported(3_100, WINDOW, counts(10)),
    ],
    0, 0
)]
#[case::a_stream_without_events_does_not_count(
    vec![(1_500, started("s-1", true)), (1_500, started("s-2", true)), reported(3_100, WINDOW, counts(10))], 0, 0
)]
fn usage_reports_are_compared_with_started_requests(
    #[case] also: Observed,
    #[case] missing: u64,
    #[case] inaccurate: u64,
) {
    let mut observed = ten_requests();
    observed.extend(also);
    assert_eq!(figures(&observed), UsageFigures { due: 1, missing, inaccurate });
}

#[rstest]
#[case::an_order(order(A, 1), Some(A))]
#[case::a_call(report(B, 1, 7), Some(B))]
#[case::a_rejected_call(refused(report(B, 1, 7)), Some(B))]
#[case::another_observation(resumed(A), None)]
fn orders_and_calls_identify_the_leader(#[case] observation: Observation, #[case] leader: Option<&str>) {
    assert_eq!(observation.leader(), leader);
}
