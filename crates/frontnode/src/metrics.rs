//! The node's counters and gauges in the Prometheus text format.

use std::fmt::Write;

use orchidvalve::state::AttemptOutcome;

/// A gauge of `/metrics`.
#[derive(Clone, Copy, Debug)]
pub struct Gauge {
    /// The published name without the prefix.
    pub name: &'static str,
    /// The help text.
    pub help: &'static str,
    /// The current value.
    pub value: usize,
}

impl Gauge {
    /// Returns a gauge.
    pub fn new(name: &'static str, help: &'static str, value: usize) -> Gauge {
        Gauge { name, help, value }
    }
}

/// A counter of `/metrics`.
#[derive(Clone, Copy)]
struct Counter {
    name: &'static str,
    help: &'static str,
    count: u64,
}

/// Declares the counters. The published name and help text are independent of the field's name.
macro_rules! metrics {
    ($($field:ident as $name:literal: $help:literal,)*) => {
        /// The counters of `/metrics`, which count from the start of the node.
        #[derive(Clone, Debug, Default)]
        pub struct Metrics {
            $(#[doc = concat!("Metric `orchidvalve_", $name, "_total`: ", $help, ".")] pub $field: u64,)*
        }

        impl Metrics {
            /// Returns all counters with their published names.
            fn counters(&self) -> Vec<Counter> {
                vec![$(Counter { name: $name, help: $help, count: self.$field },)*]
            }
        }
    };
}

metrics! {
    queries_accepted as "retrievals_taken": "retrievals handed to the aggregator",
    shard_requests_accepted as "parts_taken": "parts of those retrievals",
    queries_overloaded as "retrievals_over_cap": "retrievals turned away as too much was open",
    answers_complete as "answers_whole": "retrievals answered, marked whole",
    answers_partial as "answers_short": "retrievals answered, not marked whole",
    rejected as "dismissed": "retrievals dismissed",
    expired as "given_up": "retrievals given up",
    abandoned_by_client as "lapsed": "retrievals whose client went away",
    bad_requests as "bad_requests": "requests refused for their form",
    bad_store_messages as "bad_frames": "connections to replicas closed for what came on them",
    bad_endpoint_lists as "bad_rosters": "roster answers that could not be used",
    attempts as "launches": "launches decided",
    attempts_written as "launches_written": "launches handed to the system whole",
    calls as "calls": "calls written",
    attempts_answered as "launches_done": "launches answered with a value",
    attempts_rejected as "launches_full": "launches turned away by the replica",
    attempts_connect_failed as "launches_unreached": "launches that found no connection",
    attempts_failed as "launches_faulty": "launches answered with an error",
    attempts_connection_lost as "launches_broken": "launches whose connection broke",
    attempts_protocol_error as "launches_spoilt": "launches out on a connection that brought what cannot be used",
    attempts_timed_out as "launches_silent": "launches not answered within their limit",
    attempts_cancelled as "launches_called_off": "launches called off",
    attempts_not_sent as "launches_unsent": "launches dropped before they were sent",
    late_answers as "late_answers": "answers of replicas that nothing waits for",
    health_checks as "probes": "probes decided",
    health_checks_answered as "probes_answered": "probes answered",
    clients_accepted as "clients_accepted": "connections of clients accepted",
    clients_evicted as "clients_evicted": "idle connections of clients closed for want of descriptors",
    connections_opened as "links_opened": "connections to replicas begun",
    connections_failed as "links_failed": "connections to replicas that never came up",
    connections_broken as "links_broken": "connections to replicas that broke",
    connections_unresponsive as "links_silent": "connections to replicas given up as silent while another one answered",
    connections_cut as "links_cut": "connections to replicas closed under a part that was called off",
    connections_drained as "links_read_out": "connections to replicas kept until the answer to a part called off is in",
    pool_rejections as "places_refused": "launches that found too many waiting for a connection",
    pool_timeouts as "places_given_up": "launches that waited too long for a connection",
    connections_idle as "links_idle": "connections to replicas closed as idle",
    endpoint_lists as "roster_news": "roster answers taken in",
    endpoint_list_misses as "roster_misses": "roster calls that brought nothing",
    reloads as "reloads": "configurations read again and taken up",
    bad_reloads as "bad_reloads": "configurations read again that could not be used",
    rounds as "rounds": "rounds of the aggregator",
    rounds_late as "rounds_late": "rounds begun more than a beat after they were due",
    bytes_in as "bytes_in": "bytes read from clients and replicas",
    bytes_out as "bytes_out": "bytes written to clients and replicas",
}

impl Metrics {
    /// Counts an ended attempt by its outcome.
    pub fn attempt_ended(&mut self, outcome: AttemptOutcome) {
        let count = match outcome {
            AttemptOutcome::Answered => &mut self.attempts_answered,
            AttemptOutcome::Rejected => &mut self.attempts_rejected,
            AttemptOutcome::ConnectFailed => &mut self.attempts_connect_failed,
            AttemptOutcome::Failed => &mut self.attempts_failed,
            AttemptOutcome::ConnectionLost => &mut self.attempts_connection_lost,
            AttemptOutcome::ProtocolError => &mut self.attempts_protocol_error,
            AttemptOutcome::TimedOut => &mut self.attempts_timed_out,
            AttemptOutcome::Cancelled => &mut self.attempts_cancelled,
            AttemptOutcome::NotSent => &mut self.attempts_not_sent,
        };
        *count += 1;
    }

    /// Returns the counters and `gauges` in the Prometheus text format.
    pub fn text(&self, gauges: &[Gauge]) -> String {
        let mut text = String::new();
        let suppressed = Counter {
            name: "log_lines_held_back",
            help: "log lines not written, to keep to the rate",
            count: crate::log::suppressed(),
        };
        for Counter { name, help, count } in self.counters().into_iter().chain([suppressed]) {
            let _ = writeln!(text, "# HELP orchidvalve_{name}_total {help}");
            let _ = writeln!(text, "# TYPE orchidvalve_{name}_total counter");
            let _ = writeln!(text, "orchidvalve_{name}_total {count}");
        }
        for Gauge { name, help, value } in gauges {
            let _ = writeln!(text, "# HELP orchidvalve_{name} {help}\n# TYPE orchidvalve_{name} gauge");
            let _ = writeln!(text, "orchidvalve_{name} {value}");
        }
        text
    }

    /// Returns a line with all counters above 0, for the log at shutdown.
    pub fn line(&self) -> String {
        let counted = self.counters().into_iter().filter(|counter| counter.count > 0);
        let words: Vec<String> =
            counted.map(|Counter { name, count, .. }| format!("{name}={count}")).collect();
        words.join(" ")
    }
}
