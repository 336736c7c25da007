//! The protocols of replicas, one file for each. A protocol encodes calls and decodes the messages of a replica.

pub mod frames;
pub mod search;

use std::net::SocketAddr;

use derive_more::{Display, Error, From};
use orchidvalve::state::AttemptOutcome;

use crate::connection_pool::PoolSettings;
use crate::http;

/// One shard request of a call.
pub struct CallRequest<'a> {
    /// The query's id.
    pub query_id: &'a str,
    /// The shard that is queried.
    pub shard: usize,
    /// How long the node waits for the response, in milliseconds.
    pub timeout_ms: i64,
    /// The idempotency key, if the service class requires one: it makes repeated attempts safe.
    pub idempotency_key: Option<&'a str>,
    /// The payload of the query for this shard.
    pub payload: &'a str,
}

/// A message received from a replica.
#[derive(Debug, PartialEq)]
pub enum StoreMessage {
    /// The response to a shard request.
    Answer {
        /// The query's id.
        query_id: String,
        /// The shard that responded.
        shard: usize,
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// The value of the shard; empty if there is none.
        value: String,
    },
    /// The response to a health check.
    Health {
        /// Whether the health check succeeded.
        answered: bool,
        /// The reported load; `None` if there is none.
        load: Option<Load>,
    },
}

/// A message parsed from the front of a buffer.
#[derive(Debug, PartialEq)]
pub struct ParsedMessage {
    /// The message.
    pub message: StoreMessage,
    /// The length of the message in the buffer, in bytes.
    pub length: usize,
}

/// The load that a replica reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Load {
    /// Current rates.
    Rate {
        /// Shard requests in the replica's queue.
        queued: f64,
        /// Shard requests completed per second.
        completed_per_second: f64,
    },
    /// Counters; `rejected` and `completed` count from the start of the replica.
    Counts {
        /// Shard requests in the replica's queue.
        queued: u64,
        /// Shard requests that the replica rejected.
        rejected: u64,
        /// Shard requests that the replica completed.
        completed: u64,
    },
}

/// The limits of connections under a protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// The maximum number of shard requests in a call.
    pub requests_per_call: usize,
    /// The maximum number of shard requests in flight on a connection.
    pub requests_per_connection: usize,
    /// Whether connections carry one shard request at a time and are pooled.
    pub pooled: bool,
    /// The length of the longest accepted message in bytes.
    pub max_message_bytes: usize,
}

/// A protocol violation by a replica. The connection cannot be used any longer.
#[derive(Debug, Display, Error, From)]
pub enum ProtocolError {
    /// The replica could not parse a frame of the node.
    #[from(ignore)]
    #[display("its server could not use a frame: {_0}")]
    FrameRefused(#[error(not(source))] String),
    /// The kind of a frame is unknown.
    #[from(ignore)]
    #[display("an unknown frame '{_0}'")]
    UnknownFrame(#[error(not(source))] String),
    /// The length of a frame is zero or too large.
    #[from(ignore)]
    #[display("a frame of {_0} bytes")]
    FrameLength(#[error(not(source))] usize),
    /// The first line of an answer frame has no end.
    #[display("an answer without the end of its line")]
    UnfinishedAnswerLine,
    /// The first line of an answer frame cannot be parsed.
    #[from(ignore)]
    #[display("a bad answer line '{_0}'")]
    BadAnswerLine(#[error(not(source))] String),
    /// An HTTP response cannot be parsed.
    #[display("{}", _0.text)]
    Http(http::MessageError),
    /// A response arrived while no request was in flight.
    #[display("a response to nothing")]
    UnexpectedResponse,
    /// The body of a response cannot be parsed.
    #[from(ignore)]
    #[display("a response that cannot be read: {_0}")]
    UnreadableResponse(#[error(not(source))] String),
    /// A response carries the id of another request.
    #[display("a response to '{found}', not to '{expected}'")]
    OtherResponse {
        /// The id in the response.
        found: String,
        /// The id of the request in flight.
        expected: String,
    },
    /// The answered shard request was never in flight on the connection.
    #[display("an answer to nothing, '{query_id}.{shard}'")]
    UnexpectedAnswer {
        /// The query's id.
        query_id: String,
        /// The shard.
        shard: usize,
    },
}

/// The protocol state of one connection.
pub trait StoreProtocol {
    /// Writes a call. Returns false and writes nothing if the protocol cannot express it.
    fn write_call(&mut self, out: &mut Vec<u8>, requests: &[CallRequest]) -> bool;

    /// Writes the cancellation of a shard request. Returns false if the protocol has no cancellation: the replica then
    /// notices it only when the connection closes.
    fn write_cancel(&mut self, out: &mut Vec<u8>, query_id: &str, shard: usize) -> bool;

    /// Writes a health check.
    fn write_health_check(&mut self, out: &mut Vec<u8>);

    /// Returns the next message, or `None` while more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails if the received bytes violate the protocol; the connection cannot be used after that.
    fn next_message(&mut self, buffer: &[u8]) -> Result<Option<ParsedMessage>, ProtocolError>;

    /// Returns whether nothing is in flight according to the protocol state.
    fn is_idle(&self) -> bool {
        true
    }

    /// Returns whether the connection may carry another call after the last message.
    fn keeps_alive(&self) -> bool {
        true
    }
}

/// The protocol of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProtocolKind {
    /// The project's own frames.
    #[default]
    Frames,
    /// The search API over HTTP.
    Search,
}

/// The settings of the replicas' protocols.
#[derive(Clone, Debug)]
pub struct StoreProtocolSettings {
    /// The maximum number of shard requests in a call of the frame protocol.
    pub requests_per_call: usize,
    /// The maximum number of shard requests in flight on a connection of the frame protocol.
    pub requests_per_connection: usize,
    /// Whether health checks request the load.
    pub request_load: bool,
    /// The settings of connection pools.
    pub pool: PoolSettings,
}

impl StoreProtocolSettings {
    /// Returns the limits of connections under a protocol.
    pub fn connection_limits(&self, kind: ProtocolKind) -> ConnectionLimits {
        match kind {
            ProtocolKind::Frames => ConnectionLimits {
                requests_per_call: self.requests_per_call,
                requests_per_connection: self.requests_per_connection,
                pooled: false,
                max_message_bytes: frames::MAX_FRAME_BYTES + 4,
            },
            ProtocolKind::Search => ConnectionLimits {
                requests_per_call: 1,
                requests_per_connection: 1,
                pooled: true,
                max_message_bytes: http::MAX_MESSAGE_BYTES,
            },
        }
    }

    /// Returns the protocol state of a new connection.
    pub fn new_connection(&self, kind: ProtocolKind, address: SocketAddr) -> Box<dyn StoreProtocol> {
        match kind {
            ProtocolKind::Frames => Box::new(frames::Frames::new(self.request_load)),
            ProtocolKind::Search => Box::new(search::Search::new(address.to_string())),
        }
    }
}
