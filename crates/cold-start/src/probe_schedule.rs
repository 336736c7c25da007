//! Schedule of the first health checks of the servers in an outdated list. Hundreds of nodes that start together would
//! otherwise connect to every server at the same time. Each node draws a time for each server, from its seed and the
//! server's number, in a span of `nodes / rate`, so that a server receives `rate` new connections per second. This also
//! spreads the health checks that a single node sends.

use crate::{Nanos, StartSettings, over};

/// Returns how the verification of a server in an outdated list begins, for this node's seed and the server's number
/// (as in [`probe_from`]): the steps by which the server is unverified, given those for the list's age or the
/// server's last known state, and the time from which its health may be checked. If `connects_a_second` is set, even
/// a trusted server gets one step: its connection opens with a health check at this node's time, and shard requests
/// follow once that is answered. Cost: a node serves less until all of its times have passed, for at most `nodes /
/// connects_a_second` seconds.
pub fn initial_verification(
    settings: &StartSettings,
    nodes: usize,
    (seed, subject): (u64, u64),
    unverified_steps: u32,
    now: Nanos,
) -> (u32, Nanos) {
    match settings.connects_a_second {
        Some(rate) => {
            let slowest = StartSettings { probes_a_second: rate.min(settings.probes_a_second), ..*settings };
            (unverified_steps.max(1), probe_from(&slowest, nodes, seed, subject, now))
        }
        None => (unverified_steps, probe_from(settings, nodes, seed, subject, now)),
    }
}

/// Returns the time from which this node may check the health of a server for the first time. `subject` is a number
/// that identifies the server.
pub fn probe_from(settings: &StartSettings, nodes: usize, seed: u64, subject: u64, now: Nanos) -> Nanos {
    let span = over(nodes.max(settings.expected), settings.probes_a_second);
    // The splitmix64 mixer, in which every output bit depends on every input bit. Servers whose ids differ only in the
    // last letter, and nodes whose seeds differ by one, must not be checked at the same time.
    let mut x = seed ^ subject.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^= x >> 31;
    now + (span as f64 * ((x >> 11) as f64 / (1u64 << 53) as f64)) as Nanos
}
