//! Logs each committed configuration with the time of day. Gateways log when they have applied it.

use super::Process;

impl Process {
    /// Logs the configuration if committed changes have replaced it.
    pub(super) fn log_configuration(&mut self) {
        let version = self.node.state().configuration_version();
        if version != self.logged_configuration {
            self.logged_configuration = version;
            let (change, at) = (self.node.applied(), self.clock.wall_ms_at(self.now));
            log::info!(
                "control: configuration {version} is committed at {at} ms, by change {change} at most"
            );
        }
    }
}
