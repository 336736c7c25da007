//! Tests of the keys and tenants that servers receive: the bytes of every attempt of a request.

mod requests_support;
mod sockets_support;
mod tenants_support;

use std::sync::Arc;

use orchidvalve_configuration::RouteTable;
use orchidvalve_data_plane::admission::{ConfigurationAge, admit_request};
use orchidvalve_data_plane::clients::{Busy, Clients, ReadOutcome};
use orchidvalve_data_plane::requests::{ReceivedRequest, RequestId};
use orchidvalve_data_plane::startup_queue::StartupQueue;
use orchidvalve_data_plane::upstream::Failure;
use orchidvalve_http::{MessageLimits, Request};
use orchidvalve_net::{Event, Network};
use requests_support::{Attempted, Harness, rejection, success};
use rstest::rstest;
use sockets_support::{MAX_TURNS, Peer, TURN, loopback, v4};
use tenants_support::*;

/// Begins a request with a configuration, as a gateway does.
fn begin(gateway: &mut Harness, table: &Arc<RouteTable>, request: Request) -> RequestId {
    let admitted = admit_request(&request, table, ConfigurationAge::Current).unwrap();
    let received = ReceivedRequest { request, first_byte_at: gateway.now };
    gateway.begin_admitted(received, table, admitted)
}

fn assert_names_tenant_only(sent: &[u8], tenant: &[&str]) {
    assert_eq!(values(sent, "tenant"), tenant);
    assert!(values(sent, "authorization").is_empty());
    assert!(!contains(sent, KEY), "{}", String::from_utf8_lossy(sent));
}

// Guards the invariant UNASKED: servers receive the tenant, and neither the client's key nor its own claims.
#[rstest]
#[case::plain("", &[TENANT])]
#[case::claims_a_tenant("Tenant: seje681\r\n", &[TENANT])]
#[case::claims_tenants_in_any_case("tenant: seje681\r\nTENANT: x\r\nTenant:\r\n", &[TENANT])]
#[case::names_them_as_of_the_connection("Connection: Tenant, Authorization\r\nTenant: seje681\r\n", &[TENANT])]
fn servers_receive_the_tenant_and_no_key(#[case] lines: &str, #[case] tenant: &[&str]) {
    let mut gateway = Harness::new(2);
    let lines = format!("{lines}{}X-Any: one\r\n", bearer(KEY));
    begin(&mut gateway, &two_tenants(1), request("/repeat/1", &lines));
    assert_names_tenant_only(&gateway.sent[0], tenant);
    assert_eq!(values(&gateway.sent[0], "x-any"), ["one"]);
    assert_eq!(values(&gateway.sent[0], "attempt-id"), ["9c41d07be2a35f68"]);
}

// Guards the invariant UNASKED: the same on public routes, where no key is needed.
#[rstest]
#[case::no_key("Tenant: seje681\r\n", &[])]
#[case::known_key("Tenant: seje681\r\nAuthorization: Bearer k-3f09c1\r\n", &[TENANT])]
#[case::unknown_key("Authorization: Bearer k-3f09c1x\r\nTenant: seje681\r\n", &[])]
#[case::two_keys("Authorization: Bearer k-3f09c1\r\nAuthorization: Basic k-3f09c1\r\n", &[])]
fn servers_of_public_routes_receive_no_key(#[case] lines: &str, #[case] tenant: &[&str]) {
    let mut gateway = Harness::new(2);
    begin(&mut gateway, &two_tenants(1), request("/open/1", lines));
    assert_names_tenant_only(&gateway.sent[0], tenant);
}

#[test]
fn without_tenants_headers_are_unchanged() {
    let mut gateway = Harness::new(2);
    let lines = format!("Tenant: seje681\r\n{}", bearer(KEY));
    begin(&mut gateway, &table(1, None), request("/repeat/1", &lines));
    assert_eq!(values(&gateway.sent[0], "tenant"), [OTHER_TENANT]);
    assert_eq!(values(&gateway.sent[0], "authorization"), ["Bearer k-3f09c1"]);
}

/// The reason why the gateway attempts a request again.
#[derive(Clone, Copy)]
enum Cause {
    Rejected,
    Broken,
    ConnectionClosedWhileIdle,
    Overdue,
    StreamBroken,
}

fn cause_retry(gateway: &mut Harness, first: Attempted, cause: Cause) {
    match cause {
        Cause::Rejected => gateway.respond(first, rejection(503), ""),
        Cause::Broken => gateway.fail(first, Failure::Broken),
        Cause::ConnectionClosedWhileIdle => gateway.fail(first, Failure::Stale),
        Cause::Overdue => gateway.advance(400),
        Cause::StreamBroken => {
            gateway.head(first, success());
            gateway.body(first, "id: 1\ndata: e1\n\n");
            gateway.fail(first, Failure::Broken);
        }
    }
}

// Guards the invariant UNASKED: between two attempts of a request its key is removed or moved to another tenant, or the
// configuration gets or loses its tenants. Every attempt names the tenant determined when the request began.
#[rstest]
fn every_attempt_names_the_original_tenant(
    #[values(
        ("/repeat/1", Cause::Rejected),
        ("/repeat/1", Cause::Broken),
        ("/repeat/1", Cause::ConnectionClosedWhileIdle),
        ("/repeat/1", Cause::Overdue),
        ("/resume/1", Cause::StreamBroken)
    )]
    request_and_cause: (&str, Cause),
    #[values(
        Some(&[(TENANT, &[] as &[&str]), (OTHER_TENANT, &[OTHER_KEY])] as &[Keys<'static>]),
        Some(&[(OTHER_TENANT, &[OTHER_KEY, KEY] as &[&str])] as &[Keys<'static>]),
        Some(&[] as &[Keys<'static>]),
        None
    )]
    next: Option<&[Keys<'static>]>,
) {
    let (path, cause) = request_and_cause;
    let mut gateway = Harness::new(3);
    let lines = format!("Tenant: seje681\r\n{}", bearer(KEY));
    begin(&mut gateway, &two_tenants(1), request(path, &lines));
    // Another request begins with the next configuration before the first one is attempted again.
    begin(&mut gateway, &table(2, next), request("/open/1", &lines));
    let first = gateway.attempts[0];
    cause_retry(&mut gateway, first, cause);
    let again = gateway.sent.iter().filter(|sent| contains(sent, path)).collect::<Vec<_>>();
    assert_eq!(again.len(), 2);
    for sent in again {
        assert_names_tenant_only(sent, &[TENANT]);
    }
}

// Guards the invariant UNASKED: a request that began while there were no tenants is sent in the same way each time.
#[test]
fn a_request_begun_without_tenants_is_retried_without() {
    let mut gateway = Harness::new(3);
    begin(&mut gateway, &table(1, None), request("/repeat/1", &bearer(KEY)));
    begin(&mut gateway, &two_tenants(2), request("/repeat/2", &bearer(KEY)));
    let first = gateway.attempts[0];
    gateway.fail(first, Failure::Broken);
    assert!(contains(&gateway.sent[2], "/repeat/1") && values(&gateway.sent[2], "tenant").is_empty());
    assert_names_tenant_only(&gateway.sent[1], &[TENANT]);
}

// Guards the invariant CONFIG: a request that waited for a configuration is authenticated by the keys that are active
// when it leaves the queue.
#[test]
fn a_queued_request_uses_the_configuration_it_waited_for() {
    let mut queue = StartupQueue::default();
    for path in ["/repeat/1", "/repeat/2"] {
        let received = ReceivedRequest { request: request(path, &bearer(KEY)), first_byte_at: 1 };
        queue.push(received).unwrap();
    }
    let moved = table(2, Some(&[(OTHER_TENANT, &[KEY])]));
    let mut gateway = Harness::new(2);
    for queued in queue.drain() {
        begin(&mut gateway, &moved, queued.received.request);
    }
    assert_eq!(gateway.sent.len(), 2);
    gateway.sent.iter().for_each(|sent| assert_names_tenant_only(sent, &[OTHER_TENANT]));
}

/// Reads the next request of a connection.
fn read_next(network: &mut Network, clients: &mut Clients) -> Request {
    const LIMITS: MessageLimits = MessageLimits { header_bytes: 4_096, body_bytes: 4_096 };
    for _ in 0..MAX_TURNS {
        for event in network.poll(TURN).unwrap() {
            match event {
                Event::Accepted { connection, .. } => clients.accepted(connection, 1_000),
                Event::Data(connection) => {
                    if let ReadOutcome::Request(request) = clients.read(network, connection, &LIMITS, 1_000) {
                        clients.assign(connection, Busy::Request(RequestId(1)));
                        return request;
                    }
                }
                other => unreachable!("{other:?}"),
            }
        }
    }
    panic!("no request arrived");
}

// Guards the invariant CONFIG: on open connections, keys are evaluated by the active configuration, not by an older
// one.
#[test]
fn pipelined_requests_each_use_the_active_configuration() {
    const LIMITS: MessageLimits = MessageLimits { header_bytes: 4_096, body_bytes: 4_096 };
    let mut network = Network::new().unwrap();
    let address = v4(network.listen(loopback(), 1).unwrap());
    let mut clients = Clients::default();
    let mut peer = Peer::connect(address);
    let text = |path: &str| format!("GET {path} HTTP/1.1\r\nHost: ficu95.example\r\n{}\r\n", bearer(KEY));
    peer.send(&["/repeat/1", "/repeat/2", "/repeat/3"].map(text).concat());
    let first = read_next(&mut network, &mut clients);
    let connection = clients.connection_of(Busy::Request(RequestId(1))).unwrap();
    let by = |request: &Request, table: &RouteTable| {
        let admitted = admit_request(request, table, ConfigurationAge::Current);
        admitted.map(|admitted| admitted.caller.tenant().map(str::to_owned))
    };
    assert_eq!(by(&first, &two_tenants(1)), Ok(Some(TENANT.to_owned())));
    // The configuration changes while the first request is being responded to; the others are read only after that.
    let removed = table(2, Some(&[(TENANT, &[])]));
    let moved = table(3, Some(&[(TENANT, &[]), (OTHER_TENANT, &[KEY])]));
    let mut read = |status| {
        clients.respond(&mut network, connection, status, &[], b"", 1_000);
        let ReadOutcome::Request(request) = clients.read(&mut network, connection, &LIMITS, 1_000) else {
            panic!("the request is not available");
        };
        request
    };
    let rejected = by(&read(200), &removed).unwrap_err();
    assert_eq!(rejected.status(), 401);
    assert_eq!(by(&read(rejected.status()), &moved), Ok(Some(OTHER_TENANT.to_owned())));
}
