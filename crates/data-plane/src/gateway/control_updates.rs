//! Updates received from the control node (control state, server table, list of workers), and expiry of store nodes'
//! leases.

use std::collections::BTreeSet;

use orchidvalve_configuration::RouteTable;
use orchidvalve_control_client::FeedUpdate;
use orchidvalve_protocol::identity::NodeAddress;

use super::Gateway;
use super::partition_heads::PartitionHeads;

impl Gateway {
    /// Drops the groups of store nodes whose leases have expired. Called first in each turn of the event loop, as this
    /// process may have been suspended for longer than a lease.
    pub(super) fn drop_expired_leases(&mut self) {
        let expired = self.stores.links.expire_leases(&mut self.network, self.now);
        if expired.is_empty() {
            return;
        }
        let mut commands = Vec::new();
        let state = self.feed.replica().state();
        for store in &expired {
            log::warn!("work: store node {store} is unresponsive; the groups that it assigned are dropped");
            self.work.store_lease_expired(*store, state, &mut self.runner, &mut commands);
            self.calls.store_lost(self.now, *store);
        }
        self.run_generation_commands(commands);
    }

    /// Applies an update received from the control node.
    pub(super) fn feed_changed(&mut self, update: FeedUpdate) {
        if update.state {
            self.state_changed();
        }
        if update.servers {
            self.servers_changed();
        }
        if update.workers {
            self.quotas_changed();
        } else if update.servers {
            self.send_generation_capacity();
        }
    }

    /// Applies a new control state: links to its store nodes, heads of its partitions, and its configuration.
    fn state_changed(&mut self) {
        let state = self.feed.replica().state();
        let stores: BTreeSet<NodeAddress> = state
            .partitions()
            .iter()
            .flat_map(|placement| &placement.members)
            .map(|member| member.address)
            .collect();
        let same_zone = state.stores().values().filter(|store| store.zone == self.options.zone);
        self.stores.same_zone = same_zone.map(|store| store.member.address).collect();
        let heads = PartitionHeads::of(state.partitions());
        for store in self.stores.links.set_stores(&mut self.network, &stores) {
            self.calls.store_lost(self.now, store);
        }
        self.heads_changed(heads);
        self.forget_decided_usage();
        let state = self.feed.replica().state();
        let Some(configuration) = state.configuration() else { return };
        if self.routes.as_ref().is_none_or(|routes| routes.version() != configuration.version()) {
            let routes = RouteTable::compile(configuration);
            self.log_configuration(&routes);
            let mut commands = Vec::new();
            self.work.routes_changed(&routes, &mut self.runner, &mut commands);
            self.routes = Some(routes);
            self.run_generation_commands(commands);
        }
    }

    /// Begins the leases of new partition heads, which take over the groups that the former heads assigned.
    fn heads_changed(&mut self, heads: PartitionHeads) {
        for head in heads.replaced_since(&self.stores.heads) {
            self.stores.links.begin_lease(head, self.now);
        }
        self.stores.heads = heads;
    }

    /// Applies a new server table to the balancer, and its changes to the runner.
    fn servers_changed(&mut self) {
        let change = self.servers.balancer.update(self.feed.replica().servers());
        for key in change.removed {
            self.runner.remove_server(key);
        }
        for key in change.changed {
            self.update_runner(key);
        }
    }
}
