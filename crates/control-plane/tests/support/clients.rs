//! Random clients: changes based on each other, racing changes, repeated and invalid changes, and reads.

use orchidvalve_control_plane::node::{ControlNode, RequestNumber};
use orchidvalve_control_plane::peer_messages::{HeadRequest, RequestOutcome};
use orchidvalve_control_state::{Change, ChangeError};
use orchidvalve_protocol::identity::MemberId;
use rand::Rng;
use rand::seq::IndexedRandom;
use serde_json::json;

use super::cluster::{Cluster, Event, address};
use super::invariant_checker::{ChangeNumber, InvariantChecker};
use super::operators::{Attempt, Reply};
use super::scenario::PlantedBug;

/// The number of attempts without a clear outcome after which a client abandons a change.
const MAX_ATTEMPTS: u32 = 12;

#[derive(Clone, Copy, Debug)]
pub enum CallKind {
    Change(ChangeNumber),
    /// A read that must see at least the change with this sequence number.
    Read(u64),
    /// One attempt of an operator's request. A read must see at least change `floor`. `in_force` says whether the
    /// requested change had already taken effect when the attempt arrived.
    Attempt {
        attempt: Attempt,
        floor: u64,
        in_force: bool,
    },
    /// A request to retire a store node; `is_known` says whether its registration was committed on arrival.
    Retirement {
        store: u8,
        is_known: bool,
    },
}

/// A request that a machine has not responded to yet.
#[derive(Clone, Copy, Debug)]
pub struct OpenCall {
    pub kind: CallKind,
    pub begun_at: u64,
}

#[derive(Default)]
pub struct Clients {
    stopped: bool,
    probes: Vec<ChangeNumber>,
    tries: Vec<u32>,
}

impl Clients {
    pub fn stop(&mut self) {
        self.stopped = true;
    }

    /// Returns a probe change that a system without faults should have acknowledged but has not, if any.
    pub fn open_probe(&self, checker: &InvariantChecker) -> Option<Change> {
        let open = self.probes.iter().find(|p| !checker.changes[**p].acknowledged)?;
        Some(checker.changes[*open].change.clone())
    }
}

fn body(version: u64, note: &str, filling: usize) -> Vec<u8> {
    let document = json!({
        "config-version": version, "routes": [], "services": [{"name": note}],
        "note": note, "filling": "x".repeat(filling),
    });
    document.to_string().into_bytes()
}

impl Cluster {
    pub fn client(&mut self) {
        if self.clients.stopped {
            return;
        }
        let interval = self.scenario.client_interval;
        let pause = self.random.random_range(1..=interval * 2);
        self.schedule(pause, Event::Client);
        for _ in 0..self.scenario.own_changes {
            self.own_change();
        }
        match self.random.random_range(0..100) {
            0..40 => {
                let change = self.new_change();
                self.send_new(change);
            }
            40..50 => {
                // Two operators base their changes on the same version.
                let (one, other) = (self.new_change(), self.new_change());
                self.send_new(one);
                self.send_new(other);
            }
            50..58 => {
                let change = self.invalid_change();
                self.send_new(change);
            }
            58..66 => {
                let version = self.checker.state().versions().get("large").copied().unwrap_or(1);
                let version = self.random.random_range(version.saturating_sub(1).max(1)..=version + 1);
                self.send_new(Change::NameVersion { model: "large".to_owned(), version });
            }
            66..70 => self.own_change(),
            70..76 => {
                // The control state remembers recent changes (`REMEMBERED_CHANGES`).
                let sent = self.checker.changes.len();
                if sent > 0 {
                    let number = self.random.random_range(sent.saturating_sub(100)..sent);
                    self.send_again(number);
                }
            }
            _ => self.send_read(),
        }
    }

    fn new_change(&mut self) -> Change {
        let current = self.checker.state().configuration_version();
        let stale = self.random.random_bool(0.1);
        let base = if stale { current.saturating_sub(1) } else { current };
        let version = base + self.random.random_range(1..4);
        let note = format!("n{}-{}", self.checker.changes.len(), self.random.random::<u32>());
        if base == 0 || self.random.random_bool(0.6) {
            return Change::Replace { base, body: body(version, &note, self.scenario.filling) };
        }
        let upsert = json!({"services": [{"name": "patched", "note": note}]});
        let document = json!({"config-version": version, "upsert": upsert, "remove": {"services": []}});
        Change::Patch { base, body: document.to_string().into_bytes() }
    }

    fn invalid_change(&mut self) -> Change {
        let base = self.checker.state().configuration_version();
        let note = format!("i{}", self.checker.changes.len());
        let broken = match self.random.random_range(0..4) {
            0 => body(base, &note, 0),
            1 => {
                let complete = body(base + 1, &note, 0);
                complete[..complete.len() - 2].to_vec()
            }
            2 => json!({"config-version": base + 1, "services": [{"name": note}, {"name": note}]})
                .to_string()
                .into_bytes(),
            _ => note.into_bytes(),
        };
        if self.random.random_bool(0.5) {
            Change::Replace { base, body: broken }
        } else {
            Change::Patch { base, body: broken }
        }
    }

    /// Lets a random machine propose a change of its own, which takes effect if that machine is the head.
    fn own_change(&mut self) {
        let machines = self.living();
        let Some(machine) = machines.choose(&mut self.random).copied() else { return };
        let disk = self.random.random_range(1..1_000);
        let member = MemberId { address: address(200), disk };
        let change = Change::RegisterStore { name: "store".to_owned(), zone: "north".to_owned(), member };
        if let Some(control_node) = &mut self.machines[machine].control_node {
            control_node.propose(change);
        }
        self.drain(machine);
        self.begin_sync(machine);
    }

    fn send_new(&mut self, change: Change) {
        let number = self.checker.send(change);
        self.clients.tries.resize(number + 1, 0);
        self.send_again(number);
    }

    pub fn resend(&mut self, number: ChangeNumber) {
        let sent = &self.checker.changes[number];
        if !self.clients.stopped && !sent.acknowledged && !sent.refused {
            self.send_again(number);
        }
    }

    fn send_again(&mut self, number: ChangeNumber) {
        let machines = self.living();
        if let Some(machine) = machines.choose(&mut self.random).copied() {
            self.send_to(machine, number);
        }
    }

    fn send_to(&mut self, machine: usize, number: ChangeNumber) {
        let change = self.checker.changes[number].encoded.to_vec();
        let call = self.open_call(machine, CallKind::Change(number));
        self.trace(|| {
            format!("machine {machine}: change {number} is sent, {:?}", self.checker.changes[number].change)
        });
        if let Some(control_node) = &mut self.machines[machine].control_node {
            control_node.submit(call, HeadRequest::Change { change });
        }
        if self.scenario.planted_bug == Some(PlantedBug::EarlyAnswers) {
            self.outcome(machine, call, RequestOutcome::Done);
        }
        self.drain(machine);
        self.begin_sync(machine);
    }

    pub fn open_call(&mut self, machine: usize, kind: CallKind) -> RequestNumber {
        let begun_at = self.now;
        let host = &mut self.machines[machine];
        let call = RequestNumber(host.next_call);
        host.next_call += 1;
        host.calls.insert(call, OpenCall { kind, begun_at });
        call
    }

    fn send_read(&mut self) {
        let machines = self.living();
        let Some(machine) = machines.choose(&mut self.random).copied() else { return };
        let floor = self.checker.floor();
        let call = self.open_call(machine, CallKind::Read(floor));
        if self.scenario.planted_bug == Some(PlantedBug::LocalReads) {
            return self.read_ready(machine, call);
        }
        if let Some(control_node) = &mut self.machines[machine].control_node {
            control_node.read(call);
        }
        self.drain(machine);
    }

    pub fn outcome(&mut self, machine: usize, call: RequestNumber, outcome: RequestOutcome) {
        let unclear = outcome == RequestOutcome::Unknown;
        if unclear && self.scenario.planted_bug == Some(PlantedBug::NoTimeouts) {
            return;
        }
        let Some(OpenCall { kind, .. }) = self.machines[machine].calls.remove(&call) else { return };
        let outcome = self.with_planted_bug(outcome);
        let number = match kind {
            CallKind::Change(number) => number,
            CallKind::Attempt { attempt, in_force, .. } => {
                return self.attempt_decided(machine, attempt, in_force, &outcome);
            }
            CallKind::Read(_) => return self.checker.fail("a read was completed as a change".to_owned()),
            CallKind::Retirement { store, is_known } => {
                return self.retirement_decided(store, is_known, &outcome);
            }
        };
        self.trace(|| format!("machine {machine}: change {number} is {outcome:?}"));
        self.checker.answered(number, &outcome);
        if unclear {
            self.try_again(number);
        }
        let risk = self.scenario.blackout_after_acknowledgement;
        if outcome == RequestOutcome::Done && !self.quiet && risk > 0.0 && self.random.random_bool(risk) {
            let delay = self.random.random_range(0..3);
            self.schedule(delay, Event::Blackout);
        }
    }

    /// Returns the outcome that a machine with a planted bug reports before its state machine decides.
    pub fn planted_outcome(&self, machine: usize, number: ChangeNumber) -> Option<RequestOutcome> {
        match self.scenario.planted_bug {
            Some(PlantedBug::EarlyAnswers) => Some(RequestOutcome::Done),
            Some(PlantedBug::LocalRefusals) => {
                let mut state = self.machines[machine].control_node.as_ref()?.state().clone();
                let error = state.apply(&self.checker.changes[number].change).err()?;
                let is_stale = matches!(error, ChangeError::VersionConflict { .. });
                is_stale.then(|| RequestOutcome::VersionConflict { reason: error.to_string() })
            }
            _ => None,
        }
    }

    fn with_planted_bug(&mut self, outcome: RequestOutcome) -> RequestOutcome {
        match (self.scenario.planted_bug, &outcome) {
            (Some(PlantedBug::RefusalsAsDone), RequestOutcome::VersionConflict { .. }) => {
                RequestOutcome::Done
            }
            (Some(PlantedBug::DoneAsRefusals), RequestOutcome::Done) if self.random.random_bool(0.05) => {
                RequestOutcome::Invalid { reason: "no reason".to_owned() }
            }
            _ => outcome,
        }
    }

    fn try_again(&mut self, number: ChangeNumber) {
        self.clients.tries[number] += 1;
        if self.clients.tries[number] < MAX_ATTEMPTS {
            let pause = self.random.random_range(1..400);
            self.schedule(pause, Event::Resend { change: number });
        }
    }

    /// Handles a request whose machine stopped before it responded.
    pub fn lost_call(&mut self, call: OpenCall) {
        match call.kind {
            CallKind::Change(number) => {
                self.checker.answered(number, &RequestOutcome::Unknown);
                self.try_again(number);
            }
            CallKind::Attempt { attempt, .. } => self.connection_reset(attempt),
            CallKind::Read(_) | CallKind::Retirement { .. } => {}
        }
    }

    pub fn read_ready(&mut self, machine: usize, call: RequestNumber) {
        let Some(OpenCall { kind, .. }) = self.machines[machine].calls.remove(&call) else { return };
        let floor = match kind {
            CallKind::Read(floor) | CallKind::Attempt { floor, .. } => floor,
            CallKind::Change(_) | CallKind::Retirement { .. } => {
                return self.checker.fail("a change was completed as a read".to_owned());
            }
        };
        if let CallKind::Attempt { attempt, .. } = kind {
            self.attempt_read(machine, attempt);
        }
        let applied = self.machines[machine].control_node.as_ref().map_or(0, ControlNode::applied);
        self.checker.read(floor, applied);
    }

    pub fn read_unclear(&mut self, machine: usize, call: RequestNumber) {
        if self.scenario.planted_bug == Some(PlantedBug::NoTimeouts) {
            return;
        }
        if let Some(OpenCall { kind: CallKind::Attempt { attempt, .. }, .. }) =
            self.machines[machine].calls.remove(&call)
        {
            self.reply(machine, attempt, Reply::Unknown);
        }
    }

    /// Sends a change to every machine of a system without faults; each must be acknowledged at the first attempt.
    pub fn probe(&mut self) {
        // Operators retry their requests, and all of their responses are checked already.
        if self.scenario.operators > 0 {
            return;
        }
        for machine in self.living() {
            let number =
                self.checker.send(Change::NameVersion { model: format!("probe-{machine}"), version: 2 });
            self.clients.tries.resize(number + 1, MAX_ATTEMPTS);
            self.clients.probes.push(number);
            self.send_to(machine, number);
        }
    }
}
