//! The HTTP API for operators and trainers: parsing of requests, and their responses.

use std::net::SocketAddrV4;

use orchidvalve_configuration::MAX_DOCUMENT_BYTES;
use orchidvalve_control_state::Change;
use orchidvalve_http::{MessageLimits, Request};
use serde_json::{Value, json};

use crate::peer_messages::RequestOutcome;

/// Size limits of an operator's request.
pub const OPERATOR_LIMITS: MessageLimits =
    MessageLimits { header_bytes: 64 << 10, body_bytes: MAX_DOCUMENT_BYTES };

/// A parsed request of the API.
#[derive(Clone, PartialEq, Debug)]
pub enum OperatorRequest {
    /// Makes a change of the control state; the response depends on its outcome.
    Change(Change),
    /// Reads the configuration.
    ReadConfiguration,
    /// Retires a store node.
    Retire {
        /// Name of the store node's machine.
        node: String,
    },
    /// Reads the progress of a retirement.
    ReadRetirement {
        /// Name of the store node's machine.
        node: String,
    },
    /// Reads the status: members, chain and singleton roles.
    ReadStatus,
}

/// A response: status, JSON body and redirect.
#[derive(Clone, PartialEq, Debug)]
pub struct OperatorResponse {
    /// HTTP status.
    pub status: u16,
    /// JSON, or empty.
    pub body: Vec<u8>,
    /// URL of the node that the request has to be sent to instead, for a redirect.
    pub location: Option<String>,
}

impl OperatorRequest {
    /// Returns whether the request reads the control state, which only a member of the chain can confirm to be the latest.
    pub fn is_read(&self) -> bool {
        matches!(self, OperatorRequest::ReadConfiguration | OperatorRequest::ReadRetirement { .. })
    }
}

impl OperatorResponse {
    /// Creates a response with a JSON body.
    pub fn new(status: u16, body: &Value) -> OperatorResponse {
        OperatorResponse { status, body: body.to_string().into_bytes(), location: None }
    }

    /// Creates an error response with a reason for the operator.
    pub fn error(status: u16, reason: &str) -> OperatorResponse {
        OperatorResponse::new(status, &json!({ "error": reason }))
    }

    /// Creates a redirect of a request for `target` to the control node at `address`.
    pub fn redirect(address: SocketAddrV4, target: &str) -> OperatorResponse {
        let location = Some(format!("http://{address}{target}"));
        OperatorResponse { status: 307, body: Vec::new(), location }
    }

    /// Creates the response to a request with an unknown outcome; it may be sent again, to this node or another one.
    pub fn outcome_unknown() -> OperatorResponse {
        OperatorResponse::error(503, "the control machines can't be sure now: send the call again")
    }
}

const CONFIGURATION_PATH: &str = "/v1/configuration";
const VERSION_PATH: &str = "/v1/version-put";
const RETIRE_PREFIX: &str = "/v1/retire/";
const STATUS_PATH: &str = "/v1/status";

/// Parses an HTTP request.
///
/// # Errors
///
/// Returns the error response if the API has no such request, or if the request is malformed.
pub fn parse_request(request: &Request) -> Result<OperatorRequest, OperatorResponse> {
    let path = request.path();
    match (request.method.as_str(), path) {
        ("GET", CONFIGURATION_PATH) => Ok(OperatorRequest::ReadConfiguration),
        ("PUT", CONFIGURATION_PATH) => {
            let base = base_version(request)?;
            Ok(OperatorRequest::Change(Change::Replace { base, body: request.body.clone() }))
        }
        ("PATCH", CONFIGURATION_PATH) => {
            let base = base_version(request)?;
            Ok(OperatorRequest::Change(Change::Patch { base, body: request.body.clone() }))
        }
        ("POST", VERSION_PATH) => parse_version(&request.body),
        ("GET", STATUS_PATH) => Ok(OperatorRequest::ReadStatus),
        (method, path) => match (method, path.strip_prefix(RETIRE_PREFIX).filter(|node| !node.is_empty())) {
            ("POST", Some(node)) => Ok(OperatorRequest::Retire { node: node.to_owned() }),
            ("GET", Some(node)) => Ok(OperatorRequest::ReadRetirement { node: node.to_owned() }),
            (_, node) => Err(unknown_request(path, node.is_some())),
        },
    }
}

/// Returns the response to a method or path that the API does not have.
fn unknown_request(path: &str, is_retirement: bool) -> OperatorResponse {
    if is_retirement || matches!(path, CONFIGURATION_PATH | VERSION_PATH | STATUS_PATH) {
        OperatorResponse::error(405, "this path has other methods: see the documentation of the calls")
    } else {
        OperatorResponse::error(404, "there is no such call: see the documentation of the calls")
    }
}

fn base_version(request: &Request) -> Result<u64, OperatorResponse> {
    let text = request.headers.get("if-match").unwrap_or_default();
    let missing = || {
        OperatorResponse::error(
            400,
            "If-Match: missing or malformed; give the version that the change builds on",
        )
    };
    text.trim().trim_matches('"').parse().map_err(|_| missing())
}

fn parse_version(body: &[u8]) -> Result<OperatorRequest, OperatorResponse> {
    let document: Value = serde_json::from_slice(body).map_err(|error| {
        OperatorResponse::error(400, &format!("the body isn't JSON ({error}): send it again in full"))
    })?;
    let model = document.get("model").and_then(Value::as_str);
    let version = document.get("config-version").and_then(Value::as_u64).filter(|version| *version > 0);
    match (model, version) {
        (Some(model), Some(version)) => {
            Ok(OperatorRequest::Change(Change::NameVersion { model: model.to_owned(), version }))
        }
        (None, _) => Err(OperatorResponse::error(400, "model: missing or malformed; give the model's name")),
        (_, None) => {
            Err(OperatorResponse::error(400, "config-version: missing or malformed; give a number above 0"))
        }
    }
}

/// Returns the response to a change with this outcome.
pub fn change_response(outcome: &RequestOutcome) -> OperatorResponse {
    match outcome {
        RequestOutcome::Done => OperatorResponse::new(200, &json!({})),
        RequestOutcome::VersionConflict { reason } => OperatorResponse::error(412, reason),
        RequestOutcome::Invalid { reason } => OperatorResponse::error(400, reason),
        RequestOutcome::NotFound { reason } => OperatorResponse::error(404, reason),
        RequestOutcome::Conflict { reason } => OperatorResponse::error(409, reason),
        RequestOutcome::Unknown => OperatorResponse::outcome_unknown(),
    }
}
