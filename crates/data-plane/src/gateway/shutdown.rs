//! Graceful shutdown: a gateway process that was told to stop takes nothing new, and answers all that it took.

use orchidvalve_protocol::messages::StoreHealth;

use super::Gateway;
use crate::batch_calls::CallResponse;

/// Time after SIGTERM in which the platform still sends new connections, in milliseconds.
const LINGER_MS: u64 = 2_600;
/// Time before SIGKILL at which a process that shuts down ends whatever is left, at most, in milliseconds...
const MAX_STOP_MARGIN_MS: u64 = 700;
/// ...and as a part of the time from SIGTERM to SIGKILL: what a server still works on may be ended in the last sixth of
/// that time only.
const STOP_MARGIN_DIVISOR: u64 = 8;

/// Times of a process that shuts down, in milliseconds of its clock.
#[derive(Clone, Copy)]
struct ShutdownTimes {
    /// When it gives its last responses.
    last_response_at: u64,
    /// When the platform has surely heard that it isn't ready.
    linger_until: u64,
}

/// How long after SIGTERM a process gives its last responses, where SIGKILL follows after `grace_ms`.
pub fn last_response_after_ms(grace_ms: u64) -> u64 {
    grace_ms - MAX_STOP_MARGIN_MS.min(grace_ms / STOP_MARGIN_DIVISOR)
}

impl Gateway {
    /// SIGTERM: nothing new is assigned to this gateway, and the platform sends no new connections soon.
    pub(super) fn begin_shutdown(&mut self) {
        if self.shutdown_since.is_some() {
            return;
        }
        log::info!("door: stopping; {} requests are pending", self.requests.pending());
        self.shutdown_since = Some(self.now);
        self.stores.links.set_work_limit(&mut self.network, 0);
        self.feed.set_health(StoreHealth { draining: true, ..StoreHealth::default() });
        let queued = self.startup_queue.drain();
        self.reject_queued(queued);
        self.frontend.clients.begin_draining(&mut self.network, self.now);
    }

    /// The times of a process that was told to stop.
    fn shutdown_times(&self) -> Option<ShutdownTimes> {
        self.shutdown_since.map(|since| ShutdownTimes {
            last_response_at: since + last_response_after_ms(self.options.grace_ms),
            linger_until: since + LINGER_MS,
        })
    }

    /// Where the platform goes on sending clients to a process that shuts down, since too few others are ready,
    /// requests are rejected that it may not be able to answer in time.
    pub(super) fn reject_late_requests(&mut self) {
        if let Some(times) = self.shutdown_times().filter(|times| self.now >= times.linger_until) {
            self.requests.reject_beyond(times.last_response_at);
        }
    }

    /// Whether a process that shuts down has answered everything, or has no time left; what is pending then is
    /// answered.
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

    /// Whether nothing is pending or being received, and every response is on its way.
    fn is_idle(&mut self) -> bool {
        self.requests.pending() == 0
            && !self.frontend.clients.is_receiving()
            && self.calls.pending() == 0
            && self.runner.open_groups() == 0
            && self.work.unacknowledged() == 0
            && self.usage.is_told(self.feed.session_number())
            && self.frontend.clients.is_flushed(&self.network)
    }

    /// Gives every pending request and call its final response.
    fn end_pending(&mut self) {
        let mut commands = Vec::new();
        self.requests.end_all(&mut commands);
        self.run_request_commands(commands);
        for CallResponse { call, response } in self.calls.end_all() {
            self.respond_to_call(call, &response);
        }
    }
}
