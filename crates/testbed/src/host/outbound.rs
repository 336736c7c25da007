//! Calls of emulators to the system: opens or reuses connections, reads responses, and expires calls.

use std::time::Duration;

use orchidvalve_net::ConnectionId;

use super::{CallerIndex, ConnectionRole, Host};
use crate::effects::{Call, CallTag, Effects, Outcome};
use crate::http;

/// Maximum time for which sent data may stay unacknowledged by the peer (TCP_USER_TIMEOUT, RFC 5482).
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Whether the connection of a response can be reused for another request.
fn is_reusable(outcome: &Outcome) -> bool {
    let Outcome::Response(response) = outcome else { return false };
    !response.headers.get("Connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
}

/// Returns the outcome of a pipelined call whose connection ended with the previous call.
fn following_outcome(outcome: &Outcome) -> Outcome {
    match outcome {
        Outcome::Refused | Outcome::Response(_) => Outcome::Refused,
        Outcome::TimedOut => Outcome::TimedOut,
        Outcome::Disconnected { .. } | Outcome::Malformed | Outcome::TrailingBytes(_) => {
            Outcome::Disconnected { partial: false }
        }
    }
}

impl Host {
    pub(super) fn begin_call(&mut self, now: u64, caller: CallerIndex, call: Call) {
        let deadline = now + call.timeout_ms;
        let idle = self.idle.get_mut(&call.address).filter(|_| call.keep_alive).and_then(Vec::pop);
        if let Some(id) = idle {
            self.roles.insert(id, ConnectionRole::Outbound { caller, call, deadline, connected: true });
            return self.send_call(id);
        }
        match self.network.connect(call.address, USER_TIMEOUT) {
            Ok(id) => {
                self.roles.insert(id, ConnectionRole::Outbound { caller, call, deadline, connected: false });
            }
            Err(_) => self.call_ended(now, caller, call.tag, Outcome::Refused),
        }
    }

    /// Sends the request of a call whose connection is open.
    pub(super) fn send_call(&mut self, id: ConnectionId) {
        if let Some(ConnectionRole::Outbound { call, connected, .. }) = self.roles.get_mut(&id) {
            *connected = true;
            self.network.send(id, &std::mem::take(&mut call.bytes));
            for behind in &mut call.following {
                self.network.send(id, &std::mem::take(&mut behind.bytes));
            }
        }
    }

    pub(super) fn read_response(&mut self, now: u64, id: ConnectionId, ended: bool) {
        while self.read_pipelined_response(now, id) {}
        let bytes = self.network.inbox(id);
        let outcome = match http::parse_response(bytes, ended) {
            Ok(Some((response, length))) if length < bytes.len() => Outcome::TrailingBytes(response),
            Ok(Some((response, _))) => Outcome::Response(response),
            Ok(None) if ended => Outcome::Disconnected { partial: !bytes.is_empty() },
            Ok(None) => return,
            Err(_) => Outcome::Malformed,
        };
        self.end_call(now, id, outcome, ended);
    }

    /// Reads the response to a call that is followed by pipelined calls. Returns `false` if the response is
    /// incomplete or invalid, or is the last one on its connection.
    fn read_pipelined_response(&mut self, now: u64, id: ConnectionId) -> bool {
        let Some(ConnectionRole::Outbound { caller, call, .. }) = self.roles.get_mut(&id) else {
            return false;
        };
        if call.following.is_empty() {
            return false;
        }
        let Ok(Some((response, length))) = http::parse_response(self.network.inbox(id), false) else {
            return false;
        };
        let outcome = Outcome::Response(response);
        if !is_reusable(&outcome) {
            return false;
        }
        let Some(next) = call.following.pop_front() else { return false };
        let following = std::mem::take(&mut call.following);
        let (caller, tag) = (*caller, call.tag);
        *call = Call { following, ..next };
        self.network.consume(id, length);
        self.call_ended(now, caller, tag, outcome);
        true
    }

    pub(super) fn end_call(&mut self, now: u64, id: ConnectionId, outcome: Outcome, ended: bool) {
        let Some(ConnectionRole::Outbound { caller, call, .. }) = self.roles.remove(&id) else { return };
        if call.keep_alive && !ended && is_reusable(&outcome) {
            let received = self.network.inbox(id).len();
            self.network.consume(id, received);
            self.roles.insert(id, ConnectionRole::Idle { address: call.address });
            self.idle.entry(call.address).or_default().push(id);
        } else {
            self.network.abort(id);
        }
        let following_outcome = following_outcome(&outcome);
        self.call_ended(now, caller, call.tag, outcome);
        for behind in call.following {
            self.call_ended(now, caller, behind.tag, following_outcome.clone());
        }
    }

    pub(super) fn drop_idle(&mut self, id: ConnectionId) {
        self.network.abort(id);
        if let Some(ConnectionRole::Idle { address }) = self.roles.remove(&id)
            && let Some(idle) = self.idle.get_mut(&address)
        {
            idle.retain(|kept| *kept != id);
        }
    }

    fn call_ended(&mut self, now: u64, caller: CallerIndex, tag: CallTag, outcome: Outcome) {
        let mut out = Effects::default();
        self.callers[caller].call_ended(now, tag, outcome, &mut self.directory, &mut out);
        self.apply(now, Some(caller), out);
    }

    /// Ends the calls whose deadline has passed.
    pub(super) fn expire_calls(&mut self) {
        let now = self.now();
        let overdue = |(id, role): (&ConnectionId, &ConnectionRole)| match role {
            ConnectionRole::Outbound { deadline, .. } if *deadline <= now => Some(*id),
            _ => None,
        };
        let expired: Vec<ConnectionId> = self.roles.iter().filter_map(overdue).collect();
        for id in expired {
            self.end_call(now, id, Outcome::TimedOut, true);
        }
    }
}
