//! Runs a scenario: starts and supervises all processes, injects the faults, and reads everything back at the end.

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::ScenarioOptions;
use super::error::ScenarioError;
use super::fault_steps::{FaultTargets, steps};
use super::faults::Fault;
use super::report::{ListCallCounts, ProcessUsage, Report, SingletonRoleReport};
use super::servers::{ServerIndices, open_servers};
use super::steps::ScheduledStep;
use super::supervision::Supervision;
use super::timed_fault::TimedFault;
use super::traffic::Traffic;
use super::wiring::{add_gateway, add_to_proxy};
use super::workload::{TrafficTimes, Workload};
use crate::host::Host;
use crate::invariants::{InvariantBounds, InvariantChecker, UsageAccounts, UsageBounds};
use crate::launch::{Launcher, Role, Topology};
use crate::observation::Observation;
use crate::operator::Action;

/// Time that the system has to accept the first configuration, in milliseconds.
const START_LIMIT_MS: u64 = 20_000;
/// Time from the first acknowledgement to the start of the traffic, in milliseconds.
const LEAD_MS: u64 = 2_500;
/// Time that batch jobs have to finish after the end of the traffic, in milliseconds.
const FINISH_MS: u64 = 8_000;
/// Time from the end of the last fault until everything is read back, in milliseconds.
const SETTLE_MS: u64 = 6_000;
/// Maximum time of the final reads, in milliseconds.
const REVIEW_MS: u64 = 15_000;
/// Time for which concurrent operators continue after the last fault, in milliseconds.
const OPERATORS_AFTER_MS: u64 = 2_000;
/// Time for which clients keep using their keys after the last change of keys, in milliseconds. It exceeds the time
/// until that change is active.
const KEY_USE_AFTER_MS: u64 = 4_000;
/// Length of a usage window, deadline of its report, and tolerance of its counts. They must equal
/// `bounds.usage-window-s`, `bounds.usage-late-s` and `bounds.usage-tolerance` in the settings of the processes.
const USAGE_WINDOW_S: u64 = 2;
const USAGE_REPORT_DEADLINE_S: u64 = 4;
const USAGE_TOLERANCE: f64 = 0.05;
/// Start of the faults, as a percentage of the duration of the traffic.
const FAULT_PERCENT: u64 = 40;

/// The remaining steps, and the disruptions that the executed steps have caused.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    pub steps: Vec<ScheduledStep>,
    /// Time of the last unplanned step that affects machines.
    pub disrupted_until: u64,
    /// Whether a link is slow at present.
    pub is_link_slow: bool,
}

impl Schedule {
    /// Adds the steps of a fault that begins at `begin`.
    fn add_fault(&mut self, begin: u64, steps: Vec<ScheduledStep>) {
        let steps = steps.into_iter();
        self.steps.extend(steps.map(|ScheduledStep { at, step }| ScheduledStep { at: begin + at, step }));
        self.steps.sort_by_key(|scheduled| scheduled.at);
    }

    /// Time at which the last step is over; 0 if there are no steps.
    fn ends_at(&self) -> u64 {
        let ends = self.steps.iter().map(|scheduled| scheduled.at + scheduled.step.lasts_ms());
        ends.max().unwrap_or(0)
    }
}

/// A running scenario.
pub(super) struct ScenarioRun {
    pub(super) host: Host,
    pub(super) launcher: Launcher,
    checker: InvariantChecker,
    usage_accounts: UsageAccounts,
    /// Name of the machine that last sent an order to a server or a call to the platform as leader.
    pub(super) last_leader: Option<String>,
    /// Start and end of the traffic.
    traffic_times: (u64, u64),
    pub(super) workload: Workload,
    servers: ServerIndices,
    pub(super) traffic: Traffic,
    pub(super) schedule: Schedule,
    pub(super) supervision: Supervision,
}

/// Runs a scenario.
///
/// # Errors
///
/// Returns an error if the scenario cannot be run to its end. Violations are not errors; they are part of the report.
pub fn run(options: &ScenarioOptions) -> Result<Report, ScenarioError> {
    let topology = Topology::new(options.control_nodes, options.gateways, options.store_nodes)?;
    let mut launcher = Launcher::new(topology, &options.program)?;
    if options.has_fault(Fault::requires_proxy) {
        launcher.use_proxy();
    }
    let mut run = ScenarioRun::new(launcher, options)?;
    if options.keep {
        run.launcher.keep_directory();
    }
    run.launcher.start_all()?;
    run.wait_until_ready()?;
    run.run_traffic_and_faults(options)?;
    Ok(run.report(options))
}

impl ScenarioRun {
    pub(super) fn new(launcher: Launcher, options: &ScenarioOptions) -> Result<ScenarioRun, ScenarioError> {
        let seed = options.seed;
        let mut host = Host::new()?;
        let mut workload = Workload::draw(seed);
        if options.without_tenants {
            workload.tenants = None;
        }
        let topology = launcher.topology();
        let servers = open_servers(&mut host, topology, &workload, seed)?;
        for machine in topology.machines.iter().filter(|machine| machine.roles.contains(&Role::Gateway)) {
            add_gateway(&mut host, topology.ports, machine);
        }
        host.directory.control_nodes = topology.control_addresses();
        if topology.proxied {
            for (index, machine) in topology.indexed_machines() {
                add_to_proxy(&mut host, topology, index, machine)?;
            }
        }
        let traffic = Traffic::start(&mut host, &workload, seed);
        let usage_bounds = UsageBounds {
            wall_ms_at_start: host.wall_ms_at_zero(),
            window_s: USAGE_WINDOW_S,
            report_deadline_s: USAGE_REPORT_DEADLINE_S,
            tolerance: USAGE_TOLERANCE,
        };
        Ok(ScenarioRun {
            host,
            usage_accounts: UsageAccounts::new(usage_bounds),
            last_leader: None,
            traffic_times: (0, 0),
            launcher,
            checker: InvariantChecker::new(InvariantBounds::default()),
            workload,
            servers,
            traffic,
            schedule: Schedule::default(),
            supervision: Supervision::default(),
        })
    }

    fn wait_until_ready(&mut self) -> Result<(), ScenarioError> {
        let limit = self.host.now() + START_LIMIT_MS;
        while !self.traffic.is_ready() {
            self.turn(limit)?;
            if self.host.now() >= limit || self.host.stopped {
                self.launcher.keep_directory();
                for id in self.launcher.ids() {
                    let (name, log) = (self.launcher.name(id), self.launcher.log_tail(id));
                    log::warn!("scenario: {name} logged:\n{log}");
                }
                let directory = self.launcher.directory().display().to_string();
                return Err(ScenarioError::NotReady { directory });
            }
        }
        Ok(())
    }

    fn run_traffic_and_faults(&mut self, options: &ScenarioOptions) -> Result<(), ScenarioError> {
        let from = self.host.now() + LEAD_MS;
        let until = from + options.seconds * 1_000;
        self.schedule_faults(options, from + options.seconds * 10 * FAULT_PERCENT);
        let quiet_from = self.schedule.ends_at();
        let review_from = (quiet_from + SETTLE_MS).max(until + FINISH_MS);
        let times = TrafficTimes { from, until, review_from, review_until: review_from + REVIEW_MS };
        let operators_until = until.max(quiet_from + OPERATORS_AFTER_MS);
        self.traffic_times = (from, until);
        self.add_traffic(options, times, operators_until);
        while self.host.now() < review_from && !self.host.stopped {
            self.turn(review_from)?;
        }
        self.traffic.add_action(review_from, Action::ReadBack);
        let limit = times.review_until + REVIEW_MS;
        while self.host.now() < limit && !self.traffic.is_over() && !self.host.stopped {
            self.turn(limit)?;
        }
        Ok(())
    }

    fn schedule_faults(&mut self, options: &ScenarioOptions, begin: u64) {
        let targets = FaultTargets {
            launcher: &self.launcher,
            servers: &self.servers,
            workload: &self.workload,
            partition_ms: options.partition_seconds * 1_000,
        };
        let mut random = Pcg64Mcg::seed_from_u64(options.seed ^ 0x7472);
        for TimedFault { fault, delay } in &options.faults {
            let begin = begin + delay.as_millis() as u64;
            self.schedule.add_fault(begin, steps(*fault, &targets, &mut random));
        }
    }

    fn add_traffic(&mut self, options: &ScenarioOptions, times: TrafficTimes, operators_until: u64) {
        let (host, workload, seed) = (&mut self.host, &self.workload, options.seed);
        self.traffic.add_load(host, workload, times, seed);
        let operator_times = (times.from, operators_until);
        self.traffic.add_concurrent_operators(host, workload, &options.faults, operator_times, seed);
        if options.has_fault(|fault| fault == Fault::DuplicateResponses) {
            self.traffic.add_clients(host, workload.client_with_long_bodies(times, seed));
        }
        if options.has_fault(Fault::revokes_keys) {
            let until = times.until.max(self.schedule.ends_at() + KEY_USE_AFTER_MS);
            let users = workload.clients_of_revoked_keys(TrafficTimes { until, ..times }, seed);
            users.into_iter().for_each(|settings| self.traffic.add_clients(host, settings));
        }
        if options.has_fault(|fault| fault == Fault::UnknownKeys) && workload.tenants.is_some() {
            let clients = workload.improper_clients(times, seed);
            clients.into_iter().for_each(|settings| self.traffic.add_clients(host, settings));
        }
    }

    /// Runs one turn of the host, processes its observations, and executes due steps.
    fn turn(&mut self, until: u64) -> Result<(), ScenarioError> {
        let next_step = self.schedule.steps.first().map_or(until, |scheduled| scheduled.at);
        self.host.turn(until.min(next_step))?;
        for seen in self.host.take_observations() {
            self.checker.observe(seen.at_ms, &seen.observation);
            self.usage_accounts.observe(seen.at_ms, &seen.observation);
            if let Some(leader) = seen.observation.leader() {
                self.last_leader = Some(leader.to_owned());
            }
        }
        let now = self.host.now();
        self.run_due_steps(now)?;
        if self.supervision.is_due(now) {
            self.supervise_processes(now)?;
        }
        Ok(())
    }

    fn usage(&self) -> Vec<ProcessUsage> {
        let of = |id| Some(ProcessUsage { process: self.launcher.name(id), usage: self.launcher.usage(id)? });
        self.launcher.ids().into_iter().filter_map(of).collect()
    }

    fn report(mut self, options: &ScenarioOptions) -> Report {
        if !self.traffic.is_read_back() {
            self.checker.observe(self.host.now(), &Observation::FinalConfigurationRead { document: None });
        }
        let list_calls = self
            .host
            .platform()
            .map(|platform| ListCallCounts { answered: platform.list_calls, refused: platform.refused });
        let (from, until) = self.traffic_times;
        let singleton_roles = SingletonRoleReport {
            calls: self.host.platform().map(|platform| platform.platform_calls).unwrap_or_default(),
            usage: self.usage_accounts.figures(from, until),
        };
        let mut report = Report {
            singleton_roles,
            clients: self.traffic.client_stats(),
            trainers: self.traffic.trainer_stats(),
            operator: self.traffic.operator_stats(),
            concurrent_operators: self.traffic.concurrent_operator_stats(),
            violations: self.checker.finish().to_vec(),
            ended: self.supervision.take_ended(),
            list_calls: list_calls.unwrap_or_default(),
            usage: self.usage(),
            directory: None,
        };
        if options.keep || !report.is_good() {
            self.launcher.keep_directory();
            report.directory = Some(self.launcher.directory().to_owned());
        }
        report
    }
}
