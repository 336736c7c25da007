//! Until when a response earns its full value, and until when it earns anything.

use super::Aggregator;
use super::latency::scaled;
use crate::interface::Nanos;
use crate::state::Query;

/// Ticks reserved before the client's deadline.
const MARGIN_TICKS: Nanos = 3;

impl Aggregator {
    /// Time reserved before the client's deadline, for the way of the response to the client.
    pub(super) fn margin(&self) -> Nanos {
        MARGIN_TICKS * self.settings.tick
    }

    /// Returns the end of the query's latency target.
    pub(super) fn latency_target_end(&self, query: &Query) -> Nanos {
        let class = &self.settings.classes[query.class];
        let target = class.latency_target + scaled(query.expected_work, class.latency_target_stretch);
        query.received_at + target.min(class.deadline)
    }

    /// Returns when a response stops earning anything: at the client's deadline, or at the latency target if late
    /// responses of this class earn nothing.
    pub(super) fn useful_until(&self, query: &Query) -> Nanos {
        let earns_late = self.settings.classes[query.class].late_value > 0.0;
        let end = if earns_late {
            query.client_deadline
        } else {
            self.latency_target_end(query).min(query.client_deadline)
        };
        end - self.margin()
    }
}
