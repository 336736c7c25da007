//! The model server: slots, queue, timed events, status reports and faults.

use std::borrow::Cow;

use serde_json::json;

use super::faults::ActiveFaults;
use super::generations::{Generation, Generations, QueuedRequest};
use super::weights::{LoadMethod, Weights};
use crate::effects::{ConnectionKey, Effects, ModelVersion, Service};
use crate::http::{self, Request};
use crate::observation::Observation;
use crate::server_fault::ServerFault;
use crate::server_frontend::{Load, ServerFrontend};
use crate::synthetic_text::{self, TokenUsage};

/// The bytes that a server with the fault [`ServerFault::MalformedResponse`] sends.
const MALFORMED_RESPONSE: &[u8] = b"\x16\x03\x01 these bytes are no answer\r\n\r\n";

/// Settings of an emulated model server.
#[derive(Clone, Debug)]
pub struct ModelServerSettings {
    /// Id of the first incarnation.
    pub instance: String,
    /// Models with their initial versions.
    pub models: Vec<ModelVersion>,
    /// Maximum number of concurrent generations.
    pub slots: usize,
    /// Maximum number of requests in the queue.
    pub queue: usize,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Path of health checks.
    pub health_path: String,
    /// Interval between two events of a stream, in milliseconds.
    pub event_ms: u64,
    /// Number of prompt tokens processed per millisecond.
    pub prefill_tokens_per_ms: u64,
    /// Number of tokens per event.
    pub stride: u64,
    /// Capacity of the KV cache, in tokens.
    pub kv_capacity: u64,
    /// Duration of a change of weights, in milliseconds.
    pub load_ms: u64,
    /// Whether orders with a lower fencing token than an earlier order are rejected.
    pub fencing_enforced: bool,
}

/// Emulator of a model server. It runs at most one request per connection at a time.
#[derive(Debug)]
pub struct ModelServerEmulator {
    pub(super) settings: ModelServerSettings,
    pub(super) frontend: ServerFrontend,
    pub(super) weights: Weights,
    pub(super) work: Generations,
    active_faults: ActiveFaults,
}

impl ModelServerEmulator {
    /// Returns a server with the number `index` among all servers.
    pub fn new(index: u64, settings: ModelServerSettings) -> ModelServerEmulator {
        ModelServerEmulator {
            frontend: ServerFrontend::new(
                index,
                settings.instance.clone(),
                settings.max_connections,
                settings.health_path.clone(),
            ),
            weights: Weights::new(&settings.models, settings.fencing_enforced),
            work: Generations::default(),
            active_faults: ActiveFaults::default(),
            settings,
        }
    }

    /// Returns the id of the current incarnation.
    pub fn instance(&self) -> String {
        self.frontend.instance()
    }

    /// Returns the served version of a model; `None` if the model is unknown.
    pub fn version(&self, model: &str) -> Option<u64> {
        self.weights.version(model)
    }

    /// Records that a trainer announced a version, so that orders for it are accepted.
    pub fn announce_version(&mut self, model: &str, version: u64) {
        self.weights.announce_version(model, version);
    }

    /// Makes health checks fail from now on.
    pub fn drain(&mut self) {
        self.frontend.drain();
    }

    /// Injects a fault. Faults that do not apply to model servers have no effect.
    pub fn inject(&mut self, fault: ServerFault, out: &mut Effects) {
        self.active_faults.add(fault);
        match fault {
            ServerFault::Crash => {
                self.frontend.reset_all(out);
                self.work = Generations::default();
            }
            ServerFault::DuplicateResponses => self.frontend.duplicate_responses = true,
            _ => {}
        }
    }

    /// Ends all faults except a crash.
    pub fn clear_faults(&mut self) {
        self.active_faults.clear();
        self.frontend.duplicate_responses = false;
    }

    /// Restarts the server as a new incarnation with the same weights.
    pub fn restart(&mut self, out: &mut Effects) {
        self.inject(ServerFault::Crash, out);
        self.active_faults = ActiveFaults::default();
        self.frontend.duplicate_responses = false;
        self.frontend.begin_incarnation();
        self.weights.reset_orders();
    }

    fn load(&self) -> Load {
        Load { running: self.work.running.len(), queued: self.work.queue.len(), slots: self.settings.slots }
    }

    /// Interval between two events, with the current slowdown.
    fn event_interval_ms(&self) -> u64 {
        self.settings.event_ms * self.active_faults.slowdown()
    }

    pub(super) fn respond(
        &self,
        connection: ConnectionKey,
        status: u16,
        extra: &[(&str, Cow<'_, str>)],
        out: &mut Effects,
    ) {
        self.frontend.respond(connection, status, self.load(), extra, &[], out);
    }

    /// Rejects a request and states that it was not executed.
    pub(super) fn reject(&self, connection: ConnectionKey, status: u16, id: &str, out: &mut Effects) {
        self.frontend.reject(connection, status, self.load(), id, out);
    }

    /// Responds with the server's status report.
    fn report(&self, connection: ConnectionKey, out: &mut Effects) {
        let models: Vec<_> = self
            .weights
            .versions()
            .map(|(name, version)| json!({"name": name, "config-version": version, "adapters": []}))
            .collect();
        let kv_used: u64 = self
            .work
            .running
            .iter()
            .map(|generation| generation.prompt_tokens + generation.next_event * self.settings.stride)
            .sum();
        let body = json!({
            "stage": "both",
            "models": models,
            "utilization": self.weights.loading().is_some(),
            "sequence": self.weights.order_count(),
            "queued-count": self.work.queue.len(),
            "running-count": self.work.running.len(),
            "kv-used": kv_used,
            "kv-capacity": self.settings.kv_capacity,
            "handles": 0,
        });
        let fields = [
            ("Content-Type", Cow::from("application/json")),
            ("Instance-Id", Cow::from(self.instance())),
            ("Instance-Load", Cow::from(self.load().field())),
        ];
        self.frontend.send(connection, http::response(200, &fields, body.to_string().as_bytes()), out);
    }

    /// Queues a request for a generation, or rejects it.
    fn enqueue(&mut self, now: u64, connection: ConnectionKey, request: Request, out: &mut Effects) {
        let headers = &request.headers;
        let Some(id) = headers.get("Attempt-Id").map(str::to_owned) else {
            return self.reject(connection, 400, "", out);
        };
        let model = headers.get("Model").unwrap_or_default().to_owned();
        let Some(usage) = headers.get("Token-Usage").and_then(TokenUsage::parse) else {
            return self.reject(connection, 400, &id, out);
        };
        let Some(version) = self.version(&model) else { return self.reject(connection, 400, &id, out) };
        let expected_version = headers.number("Expect-Version");
        if expected_version.is_some_and(|expected| expected != version) {
            return self.reject(connection, 421, &id, out);
        }
        let is_full = self.work.queue.len() >= self.settings.queue
            || usage.prompt + usage.max_output > self.settings.kv_capacity;
        if is_full || self.weights.is_loading(&model) {
            return self.reject(connection, 503, &id, out);
        }
        self.work.queue.push_back(QueuedRequest {
            connection,
            events: synthetic_text::event_count(&id, usage.max_output, self.settings.stride),
            after_event: headers.number("Last-Event-Id").unwrap_or(0),
            prompt_tokens: usage.prompt,
            deadline: headers.number("Deadline-Ms").map(|left_ms| now + left_ms),
            tenant: headers.combined("Tenant"),
            body: synthetic_text::digest(&request.body),
            method: request.method,
            target: request.target,
            id,
            model,
            expected_version,
        });
        self.admit_queued(now, out);
    }

    /// Starts queued requests in free slots, in the order of their arrival.
    fn admit_queued(&mut self, now: u64, out: &mut Effects) {
        while self.work.running.len() < self.settings.slots {
            let Some(queued) = self.work.queue.pop_front() else { return };
            if queued.deadline.is_some_and(|deadline| deadline <= now) {
                self.reject(queued.connection, 503, &queued.id, out);
                continue;
            }
            let version = self.version(&queued.model);
            if queued.expected_version.is_some_and(|expected| Some(expected) != version) {
                self.reject(queued.connection, 421, &queued.id, out);
                continue;
            }
            self.start(now, queued, out);
        }
    }

    fn start(&mut self, now: u64, queued: QueuedRequest, out: &mut Effects) {
        let number = self.frontend.next_execution();
        let id_digest = synthetic_text::digest(queued.id.as_bytes());
        let signature = format!("{:08x}.{number:x}.{}", id_digest >> 32, queued.events);
        out.observations.push(Observation::ExecutionStarted {
            server: self.instance(),
            execution: number,
            id: queued.id.clone(),
            method: queued.method,
            target: queued.target,
            body: queued.body,
            after_event: queued.after_event,
            tenant: queued.tenant.clone(),
        });
        if let Some(tenant) = queued.tenant.filter(|_| queued.after_event == 0) {
            let id = queued.id.clone();
            out.observations.push(Observation::TenantRequestStarted { id, tenant, is_stream: true });
        }
        let prefill_ms = queued.prompt_tokens / self.settings.prefill_tokens_per_ms.max(1);
        self.work.running.push(Generation {
            connection: queued.connection,
            number,
            id: queued.id,
            model: queued.model,
            signature,
            next_event: queued.after_event + 1,
            events: queued.events,
            emitted: 0,
            version: None,
            next_at: now + prefill_ms * self.active_faults.slowdown() + self.event_interval_ms(),
            prompt_tokens: queued.prompt_tokens,
            deadline: queued.deadline,
            body: Vec::new(),
        });
    }

    /// Emits all events that are due.
    fn emit_due_events(&mut self, now: u64, out: &mut Effects) {
        let (load, interval_ms) = (self.load().field(), self.event_interval_ms());
        let mut running = std::mem::take(&mut self.work.running);
        running.retain_mut(|generation| {
            while generation.next_at <= now && !self.is_paused(generation) {
                if !self.emit_next_event(now, generation, &load, out) {
                    return false;
                }
                generation.next_at += interval_ms;
            }
            true
        });
        self.work.running = running;
    }

    /// Emits the next event of a generation. Returns `false` if the generation has ended.
    fn emit_next_event(
        &mut self,
        now: u64,
        generation: &mut Generation,
        load: &str,
        out: &mut Effects,
    ) -> bool {
        if generation.deadline.is_some_and(|deadline| deadline <= now) {
            self.expire(generation, out);
            return false;
        }
        if self.active_faults.break_stream_after.is_some_and(|events| generation.emitted >= events) {
            self.active_faults.break_stream_after = None;
            self.frontend.reset(generation.connection, out);
            return false;
        }
        let Some(version) = self.weights.version(&generation.model) else { return false };
        let is_complete = generation.emit_event(version, load, out);
        if is_complete && self.frontend.duplicate_responses {
            out.send(generation.connection, generation.complete_response(version, load));
        }
        !is_complete
    }

    /// Whether a generation pauses because the weights that it continues with are loading.
    fn is_paused(&self, generation: &Generation) -> bool {
        let loading = self.weights.loading();
        loading
            .is_some_and(|loading| loading.method == LoadMethod::Retain && loading.model == generation.model)
    }

    /// Ends a generation whose deadline has passed.
    fn expire(&mut self, generation: &Generation, out: &mut Effects) {
        if generation.version.is_some() {
            self.frontend.reset(generation.connection, out);
        } else {
            let fields = [("Attempt-Id", Cow::from(&generation.id))];
            self.respond(generation.connection, 504, &fields, out);
        }
    }
}

impl Service for ModelServerEmulator {
    fn connected(&mut self, _now: u64, connection: ConnectionKey, out: &mut Effects) {
        if self.active_faults.crashed {
            out.reset(connection);
        } else {
            self.frontend.accept(connection, out);
        }
    }

    fn request(&mut self, now: u64, connection: ConnectionKey, request: Request, out: &mut Effects) {
        if self.active_faults.unresponsive || !self.frontend.is_open(connection) {
            return;
        }
        if self.active_faults.malformed_response && request.method == "POST" {
            self.active_faults.malformed_response = false;
            return out.send(connection, MALFORMED_RESPONSE.to_vec());
        }
        self.frontend.observe_authorization(&request, out);
        if self.frontend.is_misdirected(&request) {
            let id = request.headers.get("Attempt-Id").unwrap_or_default().to_owned();
            return self.reject(connection, 421, &id, out);
        }
        match (request.method.as_str(), request.path()) {
            ("GET", "/v1/report") => self.report(connection, out),
            ("POST", "/v1/order") => self.handle_order(now, connection, &request.body, out),
            _ if self.frontend.is_health_check(&request) => {
                self.frontend.respond_health(connection, self.load(), out);
            }
            _ => self.enqueue(now, connection, request, out),
        }
    }

    fn closed(&mut self, now: u64, connection: ConnectionKey, out: &mut Effects) {
        self.frontend.closed(connection);
        self.work.drop_connection(connection);
        self.wake(now, out);
    }

    fn wake(&mut self, now: u64, out: &mut Effects) {
        if self.active_faults.is_halted() {
            return;
        }
        self.advance_loading(now, out);
        self.emit_due_events(now, out);
        self.advance_loading(now, out);
        self.admit_queued(now, out);
    }

    fn next_wake(&self) -> Option<u64> {
        if self.active_faults.is_halted() {
            return None;
        }
        let loaded = self.weights.loading().and_then(|loading| loading.done_at);
        let events = self.work.running.iter().filter(|generation| !self.is_paused(generation));
        loaded.into_iter().chain(events.map(|generation| generation.next_at)).min()
    }
}
