//! Determines when a client's request started to run at a server, for the usage reports.
//!
//! A stream starts with its first event. Any other request starts when it reaches a server, which is approximately when
//! the attempt was sent: the request counts once the head of a response shows that it ran, with the send time of that
//! attempt. If no attempt received a head and one of them may have run, the request counts when it ends, with the send
//! time of the earliest such attempt.

use compact_str::CompactString;
use orchidvalve_configuration::RouteType;

use super::messages::RequestAttemptId;
use super::pending::PendingRequest;

/// Whether every attempt that started at a server counts. Otherwise a request counts once, whatever its number of
/// attempts.
const COUNTS_EACH_ATTEMPT: bool = false;

/// A tenant's request that started to run at a server.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct StartedRequest {
    /// The name of the tenant.
    pub tenant: CompactString,
    /// When the request started, in milliseconds of the steady clock.
    pub at: u64,
}

impl PendingRequest {
    fn tenant_name(&self) -> Option<CompactString> {
        self.caller.tenant().map(CompactString::from)
    }

    /// Whether the request has started only once the first event of a response arrives.
    pub fn starts_with_event(&self) -> bool {
        self.route().route_type == RouteType::Streaming
    }

    /// Records that an attempt has certainly started at its server, at `at` or, if that is `None`, when it was sent.
    /// Returns the request if it counts now.
    pub fn record_start(&mut self, attempt: RequestAttemptId, at: Option<u64>) -> Option<StartedRequest> {
        let state = self.attempt_mut(attempt)?;
        let at = at.unwrap_or(state.started_at);
        let is_first_of_attempt = !std::mem::replace(&mut state.execution_started, true);
        let is_first_of_request = !std::mem::replace(&mut self.execution_started, true);
        let counts = is_first_of_request || COUNTS_EACH_ATTEMPT && is_first_of_attempt;
        self.tenant_name().filter(|_| counts).map(|tenant| StartedRequest { tenant, at })
    }

    /// Records that an attempt, sent at `sent_at`, has ended without showing whether it ran.
    pub fn record_possible_start(&mut self, sent_at: u64) {
        if !self.starts_with_event() {
            self.may_have_started_at = Some(self.may_have_started_at.map_or(sent_at, |at| at.min(sent_at)));
        }
    }

    /// Called when the request ends. Returns the request if it has not counted yet and an attempt may have run.
    pub fn unconfirmed_start(&self) -> Option<StartedRequest> {
        if self.execution_started || self.starts_with_event() {
            return None;
        }
        let at = self.earliest_sent_at().into_iter().chain(self.may_have_started_at).min()?;
        self.tenant_name().map(|tenant| StartedRequest { tenant, at })
    }
}
