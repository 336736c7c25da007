//! A disruption budget (as of Kubernetes) for taking machines out of service. It is evaluated on the leader's last
//! observation of all machines and on those already taken out. It is part of the replicated state, so that every node that
//! applies the same log admits the same machines at the same entry, whatever its own settings are.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Health of a machine, as observed by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Health {
    /// It has its full capacity.
    Healthy,
    /// It started recently and has only a fraction of its capacity.
    WarmingUp,
    /// It fails a service class, or is ejected.
    Failing,
    /// Discovery reports that it accepts no new requests.
    Draining,
}

/// A machine as observed by the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ObservedMachine {
    /// Its cell on the ring.
    pub cell: u32,
    /// Its zone.
    pub zone: String,
    /// Its health.
    pub health: Health,
    /// Its last start, in Unix milliseconds; 0 if long ago.
    pub started_ms: i64,
}

/// Location of a machine when it was taken out of service. Until it is back, it counts as a replica of its shards and as
/// part of its zone, whether or not discovery lists it. Were it counted only while it is listed, a machine that is being
/// worked on would make room for the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Location {
    /// Its cell on the ring.
    pub cell: u32,
    /// Its zone.
    pub zone: String,
}

/// Limits on the machines that are out of service at the same time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DisruptionBudget {
    /// The number of cells on the ring.
    pub cells: u32,
    /// A shard is held by the machines of its cell and of the next `reach - 1` cells.
    pub reach: u32,
    /// Fraction of a shard's replicas that may be unavailable or unhealthy at the same time, but at least one.
    pub share: f64,
    /// The number of healthy replicas that each shard must keep.
    pub least_sound: u32,
    /// Fraction of a zone's machines that may be unavailable at the same time, but at least one.
    pub zone_share: f64,
    /// The largest number of unavailable machines in total.
    pub most: u32,
}

impl Default for DisruptionBudget {
    fn default() -> DisruptionBudget {
        DisruptionBudget { cells: 1, reach: 1, share: 0.5, least_sound: 1, zone_share: 0.25, most: 16 }
    }
}

/// Why a machine cannot be taken out of service now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BlockedBy {
    /// Discovery does not list it.
    Unknown,
    /// Too many replicas of a shard are or would be missing.
    Shard {
        /// The shard.
        shard: u32,
        /// Ids of the missing machines, including the requested one.
        missing: Vec<String>,
        /// The number that may be missing.
        most: u32,
    },
    /// A shard would keep fewer healthy replicas than required.
    TooFewHealthy {
        /// The shard.
        shard: u32,
        /// The number of healthy replicas that would remain.
        left: u32,
    },
    /// The largest number of machines of a zone is unavailable.
    Zone {
        /// The zone.
        zone: String,
        /// The number of unavailable machines in the zone.
        unavailable: u32,
        /// The number that may be unavailable.
        most: u32,
    },
    /// The largest number of machines in total is unavailable.
    Most {
        /// The number of unavailable machines.
        unavailable: u32,
    },
    /// An earlier request for a machine with a common shard is waiting. Later requests could delay it indefinitely.
    Earlier {
        /// Id of the other machine.
        machine: String,
    },
    /// The last observation of the machines is too old.
    Stale,
}

impl std::fmt::Display for BlockedBy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            BlockedBy::Unknown => write!(f, "discovery does not name it"),
            BlockedBy::Shard { shard, missing, most } => {
                write!(f, "shard {shard}: {} would be missing, {most} may be", missing.join(", "))
            }
            BlockedBy::TooFewHealthy { shard, left } => {
                write!(f, "shard {shard} would keep {left} sound holders")
            }
            BlockedBy::Zone { zone, unavailable, most } => {
                write!(f, "zone {zone}: {unavailable} are out, {most} may be")
            }
            BlockedBy::Most { unavailable } => write!(f, "{unavailable} machines are out, no more may be"),
            BlockedBy::Earlier { machine } => write!(f, "{machine} asked before it for the same shard"),
            BlockedBy::Stale => write!(f, "nothing was seen of the machines lately"),
        }
    }
}

impl DisruptionBudget {
    /// Returns the shards that a machine of this cell holds.
    pub fn shards(&self, cell: u32) -> impl Iterator<Item = u32> + use<> {
        let (cells, reach) = (self.cells.max(1), self.reach.clamp(1, self.cells.max(1)));
        (0..reach).map(move |back| (cell % cells + cells - back) % cells)
    }

    fn holds(&self, cell: u32, shard: u32) -> bool {
        let (cells, reach) = (self.cells.max(1), self.reach.clamp(1, self.cells.max(1)));
        (cell % cells + cells - shard) % cells < reach
    }

    /// Returns why a machine cannot be taken out of service, given the ones that are unavailable, or `None` if it can.
    pub fn blocked_by(
        &self,
        machine: &str,
        seen: &BTreeMap<String, ObservedMachine>,
        unavailable: &BTreeMap<String, Location>,
    ) -> Option<BlockedBy> {
        let Some(of) = seen.get(machine) else { return Some(BlockedBy::Unknown) };
        let unnamed = || unavailable.iter().filter(|(m, _)| !seen.contains_key(*m));
        for shard in self.shards(of.cell) {
            let away = unnamed().filter(|(_, p)| self.holds(p.cell, shard)).map(|(m, _)| m.clone());
            let mut missing: Vec<String> = away.collect();
            let named = seen.iter().filter(|(_, s)| self.holds(s.cell, shard));
            let all = named.clone().count() as u32 + missing.len() as u32;
            let most = ((self.share * f64::from(all)) as u32).max(1);
            let is_missing = |m: &str, s: &ObservedMachine| {
                m == machine || unavailable.contains_key(m) || s.health != Health::Healthy
            };
            missing.extend(named.filter(|(m, s)| is_missing(m, s)).map(|(m, _)| m.clone()));
            let left = all - missing.len() as u32;
            if left < self.least_sound {
                return Some(BlockedBy::TooFewHealthy { shard, left });
            }
            if missing.len() as u32 > most {
                return Some(BlockedBy::Shard { shard, missing, most });
            }
        }
        let of_zone = seen.values().filter(|s| s.zone == of.zone).count()
            + unnamed().filter(|(_, p)| p.zone == of.zone).count();
        let most = ((self.zone_share * of_zone as f64) as u32).max(1);
        let unavailable_in_zone =
            unavailable.iter().filter(|(m, p)| *m != machine && p.zone == of.zone).count() as u32;
        if unavailable_in_zone + 1 > most {
            return Some(BlockedBy::Zone { zone: of.zone.clone(), unavailable: unavailable_in_zone, most });
        }
        let others = unavailable.keys().filter(|m| *m != machine).count() as u32;
        (others + 1 > self.most).then_some(BlockedBy::Most { unavailable: others })
    }

    /// Whether two machines have a shard in common.
    pub fn share_shard(&self, a: &ObservedMachine, b: &ObservedMachine) -> bool {
        self.shards(a.cell).any(|shard| self.shards(b.cell).any(|other| other == shard))
    }
}
