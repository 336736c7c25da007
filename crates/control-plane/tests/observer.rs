//! A control node without a disk, over loopback: it sends the members to its callers, even if its own settings name no node
//! with a disk.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use musli::Decode;
use musli::alloc::Global;
use musli::mode::Binary;
use orchidvalve_consensus::{Ballot, Message};
use orchidvalve_control_plane::observer::{self, MemberDirectory, ObserverOptions};
use orchidvalve_control_plane::peer_messages::PeerMessage;
use orchidvalve_net::{Event, Network};
use orchidvalve_protocol::frames::{read_frame, write_frame};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{
    ControlMessage, FeedPosition, Handshake, LinkProtocol, PROTOCOL_VERSION, Role, SessionMessage,
};
use rstest::rstest;

/// A peer that sends nothing for this time has failed.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

fn free_address() -> SocketAddrV4 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr().expect("bound").port())
}

fn node(address: SocketAddrV4) -> NodeAddress {
    NodeAddress::new(*address.ip(), address.port())
}

fn handshake(role: Role, address: NodeAddress) -> Handshake {
    Handshake {
        version: PROTOCOL_VERSION,
        role,
        name: format!("machine-{address}"),
        zone: "north".to_owned(),
        member: MemberId { address, disk: 7 },
        incarnation: 1,
        cpu_share: 1.0,
    }
}

/// Starts a control node without a disk whose only seed is itself.
fn start_observer() -> ObserverOptions {
    start_observer_with(true, Vec::new())
}

/// Starts a control node without a disk with these seeds besides itself.
fn start_observer_with(bootstrap: bool, seeds: Vec<SocketAddrV4>) -> ObserverOptions {
    let internal_address = free_address();
    let control_address = free_address();
    let options = ObserverOptions {
        name: "edge-north-2".to_owned(),
        zone: "north".to_owned(),
        cpu_share: 1.0,
        control_address,
        internal_address,
        internal_listener: internal_address,
        source: None,
        seeds: [vec![control_address], seeds].concat(),
        bootstrap,
    };
    let running = options.clone();
    thread::spawn(move || observer::run(&running, 5));
    options
}

fn connect(address: SocketAddrV4) -> TcpStream {
    loop {
        if let Ok(stream) = TcpStream::connect(address) {
            stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a socket");
            return stream;
        }
        thread::yield_now();
    }
}

fn call(address: SocketAddrV4, kind: LinkProtocol, message: &[u8]) -> TcpStream {
    let mut stream = connect(address);
    stream.write_all(&[kind.byte()]).expect("sent");
    stream.write_all(message).expect("sent");
    stream
}

fn frame_of<M: musli::Encode<Binary>>(message: &M) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_frame(&mut bytes, message);
    bytes
}

/// Reads the next message on a connection after skipping the given number of bytes.
fn receive<M: for<'de> Decode<'de, Binary, Global>>(stream: &mut TcpStream, skipped: usize) -> M {
    let mut inbox = vec![0; skipped];
    stream.read_exact(&mut inbox).expect("the kind of the link");
    inbox.clear();
    loop {
        if let Some((message, _)) = read_frame(&inbox).expect("a message") {
            return message;
        }
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("a message arrives");
        inbox.push(byte[0]);
    }
}

/// Opens a link as a member does, and returns it with the response.
fn link_as_member(observer: &ObserverOptions, member: NodeAddress) -> (TcpStream, ControlMessage) {
    let introduce = PeerMessage::Handshake { handshake: handshake(Role::Control, member) };
    let mut link = call(observer.internal_address, LinkProtocol::ControlPeer, &frame_of(&introduce));
    let response = receive(&mut link, 0);
    (link, response)
}

/// Returns the response to a gateway that requests a session.
fn request_session(observer: &ObserverOptions) -> ControlMessage {
    let gateway = handshake(Role::Gateway, NodeAddress::new(Ipv4Addr::LOCALHOST, 0));
    let request = SessionMessage::Handshake { handshake: gateway, position: FeedPosition::default() };
    receive(&mut call(observer.internal_address, LinkProtocol::Session, &frame_of(&request)), 0)
}

fn controls(message: ControlMessage) -> Vec<NodeAddress> {
    match message {
        ControlMessage::Redirect { controls } => controls,
        other => panic!("{other:?}"),
    }
}

/// Keeps a session with the observer open until the test ends, as a member with a quorum does.
fn welcome(listener: TcpListener, members: Vec<NodeAddress>) -> thread::JoinHandle<Handshake> {
    thread::spawn(move || {
        let (mut session, _) = listener.accept().expect("the observer connects");
        session.set_read_timeout(Some(READ_TIMEOUT)).expect("a socket");
        let SessionMessage::Handshake { handshake, .. } = receive(&mut session, 1) else {
            panic!("no handshake")
        };
        session.write_all(&frame_of(&ControlMessage::Welcome { controls: members })).expect("sent");
        // Responds to its heartbeats until the test ends.
        thread::spawn(move || {
            let mut byte = [0];
            while session.read_exact(&mut byte).is_ok() {
                if session.write_all(&frame_of(&ControlMessage::Heartbeat)).is_err() {
                    return;
                }
            }
        });
        handshake
    })
}

#[test]
fn members_with_a_link_are_sent_to_all_callers() {
    let observer = start_observer();
    let first = free_address();
    let (_first_link, response) = link_as_member(&observer, node(first));
    assert_eq!(controls(response), vec![], "no member is known yet");
    let (_second_link, response) = link_as_member(&observer, node(free_address()));
    assert!(controls(response).contains(&node(first)));
    assert!(controls(request_session(&observer)).contains(&node(first)));
}

#[test]
fn the_list_of_a_member_with_a_session_is_sent_to_callers() {
    let observer = start_observer();
    // Not the address of the observer, to which it redirects nobody.
    const MEMBER: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
    let listener = TcpListener::bind((MEMBER, 0)).expect("a free port");
    let port = listener.local_addr().expect("bound").port();
    let member = NodeAddress::new(MEMBER, port);
    let without_link = NodeAddress::new(Ipv4Addr::new(127, 0, 0, 9), port);
    let session = welcome(listener, vec![member, without_link]);
    let (_link, _) = link_as_member(&observer, member);
    let introduced = session.join().expect("the observer requests a session");
    assert_eq!(
        (introduced.role, introduced.member.address),
        (Role::Control, node(observer.internal_address))
    );
    while !controls(request_session(&observer)).contains(&without_link) {
        thread::yield_now();
    }
    let port = observer.control_address.port();
    assert_eq!(operator_redirect_target(&observer), format!("http://{MEMBER}:{port}/v1/configuration"));
}

fn operator_response(observer: &ObserverOptions) -> String {
    let mut operator = connect(observer.control_address);
    operator
        .write_all(b"GET /v1/configuration HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\r\n")
        .expect("sent");
    let mut response = String::new();
    operator.read_to_string(&mut response).expect("a response");
    response
}

fn operator_redirect_target(observer: &ObserverOptions) -> String {
    let response = operator_response(observer);
    assert!(response.starts_with("HTTP/1.1 307"), "{response}");
    let location = response.lines().find_map(|line| line.strip_prefix("Location: ")).expect("a location");
    location.to_owned()
}

/// Guards against operators that seeds without a disk redirect to each other while they know no member: a third
/// redirection ends their call. With 503 they try another node.
#[rstest]
fn operators_are_not_redirected_to_seeds(#[values(true, false)] is_first_start: bool) {
    let observer = start_observer_with(is_first_start, vec![free_address()]);
    let response = operator_response(&observer);
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
}

/// Guards against a first start that never ends because none of the seeds has a disk: they vote on the first view.
#[test]
fn an_observer_votes_on_the_first_view_at_the_first_start_only() {
    let proposer = MemberId { address: node(free_address()), disk: 7 };
    let ballot = Ballot { round: 1, proposer };
    let prepare = PeerMessage::Agreement(Message::Prepare { epoch: 1, ballot });
    let (mut link, _) = link_as_member(&start_observer(), proposer.address);
    link.write_all(&frame_of(&prepare)).expect("sent");
    let ControlMessage::FirstViewVote { message } = receive(&mut link, 0) else { panic!("no vote") };
    let promise = Message::Promise { epoch: 1, ballot, accepted: None };
    assert_eq!(Message::decode(&message).expect("a message of the agreement"), promise);

    let (mut link, _) = link_as_member(&start_observer_with(false, Vec::new()), proposer.address);
    link.write_all(&frame_of(&prepare)).expect("sent");
    link.shutdown(Shutdown::Write).expect("shut down");
    let mut rest = Vec::new();
    link.read_to_end(&mut rest).expect("the end of the link");
    assert!(rest.is_empty(), "{rest:?}");
}

#[test]
fn a_member_without_a_recent_link_is_forgotten() {
    let mut network = Network::new().expect("an event loop");
    let address = network.listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0), 1).expect("a free port");
    let _peers: Vec<TcpStream> = (0..3).map(|_| TcpStream::connect(address).expect("connected")).collect();
    let mut accepted = Vec::new();
    while accepted.len() < 3 {
        let events = network.poll(Duration::from_millis(5)).expect("events");
        accepted.extend(events.into_iter().filter_map(|event| match event {
            Event::Accepted { connection, .. } => Some(connection),
            _ => None,
        }));
    }
    let (one, two) = (node(free_address()), NodeAddress::new(Ipv4Addr::new(10, 0, 0, 2), 7_000));
    let mut directory = MemberDirectory::default();
    assert_eq!(directory.link_opened(accepted[0], one, 1_000), None);
    assert_eq!(directory.link_opened(accepted[1], two, 1_000), None);
    assert_eq!(
        directory.link_opened(accepted[2], one, 4_000),
        Some(accepted[0]),
        "a newer link of the same member"
    );
    assert_eq!(directory.expire(5_999), vec![]);
    assert_eq!(directory.expire(6_000), vec![accepted[1]]);
    assert_eq!(directory.members(vec![two]), vec![two, one], "the feed's list comes first");
}
