//! A caller that makes a single call over sockets.
#![allow(dead_code, reason = "each test file uses a part")]

use std::cell::RefCell;
use std::rc::Rc;

use orchidvalve_testbed::directory::Directory;
use orchidvalve_testbed::effects::{Call, CallTag, Caller, Effects, Outcome};
use orchidvalve_testbed::host::Host;

/// The outcome of a call; `None` until it has ended.
pub type Ended = Rc<RefCell<Option<Outcome>>>;

/// Makes one call and keeps its outcome.
struct OneCall {
    call: Option<Call>,
    ended: Ended,
}

impl Caller for OneCall {
    fn wake(&mut self, _now: u64, _directory: &mut Directory, out: &mut Effects) {
        out.calls.extend(self.call.take());
    }

    fn call_ended(&mut self, _: u64, _: CallTag, outcome: Outcome, _: &mut Directory, _: &mut Effects) {
        *self.ended.borrow_mut() = Some(outcome);
    }

    fn next_wake(&self) -> Option<u64> {
        self.call.as_ref().map(|_| 0)
    }
}

/// Starts a call.
pub fn begin(host: &mut Host, call: Call) -> Ended {
    let ended = Ended::default();
    host.add_caller(Box::new(OneCall { call: Some(call), ended: ended.clone() }));
    ended
}

/// Runs the host until a call has ended, for at most `limit_ms` milliseconds.
pub fn wait(host: &mut Host, ended: &Ended, limit_ms: u64) -> Outcome {
    let limit = host.now() + limit_ms;
    loop {
        if let Some(outcome) = ended.borrow_mut().take() {
            return outcome;
        }
        assert!(host.now() < limit, "the call ends in time");
        host.turn(limit).unwrap();
    }
}
