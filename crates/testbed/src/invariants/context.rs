//! What all checks need: bounds, time, disruptions, and the list of violations.

use super::invariant::{Invariant, InvariantBounds, Violation};
use crate::credentials::Credentials;
use crate::observation::Observation;

/// The state that the checks share.
#[derive(Debug)]
pub(super) struct CheckContext {
    pub bounds: InvariantBounds,
    /// Time of the observation that is checked.
    pub now: u64,
    /// Number of the observation in the series.
    pub sequence: u64,
    last_disruption: Option<u64>,
    last_unplanned_disruption: Option<u64>,
    last_control_plane_disturbance: Option<u64>,
    violations: Vec<Violation>,
}

impl CheckContext {
    pub fn new(bounds: InvariantBounds) -> CheckContext {
        CheckContext {
            bounds,
            now: 0,
            sequence: 0,
            last_disruption: None,
            last_unplanned_disruption: None,
            last_control_plane_disturbance: None,
            violations: Vec::new(),
        }
    }

    /// Goes on to the next observation.
    pub fn begin_observation(&mut self, now: u64, observation: &Observation) {
        self.now = now;
        self.sequence += 1;
        match observation {
            Observation::Disruption { planned, .. } => {
                self.last_disruption = Some(now);
                if !planned {
                    self.last_unplanned_disruption = Some(now);
                }
            }
            Observation::ControlPlaneDisturbed => self.last_control_plane_disturbance = Some(now),
            _ => {}
        }
    }

    /// Adds a violation at the time of the observation.
    pub fn violate(&mut self, invariant: Invariant, subject: &str, detail: impl Into<String>) {
        let (subject, detail) = (subject.to_owned(), detail.into());
        self.violations.push(Violation { invariant, subject, at: self.now, detail });
    }

    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Whether the system's machines are in contact, and were all the time since `since`.
    pub fn is_undisrupted_since(&self, since: u64) -> bool {
        self.is_over_since(self.last_disruption, since)
    }

    /// Whether there was at most planned work all the time since `since`.
    pub fn is_at_most_planned_since(&self, since: u64) -> bool {
        self.is_over_since(self.last_unplanned_disruption, since)
    }

    fn is_over_since(&self, disruption: Option<u64>, since: u64) -> bool {
        disruption.is_none_or(|at| at + self.bounds.contact_ms <= since.min(self.now))
    }

    /// Since when the control plane is stable, or when it will be if nothing more is done to it.
    pub fn stable_since(&self) -> u64 {
        self.last_control_plane_disturbance.map_or(0, |at| at + self.bounds.contact_ms)
    }
}

/// Who asks for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestPurpose {
    /// A client.
    Client,
    /// An item of a batch job.
    Item,
    /// The reward call of an item.
    RewardCall,
}

/// A request as its sender asked for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExpectedRequest<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub target: &'a str,
    /// Digest of its body.
    pub body: u64,
    pub purpose: RequestPurpose,
    /// How the client identified itself, or the trainer that handed in the batch job.
    pub credentials: &'a Credentials,
    /// From when on configurations bind it.
    pub since: u64,
}
