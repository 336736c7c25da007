//! The operator: sends configurations, changes, conflicting and invalid changes, and retirements, and reads back at
//! the end.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use crate::configuration_document::{CONFIGURATION_PATH, apply_patch, is_valid, set_version, version_of};
use crate::control_call::{CallProgress, ControlCall, ControlRequest};
use crate::directory::Directory;
use crate::effects::{CallTag, Caller, Effects, Outcome};
use crate::http::Response;
use crate::observation::Observation;

/// Time for which a change is retried, in milliseconds.
const CHANGE_TIME_MS: u64 = 20_000;
/// Maximum duration of a read, in milliseconds.
const READ_TIME_MS: u64 = 8_000;
const RETIREMENT_TIME_MS: u64 = 4_000;
const RETIREMENT_CHECK_MS: u64 = 500;
/// Maximum difference between a new version and the active one.
const MAX_VERSION_STEP: u64 = 3;

/// An action of the operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends the first configuration with `routes`, `services` and `limits`, until it is accepted.
    PutFirst(Value),
    /// Changes named items of the configuration.
    Patch {
        /// New or changed items by list.
        upsert: Value,
        /// Names of the removed items by list.
        remove: Value,
    },
    /// Sends the complete configuration with a changed field of a route.
    PutWith {
        /// Name of the route.
        route: String,
        /// Name of the field.
        field: String,
        /// New value of the field.
        value: Value,
    },
    /// Sends two changes of a route's field that are based on the same version.
    Race {
        /// Name of the route.
        route: String,
        /// Name of the field.
        field: String,
        /// Value of the field in the first change.
        first: Value,
        /// Value of the field in the second change.
        second: Value,
    },
    /// Sends a configuration in which a route names an unknown service.
    Invalid {
        /// Name of the route.
        route: String,
    },
    /// Retires a storage machine, so that its data is moved to other machines.
    Retire {
        /// Name of the machine.
        node: String,
        /// Time granted for the retirement, in seconds.
        duration_s: u64,
    },
    /// Reads back the configuration.
    ReadBack,
}

/// Counters of the operator.
#[derive(Clone, Debug, Default)]
pub struct OperatorStats {
    /// Latest acknowledged version.
    pub version: u64,
    /// Changes that were acknowledged.
    pub acknowledged: u64,
    /// Changes and retirements that were rejected.
    pub refused: u64,
    /// Changes without a conclusive response.
    pub unclear: u64,
    /// Time at which the first configuration was accepted, in milliseconds.
    pub ready_at: Option<u64>,
    /// Whether the configuration was read back at the end.
    pub read_back: bool,
    /// Storage machines whose retirement is complete.
    pub retired: Vec<String>,
}

/// A change of the configuration.
#[derive(Clone, Debug)]
struct Change {
    number: u64,
    version: u64,
    /// The complete configuration with the change.
    document: Value,
    is_first: bool,
}

/// Purpose of a call.
#[derive(Clone, Debug)]
enum Purpose {
    Change(Change),
    ReadBack,
    /// Reads the active configuration after a response that was not conclusive.
    ReadCurrent,
    Retire {
        node: String,
    },
    RetirementState {
        node: String,
    },
}

/// An action with the time at which it is due.
#[derive(Clone, Debug)]
pub struct ScheduledAction {
    /// Time in milliseconds.
    pub at_ms: u64,
    /// The action.
    pub action: Action,
}

/// Actions in the order of their times. Actions may be added while the operator runs.
pub type Script = Rc<RefCell<VecDeque<ScheduledAction>>>;

/// The operator. It performs actions in order, and starts an action after the calls of the previous one have ended.
pub struct Operator {
    script: Script,
    calls: BTreeMap<CallTag, (Purpose, ControlCall)>,
    next_tag: CallTag,
    /// The active configuration as last seen by the operator.
    current: Value,
    version: u64,
    random: Pcg64Mcg,
    stats: Rc<RefCell<OperatorStats>>,
}

impl Operator {
    /// Returns an operator with the given actions, and its counters.
    pub fn new(script: Script, seed: u64) -> (Operator, Rc<RefCell<OperatorStats>>) {
        let stats: Rc<RefCell<OperatorStats>> = Rc::default();
        let operator = Operator {
            script,
            calls: BTreeMap::new(),
            next_tag: CallTag(1),
            current: json!({}),
            version: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            stats: stats.clone(),
        };
        (operator, stats)
    }

    fn next_version(&mut self) -> u64 {
        self.version + self.random.random_range(1..=MAX_VERSION_STEP)
    }

    fn begin(&mut self, now: u64, action: Action, out: &mut Effects) {
        match action {
            Action::PutFirst(document) => self.put_first(now, document, out),
            Action::Patch { upsert, remove } => self.patch(now, &upsert, &remove, out),
            Action::PutWith { route, field, value } => self.put_with(now, 0, &route, &field, &value, out),
            Action::Race { route, field, first, second } => {
                self.put_with(now, 0, &route, &field, &first, out);
                self.put_with(now, MAX_VERSION_STEP, &route, &field, &second, out);
            }
            Action::Invalid { route } => {
                self.put_with(now, 0, &route, "service", &json!("unknown-service"), out);
            }
            Action::Retire { node, duration_s } => {
                let body = json!({"duration-s": duration_s});
                let request = ControlRequest::json("POST", retirement_path(&node), &body);
                self.call(Purpose::Retire { node }, ControlCall::new(request, now, now + RETIREMENT_TIME_MS));
            }
            Action::ReadBack => self.read_configuration(now, Purpose::ReadBack),
        }
    }

    fn call(&mut self, purpose: Purpose, call: ControlCall) {
        self.calls.insert(self.next_tag, (purpose, call));
        self.next_tag = self.next_tag.next();
    }

    fn read_configuration(&mut self, now: u64, purpose: Purpose) {
        let request = ControlRequest::get(CONFIGURATION_PATH);
        self.call(purpose, ControlCall::new(request, now, now + READ_TIME_MS));
    }

    fn put_first(&mut self, now: u64, mut document: Value, out: &mut Effects) {
        let version = self.next_version();
        set_version(&mut document, version);
        let request = ControlRequest::json("PUT", CONFIGURATION_PATH, &document);
        let change = Change { number: self.next_tag.0, version, document, is_first: true };
        self.send_change(now, change, request, u64::MAX, out);
    }

    fn patch(&mut self, now: u64, upsert: &Value, remove: &Value, out: &mut Effects) {
        let version = self.next_version();
        let mut document = self.current.clone();
        apply_patch(&mut document, upsert, remove);
        set_version(&mut document, version);
        let body = json!({"config-version": version, "upsert": upsert, "remove": remove});
        let request = ControlRequest::json("PATCH", CONFIGURATION_PATH, &body);
        let change = Change { number: self.next_tag.0, version, document, is_first: false };
        self.send_change(now, change, request, now + CHANGE_TIME_MS, out);
    }

    /// Sends the active configuration with a changed field of a route, under a version that is `above` higher than
    /// the next one.
    fn put_with(&mut self, now: u64, above: u64, route: &str, field: &str, value: &Value, out: &mut Effects) {
        let version = self.next_version() + above;
        let mut document = self.current.clone();
        set_version(&mut document, version);
        for entry in document["routes"].as_array_mut().into_iter().flatten() {
            if entry["name"] == route {
                entry[field] = value.clone();
            }
        }
        let request = ControlRequest::json("PUT", CONFIGURATION_PATH, &document);
        let change = Change { number: self.next_tag.0, version, document, is_first: false };
        self.send_change(now, change, request, now + CHANGE_TIME_MS, out);
    }

    /// Sends a change that is based on the active version.
    fn send_change(
        &mut self,
        now: u64,
        change: Change,
        request: ControlRequest,
        deadline: u64,
        out: &mut Effects,
    ) {
        out.observations.push(Observation::ConfigurationSent {
            change: change.number,
            version: change.version,
            base: self.version,
            document: change.document.clone(),
            valid: is_valid(&change.document),
        });
        let call = ControlCall::new(request.based_on(self.version), now, deadline);
        self.call(Purpose::Change(change), call);
    }

    /// Handles the end of a call, which has a response if a conclusive one was received.
    fn call_concluded(
        &mut self,
        now: u64,
        sent_at: u64,
        purpose: Purpose,
        progress: CallProgress,
        out: &mut Effects,
    ) {
        let response = match progress {
            CallProgress::Response(response) => Some(response),
            _ => None,
        };
        let status = response.as_ref().map(|response| response.status);
        let is_success = response.as_ref().is_some_and(Response::is_success);
        let body = response.and_then(|response| serde_json::from_slice::<Value>(&response.body).ok());
        match purpose {
            Purpose::Change(change) => {
                if let Some(error) = body.filter(|_| !is_success) {
                    log::info!("operator: change {} was refused: {error}", change.version);
                }
                self.change_completed(now, change, status, out);
            }
            Purpose::ReadBack => {
                let document = body.filter(|_| is_success);
                self.stats.borrow_mut().read_back = document.is_some();
                out.observations.push(Observation::FinalConfigurationRead { document });
            }
            Purpose::ReadCurrent => {
                if let Some(document) = body.filter(|_| is_success) {
                    let version = version_of(&document);
                    let observed = Observation::ConfigurationObserved { requested_at: sent_at, version };
                    out.observations.push(observed);
                    (self.version, self.current) = (version, document);
                }
            }
            Purpose::Retire { node } if is_success => self.check_retirement(now, node, now),
            Purpose::Retire { .. } => self.stats.borrow_mut().refused += 1,
            Purpose::RetirementState { node } => match body {
                Some(state) if state["state"] == "completed" => self.stats.borrow_mut().retired.push(node),
                _ => self.check_retirement(now, node, now + RETIREMENT_CHECK_MS),
            },
        }
    }

    /// Schedules a request for the state of a retirement at `at`.
    fn check_retirement(&mut self, now: u64, node: String, at: u64) {
        let request = ControlRequest::get(retirement_path(&node));
        let mut call = ControlCall::new(request, now, now + RETIREMENT_TIME_MS);
        call.postpone(at);
        self.call(Purpose::RetirementState { node }, call);
    }

    fn change_completed(&mut self, now: u64, change: Change, status: Option<u16>, out: &mut Effects) {
        out.observations.push(Observation::ConfigurationSendEnded { change: change.number, status });
        let mut stats = self.stats.borrow_mut();
        match status {
            Some(200..=299) => {
                stats.acknowledged += 1;
                if change.is_first {
                    stats.ready_at = Some(now);
                }
                if change.version > self.version {
                    (self.version, self.current) = (change.version, change.document);
                    stats.version = change.version;
                }
            }
            Some(_) => stats.refused += 1,
            None => stats.unclear += 1,
        }
        drop(stats);
        if !matches!(status, Some(200..=299 | 400 | 422)) {
            self.read_configuration(now, Purpose::ReadCurrent);
        }
    }

    fn due_action(&self, now: u64) -> Option<Action> {
        let mut script = self.script.borrow_mut();
        let is_due = self.can_start_action() && script.front().is_some_and(|next| next.at_ms <= now);
        is_due.then(|| script.pop_front()).flatten().map(|next| next.action)
    }

    /// Whether an action may start. Retirements continue concurrently with other actions.
    fn can_start_action(&self) -> bool {
        self.calls.values().all(|(purpose, _)| matches!(purpose, Purpose::RetirementState { .. }))
    }
}

fn retirement_path(node: &str) -> String {
    format!("/v1/retire/{node}")
}

impl Caller for Operator {
    fn wake(&mut self, now: u64, directory: &mut Directory, out: &mut Effects) {
        while let Some(action) = self.due_action(now) {
            self.begin(now, action, out);
        }
        for (tag, (_, call)) in &mut self.calls {
            out.calls.extend(call.attempt(now, *tag, directory, &mut self.random));
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
        let Some((_, call)) = self.calls.get_mut(&tag) else { return };
        match call.attempt_ended(now, outcome) {
            CallProgress::Retry | CallProgress::ResponseLost(_) => {}
            progress => {
                if let Some((purpose, call)) = self.calls.remove(&tag) {
                    self.call_concluded(now, call.sent_at(), purpose, progress, out);
                }
            }
        }
        self.wake(now, directory, out);
    }

    fn next_wake(&self) -> Option<u64> {
        let action = self.script.borrow().front().filter(|_| self.can_start_action()).map(|next| next.at_ms);
        self.calls.values().filter_map(|(_, call)| call.next_at()).chain(action).min()
    }
}
