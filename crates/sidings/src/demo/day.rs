//! Plays a day: starts everything, keeps it going, does the trouble, and reads everything back at the end.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;

use derive_more::{Display, Error, From};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::acts::Act;
use super::scene::{Names, Servers, open_servers};
use super::trouble::acts;
use super::{DemoOptions, Report};
use crate::audit::{AuditBounds, Auditor};
use crate::client::{ClientTally, Clients, ReadinessChecks};
use crate::effects::Effects;
use crate::host::{Host, Station, StationIndex};
use crate::launch::{LaunchError, Launcher, Plan, ProcessId, Role, Usage, ZONES};
use crate::observation::Observation;
use crate::operator::{Action, Operator, OperatorTally, Script};
use crate::relay::Unidentified;
use crate::trainer::{SharedTally, Trainer};

/// How long the system has to take the first configuration.
const START_LIMIT_MS: u64 = 20_000;
/// From the first acknowledgement to the start of traffic.
const LEAD_MS: u64 = 2_500;
/// How long batch jobs have after traffic has ended.
const FINISH_MS: u64 = 8_000;
/// How long the machines have after the last trouble before everything is read back.
const SETTLE_MS: u64 = 6_000;
/// How long the readings at the end may take.
const REVIEW_MS: u64 = 15_000;
/// Processes that ended are started again after this time.
const RESTART_MS: u64 = 400;
const GRACE_MS: u64 = 8_000;
const REAP_INTERVAL_MS: u64 = 100;
/// Where in the traffic the trouble begins, in hundredths.
const TROUBLE_PERCENT: u64 = 40;

/// Why a day can't be played.
#[derive(Debug, Display, Error, From)]
pub enum DemoError {
    #[display("{_0}")]
    Launch(LaunchError),
    #[display("the stand-ins can't go on: {_0}; see that addresses in 127.0.0.0/8 and ports are free")]
    Host(io::Error),
    #[display("the system took no configuration in time; read the logs in {directory}")]
    #[from(skip)]
    NotReady {
        #[error(not(source))]
        directory: String,
    },
}

struct Day {
    host: Host,
    launcher: Launcher,
    auditor: Auditor,
    names: Names,
    servers: Servers,
    script: Script,
    operator: Rc<RefCell<OperatorTally>>,
    trainers: Vec<(String, SharedTally)>,
    clients: Vec<Rc<RefCell<ClientTally>>>,
    /// What is still to be done, with its times.
    acts: Vec<(u64, Act)>,
    /// Processes that were told to stop, with the time at which they are killed.
    stopping: BTreeMap<ProcessId, u64>,
    /// Retired machines that are gone.
    retired: usize,
    ended: Vec<(String, String)>,
    next_reap: u64,
    trouble_until: u64,
}

/// Plays a day.
///
/// # Errors
///
/// The day can't be played to its end; broken rules are no error but stand in the report.
pub fn run(options: &DemoOptions) -> Result<Report, DemoError> {
    let plan = Plan::new(options.controls, options.doors, options.stores)?;
    let mut launcher = Launcher::new(plan, &options.program)?;
    if options.troubles.iter().any(|trouble| trouble.needs_relay()) {
        launcher.use_relay();
    }
    let mut day = Day::new(launcher, options.seed)?;
    if options.keep {
        day.launcher.keep_directory();
    }
    day.launcher.start_all()?;
    day.wait_until_ready()?;
    day.play(options)?;
    Ok(day.report(options))
}

impl Day {
    fn new(launcher: Launcher, seed: u64) -> Result<Day, DemoError> {
        let mut host = Host::new()?;
        let names = Names::draw(seed);
        let servers = open_servers(&mut host, launcher.plan(), &names, seed)?;
        let plan = launcher.plan().clone();
        for machine in plan.machines.iter().filter(|machine| machine.roles.contains(&Role::Door)) {
            let address = |port| SocketAddrV4::new(machine.ip, port);
            host.directory.add_door(
                address(plan.ports.frontend),
                address(plan.ports.readiness),
                machine.zone,
            );
        }
        host.directory.controls = plan.control_addresses();
        host.add_caller(Box::new(ReadinessChecks::default()));
        if plan.relayed {
            for (index, machine) in plan.machines.iter().enumerate() {
                host.relay_to(index, plan.internal_address(machine), plan.internal_listener(machine))?;
            }
        }
        let script = Script::default();
        script.borrow_mut().push_back((host.now(), Action::PutFirst(names.configuration())));
        let (operator, tally) = Operator::new(script.clone(), seed);
        host.add_caller(Box::new(operator));
        Ok(Day {
            host,
            launcher,
            auditor: Auditor::new(AuditBounds::default()),
            names,
            servers,
            script,
            operator: tally,
            trainers: Vec::new(),
            clients: Vec::new(),
            acts: Vec::new(),
            stopping: BTreeMap::new(),
            retired: 0,
            ended: Vec::new(),
            next_reap: 0,
            trouble_until: 0,
        })
    }

    fn wait_until_ready(&mut self) -> Result<(), DemoError> {
        let limit = self.host.now() + START_LIMIT_MS;
        while self.operator.borrow().ready_at.is_none() {
            self.turn(limit)?;
            if self.host.now() >= limit || self.host.stopped {
                self.launcher.keep_directory();
                for id in self.launcher.ids() {
                    log::warn!("demo: {} logged:\n{}", self.launcher.name(id), self.launcher.log_tail(id));
                }
                return Err(DemoError::NotReady {
                    directory: self.launcher.directory().display().to_string(),
                });
            }
        }
        Ok(())
    }

    fn play(&mut self, options: &DemoOptions) -> Result<(), DemoError> {
        let from = self.host.now() + LEAD_MS;
        let until = from + options.seconds * 1_000;
        let begin = from + options.seconds * 10 * TROUBLE_PERCENT;
        let mut random = Pcg64Mcg::seed_from_u64(options.seed ^ 0x7472);
        for trouble in &options.troubles {
            let cut_ms = options.cut_seconds * 1_000;
            let acts = acts(*trouble, &self.launcher, &self.servers, &self.names, cut_ms, &mut random);
            self.acts.extend(acts.into_iter().map(|(after, act)| (begin + after, act)));
        }
        self.acts.sort_by_key(|(at, _)| *at);
        let settled = self.acts.last().map_or(0, |(at, _)| at + SETTLE_MS);
        let review_from = settled.max(until + FINISH_MS);
        let review_until = review_from + REVIEW_MS;
        self.add_traffic(from, until, review_from, review_until, options.seed);
        while self.host.now() < review_from && !self.host.stopped {
            self.turn(review_from)?;
        }
        self.script.borrow_mut().push_back((review_from, Action::ReadBack));
        while self.host.now() < review_until + REVIEW_MS && !self.is_over() && !self.host.stopped {
            self.turn(review_until + REVIEW_MS)?;
        }
        Ok(())
    }

    fn add_traffic(&mut self, from: u64, until: u64, review_from: u64, review_until: u64, seed: u64) {
        for settings in self.names.trainers(from, until, review_from, review_until, seed) {
            let name = settings.name.clone();
            let (trainer, tally) = Trainer::new(settings);
            self.host.add_caller(Box::new(trainer));
            self.trainers.push((name, tally));
        }
        for (zone, number) in ZONES.iter().zip(1..) {
            for settings in self.names.clients(zone, from, until, seed ^ number) {
                let (clients, tally) = Clients::new(settings);
                self.host.add_caller(Box::new(clients));
                self.clients.push(tally);
            }
        }
    }

    fn is_over(&self) -> bool {
        let trained = self.trainers.iter().all(|(_, tally)| tally.borrow().is_done);
        let read = self.operator.borrow().read_back;
        trained && read
    }

    fn turn(&mut self, until: u64) -> Result<(), DemoError> {
        self.host.turn(until)?;
        for Unidentified { connection, caller, called } in self.host.take_unidentified() {
            self.host.identify(connection, self.launcher.machine_of_caller(caller, called));
        }
        for (at, observation) in self.host.take_seen() {
            self.auditor.observe(at, &observation);
        }
        let now = self.host.now();
        self.do_acts(now)?;
        if now >= self.next_reap {
            self.next_reap = now + REAP_INTERVAL_MS;
            self.tend_processes(now)?;
        }
        Ok(())
    }

    fn do_acts(&mut self, now: u64) -> Result<(), DemoError> {
        let (due, later) = std::mem::take(&mut self.acts).into_iter().partition(|(at, _)| *at <= now);
        self.acts = later;
        for (_, act) in due {
            log::info!("demo: {act:?}");
            if act.is_of_machines() {
                if !act.is_planned() {
                    self.trouble_until = self.end_of_trouble(now);
                }
                self.host.note(Observation::Trouble { what: format!("{act:?}"), planned: act.is_planned() });
            }
            self.carry_out(now, act)?;
        }
        Ok(())
    }

    /// When the last thing that is still to be done to machines is done.
    fn end_of_trouble(&self, now: u64) -> u64 {
        let later = self.acts.iter().filter(|(_, act)| act.is_of_machines()).map(|(at, _)| *at);
        later.chain([now]).max().unwrap_or(now)
    }

    fn carry_out(&mut self, now: u64, act: Act) -> Result<(), DemoError> {
        match act {
            Act::Kill(ids) => {
                for id in ids {
                    self.launcher.kill(id)?;
                }
            }
            Act::Wipe(ids) => ids.into_iter().try_for_each(|id| self.launcher.wipe(id))?,
            Act::Start(ids) => {
                for id in ids {
                    self.launcher.start(id)?;
                }
            }
            Act::Freeze(ids) => ids.into_iter().try_for_each(|id| self.launcher.freeze(id))?,
            Act::Thaw(ids) => ids.into_iter().try_for_each(|id| self.launcher.thaw(id))?,
            Act::Terminate(ids) => {
                for id in ids {
                    self.launcher.terminate(id)?;
                    let door =
                        SocketAddrV4::new(self.launcher.machine(id).ip, self.launcher.plan().ports.frontend);
                    if self.launcher.role(id) == Role::Door {
                        self.host.note(Observation::Stopping { door: door.to_string() });
                    }
                    self.stopping.insert(id, now + GRACE_MS);
                }
            }
            Act::AddStore => {
                for id in self.launcher.add_store() {
                    self.relay_to_machine_of(id)?;
                    self.launcher.start(id)?;
                }
            }
            Act::Links(pairs, fault) => {
                pairs.into_iter().for_each(|(from, to)| self.host.set_link(from, to, fault));
            }
            Act::Operator(action) => self.script.borrow_mut().push_back((now, action)),
            Act::Server(index, fault) => {
                self.host.with_station(index, |station, _, out| fail(station, fault, out))
            }
            Act::RestartServer(index) => self.restart_server(index),
            Act::HealServer(index) => self.host.with_station(index, |station, _, _| {
                if let Station::Model(server) = station {
                    server.heal();
                }
            }),
            Act::DrainServer(index) => {
                let instance = self.drain_server(index);
                self.host.note(Observation::ServerDraining { server: instance.clone() });
                self.host.with_platform(|platform, now| platform.mark_draining(now, &instance));
            }
            Act::RemoveServer(index) => {
                let instance = self.instance(index);
                self.host.with_platform(|platform, now| platform.remove(now, &instance));
                self.host
                    .with_station(index, |station, _, out| fail(station, crate::model::Fault::Crash, out));
            }
        }
        Ok(())
    }

    /// Relays to a machine that is added, where there is a relay.
    fn relay_to_machine_of(&mut self, id: ProcessId) -> Result<(), DemoError> {
        let plan = self.launcher.plan();
        if plan.relayed {
            let machine = self.launcher.machine(id);
            let (announced, real) = (plan.internal_address(machine), plan.internal_listener(machine));
            self.host.relay_to(self.launcher.machine_index(id), announced, real)?;
        }
        Ok(())
    }

    fn instance(&self, index: StationIndex) -> String {
        match self.host.station(index) {
            Station::Model(server) => server.instance(),
            Station::Application(server) => server.instance(),
            Station::Platform(_) => String::new(),
        }
    }

    fn drain_server(&mut self, index: StationIndex) -> String {
        self.host.with_station(index, |station, _, _| match station {
            Station::Model(server) => server.drain(),
            Station::Application(server) => server.drain(),
            Station::Platform(_) => {}
        });
        self.instance(index)
    }

    fn restart_server(&mut self, index: StationIndex) {
        let before = self.instance(index);
        self.host.with_station(index, |station, _, out| match station {
            Station::Model(server) => server.restart(out),
            Station::Application(server) => server.restart(out),
            Station::Platform(_) => {}
        });
        let after = self.instance(index);
        let service = self.names.model_service.clone();
        self.host.note(Observation::ServerStarted { server: after.clone(), service });
        self.host.with_platform(|platform, now| platform.rename(now, &before, &after));
    }

    /// Starts again what has ended, kills what doesn't stop, and takes retired machines away.
    fn tend_processes(&mut self, now: u64) -> Result<(), DemoError> {
        if now <= self.trouble_until || !self.stopping.is_empty() {
            let planned = now > self.trouble_until;
            self.host
                .note(Observation::Trouble { what: "a machine is down or stopping".to_owned(), planned });
        }
        let late: Vec<ProcessId> =
            self.stopping.iter().filter(|(_, at)| **at <= now).map(|(id, _)| *id).collect();
        for id in late {
            self.stopping.remove(&id);
            self.ended.push((self.launcher.name(id), "it did not stop within its grace".to_owned()));
            self.launcher.kill(id)?;
            self.acts.push((now + RESTART_MS, Act::Start(vec![id])));
        }
        for (id, status) in self.launcher.reap() {
            if self.stopping.remove(&id).is_none() {
                let log = format!("{status}\n{}", self.launcher.log_tail(id));
                self.ended.push((self.launcher.name(id), log));
            }
            self.acts.push((now + RESTART_MS, Act::Start(vec![id])));
        }
        self.remove_retired()
    }

    fn remove_retired(&mut self) -> Result<(), DemoError> {
        let retired = self.operator.borrow().retired.clone();
        for node in &retired[self.retired..] {
            for id in self.launcher.ids() {
                if self.launcher.machine(id).name == *node {
                    self.launcher.kill(id)?;
                    self.launcher.wipe(id)?;
                }
            }
        }
        self.retired = retired.len();
        Ok(())
    }

    fn platform_calls(&self) -> (u64, u64) {
        match self.host.station(0) {
            Station::Platform(platform) => (platform.calls, platform.refused),
            _ => (0, 0),
        }
    }

    fn usage(&self) -> Vec<(String, Usage)> {
        let of = |id| Some((self.launcher.name(id), self.launcher.usage(id)?));
        self.launcher.ids().into_iter().filter_map(of).collect()
    }

    fn report(mut self, options: &DemoOptions) -> Report {
        if !self.operator.borrow().read_back {
            self.auditor.observe(self.host.now(), &Observation::ConfigurationRead { document: None });
        }
        let violations = self.auditor.finish().to_vec();
        let mut report = Report {
            clients: self.clients.iter().map(|tally| tally.borrow().clone()).collect(),
            trainers: self
                .trainers
                .iter()
                .map(|(name, tally)| (name.clone(), tally.borrow().clone()))
                .collect(),
            operator: self.operator.borrow().clone(),
            violations,
            ended: std::mem::take(&mut self.ended),
            platform_calls: self.platform_calls(),
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

fn fail(station: &mut Station, fault: crate::model::Fault, out: &mut Effects) {
    match station {
        Station::Model(server) => server.fail(fault, out),
        Station::Application(server) => server.crash(out),
        Station::Platform(_) => {}
    }
}
