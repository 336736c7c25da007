//! Calls that are the duty of one node at a time, as the platform reads them.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use serde_json::Value;

use crate::http::Request;
use crate::observation::{PlatformCall, PlatformOrder};

/// Path of the reports of usage.
pub(super) const USAGE_REPORTS_PATH: &str = "/usage-reports";
/// Path of the orders of how many servers there are.
pub(super) const SCALING_PATH: &str = "/scaling";

/// A call that isn't as the platform's interface describes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub(super) enum MalformedCall {
    /// The header `Duty-Holder` is missing or empty.
    #[display("the header Duty-Holder is missing; name the node that holds the duty")]
    MissingLeader,
    /// The header `Fence-Token` is missing or no whole number.
    #[display("the header Fence-Token is no whole number; send the leadership term")]
    InvalidFencingToken,
    /// The body isn't the JSON that the path asks for.
    #[display("the body isn't what the path asks for; see the platform's interface")]
    Body,
}

/// Reads a call of one of the two paths.
///
/// # Errors
///
/// A header is missing, or the body isn't what the path asks for.
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
