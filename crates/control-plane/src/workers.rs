//! Selects the workers: the gateways that run generations. They are as few as can handle the slots of all model servers.
//!
//! Every worker gets a quota of each server's slots, and the quotas add up to the slots. So gateways do not overload a
//! server although they cannot see each other's attempts. With more workers than slots at a server, quotas would be below
//! one slot. Fewer workers also need fewer connections, and a group of items at one gateway can use more servers at once.

use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::messages::{GatewayList, TableVersion};
use orchidvalve_protocol::rendezvous;
use orchidvalve_protocol::server_table::ServerTable;

use crate::sessions::{Session, SessionTable};

/// Slots that a gateway with a complete CPU core handles at under half load, as measured (`docs/further-customer.md`).
const SLOTS_PER_CORE: f32 = 400.0;
/// Fraction of a CPU core that is assumed for a gateway whose session is not known yet.
const PRESUMED_CPU_SHARE: f32 = 0.1;
/// Seed of the hashes that rank gateways (rendezvous hashing, Thaler and Ravishankar 1998).
const RANK_SEED: u64 = 0x77_6f72_6b65_7273;

/// A gateway that may be selected.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Candidate {
    /// Address of the gateway.
    pub address: NodeAddress,
    /// Fraction of a CPU core that the gateway may use.
    pub cpu_share: f32,
}

/// Numbers of slots of the model servers.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct SlotTotals {
    /// Largest number of slots of one server.
    pub max_per_server: u32,
    /// Total slots of all servers.
    pub total: u32,
}

impl SlotTotals {
    /// Returns the slot totals of the model servers in the table.
    pub fn of(servers: &ServerTable) -> SlotTotals {
        let model_servers = servers.servers().filter(|server| !server.models.is_empty());
        model_servers.fold(SlotTotals::default(), |slots, server| SlotTotals {
            max_per_server: slots.max_per_server.max(server.slots),
            total: slots.total + server.slots,
        })
    }
}

/// Returns the workers, sorted by address: at least as many as the largest server has slots, so that each has a slot there,
/// and more if their CPU cores cannot handle all slots.
pub fn select(mut candidates: Vec<Candidate>, slots: SlotTotals) -> Vec<NodeAddress> {
    candidates.sort_by_key(|candidate| rendezvous::rank(RANK_SEED, candidate.address));
    let min_workers = slots.max_per_server as usize;
    let mut handled_slots = 0.0;
    let mut workers: Vec<NodeAddress> = Vec::new();
    for candidate in candidates {
        if workers.len() >= min_workers && handled_slots >= slots.total as f32 {
            break;
        }
        handled_slots += candidate.cpu_share * SLOTS_PER_CORE;
        workers.push(candidate.address);
    }
    workers.sort_unstable();
    workers
}

/// The inputs of a selection.
#[derive(PartialEq, Default, Debug)]
struct SelectionInput {
    term: u64,
    candidates: Vec<Candidate>,
    slots: SlotTotals,
}

/// The latest list of workers that this node knows, and the inputs of its last selection.
#[derive(Default, Debug)]
pub struct WorkerSelection {
    list: GatewayList,
    input: SelectionInput,
    /// Version of the server table from which `slots` were counted.
    counted_version: TableVersion,
    slots: SlotTotals,
}

impl WorkerSelection {
    /// Returns the latest list.
    pub fn list(&self) -> &GatewayList {
        &self.list
    }

    /// Adopts a list of the leader if it is newer than the known one. Returns whether it was adopted.
    pub fn adopt(&mut self, list: GatewayList) -> bool {
        let newer = list.version > self.list.version;
        if newer {
            self.list = list;
        }
        newer
    }

    /// Repeats the selection as the leader under `term` if sessions or servers have changed. Returns whether the list has
    /// changed. With `presumed`, the gateways on the list count as candidates even without a known session, since a node
    /// that has just become the head may not know all sessions.
    pub fn select(
        &mut self,
        term: u64,
        sessions: &SessionTable,
        presumed: bool,
        servers: &ServerTable,
    ) -> bool {
        if servers.version() != self.counted_version {
            self.counted_version = servers.version();
            self.slots = SlotTotals::of(servers);
        }
        let candidates = self.candidates(sessions, presumed);
        let input = SelectionInput { term, candidates, slots: self.slots };
        // The number of workers cannot be determined before the first reading of the platform's list.
        if input == self.input || self.slots.total == 0 {
            return false;
        }
        let gateways = select(input.candidates.clone(), input.slots);
        self.input = input;
        if self.list.version.term == term && self.list.gateways == gateways {
            return false;
        }
        let number = if self.list.version.term == term { self.list.version.number + 1 } else { 1 };
        self.list = GatewayList { version: TableVersion { term, number }, gateways };
        true
    }

    fn candidates(&self, sessions: &SessionTable, presumed: bool) -> Vec<Candidate> {
        let gateways = sessions.gateways();
        let candidate =
            |gateway: &Session| Candidate { address: gateway.member.address, cpu_share: gateway.share };
        let mut candidates: Vec<Candidate> = gateways.map(candidate).collect();
        let listed = self.list.gateways.iter().filter(|_| presumed);
        for &address in listed {
            if !candidates.iter().any(|candidate| candidate.address == address) {
                candidates.push(Candidate { address, cpu_share: PRESUMED_CPU_SHARE });
            }
        }
        candidates
    }
}
