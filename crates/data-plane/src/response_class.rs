//! Classification of servers' responses, and selection of the headers to forward.

use orchidvalve_http::{Headers, ResponseHead};

/// Whether the response states that the request did not run, so that it may be attempted at another server. A 400 is
/// the server's verdict on the request itself and is forwarded.
pub fn is_rejection(head: &ResponseHead) -> bool {
    let says_so = head.headers.get("not-executed").is_some();
    head.status == 421 || says_so && (matches!(head.status, 408 | 429) || head.status >= 500)
}

/// Whether clients interpret the status as a promise that the request has not run and never will.
pub fn promises_no_execution(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Whether an idempotent request should be attempted at another server after this status.
pub(crate) fn is_failure(status: u16) -> bool {
    status >= 500 || promises_no_execution(status)
}

/// Whether the status is in the range 200 to 299.
pub(crate) fn is_success(head: &ResponseHead) -> bool {
    (200..300).contains(&head.status)
}

/// Whether the response is a success that may be sent to a client. A success without the server's signature is not.
pub(crate) fn is_signed(head: &ResponseHead) -> bool {
    is_success(head) && head.headers.get("server-signature").is_some()
}

/// Headers that concern a single connection (RFC 9110, section 7.6.1) or that the gateway writes itself.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// Returns the headers to forward: all except hop-by-hop headers, which the `Connection` header may add to.
pub fn forwarded_headers(headers: &Headers) -> impl Iterator<Item = (&str, &str)> {
    let has_connection = headers.get("connection").is_some();
    headers.iter().filter(move |(name, _)| {
        let hop_by_hop = HOP_BY_HOP_HEADERS.iter().any(|other| name.eq_ignore_ascii_case(other));
        let listed = has_connection && headers.has_token("connection", name);
        !hop_by_hop && !listed
    })
}
