//! Replay of recorded load: the requests that front nodes received are replayed on a scenario's fleet, at the
//! recorded speed, faster or slower. The times are those of the recording, so that a slow front node never slows the
//! load down. This module has no I/O.

use std::collections::BTreeMap;

use orchidvalve_request_recording::{Arrival, Recording};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::error::ReplayError;
use crate::load::PlannedQuery;
use crate::scenario::Scenario;
use crate::{MS, Nanos};

/// How recordings are replayed on a scenario.
#[derive(Clone, Debug)]
pub struct ReplayOptions {
    /// Speed relative to the recording; 2 replays it twice as fast.
    pub speed: f64,
    /// The scenario's names for recorded service classes and tenants; those not listed keep their recorded names.
    pub renamed: BTreeMap<String, String>,
    /// Length of the replayed part, from the first arrival, in the recording's own time; `None`: all of it.
    pub at_most: Option<Nanos>,
}

impl Default for ReplayOptions {
    fn default() -> ReplayOptions {
        ReplayOptions { speed: 1.0, renamed: BTreeMap::new(), at_most: None }
    }
}

/// Returns the recorded queries in the order of their times, counted from the first arrival of all recordings.
/// Recordings of one fleet share a clock, so the offsets between them are kept. A single recording is spread over the
/// scenario's front nodes by chance; several are assigned to front nodes in turn, one each. Recorded client retries
/// are left out, since the scenario's clients retry by themselves.
///
/// # Errors
///
/// Returns an error if the speed is not above 0, or if the scenario has no service class or tenant of a recorded name.
pub fn replayed(
    scenario: &Scenario,
    recordings: &[(String, Recording)],
    options: &ReplayOptions,
    seed: u64,
) -> Result<Vec<PlannedQuery>, ReplayError> {
    if !(options.speed.is_finite() && options.speed > 0.0) {
        return Err(ReplayError::Speed { speed: options.speed });
    }
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x7265_706c_6179);
    let mut all: Vec<(Nanos, PlannedQuery)> = Vec::new();
    for (n, (name, recording)) in recordings.iter().enumerate() {
        let names = Names::new(scenario, name, recording, options);
        let mut at = recording.header.started_unix_ms * MS;
        for arrival in &recording.arrivals {
            at += arrival.gap_us as Nanos * 1000;
            if arrival.is_retry {
                continue;
            }
            let (class, tenant) = (names.class(arrival)?, names.tenant(arrival)?);
            // On a ring with fewer cells, shard numbers wrap around.
            let cells = scenario.stores.cells;
            let mut shards: Vec<usize> = arrival.shards.iter().map(|s| *s as usize % cells).collect();
            shards.sort_unstable();
            shards.dedup();
            if shards.is_empty() {
                continue;
            }
            let front_node = if recordings.len() == 1 {
                rng.random_range(0..scenario.front_nodes)
            } else {
                n % scenario.front_nodes
            };
            all.push((at, PlannedQuery { at: 0, class, tenant, shards, front_node }));
        }
    }
    all.sort_by_key(|(at, _)| *at);
    let Some(first) = all.first().map(|(at, _)| *at) else { return Ok(Vec::new()) };
    let within = |at: Nanos| options.at_most.is_none_or(|most| at - first <= most);
    let timed = |(at, mut query): (Nanos, PlannedQuery)| {
        query.at = ((at - first) as f64 / options.speed) as Nanos;
        query
    };
    Ok(all.into_iter().filter(|(at, _)| within(*at)).map(timed).collect())
}

/// Maps the service classes and tenants of a recording to those of the scenario.
struct Names<'a> {
    recording_name: &'a str,
    recording: &'a Recording,
    classes: Vec<Option<usize>>,
    tenants: Vec<Option<usize>>,
    /// Whether both the scenario and the recording have tenants. If either has none, all queries are without a
    /// tenant; if both have, an unknown tenant is an error, since it would be counted as another one.
    has_tenants: bool,
}

impl<'a> Names<'a> {
    fn new(
        scenario: &Scenario,
        recording_name: &'a str,
        recording: &'a Recording,
        options: &ReplayOptions,
    ) -> Names<'a> {
        let called = |name: &String| options.renamed.get(name).unwrap_or(name).clone();
        let class = |name: &String| scenario.classes.iter().position(|class| class.name == called(name));
        let tenant = |name: &String| scenario.tenants.iter().position(|tenant| tenant.name == called(name));
        let header = &recording.header;
        Names {
            recording_name,
            recording,
            classes: header.classes.iter().map(class).collect(),
            tenants: header.tenants.iter().map(tenant).collect(),
            has_tenants: !scenario.tenants.is_empty() && !header.tenants.is_empty(),
        }
    }

    fn class(&self, arrival: &Arrival) -> Result<usize, ReplayError> {
        let position = arrival.class;
        self.classes.get(position as usize).copied().flatten().ok_or_else(|| ReplayError::UnknownClass {
            recording: self.recording_name.to_owned(),
            class: recorded_name(&self.recording.header.classes, position),
        })
    }

    fn tenant(&self, arrival: &Arrival) -> Result<Option<usize>, ReplayError> {
        let Some(position) = arrival.tenant.filter(|_| self.has_tenants) else { return Ok(None) };
        let tenant = self.tenants.get(position as usize).copied().flatten();
        let unknown = || ReplayError::UnknownTenant {
            recording: self.recording_name.to_owned(),
            tenant: recorded_name(&self.recording.header.tenants, position),
        };
        tenant.map(Some).ok_or_else(unknown)
    }
}

fn recorded_name(names: &[String], position: u32) -> String {
    names.get(position as usize).cloned().unwrap_or_else(|| format!("number {position}"))
}
