//! Graceful shutdown: the process runs until the other nodes no longer depend on it, or its grace period is over.

use orchidvalve_chain_replication::Milliseconds;

use super::Process;

/// The process exits this long before it would be killed, in milliseconds.
const SHUTDOWN_MARGIN_MS: Milliseconds = 1_500;

impl Process {
    /// Starts a graceful shutdown that was requested at `requested_at`. The process stays a member until its role in the
    /// chain and among the voters is handed over.
    pub(super) fn begin_shutdown(&mut self, requested_at: Milliseconds) {
        if self.shutdown_deadline.is_some() {
            return;
        }
        log::info!("control: termination requested: handing over");
        let grace_ms = self.options.machine.grace_ms.saturating_sub(SHUTDOWN_MARGIN_MS);
        self.shutdown_deadline = Some(requested_at + grace_ms);
        self.node.set_leaving();
    }

    /// Returns whether the process may exit now: nothing depends on it and no request is open, or its grace period is over.
    pub(super) fn may_exit(&self) -> bool {
        let Some(deadline) = self.shutdown_deadline else { return false };
        let handed_over = self.node.may_leave() && !self.operators.has_open_requests(&self.network);
        if handed_over || self.now >= deadline {
            log::info!("control: stopping, {}", if handed_over { "handed over" } else { "out of time" });
            return true;
        }
        false
    }
}
