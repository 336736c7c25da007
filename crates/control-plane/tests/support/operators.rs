//! Operators and trainers as the specification describes them: up to eight requests in flight, each based on the version
//! that its sender saw last, and retried unchanged at another machine, with growing backoff, if its outcome is unknown.

use orchidvalve_configuration::fingerprint;
use orchidvalve_control_plane::peer_messages::{HeadRequest, RequestOutcome};
use orchidvalve_control_state::Change;
use rand::Rng;
use rand::seq::IndexedRandom;
use serde_json::json;

use super::clients::CallKind;
use super::cluster::{Cluster, Event};
use super::history::{Answer, ChangeIndex, History, RecordedRead, Stamp};
use super::invariant_checker::ChangeNumber;
use super::network_partitions::Aim;
use super::scenario::PlantedBug;

/// The maximum number of requests that one operator has in flight.
const MAX_IN_FLIGHT: usize = 8;
/// Time in ms after which a request without a response is sent to another machine.
const RESPONSE_TIMEOUT_MS: u64 = 1_000;
const FIRST_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 800;
/// The longest delay in ms of a request or a response.
const MAX_DELAY_MS: u64 = 8;
/// Fraction of the requests sent to a partitioned machine that arrive once the partition heals.
const HELD_FRACTION: f64 = 0.3;
/// Fraction of the requests to a dead process whose sender receives a connection reset.
const RESET_FRACTION: f64 = 0.5;

/// The operation that a request performs.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Request {
    Configure { index: ChangeIndex, number: ChangeNumber },
    NameVersion { number: ChangeNumber },
    Read,
}

/// One sending of a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Attempt {
    pub call: usize,
    number: u32,
}

/// The response of a machine to one attempt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Reply {
    Accepted,
    OtherVersion,
    Invalid,
    /// 503, or the connection was reset.
    Unknown,
    /// Version and fingerprint of the configuration that a read saw; `None` if there was no configuration.
    Seen(Option<(u64, u64)>),
}

#[derive(Debug)]
pub enum OperatorEvent {
    NextRequest { operator: usize },
    Send { call: usize },
    Arrival { attempt: Attempt, machine: usize },
    Response { attempt: Attempt, reply: Reply },
    Timeout { attempt: Attempt },
}

#[derive(Debug)]
pub struct OperatorRequest {
    operator: usize,
    pub request: Request,
    sends: u32,
    /// Stamp of the last attempt, and its time in ms.
    sent: Stamp,
    pub sent_at: u64,
    /// Whether an attempt awaits its response.
    waiting: bool,
    /// Machines that the most recent attempts went to.
    tried: Vec<usize>,
    pub is_over: bool,
    /// The machine that must receive the request, if it is aimed at one.
    pub aim: Option<Aim>,
    /// Time in ms since which the request has been open in a stable cluster.
    pub stable_since: Option<u64>,
}

/// The versions that one operator knows.
#[derive(Clone, Copy, Default, Debug)]
struct Operator {
    seen: u64,
    /// The version of the operator's latest change, which may not have been accepted.
    latest: u64,
}

#[derive(Default)]
pub struct Operators {
    operators: Vec<Operator>,
    pub calls: Vec<OperatorRequest>,
    pub history: History,
    named: u64,
    stopped: bool,
    /// The machine that newly started requests are aimed at.
    aim: Option<Aim>,
    /// Attempts that arrive when the partition of their machine heals.
    held: Vec<(usize, Attempt)>,
    pub acknowledged: u64,
}

impl Operators {
    pub fn new(count: usize) -> Operators {
        Operators { operators: vec![Operator::default(); count], ..Operators::default() }
    }

    pub fn stop(&mut self) {
        self.stopped = true;
    }

    /// Whether operators have stopped sending new changes.
    pub fn has_stopped(&self) -> bool {
        self.stopped
    }

    pub fn open_calls(&mut self) -> impl Iterator<Item = &mut OperatorRequest> {
        self.calls.iter_mut().filter(|call| !call.is_over)
    }

    fn is_open(&self, attempt: Attempt) -> bool {
        let call = &self.calls[attempt.call];
        !call.is_over && call.waiting && call.sends == attempt.number
    }
}

impl Cluster {
    pub fn operator_event(&mut self, event: OperatorEvent) {
        match event {
            OperatorEvent::NextRequest { operator } => self.operator_step(operator),
            OperatorEvent::Send { call } => self.send_call(call),
            OperatorEvent::Arrival { attempt, machine } => self.call_arrives(attempt, machine),
            OperatorEvent::Response { attempt, reply } => self.call_answered(attempt, reply),
            OperatorEvent::Timeout { attempt } => self.call_failed(attempt),
        }
    }

    fn operator_step(&mut self, operator: usize) {
        if self.operators.stopped {
            return;
        }
        self.schedule(self.scenario.operator_pause, Event::Operator(OperatorEvent::NextRequest { operator }));
        if self.has_many_under_way(operator) {
            return;
        }
        match self.random.random_range(0..100) {
            0..60 => self.send_change(operator),
            60..72 => {
                // Another operator uses the same version for a different change on the same base.
                self.send_change(operator);
                let other = (operator + 1) % self.operators.operators.len();
                self.operators.operators[other].seen = self.operators.operators[operator].seen;
                self.send_change(other);
            }
            72..77 => self.send_improper_change(operator),
            77..87 => {
                self.operators.named += 1;
                let version = self.operators.named + 1;
                let number = self.checker.send(Change::NameVersion { model: "large".to_owned(), version });
                self.begin_call(operator, Request::NameVersion { number });
            }
            _ => self.begin_call(operator, Request::Read),
        }
    }

    fn has_many_under_way(&self, operator: usize) -> bool {
        let own = |call: &&OperatorRequest| call.operator == operator && !call.is_over;
        self.operators.calls.iter().filter(own).count() >= MAX_IN_FLIGHT
    }

    fn send_change(&mut self, operator: usize) {
        let Operator { seen, latest } = self.operators.operators[operator];
        // Some changes are based on the operator's own change that is still in flight.
        let base = if latest > seen && self.random.random_bool(0.3) { latest } else { seen };
        let version = base + if self.random.random_bool(0.9) { 1 } else { 2 };
        self.operators.operators[operator].latest = version;
        let note = format!("o{}", self.operators.history.changes.len());
        let change = if base == 0 || self.random.random_bool(0.5) {
            let filling = "x".repeat(self.filling());
            let document = json!({
                "config-version": version, "routes": [], "services": [{"name": note}], "filling": filling,
            });
            Change::Replace { base, body: document.to_string().into_bytes() }
        } else {
            let upsert = json!({"services": [{"name": "patched", "note": note}]});
            let document = json!({"config-version": version, "upsert": upsert});
            Change::Patch { base, body: document.to_string().into_bytes() }
        };
        self.configure(operator, change, base, version, true);
    }

    /// Returns the number of filling bytes in the next change.
    fn filling(&self) -> usize {
        let number = self.operators.history.changes.len();
        match self.scenario.huge {
            Some((every, bytes)) if number % every == every - 1 => bytes,
            _ => self.scenario.filling,
        }
    }

    /// Sends a change whose version is not above its base, which must be rejected as invalid.
    fn send_improper_change(&mut self, operator: usize) {
        let base = self.operators.operators[operator].seen;
        let note = format!("i{}", self.operators.history.changes.len());
        let document = json!({"config-version": base, "routes": [], "services": [{"name": note}]});
        let change = Change::Replace { base, body: document.to_string().into_bytes() };
        self.configure(operator, change, base, base, false);
    }

    fn configure(&mut self, operator: usize, change: Change, base: u64, version: u64, proper: bool) {
        let (Change::Replace { body, .. } | Change::Patch { body, .. }) = &change else { return };
        let print = fingerprint(body);
        let number = self.checker.send(change);
        let index = self.operators.history.call(base, version, proper);
        self.change_fingerprints.insert(print, index);
        self.begin_call(operator, Request::Configure { index, number });
    }

    fn begin_call(&mut self, operator: usize, request: Request) {
        let call = OperatorRequest {
            operator,
            request,
            sends: 0,
            sent: 0,
            sent_at: self.now,
            waiting: false,
            tried: Vec::new(),
            is_over: false,
            aim: self.operators.aim,
            stable_since: None,
        };
        self.operators.calls.push(call);
        if matches!(request, Request::Configure { .. }) {
            self.change_sent();
        }
        self.send_call(self.operators.calls.len() - 1);
    }

    fn send_call(&mut self, call: usize) {
        let tried = &self.operators.calls[call].tried;
        let machines: Vec<usize> =
            (0..self.machines.len()).filter(|m| !self.machines[*m].removed && !tried.contains(m)).collect();
        let Some(any) = machines.choose(&mut self.random).copied() else { return };
        let machine = self.aimed_machine(call).unwrap_or(any);
        let sent = self.operators.history.stamp();
        let most_left_out = self.scenario.tolerance;
        let open = &mut self.operators.calls[call];
        // As callers do, the request skips the machines tried most recently, as many as the tolerance allows to be lost.
        open.tried.push(machine);
        if open.tried.len() > most_left_out {
            open.tried.remove(0);
        }
        open.sends += 1;
        open.sent = sent;
        open.sent_at = self.now;
        open.waiting = true;
        if let Request::Configure { index, .. } = open.request {
            self.operators.history.changes[index].has_open_attempt = open.sends > 1;
        }
        let attempt = Attempt { call, number: open.sends };
        let request = open.request;
        self.trace(|| format!("operator: request {call} {request:?} to machine {machine}"));
        let delay = self.random.random_range(1..=MAX_DELAY_MS);
        self.schedule(delay, Event::Operator(OperatorEvent::Arrival { attempt, machine }));
        self.schedule(RESPONSE_TIMEOUT_MS, Event::Operator(OperatorEvent::Timeout { attempt }));
    }

    /// Returns the machine that a request is aimed at, unless it has been removed.
    fn aimed_machine(&self, call: usize) -> Option<usize> {
        let call = &self.operators.calls[call];
        let aim = call.aim.filter(|aim| call.sends == 0 || self.now < aim.until)?;
        Some(aim.machine).filter(|machine| !self.machines[*machine].removed)
    }

    /// A random operator sends a change to this machine, unless it has too many requests in flight.
    pub fn send_aimed_change(&mut self, aim: Aim) {
        let operator = self.random.random_range(0..self.operators.operators.len());
        if self.operators.stopped || self.has_many_under_way(operator) {
            return;
        }
        self.operators.aim = Some(aim);
        self.send_change(operator);
        self.operators.aim = None;
    }

    fn call_arrives(&mut self, attempt: Attempt, machine: usize) {
        let host = &mut self.machines[machine];
        if self.unreachable_for_operators.contains(&machine) {
            if self.random.random_bool(HELD_FRACTION) {
                self.operators.held.push((machine, attempt));
            }
        } else if host.control_node.is_none() {
            self.connection_reset(attempt);
        } else if host.frozen {
            host.operator_inbox.push(attempt);
        } else {
            self.enter_call(machine, attempt);
        }
    }

    /// Delivers the attempts that were held back by the partition of this machine.
    pub fn release_held_calls(&mut self, machine: usize) {
        let held = std::mem::take(&mut self.operators.held);
        let (arriving, waiting) = held.into_iter().partition(|(to, _)| *to == machine);
        self.operators.held = waiting;
        for (machine, attempt) in arriving {
            self.call_arrives(attempt, machine);
        }
    }

    pub fn enter_call(&mut self, machine: usize, attempt: Attempt) {
        let floor = self.checker.floor();
        let request = self.operators.calls[attempt.call].request;
        let in_force =
            matches!(request, Request::Configure { number, .. } if self.checker.is_in_force(number));
        let call = self.open_call(machine, CallKind::Attempt { attempt, floor, in_force });
        let Some(control_node) = &mut self.machines[machine].control_node else { return };
        let (Request::Configure { number, .. } | Request::NameVersion { number }) = request else {
            if self.scenario.planted_bug == Some(PlantedBug::LocalReads) {
                return self.read_ready(machine, call);
            }
            control_node.read(call);
            return self.drain(machine);
        };
        let change = self.checker.changes[number].encoded.to_vec();
        control_node.submit(call, HeadRequest::Change { change });
        if let Some(outcome) = self.planted_outcome(machine, number) {
            self.outcome(machine, call, outcome);
        }
        self.drain(machine);
        self.begin_sync(machine);
    }

    /// Checks the outcome that a machine decided for one attempt, and sends the response.
    pub fn attempt_decided(
        &mut self,
        machine: usize,
        attempt: Attempt,
        in_force: bool,
        outcome: &RequestOutcome,
    ) {
        let request = self.operators.calls[attempt.call].request;
        let (Request::Configure { number, .. } | Request::NameVersion { number }) = request else {
            return self.checker.fail("a read was completed as a change".to_owned());
        };
        let proper = match request {
            Request::Configure { index, .. } => self.operators.history.changes[index].proper,
            _ => true,
        };
        let reply = match outcome {
            RequestOutcome::Done => Reply::Accepted,
            RequestOutcome::VersionConflict { .. } => Reply::OtherVersion,
            RequestOutcome::Invalid { .. } if !proper => Reply::Invalid,
            RequestOutcome::Unknown => Reply::Unknown,
            other => {
                return self.checker.fail(format!("a proper request {request:?} was completed as {other:?}"));
            }
        };
        match reply {
            Reply::OtherVersion => self.checker.refused_for_now(number, in_force),
            _ => self.checker.answered(number, outcome),
        }
        if reply == Reply::Accepted {
            self.acknowledged_by(machine);
        }
        self.reply(machine, attempt, reply);
    }

    /// Responds to one attempt of a read with the configuration that the machine holds.
    pub fn attempt_read(&mut self, machine: usize, attempt: Attempt) {
        let Some(control_node) = &self.machines[machine].control_node else { return };
        let seen = control_node.state().configuration().map(|c| (c.version(), c.fingerprint()));
        self.reply(machine, attempt, Reply::Seen(seen));
    }

    pub fn reply(&mut self, machine: usize, attempt: Attempt, reply: Reply) {
        let lost =
            self.unreachable_for_operators.contains(&machine) || self.random.random_bool(self.response_loss);
        if !lost {
            let delay = self.random.random_range(1..=MAX_DELAY_MS);
            self.schedule(delay, Event::Operator(OperatorEvent::Response { attempt, reply }));
        }
    }

    /// Handles an attempt whose receiving process is not running or has ended.
    pub fn connection_reset(&mut self, attempt: Attempt) {
        if self.random.random_bool(RESET_FRACTION) {
            let reply = Reply::Unknown;
            self.schedule(1, Event::Operator(OperatorEvent::Response { attempt, reply }));
        }
    }

    fn call_answered(&mut self, attempt: Attempt, reply: Reply) {
        if !self.operators.is_open(attempt) {
            return;
        }
        self.trace(|| format!("operator: request {} is completed: {reply:?}", attempt.call));
        if reply == Reply::Unknown {
            return self.call_failed(attempt);
        }
        let call = &mut self.operators.calls[attempt.call];
        call.is_over = true;
        let (operator, request, since, sent_at) = (call.operator, call.request, call.sent, call.sent_at);
        let at = self.operators.history.stamp();
        match request {
            Request::Read => self.read_seen(operator, since, at, reply),
            Request::NameVersion { .. } => {}
            Request::Configure { index, .. } => {
                let change = &mut self.operators.history.changes[index];
                change.answer = match reply {
                    Reply::Accepted => Answer::Accepted { at },
                    Reply::OtherVersion => Answer::OtherVersion { since, at },
                    _ => Answer::Invalid { at },
                };
                let version = change.version;
                if reply == Reply::Accepted {
                    let operator = &mut self.operators.operators[operator];
                    operator.seen = operator.seen.max(version);
                } else if reply == Reply::OtherVersion {
                    // The operator reads the current version before its next change.
                    self.operators.operators[operator].latest = 0;
                    self.begin_call(operator, Request::Read);
                }
            }
        }
        if reply == Reply::Accepted {
            self.operators.acknowledged += 1;
            self.recovery.acknowledged(self.now, sent_at);
        }
    }

    fn read_seen(&mut self, operator: usize, called: Stamp, returned: Stamp, reply: Reply) {
        let Reply::Seen(seen) = reply else {
            return self.checker.fail(format!("a read was completed as {reply:?}"));
        };
        let known = seen.map(|(_, print)| self.change_fingerprints.get(&print).copied());
        if known == Some(None) {
            return self.checker.fail(format!("a read saw {seen:?}, which no operator sent"));
        }
        let version = seen.map_or(0, |(version, _)| version);
        self.operators.history.reads.push(RecordedRead { called, returned, seen: known.flatten() });
        let operator = &mut self.operators.operators[operator];
        operator.seen = operator.seen.max(version);
    }

    /// Retries a request whose attempt had no clear outcome, at another machine, after a growing backoff.
    fn call_failed(&mut self, attempt: Attempt) {
        if !self.operators.is_open(attempt) {
            return;
        }
        let call = &mut self.operators.calls[attempt.call];
        call.waiting = false;
        let pause = (FIRST_BACKOFF_MS << call.sends.min(6)).min(MAX_BACKOFF_MS);
        let pause = self.random.random_range(pause / 2..=pause);
        let call = attempt.call;
        self.schedule(pause, Event::Operator(OperatorEvent::Send { call }));
    }

    /// Checks the complete history for linearizability, after the last request has been sent.
    pub fn check_history(&mut self) {
        if let Err(contradiction) = self.operators.history.check() {
            self.checker.fail(contradiction.to_string());
        }
    }
}
