//! Hashes of the actions of emulators: outputs, calls and observations, field by field, each with its time.
#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddrV4;

use orchidvalve_golden::Trace;
use orchidvalve_testbed::credentials::Credentials;
use orchidvalve_testbed::directory::Directory;
use orchidvalve_testbed::effects::{
    Call, CallTag, Caller, ConnectionKey, Effects, Notice, Outcome, Output, Service,
};
use orchidvalve_testbed::http;
use orchidvalve_testbed::observation::{ItemResult, ItemSent, JobSent, Observation};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::Value;

/// Adds a text to the trace.
fn text(trace: &mut Trace, text: &str) {
    trace.add(text.as_bytes());
}

fn flag(trace: &mut Trace, flag: bool) {
    trace.add_number(u64::from(flag));
}

fn number_or_none(trace: &mut Trace, number: Option<u64>) {
    trace.add_number(number.map_or(0, |_| 1));
    trace.add_number(number.unwrap_or_default());
}

fn text_or_none(trace: &mut Trace, value: Option<&str>) {
    trace.add_number(value.map_or(0, |_| 1));
    text(trace, value.unwrap_or_default());
}

fn document(trace: &mut Trace, document: &Value) {
    text(trace, &document.to_string());
}

pub fn add_address(trace: &mut Trace, address: SocketAddrV4) {
    trace.add(&address.ip().octets());
    trace.add_number(u64::from(address.port()));
}

fn add_item(trace: &mut Trace, item: &ItemSent) {
    for part in [&item.id, &item.path, &item.reward.id, &item.reward.host, &item.reward.path] {
        text(trace, part);
    }
    for number in [item.body, item.events, item.reward.body] {
        trace.add_number(number);
    }
}

fn add_job(trace: &mut Trace, job: &JobSent) {
    text(trace, &job.job);
    text(trace, &job.host);
    trace.add_number(job.min_version);
    flag(trace, job.single_version);
    trace.add_number(job.max_attempts);
    trace.add_number(job.max_queue_ms);
    trace.add_number(job.items.len() as u64);
    add_credentials(trace, &job.credentials);
    job.items.iter().for_each(|item| add_item(trace, item));
}

fn add_result(trace: &mut Trace, result: &ItemResult) {
    for part in [&result.item, &result.state, &result.message] {
        text(trace, part);
    }
    trace.add_number(result.versions.len() as u64);
    result.versions.iter().for_each(|version| trace.add_number(*version));
    text_or_none(trace, result.score.as_deref());
}

fn add_credentials(trace: &mut Trace, credentials: &Credentials) {
    credentials
        .fields()
        .for_each(|(name, value)| [name, value].into_iter().for_each(|part| text(trace, part)));
}

/// Adds an observation: a number for its kind, and its fields.
pub fn add_observation(trace: &mut Trace, observation: &Observation) {
    add_request_observation(trace, observation);
    add_servers_observation(trace, observation);
    add_jobs_observation(trace, observation);
    add_configurations_observation(trace, observation);
    add_machines_observation(trace, observation);
}

fn add_request_observation(trace: &mut Trace, observation: &Observation) {
    match observation {
        Observation::RequestSent { id, gateway, host, method, target, body, idempotent, credentials } => {
            trace.add_number(1);
            [id, gateway, host, method, target].into_iter().for_each(|part| text(trace, part));
            trace.add_number(*body);
            flag(trace, *idempotent);
            add_credentials(trace, credentials);
        }
        Observation::ResponseReceived { id, status, signature, echoed_id, body } => {
            trace.add_number(2);
            text(trace, id);
            trace.add_number(u64::from(*status));
            text_or_none(trace, signature.as_deref());
            text_or_none(trace, echoed_id.as_deref());
            trace.add_number(*body);
        }
        Observation::MalformedResponseReceived { id } => {
            trace.add_number(3);
            text(trace, id);
        }
        Observation::RequestFailed { id, connection_lost } => {
            trace.add_number(4);
            text(trace, id);
            flag(trace, *connection_lost);
        }
        _ => {}
    }
}

fn add_servers_observation(trace: &mut Trace, observation: &Observation) {
    match observation {
        Observation::ServerStarted { server, service } => {
            trace.add_number(5);
            text(trace, server);
            text(trace, service);
        }
        Observation::ExecutionStarted {
            server,
            execution,
            id,
            method,
            target,
            body,
            after_event,
            tenant,
        } => {
            trace.add_number(6);
            [server, id, method, target].into_iter().for_each(|part| text(trace, part));
            [execution, body, after_event].into_iter().for_each(|number| trace.add_number(*number));
            tenant.iter().for_each(|tenant| text(trace, tenant));
        }
        Observation::AuthorizationReceived { server, id } => {
            trace.add_number(31);
            text(trace, server);
            text(trace, id);
        }
        Observation::RemainingBodyReceived { id, body } => {
            trace.add_number(7);
            text(trace, id);
            trace.add_number(*body);
        }
        Observation::MalformedRequestReceived { .. } => trace.add_number(8),
        Observation::EventEmitted { execution, id, event, version } => {
            trace.add_number(9);
            text(trace, id);
            [execution, event, version].into_iter().for_each(|number| trace.add_number(*number));
        }
        Observation::ResponseSent { execution, id, status, signature, body } => {
            trace.add_number(10);
            text(trace, id);
            text(trace, signature);
            [*execution, u64::from(*status), *body].into_iter().for_each(|number| trace.add_number(number));
        }
        Observation::OrderReceived { server, leader, token } => {
            trace.add_number(11);
            text(trace, server);
            text(trace, leader);
            trace.add_number(*token);
        }
        _ => {}
    }
}

fn add_jobs_observation(trace: &mut Trace, observation: &Observation) {
    match observation {
        Observation::JobSent(job) => {
            trace.add_number(12);
            add_job(trace, job);
        }
        Observation::JobSendEnded { job, status } => {
            trace.add_number(13);
            text(trace, job);
            number_or_none(trace, status.map(u64::from));
        }
        Observation::ResultsRead { job, total, after, next, results } => {
            trace.add_number(14);
            text(trace, job);
            [total, after, next].into_iter().for_each(|number| trace.add_number(*number));
            trace.add_number(results.len() as u64);
            results.iter().for_each(|result| add_result(trace, result));
        }
        Observation::JobCallDenied { job, status, credentials, sent_at } => {
            trace.add_number(32);
            text(trace, job);
            [u64::from(*status), *sent_at].into_iter().for_each(|number| trace.add_number(number));
            add_credentials(trace, credentials);
        }
        Observation::JobMissing { job, status } => {
            trace.add_number(15);
            text(trace, job);
            trace.add_number(u64::from(*status));
        }
        Observation::JobCancelSent { job } => {
            trace.add_number(16);
            text(trace, job);
        }
        Observation::JobCancelled { job } => {
            trace.add_number(17);
            text(trace, job);
        }
        Observation::ItemBody { job, item, body } => {
            trace.add_number(18);
            text(trace, job);
            text(trace, item);
            number_or_none(trace, *body);
        }
        Observation::JobUnreadable { job } => {
            trace.add_number(19);
            text(trace, job);
        }
        _ => {}
    }
}

fn add_configurations_observation(trace: &mut Trace, observation: &Observation) {
    match observation {
        Observation::ConfigurationSent { change, version, base, document: sent, valid } => {
            trace.add_number(20);
            [change, version, base].into_iter().for_each(|number| trace.add_number(*number));
            document(trace, sent);
            flag(trace, *valid);
        }
        Observation::ConfigurationSendEnded { change, status } => {
            trace.add_number(21);
            trace.add_number(*change);
            number_or_none(trace, status.map(u64::from));
        }
        Observation::ConfigurationResponseLost { change, status } => {
            trace.add_number(22);
            trace.add_number(*change);
            trace.add_number(u64::from(*status));
        }
        Observation::ConfigurationObserved { requested_at, version } => {
            trace.add_number(23);
            trace.add_number(*requested_at);
            trace.add_number(*version);
        }
        Observation::FinalConfigurationRead { document: read } => {
            trace.add_number(24);
            text_or_none(trace, read.as_ref().map(Value::to_string).as_deref());
        }
        Observation::VersionAnnounced { model, version } => {
            trace.add_number(25);
            text(trace, model);
            trace.add_number(*version);
        }
        Observation::VersionAcknowledged { model, version } => {
            trace.add_number(26);
            text(trace, model);
            trace.add_number(*version);
        }
        _ => {}
    }
}

fn add_machines_observation(trace: &mut Trace, observation: &Observation) {
    match observation {
        Observation::GatewayStopping { gateway } => {
            trace.add_number(27);
            text(trace, gateway);
        }
        Observation::ServerDraining { server } => {
            trace.add_number(28);
            text(trace, server);
        }
        Observation::ControlPlaneDisturbed => trace.add_number(29),
        Observation::Disruption { planned, .. } => {
            trace.add_number(30);
            flag(trace, *planned);
        }
        _ => {}
    }
}

fn add_notice(trace: &mut Trace, notice: &Notice) {
    match notice {
        Notice::VersionAnnounced { model, version } => {
            trace.add_number(1);
            text(trace, model);
            trace.add_number(*version);
        }
        Notice::WeightsLoaded { instance, model, version } => {
            trace.add_number(2);
            text(trace, instance);
            text(trace, model);
            trace.add_number(*version);
        }
    }
}

fn add_output(trace: &mut Trace, output: &Output) {
    match output {
        Output::Send { connection, bytes } => {
            trace.add_number(1);
            trace.add_number(connection.0);
            trace.add(bytes);
        }
        Output::Finish { connection } => {
            trace.add_number(2);
            trace.add_number(connection.0);
        }
        Output::Reset { connection } => {
            trace.add_number(3);
            trace.add_number(connection.0);
        }
    }
}

fn add_call(trace: &mut Trace, call: &Call) {
    trace.add_number(call.tag.0);
    add_address(trace, call.address);
    trace.add(&call.bytes);
    trace.add_number(call.timeout_ms);
    flag(trace, call.keep_alive);
}

/// Adds all actions of one turn.
pub fn add_effects(trace: &mut Trace, now: u64, out: &Effects) {
    trace.add_number(now);
    out.outputs.iter().for_each(|output| add_output(trace, output));
    out.calls.iter().for_each(|call| add_call(trace, call));
    out.notices.iter().for_each(|notice| add_notice(trace, notice));
    out.observations.iter().for_each(|seen| add_observation(trace, seen));
}

/// A service with connections and a clock that the test advances. All its actions are added to a trace.
pub struct RecordedService<S> {
    pub service: S,
    pub now: u64,
    pub trace: Trace,
    /// Number of connections so far; their keys start at 1.
    pub connections: u64,
}

impl<S: Service> RecordedService<S> {
    pub fn new(service: S) -> RecordedService<S> {
        RecordedService { service, now: 1_000, trace: Trace::new(), connections: 0 }
    }

    pub fn step(&mut self, step: impl FnOnce(&mut S, u64, &mut Effects)) {
        let mut out = Effects::default();
        step(&mut self.service, self.now, &mut out);
        add_effects(&mut self.trace, self.now, &out);
        self.trace.add_number(self.service.next_wake().unwrap_or(0));
    }

    /// Sends a request on a new connection.
    pub fn send(&mut self, bytes: &[u8]) {
        self.connections += 1;
        let key = ConnectionKey(self.connections);
        self.step(|service, now, out| service.connected(now, key, out));
        self.send_on(key, bytes);
    }

    pub fn send_on(&mut self, key: ConnectionKey, bytes: &[u8]) {
        let (request, _) = http::parse_request(bytes).unwrap().unwrap();
        self.step(|service, now, out| service.request(now, key, request, out));
    }

    /// Passes the head of a request to the service, and then the complete request according to the service's
    /// response.
    pub fn send_in_parts(&mut self, key: ConnectionKey, bytes: &[u8]) {
        let head = http::parse_request_head(bytes).unwrap().unwrap();
        let mut answered = false;
        self.step(|service, _, out| answered = service.request_head(key, &head, out));
        let (request, _) = http::parse_request(bytes).unwrap().unwrap();
        self.step(|service, now, out| match answered {
            true => service.remaining_body(&request, out),
            false => service.request(now, key, request, out),
        });
    }

    pub fn close(&mut self, key: ConnectionKey) {
        self.step(|service, now, out| service.closed(now, key, out));
    }

    /// Advances the clock, and wakes the service whenever it is due.
    pub fn pass(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some(at) = self.service.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.step(orchidvalve_testbed::effects::Service::wake);
        }
        self.now = end;
    }
}

/// Runs a caller until `until`. Its calls end with the outcomes that `answer` draws, after random times. Returns the
/// hash of all actions of the caller.
pub fn run_caller(
    caller: &mut dyn Caller,
    directory: &mut Directory,
    random: &mut Pcg64Mcg,
    until: u64,
    mut answer: impl FnMut(&Call, &mut Pcg64Mcg) -> Outcome,
) -> u64 {
    let mut trace = Trace::new();
    let mut outcomes: Vec<(u64, CallTag, Outcome)> = Vec::new();
    let mut now = 0;
    loop {
        let ended = outcomes.iter().map(|(at, ..)| *at).min();
        let next = caller.next_wake().into_iter().chain(ended).min();
        trace.add_number(next.unwrap_or(0));
        let Some(next) = next.filter(|at| *at < until) else { break };
        now = next.max(now + 1);
        let due: Vec<(u64, CallTag, Outcome)> = outcomes.extract_if(.., |(at, ..)| *at <= now).collect();
        let mut out = Effects::default();
        for (_, tag, outcome) in due {
            caller.call_ended(now, tag, outcome, directory, &mut out);
        }
        if caller.next_wake().is_some_and(|at| at <= now) {
            caller.wake(now, directory, &mut out);
        }
        add_effects(&mut trace, now, &out);
        for call in out.calls {
            let outcome = answer(&call, random);
            let takes = match outcome {
                Outcome::TimedOut => call.timeout_ms,
                _ => random.random_range(1..=call.timeout_ms.clamp(1, 60)),
            };
            outcomes.push((now + takes, call.tag, outcome));
        }
    }
    trace.finish()
}
