//! The generations that a model server runs, and the requests in its queue.

use std::borrow::Cow;
use std::collections::VecDeque;

use crate::effects::{ConnectionKey, Effects};
use crate::http;
use crate::observation::Observation;
use crate::synthetic_text;

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    pub connection: ConnectionKey,
    pub id: String,
    pub method: String,
    pub target: String,
    /// Digest of the request body.
    pub body: u64,
    pub model: String,
    /// Value of the `Tenant` header as received.
    pub tenant: Option<String>,
    pub expected_version: Option<u64>,
    /// Number of the last event that the caller has; 0 if it has none.
    pub after_event: u64,
    pub prompt_tokens: u64,
    /// Number of events in the complete text.
    pub events: u64,
    pub deadline: Option<u64>,
}

/// A stream of events in progress.
#[derive(Clone, Debug)]
pub(super) struct Generation {
    pub connection: ConnectionKey,
    /// Number of the execution, unique among all servers.
    pub number: u64,
    /// Id of the request.
    pub id: String,
    pub model: String,
    pub signature: String,
    pub next_event: u64,
    /// Number of events in the complete text.
    pub events: u64,
    /// Number of events that this generation has emitted.
    pub emitted: u64,
    /// Version that generated the last event; `None` before the response head is sent.
    pub version: Option<u64>,
    /// Time at which the next event is due.
    pub next_at: u64,
    pub prompt_tokens: u64,
    pub deadline: Option<u64>,
    /// Body of the stream sent so far.
    pub body: Vec<u8>,
}

impl Generation {
    /// Sends the next event, preceded by the response head if it is the first. Returns whether the stream is
    /// complete.
    pub fn emit_event(&mut self, version: u64, load: &str, out: &mut Effects) -> bool {
        let mut bytes = match self.version {
            None => self.head(version, load),
            Some(_) => Vec::new(),
        };
        if self.next_event <= self.events {
            let event = self.event(version);
            http::write_chunk(&mut bytes, event.as_bytes());
            self.body.extend_from_slice(event.as_bytes());
            out.observations.push(Observation::EventEmitted {
                execution: self.number,
                id: self.id.clone(),
                event: self.next_event,
                version,
            });
            self.next_event += 1;
            self.emitted += 1;
        }
        self.version = Some(version);
        let is_complete = self.next_event > self.events;
        if is_complete {
            http::write_chunk(&mut bytes, &[]);
            out.observations.push(Observation::ResponseSent {
                execution: self.number,
                id: self.id.clone(),
                status: 200,
                signature: self.signature.clone(),
                body: synthetic_text::digest(&self.body),
            });
        }
        out.send(self.connection, bytes);
        is_complete
    }

    fn event(&self, version: u64) -> String {
        let version_line = match self.version {
            Some(last) if last != version => format!("weight-versions: {version}\n"),
            _ => String::new(),
        };
        let (number, data) = (self.next_event, synthetic_text::event_data(&self.id, self.next_event));
        format!("{version_line}id: {number}\ndata: {data}\n\n")
    }

    /// Returns the complete response with all events of the stream.
    pub fn complete_response(&self, version: u64, load: &str) -> Vec<u8> {
        let mut bytes = self.head(version, load);
        http::write_chunk(&mut bytes, &self.body);
        http::write_chunk(&mut bytes, &[]);
        bytes
    }

    fn head(&self, version: u64, load: &str) -> Vec<u8> {
        let fields = [
            ("Content-Type", Cow::from("text/event-stream")),
            ("Attempt-Id", Cow::from(&self.id)),
            ("Server-Signature", Cow::from(&self.signature)),
            ("Weight-Versions", Cow::from(version.to_string())),
            ("Instance-Load", Cow::from(load)),
        ];
        http::chunked_head(200, &fields)
    }
}

/// All generations of a server, queued and running.
#[derive(Debug, Default)]
pub(super) struct Generations {
    pub queue: VecDeque<QueuedRequest>,
    pub running: Vec<Generation>,
}

impl Generations {
    /// Removes the generations of a connection, queued and running.
    pub fn drop_connection(&mut self, connection: ConnectionKey) {
        self.queue.retain(|queued| queued.connection != connection);
        self.running.retain(|generation| generation.connection != connection);
    }

    /// Whether a generation of the model is running.
    pub fn has_generation_of(&self, model: &str) -> bool {
        self.running.iter().any(|generation| generation.model == model)
    }
}
