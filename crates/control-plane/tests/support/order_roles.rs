//! Weight orders: which machine may give them, decided by the singleton roles of its process. The check is that no two
//! machines give orders within one lease.

use std::collections::BTreeMap;

use orchidvalve_consensus::View;
use orchidvalve_control_plane::singleton_roles::{SingletonRoleOptions, SingletonRoles};
use orchidvalve_protocol::identity::MemberId;

use super::cluster::Cluster;
use super::scenario::PlantedBug;

/// Length of the lease in ms: no other machine may give orders within this time after an order.
const LEASE_MS: u64 = 3_000;

/// The singleton roles of one start of a process, as far as they decide whether it may give orders.
pub struct OrderRole {
    roles: SingletonRoles,
    /// Epoch and head of the latest view.
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

/// The time in ms of each machine's last order, and the highest term of any order.
#[derive(Default, Debug)]
pub struct OrderHistory {
    last: BTreeMap<usize, u64>,
    highest_term: u64,
}

impl OrderHistory {
    /// Records that a machine may give orders now.
    ///
    /// # Errors
    ///
    /// Returns a violation if another machine gave orders within the lease, or an order had a higher term.
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

    /// Applies a view that a machine learned of, which may make it the machine that gives orders.
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

    /// Records an order if the machine may give one, as the process does after each input.
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
