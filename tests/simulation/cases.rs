//! Settings and environment of each family of runs.

use orchidvalve::interface::*;

use super::{Condition, MS, Numbers};

/// What goes wrong from time to time.
#[derive(Clone, Copy, Debug)]
pub enum Incident {
    Fault(Condition),
    ProtocolError,
    Draining,
    Replaced,
    MembershipLost,
    MembershipUpdate,
}

#[derive(Clone)]
pub struct Case {
    pub settings: AggregatorSettings,
    pub duration: Nanos,
    pub per_cell: usize,
    pub query_interval: Nanos,
    /// Fraction of query arrivals that are bursts.
    pub burst_probability: f64,
    /// The largest number of shard requests of a query.
    pub requests: usize,
    pub hot_shard_probability: f64,
    pub work: Nanos,
    pub queue: Nanos,
    pub retry_probability: f64,
    pub own_completeness_probability: f64,
    pub disconnect_probability: f64,
    pub crashing_queries: f64,
    pub not_sent_probability: f64,
    pub request_over_probability: f64,
    pub initially_warming_probability: f64,
    pub unreported_restart_probability: f64,
    pub unverified_probability: f64,
    pub fleet: bool,
    pub incident_interval: Nanos,
    pub max_incident_duration: Nanos,
    pub incidents: Vec<Incident>,
}

pub const FAMILIES: [&str; 12] = [
    "ordinary",
    "classes",
    "two-steps",
    "crowded",
    "budget",
    "cold",
    "members",
    "calls",
    "queues",
    "failing",
    "killers",
    "mixed",
];

fn class(idempotence: Idempotence) -> ServiceClass {
    ServiceClass {
        latency_target: 200 * MS,
        latency_target_stretch: 0.0,
        deadline: 600 * MS,
        late_value: 0.3,
        idempotence,
        min_completeness: 1.0,
        full_completeness: 1.0,
        partial_value: 0.0,
        second_step_requests: 0,
    }
}

fn ordinary() -> Case {
    let settings = AggregatorSettings {
        classes: vec![class(Idempotence::Idempotent)],
        tenant_rates: Vec::new(),
        front_nodes: 1,
        cells: 4,
        cells_per_shard: 2,
        requests_per_call: 1,
        max_attempts: 4,
        may_cancel: true,
        may_hedge: true,
        may_check_health: true,
        queues_reported: false,
        max_retry_after: 0,
        membership_on_request: false,
        membership_request_interval: 2_000 * MS,
        retry_budget: None,
        slow_start: SlowStart {
            initial_share: 0.25,
            duration: 2_000 * MS,
            overload_multiple: 4.0,
            overload_window: 200 * MS,
        },
        tick: 4 * MS,
    };
    Case {
        settings,
        duration: 2_000 * MS,
        per_cell: 1,
        query_interval: 15 * MS,
        burst_probability: 0.0,
        requests: 3,
        hot_shard_probability: 0.0,
        work: 10 * MS,
        queue: 30,
        retry_probability: 0.0,
        own_completeness_probability: 0.0,
        disconnect_probability: 0.02,
        crashing_queries: 0.0,
        not_sent_probability: 0.0,
        request_over_probability: 0.0,
        initially_warming_probability: 0.0,
        unreported_restart_probability: 0.0,
        unverified_probability: 0.0,
        fleet: false,
        incident_interval: 700 * MS,
        max_incident_duration: 300 * MS,
        incidents: vec![Incident::Fault(Condition::Slow(60 * MS))],
    }
}

fn many_classes(numbers: &mut Numbers) -> Vec<ServiceClass> {
    let mut classes = vec![
        class(Idempotence::Idempotent),
        class(Idempotence::Deduplicated(numbers.between(100 * MS, 400 * MS))),
        class(Idempotence::NotIdempotent),
        class(Idempotence::Idempotent),
    ];
    (classes[0].min_completeness, classes[0].partial_value) = (0.3 + 0.4 * numbers.fraction(), 0.8);
    (classes[1].late_value, classes[1].latency_target_stretch) = (0.0, 0.5);
    (
        classes[3].min_completeness,
        classes[3].partial_value,
        classes[3].full_completeness,
        classes[3].late_value,
    ) = (0.25, 0.5, 0.75, 0.4);
    classes
}

/// Returns the case of a family for a seed. The seed also varies what the family does not fix.
pub fn of(family: &str, seed: u64) -> Case {
    let mut numbers = Numbers(seed.wrapping_mul(31) ^ 0xca5e);
    let mut case = ordinary();
    let c = &mut case;
    use Condition::*;
    match family {
        "ordinary" => c.per_cell = 1 + numbers.below(2),
        "classes" => {
            c.settings.classes = many_classes(&mut numbers);
            (
                c.own_completeness_probability,
                c.not_sent_probability,
                c.request_over_probability,
                c.requests,
            ) = (0.2, 0.02, 0.05, 4);
            c.incidents = vec![
                Incident::Fault(FailsClass(numbers.below(4))),
                Incident::Fault(BreaksConnections),
                Incident::Fault(Unresponsive),
                Incident::Fault(Rejects),
            ];
            c.incident_interval = 150 * MS;
        }
        "two-steps" => {
            c.settings.classes = vec![class(Idempotence::Idempotent), class(Idempotence::Idempotent)];
            (c.settings.classes[0].second_step_requests, c.settings.classes[0].min_completeness) = (2, 0.5);
            (c.settings.classes[0].full_completeness, c.settings.classes[0].partial_value) = (0.8, 0.6);
            c.incidents = vec![Incident::Fault(Unresponsive), Incident::Fault(Slow(150 * MS))];
            c.incident_interval = 200 * MS;
        }
        "crowded" => {
            c.settings.classes = many_classes(&mut numbers);
            c.settings.tenant_rates = vec![10.0, 30.0, f64::INFINITY];
            (c.settings.max_retry_after, c.hot_shard_probability, c.retry_probability) = (500 * MS, 0.3, 0.3);
            (c.query_interval, c.burst_probability, c.work, c.fleet) =
                (12 * MS, 0.15, 12 * MS, numbers.happens(0.5));
            c.duration = 1_500 * MS;
        }
        "budget" => {
            c.settings.retry_budget = Some(RetryBudget { reserve: 3.0, ratio: 0.1, window: 400 * MS });
            (c.settings.may_hedge, c.settings.may_check_health) =
                (numbers.happens(0.7), numbers.happens(0.5));
            (c.settings.may_cancel, c.settings.max_attempts) = (numbers.happens(0.5), 2 + numbers.below(3));
            c.incidents = vec![
                Incident::Fault(Unresponsive),
                Incident::Fault(BreaksConnections),
                Incident::Fault(Lossy),
            ];
            (c.incident_interval, c.fleet) = (120 * MS, numbers.happens(0.5));
        }
        "cold" => {
            (c.initially_warming_probability, c.unreported_restart_probability, c.per_cell) =
                (0.5, 0.4, 1 + numbers.below(2));
            c.settings.front_nodes = [1, 4, 40, 300][numbers.below(4)];
            (c.fleet, c.hot_shard_probability) = (numbers.happens(0.4), 0.2);
            c.incidents = vec![Incident::Fault(Down), Incident::Fault(Down), Incident::Fault(Slow(40 * MS))];
            c.incident_interval = 180 * MS;
        }
        "members" => {
            (c.settings.membership_on_request, c.settings.membership_request_interval) = (true, 1_000 * MS);
            (c.unverified_probability, c.initially_warming_probability, c.per_cell) = (0.2, 0.3, 2);
            c.incidents = vec![
                Incident::MembershipLost,
                Incident::Replaced,
                Incident::Draining,
                Incident::MembershipUpdate,
                Incident::Fault(Unresponsive),
            ];
            c.incident_interval = 100 * MS;
        }
        "calls" => {
            (c.settings.requests_per_call, c.settings.cells, c.settings.cells_per_shard) = (4, 6, 3);
            (c.requests, c.work, c.per_cell) = (10, 5 * MS, 1 + numbers.below(2));
            c.incidents =
                vec![Incident::Fault(Slow(80 * MS)), Incident::Fault(Unresponsive), Incident::ProtocolError];
            c.incident_interval = 250 * MS;
        }
        "queues" => {
            (c.settings.queues_reported, c.queue, c.work) = (true, 8, 12 * MS);
            (c.burst_probability, c.hot_shard_probability, c.query_interval) = (0.1, 0.4, 14 * MS);
            c.incidents =
                vec![Incident::Fault(Slow(100 * MS)), Incident::Fault(Rejects), Incident::Fault(Stuck)];
            c.incident_interval = 200 * MS;
        }
        "failing" => {
            (c.settings.cells, c.settings.cells_per_shard, c.max_incident_duration) =
                (5, 2 + numbers.below(2), 900 * MS);
            c.incidents = vec![
                Incident::Fault(Unresponsive),
                Incident::Fault(Stuck),
                Incident::Fault(Lossy),
                Incident::Fault(Slow(120 * MS)),
                Incident::Fault(FailsClass(0)),
                Incident::ProtocolError,
            ];
            c.incident_interval = 120 * MS;
        }
        "killers" => {
            (c.crashing_queries, c.settings.cells, c.settings.cells_per_shard, c.requests) = (0.03, 8, 3, 5);
            c.incidents =
                vec![Incident::Fault(BreaksConnections), Incident::Fault(Down), Incident::ProtocolError];
            c.incident_interval = 300 * MS;
        }
        "mixed" => mixed(c, &mut numbers),
        other => panic!("no such family: {other}"),
    }
    case
}

fn mixed(c: &mut Case, numbers: &mut Numbers) {
    use Condition::*;
    let s = &mut c.settings;
    s.classes = many_classes(numbers);
    s.classes[3].second_step_requests = numbers.below(2);
    s.tenant_rates = if numbers.happens(0.5) { vec![15.0, 40.0] } else { Vec::new() };
    s.front_nodes = 1 + numbers.below(30);
    s.cells = 2 + numbers.below(6);
    s.cells_per_shard = 1 + numbers.below(s.cells.min(3));
    s.requests_per_call = 1 + numbers.below(4);
    s.max_attempts = 1 + numbers.below(5);
    (s.may_cancel, s.may_hedge) = (numbers.happens(0.8), numbers.happens(0.8));
    (s.may_check_health, s.queues_reported) = (numbers.happens(0.8), numbers.happens(0.5));
    s.max_retry_after = numbers.between(0, 100 * MS);
    s.membership_on_request = numbers.happens(0.5);
    s.retry_budget =
        numbers.happens(0.5).then_some(RetryBudget { reserve: 4.0, ratio: 0.2, window: 300 * MS });
    (c.per_cell, c.requests, c.work) =
        (1 + numbers.below(3), 1 + numbers.below(8), numbers.between(2 * MS, 15 * MS));
    (c.queue, c.retry_probability, c.own_completeness_probability) = (numbers.between(5, 40), 0.1, 0.05);
    (c.burst_probability, c.hot_shard_probability, c.crashing_queries) = (0.05, 0.1, 0.002);
    (
        c.not_sent_probability,
        c.request_over_probability,
        c.initially_warming_probability,
        c.unreported_restart_probability,
    ) = (0.005, 0.01, 0.2, 0.3);
    (c.unverified_probability, c.fleet, c.incident_interval) = (0.03, numbers.happens(0.5), 90 * MS);
    c.incidents = vec![
        Incident::Fault(Unresponsive),
        Incident::Fault(Stuck),
        Incident::Fault(Lossy),
        Incident::Fault(Slow(90 * MS)),
        Incident::Fault(FailsClass(1)),
        Incident::Fault(Rejects),
        Incident::Fault(BreaksConnections),
        Incident::Fault(Down),
        Incident::ProtocolError,
        Incident::Draining,
        Incident::Replaced,
        Incident::MembershipLost,
        Incident::MembershipUpdate,
    ];
}
