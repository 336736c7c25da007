//! State that all checks share: bounds, time, disruptions, and the list of violations.

use std::collections::BTreeMap;

use super::invariant::{Invariant, InvariantBounds, Violation};
use crate::credentials::Credentials;
use crate::observation::Observation;

/// The state that all checks share.
#[derive(Debug)]
pub(super) struct CheckContext {
    pub bounds: InvariantBounds,
    /// Time of the current observation, in milliseconds.
    pub now: u64,
    /// Number of the current observation in the series.
    pub sequence: u64,
    last_disruption: Option<u64>,
    last_unplanned_disruption: Option<u64>,
    last_control_plane_disturbance: Option<u64>,
    /// Time at which each machine was last resumed, or a link of it was last restored.
    resumed_at: BTreeMap<String, u64>,
    /// Number of current disruptions of the platform.
    platform_disruptions: u64,
    /// Time at which the last disruption of the platform ended.
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
            resumed_at: BTreeMap::new(),
            platform_disruptions: 0,
            platform_restored_at: None,
            violations: Vec::new(),
        }
    }

    /// Moves on to the next observation.
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
            Observation::MachinesResumed { machines } => {
                self.resumed_at.extend(machines.iter().map(|machine| (machine.clone(), now)));
            }
            Observation::PlatformDisrupted { begins: true } => self.platform_disruptions += 1,
            Observation::PlatformDisrupted { begins: false } => {
                self.platform_disruptions = self.platform_disruptions.saturating_sub(1);
                self.platform_restored_at = Some(now);
            }
            _ => {}
        }
    }

    /// Records a violation at the time of the current observation.
    pub fn violate(&mut self, invariant: Invariant, subject: &str, detail: impl Into<String>) {
        let (subject, detail) = (subject.to_owned(), detail.into());
        self.violations.push(Violation { invariant, subject, at: self.now, detail });
    }

    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Whether the system's machines can reach each other and could do so during all the time since `since`.
    pub fn is_undisrupted_since(&self, since: u64) -> bool {
        self.is_over_since(self.last_disruption, since)
    }

    /// Whether there were no disruptions other than planned work since `since`.
    pub fn is_at_most_planned_since(&self, since: u64) -> bool {
        self.is_over_since(self.last_unplanned_disruption, since)
    }

    fn is_over_since(&self, disruption: Option<u64>, since: u64) -> bool {
        disruption.is_none_or(|at| at + self.bounds.contact_ms <= since.min(self.now))
    }

    /// Whether a machine was resumed, or a link of it restored, so recently that its orders and calls are not
    /// checked.
    pub fn is_just_resumed(&self, machine: &str) -> bool {
        self.resumed_at.get(machine).is_some_and(|at| self.now <= at + self.bounds.thaw_slack_ms)
    }

    /// Whether the platform is disrupted, or was until `thaw_slack_ms` ago.
    pub fn is_platform_disrupted(&self) -> bool {
        let is_recent = |at| self.now <= at + self.bounds.thaw_slack_ms;
        self.platform_disruptions > 0 || self.platform_restored_at.is_some_and(is_recent)
    }

    /// Time since which the control plane is stable, or from which it will be if no further disturbance happens.
    pub fn stable_since(&self) -> u64 {
        self.last_control_plane_disturbance.map_or(0, |at| at + self.bounds.contact_ms)
    }
}

/// The origin of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestPurpose {
    /// A client.
    Client,
    /// An item of a batch job.
    Item,
    /// The reward call of an item.
    RewardCall,
}

/// A request as its client or trainer sent it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExpectedRequest<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub target: &'a str,
    /// Digest of the request body.
    pub body: u64,
    pub purpose: RequestPurpose,
    /// Credentials of the client, or of the trainer that submitted the batch job.
    pub credentials: &'a Credentials,
    /// Time from which configurations must apply to the request.
    pub since: u64,
}
