//! The project's own protocol for clients: `POST /api`, with one query in each request.

use derive_more::{Display, Error, From};
use orchidvalve::interface::Nanos;
use orchidvalve_aggregator_settings::{Section, SettingsError};
use orchidvalve_search::request::ShardRequest;
use orchidvalve_search::routes::ShardWeight;
use serde_json::Value;

use super::{ClientProtocol, Interpretation};
use crate::config::NodeConfig;
use crate::http::Message;
use crate::queries::QueryRequest;
use crate::reply::{self, Outcome, Reply, ReplyFormat};

const MAX_ID_BYTES: usize = 200;
/// Maximum estimate of the work in microseconds. Larger values are not plausible and would overflow the aggregator's
/// sums.
const MAX_ESTIMATE_US: f64 = 1e9;
/// The tolerated rounding error of a weight: clients send six digits, and the sum of seven shards was off by 6e-6.
const ROUNDING: f64 = 1e-5;

/// The project's own client protocol.
pub struct OwnProtocol;

/// Why a request is invalid. The text is sent to the client.
#[derive(Debug, Display, Error, From)]
enum RequestError {
    /// The body is not valid JSON.
    #[display("body: no JSON: {_0}")]
    Json(serde_json::Error),
    /// A field of the body is missing or invalid.
    #[display("{_0}")]
    Body(SettingsError),
    /// A header is missing or invalid.
    #[from(ignore)]
    #[display("{name}: {problem}")]
    Header { name: &'static str, problem: String },
}

fn bad_header(name: &'static str, problem: impl Into<String>) -> RequestError {
    RequestError::Header { name, problem: problem.into() }
}

impl ClientProtocol for OwnProtocol {
    fn interpret<'a>(
        &self,
        message: &'a Message<'a>,
        since: Nanos,
        config: &NodeConfig,
    ) -> Option<Interpretation<'a>> {
        if message.path.split('?').next() != Some("/api") {
            return None;
        }
        if message.method != "POST" {
            return Some(Interpretation::Answered(Reply::text(405, "no such method here\n")));
        }
        Some(match parse_query(message, since, config) {
            Ok(query) => Interpretation::Queries { queries: vec![Ok(query)], combine: reply::single },
            Err(error) => Interpretation::Answered(Reply::text(400, format!("{error}\n"))),
        })
    }
}

struct OwnFormat;

impl ReplyFormat for OwnFormat {
    fn reply(&self, outcome: Outcome, _: Nanos) -> Reply {
        match outcome {
            Outcome::Answered { complete, shards } => Reply::json(200, answer_body(complete, shards)),
            Outcome::Rejected(wait) => {
                Reply::text(503, "dismissed: trying again is harmless\n").retry_after(wait)
            }
            Outcome::Expired => Reply::text(504, "given up: parts of it may have run\n"),
            Outcome::DuplicateId => Reply::text(409, "Request-Id: it is open already\n"),
            Outcome::Overloaded => Reply::text(503, "too much is open\n"),
        }
    }
}

fn answer_body(complete: bool, shards: &[(usize, Option<&str>)]) -> String {
    let mut body = format!("{{\"entire\":{complete},\"items\":[");
    let answered = shards.iter().filter_map(|&(shard, value)| Some((shard, value?)));
    for (position, (shard, value)) in answered.enumerate() {
        let (comma, value) = (if position == 0 { "" } else { "," }, Value::from(value));
        body.push_str(&format!("{comma}{{\"slice\":{shard},\"body\":{value}}}"));
    }
    body.push_str("]}");
    body
}

fn parse_query<'a>(
    message: &'a Message<'a>,
    since: Nanos,
    config: &NodeConfig,
) -> Result<QueryRequest<'a>, RequestError> {
    let body = serde_json::from_slice::<Value>(&message.body)?;
    let body = Section::of("body", &body)?;
    let header =
        |name: &'static str| message.header(name).ok_or_else(|| bad_header(name, "missing, or there twice"));
    let id = checked_id("Request-Id", header("Request-Id")?)?;
    let class_name = header("Request-Class")?;
    let service_class = config.service_classes.iter().position(|class| class.name == class_name);
    let service_class =
        service_class.ok_or_else(|| bad_header("Request-Class", format!("unknown class '{class_name}'")))?;
    let tenant = match config.tenants.is_empty() {
        true => 0,
        false => {
            let name = header("Tenant")?;
            let tenant = config.tenants.iter().position(|tenant| tenant == name);
            tenant.ok_or_else(|| bad_header("Tenant", format!("unknown tenant '{name}'")))?
        }
    };
    let deadline = since.saturating_add(parse_timeout(header("Request-Timeout")?)?);
    let key = match config.service_classes[service_class].has_idempotency_key {
        true => Some(checked_id("Idempotency-Key", header("Idempotency-Key")?)?),
        false => None,
    };
    let RequestedShards { shards, estimated_work } = parse_shards(&body, config.shards)?;
    let payload = body.text("filter")?;
    check_payload(&body, payload, key, config)?;
    Ok(QueryRequest {
        id: id.into(),
        service_class,
        tenant,
        deadline,
        estimated_work,
        is_retry: message.header("Client-Retry").is_some_and(|value| value == "1"),
        min_weight: 0.0,
        idempotency_key: key.map(Into::into),
        payload: payload.to_owned().into(),
        reply_format: Box::new(OwnFormat),
        shards,
    })
}

/// The shards that a request names.
struct RequestedShards {
    /// The shards with their weights, which add up to 1.
    shards: Vec<ShardWeight>,
    /// The estimated work of all shards, in nanoseconds.
    estimated_work: Nanos,
}

fn parse_shards(body: &Section, shard_count: usize) -> Result<RequestedShards, SettingsError> {
    let mut shards: Vec<ShardWeight> = Vec::new();
    let mut estimated_work: Nanos = 0;
    for slice in body.list("slices")?.ok_or_else(|| body.missing("slices"))? {
        let (shard, weight) = (slice.index("slice")?, slice.number("mass")?);
        if shard >= shard_count {
            return Err(slice.error("slice", format!("no shard {shard} among {shard_count}")));
        }
        if shards.iter().any(|other| other.shard == shard) {
            return Err(slice.error("slice", format!("shard {shard} is named twice")));
        }
        if !(weight > 0.0 && weight <= 1.0 + ROUNDING) {
            return Err(slice.error("mass", "should be above 0, and 1 at most"));
        }
        let estimate = slice.or("micros", 0.0, Section::number)?;
        let estimate = (estimate.clamp(0.0, MAX_ESTIMATE_US) * 1e3) as Nanos;
        estimated_work = estimated_work.saturating_add(estimate);
        shards.push(ShardWeight { shard, weight });
    }
    if shards.is_empty() {
        return Err(body.error("slices", "should name one part at least"));
    }
    // Weights written with few digits add up to slightly less than 1, and the query would never count as complete.
    let sum: f64 = shards.iter().map(|shard| shard.weight).sum();
    if (sum - 1.0).abs() > ROUNDING * shards.len() as f64 {
        return Err(body.error("slices", format!("their weights should add up to 1, not {sum}")));
    }
    shards.iter_mut().for_each(|shard| shard.weight /= sum);
    Ok(RequestedShards { shards, estimated_work })
}

/// Checks the payload as replicas with the search API will interpret it, if the routes name any.
fn check_payload(
    body: &Section,
    payload: &str,
    key: Option<&str>,
    config: &NodeConfig,
) -> Result<(), SettingsError> {
    let routes = config.routes.as_ref().filter(|routes| routes.any_search_store());
    let Some(routes) = routes else { return Ok(()) };
    let carried = ShardRequest::read(payload, |index| routes.mapping(index));
    let carried = carried.map_err(|error| body.error("filter", error.to_string()))?;
    // Replicas with the search API identify a document by its id, which therefore is its idempotency key.
    if matches!(&carried, ShardRequest::Create(create) if key != Some(&*create.id)) {
        return Err(body.error("filter", "create.id: should be the Idempotency-Key"));
    }
    Ok(())
}

/// Checks an id or key. It is written into the header line of frames and must not break it.
fn checked_id<'a>(name: &'static str, text: &'a str) -> Result<&'a str, RequestError> {
    let is_plain = |byte: u8| byte.is_ascii_graphic() && byte != b',';
    if (1..=MAX_ID_BYTES).contains(&text.len()) && text.bytes().all(is_plain) {
        return Ok(text);
    }
    let problem = format!("should be 1 to {MAX_ID_BYTES} plain characters without spaces and commas");
    Err(bad_header(name, problem))
}

fn parse_timeout(text: &str) -> Result<Nanos, RequestError> {
    let unit = match text.as_bytes().last() {
        Some(b'm') => 1_000_000,
        Some(b'u') => 1_000,
        _ => 0,
    };
    let digits = text.get(..text.len().saturating_sub(1)).unwrap_or_default();
    let is_number = digits.bytes().all(|byte| byte.is_ascii_digit());
    let number = if is_number { digits.parse::<Nanos>().ok() } else { None };
    let timeout = number.and_then(|number| number.checked_mul(unit)).filter(|&timeout| timeout > 0);
    timeout.ok_or_else(|| bad_header("Request-Timeout", "should be a number and a unit, 'm' or 'u'"))
}
