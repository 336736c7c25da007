//! Usage: counts of gateways are passed on to the head, which decides the reports and sends them to the platform.

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_net::ConnectionId;
use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::messages::WindowUsage;

use super::Process;
use crate::peer_messages::PeerMessage;
use crate::singleton_roles::log_usage_decision;

impl Process {
    /// The window of usage that is running.
    fn current_window(&self) -> u64 {
        self.clock.wall_ms_at(self.now) / self.options.usage_window_ms.max(1)
    }

    /// A gateway has told its counts on its session.
    pub(super) fn usage_told(&mut self, connection: ConnectionId, windows: Vec<WindowUsage>) {
        if let Some(incarnation) = self.subscribers.incarnation(connection) {
            self.usage.add(incarnation, windows, self.current_window());
        }
    }

    /// Another control node has passed on the counts of a gateway.
    pub(super) fn usage_passed_on(&mut self, incarnation: u64, windows: Vec<WindowUsage>) {
        self.usage.add(incarnation, windows, self.current_window());
    }

    /// A link is new: what was sent on the one before may be lost.
    pub(super) fn usage_link_opened(&mut self, address: NodeAddress) {
        if self.head.is_some_and(|head| head.member.address == address) {
            self.usage.tell_all_again();
        }
    }

    /// Forgets the counts of decided windows, and tells the head what it may not know.
    pub(super) fn pass_on_usage(&mut self) {
        if let Some(next_window) = self.node.state().usage_reports().next_window() {
            self.usage.decided_before(next_window);
        }
        let Some(head) = self.head else { return };
        let untold = self.usage.take_untold();
        if head.member == self.me() {
            return;
        }
        for (incarnation, windows) in untold {
            let message = PeerMessage::Usage { incarnation, windows };
            self.links.send(&mut self.network, head.member.address, &message);
        }
    }

    /// As the head: decides the reports that are due, and sends the platform those that are committed.
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
