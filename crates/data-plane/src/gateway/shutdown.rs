//! Graceful shutdown: after SIGTERM a gateway is assigned no new groups, and responds to all requests that it has
//! accepted.

use orchidvalve_protocol::messages::StoreHealth;

use super::Gateway;
use crate::batch_calls::CallResponse;

/// How long after SIGTERM the platform may still send new connections, in milliseconds.
const LINGER_MS: u64 = 2_600;
/// The maximum time before SIGKILL at which a process that shuts down ends everything pending, in milliseconds.
const MAX_STOP_MARGIN_MS: u64 = 700;
/// The same margin as a fraction of the time from SIGTERM to SIGKILL: requests that servers are still running may be
/// ended only in the last sixth of that time.
const STOP_MARGIN_DIVISOR: u64 = 8;

/// Points in time of a shutdown, in milliseconds of the steady clock.
#[derive(Clone, Copy)]
struct ShutdownTimes {
    /// When the process sends its last responses.
    last_response_at: u64,
    /// When the platform has certainly noticed that the process isn't ready.
    linger_until: u64,
}

/// Returns how long after SIGTERM a process sends its last responses, if SIGKILL follows SIGTERM after `grace_ms`.
pub fn last_response_after_ms(grace_ms: u64) -> u64 {
    grace_ms - MAX_STOP_MARGIN_MS.min(grace_ms / STOP_MARGIN_DIVISOR)
}

impl Gateway {
    /// Handles SIGTERM: store nodes assign no more groups to this gateway, and the platform soon stops sending new
    /// connections.
    pub(super) fn begin_shutdown(&mut self) {
        if self.shutdown_since.is_some() {
            return;
        }
        log::info!("door: stopping; {} requests pending", self.requests.pending());
        self.shutdown_since = Some(self.now);
        self.stores.links.set_generation_capacity(&mut self.network, 0);
        self.feed.set_health(StoreHealth { draining: true, ..StoreHealth::default() });
        let queued = self.startup_queue.drain();
        self.reject_queued(queued);
        self.frontend.clients.begin_draining(&mut self.network, self.now);
    }

    /// Returns the points in time of the shutdown, if it has begun.
    fn shutdown_times(&self) -> Option<ShutdownTimes> {
        self.shutdown_since.map(|since| ShutdownTimes {
            last_response_at: since + last_response_after_ms(self.options.grace_ms),
            linger_until: since + LINGER_MS,
        })
    }

    /// Rejects new requests that may not get a response in time. Needed if the platform keeps sending clients to a
    /// process that shuts down because too few others are ready.
    pub(super) fn reject_late_requests(&mut self) {
        if let Some(times) = self.shutdown_times().filter(|times| self.now >= times.linger_until) {
            self.requests.reject_beyond(times.last_response_at);
        }
    }

    /// Whether a process that shuts down has responded to everything or has run out of time. Ends what is still
    /// pending in that case.
    pub(super) fn is_finished(&mut self) -> bool {
        let Some(times) = self.shutdown_times() else { return false };
        let time_is_up = self.now >= times.last_response_at;
        if !(time_is_up || (self.now >= times.linger_until && self.is_idle())) {
            return false;
        }
        self.end_pending();
        self.report_all_usage();
        self.feed.say_goodbye(&mut self.network);
        true
    }

    /// Whether nothing is pending or being received, and every response has been handed to the operating system.
    fn is_idle(&mut self) -> bool {
        self.requests.pending() == 0
            && !self.frontend.clients.is_receiving()
            && self.calls.pending() == 0
            && self.runner.open_groups() == 0
            && self.work.unacknowledged() == 0
            && self.usage.is_all_reported(self.feed.session_number())
            && self.frontend.clients.is_flushed(&self.network)
    }

    /// Sends every pending request and call its final response.
    fn end_pending(&mut self) {
        let mut commands = Vec::new();
        self.requests.end_all(&mut commands);
        self.run_request_commands(commands);
        for CallResponse { call, response } in self.calls.end_all() {
            self.respond_to_call(call, &response);
        }
    }
}
