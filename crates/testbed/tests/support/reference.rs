//! A minimal correct system for a trainer: one node without replication, in virtual time. It accepts batch jobs, runs
//! their items on model servers, makes the reward calls, and lists the results. Defects can be injected.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use orchidvalve_testbed::application_server::{ApplicationServerEmulator, ApplicationServerSettings};
use orchidvalve_testbed::effects::{ConnectionKey, Effects, ModelVersion, Notice, Output, Service};
use orchidvalve_testbed::http::{self, Headers, Request, Response};
use orchidvalve_testbed::model_server::{ModelServerEmulator, ModelServerSettings};
use orchidvalve_testbed::observation::Observation;
use serde_json::{Value, json};

const SLOTS: usize = 8;

/// A defect of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    None,
    /// A result is listed a second time.
    ListTwice,
    /// Results that were read once are lost.
    ForgetResults,
    /// Accepted batch jobs are lost.
    ForgetJobs,
    /// A broken stream is resumed one event too late.
    SkipEvent,
    /// A broken stream is restarted from the beginning, and its first events are kept.
    RepeatEvent,
    /// Only the first version of an item is reported.
    DropVersions,
    /// Items are run under versions that are too old.
    IgnoreMinVersion,
    /// The reward call is made before the text is complete.
    EarlyReward,
    /// The bodies of items are changed.
    ChangeBody,
    /// Cancelled batch jobs keep running.
    IgnoreEnd,
    /// Rejected batch jobs are run.
    RunRefused,
    /// Two leaders use the same fencing token.
    ShareToken,
}

struct Item {
    id: String,
    request: Value,
    text: Vec<String>,
    versions: BTreeSet<u64>,
    /// Number of failed attempts.
    failures: u64,
    done: bool,
}

struct Job {
    host: String,
    min_version: u64,
    model: String,
    items: Vec<Item>,
    results: Vec<Value>,
    /// Whether the system responds as if the batch job did not exist.
    forgotten: bool,
}

#[derive(Clone)]
enum Stage {
    Text,
    Reward,
}

struct Task {
    job: String,
    item: usize,
    stage: Stage,
    server: usize,
    bytes: Vec<u8>,
}

/// The minimal system with the servers that it uses.
pub struct Reference {
    pub models: Vec<ModelServerEmulator>,
    applications: Vec<ApplicationServerEmulator>,
    jobs: BTreeMap<String, Job>,
    tasks: BTreeMap<ConnectionKey, Task>,
    waiting: VecDeque<(String, usize, Stage)>,
    next_key: ConnectionKey,
    versions: BTreeMap<String, u64>,
    defect: Defect,
    /// Method of the orders to load weights.
    pub method: &'static str,
    /// Number of submissions that are rejected first.
    pub refusals: u64,
    pub observations: Vec<Observation>,
}

fn model_server(index: u64, event_ms: u64) -> ModelServerEmulator {
    let settings = ModelServerSettings {
        instance: format!("m{index}"),
        models: vec![ModelVersion::new("alpha", 1)],
        slots: SLOTS,
        queue: SLOTS,
        max_connections: 200,
        health_path: "/health".to_owned(),
        event_ms: event_ms + index,
        prefill_tokens_per_ms: 300,
        stride: 50,
        kv_capacity: 40_000,
        load_ms: 200,
        fencing_enforced: false,
    };
    ModelServerEmulator::new(index, settings)
}

fn application_server(index: u64, failures_per_10_000: u64) -> ApplicationServerEmulator {
    let settings = ApplicationServerSettings {
        instance: format!("a{index}"),
        slots: SLOTS,
        queue: SLOTS * 100,
        max_connections: 500,
        health_path: "/health".to_owned(),
        work_ms: 2..=20,
        response_bytes: 100,
        failures_per_10_000,
        seed: 5,
    };
    ApplicationServerEmulator::new(index, settings)
}

impl Reference {
    /// Returns a system with its servers. `event_ms` is the interval between events, and `failures_per_10_000` the
    /// number of reward calls out of 10,000 that fail.
    pub fn new(defect: Defect, event_ms: u64, failures_per_10_000: u64) -> Reference {
        let (jobs, tasks, waiting, versions, observations) = Default::default();
        Reference {
            models: (1..=3).map(|index| model_server(index, event_ms)).collect(),
            applications: (11..=12).map(|index| application_server(index, failures_per_10_000)).collect(),
            jobs,
            tasks,
            waiting,
            next_key: ConnectionKey(1),
            versions,
            defect,
            method: "wait",
            refusals: 0,
            observations,
        }
    }

    /// Returns the ids of the servers with their services.
    pub fn servers(&self) -> Vec<(String, String)> {
        let models = self.models.iter().map(|server| (server.instance(), "models".to_owned()));
        models.chain(self.applications.iter().map(|server| (server.instance(), "apps".to_owned()))).collect()
    }

    /// Responds to a call.
    pub fn call(&mut self, now: u64, request: &Request) -> Option<Response> {
        let parts: Vec<&str> = request.path().split('/').skip(1).collect();
        let (status, body) = match (request.method.as_str(), parts.as_slice()) {
            ("POST", ["v1", "version-put"]) => self.put_version(now, &request.body),
            ("GET", ["v1", "lots", id]) => self.read(id, request),
            ("DELETE", ["v1", "lots", id]) => self.end(now, id),
            ("GET", ["v1", "items", id]) => self.item_body(id, request),
            ("POST", _) => self.submit(request),
            _ => (404, Vec::new()),
        };
        self.dispatch(now);
        Some(Response { status, headers: Headers::default(), body })
    }

    fn put_version(&mut self, now: u64, body: &[u8]) -> (u16, Vec<u8>) {
        let value: Value = serde_json::from_slice(body).unwrap();
        let (model, version) = (value["model"].as_str().unwrap(), value["config-version"].as_u64().unwrap());
        self.versions.insert(model.to_owned(), version);
        self.order_versions(now);
        (200, Vec::new())
    }

    /// Orders every server that is not at the latest version to load it.
    fn order_versions(&mut self, now: u64) {
        for (model, version) in self.versions.clone() {
            // A server that receives no order keeps its old version.
            let left_out = usize::from(self.defect == Defect::IgnoreMinVersion);
            for server in left_out..self.models.len() {
                if self.models[server].version(&model).is_some_and(|held| held < version) {
                    self.order(now, server, &model, version);
                }
            }
        }
    }

    fn order(&mut self, now: u64, server: usize, model: &str, version: u64) {
        let holder = match self.defect {
            Defect::ShareToken if version % 2 == 1 => "node-2",
            _ => "node-1",
        };
        let body = json!({"operation": "config-version", "model": model, "config-version": version,
                          "method": self.method, "holder": holder, "fence-token": 7});
        let bytes = http::request("POST", "/v1/order", "m", &[], body.to_string().as_bytes());
        let key = self.connect(now, server, true);
        self.send(now, key, server, true, &bytes);
    }

    fn submit(&mut self, request: &Request) -> (u16, Vec<u8>) {
        let id = request.headers.get("Attempt-Id").unwrap().to_owned();
        let refused = self.refusals > 0;
        self.refusals = self.refusals.saturating_sub(1);
        if refused && self.defect != Defect::RunRefused {
            return (503, Vec::new());
        }
        if !self.jobs.contains_key(&id) {
            self.take(&id, request);
        }
        (if refused { 503 } else { 202 }, Vec::new())
    }

    fn take(&mut self, id: &str, request: &Request) {
        let value: Value = serde_json::from_slice(&request.body).unwrap();
        let items: Vec<Item> = value["requests"]
            .as_array()
            .unwrap()
            .iter()
            .map(|request| Item {
                id: request["instance-id"].as_str().unwrap().to_owned(),
                request: request.clone(),
                text: Vec::new(),
                versions: BTreeSet::new(),
                failures: 0,
                done: false,
            })
            .collect();
        self.waiting.extend((0..items.len()).map(|item| (id.to_owned(), item, Stage::Text)));
        let job = Job {
            host: request.headers.get("Host").unwrap().to_owned(),
            min_version: value["min-weights-version"].as_u64().unwrap(),
            model: value["model"].as_str().unwrap().to_owned(),
            items,
            results: Vec::new(),
            forgotten: false,
        };
        self.jobs.insert(id.to_owned(), job);
    }

    fn read(&mut self, id: &str, request: &Request) -> (u16, Vec<u8>) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.forgotten) else { return (404, Vec::new()) };
        let after: usize = request.query("after-seq").unwrap().parse().unwrap();
        let results = job.results.get(after..).unwrap_or_default().to_vec();
        let body = json!({"total": job.items.len(), "next-token": after + results.len(), "results": results});
        if self.defect == Defect::ForgetResults && !results.is_empty() {
            job.results.clear();
        }
        if self.defect == Defect::ForgetJobs && job.results.len() > 3 {
            job.forgotten = true;
        }
        (200, body.to_string().into_bytes())
    }

    fn end(&mut self, now: u64, id: &str) -> (u16, Vec<u8>) {
        if self.jobs.get(id).is_none_or(|job| job.forgotten) {
            return (404, Vec::new());
        }
        if self.defect == Defect::IgnoreEnd {
            return (200, Vec::new());
        }
        self.waiting.retain(|(job, ..)| job != id);
        let keys: Vec<ConnectionKey> =
            self.tasks.iter().filter(|(_, task)| task.job == id).map(|(key, _)| *key).collect();
        for key in keys {
            if let Some(task) = self.tasks.remove(&key) {
                let mut out = Effects::default();
                self.service(task.server, matches!(task.stage, Stage::Text)).closed(now, key, &mut out);
                self.apply(now, out);
            }
        }
        (200, Vec::new())
    }

    fn item_body(&self, id: &str, request: &Request) -> (u16, Vec<u8>) {
        let wanted = request.query("instance-id").unwrap();
        let item =
            self.jobs.get(id).and_then(|job| job.items.iter().find(|item| item.id == wanted && !item.done));
        let Some(item) = item else { return (404, Vec::new()) };
        let mut body = STANDARD.decode(item.request["body"].as_str().unwrap()).unwrap();
        if self.defect == Defect::ChangeBody {
            body[0] ^= 1;
        }
        (200, body)
    }

    fn service(&mut self, server: usize, is_model: bool) -> &mut dyn Service {
        if is_model { &mut self.models[server] } else { &mut self.applications[server] }
    }

    fn connect(&mut self, now: u64, server: usize, is_model: bool) -> ConnectionKey {
        let key = self.next_key;
        self.next_key = key.next();
        let mut out = Effects::default();
        self.service(server, is_model).connected(now, key, &mut out);
        self.apply(now, out);
        key
    }

    fn send(&mut self, now: u64, key: ConnectionKey, server: usize, is_model: bool, bytes: &[u8]) {
        let (request, _) = http::parse_request(bytes).unwrap().unwrap();
        let mut out = Effects::default();
        self.service(server, is_model).request(now, key, request, &mut out);
        self.apply(now, out);
    }

    /// Starts pending tasks on servers with free slots.
    fn dispatch(&mut self, now: u64) {
        let room = SLOTS * (self.models.len() + self.applications.len());
        for _ in 0..self.waiting.len() {
            if self.tasks.len() >= room {
                return;
            }
            let Some((job, item, stage)) = self.waiting.pop_front() else { return };
            match self.pick_server(&job, &stage) {
                Some(server) => self.start(now, job, item, stage, server),
                None => self.waiting.push_back((job, item, stage)),
            }
        }
    }

    fn pick_server(&self, job: &str, stage: &Stage) -> Option<usize> {
        let job = &self.jobs[job];
        let is_text = |task: &&Task| matches!(task.stage, Stage::Text);
        let is_model = matches!(stage, Stage::Text);
        let load = |server: usize| {
            self.tasks.values().filter(|task| is_text(task) == is_model && task.server == server).count()
        };
        let fits = |server: &usize| {
            let version = self.models[*server].version(&job.model).unwrap_or(0);
            version >= job.min_version || self.defect == Defect::IgnoreMinVersion
        };
        let count = if is_model { self.models.len() } else { self.applications.len() };
        (0..count)
            .filter(|server| !is_model || fits(server))
            .map(|server| (load(server), server))
            .filter(|(load, _)| *load < SLOTS)
            .min()
            .map(|(_, server)| server)
    }

    fn start(&mut self, now: u64, job: String, item: usize, stage: Stage, server: usize) {
        let is_model = matches!(stage, Stage::Text);
        let bytes = match stage {
            Stage::Text => self.text_request(&job, item),
            Stage::Reward => self.reward_request(&job, item),
        };
        let key = self.connect(now, server, is_model);
        self.tasks.insert(key, Task { job, item, stage, server, bytes: Vec::new() });
        self.send(now, key, server, is_model, &bytes);
    }

    fn text_request(&mut self, job: &str, index: usize) -> Vec<u8> {
        let job = &self.jobs[job];
        let item = &job.items[index];
        let mut fields: Vec<(&str, &str)> = vec![("Attempt-Id", &item.id)];
        let headers = item.request["headers"].as_object().unwrap();
        fields.extend(headers.iter().map(|(name, value)| (name.as_str(), value.as_str().unwrap())));
        let after = (item.text.len() + usize::from(self.defect == Defect::SkipEvent)).to_string();
        if !item.text.is_empty() && self.defect != Defect::RepeatEvent {
            fields.push(("Last-Event-Id", &after));
        }
        let body = STANDARD.decode(item.request["body"].as_str().unwrap()).unwrap();
        http::request("POST", item.request["path"].as_str().unwrap(), &job.host, &fields, &body)
    }

    fn reward_request(&self, job: &str, index: usize) -> Vec<u8> {
        let reward = &self.jobs[job].items[index].request["scorer-url"];
        let field = |name: &str| reward[name].as_str().unwrap();
        let body = STANDARD.decode(field("body")).unwrap();
        let fields = [("Attempt-Id", field("instance-id"))];
        http::request("POST", field("path"), field("hostname"), &fields, &body)
    }

    fn apply(&mut self, now: u64, out: Effects) {
        self.observations.extend(out.observations);
        for output in out.outputs {
            match output {
                Output::Send { connection, bytes } => self.received(now, connection, &bytes),
                Output::Reset { connection } => self.was_reset(connection),
                Output::Finish { .. } => {}
            }
        }
        if out.notices.iter().any(|notice| matches!(notice, Notice::WeightsLoaded { .. })) {
            self.order_versions(now);
        }
    }

    fn received(&mut self, now: u64, key: ConnectionKey, bytes: &[u8]) {
        let Some(task) = self.tasks.get_mut(&key) else { return };
        task.bytes.extend_from_slice(bytes);
        let Some((response, _)) = http::parse_response(&task.bytes, false).unwrap() else {
            return self.maybe_early_reward(now, key);
        };
        let Some(task) = self.tasks.remove(&key) else { return };
        let is_model = matches!(task.stage, Stage::Text);
        match task.stage {
            Stage::Text if response.status == 200 => self.text_received(&task, &response),
            Stage::Reward if response.status == 200 => self.reward_received(&task, &response),
            stage => self.failed(task.job, task.item, stage, response.status),
        }
        let mut out = Effects::default();
        self.service(task.server, is_model).closed(now, key, &mut out);
        self.apply(now, out);
    }

    fn maybe_early_reward(&mut self, now: u64, key: ConnectionKey) {
        let Some(task) = self.tasks.get(&key).filter(|_| self.defect == Defect::EarlyReward) else {
            return;
        };
        if matches!(task.stage, Stage::Text)
            && task.bytes.windows(6).filter(|part| part == b"data: ").count() == 1
        {
            let (job, item) = (task.job.clone(), task.item);
            self.start(now, job, item, Stage::Reward, 0);
        }
    }

    fn failed(&mut self, job: String, item: usize, stage: Stage, status: u16) {
        let failures = &mut self.jobs.get_mut(&job).unwrap().items[item].failures;
        *failures += u64::from(status == 500);
        if *failures < 3 {
            self.waiting.push_back((job, item, stage));
        } else {
            self.list(&job, item, json!({"state": "expired", "message": "", "weight-versions": []}));
        }
    }

    /// Records the events of a stream.
    fn record_events(&mut self, task: &Task, response: &Response) {
        let item = &mut self.jobs.get_mut(&task.job).unwrap().items[task.item];
        let mut version = response.headers.number("Weight-Versions").unwrap();
        let body = String::from_utf8(response.body.clone()).unwrap();
        for line in body.lines() {
            if let Some(changed) = line.strip_prefix("weight-versions: ") {
                version = changed.parse().unwrap();
            } else if let Some(data) = line.strip_prefix("data: ") {
                item.text.push(data.to_owned());
                if self.defect != Defect::DropVersions || item.versions.is_empty() {
                    item.versions.insert(version);
                }
            }
        }
    }

    fn text_received(&mut self, task: &Task, response: &Response) {
        self.record_events(task, response);
        if self.defect != Defect::EarlyReward {
            self.waiting.push_back((task.job.clone(), task.item, Stage::Reward));
        }
    }

    fn reward_received(&mut self, task: &Task, response: &Response) {
        let item = &self.jobs[&task.job].items[task.item];
        let score = response.headers.get("Server-Signature").unwrap();
        let result = json!({"state": "completed", "message": item.text.join("\n"),
                            "weight-versions": item.versions, "score": score});
        self.list(&task.job, task.item, result);
    }

    fn list(&mut self, job: &str, index: usize, mut result: Value) {
        let job = self.jobs.get_mut(job).unwrap();
        let item = &mut job.items[index];
        item.done = true;
        result["instance-id"] = json!(item.id);
        job.results.push(result.clone());
        if self.defect == Defect::ListTwice && job.results.len() == 2 {
            job.results.push(result);
        }
    }

    /// Keeps the events received before a reset, and requests the rest.
    fn was_reset(&mut self, key: ConnectionKey) {
        let Some(mut task) = self.tasks.remove(&key) else { return };
        task.bytes.extend_from_slice(b"0\r\n\r\n");
        if matches!(task.stage, Stage::Text)
            && let Ok(Some((response, _))) = http::parse_response(&task.bytes, false)
        {
            self.record_events(&task, &response);
        }
        self.waiting.push_back((task.job, task.item, task.stage));
    }

    pub fn wake(&mut self, now: u64) {
        for is_model in [true, false] {
            let count = if is_model { self.models.len() } else { self.applications.len() };
            for server in 0..count {
                let service = self.service(server, is_model);
                if service.next_wake().is_some_and(|at| at <= now) {
                    let mut out = Effects::default();
                    service.wake(now, &mut out);
                    self.apply(now, out);
                }
            }
        }
        self.dispatch(now);
    }

    pub fn next_wake(&self) -> Option<u64> {
        let models = self.models.iter().filter_map(Service::next_wake);
        models.chain(self.applications.iter().filter_map(Service::next_wake)).min()
    }
}
