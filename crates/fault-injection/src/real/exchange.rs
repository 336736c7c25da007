//! One HTTP exchange with a front node, on an idle connection if there is one.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::Duration;

use orchidvalve_http::{HttpError, ResponseReader};

use super::{EventLog, locked};
use crate::scenario::seconds;
use crate::{MS, Nanos};

/// The maximum length of a response's head, in bytes.
const MAX_HEADER_BYTES: usize = 64 << 10;

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
    /// The bytes received are not a response.
    Malformed,
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
            if let Some((response, keeps_alive)) =
                parse_response(&received).map_err(|_| ExchangeError::Malformed)?
            {
                if keeps_alive {
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

/// Parses a complete response to a request with a body. Returns it, and whether its connection stays open after it;
/// `None` if it is incomplete.
pub(super) fn parse_response(received: &[u8]) -> Result<Option<(Response, bool)>, HttpError> {
    let (mut reader, mut body) = (ResponseReader::new("POST"), Vec::new());
    let progress = reader.read(received, MAX_HEADER_BYTES, &mut body)?;
    let Some(head) = reader.head().filter(|_| progress.complete) else { return Ok(None) };
    let retry_after = head.headers.get("retry-after").and_then(|text| text.parse::<f64>().ok()).map(seconds);
    Ok(Some((Response { status: head.status, retry_after, body }, reader.is_reusable())))
}
