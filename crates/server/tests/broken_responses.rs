//! Servers whose responses are broken, against a real gateway process: a client never receives such a response. Its request
//! ends as it would if the server had closed the connection midway, and that connection carries no other request.

#[path = "../../data-plane/tests/gateway_support/mod.rs"]
mod gateway_support;

use std::cell::Cell;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::channel;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use gateway_support::{ATTEMPT_ID, Client, Response, ScriptedResponse, World};
use orchidvalve_data_plane::gateway::GatewayOptions;
use rstest::rstest;

/// A test fails if it waits for an event for longer than this.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Held while a gateway process starts. A process that another thread starts meanwhile has copies of this one's sockets
/// until it runs its program, so the ports reserved for the gateway would still be in use when it listens.
static START: Mutex<()> = Mutex::new(());
/// The beginning of a response, after which a server breaks off.
const PARTIAL: &[u8] = b"HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT-ID\r\nServer-Sig";
const FIRST_EVENT: &str = "id: 1\ndata: one\n\n";
const SECOND_EVENT: &str = "id: 2\ndata: two\n\n";

/// Returns a configuration with a route of each type. The route `/v1/` shows that it is active.
fn document() -> String {
    let route = |name: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","hostname":"ficu95.example","path-prefix":"/{name}/","route-type":{kind},
            "target-latency-ms":400,"service":"huvo11a","max-attempts":3}}"#
        )
    };
    let routes = [
        route("v1", r#""idempotent""#),
        route("repeat", r#""idempotent""#),
        route("once", r#""non_idempotent""#),
        route("stream", r#""streaming""#),
        route("resume", r#""streaming","resumable":true"#),
    ];
    format!(r#"{{"config-version":1,"routes":[{}],"services":[{{"name":"huvo11a"}}]}}"#, routes.join(","))
}

/// A gateway process and its settings file. Dropping this value ends the process.
struct GatewayProcess {
    child: Child,
    settings: PathBuf,
}

impl GatewayProcess {
    fn start(options: &GatewayOptions) -> GatewayProcess {
        let GatewayOptions { name, zone, frontend, readiness, seeds, .. } = options;
        let seed = seeds[0].socket();
        let (ip, port) = (frontend.ip(), seed.port());
        let text = format!(
            "node-name={name}\nzone={zone}\nip-address={ip}\ninternal-port-range={port},{port}\n\
             listen-addresses.frontend={frontend}\nlisten-addresses.readiness={readiness}\nseed-nodes={seed}\n"
        );
        let settings = std::env::temp_dir()
            .join(format!("orchidvalve-broken-responses-{}-{ip}.conf", std::process::id()));
        std::fs::write(&settings, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_orchidvalve-server"))
            .arg("door")
            .env("ORCHIDVALVE_BOOT", &settings)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        GatewayProcess { child, settings }
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// A gateway process with an active configuration, and the simulated nodes around it.
struct System {
    world: World,
    _gateway: GatewayProcess,
    /// The number of clients so far, each of which has an id of its own.
    clients: Cell<u32>,
}

/// How a request ended.
#[derive(PartialEq, Debug)]
struct Ending {
    /// The status and the body of the response; `None` if the connection was closed before it was complete.
    response: Option<(u16, Vec<u8>)>,
    /// The number of attempts at servers.
    attempts: usize,
}

impl System {
    /// Starts a system with this number of servers. `number` selects the loopback address, which must be unique within
    /// the test process.
    fn start(number: u8, servers: usize) -> System {
        let start = START.lock().unwrap_or_else(PoisonError::into_inner);
        let mut gateway = None;
        let world = World::start_with(Ipv4Addr::new(127, 83, 2, number), servers, |options| {
            gateway = Some(GatewayProcess::start(&options));
        });
        drop(start);
        world.configure(1, &document());
        System { world, _gateway: gateway.expect("the gateway was started"), clients: Cell::new(0) }
    }

    fn client(&self) -> Client {
        self.clients.set(self.clients.get() + 1);
        let mut client = self.world.client();
        client.attempt_id = format!("9c41-{}", self.clients.get());
        client
    }

    /// Sends a request whose attempts receive these responses, and the servers' normal response after them.
    fn request(&self, path: &str, scripted: Vec<ScriptedResponse>) -> Ending {
        self.world.server.lock().unwrap().scripted = scripted.into();
        let mut client = self.client();
        client.send("POST", path, "");
        let response = client.receive_until_closed();
        let mut server = self.world.server.lock().unwrap();
        assert!(server.scripted.is_empty(), "each scripted response is sent");
        let attempts = std::mem::take(&mut server.received).len();
        Ending { response: response.map(|Response { status, body, .. }| (status, body)), attempts }
    }

    /// Whether another request is sent on a connection that has carried a scripted response.
    fn reuses_scripted_connection(&self) -> bool {
        let before = self.world.server.lock().unwrap().received_after_scripted;
        assert_eq!(self.client().request("POST", "/repeat/next", "").status, 200);
        let mut server = self.world.server.lock().unwrap();
        server.received.clear();
        server.received_after_scripted > before
    }

    /// Sends a request whose first attempt receives a broken response, on whose connection no request may follow.
    fn ending_of_broken_response(&self, path: &str, bytes: &[u8]) -> Ending {
        let ending = self.request(path, vec![ScriptedResponse::new(bytes)]);
        assert!(!self.reuses_scripted_connection(), "{}", bytes.escape_ascii());
        ending
    }

    fn ending_of_broken_connection(&self, path: &str) -> Ending {
        self.request(path, vec![ScriptedResponse::closing(PARTIAL)])
    }
}

/// Returns a complete response with this status line, and with these header lines after the usual ones.
fn response(status_line: &str, header_lines: &str) -> Vec<u8> {
    format!(
        "{status_line}\r\nAttempt-Id: {ATTEMPT_ID}\r\nServer-Signature: 3e1b.07\r\n\
         Content-Length: 6\r\n{header_lines}\r\nserver"
    )
    .into_bytes()
}

/// Returns a response of the event stream type, in chunks, with its `chunks` as they are.
fn stream(chunks: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {ATTEMPT_ID}\r\nServer-Signature: 3e1b.07\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}"
    )
    .into_bytes()
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Status lines whose status is none (RFC 9110, section 15).
const INVALID_STATUS_LINES: [&str; 5] =
    ["HTTP/1.1 000 ", "HTTP/1.1 000 OK", "HTTP/1.1 099 Low", "HTTP/1.1 600 High", "HTTP/1.1 999 Highest"];

const INTERIM_RESPONSE: &str = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

/// Returns header lines whose names are none: with a blank, a control byte or a line end as the first byte, within, or as
/// the last byte (RFC 9110, section 5.6.2).
fn invalid_header_lines() -> impl Iterator<Item = String> {
    let bytes = (0..=b' ').chain([0x7f]).map(char::from);
    bytes.flat_map(|byte| {
        [format!("{byte}Name: value"), format!("Na{byte}me: value"), format!("Name{byte}: value")]
    })
}

/// Broken responses: each invalid status and each invalid header line, the latter also in an interim response.
fn broken_responses() -> Vec<Vec<u8>> {
    let valid = response("HTTP/1.1 200 OK", "");
    let mut broken: Vec<Vec<u8>> = INVALID_STATUS_LINES.iter().map(|line| response(line, "")).collect();
    broken.push([INTERIM_RESPONSE.as_bytes(), &broken[0]].concat());
    for line in invalid_header_lines() {
        broken.push(response("HTTP/1.1 200 OK", &format!("{line}\r\n")));
        let interim = format!("HTTP/1.1 103 Early Hints\r\n{line}\r\n\r\n");
        broken.push([interim.as_bytes(), &valid].concat());
    }
    broken
}

#[rstest]
#[case::idempotent(1, "/repeat/1")]
#[case::at_most_once(2, "/once/1")]
#[case::streaming(3, "/stream/1")]
#[case::resumable(4, "/resume/1")]
fn a_broken_response_ends_a_request_as_a_broken_connection_does(#[case] number: u8, #[case] path: &str) {
    let system = System::start(number, 1);
    let expected = system.ending_of_broken_connection(path);
    for bytes in broken_responses() {
        let ending = system.ending_of_broken_response(path, &bytes);
        assert_eq!(ending, expected, "{}", bytes.escape_ascii());
    }
}

/// The connection has carried complete responses before the broken one arrives on it.
#[test]
fn a_broken_response_on_a_kept_connection_ends_it() {
    let system = System::start(5, 1);
    let valid = system.request("/repeat/1", vec![ScriptedResponse::new(&response("HTTP/1.1 200 OK", ""))]);
    assert_eq!(valid, Ending { response: Some((200, b"server".to_vec())), attempts: 1 });
    assert!(system.reuses_scripted_connection(), "the connection of a valid response is kept");
    for bytes in broken_responses() {
        let ending = system.ending_of_broken_response("/repeat/1", &bytes);
        assert_eq!(ending, Ending { response: Some((200, b"ok".to_vec())), attempts: 2 });
    }
    let kept = system.world.server.lock().unwrap().received_on_kept_connections;
    assert!(kept >= broken_responses().len(), "the broken responses arrive on kept connections");
}

/// The first attempt breaks off after an event, and the response to the attempt that resumes the stream is broken.
#[test]
fn a_broken_response_within_a_resumed_stream_is_resumed_again() {
    let system = System::start(6, 1);
    let rest = stream(&(chunk(SECOND_EVENT) + "0\r\n\r\n"));
    let whole = FIRST_EVENT.to_owned() + SECOND_EVENT;
    for bytes in broken_responses() {
        let ending = system.request(
            "/resume/1",
            vec![
                ScriptedResponse::closing(&stream(&chunk(FIRST_EVENT))),
                ScriptedResponse::new(&bytes),
                ScriptedResponse::closing(&rest),
            ],
        );
        let expected = Ending { response: Some((200, whole.clone().into_bytes())), attempts: 3 };
        assert_eq!(ending, expected, "{}", bytes.escape_ascii());
    }
}

/// Trailers follow the last chunk, so parts of a stream may have been forwarded before them.
#[rstest]
#[case::idempotent(8, "/repeat/1")]
#[case::at_most_once(9, "/once/1")]
#[case::streaming(10, "/stream/1")]
#[case::resumable(11, "/resume/1")]
fn a_broken_trailer_ends_a_request_as_a_broken_connection_does(#[case] number: u8, #[case] path: &str) {
    let system = System::start(number, 1);
    let without_last_chunk = stream(&chunk(FIRST_EVENT));
    // The response to the attempt that resumes a stream; other routes have none.
    let rest = || ScriptedResponse::closing(&stream(&(chunk(SECOND_EVENT) + "0\r\n\r\n")));
    let resumes = path.starts_with("/resume/");
    let following = |first: ScriptedResponse| std::iter::once(first).chain(resumes.then(rest)).collect();
    let expected = system.request(path, following(ScriptedResponse::closing(&without_last_chunk)));
    for line in invalid_header_lines() {
        let bytes = stream(&format!("{}0\r\n{line}\r\n\r\n", chunk(FIRST_EVENT)));
        let ending = system.request(path, following(ScriptedResponse::new(&bytes)));
        assert_eq!(ending, expected, "{}", line.escape_default());
        assert!(!system.reuses_scripted_connection(), "{}", line.escape_default());
    }
}

/// Two attempts are in flight, and the earlier one receives a broken response before the other one receives a valid one.
#[test]
fn a_broken_response_to_one_of_two_attempts_leaves_the_other_one_in_flight() {
    let system = System::start(7, 2);
    let (request_received, requests) = channel();
    let (connection_closed, closed) = channel();
    let (broken, release_broken) = ScriptedResponse::new(&response("HTTP/1.1 000 OK", "")).held();
    let (valid, release_valid) = ScriptedResponse::new(&response("HTTP/1.1 200 OK", "")).held();
    {
        let mut server = system.world.server.lock().unwrap();
        server.scripted = [broken, valid].into();
        server.request_received = Some(request_received);
        server.scripted_connection_closed = Some(connection_closed);
    }
    let mut client = system.client();
    client.send("POST", "/repeat/1", "");
    for _ in 0..2 {
        requests.recv_timeout(EVENT_TIMEOUT).expect("an attempt and its hedge");
    }
    release_broken.send(()).unwrap();
    closed.recv_timeout(EVENT_TIMEOUT).expect("the gateway closes the connection of the broken response");
    release_valid.send(()).unwrap();
    let response = client.receive();
    assert_eq!((response.status, response.body.as_slice()), (200, b"server".as_slice()));
    assert!(requests.try_recv().is_err(), "no third attempt");
}
