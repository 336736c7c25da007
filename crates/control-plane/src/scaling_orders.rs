//! Delivery of scaling orders to the platform: at most one call is in flight for each service and zone. An order is sent
//! again while its outcome is unknown, and a later decision replaces an earlier one. Does no I/O.

use std::collections::BTreeMap;

use orchidvalve_chain_replication::Milliseconds;

use crate::scaling_planner::ScalingOrder;

/// Pause before an order is sent again for the first time, in milliseconds; it doubles with each further time...
const FIRST_BACKOFF_MS: Milliseconds = 500;
/// ...up to this bound, in milliseconds.
const MAX_BACKOFF_MS: Milliseconds = 8_000;

/// The outcome of a scaling order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ScalingOutcome {
    /// The platform has accepted the order.
    Accepted,
    /// The platform has rejected the order permanently.
    Refused,
    /// There was no response, or one that leaves open whether the order was accepted.
    Unknown,
}

impl ScalingOutcome {
    /// Maps the status of the response to an outcome; `None` means no response. Status 429 (too many calls) and errors of
    /// the platform are temporary.
    pub fn from_status(status: Option<u16>) -> ScalingOutcome {
        match status {
            Some(200..=299) => ScalingOutcome::Accepted,
            Some(408 | 429) | None => ScalingOutcome::Unknown,
            Some(400..=499) => ScalingOutcome::Refused,
            Some(_) => ScalingOutcome::Unknown,
        }
    }
}

/// A service in a zone. Its orders form one series, of which only the latest one matters.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
struct ScalingSubject {
    service: String,
    zone: String,
}

impl ScalingSubject {
    fn of(order: &ScalingOrder) -> ScalingSubject {
        ScalingSubject { service: order.service.clone(), zone: order.zone.clone() }
    }
}

/// The latest decision for a service and zone, which the platform has not confirmed yet.
#[derive(Debug)]
struct OpenOrder {
    desired_count: u32,
    is_in_flight: bool,
    /// The order is not sent before this time.
    due_at: Milliseconds,
    /// Number of calls with an unknown outcome since the decision last changed.
    unknown_outcomes: u32,
}

/// All orders that the platform has not confirmed. Times are in milliseconds.
#[derive(Default, Debug)]
pub struct ScalingOrders {
    open: BTreeMap<ScalingSubject, OpenOrder>,
}

impl ScalingOrders {
    /// Adds a decision, which replaces the earlier one for the same service and zone.
    pub fn decide(&mut self, order: &ScalingOrder, now: Milliseconds) {
        let open = self.open.entry(ScalingSubject::of(order)).or_insert(OpenOrder {
            desired_count: order.desired_count,
            is_in_flight: false,
            due_at: now,
            unknown_outcomes: 0,
        });
        if open.desired_count != order.desired_count {
            (open.desired_count, open.due_at, open.unknown_outcomes) = (order.desired_count, now, 0);
        }
    }

    /// Returns whether an order has to be sent now.
    pub fn has_due(&self, now: Milliseconds) -> bool {
        self.next_due().is_some_and(|at| at <= now)
    }

    /// Takes the order that has been due longest. It counts as in flight until [`ScalingOrders::completed`].
    pub fn take_due(&mut self, now: Milliseconds) -> Option<ScalingOrder> {
        let unsent = self.open.iter_mut().filter(|(_, open)| !open.is_in_flight && open.due_at <= now);
        let (subject, open) = unsent.min_by_key(|(_, open)| open.due_at)?;
        open.is_in_flight = true;
        Some(ScalingOrder {
            service: subject.service.clone(),
            zone: subject.zone.clone(),
            desired_count: open.desired_count,
        })
    }

    /// Records the outcome of a call. If a later decision was made meanwhile, it is due at once, regardless of the outcome.
    pub fn completed(&mut self, order: &ScalingOrder, outcome: ScalingOutcome, now: Milliseconds) {
        let subject = ScalingSubject::of(order);
        let Some(open) = self.open.get_mut(&subject) else { return };
        open.is_in_flight = false;
        if open.desired_count != order.desired_count {
            open.due_at = now;
            return;
        }
        match outcome {
            ScalingOutcome::Accepted | ScalingOutcome::Refused => {
                self.open.remove(&subject);
            }
            ScalingOutcome::Unknown => {
                let backoff = (FIRST_BACKOFF_MS << open.unknown_outcomes.min(8)).min(MAX_BACKOFF_MS);
                open.unknown_outcomes += 1;
                open.due_at = now + backoff;
            }
        }
    }

    /// Returns when the next order is due; `None` if no order waits to be sent.
    pub fn next_due(&self) -> Option<Milliseconds> {
        self.open.values().filter(|open| !open.is_in_flight).map(|open| open.due_at).min()
    }

    /// Returns whether an order for the service is unconfirmed.
    pub fn has_open(&self, service: &str) -> bool {
        self.open.keys().any(|subject| subject.service == service)
    }

    /// Forgets all orders: another node leads scaling.
    pub fn clear(&mut self) {
        self.open.clear();
    }
}
