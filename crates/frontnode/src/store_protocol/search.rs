//! The search API of a replica: OpenSearch's REST protocol over HTTP/1.1, with one shard request at a time on a
//! connection. The shard is named by `preference=_shards:N`. `docs/search.md` has the table of endings.

use std::collections::BTreeMap;

use orchidvalve::state::AttemptOutcome;
use orchidvalve_search::response::{ShardResult, UnusableResponse, created_result};
use serde::Deserialize;
use serde_json::value::RawValue;

use super::{CallRequest, Load, ParsedMessage, ProtocolError, StoreMessage, StoreProtocol};
use crate::http;

/// The path of health checks; its response contains the load.
const HEALTH_CHECK_PATH: &str = "/_nodes/_local/stats/thread_pool";

/// The request in flight on the connection.
enum InFlight {
    Search { query_id: String, shard: usize },
    Create { query_id: String, shard: usize, document_id: String },
    HealthCheck,
}

/// The protocol state of one connection.
pub struct Search {
    host: String,
    in_flight: Option<InFlight>,
    keeps_alive: bool,
}

/// The payload of a shard request. Only the necessary parts are parsed: the client protocol has already checked it.
#[derive(Deserialize)]
enum Payload<'a> {
    #[serde(rename = "search")]
    Search {
        index: String,
        #[serde(borrow)]
        body: &'a RawValue,
    },
    #[serde(rename = "create")]
    Create {
        index: String,
        id: String,
        routing: Option<String>,
        #[serde(borrow)]
        document: &'a RawValue,
    },
}

/// The parsed part of the response to a health check.
#[derive(Deserialize)]
struct Stats {
    nodes: BTreeMap<String, NodeStats>,
}

#[derive(Deserialize)]
struct NodeStats {
    thread_pool: BTreeMap<String, ThreadPool>,
}

#[derive(Deserialize)]
struct ThreadPool {
    queue: u64,
    active: u64,
    rejected: u64,
    completed: u64,
    #[serde(default)]
    threads: u64,
}

impl Search {
    /// Returns the state of a new connection to `host`.
    pub fn new(host: String) -> Self {
        Search { host, in_flight: None, keeps_alive: true }
    }

    fn write_request(&self, out: &mut Vec<u8>, request_line: &str, headers: &str, body: &str) {
        let Search { host, .. } = self;
        out.extend_from_slice(format!("{request_line} HTTP/1.1\r\nHost: {host}\r\n{headers}").as_bytes());
        if !body.is_empty() {
            let length = body.len();
            let content = format!("Content-Type: application/json\r\nContent-Length: {length}\r\n");
            out.extend_from_slice(content.as_bytes());
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(body.as_bytes());
    }
}

/// Returns the outcome and the value of an attempt from the status and the body of its response.
fn outcome(
    in_flight: &InFlight,
    status: u16,
    body: &[u8],
) -> Result<(AttemptOutcome, String), ProtocolError> {
    match (in_flight, status) {
        (InFlight::Search { .. }, 200) => match ShardResult::of_response(body) {
            Ok(hits) => Ok((AttemptOutcome::Answered, hits.to_owned())),
            Err(UnusableResponse::Incomplete(_)) => Ok((AttemptOutcome::Failed, String::new())),
            Err(UnusableResponse::Malformed(error)) => {
                Err(ProtocolError::UnreadableResponse(error.to_string()))
            }
        },
        // If the document already exists, an earlier attempt with the same idempotency key created it.
        (InFlight::Create { document_id, .. }, 200 | 201 | 409) => {
            Ok((AttemptOutcome::Answered, created_result(document_id)))
        }
        (_, 429) => Ok((AttemptOutcome::Rejected, String::new())),
        _ => Ok((AttemptOutcome::Failed, String::new())),
    }
}

impl StoreProtocol for Search {
    fn write_call(&mut self, out: &mut Vec<u8>, requests: &[CallRequest]) -> bool {
        let [request] = requests else { return false };
        let Ok(payload) = serde_json::from_str::<Payload>(request.payload) else { return false };
        let (query_id, shard) = (request.query_id.to_owned(), request.shard);
        let headers = format!("X-Opaque-Id: {query_id}.{shard}\r\n");
        let timeout_ms = request.timeout_ms;
        match payload {
            Payload::Search { index, body } => {
                let request_line = format!(
                    "POST /{index}/_search?preference=_shards:{shard}&timeout={timeout_ms}ms\
                     &allow_partial_search_results=false"
                );
                self.write_request(out, &request_line, &headers, body.get());
                self.in_flight = Some(InFlight::Search { query_id, shard });
            }
            Payload::Create { index, id, routing, document } => {
                let routing = routing.map(|value| format!("&routing={}", http::percent_encode(&value)));
                let routing = routing.unwrap_or_default();
                let key = http::percent_encode(request.idempotency_key.unwrap_or(&id));
                let request_line = format!("PUT /{index}/_create/{key}?timeout={timeout_ms}ms{routing}");
                self.write_request(out, &request_line, &headers, document.get());
                self.in_flight = Some(InFlight::Create { query_id, shard, document_id: id });
            }
        }
        true
    }

    fn write_cancel(&mut self, _: &mut Vec<u8>, _: &str, _: usize) -> bool {
        false
    }

    fn write_health_check(&mut self, out: &mut Vec<u8>) {
        self.write_request(out, &format!("GET {HEALTH_CHECK_PATH}"), "", "");
        self.in_flight = Some(InFlight::HealthCheck);
    }

    fn next_message(&mut self, buffer: &[u8]) -> Result<Option<ParsedMessage>, ProtocolError> {
        let Some(response) = http::parse_response(buffer)? else { return Ok(None) };
        let in_flight = self.in_flight.take().ok_or(ProtocolError::UnexpectedResponse)?;
        self.keeps_alive = response.keeps_alive;
        let message = match &in_flight {
            InFlight::HealthCheck => StoreMessage::Health {
                answered: response.status == 200,
                load: serde_json::from_slice::<Stats>(&response.body).ok().and_then(load),
            },
            InFlight::Search { query_id, shard } | InFlight::Create { query_id, shard, .. } => {
                let expected = format!("{query_id}.{shard}");
                if let Some(found) = response.header("X-Opaque-Id").filter(|found| *found != expected) {
                    let found = found.escape_default().to_string();
                    return Err(ProtocolError::OtherResponse { found, expected });
                }
                let (outcome, value) = outcome(&in_flight, response.status, &response.body)?;
                StoreMessage::Answer { query_id: query_id.clone(), shard: *shard, outcome, value }
            }
        };
        Ok(Some(ParsedMessage { message, length: response.length }))
    }

    fn is_idle(&self) -> bool {
        self.in_flight.is_none()
    }

    fn keeps_alive(&self) -> bool {
        self.keeps_alive
    }
}

/// Returns the load of the first node's thread pool for searches.
fn load(stats: Stats) -> Option<Load> {
    let (_, node) = stats.nodes.into_iter().next()?;
    let pool = node.thread_pool.get("search")?;
    // Active searches do not wait, unless there are more of them than threads.
    let beyond_threads = if pool.threads > 0 { pool.active.saturating_sub(pool.threads) } else { 0 };
    Some(Load::Counts {
        queued: pool.queue + beyond_threads,
        rejected: pool.rejected,
        completed: pool.completed,
    })
}
