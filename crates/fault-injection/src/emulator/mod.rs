//! Runs a scenario in virtual time: the scenario, store model, discovery and clients are the same as on sockets, and
//! front nodes use their real decision code, but there are no sockets and no clock. A seed determines the run down to
//! the last event; a thousand stores run on one core.
//!
//! The network is a fixed delay. Compared with a run on sockets, the emulator leaves out connections and their
//! handshakes, the processor time of front nodes, shard requests batched in one call, and the messages among front
//! nodes: all of them follow a single maintenance queue.

mod clients;
mod front_nodes;
mod maintenance;
mod stores;
mod target;
mod world;

use orchidvalve::interface::AggregatorSettings;

use crate::error::RunError;
use crate::injector::FaultInjector;
use crate::load::{PlannedQuery, arrivals};
use crate::policy::{Decider, Policy};
use crate::report::{Report, RunFacts, report};
use crate::scenario::Scenario;
use crate::timeline::Timeline;
use crate::{MS, Nanos, SECOND};
use world::{ScheduledEvent, World};

/// Network delay from any process to any other, one way.
const DELAY: Nanos = MS / 10;
/// Time before the first query, in which front nodes learn the membership.
const SETUP_TIME: Nanos = SECOND;
/// Time after the last client's deadline in which the remaining events are processed.
const SETTLING_TIME: Nanos = 200 * MS;
/// The longest time that a run waits for maintenance in progress after [`SETTLING_TIME`].
const MAX_MAINTENANCE_WAIT: Nanos = 20 * SECOND;

/// The amount of work of a run in virtual time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Effort {
    /// The number of processed events.
    pub events: u64,
    /// The number of rounds of front nodes.
    pub rounds: u64,
}

/// Runs a scenario in virtual time under a policy.
///
/// # Errors
///
/// Returns an error if the affected stores of a fault cannot be drawn, or if the scenario does not yield valid
/// settings for front nodes.
pub fn play(scenario: &Scenario, seed: u64, policy: Policy) -> Result<(Report, Effort), RunError> {
    play_amended(scenario, seed, policy, arrivals(scenario, seed), |_| {})
}

/// Runs a scenario like [`play`], with the given load, and with front nodes whose settings are changed by `amend`. The
/// invariant checker uses the scenario's unchanged rules, so it reports front nodes that run with wrong settings.
///
/// # Errors
///
/// Returns an error in the same cases as [`play`].
pub fn play_amended(
    scenario: &Scenario,
    seed: u64,
    policy: Policy,
    planned: Vec<PlannedQuery>,
    amend: impl FnOnce(&mut AggregatorSettings),
) -> Result<(Report, Effort), RunError> {
    play_traced(scenario, seed, (policy, planned), amend, None)
}

/// Receives the lines of a front node's trace with the index of the front node. The trace explains each decision of the
/// aggregator, in the format that `orchidvalve why` reads.
pub type TraceLines<'a> = &'a mut dyn FnMut(usize, String);

/// Runs a scenario like [`play_amended`] and passes the front nodes' traces to `trace`.
///
/// # Errors
///
/// Returns an error in the same cases as [`play`].
pub fn play_traced<'a>(
    scenario: &'a Scenario,
    seed: u64,
    (policy, planned): (Policy, Vec<PlannedQuery>),
    amend: impl FnOnce(&mut AggregatorSettings),
    trace: Option<TraceLines<'a>>,
) -> Result<(Report, Effort), RunError> {
    let timeline = Timeline::new(scenario, seed)?;
    let events = timeline.events().to_vec();
    let mut injector = FaultInjector::new(scenario, timeline, SETUP_TIME);
    let mut world = World::new(scenario, seed, policy, planned, injector.list().clone(), amend)?;
    if trace.is_some() {
        world.front_nodes.iter_mut().for_each(|f| f.decider.iter_mut().for_each(Decider::start_trace));
        world.trace = trace;
    }
    let effort = world.run(&mut injector)?;
    let World { checker, statistics, now, attempts, shard_requests, .. } = world;
    let events_checked = checker.events();
    let mut violations = checker.end(now);
    violations.iter_mut().for_each(|violation| violation.at_ms -= SETUP_TIME / MS);
    let facts = RunFacts {
        seed,
        attempts,
        shard_requests,
        events: events_checked,
        crashed: Vec::new(),
        violations,
        broken_off: None,
    };
    Ok((report(scenario, &events, &statistics, facts), effort))
}

impl World<'_> {
    fn run(&mut self, injector: &mut FaultInjector) -> Result<Effort, RunError> {
        let mut effort = Effort::default();
        let end = SETUP_TIME + self.scenario.duration() + self.scenario.longest_deadline() + SETTLING_TIME;
        self.schedule(SETUP_TIME, ScheduledEvent::Faults);
        if self.scenario.order.is_some() {
            self.schedule(SETUP_TIME, ScheduledEvent::Maintenance);
        }
        while let Some((at, event)) = self.next_event() {
            let Some(event) = event else { continue };
            if at > end && (!injector.is_busy() || at > end + MAX_MAINTENANCE_WAIT) {
                break;
            }
            self.now = at;
            effort.events += 1;
            effort.rounds += u64::from(matches!(event, ScheduledEvent::Round { .. }));
            if let ScheduledEvent::Faults = event {
                injector.round(self)?;
                if let Some(next) = injector.next_due() {
                    self.schedule(next.max(at + 1), ScheduledEvent::Faults);
                }
                continue;
            }
            self.dispatch(event);
        }
        Ok(effort)
    }
}
