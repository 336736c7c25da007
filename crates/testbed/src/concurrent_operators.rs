//! Operators that change the same configuration concurrently, without knowing of each other.
//!
//! Each operator reads the active version and sends a change based on it, often under a version that another operator
//! chooses as well. Responses are lost occasionally; the same change is then sent again, to another node first.

use std::cell::RefCell;
use std::rc::Rc;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use crate::configuration_document::{CONFIGURATION_PATH, apply_patch, set_version, version_of};
use crate::control_call::{CallProgress, ControlCall, ControlRequest, ResponseLoss};
use crate::directory::Directory;
use crate::effects::{CallTag, Caller, Effects, Outcome};
use crate::observation::Observation;

/// Time for which a change is retried, in milliseconds.
const CHANGE_TIME_MS: u64 = 20_000;
const READ_TIME_MS: u64 = 8_000;
/// Maximum number of lost responses per change.
const MAX_LOSSES: usize = 2;
/// Maximum time after which a caller closes the connection of a change prematurely, in milliseconds.
const MAX_CLOSE_MS: u64 = 30;
/// Maximum difference between a new version and the active one.
const MAX_VERSION_STEP: u64 = 2;
/// Number of distinct offsets that are added to a route's time fields.
const OFFSETS: u64 = 100;
/// First change number of concurrent operators. The numbers of the single operator are lower.
const FIRST_CHANGE: u64 = 1 << 32;

/// Number of concurrent operators, and the rate of their changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperatorPace {
    /// Number of operators.
    pub operators: usize,
    /// Pause of an operator between two changes, in milliseconds.
    pub pause_ms: u64,
    /// Percentage of changes whose responses are lost.
    pub response_loss_percent: u32,
}

/// Settings of the concurrent operators.
#[derive(Clone, Debug)]
pub struct ConcurrentOperatorSettings {
    /// Number of operators, and the rate of their changes.
    pub pace: OperatorPace,
    /// Routes to change; each change affects one of them.
    pub routes: Vec<Value>,
    /// Start of the changes, in milliseconds.
    pub from: u64,
    /// Time from which no change starts, in milliseconds.
    pub until: u64,
    /// Seed of changes and losses.
    pub seed: u64,
}

/// Counters of the concurrent operators.
#[derive(Clone, Debug, Default)]
pub struct ConcurrentOperatorStats {
    /// Changes that were acknowledged.
    pub acknowledged: u64,
    /// Changes that were rejected.
    pub refused: u64,
    /// Changes without a conclusive response before their deadline.
    pub unclear: u64,
    /// Responses that were received and deliberately lost.
    pub lost_responses: u64,
    /// Times from the first attempt of a change to its acknowledgement, in milliseconds.
    pub ack_ms: Vec<u64>,
}

/// The state of one operator. Times are in milliseconds.
#[derive(Clone, Debug)]
enum OperatorState {
    Idle { until: u64 },
    Reading(ControlCall),
    Changing { change: u64, begun_at: u64, call: ControlCall },
}

/// Concurrent operators, each with at most one call in flight.
pub struct ConcurrentOperators {
    settings: ConcurrentOperatorSettings,
    operators: Vec<OperatorState>,
    next_change: u64,
    random: Pcg64Mcg,
    stats: Rc<RefCell<ConcurrentOperatorStats>>,
}

impl ConcurrentOperators {
    /// Returns operators with their counters.
    pub fn new(
        settings: ConcurrentOperatorSettings,
    ) -> (ConcurrentOperators, Rc<RefCell<ConcurrentOperatorStats>>) {
        let stats: Rc<RefCell<ConcurrentOperatorStats>> = Rc::default();
        let operators = ConcurrentOperators {
            operators: vec![OperatorState::Idle { until: settings.from }; settings.pace.operators],
            next_change: FIRST_CHANGE,
            random: Pcg64Mcg::seed_from_u64(settings.seed ^ 0x7269_7661),
            stats: stats.clone(),
            settings,
        };
        (operators, stats)
    }

    fn pause(&mut self, now: u64, operator: usize) {
        self.operators[operator] = OperatorState::Idle { until: now + self.settings.pace.pause_ms };
    }

    /// Sends a change of one route, based on a configuration that was read.
    fn begin_change(&mut self, now: u64, operator: usize, current: &Value, out: &mut Effects) {
        let base = version_of(current);
        let version = base + self.random.random_range(1..=MAX_VERSION_STEP);
        let change = self.next_change;
        self.next_change += 1;
        let upsert = json!({"routes": [self.changed_route(change)]});
        let mut document = current.clone();
        apply_patch(&mut document, &upsert, &json!({}));
        set_version(&mut document, version);
        let request = if self.random.random_bool(0.5) {
            ControlRequest::json("PUT", CONFIGURATION_PATH, &document)
        } else {
            let body = json!({"config-version": version, "upsert": upsert, "remove": {}});
            ControlRequest::json("PATCH", CONFIGURATION_PATH, &body)
        };
        let call = ControlCall::new(request.based_on(base), now, now + CHANGE_TIME_MS)
            .with_losses(self.draw_losses());
        out.observations.push(Observation::ConfigurationSent {
            change,
            version,
            base,
            document,
            valid: true,
        });
        self.operators[operator] = OperatorState::Changing { change, begun_at: now, call };
    }

    /// Returns one of the routes with different time fields. No two changes of a run are equal, since the system may
    /// treat an equal change as a retry.
    fn changed_route(&mut self, change: u64) -> Value {
        let index = self.random.random_range(0..self.settings.routes.len());
        let mut route = self.settings.routes[index].clone();
        let number = change - FIRST_CHANGE;
        for (field, offset) in [("timeout-ms", number % OFFSETS), ("target-latency-ms", number / OFFSETS)] {
            route[field] = json!(route[field].as_u64().unwrap_or(1_000) + offset);
        }
        route
    }

    fn draw_losses(&mut self) -> Vec<ResponseLoss> {
        if self.random.random_range(0..100) >= self.settings.pace.response_loss_percent {
            return Vec::new();
        }
        let count = self.random.random_range(1..=MAX_LOSSES);
        let mut loss = || match self.random.random_bool(0.5) {
            true => ResponseLoss::Dropped,
            false => ResponseLoss::ConnectionClosedAfter { ms: self.random.random_range(1..=MAX_CLOSE_MS) },
        };
        (0..count).map(|_| loss()).collect()
    }

    fn read_ended(
        &mut self,
        now: u64,
        operator: usize,
        sent_at: u64,
        progress: CallProgress,
        out: &mut Effects,
    ) {
        let document = match progress {
            CallProgress::Response(response) if response.is_success() => {
                serde_json::from_slice(&response.body).ok()
            }
            _ => None,
        };
        let Some(document): Option<Value> = document else { return self.pause(now, operator) };
        let version = version_of(&document);
        out.observations.push(Observation::ConfigurationObserved { requested_at: sent_at, version });
        self.begin_change(now, operator, &document, out);
    }

    fn change_ended(
        &mut self,
        now: u64,
        operator: usize,
        change: u64,
        status: Option<u16>,
        out: &mut Effects,
    ) {
        out.observations.push(Observation::ConfigurationSendEnded { change, status });
        let mut stats = self.stats.borrow_mut();
        match status {
            Some(200..=299) => {
                stats.acknowledged += 1;
                if let OperatorState::Changing { begun_at, .. } = &self.operators[operator] {
                    stats.ack_ms.push(now - begun_at);
                }
            }
            Some(_) => stats.refused += 1,
            None => stats.unclear += 1,
        }
        drop(stats);
        self.pause(now, operator);
    }
}

impl Caller for ConcurrentOperators {
    fn wake(&mut self, now: u64, directory: &mut Directory, out: &mut Effects) {
        for (operator, tag) in (0..self.operators.len()).zip((0..).map(CallTag)) {
            let is_due = matches!(self.operators[operator], OperatorState::Idle { until } if until <= now);
            if is_due && now < self.settings.until {
                let request = ControlRequest::get(CONFIGURATION_PATH);
                self.operators[operator] =
                    OperatorState::Reading(ControlCall::new(request, now, now + READ_TIME_MS));
            }
            match &mut self.operators[operator] {
                OperatorState::Idle { .. } => {}
                OperatorState::Reading(call) | OperatorState::Changing { call, .. } => {
                    out.calls.extend(call.attempt(now, tag, directory, &mut self.random));
                }
            }
        }
    }

    fn call_ended(
        &mut self,
        now: u64,
        tag: CallTag,
        outcome: Outcome,
        directory: &mut Directory,
        out: &mut Effects,
    ) {
        let operator = tag.0 as usize;
        match &mut self.operators[operator] {
            OperatorState::Idle { .. } => {}
            OperatorState::Reading(call) => {
                let sent_at = call.sent_at();
                match call.attempt_ended(now, outcome) {
                    CallProgress::Retry | CallProgress::ResponseLost(_) => {}
                    progress => self.read_ended(now, operator, sent_at, progress, out),
                }
            }
            OperatorState::Changing { change, call, .. } => {
                let change = *change;
                match call.attempt_ended(now, outcome) {
                    CallProgress::Retry => {}
                    CallProgress::ResponseLost(response) => {
                        self.stats.borrow_mut().lost_responses += 1;
                        let status = response.status;
                        out.observations.push(Observation::ConfigurationResponseLost { change, status });
                    }
                    CallProgress::Response(response) => {
                        self.change_ended(now, operator, change, Some(response.status), out);
                    }
                    CallProgress::Expired => self.change_ended(now, operator, change, None, out),
                }
            }
        }
        self.wake(now, directory, out);
    }

    fn next_wake(&self) -> Option<u64> {
        let next = |state: &OperatorState| match state {
            OperatorState::Idle { until } => (*until < self.settings.until).then_some(*until),
            OperatorState::Reading(call) | OperatorState::Changing { call, .. } => call.next_at(),
        };
        self.operators.iter().filter_map(next).min()
    }
}
