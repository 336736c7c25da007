//! The invariant ONE for calls of the platform that are the duty of one node at a time.

use std::collections::BTreeMap;

use super::context::CheckContext;
use super::invariant::Invariant;
use super::lease_history::{Action, LeaseHistory};
use crate::observation::{DutyCall, DutyOrder, Observation};

/// Calls by duty and subject, and the reports of usage that were accepted.
#[derive(Debug, Default)]
pub(super) struct PlatformCalls {
    subjects: BTreeMap<String, LeaseHistory>,
    accepted_counts: BTreeMap<u64, BTreeMap<String, u64>>,
}

impl PlatformCalls {
    pub fn observe(&mut self, context: &mut CheckContext, observation: &Observation) {
        let Observation::DutyCallReceived { call, accepted } = observation else { return };
        self.check_lease(context, call);
        if let (true, DutyOrder::UsageReport { window, counts }) = (*accepted, &call.order) {
            self.check_counts(context, *window, counts);
        }
    }

    /// Calls right after a thaw or a healed link of their sender, or while the platform is in disruption, don't count.
    fn check_lease(&mut self, context: &mut CheckContext, call: &DutyCall) {
        if context.is_just_thawed(&call.holder) || context.is_platform_disrupted() {
            return;
        }
        let subject = subject_of(&call.order);
        let action = Action { holder: &call.holder, source: &call.source, token: call.token };
        self.subjects.entry(subject.clone()).or_default().check(context, &subject, action);
    }

    /// An exact repeat of an accepted report is none of a second one.
    fn check_counts(&mut self, context: &mut CheckContext, window: u64, counts: &BTreeMap<String, u64>) {
        let accepted = self.accepted_counts.entry(window).or_insert_with(|| counts.clone());
        if accepted != counts {
            let detail = "two reports with different counts were accepted";
            context.violate(Invariant::One, &format!("window-{window}"), detail);
        }
    }
}

/// All windows of usage are one subject; a service in a zone is one of scaling.
fn subject_of(order: &DutyOrder) -> String {
    match order {
        DutyOrder::UsageReport { .. } => "usage".to_owned(),
        DutyOrder::Scaling { service, zone, .. } => format!("scaling/{service}/{zone}"),
    }
}
