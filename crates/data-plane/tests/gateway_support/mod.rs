//! A gateway process in a thread of the test, with a control node, a store node and servers simulated by the test.

#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use orchidvalve_control_state::{Change, ControlState, Placement};
use orchidvalve_data_plane::gateway::{GatewayOptions, run};
use orchidvalve_http::{MessageLimits, RequestReader, ResponseReader};
use orchidvalve_protocol::frames::{encode, read_frame, write_frame};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{
    ControlMessage, GatewayMessage, ServerEntry, ServerTableUpdate, SessionMessage, StoreMessage,
    StoreResponse, TableVersion,
};

/// A test fails if it waits for a message for longer than this.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// The number of non-final responses after which a client gives up.
const MAX_TRIES: usize = 100_000;
const LIMITS: MessageLimits = MessageLimits { header_bytes: 64 << 10, body_bytes: 64 << 10 };
const SERVICE: &str = "huvo11a";

/// State shared by the threads of a test.
type Shared<T> = Arc<Mutex<T>>;

fn listen(ip: Ipv4Addr) -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((ip, 0)).unwrap();
    let port = listener.local_addr().unwrap().port();
    (listener, SocketAddrV4::new(ip, port))
}

fn node(address: SocketAddrV4) -> NodeAddress {
    NodeAddress::new(*address.ip(), address.port())
}

/// Calls `serve` with each accepted connection, each in its own thread.
fn accept_each(listener: TcpListener, serve: impl Fn(TcpStream) + Clone + Send + 'static) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream.unwrap()));
        }
    });
}

/// Reads more bytes from a connection. Returns false once it has ended.
fn read_more(stream: &mut TcpStream, inbox: &mut Vec<u8>) -> bool {
    let mut bytes = [0; 4_096];
    let length = stream.read(&mut bytes).unwrap_or(0);
    inbox.extend_from_slice(&bytes[..length]);
    length > 0
}

/// The simulated control node. It holds the control state and sends it to the gateway's session.
#[derive(Default)]
struct ControlNode {
    state: ControlState,
    sequence: u64,
    session: Option<TcpStream>,
    /// Notified of the first session, which shows that the gateway listens.
    session_started: Option<Sender<()>>,
    /// Whether the control node closes its session and accepts no other one.
    disconnected: bool,
}

impl ControlNode {
    fn apply(&mut self, change: &Change) {
        self.state.apply(change).unwrap();
        self.sequence += 1;
        self.send_state();
    }

    fn send_state(&mut self) {
        let state = encode(&self.state.snapshot());
        self.send(&ControlMessage::Snapshot { sequence: self.sequence, state });
    }

    fn send(&mut self, message: &ControlMessage) {
        let mut frame = Vec::new();
        write_frame(&mut frame, message);
        if let Some(session) = &mut self.session {
            // The gateway may have closed the session.
            let _ = session.write_all(&frame);
        }
    }

    fn begin_session(&mut self, stream: &TcpStream, servers: Vec<ServerEntry>) {
        if self.disconnected {
            return;
        }
        self.session = Some(stream.try_clone().unwrap());
        if let Some(session_started) = self.session_started.take() {
            session_started.send(()).unwrap();
        }
        self.send(&ControlMessage::Welcome { controls: Vec::new() });
        self.send_state();
        let version = TableVersion { term: 1, number: 1 };
        self.send(&ControlMessage::Servers(ServerTableUpdate::Snapshot { version, servers }));
    }
}

fn serve_session(mut stream: TcpStream, control: &Shared<ControlNode>, servers: &[ServerEntry]) {
    let mut inbox = Vec::new();
    let mut protocol_read = false;
    while read_more(&mut stream, &mut inbox) {
        if !protocol_read {
            inbox.remove(0);
            protocol_read = true;
        }
        while let Some((message, length)) = read_frame::<SessionMessage>(&inbox).unwrap() {
            inbox.drain(..length);
            let mut control = control.lock().unwrap();
            match message {
                SessionMessage::Handshake { .. } => control.begin_session(&stream, servers.to_vec()),
                _ => control.send(&ControlMessage::Heartbeat),
            }
            if control.disconnected {
                control.session = None;
                return;
            }
        }
    }
}

/// In a scripted response, this text is replaced by the id of the attempt.
pub const ATTEMPT_ID: &str = "ATTEMPT-ID";

/// Bytes that a simulated server sends in place of its normal response.
#[derive(Debug)]
pub struct ScriptedResponse {
    pub bytes: Vec<u8>,
    /// Whether the server closes the connection after the bytes.
    pub closes: bool,
    /// If set, the server waits for this signal before it sends the bytes.
    pub released: Option<Receiver<()>>,
}

impl ScriptedResponse {
    /// Returns a response that is sent at once and leaves the connection open.
    pub fn new(bytes: &[u8]) -> ScriptedResponse {
        ScriptedResponse { bytes: bytes.to_vec(), closes: false, released: None }
    }

    /// Returns a response after which the server closes the connection.
    pub fn closing(bytes: &[u8]) -> ScriptedResponse {
        ScriptedResponse { closes: true, ..ScriptedResponse::new(bytes) }
    }

    /// Delays the response until a signal is sent through the returned sender.
    pub fn held(self) -> (ScriptedResponse, Sender<()>) {
        let (release, released) = channel();
        (ScriptedResponse { released: Some(released), ..self }, release)
    }
}

/// The simulated servers. They record all requests, send the scripted responses to the next ones, reject the first
/// `rejections` of the others and respond to the rest.
#[derive(Default)]
pub struct Server {
    pub received: Vec<Vec<u8>>,
    pub rejections: usize,
    pub scripted: VecDeque<ScriptedResponse>,
    /// The number of requests received on a connection that had carried another request before.
    pub received_on_kept_connections: usize,
    /// The number of requests received on a connection that had carried a scripted response.
    pub received_after_scripted: usize,
    /// Notified of each request received.
    pub request_received: Option<Sender<()>>,
    /// Notified when the gateway closes a connection that has carried a scripted response.
    pub scripted_connection_closed: Option<Sender<()>>,
}

impl Server {
    /// Records a request. Returns the scripted response to it, if there is one.
    fn receive(&mut self, request: Vec<u8>, history: ConnectionHistory) -> Option<ScriptedResponse> {
        self.received.push(request);
        self.received_on_kept_connections += usize::from(history.has_carried_request);
        self.received_after_scripted += usize::from(history.has_carried_scripted);
        if let Some(request_received) = &self.request_received {
            let _ = request_received.send(());
        }
        self.scripted.pop_front()
    }

    fn normal_response(&mut self, attempt_id: &str) -> Vec<u8> {
        let head = if self.rejections > 0 {
            self.rejections -= 1;
            "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
        } else {
            "HTTP/1.1 200 OK\r\nServer-Signature: 3e1b.07\r\n"
        };
        format!("{head}Attempt-Id: {attempt_id}\r\nContent-Length: 2\r\n\r\nok").into_bytes()
    }
}

/// Replaces [`ATTEMPT_ID`] in a scripted response, which need not be UTF-8.
fn with_attempt_id(bytes: &[u8], attempt_id: &str) -> Vec<u8> {
    let Some(at) = bytes.windows(ATTEMPT_ID.len()).position(|window| window == ATTEMPT_ID.as_bytes()) else {
        return bytes.to_vec();
    };
    [&bytes[..at], attempt_id.as_bytes(), &bytes[at + ATTEMPT_ID.len()..]].concat()
}

/// What a connection to a simulated server has carried so far.
#[derive(Clone, Copy, Default)]
struct ConnectionHistory {
    has_carried_request: bool,
    has_carried_scripted: bool,
}

fn serve_requests(mut stream: TcpStream, server: &Shared<Server>) {
    let mut inbox = Vec::new();
    let mut reader = RequestReader::default();
    let mut received = Vec::new();
    let mut history = ConnectionHistory::default();
    while read_more(&mut stream, &mut inbox) {
        loop {
            let progress = reader.read(&inbox, &LIMITS).unwrap();
            received.extend(inbox.drain(..progress.consumed));
            let Some(request) = progress.request else { break };
            let id = request.headers.get("attempt-id").unwrap_or_default();
            let scripted = server.lock().unwrap().receive(std::mem::take(&mut received), history);
            history.has_carried_request = true;
            let Some(scripted) = scripted else {
                let response = server.lock().unwrap().normal_response(id);
                stream.write_all(&response).unwrap();
                continue;
            };
            if let Some(released) = &scripted.released {
                released.recv_timeout(READ_TIMEOUT).expect("the test releases the response");
            }
            let sent = stream.write_all(&with_attempt_id(&scripted.bytes, id));
            if sent.is_err() || scripted.closes {
                return;
            }
            history.has_carried_scripted = true;
        }
    }
    let server = server.lock().unwrap();
    if let Some(closed) = server.scripted_connection_closed.as_ref().filter(|_| history.has_carried_scripted)
    {
        let _ = closed.send(());
    }
}

/// The simulated store node. It records the submitted jobs by their ids, and all calls.
#[derive(Default)]
pub struct Store {
    pub jobs: BTreeMap<String, Vec<u8>>,
    pub calls: Vec<GatewayMessage>,
}

impl Store {
    fn respond(&mut self, message: GatewayMessage) -> Option<StoreMessage> {
        let (request_id, response) = match &message {
            GatewayMessage::SubmitJob { request_id, id, job, .. } => {
                self.jobs.insert(id.clone(), job.clone());
                (*request_id, StoreResponse::Accepted)
            }
            GatewayMessage::ReadResults { request_id, .. } => {
                (*request_id, StoreResponse::Results { total: 1, next: 0, outcomes: Vec::new() })
            }
            GatewayMessage::ReadItemBody { request_id, .. } => {
                (*request_id, StoreResponse::Body(b"body".to_vec()))
            }
            GatewayMessage::EndJob { request_id, .. } => (*request_id, StoreResponse::OtherTenant),
            GatewayMessage::Heartbeat { .. } => return Some(StoreMessage::Heartbeat),
            _ => return None,
        };
        self.calls.push(message);
        Some(StoreMessage::Response { request_id, response })
    }
}

fn serve_gateway(mut stream: TcpStream, store: &Shared<Store>) {
    let mut inbox = Vec::new();
    let mut protocol_read = false;
    while read_more(&mut stream, &mut inbox) {
        if !protocol_read {
            inbox.remove(0);
            protocol_read = true;
        }
        while let Some((message, length)) = read_frame::<GatewayMessage>(&inbox).unwrap() {
            inbox.drain(..length);
            if let Some(response) = store.lock().unwrap().respond(message) {
                let mut frame = Vec::new();
                write_frame(&mut frame, &response);
                stream.write_all(&frame).unwrap();
            }
        }
    }
}

/// Starts a simulated server. `number` distinguishes it from the other ones.
fn start_server(ip: Ipv4Addr, number: usize, server: &Shared<Server>) -> ServerEntry {
    let (listener, address) = listen(ip);
    let shared = server.clone();
    accept_each(listener, move |stream| serve_requests(stream, &shared));
    ServerEntry {
        instance: format!("i-{}", 7 + number),
        service: SERVICE.to_owned(),
        address: node(address),
        zone: "upper-hill".to_owned(),
        slots: 8,
        draining: false,
        models: Vec::new(),
    }
}

/// The gateway and the processes around it. The gateway's thread ends with the test process.
pub struct World {
    control: Shared<ControlNode>,
    pub server: Shared<Server>,
    pub store: Shared<Store>,
    pub frontend: SocketAddrV4,
}

impl World {
    /// Starts a gateway in a thread, with one server. `number` selects the loopback address, which must be unique within
    /// a test process.
    pub fn start(number: u8) -> World {
        World::start_with(Ipv4Addr::new(127, 83, 1, number), 1, |options| {
            std::thread::spawn(move || run(options).unwrap());
        })
    }

    /// Starts a gateway by `start_gateway`, with this number of servers of the service. `ip` must be unique.
    pub fn start_with(ip: Ipv4Addr, servers: usize, start_gateway: impl FnOnce(GatewayOptions)) -> World {
        let (control, server, store): (Shared<ControlNode>, Shared<Server>, Shared<Store>) =
            Default::default();
        let entries: Vec<ServerEntry> =
            (0..servers).map(|number| start_server(ip, number, &server)).collect();
        let (store_listener, store_address) = listen(ip);
        let (control_listener, control_address) = listen(ip);
        let members = vec![MemberId { address: node(store_address), disk: 1 }];
        let placement = Placement { epoch: 1, members, ..Placement::default() };
        control.lock().unwrap().apply(&Change::Place(vec![(0, placement)]));
        let shared = store.clone();
        accept_each(store_listener, move |stream| serve_gateway(stream, &shared));
        let shared = control.clone();
        accept_each(control_listener, move |stream| serve_session(stream, &shared, &entries));
        // Both ports are reserved before either is released, as the second one could be the first one again otherwise.
        let reserved = [listen(ip), listen(ip)];
        let [frontend, readiness] = [reserved[0].1, reserved[1].1];
        drop(reserved);
        let options = GatewayOptions {
            usage_window_ms: 5_000,
            name: "edge-1".to_owned(),
            zone: "upper-hill".to_owned(),
            share: 1.0,
            frontend,
            readiness,
            source: None,
            seeds: vec![node(control_address)],
            grace_ms: 8_000,
        };
        let (sender, session_started) = channel();
        control.lock().unwrap().session_started = Some(sender);
        start_gateway(options);
        session_started.recv_timeout(READ_TIMEOUT).expect("the gateway starts a session");
        World { control, server, store, frontend }
    }

    /// Commits a configuration and waits until it is active at the gateway.
    pub fn configure(&self, version: u64, document: &str) {
        let mut control = self.control.lock().unwrap();
        let base = control.state.configuration_version();
        control.apply(&Change::Replace { base, body: document.as_bytes().to_vec() });
        drop(control);
        let mut client = self.client();
        let path = format!("/v{version}/1");
        let in_force = (0..MAX_TRIES).any(|_| client.request("GET", &path, "").status == 200);
        assert!(in_force, "version {version} is not active");
        self.server.lock().unwrap().received.clear();
    }

    /// Ends the gateway's session, and lets it get no other one.
    pub fn disconnect_control_plane(&self) {
        let mut control = self.control.lock().unwrap();
        control.disconnected = true;
        if let Some(session) = control.session.take() {
            session.shutdown(std::net::Shutdown::Both).unwrap();
        }
    }

    /// Opens a client connection.
    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.frontend).unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        Client { stream, inbox: Vec::new(), attempt_id: "9c41".to_owned() }
    }
}

/// A response to a client.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub head: Vec<u8>,
    pub body: Vec<u8>,
}

/// A client connection for several requests.
pub struct Client {
    stream: TcpStream,
    inbox: Vec<u8>,
    /// The `Attempt-Id` of the requests. No connection to a server carries the same one twice.
    pub attempt_id: String,
}

impl Client {
    pub fn send(&mut self, method: &str, path: &str, lines: &str) {
        self.send_body(method, path, lines, "");
    }

    pub fn send_body(&mut self, method: &str, path: &str, lines: &str, body: &str) {
        let (length, id) = (body.len(), &self.attempt_id);
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {id}\r\n{lines}\
             Content-Length: {length}\r\n\r\n{body}"
        );
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// Sends bytes that are part of a request.
    pub fn send_part(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    pub fn receive(&mut self) -> Response {
        self.receive_until_closed().expect("a complete response")
    }

    /// Reads a response. Returns `None` if the gateway closes the connection before the response is complete.
    pub fn receive_until_closed(&mut self) -> Option<Response> {
        let mut reader = ResponseReader::new("GET");
        let (mut head, mut body) = (Vec::new(), Vec::new());
        loop {
            let progress = reader
                .read(&self.inbox, LIMITS.header_bytes, &mut body)
                .unwrap_or_else(|error| panic!("{error}: received {}", self.inbox.escape_ascii()));
            head.extend(self.inbox.drain(..progress.consumed));
            if progress.complete {
                return Some(Response { status: reader.head().unwrap().status, head, body });
            }
            if !read_more(&mut self.stream, &mut self.inbox) {
                return None;
            }
        }
    }

    pub fn request(&mut self, method: &str, path: &str, lines: &str) -> Response {
        self.send(method, path, lines);
        self.receive()
    }

    /// Repeats a request while the status is 503, as clients do.
    pub fn request_until_final(&mut self, method: &str, path: &str, lines: &str) -> Response {
        let responses = (0..MAX_TRIES).map(|_| self.request(method, path, lines));
        responses.into_iter().find(|response| response.status != 503).expect("a final response")
    }
}
