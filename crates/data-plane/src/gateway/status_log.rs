//! Log lines that say by which configuration a gateway goes, since when, and how it answers. None of them holds a key.

use orchidvalve_configuration::RouteTable;

use super::Gateway;

/// A gap without a session is logged from this length on, in milliseconds.
const LOGGED_GAP_MS: u64 = 500;

impl Gateway {
    /// A configuration is in force from now on. Requests that are pending were routed by an older one.
    pub(super) fn log_configuration(&self, routes: &RouteTable) {
        let (version, at) = (routes.version(), self.clock.wall_ms_at(self.now));
        let (change, pending) = (self.feed.replica().sequence(), self.requests.pending());
        let (tenants, keys) =
            routes.tenants().map_or((0, 0), |table| (table.tenants().len(), table.key_count()));
        log::info!(
            "door: configuration {version} is in force at {at} ms, with change {change}: {tenants} tenants, \
             {keys} keys; {pending} requests are pending"
        );
    }

    /// Failures that this gateway answered, now and then, with the age of what it knows.
    pub(super) fn log_own_answers(&mut self) {
        let Some(counts) = self.own_answers.take_due(self.now) else { return };
        let version = self.routes.as_ref().map_or(0, |routes| routes.version());
        match self.feed.last_received_at() {
            Some(heard) => {
                let age = self.now.saturating_sub(heard);
                log::info!("door: own answers {counts}; configuration {version}, control heard {age} ms ago");
            }
            None => log::info!("door: own answers {counts}; configuration {version}, no session"),
        }
    }

    /// A session stands again after a gap, in which changes couldn't arrive.
    pub(super) fn log_session_gap(&self, lost_since: u64) {
        let gap = self.now.saturating_sub(lost_since);
        if gap >= LOGGED_GAP_MS {
            log::info!("door: no session with a control node for {gap} ms");
        }
    }
}
