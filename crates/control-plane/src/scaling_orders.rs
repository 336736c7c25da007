//! Delivery of scaling orders to the platform: at most one call in flight for a service in a zone, the same again while
//! its outcome is unknown, and a newer decision in place of an older one. Free of I/O.

use std::collections::BTreeMap;

use orchidvalve_chain_replication::Milliseconds;

use crate::scaling_planner::ScalingOrder;

/// Pause before an order is sent again the first time, in milliseconds; it doubles with each time...
const FIRST_BACKOFF_MS: Milliseconds = 500;
/// ...up to this, in milliseconds.
const MAX_BACKOFF_MS: Milliseconds = 8_000;

/// How a scaling order ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ScalingOutcome {
    /// The platform has taken it.
    Accepted,
    /// The platform will never take it.
    Refused,
    /// No response, or none that says: it may have been taken.
    Unknown,
}

impl ScalingOutcome {
    /// What the status of the response says; `None` for no response. Too many calls (429) and errors of the platform may
    /// pass.
    pub fn of(status: Option<u16>) -> ScalingOutcome {
        match status {
            Some(200..=299) => ScalingOutcome::Accepted,
            Some(408 | 429) | None => ScalingOutcome::Unknown,
            Some(400..=499) => ScalingOutcome::Refused,
            Some(_) => ScalingOutcome::Unknown,
        }
    }
}

/// A service in a zone: its orders form one series.
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

/// The newest decision for a subject that the platform hasn't confirmed.
#[derive(Debug)]
struct OpenOrder {
    desired_count: u32,
    is_in_flight: bool,
    /// Not to be sent before.
    due_at: Milliseconds,
    /// Calls since the last change of the decision whose outcome is unknown.
    unknown_outcomes: u32,
}

/// All orders that the platform hasn't confirmed. Times are in milliseconds.
#[derive(Default, Debug)]
pub struct ScalingOrders {
    open: BTreeMap<ScalingSubject, OpenOrder>,
}

impl ScalingOrders {
    /// A decision: it replaces the earlier one for the same service and zone.
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

    /// Whether an order is to be sent now.
    pub fn has_due(&self, now: Milliseconds) -> bool {
        self.next_due().is_some_and(|at| at <= now)
    }

    /// The order that has been due for longest; it counts as in flight until [`ScalingOrders::answered`].
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

    /// A call has ended. Where a newer decision was made meanwhile, that one is due at once, whatever became of this one.
    pub fn answered(&mut self, order: &ScalingOrder, outcome: ScalingOutcome, now: Milliseconds) {
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

    /// When the next order is due, if any isn't in flight.
    pub fn next_due(&self) -> Option<Milliseconds> {
        self.open.values().filter(|open| !open.is_in_flight).map(|open| open.due_at).min()
    }

    /// Whether the platform hasn't confirmed an order for the service.
    pub fn has_open(&self, service: &str) -> bool {
        self.open.keys().any(|subject| subject.service == service)
    }

    /// Forgets all orders: another node acts in the role.
    pub fn clear(&mut self) {
        self.open.clear();
    }
}
