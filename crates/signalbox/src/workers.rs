//! Which doors run generations: as few as can carry the slots of all model servers.
//!
//! Every worker has a part of each server's slots, and the parts add up to the slots, so that doors that can't see each
//! other's sends don't fill a server beyond them. With more doors than slots at a server, parts for all would be under one
//! slot. Fewer workers also share fewer connections, and a group that one door holds can use more servers at once.

use orchidvalve_track::identity::NodeAddress;
use orchidvalve_track::messages::TableVersion;
use orchidvalve_track::rendezvous;
use orchidvalve_track::server_table::ServerTable;

use crate::sessions::SessionTable;

/// Slots that a whole core of a door carries at under half of its time, by measurement (`docs/further-customer.md`).
const SLOTS_PER_CORE: f32 = 400.0;
/// Begins the hashes by which doors are ranked.
const RANK_SEED: u64 = 0x77_6f72_6b65_7273;

/// A door as the choice sees it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Candidate {
    pub address: NodeAddress,
    /// Share of a core.
    pub share: f32,
}

/// Slots of model servers.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct Slots {
    /// The most at one server.
    pub most: u32,
    /// Those of all servers.
    pub sum: u32,
}

impl Slots {
    /// Those of the model servers in the table.
    pub fn of(servers: &ServerTable) -> Slots {
        let model_servers = servers.servers().filter(|server| !server.models.is_empty());
        model_servers.fold(Slots::default(), |slots, server| Slots {
            most: slots.most.max(server.slots),
            sum: slots.sum + server.slots,
        })
    }
}

/// The workers, in the order of their addresses: as many as a server has slots, so that each has one everywhere, and more
/// where their processors can't carry all slots.
pub fn choose(mut candidates: Vec<Candidate>, slots: Slots) -> Vec<NodeAddress> {
    candidates.sort_by_key(|candidate| rendezvous::rank(RANK_SEED, candidate.address));
    let least = slots.most as usize;
    let mut carried = 0.0;
    let mut workers: Vec<NodeAddress> = Vec::new();
    for candidate in candidates {
        if workers.len() >= least && carried >= slots.sum as f32 {
            break;
        }
        carried += candidate.share * SLOTS_PER_CORE;
        workers.push(candidate.address);
    }
    workers.sort_unstable();
    workers
}

/// The present choice, and what it was made from.
#[derive(Default, Debug)]
pub struct Workers {
    candidates: Vec<Candidate>,
    table: TableVersion,
    slots: Slots,
    chosen: Vec<NodeAddress>,
}

impl Workers {
    /// The doors that run generations.
    pub fn chosen(&self) -> &[NodeAddress] {
        &self.chosen
    }

    /// Chooses anew where sessions or servers have changed; whether the choice is another one.
    pub fn choose(&mut self, sessions: &SessionTable, servers: &ServerTable) -> bool {
        let doors = sessions.doors();
        let candidates: Vec<Candidate> =
            doors.map(|door| Candidate { address: door.member.address, share: door.share }).collect();
        let slots = if servers.version() == self.table { self.slots } else { Slots::of(servers) };
        self.table = servers.version();
        if candidates == self.candidates && slots == self.slots {
            return false;
        }
        self.candidates = candidates.clone();
        self.slots = slots;
        let chosen = choose(candidates, slots);
        let changed = chosen != self.chosen;
        self.chosen = chosen;
        changed
    }
}
