//! Tracks the attempts of a call (a client's request or a call about a batch job), to decide whether the call may be
//! attempted again and whether its client may be promised that it has not run.
//!
//! Both conclusions are types that only this module can construct. Starting an attempt requires an [`AttemptPermit`],
//! and a promise requires a [`NeverExecuted`]. A call that isn't idempotent therefore cannot be attempted again by
//! mistake, nor be promised not to run while an attempt is in flight or has ended with an unknown outcome.

use orchidvalve_http::ResponseHead;

use crate::response_class::is_rejection;
use crate::upstream::Failure;
pub use crate::upstream::Idempotency;

/// Evidence that one attempt did not execute and never will.
#[derive(Debug)]
pub struct NotExecuted(());

impl NotExecuted {
    /// Returns evidence if no connection could be established, as then nothing was sent. After any other failure the
    /// call may have run.
    pub fn from_failure(failure: Failure) -> Option<NotExecuted> {
        (failure == Failure::Connect).then_some(NotExecuted(()))
    }

    /// Returns evidence if the head of the response states that the server did not run the request. The rest of the
    /// response cannot revoke that statement.
    pub fn from_response(head: &ResponseHead) -> Option<NotExecuted> {
        is_rejection(head).then_some(NotExecuted(()))
    }

    /// A store node stated that it has not executed the call and never will.
    pub(crate) fn from_store() -> NotExecuted {
        NotExecuted(())
    }
}

/// Permission for one attempt of a call. It cannot be copied, and starting the attempt consumes it.
#[derive(PartialEq, Eq, Debug)]
pub struct AttemptPermit(Idempotency);

impl AttemptPermit {
    /// Whether the attempted call may run more than once.
    pub fn idempotency(&self) -> Idempotency {
        self.0
    }
}

/// Evidence that a call has not run and never will: no attempt has executed, and none is in flight.
#[derive(Debug)]
pub struct NeverExecuted(());

/// Tracks the attempts of one call.
#[derive(Debug)]
pub struct AttemptTracker {
    idempotency: Idempotency,
    /// The number of attempts that have not ended.
    in_flight: u32,
    /// Whether an attempt has ended without evidence that it did not execute.
    may_have_executed: bool,
}

impl AttemptTracker {
    /// Creates the tracker of a call without attempts.
    pub fn new(idempotency: Idempotency) -> AttemptTracker {
        AttemptTracker { idempotency, in_flight: 0, may_have_executed: false }
    }

    /// Begins another attempt. Returns `None` if the call isn't idempotent and may have run.
    pub fn begin(&mut self) -> Option<AttemptPermit> {
        let allowed = self.is_idempotent() || self.never_executed().is_some();
        allowed.then(|| {
            self.in_flight += 1;
            AttemptPermit(self.idempotency)
        })
    }

    /// Records that an attempt has ended; `proof` is evidence that it did not execute.
    pub fn end(&mut self, proof: Option<NotExecuted>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.may_have_executed |= proof.is_none();
    }

    /// Whether the call may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.idempotency == Idempotency::Idempotent
    }

    /// Returns evidence that the call has not run and never will, or `None` if it may have run or may still run.
    pub fn never_executed(&self) -> Option<NeverExecuted> {
        (self.in_flight == 0 && !self.may_have_executed).then_some(NeverExecuted(()))
    }
}
