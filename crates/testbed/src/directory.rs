//! The addresses of the system's nodes that callers use, with the state of the platform's readiness checks.

use std::net::SocketAddrV4;

use rand::Rng;

/// Number of consecutive failed checks after which a gateway receives no new connections.
const FAILURES_UNTIL_UNREADY: u32 = 2;

/// A gateway with the results of its readiness checks.
#[derive(Clone, Debug)]
pub struct Gateway {
    /// Address at which the gateway accepts requests.
    pub frontend: SocketAddrV4,
    /// Address at which the gateway responds to readiness checks.
    pub readiness: SocketAddrV4,
    /// Zone of the gateway.
    pub zone: String,
    /// Number of consecutive failed readiness checks.
    failures: u32,
    /// Whether any readiness check has succeeded.
    was_ready: bool,
}

impl Gateway {
    fn is_ready(&self) -> bool {
        self.was_ready && self.failures < FAILURES_UNTIL_UNREADY
    }
}

/// Addresses of the system's nodes.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// All gateways, in the order in which they were added.
    pub gateways: Vec<Gateway>,
    /// Addresses of the control nodes (`control_plane` in the settings).
    pub control_nodes: Vec<SocketAddrV4>,
}

impl Directory {
    /// Adds a gateway, which receives connections once a readiness check has succeeded.
    pub fn add_gateway(&mut self, frontend: SocketAddrV4, readiness: SocketAddrV4, zone: &str) {
        let zone = zone.to_owned();
        self.gateways.push(Gateway { frontend, readiness, zone, failures: 0, was_ready: false });
    }

    /// Records the result of a readiness check of the gateway at an index.
    pub fn record_readiness(&mut self, gateway: usize, ready: bool) {
        let gateway = &mut self.gateways[gateway];
        if ready {
            (gateway.failures, gateway.was_ready) = (0, true);
        } else {
            gateway.failures = gateway.failures.saturating_add(1);
        }
    }

    /// Returns the number of ready gateways.
    pub fn ready_gateways(&self) -> usize {
        self.gateways.iter().filter(|gateway| gateway.is_ready()).count()
    }

    /// Picks the gateway for a new connection: a ready one of the zone if at least half of the zone's gateways are
    /// ready, otherwise any of the zone. If no gateway of the zone is ready, picks a ready one of another zone, or
    /// any gateway if none is ready at all.
    pub fn pick_gateway(&self, zone: &str, random: &mut impl Rng) -> Option<SocketAddrV4> {
        let in_zone: Vec<&Gateway> = self.gateways.iter().filter(|gateway| gateway.zone == zone).collect();
        let ready_in_zone: Vec<&Gateway> =
            in_zone.iter().copied().filter(|gateway| gateway.is_ready()).collect();
        let ready: Vec<&Gateway> = self.gateways.iter().filter(|gateway| gateway.is_ready()).collect();
        let choice = if ready_in_zone.is_empty() {
            if ready.is_empty() { self.gateways.iter().collect() } else { ready }
        } else if ready_in_zone.len() * 2 < in_zone.len() {
            in_zone
        } else {
            ready_in_zone
        };
        (!choice.is_empty()).then(|| choice[random.random_range(0..choice.len())].frontend)
    }

    /// Picks a control node other than `last`, or `last` if it is the only one.
    pub fn pick_other_control_node(
        &self,
        last: Option<SocketAddrV4>,
        random: &mut impl Rng,
    ) -> Option<SocketAddrV4> {
        let others: Vec<SocketAddrV4> =
            self.control_nodes.iter().copied().filter(|address| Some(*address) != last).collect();
        let choice = if others.is_empty() { &self.control_nodes } else { &others };
        (!choice.is_empty()).then(|| choice[random.random_range(0..choice.len())])
    }
}
