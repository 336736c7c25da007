//! Tests of a complete gateway process: keys and tenants on open connections while the configuration changes.

mod gateway_support;
mod tenants_support;

use gateway_support::{Client, World};
use orchidvalve_batch::Job;
use orchidvalve_protocol::frames::decode;
use orchidvalve_protocol::messages::GatewayMessage;
use rstest::rstest;
use tenants_support::*;

/// The values of `Tenant` and `Authorization` in a request to a server.
type Credentials = (Vec<String>, Vec<String>);

/// Sends a request with a key on a route that isn't public. Returns the status, and the credentials that the server
/// received, if it received the request.
fn request(world: &World, client: &mut Client, lines: &str) -> (u16, Option<Credentials>) {
    world.server.lock().unwrap().received.clear();
    let status = client.request_until_final("GET", "/repeat/1", lines).status;
    let received = std::mem::take(&mut world.server.lock().unwrap().received);
    let of = |sent: &[u8], name: &str| values(sent, name).into_iter().map(str::to_owned).collect();
    (status, received.last().map(|sent| (of(sent, "tenant"), of(sent, "authorization"))))
}

fn served_as(tenant: &str) -> (u16, Option<Credentials>) {
    (200, Some((vec![tenant.to_owned()], Vec::new())))
}

// Guards the invariants CONFIG and UNASKED on an open connection: a key that is removed, moved or restored, the removal
// of a tenant's last key or of all tenants, and configurations with and without tenants that replace each other.
#[test]
fn each_request_on_a_connection_uses_the_active_configuration() {
    let world = World::start(1);
    let lines = format!("Tenant: seje681\r\n{}", bearer(KEY));
    world.configure(1, &document(1, None));
    let mut client = world.client();
    let unchanged = (vec![OTHER_TENANT.to_owned()], vec!["Bearer k-3f09c1".to_owned()]);
    assert_eq!(request(&world, &mut client, &lines), (200, Some(unchanged.clone())));
    let versions: [(Option<&[Keys<'_>]>, _); 7] = [
        (Some(&[(TENANT, &[KEY]), (OTHER_TENANT, &[OTHER_KEY])]), served_as(TENANT)),
        (Some(&[(TENANT, &[]), (OTHER_TENANT, &[OTHER_KEY])]), (401, None)),
        (Some(&[(TENANT, &[KEY])]), served_as(TENANT)),
        (Some(&[(TENANT, &[]), (OTHER_TENANT, &[OTHER_KEY, KEY])]), served_as(OTHER_TENANT)),
        (Some(&[]), (401, None)),
        (Some(&[("renamed", &[KEY])]), served_as("renamed")),
        (None, (200, Some(unchanged))),
    ];
    for (version, (tenants, expected)) in (2..).zip(versions) {
        world.configure(version, &document(version, tenants));
        assert_eq!(request(&world, &mut client, &lines), expected, "version {version}");
    }
}

// Guards the invariant ROUTE: an error response says what is missing and names the authentication scheme.
#[test]
fn a_request_without_a_key_is_rejected_and_never_reaches_a_server() {
    let world = World::start(2);
    world.configure(1, &document(1, Some(&[(TENANT, &[KEY])])));
    let mut client = world.client();
    let twice = format!("{}{}", bearer(KEY), bearer(KEY));
    let long = bearer(&"k".repeat(10_000));
    for lines in ["", &bearer("k-000000"), &twice, &long, "Authorization: Basic k-3f09c1\r\n"] {
        for (method, path) in [("GET", "/repeat/1"), ("POST", "/jobs/1"), ("GET", "/v1/lots/9c41")] {
            let response = client.request_until_final(method, path, lines);
            assert_eq!(response.status, 401, "{path} {lines}");
            assert!(contains(&response.head, "WWW-Authenticate: Bearer"));
            assert!(!contains(&response.head, "k-"));
        }
    }
    assert_eq!(client.request_until_final("GET", "/unknown/1", &bearer(KEY)).status, 404);
    assert!(world.server.lock().unwrap().received.is_empty());
    assert!(world.store.lock().unwrap().calls.is_empty());
}

// Guards the invariant UNASKED: each attempt names the tenant, also after the server has rejected the first one.
#[test]
fn a_retry_names_the_tenant_to_the_server() {
    let world = World::start(3);
    world.configure(1, &document(1, Some(&[(TENANT, &[KEY])])));
    world.server.lock().unwrap().rejections = 1;
    let mut client = world.client();
    assert_eq!(client.request("GET", "/repeat/1", &bearer(KEY)).status, 200);
    let received = world.server.lock().unwrap().received.clone();
    assert_eq!(received.len(), 2);
    for sent in received {
        assert_eq!((values(&sent, "tenant"), contains(&sent, KEY)), (vec![TENANT], false));
    }
}

// Guards the invariant CONFIG: pipelined requests are read one at a time, each with the configuration that is then
// active.
#[test]
fn pipelined_requests_are_each_authenticated() {
    let world = World::start(4);
    world.configure(1, &document(1, Some(&[(TENANT, &[KEY]), (OTHER_TENANT, &[OTHER_KEY])])));
    let mut client = world.client();
    client.send("GET", "/repeat/1", &bearer(KEY));
    client.send("GET", "/repeat/2", &bearer(OTHER_KEY));
    client.send("GET", "/open/3", "");
    assert_eq!([(); 3].map(|()| client.receive().status), [200; 3]);
    let received = world.server.lock().unwrap().received.clone();
    let tenants: Vec<Vec<&str>> = received.iter().map(|sent| values(sent, "tenant")).collect();
    assert_eq!(tenants, [vec![TENANT], vec![OTHER_TENANT], vec![]]);
    // The rest of a request arrives after its key was removed.
    client.send_part("GET /repeat/4 HTTP/1.1\r\nHost: ficu95.example\r\n");
    world.configure(2, &document(2, Some(&[(TENANT, &[]), (OTHER_TENANT, &[OTHER_KEY])])));
    client.send_part(&format!("{}\r\n", bearer(KEY)));
    let response = client.receive();
    assert!(matches!(response.status, 401 | 503), "{response:?}");
    assert!(world.server.lock().unwrap().received.is_empty());
}

// Guards the invariants CONFIG and ROUTE: a gateway without a control node doesn't finally reject what a newer
// configuration may allow, and continues with the configuration that it has.
#[test]
fn a_gateway_without_control_plane_rejects_nothing_finally() {
    let world = World::start(5);
    world.configure(1, &document(1, Some(&[(TENANT, &[KEY])])));
    let mut client = world.client();
    assert_eq!(client.request_until_final("GET", "/repeat/1", "").status, 401);
    world.disconnect_control_plane();
    // The gateway notices the loss of its session after a while and responds with 503 from then on.
    let unknown = bearer("k-000000");
    assert!((0..100_000).any(|_| client.request("GET", "/repeat/1", &unknown).status == 503));
    for (path, lines) in [("/repeat/1", ""), ("/unknown/1", unknown.as_str()), ("/v1/lots/9c41", "")] {
        let response = client.request("GET", path, lines);
        assert_eq!(response.status, 503, "{path}");
        assert!(contains(&response.head, "Retry-After: "));
    }
    assert_eq!(request(&world, &mut client, &bearer(KEY)), served_as(TENANT));
}

const JOB: &str =
    r#"{"requests":[{"instance-id":"i","path":"/p","headers":{},"body":"aGk=","token-usage":1}]}"#;

// Guards the invariant UNASKED: jobs are submitted and read on behalf of the key's tenant, and by no other tenant.
#[rstest]
#[case::with_tenants(6, Some(&[(TENANT, &[KEY] as &[&str])] as &[Keys<'static>]), Some(TENANT))]
#[case::without_tenants(7, None, None)]
fn calls_about_batch_jobs_carry_the_tenant_of_their_key(
    #[case] number: u8,
    #[case] tenants: Option<&[Keys<'static>]>,
    #[case] expected: Option<&str>,
) {
    let world = World::start(number);
    world.configure(1, &document(1, tenants));
    let lines = format!("{}Tenant: seje681\r\n", bearer(KEY));
    let mut client = world.client();
    // A submission while the store node isn't connected yet is rejected, and the client repeats it.
    let accepted = (0..100).any(|_| {
        client.send_body("POST", "/jobs/1", &lines, JOB);
        client.receive().status == 202
    });
    assert!(accepted);
    let calls =
        [("GET", "/v1/lots/9c41"), ("GET", "/v1/items/9c41?instance-id=i"), ("DELETE", "/v1/lots/9c41")];
    let statuses = calls.map(|(method, path)| client.request(method, path, &lines).status);
    assert_eq!(statuses, [200, 200, 403]);
    let store = world.store.lock().unwrap();
    let job: Job = decode(&store.jobs["9c41"]).unwrap();
    assert_eq!(job.tenant.as_deref(), expected);
    let tenants = store.calls.iter().filter_map(|call| match call {
        GatewayMessage::ReadResults { tenant, .. }
        | GatewayMessage::ReadItemBody { tenant, .. }
        | GatewayMessage::EndJob { tenant, .. } => Some(tenant.as_deref()),
        _ => None,
    });
    assert_eq!(tenants.collect::<Vec<_>>(), [expected; 3]);
    assert!(!contains(&store.jobs["9c41"], KEY));
}

// Guards the invariant CONFIG: a request that waits for the first configuration is authenticated by it.
#[test]
fn requests_received_before_the_first_configuration_are_authenticated_by_it() {
    let world = World::start(8);
    let mut clients = [(); 3].map(|()| world.client());
    clients[0].send("GET", "/repeat/1", &bearer(KEY));
    clients[1].send("GET", "/repeat/1", &bearer("k-000000"));
    clients[2].send("GET", "/v1/lots/9c41", "");
    world.configure(1, &document(1, Some(&[(TENANT, &[KEY])])));
    let statuses = clients.each_mut().map(|client| client.receive().status);
    assert!(matches!(statuses, [200 | 503, 401 | 503, 401 | 503]), "{statuses:?}");
    let mut client = world.client();
    assert_eq!(request(&world, &mut client, &bearer(KEY)), served_as(TENANT));
}
