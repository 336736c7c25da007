//! Weight orders: which machine may give any, by the singleton roles of the process. The check is that no two machines do
//! within one lease.

use std::collections::BTreeMap;

use orchidvalve_consensus::View;
use orchidvalve_control_plane::singleton_roles::{SingletonRoleOptions, SingletonRoles};
use orchidvalve_protocol::identity::MemberId;

use super::cluster::Cluster;
use super::scenario::PlantedBug;

/// Nobody else may order for so long after an order.
const LEASE_MS: u64 = 3_000;

/// The singleton roles of one start of a process, as far as they tell who may order.
pub struct OrderRole {
    roles: SingletonRoles,
    /// The newest view's epoch and head.
    head: Option<(u64, MemberId)>,
}

impl OrderRole {
    fn new(lease_ms: u64) -> OrderRole {
        let options = SingletonRoleOptions {
            name: "control".to_owned(),
            platform: None,
            lease_ms,
            tolerance: 1,
            ..SingletonRoleOptions::default()
        };
        OrderRole { roles: SingletonRoles::new(options), head: None }
    }
}

/// When each machine gave orders last, and the highest term of any.
#[derive(Default, Debug)]
pub struct OrderHistory {
    last: BTreeMap<usize, u64>,
    highest_term: u64,
}

impl OrderHistory {
    /// A machine may give orders now.
    ///
    /// # Errors
    ///
    /// Another one did a moment ago, or under a higher term.
    fn note(&mut self, machine: usize, term: u64, now: u64) -> Result<(), String> {
        let other = self.last.iter().find(|(other, at)| **other != machine && now < **at + LEASE_MS);
        if let Some((other, at)) = other {
            let before = now - at;
            return Err(format!("machine {machine} gives orders {before} ms after machine {other} did"));
        }
        if term < self.highest_term {
            return Err(format!(
                "machine {machine} gives orders under term {term} after {}",
                self.highest_term
            ));
        }
        self.highest_term = term;
        self.last.insert(machine, now);
        Ok(())
    }
}

impl Cluster {
    pub fn new_order_role(&self) -> Option<OrderRole> {
        let lease_ms = if self.scenario.planted_bug == Some(PlantedBug::NoLease) { 0 } else { LEASE_MS };
        self.scenario.platform.then(|| OrderRole::new(lease_ms))
    }

    /// A machine has learned of a view, which may make it the one that orders.
    pub fn order_role_view_changed(&mut self, machine: usize, view: &View) {
        let now = self.now;
        let host = &mut self.machines[machine];
        let (me, head) = (host.member(), view.head());
        let (Some(role), Some(control_node)) = (&mut host.orders, &host.control_node) else { return };
        let same_head = match role.head {
            Some((epoch, former)) => Some(former) == head && epoch + 1 == view.epoch,
            None => view.epoch == 1 || control_node.leadership_epoch() == Some(view.epoch),
        };
        role.roles.view_changed(now, view.epoch, head == Some(me), same_head);
        role.head = head.map(|head| (view.epoch, head));
    }

    /// What the process does about orders after each input.
    pub fn give_orders(&mut self, machine: usize) {
        let now = self.now;
        let host = &mut self.machines[machine];
        let (Some(role), Some(control_node)) = (&host.orders, &mut host.control_node) else { return };
        let Some(term) = control_node.leadership_term() else { return };
        if !role.roles.may_act(now, control_node.quorum_confirmed_at()) {
            return;
        }
        control_node.persist_leadership();
        if let Some(outputs) = &mut self.outputs {
            outputs.add_order(now, machine, term);
        }
        if let Err(violation) = self.order_history.note(machine, term, now) {
            self.checker.fail(violation);
        }
    }
}
