//! Settings of the operator.

use std::net::SocketAddrV4;

use crate::Nanos;
use crate::leases::LeaseSettings;
use crate::lists::ListSettings;

/// Address and initial peers of this node, and the timing and limits of the protocol.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Address at which peers reach this node. The host listens there, or behind a forwarder.
    pub me: SocketAddrV4,
    /// Peers to which this node announces itself at its start.
    pub peers: Vec<SocketAddrV4>,
    /// The expected number of front nodes. A base share is at most the total divided by this.
    pub expected: usize,
    /// Incarnation number, if the host counts the starts of this node; drawn from the seed otherwise.
    pub incarnation: Option<u16>,
    /// Interval between two probes of a peer.
    pub probe_interval: Nanos,
    /// How long to wait for the response to a probe.
    pub probe_rtt: Nanos,
    /// How long an unresponsive peer is suspected before it counts as down.
    pub suspicion_timeout: Nanos,
    /// How long a peer that is down still counts in the base shares. In a network partition, a side that forgot the
    /// other at once would use all of each budget itself.
    pub forget_after: Nanos,
    /// Interval between two rounds of gossip.
    pub gossip_interval: Nanos,
    /// The number of peers that a round of gossip is sent to.
    pub gossip_fanout: usize,
    /// Settings of leases.
    pub leases: LeaseSettings,
    /// Settings for requesting and serving lists.
    pub lists: ListSettings,
    /// Interval at which leases are checked: expired ones, and requests if the demand exceeds the allowance.
    pub step_interval: Nanos,
    /// The number of verdicts kept at once.
    pub max_verdicts: usize,
    /// Datagrams accepted from one peer per gossip interval. More are dropped and counted.
    pub datagrams_per_peer: usize,
}

impl FleetSettings {
    /// Returns settings for a fleet of `expected` nodes on one network.
    pub fn new(me: SocketAddrV4, peers: Vec<SocketAddrV4>, expected: usize) -> FleetSettings {
        FleetSettings {
            me,
            peers,
            expected: expected.max(1),
            incarnation: None,
            probe_interval: 1_000_000_000,
            probe_rtt: 400_000_000,
            suspicion_timeout: 3_000_000_000,
            forget_after: 30_000_000_000,
            gossip_interval: 200_000_000,
            gossip_fanout: 3,
            leases: LeaseSettings {
                duration: 2_000_000_000,
                drift: 0.001,
                lend_share: 0.5,
                renew_at: 0.34,
                peers_per_request: 2,
                answer_timeout: 250_000_000,
                max_budgets: 4096,
                max_lent: 16_384,
            },
            lists: ListSettings::default(),
            step_interval: 100_000_000,
            max_verdicts: 4096,
            datagrams_per_peer: 64,
        }
    }
}
