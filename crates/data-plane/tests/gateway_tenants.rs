//! A whole gateway process: keys and tenants on open connections while the configuration changes.

mod gateway_support;
mod tenants_support;

use gateway_support::{Client, World};
use orchidvalve_batch::Job;
use orchidvalve_protocol::frames::decode;
use orchidvalve_protocol::messages::GatewayMessage;
use rstest::rstest;
use tenants_support::*;

/// Values of `Tenant` and `Authorization` in what a server got.
type Credentials = (Vec<String>, Vec<String>);

/// Asks with a key for a route that isn't public; the status, and what the server got, if it got the request.
fn ask(world: &World, client: &mut Client, lines: &str) -> (u16, Option<Credentials>) {
    world.server.lock().unwrap().received.clear();
    let status = client.ask_until_final("GET", "/repeat/1", lines).status;
    let received = std::mem::take(&mut world.server.lock().unwrap().received);
    let of = |sent: &[u8], name: &str| values(sent, name).into_iter().map(str::to_owned).collect();
    (status, received.last().map(|sent| (of(sent, "tenant"), of(sent, "authorization"))))
}

fn served_as(tenant: &str) -> (u16, Option<Credentials>) {
    (200, Some((vec![tenant.to_owned()], Vec::new())))
}

// Guards against CONFIG and UNASKED: on an open connection, a key that was taken away, moved or given back, a tenant's last
// key, all tenants, and a configuration with tenants that replaces one without and the other way.
#[test]
fn on_an_open_connection_each_request_goes_by_the_configuration_in_force() {
    let world = World::start(1);
    let lines = format!("Tenant: seje681\r\n{}", bearer(KEY));
    world.configure(1, &document(1, None));
    let mut client = world.client();
    let as_it_came = (vec![OTHER_TENANT.to_owned()], vec!["Bearer k-3f09c1".to_owned()]);
    assert_eq!(ask(&world, &mut client, &lines), (200, Some(as_it_came.clone())));
    let versions: [(Option<&[Keys<'_>]>, _); 7] = [
        (Some(&[(TENANT, &[KEY]), (OTHER_TENANT, &[OTHER_KEY])]), served_as(TENANT)),
        (Some(&[(TENANT, &[]), (OTHER_TENANT, &[OTHER_KEY])]), (401, None)),
        (Some(&[(TENANT, &[KEY])]), served_as(TENANT)),
        (Some(&[(TENANT, &[]), (OTHER_TENANT, &[OTHER_KEY, KEY])]), served_as(OTHER_TENANT)),
        (Some(&[]), (401, None)),
        (Some(&[("renamed", &[KEY])]), served_as("renamed")),
        (None, (200, Some(as_it_came))),
    ];
    for (version, (tenants, expected)) in (2..).zip(versions) {
        world.configure(version, &document(version, tenants));
        assert_eq!(ask(&world, &mut client, &lines), expected, "version {version}");
    }
}

// Guards against ROUTE: refusals say what is missing, and name the scheme.
#[test]
fn a_request_without_a_key_is_refused_and_never_reaches_a_server() {
    let world = World::start(2);
    world.configure(1, &document(1, Some(&[(TENANT, &[KEY])])));
    let mut client = world.client();
    let twice = format!("{}{}", bearer(KEY), bearer(KEY));
    let long = bearer(&"k".repeat(10_000));
    for lines in ["", &bearer("k-000000"), &twice, &long, "Authorization: Basic k-3f09c1\r\n"] {
        for (method, path) in [("GET", "/repeat/1"), ("POST", "/jobs/1"), ("GET", "/v1/lots/9c41")] {
            let answer = client.ask_until_final(method, path, lines);
            assert_eq!(answer.status, 401, "{path} {lines}");
            assert!(contains(&answer.head, "WWW-Authenticate: Bearer"));
            assert!(!contains(&answer.head, "k-"));
        }
    }
    assert_eq!(client.ask_until_final("GET", "/unknown/1", &bearer(KEY)).status, 404);
    assert!(world.server.lock().unwrap().received.is_empty());
    assert!(world.store.lock().unwrap().calls.is_empty());
}

// Guards against UNASKED: each attempt names the tenant, also after the server has rejected the first one.
#[test]
fn a_retry_names_the_tenant_to_the_server() {
    let world = World::start(3);
    world.configure(1, &document(1, Some(&[(TENANT, &[KEY])])));
    world.server.lock().unwrap().rejections = 1;
    let mut client = world.client();
    assert_eq!(client.ask("GET", "/repeat/1", &bearer(KEY)).status, 200);
    let received = world.server.lock().unwrap().received.clone();
    assert_eq!(received.len(), 2);
    for sent in received {
        assert_eq!((values(&sent, "tenant"), contains(&sent, KEY)), (vec![TENANT], false));
    }
}

// Guards against CONFIG: pipelined requests are read one after the other, each by the configuration then in force.
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
    // The rest of a request comes after its key was taken away.
    client.send_part("GET /repeat/4 HTTP/1.1\r\nHost: ficu95.example\r\n");
    world.configure(2, &document(2, Some(&[(TENANT, &[]), (OTHER_TENANT, &[OTHER_KEY])])));
    client.send_part(&format!("{}\r\n", bearer(KEY)));
    let answer = client.receive();
    assert!(matches!(answer.status, 401 | 503), "{answer:?}");
    assert!(world.server.lock().unwrap().received.is_empty());
}

// Guards against CONFIG and ROUTE: a gateway without a control node refuses nothing for good that a newer configuration may
// allow, and goes on with what it knows.
#[test]
fn a_gateway_that_lost_the_control_plane_refuses_nothing_for_good() {
    let world = World::start(5);
    world.configure(1, &document(1, Some(&[(TENANT, &[KEY])])));
    let mut client = world.client();
    assert_eq!(client.ask_until_final("GET", "/repeat/1", "").status, 401);
    world.cut_control_off();
    // It hears of the loss at some moment; from then on it says 503.
    let unknown = bearer("k-000000");
    assert!((0..100_000).any(|_| client.ask("GET", "/repeat/1", &unknown).status == 503));
    for (path, lines) in [("/repeat/1", ""), ("/unknown/1", unknown.as_str()), ("/v1/lots/9c41", "")] {
        let answer = client.ask("GET", path, lines);
        assert_eq!(answer.status, 503, "{path}");
        assert!(contains(&answer.head, "Retry-After: "));
    }
    assert_eq!(ask(&world, &mut client, &bearer(KEY)), served_as(TENANT));
}

const JOB: &str =
    r#"{"requests":[{"instance-id":"i","path":"/p","headers":{},"body":"aGk=","token-usage":1}]}"#;

// Guards against UNASKED: jobs are submitted and asked for in the name of the key's tenant, and by no other one.
#[rstest]
#[case::with_tenants(6, Some(&[(TENANT, &[KEY] as &[&str])] as &[Keys<'static>]), Some(TENANT))]
#[case::without_tenants(7, None, None)]
fn calls_on_batch_jobs_carry_the_tenant_of_their_key(
    #[case] number: u8,
    #[case] tenants: Option<&[Keys<'static>]>,
    #[case] expected: Option<&str>,
) {
    let world = World::start(number);
    world.configure(1, &document(1, tenants));
    let lines = format!("{}Tenant: seje681\r\n", bearer(KEY));
    let mut client = world.client();
    // A store that isn't connected yet gets no submission: the client asks again.
    let accepted = (0..100).any(|_| {
        client.send_body("POST", "/jobs/1", &lines, JOB);
        client.receive().status == 202
    });
    assert!(accepted);
    let asked =
        [("GET", "/v1/lots/9c41"), ("GET", "/v1/items/9c41?instance-id=i"), ("DELETE", "/v1/lots/9c41")];
    let statuses = asked.map(|(method, path)| client.ask(method, path, &lines).status);
    assert_eq!(statuses, [200, 200, 403]);
    let store = world.store.lock().unwrap();
    let job: Job = decode(&store.jobs["9c41"]).unwrap();
    assert_eq!(job.tenant.as_deref(), expected);
    let told = store.calls.iter().filter_map(|call| match call {
        GatewayMessage::ReadResults { tenant, .. }
        | GatewayMessage::ReadItemBody { tenant, .. }
        | GatewayMessage::EndJob { tenant, .. } => Some(tenant.as_deref()),
        _ => None,
    });
    assert_eq!(told.collect::<Vec<_>>(), [expected; 3]);
    assert!(!contains(&store.jobs["9c41"], KEY));
}

// Guards against CONFIG: a request that waits for the first configuration goes by its keys.
#[test]
fn requests_that_came_before_the_first_configuration_are_authenticated_by_it() {
    let world = World::start(8);
    let mut clients = [(); 3].map(|()| world.client());
    clients[0].send("GET", "/repeat/1", &bearer(KEY));
    clients[1].send("GET", "/repeat/1", &bearer("k-000000"));
    clients[2].send("GET", "/v1/lots/9c41", "");
    world.configure(1, &document(1, Some(&[(TENANT, &[KEY])])));
    let statuses = clients.each_mut().map(|client| client.receive().status);
    assert!(matches!(statuses, [200 | 503, 401 | 503, 401 | 503]), "{statuses:?}");
    let mut client = world.client();
    assert_eq!(ask(&world, &mut client, &bearer(KEY)), served_as(TENANT));
}
