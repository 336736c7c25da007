//! Parsing of the calls that only the leader of a singleton role may make.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use serde_json::Value;

use crate::http::Request;
use crate::observation::{PlatformCall, PlatformOrder};

/// Path of usage reports.
pub(super) const USAGE_REPORTS_PATH: &str = "/usage-reports";
/// Path of scaling orders.
pub(super) const SCALING_PATH: &str = "/scaling";

/// A call that does not conform to the platform's API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub(super) enum MalformedCall {
    /// The `Duty-Holder` header is missing or empty.
    #[display("the header Duty-Holder is missing; send the name of the leader's node")]
    MissingLeader,
    /// The `Fence-Token` header is missing or not an unsigned integer.
    #[display("the header Fence-Token is not an unsigned integer; send the leadership term")]
    InvalidFencingToken,
    /// The body is not the JSON document that the path requires.
    #[display("the body does not match the path; see the platform's API")]
    Body,
}

/// Parses a call to one of the two paths.
///
/// # Errors
///
/// Returns an error if a header is missing or invalid, or the body does not match the path.
pub(super) fn read_platform_call(request: &Request) -> Result<PlatformCall, MalformedCall> {
    let leader = request.headers.get("Duty-Holder").filter(|leader| !leader.is_empty());
    let leader = leader.ok_or(MalformedCall::MissingLeader)?.to_owned();
    let token = request.headers.number("Fence-Token").ok_or(MalformedCall::InvalidFencingToken)?;
    let body: Value = serde_json::from_slice(&request.body).map_err(|_| MalformedCall::Body)?;
    let order = match request.path() {
        USAGE_REPORTS_PATH => read_usage_report(&body),
        _ => read_scaling(&body),
    };
    let order = order.ok_or(MalformedCall::Body)?;
    Ok(PlatformCall { leader, source: String::new(), token, order })
}

fn read_usage_report(body: &Value) -> Option<PlatformOrder> {
    let window = body.get("window")?.as_u64()?;
    let counts = body.get("counts")?.as_object()?.iter();
    let counts: Option<BTreeMap<String, u64>> =
        counts.map(|(tenant, count)| Some((tenant.clone(), count.as_u64()?))).collect();
    Some(PlatformOrder::UsageReport { window, counts: counts? })
}

fn read_scaling(body: &Value) -> Option<PlatformOrder> {
    Some(PlatformOrder::Scaling {
        service: body.get("service")?.as_str()?.to_owned(),
        zone: body.get("zone")?.as_str()?.to_owned(),
        desired_count: body.get("desired-count")?.as_u64()?,
    })
}
