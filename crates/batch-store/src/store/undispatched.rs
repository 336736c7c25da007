//! Items that wait on this store for a gateway.

use crate::dispatch;
use crate::store::Store;

/// The number of required items of a route that wait for a gateway.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct UndispatchedItems {
    /// Hostname of the route.
    pub hostname: String,
    /// Path prefix of the route.
    pub route_prefix: String,
    /// Number of items.
    pub count: u32,
}

impl Store {
    /// Returns the waiting items of each active job that this store dispatches.
    pub fn undispatched_items(&self) -> Vec<UndispatchedItems> {
        let headed = self.partitions.values().filter(|partition| partition.is_active_head());
        let open = headed.flat_map(|partition| partition.jobs.iter_active());
        let items = open.map(|(_, _, active)| UndispatchedItems {
            hostname: active.job().hostname.clone(),
            route_prefix: active.job().route_prefix.clone(),
            count: dispatch::undispatched_items(active),
        });
        items.filter(|items| items.count > 0).collect()
    }
}
