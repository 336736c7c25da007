//! A control process that shuts down while an operator reads a long response writes all of it before it exits, whether the
//! operator keeps the connection open or not.

mod graceful_shutdown_support;

use std::io::Read;
use std::net::{SocketAddr, SocketAddrV4};
use std::process::ExitCode;
use std::thread;

use graceful_shutdown_support::{call, free_address, options, put, put_first, report, tell_to_stop};
use orchidvalve_control_plane::process::run;
use orchidvalve_net::Network;
use socket2::{Domain, Protocol, Socket, Type};

const NAME: &str = "responses_are_written_before_a_graceful_shutdown";

/// Larger than what the operating system buffers of a response that nobody reads.
const FILLING_BYTES: usize = 7 << 20;
/// Small receive buffer, so that the response waits at the process.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// Number of consecutive requests: a process that exits too early is gone before the last of them.
const REQUESTS: usize = 100;

const READ_CONFIGURATION: &str = "GET /v1/configuration HTTP/1.1\r\nHost: control\r\n";
const READ_STATUS: &[u8] = b"GET /v1/status HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\r\n";

/// An operator that has requested the configuration and has received only the beginning of the response.
struct SlowReader {
    connection: Socket,
    received: Vec<u8>,
}

impl SlowReader {
    fn new(address: SocketAddrV4, headers: &str) -> SlowReader {
        let connection = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).expect("a socket");
        connection.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a small buffer");
        connection.connect(&SocketAddr::V4(address).into()).expect("the process listens");
        let request = format!("{READ_CONFIGURATION}{headers}\r\n");
        connection.send(request.as_bytes()).expect("the request is sent");
        let mut first = [0; 1];
        (&connection).read_exact(&mut first).expect("the response begins");
        SlowReader { connection, received: first.to_vec() }
    }

    /// Reads the rest. Returns whether the response is complete: its header, and as many bytes as that states.
    fn reads_complete_response(mut self) -> bool {
        let mut buffer = vec![0; 64 << 10];
        while !is_complete(&self.received) {
            match (&self.connection).read(&mut buffer) {
                Ok(length) if length > 0 => self.received.extend_from_slice(&buffer[..length]),
                _ => return false,
            }
        }
        true
    }
}

fn is_complete(response: &[u8]) -> bool {
    const HEADER_END: &[u8] = b"\r\n\r\n";
    let Some(end) = response.windows(HEADER_END.len()).position(|bytes| bytes == HEADER_END) else {
        return false;
    };
    let header = String::from_utf8_lossy(&response[..end]).to_lowercase();
    let length = header.lines().find_map(|line| line.strip_prefix("content-length:")).expect("a length");
    response.len() - end - HEADER_END.len() == length.trim().parse::<usize>().expect("a number")
}

/// Returns whether both responses that are being read when the shutdown begins arrive in full.
fn operate(address: SocketAddrV4) -> (bool, bool) {
    put_first(address);
    assert!(call(address, &put(2, FILLING_BYTES), || {}).starts_with("HTTP/1.1 200"));
    let keep_alive = SlowReader::new(address, "");
    let closing = SlowReader::new(address, "Connection: close\r\n");
    tell_to_stop();
    for _ in 0..REQUESTS {
        call(address, READ_STATUS, || {});
    }
    (keep_alive.reads_complete_response(), closing.reads_complete_response())
}

fn main() -> ExitCode {
    let _blocks_signals = Network::new().expect("an event loop");
    let control_address = free_address();
    let options = options(control_address, "planned-end-reading");
    let data_directory = options.machine.data_directory.clone();
    let operator = thread::spawn(move || operate(control_address));
    let ended = run(options);
    let complete = operator.join().expect("the operator ends");
    let _ = std::fs::remove_dir_all(data_directory);
    report(
        NAME,
        ended.is_ok() && complete == (true, true),
        &format!("ended: {ended:?}, complete: {complete:?}"),
    )
}
