//! The callers of the system in a scenario, and their counters.

use std::cell::RefCell;
use std::rc::Rc;

use super::report::TrainerReport;
use super::timed_fault::TimedFault;
use super::workload::{TrafficTimes, Workload};
use crate::clients::{ClientSettings, ClientStats, Clients};
use crate::concurrent_operators::{ConcurrentOperatorSettings, ConcurrentOperatorStats, ConcurrentOperators};
use crate::host::Host;
use crate::launch::ZONES;
use crate::operator::{Action, Operator, OperatorStats, ScheduledAction, Script};
use crate::readiness_checks::ReadinessChecks;
use crate::trainer::{SharedTrainerStats, Trainer};

/// A running trainer.
struct RunningTrainer {
    name: String,
    stats: SharedTrainerStats,
}

/// All callers of a scenario.
pub(super) struct Traffic {
    script: Script,
    operator: Rc<RefCell<OperatorStats>>,
    concurrent_operators: Option<Rc<RefCell<ConcurrentOperatorStats>>>,
    trainers: Vec<RunningTrainer>,
    clients: Vec<Rc<RefCell<ClientStats>>>,
}

impl Traffic {
    /// Starts the readiness checks, and the operator, which sends the first configuration.
    pub fn start(host: &mut Host, workload: &Workload, seed: u64) -> Traffic {
        host.add_caller(Box::new(ReadinessChecks::default()));
        let script = Script::default();
        script.borrow_mut().push_back(ScheduledAction {
            at_ms: host.now(),
            action: Action::PutFirst(workload.configuration()),
        });
        let (operator, stats) = Operator::new(script.clone(), seed);
        host.add_caller(Box::new(operator));
        Traffic {
            script,
            operator: stats,
            concurrent_operators: None,
            trainers: Vec::new(),
            clients: Vec::new(),
        }
    }

    /// Adds trainers and clients.
    pub fn add_load(&mut self, host: &mut Host, workload: &Workload, times: TrafficTimes, seed: u64) {
        for settings in workload.trainers(times, seed) {
            let name = settings.name.clone();
            let (trainer, stats) = Trainer::new(settings);
            host.add_caller(Box::new(trainer));
            self.trainers.push(RunningTrainer { name, stats });
        }
        for (zone, number) in ZONES.iter().zip(1..) {
            for settings in workload.clients(zone, times, seed ^ number) {
                self.add_clients(host, settings);
            }
        }
    }

    /// Adds a group of clients.
    pub fn add_clients(&mut self, host: &mut Host, settings: ClientSettings) {
        let (clients, stats) = Clients::new(settings);
        host.add_caller(Box::new(clients));
        self.clients.push(stats);
    }

    /// Adds operators that change the configuration continuously, if one of the faults needs them.
    pub fn add_concurrent_operators(
        &mut self,
        host: &mut Host,
        workload: &Workload,
        faults: &[TimedFault],
        (from, until): (u64, u64),
        seed: u64,
    ) {
        let Some(pace) = faults.iter().find_map(|timed| timed.fault.operator_pace()) else { return };
        let routes = workload.changing_routes();
        let settings = ConcurrentOperatorSettings { pace, routes, from, until, seed };
        let (operators, stats) = ConcurrentOperators::new(settings);
        host.add_caller(Box::new(operators));
        self.concurrent_operators = Some(stats);
    }

    /// Schedules an action of the operator at `at` milliseconds.
    pub fn add_action(&self, at: u64, action: Action) {
        self.script.borrow_mut().push_back(ScheduledAction { at_ms: at, action });
    }

    /// Whether the first configuration was accepted.
    pub fn is_ready(&self) -> bool {
        self.operator.borrow().ready_at.is_some()
    }

    /// Whether the operator has read back the configuration.
    pub fn is_read_back(&self) -> bool {
        self.operator.borrow().read_back
    }

    /// Whether the configuration and the results of all trainers were read back.
    pub fn is_over(&self) -> bool {
        self.is_read_back() && self.trainers.iter().all(|trainer| trainer.stats.borrow().is_done)
    }

    /// Names of the storage machines whose retirement is complete.
    pub fn retired(&self) -> Vec<String> {
        self.operator.borrow().retired.clone()
    }

    pub fn operator_stats(&self) -> OperatorStats {
        self.operator.borrow().clone()
    }

    pub fn concurrent_operator_stats(&self) -> Option<ConcurrentOperatorStats> {
        self.concurrent_operators.as_ref().map(|stats| stats.borrow().clone())
    }

    pub fn trainer_stats(&self) -> Vec<TrainerReport> {
        let of = |trainer: &RunningTrainer| TrainerReport {
            name: trainer.name.clone(),
            stats: trainer.stats.borrow().clone(),
        };
        self.trainers.iter().map(of).collect()
    }

    pub fn client_stats(&self) -> Vec<ClientStats> {
        self.clients.iter().map(|stats| stats.borrow().clone()).collect()
    }
}
