//! Test harness for the runner of generations with simulated servers and manually controlled time.

#![allow(dead_code)]

pub mod scenario;

use std::sync::Arc;

use orchidvalve_data_plane::exchanges::{generation_bytes, reward_bytes};
use orchidvalve_data_plane::generations::{
    Assignment, AttemptId, AttemptOutcome, GroupId, Item, ItemResult, ModelVersion, RewardCallId,
    RewardOutcome, RewardRoute, RouteSettings, Routes, Runner, RunnerCommand, Scorer, ServerInfo, ServerKey,
};
use orchidvalve_golden::Trace;
use rand_pcg::Pcg64Mcg;

pub const TARGET_MS: u64 = 8_000;
pub const MAX_ATTEMPTS: u32 = 2;
pub const EXPIRES_AT: u64 = 100_000;
pub const REWARD_TARGET_MS: u64 = 100;
pub const MINIMUM: u64 = 6;

struct TestRoutes(bool);

impl Routes for TestRoutes {
    fn reward_route(&self, hostname: &str, _: &str, _: u64) -> Option<RewardRoute> {
        let service = "scoring".into();
        let route = RewardRoute { service, target_latency_ms: REWARD_TARGET_MS, max_attempts: MAX_ATTEMPTS };
        (self.0 && hostname == "scorer.example").then_some(route)
    }
}

pub fn routes(known: bool) -> Arc<dyn Routes> {
    Arc::new(TestRoutes(known))
}

/// An attempt that was sent to a server.
#[derive(Clone, Debug)]
pub struct Attempted {
    pub id: AttemptId,
    pub server: ServerKey,
    pub item: String,
    pub last_event_id: Option<u64>,
    pub expect_version: Option<u64>,
}

/// A reward call that was sent to a server.
#[derive(Clone, Debug)]
pub struct RewardAttempt {
    pub call: RewardCallId,
    pub server: ServerKey,
}

pub struct Gateway {
    pub runner: Runner,
    pub now: u64,
    pub attempts: Vec<Attempted>,
    pub rewards: Vec<RewardAttempt>,
    pub cancelled: Vec<AttemptId>,
    pub reports: Vec<(String, ItemResult)>,
    pub report_groups: Vec<GroupId>,
    /// The failures reported to the store node.
    pub failures: Vec<(String, u32)>,
    /// Servers whose idle connections were closed.
    pub idle_closed: Vec<ServerKey>,
    /// All commands of the runner, encoded, with their times.
    pub trace: Trace,
    out: Vec<RunnerCommand>,
}

impl Gateway {
    /// Creates a gateway with a model server of one slot for each of these versions, and two scoring servers, 100 and
    /// 101.
    pub fn new(versions: &[u64]) -> Self {
        let runner = Runner::new(Pcg64Mcg::new(5), 1.0, routes(true));
        let (attempts, rewards, cancelled) = Default::default();
        let (reports, report_groups, failures, idle_closed, trace, out) = Default::default();
        let mut gateway = Self {
            runner,
            now: 1_000,
            attempts,
            rewards,
            cancelled,
            reports,
            report_groups,
            failures,
            idle_closed,
            trace,
            out,
        };
        for (key, version) in versions.iter().enumerate() {
            gateway.runner.set_server(&server(key as u32, *version));
        }
        for key in [100, 101] {
            gateway.runner.set_server(&ServerInfo {
                service: "scoring".into(),
                models: vec![],
                slots: 2,
                ..server(key, 0)
            });
        }
        gateway
    }

    pub fn assign(&mut self, assignment: Assignment) {
        self.runner.assign(assignment, &mut self.out);
        self.tick();
    }

    pub fn tick(&mut self) {
        self.process_commands();
        self.runner.tick(self.now, &mut self.out);
        self.process_commands();
    }

    /// Advances the time, stopping at each wake-up of the runner.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some(at) = self.runner.next_wakeup().filter(|at| *at <= end) {
            assert!(at >= self.now, "a wake-up in the past would be a busy loop");
            let before = (self.now, self.runner.next_wakeup());
            self.now = at;
            self.tick();
            assert_ne!(before, (self.now, self.runner.next_wakeup()), "the same wake-up is repeated");
        }
        self.now = end;
        self.tick();
    }

    pub fn started(&mut self, attempt: &Attempted, version: u64) {
        self.runner.stream_started(attempt.id, Some(version), &mut self.out);
        self.tick();
    }

    pub fn event(&mut self, attempt: &Attempted, id: u64, data: &str, version: Option<u64>) {
        self.now += 10;
        self.runner.event_received(self.now, attempt.id, id, data.as_bytes(), version, &mut self.out);
        self.tick();
    }

    pub fn events(&mut self, attempt: &Attempted, ids: std::ops::RangeInclusive<u64>) {
        ids.for_each(|id| self.event(attempt, id, &format!("e{id}"), None));
    }

    pub fn ended(&mut self, attempt: &Attempted, outcome: AttemptOutcome) {
        self.runner.attempt_ended(self.now, attempt.id, outcome, &mut self.out);
        self.tick();
    }

    pub fn status(&mut self, attempt: &Attempted, code: u16) {
        self.ended(attempt, status(code));
    }

    pub fn reward_ended(&mut self, attempt: &RewardAttempt, outcome: RewardOutcome) {
        self.runner.reward_ended(self.now, attempt.call, outcome, &mut self.out);
        self.tick();
    }

    pub fn reward_status(&mut self, attempt: &RewardAttempt, code: u16) {
        let signature = Some(format!("stamp-{code}").into());
        self.reward_ended(attempt, RewardOutcome::Response { code, signature, retry_after_ms: None });
    }

    /// Calls the runner and handles its commands without a tick.
    pub fn with_runner(&mut self, call: impl FnOnce(&mut Runner, &mut Vec<RunnerCommand>)) {
        call(&mut self.runner, &mut self.out);
        self.process_commands();
    }

    /// Returns the latest attempt.
    pub fn last(&self) -> Attempted {
        self.attempts.last().cloned().expect("something was sent")
    }

    pub fn last_reward(&self) -> RewardAttempt {
        self.rewards.last().cloned().expect("a reward call was sent")
    }

    /// Returns the only result so far.
    pub fn result(&self) -> &ItemResult {
        assert_eq!(self.reports.len(), 1, "one report: {:?}", self.reports);
        &self.reports[0].1
    }

    fn process_commands(&mut self) {
        for command in std::mem::take(&mut self.out) {
            self.trace.add_number(self.now);
            trace_command(&mut self.trace, &command);
            match command {
                RunnerCommand::Attempt { attempt, server, item, last_event_id, expect_version, .. } => {
                    let item = item.id.to_string();
                    self.attempts.push(Attempted {
                        id: attempt,
                        server,
                        item,
                        last_event_id,
                        expect_version,
                    });
                }
                RunnerCommand::CancelAttempt { attempt } => self.cancelled.push(attempt),
                RunnerCommand::CallReward { call, server, .. } => {
                    self.rewards.push(RewardAttempt { call, server });
                }
                RunnerCommand::CancelReward { .. } => {}
                RunnerCommand::ReportFailures { item, failures, .. } => {
                    self.failures.push((item.to_string(), failures));
                }
                RunnerCommand::CloseIdleConnections { server } => self.idle_closed.push(server),
                RunnerCommand::Report { group, item, result } => {
                    self.reports.push((item.to_string(), result));
                    self.report_groups.push(group);
                }
            }
        }
    }
}

/// Adds a command to the trace: numbers, and the bytes sent to a server or a store node.
fn trace_command(trace: &mut Trace, command: &RunnerCommand) {
    match command {
        RunnerCommand::Attempt {
            attempt,
            server,
            item,
            route,
            last_event_id,
            expect_version,
            deadline_ms,
        } => {
            let instance = format!("i-{}", server.0);
            [1, attempt.0, u64::from(server.0)].into_iter().for_each(|number| trace.add_number(number));
            trace.add(&generation_bytes(
                item,
                route,
                &instance,
                *last_event_id,
                *expect_version,
                *deadline_ms,
            ));
        }
        RunnerCommand::CancelAttempt { attempt } => {
            [2, attempt.0].into_iter().for_each(|number| trace.add_number(number));
        }
        RunnerCommand::CloseIdleConnections { server } => {
            [3, u64::from(server.0)].into_iter().for_each(|number| trace.add_number(number));
        }
        RunnerCommand::CallReward { call, server, item, deadline_ms } => {
            [4, call.0, u64::from(server.0)].into_iter().for_each(|number| trace.add_number(number));
            trace.add(&reward_bytes(item, &format!("i-{}", server.0), *deadline_ms));
        }
        RunnerCommand::CancelReward { call } => {
            [5, call.0].into_iter().for_each(|number| trace.add_number(number));
        }
        RunnerCommand::ReportFailures { group, item, failures } => {
            [7, group.group.into(), (*failures).into()]
                .into_iter()
                .for_each(|number| trace.add_number(number));
            trace.add(item.as_bytes());
        }
        RunnerCommand::Report { group, item, result } => {
            let numbers = [6, group.partition.into(), group.epoch, group.group.into()];
            numbers.into_iter().for_each(|number| trace.add_number(number));
            trace.add(group.job.as_bytes());
            trace.add(item.as_bytes());
            match result {
                ItemResult::Completed { message, weight_versions, score } => {
                    trace.add_number(1);
                    trace.add(message);
                    trace.add_number(weight_versions.len() as u64);
                    weight_versions.iter().for_each(|version| trace.add_number(*version));
                    trace.add_number(score.is_some().into());
                    trace.add(score.as_deref().unwrap_or_default().as_bytes());
                }
                ItemResult::Expired => trace.add_number(2),
            }
        }
    }
}

pub fn status(code: u16) -> AttemptOutcome {
    AttemptOutcome::Status { code, not_executed: false, retry_after_ms: None, version: None }
}

pub fn server(key: u32, version: u64) -> ServerInfo {
    ServerInfo {
        key: ServerKey(key),
        service: "tokens".into(),
        same_zone: false,
        slots: 1,
        queued: 0,
        limit: None,
        models: vec![ModelVersion { model: "model".into(), version }],
        draining: false,
    }
}

pub fn route_settings(single_version: bool) -> Arc<RouteSettings> {
    Arc::new(RouteSettings {
        id: "route".into(),
        host: "rollout.example".into(),
        service: "tokens".into(),
        target_run_ms: TARGET_MS,
        max_attempts: MAX_ATTEMPTS,
        single_version,
        has_tenants: false,
    })
}

pub fn item(id: &str, scored: bool) -> Item {
    let scorer = Scorer {
        id: "reward".into(),
        hostname: "scorer.example".into(),
        path: "/score".into(),
        body: Arc::from(&b"score"[..]),
    };
    Item {
        id: id.into(),
        path: "/generate".into(),
        headers: vec![],
        body: Arc::from(&b"prompt"[..]),
        token_usage: 10,
        scorer: scored.then_some(scorer),
        tenant: None,
    }
}

/// Returns a group of a batch job with a minimum version and without reward calls.
pub fn group(job: &str, group: u32, items: &[&str]) -> Assignment {
    Assignment {
        id: GroupId { partition: 3, epoch: 1, job: job.into(), group },
        route: route_settings(false),
        model: Some("model".into()),
        min_weights_version: Some(MINIMUM),
        due_at: 9_000,
        expires_at: EXPIRES_AT,
        items: items.iter().map(|id| item(id, false)).collect(),
    }
}

pub fn scored(mut assignment: Assignment) -> Assignment {
    assignment.items.iter_mut().for_each(|state| *state = item(&state.id, true));
    assignment
}

pub fn single_version(mut assignment: Assignment) -> Assignment {
    assignment.route = route_settings(true);
    assignment
}

pub fn completed(message: &str, versions: &[u64], score: Option<&str>) -> ItemResult {
    ItemResult::Completed {
        message: message.into(),
        weight_versions: versions.to_vec(),
        score: score.map(Into::into),
    }
}
