//! Usage: what the requests say of it is counted by windows, and the control node is told.

use orchidvalve_protocol::messages::{SessionMessage, WindowUsage};

use super::Gateway;

impl Gateway {
    /// Counts the requests that have begun at servers.
    pub(super) fn count_usage(&mut self) {
        for begun in self.requests.take_begun() {
            self.usage.record(&begun.tenant, self.clock.wall_ms_at(begun.at));
        }
    }

    /// Tells the control node the counts that have changed, or all of them in a new session.
    pub(super) fn report_usage(&mut self) {
        let Some(session) = self.feed.session_number() else { return };
        let windows = self.usage.take_due(self.now, session);
        self.send_usage(windows);
    }

    /// Tells the control node all that it wasn't told, as this process stops.
    pub(super) fn report_all_usage(&mut self) {
        self.count_usage();
        let Some(session) = self.feed.session_number() else { return };
        let windows = self.usage.take_untold(session);
        self.send_usage(windows);
    }

    fn send_usage(&mut self, windows: Option<Vec<WindowUsage>>) {
        if let Some(windows) = windows {
            self.feed.send(&mut self.network, &SessionMessage::ReportUsage { windows });
        }
    }

    /// Windows whose reports are decided need no counts any more.
    pub(super) fn forget_decided_usage(&mut self) {
        if let Some(next_window) = self.feed.replica().state().usage_reports().next_window() {
            self.usage.forget_before(next_window);
        }
    }
}
