//! Encoding of requests to servers as HTTP/1.1 (RFC 9112), with the headers that servers evaluate.

use std::sync::Arc;

use orchidvalve_http::{Request, write_head_end, write_header, write_number_header, write_request_line};

use crate::authentication::{Authenticated, TENANT_HEADER, is_credential};
use crate::generations::{Item, RouteSettings};
use crate::response_class::forwarded_headers;

/// The capacity reserved for the head of a request, in bytes.
const HEAD_CAPACITY: usize = 512;

/// Encodes a client's request for a server.
///
/// Only these parts are changed: hop-by-hop headers, the deadline, the expected instance, and the event after which a
/// stream is resumed. If the configuration has tenants, the client's key is removed and a header names the tenant.
pub fn request_bytes(
    request: &Request,
    caller: &Authenticated,
    instance: &str,
    deadline_ms: u64,
    last_event_id: Option<u64>,
) -> Vec<u8> {
    let mut out = Vec::with_capacity(request.body.len() + HEAD_CAPACITY);
    write_request_line(&mut out, &request.method, &request.target);
    for (name, value) in forwarded_headers(&request.headers) {
        let replaced = name.eq_ignore_ascii_case("deadline-ms")
            || name.eq_ignore_ascii_case("expected-instance")
            || caller.withholds(name)
            || (last_event_id.is_some() && name.eq_ignore_ascii_case("last-event-id"));
        if !replaced {
            write_header(&mut out, name, value);
        }
    }
    write_number_header(&mut out, "Deadline-Ms", deadline_ms);
    write_header(&mut out, "Expected-Instance", instance);
    if let Some(tenant) = caller.tenant() {
        write_header(&mut out, TENANT_HEADER, tenant);
    }
    if let Some(id) = last_event_id {
        write_number_header(&mut out, "Last-Event-Id", id);
    }
    let has_body = !request.body.is_empty() || !matches!(request.method.as_str(), "GET" | "HEAD" | "DELETE");
    if has_body {
        write_number_header(&mut out, "Content-Length", request.body.len() as u64);
    }
    write_head_end(&mut out);
    out.extend_from_slice(&request.body);
    out
}

/// Encodes a generation for a server.
///
/// If the batch job has a tenant, or the configuration has tenants, headers of the item that identify a caller are
/// removed: only the gateway names the tenant to servers.
pub fn generation_bytes(
    item: &Item,
    route: &RouteSettings,
    instance: &str,
    last_event_id: Option<u64>,
    expect_version: Option<u64>,
    deadline_ms: u64,
) -> Vec<u8> {
    let mut out = Vec::with_capacity(item.body.len() + HEAD_CAPACITY);
    write_request_line(&mut out, "POST", &item.path);
    write_header(&mut out, "Host", &route.host);
    write_header(&mut out, "Attempt-Id", &item.id);
    let withholds_credentials = item.tenant.is_some() || route.has_tenants;
    for (name, value) in &item.headers {
        if !(withholds_credentials && is_credential(name)) {
            write_header(&mut out, name, value);
        }
    }
    if let Some(tenant) = &item.tenant {
        write_header(&mut out, TENANT_HEADER, tenant);
    }
    write_number_header(&mut out, "Deadline-Ms", deadline_ms);
    write_header(&mut out, "Expected-Instance", instance);
    if let Some(id) = last_event_id {
        write_number_header(&mut out, "Last-Event-Id", id);
    }
    if let Some(version) = expect_version {
        write_number_header(&mut out, "Expect-Version", version);
    }
    write_number_header(&mut out, "Content-Length", item.body.len() as u64);
    write_head_end(&mut out);
    out.extend_from_slice(&item.body);
    out
}

/// Encodes a reward call for a server.
pub fn reward_bytes(item: &Arc<Item>, instance: &str, deadline_ms: u64) -> Vec<u8> {
    let Some(scorer) = &item.scorer else { return Vec::new() };
    let mut out = Vec::with_capacity(scorer.body.len() + HEAD_CAPACITY);
    write_request_line(&mut out, "POST", &scorer.path);
    write_header(&mut out, "Host", &scorer.hostname);
    write_header(&mut out, "Attempt-Id", &scorer.id);
    write_number_header(&mut out, "Deadline-Ms", deadline_ms);
    write_header(&mut out, "Expected-Instance", instance);
    write_number_header(&mut out, "Content-Length", scorer.body.len() as u64);
    write_head_end(&mut out);
    out.extend_from_slice(&scorer.body);
    out
}
