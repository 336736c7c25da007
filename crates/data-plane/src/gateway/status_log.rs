//! Log lines about the active configuration, the session, and local error responses. None of them contains a key.

use orchidvalve_configuration::RouteTable;

use super::Gateway;

/// The minimum duration of a gap without a session that is logged, in milliseconds.
const LOGGED_GAP_MS: u64 = 500;

impl Gateway {
    /// Logs that a configuration has become active. Pending requests were routed by an older one.
    pub(super) fn log_configuration(&self, routes: &RouteTable) {
        let (version, at) = (routes.version(), self.clock.wall_ms_at(self.now));
        let (change, pending) = (self.feed.replica().sequence(), self.requests.pending());
        let (tenants, keys) =
            routes.tenants().map_or((0, 0), |table| (table.tenants().len(), table.key_count()));
        log::info!(
            "door: configuration {version} became active at {at} ms, with change {change}: {tenants} tenants, \
             {keys} keys; {pending} requests pending"
        );
    }

    /// Logs the error responses of this gateway at intervals, together with the age of its information.
    pub(super) fn log_local_responses(&mut self) {
        let Some(counts) = self.local_responses.take_due(self.now) else { return };
        let version = self.routes.as_ref().map_or(0, |routes| routes.version());
        match self.feed.last_received_at() {
            Some(received_at) => {
                let age = self.now.saturating_sub(received_at);
                log::info!(
                    "door: local responses {counts}; configuration {version}, \
                     last message from a control node {age} ms ago"
                );
            }
            None => log::info!("door: local responses {counts}; configuration {version}, no session"),
        }
    }

    /// Logs the end of a gap without a session, in which no updates were received.
    pub(super) fn log_session_gap(&self, lost_since: u64) {
        let gap = self.now.saturating_sub(lost_since);
        if gap >= LOGGED_GAP_MS {
            log::info!("door: no session with a control node for {gap} ms");
        }
    }
}
