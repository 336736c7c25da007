//! The view of maintenance that operators read, and their requests, which any node accepts.

use std::cell::{Cell, RefCell};

use derive_more::{Display, Error, From};
use orchidvalve::interface::Nanos;
use orchidvalve_maintenance::queue::Command;
use serde::Deserialize;

/// The maximum number of requests accepted between two rounds.
const MAX_REQUESTS: usize = 64;
/// The maximum length of a text given by an operator, which every node stores and shows.
const MAX_TEXT_BYTES: usize = 200;
const HOUR_MS: u64 = 3_600_000;
/// The maximum duration of a request or of an outage, slightly more than a year.
const MAX_DURATION_MS: u64 = 366 * 24 * HOUR_MS;

/// The body of an operator's request.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RequestBody {
    machine: String,
    #[serde(default)]
    by: String,
    #[serde(default)]
    why: String,
    #[serde(default = "RequestBody::lasts_ms")]
    lasts_ms: u64,
    #[serde(default = "RequestBody::waits_ms")]
    waits_ms: u64,
}

impl RequestBody {
    fn lasts_ms() -> u64 {
        HOUR_MS
    }
    fn waits_ms() -> u64 {
        24 * HOUR_MS
    }
}

/// Why an operator's request is rejected. The text is sent to the operator.
#[derive(Debug, Display, Error, From)]
pub enum RequestError {
    /// The body is invalid.
    #[display("the wish cannot be read: {_0}")]
    Json(serde_json::Error),
    /// The request names no machine.
    #[display("machine: should name one")]
    NoMachine,
    /// A text is longer than `MAX_TEXT_BYTES`.
    #[display("{key}: should be {MAX_TEXT_BYTES} bytes at most, not {length}")]
    TextTooLong {
        /// The key of the text in the body.
        key: &'static str,
        /// The length of the text in bytes.
        length: usize,
    },
    /// Too many requests are waiting for the next round.
    #[display("too many wishes wait here: try again")]
    TooMany,
    /// The kind of the request is unknown.
    #[from(ignore)]
    #[display("no such wish: {_0}")]
    UnknownKind(#[error(not(source))] String),
}

/// The maintenance queue as operators read it, and the requests received since the last round.
pub struct MaintenanceRequests {
    view: String,
    commands: RefCell<Vec<Command>>,
    nonce: Cell<u64>,
}

impl MaintenanceRequests {
    /// Returns an empty view. Nonces are generated from `seed`, which must differ between the starts of a node.
    pub fn new(seed: u64) -> Self {
        MaintenanceRequests { view: String::new(), commands: RefCell::default(), nonce: Cell::new(seed) }
    }

    /// Returns the maintenance queue in JSON.
    pub fn view(&self) -> &str {
        &self.view
    }

    /// Replaces the view that operators read.
    pub fn set_view(&mut self, view: String) {
        self.view = view;
    }

    /// Takes the requests received since the last round.
    pub fn take_commands(&self) -> Vec<Command> {
        self.commands.take()
    }

    /// Accepts a request of the kind `ask` or `cancel`. Returns the response with the nonce under which the maintenance
    /// queue shows that the request was carried out.
    ///
    /// # Errors
    ///
    /// Fails if the body is invalid or too many requests are waiting.
    pub fn submit(&self, kind: &str, body: &[u8]) -> Result<String, RequestError> {
        let RequestBody { machine, by, why, lasts_ms, waits_ms } = serde_json::from_slice(body)?;
        if machine.is_empty() {
            return Err(RequestError::NoMachine);
        }
        for (key, text) in [("machine", &machine), ("by", &by), ("why", &why)] {
            if text.len() > MAX_TEXT_BYTES {
                return Err(RequestError::TextTooLong { key, length: text.len() });
            }
        }
        let nanos = |ms: u64| (ms.min(MAX_DURATION_MS) as Nanos) * 1_000_000;
        if self.commands.borrow().len() >= MAX_REQUESTS {
            return Err(RequestError::TooMany);
        }
        let nonce = self.next_nonce();
        let command = match kind {
            "ask" => {
                Command::Request { machine, by, why, lasts: nanos(lasts_ms), waits: nanos(waits_ms), nonce }
            }
            "cancel" => Command::Cancel { machine, by, nonce },
            other => return Err(RequestError::UnknownKind(other.to_owned())),
        };
        self.commands.borrow_mut().push(command);
        Ok(format!("{{\"nonce\":\"{nonce:016x}\"}}"))
    }

    /// Returns the next nonce from a linear congruential generator (Knuth's MMIX); it is odd and therefore never 0.
    fn next_nonce(&self) -> u64 {
        let nonce =
            self.nonce.get().wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407)
                | 1;
        self.nonce.set(nonce);
        nonce
    }
}
