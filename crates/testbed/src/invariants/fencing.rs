//! The invariant ONE for orders to servers: one leader at a time, under increasing fencing tokens.

use std::collections::BTreeMap;

use super::context::CheckContext;
use super::lease_history::{Action, LeaseHistory};
use crate::observation::Observation;

/// Lease histories by the server that received the orders.
#[derive(Debug, Default)]
pub(super) struct FencingTokens {
    servers: BTreeMap<String, LeaseHistory>,
}

impl FencingTokens {
    pub fn observe(&mut self, context: &mut CheckContext, observation: &Observation) {
        let Observation::OrderReceived { server, leader, token } = observation else { return };
        if context.is_just_resumed(leader) {
            return;
        }
        let action = Action { leader, source: "", token: *token };
        self.servers.entry(server.clone()).or_default().check(context, server, action);
    }
}
