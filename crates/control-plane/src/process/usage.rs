//! Usage: control nodes forward the counts of gateways to the head, which decides the reports and sends them to the platform.

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_net::ConnectionId;
use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::messages::WindowUsage;

use super::Process;
use crate::peer_messages::PeerMessage;
use crate::singleton_roles::log_usage_decision;

impl Process {
    /// Returns the number of the usage window in progress.
    fn current_window(&self) -> u64 {
        self.clock.wall_ms_at(self.now) / self.options.usage_window_ms.max(1)
    }

    /// Processes the counts that a gateway has reported on its session.
    pub(super) fn usage_reported(&mut self, connection: ConnectionId, windows: Vec<WindowUsage>) {
        if let Some(incarnation) = self.subscribers.incarnation(connection) {
            self.usage.add(incarnation, windows, self.current_window());
        }
    }

    /// Processes the counts of a gateway that another control node has forwarded.
    pub(super) fn usage_forwarded(&mut self, incarnation: u64, windows: Vec<WindowUsage>) {
        self.usage.add(incarnation, windows, self.current_window());
    }

    /// Notes that a link was opened: messages sent on the former link to the head may be lost.
    pub(super) fn usage_link_opened(&mut self, address: NodeAddress) {
        if self.head.is_some_and(|head| head.member.address == address) {
            self.usage.mark_all_unsent();
        }
    }

    /// Drops the counts of decided windows, and sends the head the counts that it may not have.
    pub(super) fn forward_usage(&mut self) {
        if let Some(next_window) = self.node.state().usage_reports().next_window() {
            self.usage.set_decided_before(next_window);
        }
        let Some(head) = self.head else { return };
        let unsent = self.usage.take_unsent();
        if head.member == self.me() {
            return;
        }
        for (incarnation, windows) in unsent {
            let message = PeerMessage::Usage { incarnation, windows };
            self.links.send(&mut self.network, head.member.address, &message);
        }
    }

    /// As the head, decides the reports that are due, and sends the committed ones to the platform.
    pub(super) fn report_usage(&mut self, confirmed_at: Option<Milliseconds>) {
        let wall_ms = self.clock.wall_ms_at(self.now);
        let tentative = self.node.tentative_state();
        for change in self.roles.decide_usage(self.now, wall_ms, tentative, &self.usage) {
            if self.node.propose(change.clone()) {
                log_usage_decision(&change);
            }
        }
        let state = self.node.state();
        self.roles.report_usage(&mut self.network, state, confirmed_at, self.now, wall_ms);
    }
}
