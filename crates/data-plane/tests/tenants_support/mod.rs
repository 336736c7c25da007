//! Configurations with and without tenants, and requests with and without keys.

#![allow(dead_code)]

use std::sync::Arc;

use orchidvalve_configuration::{Configuration, RouteTable};
use orchidvalve_http::{MessageLimits, Request, RequestReader};

pub const KEY: &str = "k-3f09c1";
pub const TENANT: &str = "cuka620";
pub const OTHER_KEY: &str = "k-77ab20";
pub const OTHER_TENANT: &str = "seje681";

/// The name of a tenant, and its keys.
pub type Keys<'a> = (&'a str, &'a [&'a str]);

/// Returns a configuration with the routes `/repeat/`, `/resume/`, `/open/` (public) and `/jobs/` of one host, and
/// `/open-jobs/` (public) of another host. If `tenants` is `None`, the configuration has no tenants.
pub fn table(version: u64, tenants: Option<&[Keys<'_>]>) -> Arc<RouteTable> {
    let document = document(version, tenants);
    RouteTable::compile(&Configuration::replace(document.as_bytes(), None).unwrap())
}

/// Returns the document of such a configuration. A public route `/vN/` shows that version N is active.
pub fn document(version: u64, tenants: Option<&[Keys<'_>]>) -> String {
    let route = |name: &str, host: &str, kind: &str, more: &str| {
        format!(
            r#"{{"name":"{name}","hostname":"{host}","path-prefix":"/{name}/","route-type":"{kind}",
            "target-latency-ms":400,"service":"huvo11a","max-attempts":3{more}}}"#
        )
    };
    let routes = [
        route("repeat", "ficu95.example", "idempotent", ""),
        route("resume", "ficu95.example", "streaming", r#","resumable":true"#),
        route("open", "ficu95.example", "idempotent", r#","public":true"#),
        route("jobs", "ficu95.example", "rollout_control", ""),
        route(&format!("v{version}"), "ficu95.example", "idempotent", r#","public":true"#),
        route("open-jobs", "open.example", "rollout_control", r#","public":true"#),
    ];
    let tenants = tenants.map_or_else(String::new, |tenants| {
        let tenant = |(name, keys): &Keys<'_>| {
            let keys: Vec<String> = keys.iter().map(|key| format!(r#""{key}""#)).collect();
            format!(r#"{{"name":"{name}","api-keys":[{}]}}"#, keys.join(","))
        };
        let listed: Vec<String> = tenants.iter().map(tenant).collect();
        format!(r#","tenants":[{}]"#, listed.join(","))
    });
    format!(
        r#"{{"config-version":{version},"routes":[{}],"services":[{{"name":"huvo11a"}}]{tenants}}}"#,
        routes.join(",")
    )
}

/// Returns a configuration with two tenants that have one key each.
pub fn two_tenants(version: u64) -> Arc<RouteTable> {
    table(version, Some(&[(TENANT, &[KEY]), (OTHER_TENANT, &[OTHER_KEY])]))
}

/// Returns a request for a path, with these header lines in addition to its host and id.
pub fn request(path: &str, lines: &str) -> Request {
    request_to("ficu95.example", path, lines)
}

pub fn request_to(host: &str, path: &str, lines: &str) -> Request {
    let text = format!("POST {path} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: 9c41d07be2a35f68\r\n{lines}\r\n");
    let limits = MessageLimits { header_bytes: 1 << 20, body_bytes: 4_096 };
    RequestReader::default().read(text.as_bytes(), &limits).unwrap().request.unwrap()
}

/// Returns the header line with a key.
pub fn bearer(key: &str) -> String {
    format!("Authorization: Bearer {key}\r\n")
}

/// Returns the values of a header in an encoded request.
pub fn values<'a>(sent: &'a [u8], name: &str) -> Vec<&'a str> {
    let head = std::str::from_utf8(sent).unwrap().split("\r\n\r\n").next().unwrap();
    let lines = head.split("\r\n").skip(1).map(|line| line.split_once(": ").unwrap());
    lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value).collect()
}

/// Whether the bytes of `text` occur in an encoded request.
pub fn contains(sent: &[u8], text: &str) -> bool {
    sent.windows(text.len()).any(|window| window == text.as_bytes())
}
