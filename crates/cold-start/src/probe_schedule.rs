//! When each server that an old list names is probed. Hundreds of nodes that start together would connect to every
//! server in the same instant: each node draws a moment for each server, from its seed and the server's number, in a
//! span of `nodes / rate`, so that a server sees `rate` new connections a second. Nothing is drawn for the node as a
//! whole: its own probes are spread by the same draw.

use crate::{Nanos, StartSettings, over};

/// How a server of an old list is first used, by this node's seed and the server's number (as in [`probe_from`]): the
/// steps of doubt that its list's age, or what was thought of it, leaves it, and the moment from which it may be
/// probed. Where new connections are to be spread, a server that nobody doubts gets one step all the same: its
/// connection opens with a probe at this node's moment, and parts follow once that was answered. The harm is that a
/// node serves less until its moments have come, for `nodes / connects_a_second` seconds at most.
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

/// The moment from `now` on at which this node may first probe a server. `subject`: a number that stands for the
/// server.
pub fn probe_from(settings: &StartSettings, nodes: usize, seed: u64, subject: u64, now: Nanos) -> Nanos {
    let span = over(nodes.max(settings.expected), settings.probes_a_second);
    // A mixer whose every output bit hangs on every input bit (splitmix64): ids that differ in their last letter, and
    // seeds that differ by one, must not be probed in step.
    let mut x = seed ^ subject.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^= x >> 31;
    now + (span as f64 * ((x >> 11) as f64 / (1u64 << 53) as f64)) as Nanos
}
