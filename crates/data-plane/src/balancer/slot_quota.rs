//! Division of a server's slots among the workers, which are the gateways that run generations.

use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::rendezvous;

/// Returns the number of a server's slots that belong to `gateway`, or `None` if it isn't one of `workers`.
///
/// The slots are dealt out to the workers in an order that differs from server to server (rendezvous hashing), so the
/// quotas of all workers add up to the number of slots.
pub fn slot_quota(slots: u32, workers: &[NodeAddress], gateway: NodeAddress, instance: &str) -> Option<u32> {
    if !workers.contains(&gateway) {
        return None;
    }
    let seed = rendezvous::hash(instance.as_bytes(), 0);
    let position = |address| (rendezvous::rank(seed, address), address);
    let own = position(gateway);
    let before = workers.iter().filter(|&&other| position(other) < own).count() as u32;
    let count = workers.len() as u32;
    Some(slots / count + u32::from(before < slots % count))
}
