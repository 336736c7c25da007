//! The state of one server as seen by this gateway.

use std::net::SocketAddrV4;

use orchidvalve_protocol::messages::ServerEntry;

use super::failure_accrual::FailureAccrual;

/// Identifies one incarnation of a server within this gateway; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerKey(pub u32);

/// A response that counts as a success of its server.
#[derive(Clone, Copy, Debug)]
pub struct Success {
    /// When the response was complete, in milliseconds of the steady clock.
    pub at: u64,
    /// The time from the start of the attempt to the complete response, in milliseconds.
    pub latency_ms: u64,
    /// How long the connection is kept alive after the response, in milliseconds.
    pub keep_alive_ms: u64,
}

/// One incarnation of a server.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Identifies the incarnation.
    pub key: ServerKey,
    /// The server's entry in the server table.
    pub entry: ServerEntry,
    /// The address on which the server listens.
    pub address: SocketAddrV4,
    /// The number of exchanges that this gateway has in flight with the server.
    pub in_flight: u32,
    /// The number of requests queued at the server, according to its latest response.
    pub queued: u32,
    accrual: FailureAccrual,
    /// The time until which an idle connection to the server is expected to be kept; 0 if its last response was slow
    /// or the server failed.
    warm_until: u64,
}

impl Upstream {
    pub(super) fn new(key: ServerKey, entry: ServerEntry) -> Upstream {
        Upstream {
            key,
            address: entry.address.socket(),
            entry,
            in_flight: 0,
            queued: 0,
            accrual: FailureAccrual::default(),
            warm_until: 0,
        }
    }

    pub(super) fn set_entry(&mut self, entry: ServerEntry) {
        self.address = entry.address.socket();
        self.entry = entry;
    }

    pub(super) fn is_ejected(&self, now: u64) -> bool {
        self.accrual.is_ejected(now)
    }

    pub(super) fn is_warm(&self, now: u64) -> bool {
        now < self.warm_until
    }

    pub(super) fn succeeded(&mut self, success: Success, is_slow: bool) {
        self.accrual.succeeded();
        self.warm_until = if is_slow { 0 } else { success.at + success.keep_alive_ms };
    }

    pub(super) fn returned_error(&mut self, now: u64) {
        if self.accrual.returned_error() {
            self.failed(now);
        }
    }

    pub(super) fn failed(&mut self, now: u64) {
        if self.accrual.eject(now) {
            self.warm_until = 0;
        }
    }
}
