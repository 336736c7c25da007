//! When a client's request has begun to run, for the reports of usage.
//!
//! A stream begins with its first event. Any other request begins when it reaches a server, which is about when it was
//! sent: it counts once the head of a response shows that it ran, at the time at which that attempt was sent. Where no
//! attempt got a head and one may have run, the request counts when it ends, at the time of the earliest of them.

use compact_str::CompactString;
use orchidvalve_configuration::RouteType;

use super::messages::RequestAttemptId;
use super::pending::PendingRequest;

/// Whether every attempt that began at a server counts. Otherwise a request counts once, however often it is attempted.
const COUNTS_EACH_ATTEMPT: bool = false;

/// A request of a tenant that began to run at a server.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct BegunRequest {
    /// Name of the tenant.
    pub tenant: CompactString,
    /// When it began, in milliseconds of the steady clock.
    pub at: u64,
}

impl PendingRequest {
    fn tenant_name(&self) -> Option<CompactString> {
        self.caller.tenant().map(CompactString::from)
    }

    /// Whether its responses are series of events, of which the first shows that it has begun.
    pub fn begins_with_event(&self) -> bool {
        self.route().route_type == RouteType::Streaming
    }

    /// An attempt has surely begun at its server: at `at`, or when it was sent. Returns what counts by that.
    pub fn attempt_began(&mut self, attempt: RequestAttemptId, at: Option<u64>) -> Option<BegunRequest> {
        let begun = self.attempt_mut(attempt)?;
        let at = at.unwrap_or(begun.started_at);
        let is_first_of_attempt = !std::mem::replace(&mut begun.has_begun, true);
        let is_first_of_request = !std::mem::replace(&mut self.has_begun, true);
        let counts = is_first_of_request || COUNTS_EACH_ATTEMPT && is_first_of_attempt;
        self.tenant_name().filter(|_| counts).map(|tenant| BegunRequest { tenant, at })
    }

    /// An attempt that was sent at `sent_at` has ended without showing whether it ran.
    pub fn may_have_begun(&mut self, sent_at: u64) {
        if !self.begins_with_event() {
            self.may_have_begun_at = Some(self.may_have_begun_at.map_or(sent_at, |at| at.min(sent_at)));
        }
    }

    /// The request ends: what counts now, although no attempt has surely begun.
    pub fn begun_at_last(&self) -> Option<BegunRequest> {
        if self.has_begun || self.begins_with_event() {
            return None;
        }
        let at = self.earliest_sent_at().into_iter().chain(self.may_have_begun_at).min()?;
        self.tenant_name().map(|tenant| BegunRequest { tenant, at })
    }
}
