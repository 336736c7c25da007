//! What all checks need: bounds, time, disruptions, and the list of violations.

use std::collections::BTreeMap;

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
    /// When machines were last thawed, or a link of theirs healed.
    thawed_at: BTreeMap<String, u64>,
    /// Disruptions of the platform that go on now.
    platform_disruptions: u64,
    /// When the last one ended.
    platform_restored_at: Option<u64>,
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
            thawed_at: BTreeMap::new(),
            platform_disruptions: 0,
            platform_restored_at: None,
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
            Observation::MachinesThawed { machines } => {
                self.thawed_at.extend(machines.iter().map(|machine| (machine.clone(), now)));
            }
            Observation::PlatformDisrupted { begins: true } => self.platform_disruptions += 1,
            Observation::PlatformDisrupted { begins: false } => {
                self.platform_disruptions = self.platform_disruptions.saturating_sub(1);
                self.platform_restored_at = Some(now);
            }
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

    /// Whether a machine was thawed, or a link of it healed, so short a time ago that its orders and calls don't count.
    pub fn is_just_thawed(&self, machine: &str) -> bool {
        self.thawed_at.get(machine).is_some_and(|at| self.now <= at + self.bounds.thaw_slack_ms)
    }

    /// Whether the platform is in disruption, or was a moment ago.
    pub fn is_platform_disrupted(&self) -> bool {
        let is_recent = |at| self.now <= at + self.bounds.thaw_slack_ms;
        self.platform_disruptions > 0 || self.platform_restored_at.is_some_and(is_recent)
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
