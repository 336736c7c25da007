//! A hash of all outputs of the machines of a run, as encoded bytes with times and machine numbers, so that it does not
//! depend on names in the code. Human-readable texts are left out, since their wording may change.

use orchidvalve_control_plane::node::{NodeOutput, RequestOrigin};
use orchidvalve_control_plane::peer_messages::{PeerMessage, RequestOutcome};
use orchidvalve_golden::Trace;
use orchidvalve_protocol::frames::encode;
use orchidvalve_protocol::identity::MemberId;
use orchidvalve_protocol::messages::{ControlMessage, ServerTableUpdate};

use super::cluster::Cluster;

/// The running hash of the outputs of a run.
#[derive(Default)]
pub struct OutputTrace(Trace);

/// Returns the outcome without its human-readable reason.
fn without_reason(outcome: &RequestOutcome) -> RequestOutcome {
    let reason = String::new();
    match outcome {
        RequestOutcome::Done => RequestOutcome::Done,
        RequestOutcome::VersionConflict { .. } => RequestOutcome::VersionConflict { reason },
        RequestOutcome::Invalid { .. } => RequestOutcome::Invalid { reason },
        RequestOutcome::NotFound { .. } => RequestOutcome::NotFound { reason },
        RequestOutcome::Conflict { .. } => RequestOutcome::Conflict { reason },
        RequestOutcome::Unknown => RequestOutcome::Unknown,
    }
}

impl OutputTrace {
    fn begin(&mut self, kind: u64, now: u64, from: usize) {
        self.0.add_number(kind);
        self.0.add_number(now);
        self.0.add_number(from as u64);
    }

    fn add_member(&mut self, member: MemberId) {
        self.0.add(&encode(&member));
    }

    pub fn add_event(&mut self, now: u64, (machine, start): (usize, u32), event: &NodeOutput) {
        let kind = match event {
            NodeOutput::Send { .. } => 0,
            NodeOutput::Committed { .. } => 1,
            NodeOutput::ViewChanged(_) => 2,
            NodeOutput::RetirementRequested { .. } => 3,
            NodeOutput::RequestDecided { .. } => 4,
            NodeOutput::ReadConfirmed { .. } => 5,
            NodeOutput::ReadUnconfirmed { .. } => 6,
        };
        self.begin(kind, now, machine);
        self.0.add_number(u64::from(start));
        match event {
            NodeOutput::Send { to, message: PeerMessage::ForwardOutcome { number, outcome } } => {
                self.add_member(*to);
                let outcome = without_reason(outcome);
                self.0.add(&encode(&PeerMessage::ForwardOutcome { number: *number, outcome }));
            }
            NodeOutput::Send { to, message } => {
                self.add_member(*to);
                self.0.add(&encode(message));
            }
            NodeOutput::Committed { first, changes } => {
                self.0.add_number(*first);
                changes.iter().for_each(|change| self.0.add(change));
            }
            NodeOutput::ViewChanged(view) => self.0.add(&encode(view)),
            NodeOutput::RetirementRequested { origin, name } => {
                match origin {
                    RequestOrigin::Local(number) => self.0.add_number(number.0),
                    RequestOrigin::Peer { from: member, number: request } => {
                        self.add_member(*member);
                        self.0.add_number(request.0);
                    }
                }
                self.0.add(name.as_bytes());
            }
            NodeOutput::RequestDecided { request, outcome } => {
                self.0.add_number(request.0);
                self.0.add(&encode(&without_reason(outcome)));
            }
            NodeOutput::ReadConfirmed { request } | NodeOutput::ReadUnconfirmed { request } => {
                self.0.add_number(request.0);
            }
        }
    }

    pub fn add_feed_message(
        &mut self,
        now: u64,
        machine: usize,
        subscriber: usize,
        message: &ControlMessage,
    ) {
        self.begin(7, now, machine);
        self.0.add_number(subscriber as u64);
        self.0.add(&encode(message));
    }

    pub fn add_table(&mut self, now: u64, from: usize, to: usize, update: &ServerTableUpdate) {
        self.begin(8, now, from);
        self.0.add_number(to as u64);
        self.0.add(&encode(update));
    }

    /// Adds that a machine may give orders under this term.
    pub fn add_order(&mut self, now: u64, machine: usize, term: u64) {
        self.begin(9, now, machine);
        self.0.add_number(term);
    }

    fn add_disk(&mut self, now: u64, machine: usize, records: &[(u64, Vec<u8>)]) {
        self.begin(10, now, machine);
        for (position, payload) in records {
            self.0.add_number(*position);
            self.0.add(payload);
        }
    }
}

impl Cluster {
    /// Adds the contents of a machine's disk to the trace of the run.
    pub fn trace_disk(&mut self, machine: usize) {
        if let Some(outputs) = &mut self.outputs {
            outputs.add_disk(self.now, machine, &self.machines[machine].disk.records());
        }
    }

    /// Runs the simulation to its end, and returns the hash of all outputs and of the final disks and states.
    ///
    /// # Errors
    ///
    /// Returns the first violation found by the invariant checker.
    pub fn run_traced(&mut self) -> Result<u64, String> {
        self.outputs = Some(OutputTrace::default());
        let summary = self.run()?;
        for machine in 0..self.machines.len() {
            self.trace_disk(machine);
        }
        let mut trace = self.outputs.take().unwrap_or_default().0;
        for control_node in self.machines.iter().filter_map(|machine| machine.control_node.as_ref()) {
            let (state, applied) = (control_node.state(), control_node.applied());
            trace.add_number(applied);
            trace.add(&encode(&state.snapshot()));
        }
        let counts = [summary.events, summary.acknowledged, summary.refused, summary.unclear, summary.reads];
        counts.into_iter().for_each(|count| trace.add_number(count));
        Ok(trace.finish())
    }
}
