//! Usage: counts requests by window and reports the counts to the control node.

use orchidvalve_protocol::messages::{SessionMessage, WindowUsage};

use super::Gateway;

impl Gateway {
    /// Counts the requests that have started at servers.
    pub(super) fn count_usage(&mut self) {
        for started in self.requests.take_started() {
            self.usage.record(&started.tenant, self.clock.wall_ms_at(started.at));
        }
    }

    /// Reports the counts that have changed to the control node, or all counts in a new session.
    pub(super) fn report_usage(&mut self) {
        let Some(session) = self.feed.session_number() else { return };
        let windows = self.usage.take_due(self.now, session);
        self.send_usage(windows);
    }

    /// Reports all unreported counts to the control node, as this process is about to exit.
    pub(super) fn report_all_usage(&mut self) {
        self.count_usage();
        let Some(session) = self.feed.session_number() else { return };
        let windows = self.usage.take_unreported(session);
        self.send_usage(windows);
    }

    fn send_usage(&mut self, windows: Option<Vec<WindowUsage>>) {
        if let Some(windows) = windows {
            self.feed.send(&mut self.network, &SessionMessage::ReportUsage { windows });
        }
    }

    /// Drops the counts of windows whose usage reports are decided.
    pub(super) fn forget_decided_usage(&mut self) {
        if let Some(next_window) = self.feed.replica().state().usage_reports().next_window() {
            self.usage.forget_before(next_window);
        }
    }
}
