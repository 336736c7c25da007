//! Errors of requests, in the format of OpenSearch.

use std::fmt::Display;

use derive_more::{Display, Error};
use serde_json::{Value, json};

/// The `type` of errors in a body.
pub const PARSING: &str = "parsing_exception";
/// The `type` of errors in parameters outside the body.
pub const ARGUMENT: &str = "illegal_argument_exception";
/// The `type` of the error for too many clauses.
pub const TOO_MANY_CLAUSES: &str = "too_many_clauses";
/// The `type` of the error for an unknown index.
pub const NO_INDEX: &str = "index_not_found_exception";

/// Why a request is rejected: OpenSearch's error type, the reason, the path in the body, and the response status.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{path}{}{reason}", if path.is_empty() { "" } else { ": " })]
pub struct SearchError {
    /// OpenSearch's name of the error type.
    pub kind: &'static str,
    /// The reason.
    pub reason: String,
    /// The path in the JSON body, or the name of a parameter; empty if the error concerns the whole body.
    pub path: String,
    /// HTTP status of the response.
    pub status: u16,
}

impl SearchError {
    /// Creates an error with status 400.
    pub fn new(kind: &'static str, path: impl Into<String>, reason: impl Display) -> SearchError {
        SearchError { kind, reason: reason.to_string(), path: path.into(), status: 400 }
    }

    /// Creates an error about a parameter outside the body, with status 400.
    pub fn argument(path: impl Into<String>, reason: impl Display) -> SearchError {
        SearchError::new(ARGUMENT, path, reason)
    }

    /// Returns the error object, as used in an error response and in the responses of an `_msearch`.
    pub fn body(&self) -> Value {
        error_body(self.kind, &self.to_string(), self.status)
    }
}

/// Returns an error object in OpenSearch's format.
pub fn error_body(kind: &str, reason: &str, status: u16) -> Value {
    let cause = json!({"type": kind, "reason": reason});
    json!({"error": {"root_cause": [cause], "type": kind, "reason": reason}, "status": status})
}
