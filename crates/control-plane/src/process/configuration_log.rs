//! A log line for each configuration that is committed, with the time: gateways log when it's in force there.

use super::Process;

impl Process {
    /// Changes were committed: logs the configuration if it's another one now.
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
