//! Injects the faults of a scenario: changes the condition of stores, notifies discovery, and takes machines through
//! maintenance step by step. The same code runs with real processes and in virtual time, behind [`FaultTarget`].

use std::collections::BTreeMap;

use crate::discovery::{Discovery, ListedStore, Phase};
use crate::error::RunError;
use crate::invariants::Event;
use crate::scenario::{FaultKind, Scenario, ms};
use crate::timeline::{ActiveFaults, Condition, FaultEvent, Timeline};
use crate::{MS, Nanos, store_name};

/// The operations of a run that faults need, implemented for real processes and for the emulator.
pub trait FaultTarget {
    /// Returns the time since the run's clock started.
    fn now(&self) -> Nanos;
    /// Passes an event to the invariant checker.
    fn observe(&mut self, event: Event);
    /// Sets the combined effect of faults on a store.
    fn set_condition(&mut self, store: usize, condition: Condition);
    /// Stops a store's process: its connections break and new ones are refused.
    fn stop_store(&mut self, store: usize);
    /// Starts another process with the given name in a store's place, warming up. Returns when it started.
    fn start_store(&mut self, store: usize, name: String) -> Nanos;
    /// Sets the list of stores that discovery publishes.
    fn publish_list(&mut self, list: &BTreeMap<String, ListedStore>);
    /// Makes discovery unresponsive, or responsive again.
    fn set_discovery_unresponsive(&mut self, unresponsive: bool);
    /// Kills a front node's process.
    fn kill_front_node(&mut self, front_node: usize);
    /// Starts another process in a killed front node's place.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    fn restart_front_node(&mut self, front_node: usize) -> Result<(), RunError>;
    /// Makes a front node reload its configuration.
    fn reload_front_node(&mut self, front_node: usize);
    /// Separates the first `first` front nodes from the others by a network partition; `None` ends the partition.
    fn partition_front_nodes(&mut self, first: Option<usize>);
    /// Requests maintenance of a machine from the front nodes. Returns whether a front node accepted the request;
    /// `lasts` is the duration of the maintenance.
    fn request_maintenance(&mut self, machine: &str, lasts: Nanos) -> bool;
    /// Returns whether the front nodes' maintenance queue has taken the machine out of service.
    fn is_under_maintenance(&mut self, machine: &str) -> bool;
}

/// A machine's maintenance and its current step.
#[derive(Clone, Copy)]
struct Maintenance {
    store: usize,
    off_for: Nanos,
    step: Step,
}

#[derive(Clone, Copy, PartialEq)]
enum Step {
    /// Requested from the front nodes, which have not granted it yet; checked again at this time.
    Requested(Nanos),
    Draining(Nanos),
    Off(Nanos),
    Done,
}

/// Interval at which the injector checks whether maintenance of a machine was granted.
const MAINTENANCE_POLL_INTERVAL: Nanos = 40 * MS;

/// Injects the faults of a scenario.
pub struct FaultInjector<'a> {
    scenario: &'a Scenario,
    timeline: Timeline,
    begins: Nanos,
    /// How often each store was replaced by another one.
    generations: Vec<u32>,
    active: Vec<ActiveFaults>,
    discovery: Discovery,
    maintenance: Vec<Maintenance>,
}

impl<'a> FaultInjector<'a> {
    /// Returns an injector whose scenario times count from `begins`.
    pub fn new(scenario: &'a Scenario, timeline: Timeline, begins: Nanos) -> FaultInjector<'a> {
        let count = scenario.stores.count();
        let listed = |n| (store_name(n), ListedStore { store: n, phase: Phase::Up, started_at: None });
        FaultInjector {
            scenario,
            timeline,
            begins,
            generations: vec![0; count],
            active: vec![ActiveFaults::default(); count],
            discovery: Discovery::new((0..count).map(listed)),
            maintenance: Vec::new(),
        }
    }

    /// Sets the time from which scenario times count.
    pub fn begin(&mut self, at: Nanos) {
        self.begins = at;
    }

    /// Returns the list of stores that discovery publishes.
    pub fn list(&self) -> &BTreeMap<String, ListedStore> {
        self.discovery.list()
    }

    /// Returns whether machines are under maintenance or wait for it.
    pub fn is_busy(&self) -> bool {
        !self.maintenance.is_empty()
    }

    /// Returns when the next fault, publication of discovery, or maintenance step is due.
    pub fn next_due(&self) -> Option<Nanos> {
        let event = self.timeline.next_due().map(|at| self.begins + at);
        let maintenance = self.maintenance.iter().map(|m| match m.step {
            Step::Requested(at) | Step::Draining(at) | Step::Off(at) => at,
            Step::Done => Nanos::MAX,
        });
        event.into_iter().chain(self.discovery.next_due()).chain(maintenance).min()
    }

    /// Processes everything that is due.
    ///
    /// # Errors
    ///
    /// Returns an error if a front node cannot be restarted.
    pub fn round(&mut self, target: &mut dyn FaultTarget) -> Result<(), RunError> {
        let now = target.now();
        while let Some(event) = self.timeline.due(now - self.begins) {
            match event.store {
                Some(store) => self.apply_to_store(event, store, target),
                None => self.apply_to_front_nodes(event, target)?,
            }
        }
        self.advance_maintenance(now, target);
        self.publish(target);
        Ok(())
    }

    /// Returns the current name of a store in discovery.
    pub fn name(&self, store: usize) -> String {
        match self.generations[store] {
            0 => store_name(store),
            generation => format!("{}-{generation}", store_name(store)),
        }
    }

    fn record_change(
        &mut self,
        now: Nanos,
        notice: Nanos,
        store: usize,
        phase: Phase,
        started_at: Option<Nanos>,
    ) {
        let name = self.name(store);
        self.discovery.record_change(now, notice, name, ListedStore { store, phase, started_at });
    }

    /// Starts a store's process, which warms up.
    fn restart_store(&mut self, store: usize, target: &mut dyn FaultTarget) {
        let name = self.name(store);
        self.discovery.drop_pending(&name);
        let at = target.start_store(store, name);
        self.record_change(at, 0, store, Phase::Up, Some(at));
    }

    fn apply_to_store(&mut self, event: FaultEvent, store: usize, target: &mut dyn FaultTarget) {
        let now = target.now();
        let before = self.active[store].condition();
        self.active[store].apply(&event);
        let after = self.active[store].condition();
        target.set_condition(store, after);
        match event.kind {
            FaultKind::Die if after.down && !before.down => {
                target.stop_store(store);
                if !self.discovery.keeps_dead_stores {
                    self.record_change(now, ms(self.scenario.stores.notice_ms), store, Phase::Gone, None);
                }
            }
            FaultKind::Die if before.down && !after.down => self.restart_store(store, target),
            FaultKind::Drain if after.draining != before.draining => {
                let phase = if after.draining { Phase::Draining } else { Phase::Up };
                self.record_change(now, 0, store, phase, None);
            }
            FaultKind::Replace if event.begins => {
                // The replaced store is gone for good; the new one uses its index and port under a new name.
                self.record_change(now, 0, store, Phase::Gone, None);
                target.stop_store(store);
                self.generations[store] += 1;
                self.restart_store(store, target);
            }
            FaultKind::Patch { drain_ms } if event.begins => {
                self.start_maintenance(event, store, ms(drain_ms), target);
            }
            _ => {}
        }
    }

    fn start_maintenance(
        &mut self,
        event: FaultEvent,
        store: usize,
        drain: Nanos,
        target: &mut dyn FaultTarget,
    ) {
        let now = target.now();
        let fault = &self.scenario.faults[event.fault];
        let off_for = fault.until(Nanos::MAX / 2) - fault.at();
        let agreed = self.scenario.order.is_some() && target.request_maintenance(&self.name(store), off_for);
        let step = if agreed {
            Step::Requested(now)
        } else {
            self.record_change(now, 0, store, Phase::Draining, None);
            Step::Draining(now + drain)
        };
        self.maintenance.push(Maintenance { store, off_for, step });
    }

    fn apply_to_front_nodes(
        &mut self,
        event: FaultEvent,
        target: &mut dyn FaultTarget,
    ) -> Result<(), RunError> {
        match event.kind {
            FaultKind::RosterLag { by_ms } => {
                self.discovery.set_lag(if event.begins { ms(by_ms) } else { 0 });
            }
            FaultKind::RosterSilent => {
                self.discovery.unresponsive = event.begins;
                target.observe(Event::DiscoveryUnresponsive(event.begins));
                target.set_discovery_unresponsive(event.begins);
            }
            FaultKind::RosterLies => self.discovery.keeps_dead_stores = event.begins,
            FaultKind::FrontKilled { front } if event.begins => {
                target.kill_front_node(front);
                target.observe(Event::FrontNodeKilled { front_node: front });
            }
            FaultKind::FrontKilled { front } => {
                target.restart_front_node(front)?;
                target.observe(Event::FrontNodeStarted { front_node: front });
            }
            FaultKind::FrontReload { front } if event.begins => target.reload_front_node(front),
            FaultKind::FrontsCut { first } => target.partition_front_nodes(event.begins.then_some(first)),
            _ => {}
        }
        Ok(())
    }

    /// Advances the maintenance of machines to their next steps.
    fn advance_maintenance(&mut self, now: Nanos, target: &mut dyn FaultTarget) {
        for index in 0..self.maintenance.len() {
            let Maintenance { store, off_for, step } = self.maintenance[index];
            let next = match step {
                Step::Requested(look) if now >= look => {
                    if target.is_under_maintenance(&self.name(store)) {
                        // The front nodes send the machine no new attempts any more; discovery is notified as for
                        // unmanaged maintenance.
                        self.record_change(now, 0, store, Phase::Draining, None);
                        Step::Draining(now)
                    } else {
                        Step::Requested(now + MAINTENANCE_POLL_INTERVAL)
                    }
                }
                Step::Draining(until) if now >= until => {
                    target.stop_store(store);
                    Step::Off(now + off_for)
                }
                Step::Off(until) if now >= until => {
                    self.restart_store(store, target);
                    Step::Done
                }
                other => other,
            };
            self.maintenance[index].step = next;
        }
        self.maintenance.retain(|m| m.step != Step::Done);
    }

    /// Publishes the changes that discovery has noticed.
    fn publish(&mut self, target: &mut dyn FaultTarget) {
        let before = self.discovery.list().clone();
        let Some(after) = self.discovery.round(target.now()) else { return };
        for (name, listed) in after {
            if before.get(name) != Some(listed) {
                let closed = listed.phase != Phase::Up;
                let (store, started_at) = (name.clone(), listed.started_at);
                target.observe(Event::Listed { store, closed, started_at });
            }
        }
        for name in before.keys().filter(|name| !after.contains_key(*name)) {
            target.observe(Event::Listed { store: name.clone(), closed: true, started_at: None });
        }
        target.publish_list(after);
    }
}
