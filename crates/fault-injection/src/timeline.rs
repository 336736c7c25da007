//! The timeline of a run: the scenario's faults with the stores drawn for them, as a list of start and end events, and
//! the combined effect of simultaneous faults on a store. It has no clock: the caller requests the events that are due.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::{Display, Error};
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use crate::Nanos;
use crate::error::ScenarioError;
use crate::scenario::{Fault, FaultKind, Scenario, Stores};

/// The start or end of a fault, for one store if the fault affects stores.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultEvent {
    /// Time since the run began.
    pub at: Nanos,
    /// Index of the fault in the scenario.
    pub fault: usize,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Whether the fault begins (`true`) or ends.
    pub begins: bool,
    /// The affected store; `None` if the fault does not affect stores.
    pub store: Option<usize>,
}

/// The events of a run's faults, in the order of their times.
#[derive(Clone, Debug)]
pub struct Timeline {
    events: Vec<FaultEvent>,
    next: usize,
}

impl Timeline {
    /// Returns the timeline of a scenario. Affected stores are drawn from the seed: the same scenario and seed give
    /// the same stores. Returns an error if too few stores may be faulty at once for a draw.
    pub fn new(scenario: &Scenario, seed: u64) -> Result<Timeline, ScenarioError> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let lasts = scenario.duration();
        let mut faulted: Vec<FaultedStore> = Vec::new();
        let mut events = Vec::new();
        for (n, fault) in scenario.faults.iter().enumerate() {
            let (at, until) = (fault.at(), fault.until(lasts));
            let event = |at, begins, store| FaultEvent { at, fault: n, kind: fault.kind, begins, store };
            if !fault.kind.affects_stores() {
                events.push(event(at, true, None));
                events.push(event(until, false, None));
                continue;
            }
            let stores = affected_stores(&scenario.stores, fault, at, until, &faulted, &mut rng)
                .map_err(|error| ScenarioError::value(format!("trouble[{n}].draw"), error.to_string()))?;
            for store in stores {
                faulted.push(FaultedStore { at, until, store });
                events.push(event(at, true, Some(store)));
                events.push(event(until, false, Some(store)));
            }
        }
        // A fault that ends when another begins does not overlap with it, so ends are processed first.
        events.sort_by_key(|a| (a.at, a.begins, a.fault, a.store));
        Ok(Timeline { events, next: 0 })
    }

    /// Returns the next event if it is due.
    pub fn due(&mut self, now: Nanos) -> Option<FaultEvent> {
        let event = self.events.get(self.next).copied().filter(|a| a.at <= now)?;
        self.next += 1;
        Some(event)
    }

    /// Returns the time of the next event.
    pub fn next_due(&self) -> Option<Nanos> {
        self.events.get(self.next).map(|a| a.at)
    }

    /// Returns all events, in the order of their times.
    pub fn events(&self) -> &[FaultEvent] {
        &self.events
    }
}

/// A store that is affected by a fault, and the time of the fault.
struct FaultedStore {
    at: Nanos,
    until: Nanos,
    store: usize,
}

/// A fault requires more stores than may be faulty at once.
#[derive(Debug, Display, Error)]
#[display("only {drawn} of {wanted} stores may be faulty at once with share {share}")]
struct TooFewStores {
    drawn: usize,
    wanted: usize,
    share: f64,
}

/// Returns the stores that a fault affects: those of its zone, those that it names, or a random draw.
fn affected_stores(
    stores: &Stores,
    fault: &Fault,
    at: Nanos,
    until: Nanos,
    faulted: &[FaultedStore],
    rng: &mut Pcg64Mcg,
) -> Result<Vec<usize>, TooFewStores> {
    if let Some(zone) = &fault.zone {
        return Ok((0..stores.count()).filter(|n| stores.zone(*n) == zone).collect());
    }
    if !fault.stores.is_empty() {
        let named = |n: &usize| fault.stores.contains(&crate::store_name(*n));
        return Ok((0..stores.count()).filter(named).collect());
    }
    // Stores that are faulty at some time during this fault.
    let mut out: BTreeSet<usize> = faulted
        .iter()
        .filter(|other| other.at < until && at < other.until)
        .map(|other| other.store)
        .collect();
    let mut order: Vec<usize> = (0..stores.count()).collect();
    order.shuffle(rng);
    let mut drawn = Vec::new();
    for store in order {
        if drawn.len() == fault.draw {
            break;
        }
        let may_fault = |shard: &usize| {
            let replicas: Vec<usize> = stores.stores_of(*shard).collect();
            let most = ((fault.share * replicas.len() as f64) as usize).max(1);
            replicas.iter().filter(|h| out.contains(*h)).count() < most
        };
        let shards: Vec<usize> =
            (0..stores.cells).filter(|shard| stores.holds(stores.cell(store), *shard)).collect();
        if !out.contains(&store) && shards.iter().all(may_fault) {
            out.insert(store);
            drawn.push(store);
        }
    }
    if drawn.len() < fault.draw {
        return Err(TooFewStores { drawn: drawn.len(), wanted: fault.draw, share: fault.share });
    }
    drawn.sort_unstable();
    Ok(drawn)
}

/// The combined effect of all active faults of a store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Condition {
    /// The store's process has ended.
    pub down: bool,
    /// The store accepts connections and does not respond.
    pub unresponsive: bool,
    /// The store's responses begin and never end.
    pub stalled: bool,
    /// The store accepts no new requests.
    pub draining: bool,
    /// Factor of the processing time, at least 1.
    pub slowdown: f64,
    /// The remaining fraction of the cores, 0 to 1.
    pub cores_left: f64,
    /// The fraction of shard requests that the store rejects, 0 to 1.
    pub rejected_fraction: f64,
    /// The fraction of shard requests that the store fails with an error, 0 to 1.
    pub failed_fraction: f64,
}

impl Default for Condition {
    fn default() -> Condition {
        Condition {
            down: false,
            unresponsive: false,
            stalled: false,
            draining: false,
            slowdown: 1.0,
            cores_left: 1.0,
            rejected_fraction: 0.0,
            failed_fraction: 0.0,
        }
    }
}

/// The active faults of a store, by their index in the scenario. A fault that ends removes only its own effect.
#[derive(Clone, Debug, Default)]
pub struct ActiveFaults {
    by_index: BTreeMap<usize, FaultKind>,
}

impl ActiveFaults {
    /// Adds a fault that begins, or removes one that ends.
    pub fn apply(&mut self, event: &FaultEvent) {
        if event.begins {
            self.by_index.insert(event.fault, event.kind);
        } else {
            self.by_index.remove(&event.fault);
        }
    }

    /// Returns the combined effect of the active faults.
    pub fn condition(&self) -> Condition {
        let mut c = Condition::default();
        for kind in self.by_index.values() {
            match *kind {
                FaultKind::Die => c.down = true,
                FaultKind::Stall => c.stalled = true,
                FaultKind::Silent => c.unresponsive = true,
                FaultKind::Slow { factor } => c.slowdown *= factor,
                FaultKind::Cpu { lost } => c.cores_left *= 1.0 - lost,
                FaultKind::Refuse { part } => {
                    c.rejected_fraction = 1.0 - (1.0 - c.rejected_fraction) * (1.0 - part);
                }
                FaultKind::Spoil { part } => {
                    c.failed_fraction = 1.0 - (1.0 - c.failed_fraction) * (1.0 - part);
                }
                FaultKind::Drain => c.draining = true,
                // Other faults do not change the condition: the fault injector carries out their steps.
                _ => {}
            }
        }
        c
    }
}
