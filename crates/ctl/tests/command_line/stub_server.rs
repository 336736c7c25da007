//! A stub server on loopback with scripted replies, and a helper that runs a command against it.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use orchidvalve_ctl::CommandError;
use orchidvalve_http::{MessageLimits, Request, RequestReader, write_response};

use crate::support::run_command;

const LIMITS: MessageLimits = MessageLimits { header_bytes: 16 << 10, body_bytes: 16 << 20 };
/// The maximum wait for further bytes of a request.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// The reply to the request on one connection.
pub enum Reply {
    Respond(u16, Vec<(&'static str, String)>, String),
    /// The connection ends without a response.
    Close,
    /// Bytes that are not HTTP, or only the beginning of a response.
    Bytes(&'static [u8]),
    /// The connection stays open without a response.
    Silence,
}

pub fn response(status: u16, body: &str) -> Reply {
    Reply::Respond(status, Vec::new(), body.to_owned())
}

/// A stub server that records the requests it received.
pub struct StubServer {
    pub address: SocketAddrV4,
    requests: Arc<Mutex<Vec<Request>>>,
}

impl StubServer {
    /// Starts a server that replies to one connection after another, in the order of `replies`; further ones are
    /// refused.
    pub fn start(replies: Vec<Reply>) -> StubServer {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = address_of(&listener);
        let requests = Arc::new(Mutex::new(Vec::new()));
        let seen = requests.clone();
        thread::spawn(move || {
            let mut held = Vec::new();
            for reply in replies {
                let Ok((mut stream, _)) = listener.accept() else { return };
                stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
                let Some(request) = read_request(&mut stream) else { return };
                seen.lock().unwrap().push(request);
                let mut bytes = Vec::new();
                match reply {
                    Reply::Respond(status, headers, body) => {
                        let headers: Vec<_> =
                            headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
                        write_response(&mut bytes, status, &headers, body.as_bytes(), true);
                    }
                    Reply::Close => {}
                    Reply::Bytes(reply) => bytes.extend_from_slice(reply),
                    Reply::Silence => held.push(stream.try_clone().unwrap()),
                }
                let _ = stream.write_all(&bytes);
            }
            // Keeps connections without a response open until a further client connects.
            let _ = listener.accept();
        });
        StubServer { address, requests }
    }

    /// Returns the method, target and body of every received request.
    pub fn seen(&self) -> Vec<(String, String, String)> {
        let text = |r: &Request| String::from_utf8(r.body.clone()).unwrap();
        let requests = self.requests.lock().unwrap();
        requests.iter().map(|r| (r.method.clone(), r.target.clone(), text(r))).collect()
    }

    /// Returns a header of the first request.
    pub fn header(&self, name: &str) -> Option<String> {
        self.requests.lock().unwrap().first()?.headers.get(name).map(str::to_owned)
    }
}

fn read_request(stream: &mut impl Read) -> Option<Request> {
    let (mut reader, mut inbox, mut buffer) = (RequestReader::default(), Vec::new(), [0; 4096]);
    loop {
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        inbox.extend_from_slice(&buffer[..count]);
        let read = reader.read(&inbox, &LIMITS).ok()?;
        inbox.drain(..read.consumed);
        if read.request.is_some() {
            return read.request;
        }
    }
}

fn address_of(listener: &TcpListener) -> SocketAddrV4 {
    match listener.local_addr().unwrap() {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => unreachable!("bound to an IPv4 address"),
    }
}

/// Returns an address on which no process listens.
pub fn unused_address() -> SocketAddrV4 {
    address_of(&TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap())
}

/// Runs a command with addresses given by `option`: `--control` or `--door`.
pub fn run_command_at(
    option: &str,
    addresses: &[SocketAddrV4],
    line: &[&str],
) -> Result<String, CommandError> {
    let list: Vec<String> = addresses.iter().map(SocketAddrV4::to_string).collect();
    let list = list.join(",");
    let mut arguments = vec![option, list.as_str()];
    arguments.extend_from_slice(line);
    run_command(&arguments)
}
