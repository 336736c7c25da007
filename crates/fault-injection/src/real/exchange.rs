//! One HTTP exchange with a front node, on an idle connection if there is one.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::Duration;

use super::{EventLog, locked};
use crate::scenario::seconds;
use crate::{MS, Nanos};

/// A front node's response.
pub struct Response {
    pub status: u16,
    pub retry_after: Option<Nanos>,
    pub body: Vec<u8>,
}

/// Why an exchange returned no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// No byte of a response was received.
    NoResponse,
    /// The connection ended within a response.
    Truncated,
    /// There was no complete response before the time limit.
    TimedOut,
}

/// Idle connections to front nodes, by address.
#[derive(Default)]
pub struct Connections {
    idle: Mutex<HashMap<SocketAddr, Vec<TcpStream>>>,
}

impl Connections {
    /// Sends a request and reads the response, until the time limit.
    pub fn exchange(
        &self,
        log: &EventLog,
        address: SocketAddr,
        request: &str,
        until: Nanos,
    ) -> Result<Response, ExchangeError> {
        let kept = locked(&self.idle).get_mut(&address).and_then(Vec::pop);
        let is_reused = kept.is_some();
        let response = self.exchange_on(kept, log, address, request, until);
        if is_reused && matches!(response, Err(ExchangeError::NoResponse)) {
            // The front node closed the idle connection when the request was sent: retry on a new connection.
            return self.exchange_on(None, log, address, request, until);
        }
        response
    }

    fn exchange_on(
        &self,
        kept: Option<TcpStream>,
        log: &EventLog,
        address: SocketAddr,
        request: &str,
        until: Nanos,
    ) -> Result<Response, ExchangeError> {
        let left = || Duration::from_nanos((until - log.now()).max(MS) as u64);
        let mut stream = match kept {
            Some(stream) => stream,
            None => TcpStream::connect_timeout(&address, left()).map_err(|_| ExchangeError::NoResponse)?,
        };
        let _ = stream.set_nodelay(true);
        stream.write_all(request.as_bytes()).map_err(|_| ExchangeError::NoResponse)?;
        let (mut received, mut buffer) = (Vec::new(), [0u8; 4096]);
        loop {
            if let Some((response, closes)) = parse(&received) {
                if !closes {
                    locked(&self.idle).entry(address).or_default().push(stream);
                }
                return Ok(response);
            }
            let _ = stream.set_read_timeout(Some(left()));
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) if log.now() >= until => return Err(ExchangeError::TimedOut),
                Ok(0) if received.is_empty() => return Err(ExchangeError::NoResponse),
                Ok(0) => return Err(ExchangeError::Truncated),
                Ok(length) => received.extend_from_slice(&buffer[..length]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(ExchangeError::Truncated),
            }
        }
    }
}

/// Parses a complete response. Returns it, and whether its connection closes after it; `None` if it is incomplete.
fn parse(received: &[u8]) -> Option<(Response, bool)> {
    let end = received.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&received[..end]).to_ascii_lowercase();
    let field =
        |name: &str| head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':')).map(str::trim);
    let length: usize = field("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let body = received.get(end + 4..end + 4 + length)?.to_vec();
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let retry_after = field("retry-after").and_then(|text| text.parse::<f64>().ok()).map(seconds);
    Some((Response { status, retry_after, body }, field("connection") == Some("close")))
}
