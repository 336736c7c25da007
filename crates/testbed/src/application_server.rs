//! Emulator of a plain application server, which responds to a request after a random time.

use std::borrow::Cow;
use std::collections::VecDeque;
use std::ops::RangeInclusive;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::effects::{ConnectionKey, Effects, Service};
use crate::http::Request;
use crate::observation::Observation;
use crate::server_fault::ServerFault;
use crate::server_frontend::{Load, ServerFrontend};
use crate::synthetic_text;

/// Denominator of the fraction of failing requests.
const FAILURE_DENOMINATOR: u64 = 10_000;

/// Settings of an emulated application server.
#[derive(Clone, Debug)]
pub struct ApplicationServerSettings {
    /// Id of the first incarnation.
    pub instance: String,
    /// Maximum number of concurrent requests.
    pub slots: usize,
    /// Maximum number of requests in the queue.
    pub queue: usize,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Path of health checks.
    pub health_path: String,
    /// Range of the service time, in milliseconds.
    pub work_ms: RangeInclusive<u64>,
    /// Size of a response body, in bytes.
    pub response_bytes: usize,
    /// Number of requests out of 10,000 that fail. The same requests fail at every server.
    pub failures_per_10_000: u64,
    /// Seed of the service times.
    pub seed: u64,
}

#[derive(Clone, Debug)]
struct QueuedRequest {
    connection: ConnectionKey,
    id: String,
    request: Request,
    deadline: Option<u64>,
}

#[derive(Clone, Debug)]
struct Execution {
    queued: QueuedRequest,
    number: u64,
    done_at: u64,
}

/// Emulator of an application server.
#[derive(Debug)]
pub struct ApplicationServerEmulator {
    settings: ApplicationServerSettings,
    frontend: ServerFrontend,
    queue: VecDeque<QueuedRequest>,
    running: Vec<Execution>,
    crashed: bool,
    early_responses: bool,
    random: Pcg64Mcg,
}

impl ApplicationServerEmulator {
    /// Returns a server with the number `index` among all servers.
    pub fn new(index: u64, settings: ApplicationServerSettings) -> ApplicationServerEmulator {
        ApplicationServerEmulator {
            frontend: ServerFrontend::new(
                index,
                settings.instance.clone(),
                settings.max_connections,
                settings.health_path.clone(),
            ),
            queue: VecDeque::new(),
            running: Vec::new(),
            crashed: false,
            early_responses: false,
            random: Pcg64Mcg::seed_from_u64(settings.seed ^ index),
            settings,
        }
    }

    /// Returns the id of the current incarnation.
    pub fn instance(&self) -> String {
        self.frontend.instance()
    }

    /// Makes health checks fail from now on.
    pub fn drain(&mut self) {
        self.frontend.drain();
    }

    /// Stops the server. Every connection is reset until [`ApplicationServerEmulator::restart`].
    pub fn crash(&mut self, out: &mut Effects) {
        self.crashed = true;
        self.frontend.reset_all(out);
        self.queue.clear();
        self.running.clear();
    }

    /// Injects a fault. Faults that do not apply to application servers have no effect.
    pub fn inject(&mut self, fault: ServerFault, out: &mut Effects) {
        match fault {
            ServerFault::Crash => self.crash(out),
            ServerFault::DuplicateResponses => self.frontend.duplicate_responses = true,
            ServerFault::EarlyResponse => self.early_responses = true,
            ServerFault::Unresponsive
            | ServerFault::Slowdown(_)
            | ServerFault::BreakStream { .. }
            | ServerFault::MalformedResponse => {}
        }
    }

    /// Ends all faults except a crash.
    pub fn clear_faults(&mut self) {
        self.frontend.duplicate_responses = false;
        self.early_responses = false;
    }

    /// Restarts the server as a new incarnation.
    pub fn restart(&mut self, out: &mut Effects) {
        self.crash(out);
        self.crashed = false;
        self.frontend.begin_incarnation();
    }

    /// Returns the body of the response to a request, which is the same at all servers.
    pub fn response_body(id: &str, bytes: usize) -> Vec<u8> {
        synthetic_text::event_data(id, 0).into_bytes().into_iter().cycle().take(bytes).collect()
    }

    fn load(&self) -> Load {
        Load { running: self.running.len(), queued: self.queue.len(), slots: self.settings.slots }
    }

    fn reject(&self, connection: ConnectionKey, status: u16, id: &str, out: &mut Effects) {
        self.frontend.reject(connection, status, self.load(), id, out);
    }

    /// Starts queued requests in free slots, in the order of their arrival.
    fn admit_queued(&mut self, now: u64, out: &mut Effects) {
        while self.running.len() < self.settings.slots {
            let Some(queued) = self.queue.pop_front() else { return };
            if queued.deadline.is_some_and(|deadline| deadline <= now) {
                self.reject(queued.connection, 503, &queued.id, out);
                continue;
            }
            let number = self.frontend.next_execution();
            out.observations.push(Observation::ExecutionStarted {
                server: self.instance(),
                execution: number,
                id: queued.id.clone(),
                method: queued.request.method.clone(),
                target: queued.request.target.clone(),
                body: synthetic_text::digest(&queued.request.body),
                after_event: 0,
                tenant: queued.request.headers.combined("Tenant"),
            });
            if let Some(tenant) = queued.request.headers.get("Tenant") {
                out.observations.push(Observation::TenantRequestStarted {
                    id: queued.id.clone(),
                    tenant: tenant.to_owned(),
                    is_stream: false,
                });
            }
            let work_ms = self.random.random_range(self.settings.work_ms.clone());
            self.running.push(Execution { queued, number, done_at: now + work_ms });
        }
    }

    fn finish(&self, now: u64, execution: &Execution, out: &mut Effects) {
        let id = &execution.queued.id;
        let id_digest = synthetic_text::digest(id.as_bytes());
        let fails = id_digest % FAILURE_DENOMINATOR < self.settings.failures_per_10_000;
        let late = execution.queued.deadline.is_some_and(|deadline| deadline < now);
        let status = match (late, fails) {
            (true, _) => 504,
            (_, true) => 500,
            _ => 200,
        };
        let body =
            if status == 200 { Self::response_body(id, self.settings.response_bytes) } else { Vec::new() };
        let signature = format!("{:08x}.{:x}.{status}", id_digest >> 32, execution.number);
        out.observations.push(Observation::ResponseSent {
            execution: execution.number,
            id: id.clone(),
            status,
            signature: signature.clone(),
            body: synthetic_text::digest(&body),
        });
        let fields = [("Attempt-Id", Cow::from(id)), ("Server-Signature", Cow::from(signature))];
        self.frontend.respond(execution.queued.connection, status, self.load(), &fields, &body, out);
    }
}

impl Service for ApplicationServerEmulator {
    fn connected(&mut self, _now: u64, connection: ConnectionKey, out: &mut Effects) {
        if self.crashed {
            out.reset(connection);
        } else {
            self.frontend.accept(connection, out);
        }
    }

    fn request(&mut self, now: u64, connection: ConnectionKey, request: Request, out: &mut Effects) {
        if !self.frontend.is_open(connection) {
            return;
        }
        self.frontend.observe_authorization(&request, out);
        let id = request.headers.get("Attempt-Id").unwrap_or_default().to_owned();
        if self.frontend.is_misdirected(&request) {
            return self.reject(connection, 421, &id, out);
        }
        if self.frontend.is_health_check(&request) {
            return self.frontend.respond_health(connection, self.load(), out);
        }
        if id.is_empty() {
            return self.reject(connection, 400, &id, out);
        }
        if self.queue.len() >= self.settings.queue {
            return self.reject(connection, 503, &id, out);
        }
        let deadline = request.headers.number("Deadline-Ms").map(|left_ms| now + left_ms);
        self.queue.push_back(QueuedRequest { connection, id, request, deadline });
        self.admit_queued(now, out);
    }

    fn request_head(&mut self, connection: ConnectionKey, head: &Request, out: &mut Effects) -> bool {
        let id = head.headers.get("Attempt-Id").filter(|_| self.early_responses);
        if let Some(id) = id {
            self.reject(connection, 503, id, out);
        }
        id.is_some()
    }

    fn remaining_body(&mut self, request: &Request, out: &mut Effects) {
        let id = request.headers.get("Attempt-Id").unwrap_or_default().to_owned();
        let body = synthetic_text::digest(&request.body);
        out.observations.push(Observation::RemainingBodyReceived { id, body });
    }

    fn closed(&mut self, now: u64, connection: ConnectionKey, out: &mut Effects) {
        self.frontend.closed(connection);
        self.queue.retain(|queued| queued.connection != connection);
        self.running.retain(|execution| execution.queued.connection != connection);
        self.admit_queued(now, out);
    }

    fn wake(&mut self, now: u64, out: &mut Effects) {
        let mut running = std::mem::take(&mut self.running);
        running.retain(|execution| {
            let done = execution.done_at <= now;
            if done {
                self.finish(now, execution, out);
            }
            !done
        });
        self.running = running;
        self.admit_queued(now, out);
    }

    fn next_wake(&self) -> Option<u64> {
        self.running.iter().map(|execution| execution.done_at).min()
    }
}
