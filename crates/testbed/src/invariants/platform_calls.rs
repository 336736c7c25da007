//! The invariant ONE for calls to the platform that only the leader of a singleton role may make.

use std::collections::BTreeMap;

use super::context::CheckContext;
use super::invariant::Invariant;
use super::lease_history::{Action, LeaseHistory};
use crate::observation::{Observation, PlatformCall, PlatformOrder};

/// History of platform calls by subject, and the counts of the accepted usage reports by window.
#[derive(Debug, Default)]
pub(super) struct PlatformCalls {
    subjects: BTreeMap<String, LeaseHistory>,
    accepted_counts: BTreeMap<u64, BTreeMap<String, u64>>,
}

impl PlatformCalls {
    pub fn observe(&mut self, context: &mut CheckContext, observation: &Observation) {
        let Observation::PlatformCallReceived { call, accepted } = observation else { return };
        self.check_lease(context, call);
        if let (true, PlatformOrder::UsageReport { window, counts }) = (*accepted, &call.order) {
            self.check_counts(context, *window, counts);
        }
    }

    /// Checks a call against the lease history of its subject. Calls are not checked while the platform is disrupted,
    /// or right after their sender was resumed or one of its links was restored.
    fn check_lease(&mut self, context: &mut CheckContext, call: &PlatformCall) {
        if context.is_just_resumed(&call.leader) || context.is_platform_disrupted() {
            return;
        }
        let subject = subject_of(&call.order);
        let action = Action { leader: &call.leader, source: &call.source, token: call.token };
        self.subjects.entry(subject.clone()).or_default().check(context, &subject, action);
    }

    /// Checks that all accepted reports of a window have the same counts. An exact repeat is allowed.
    fn check_counts(&mut self, context: &mut CheckContext, window: u64, counts: &BTreeMap<String, u64>) {
        let accepted = self.accepted_counts.entry(window).or_insert_with(|| counts.clone());
        if accepted != counts {
            let detail = "two reports with different counts were accepted";
            context.violate(Invariant::One, &format!("window-{window}"), detail);
        }
    }
}

/// Names the subject of a lease: all usage windows together, or the scaling of one service in one zone.
fn subject_of(order: &PlatformOrder) -> String {
    match order {
        PlatformOrder::UsageReport { .. } => "usage".to_owned(),
        PlatformOrder::Scaling { service, zone, .. } => format!("scaling/{service}/{zone}"),
    }
}
