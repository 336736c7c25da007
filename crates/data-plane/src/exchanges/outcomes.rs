//! Maps servers' responses to outcomes of generations and reward calls.

use orchidvalve_http::ResponseHead;
use orchidvalve_protocol::time_limit::TimeLimit;

use super::Stream;
use crate::generations::{AttemptOutcome, RewardOutcome};
use crate::response_class::{is_signed, is_success};

/// Returns the outcome of a generation's stream that is complete by its framing. A success without the server's
/// signature did not come from a server and counts as broken.
pub fn stream_outcome(stream: &Stream) -> AttemptOutcome {
    match &stream.head {
        Some(head) if is_success(head) => {
            if !is_signed(head) || stream.events.has_partial_event() {
                AttemptOutcome::Broken
            } else {
                AttemptOutcome::Complete
            }
        }
        Some(head) => AttemptOutcome::Status {
            code: head.status,
            not_executed: head.headers.get("not-executed").is_some(),
            retry_after_ms: retry_after_ms(head),
            version: weight_version(head),
        },
        None => AttemptOutcome::Broken,
    }
}

/// Returns the outcome of a generation's stream that has no framing and whose connection was closed in order.
pub fn closed_stream_outcome(stream: &Stream) -> AttemptOutcome {
    match stream_outcome(stream) {
        AttemptOutcome::Complete => AttemptOutcome::Closed,
        outcome => outcome,
    }
}

/// Returns the outcome of a reward call whose response is complete.
pub fn reward_outcome(head: Option<&ResponseHead>) -> RewardOutcome {
    match head {
        Some(head) => RewardOutcome::Response {
            code: head.status,
            signature: head.headers.get("server-signature").map(Into::into),
            retry_after_ms: retry_after_ms(head),
        },
        None => RewardOutcome::Broken,
    }
}

fn retry_after_ms(head: &ResponseHead) -> Option<u64> {
    let seconds: f64 = head.headers.get("retry-after")?.parse().ok()?;
    (seconds >= 0.0).then_some(TimeLimit::from_seconds(seconds).as_millis())
}

/// Returns the version of the weights under which a response begins: the last one in `Weight-Versions`.
pub fn weight_version(head: &ResponseHead) -> Option<u64> {
    let versions = head.headers.get("weight-versions")?;
    versions.rsplit(',').next()?.trim().parse().ok()
}
