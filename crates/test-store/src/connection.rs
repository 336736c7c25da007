//! Reads from and writes to one connection, with the faults that affect responses.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::{Fault, ReplacedResponse, StoreState};

/// Pause before each byte of a trickled response; a slow response is delayed by twice this time.
const PAUSE: Duration = Duration::from_millis(20);
const READ_BYTES: usize = 16 << 10;

/// Reads available bytes into `inbox`. Returns an error at the end of the stream.
pub(crate) fn read_more(mut socket: &TcpStream, inbox: &mut Vec<u8>) -> io::Result<()> {
    let mut buffer = [0; READ_BYTES];
    match socket.read(&mut buffer)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        length => {
            inbox.extend_from_slice(&buffer[..length]);
            Ok(())
        }
    }
}

/// Writes a response as its fault demands. `head_length` is the number of bytes that a stalled response sends. An error
/// ends the connection.
pub(crate) fn write_response(
    state: &StoreState,
    mut socket: &TcpStream,
    response: &[u8],
    head_length: usize,
    fault: Option<Fault>,
) -> io::Result<()> {
    match fault {
        Some(Fault::Silent) => Ok(()),
        Some(Fault::Stalled) => socket.write_all(&response[..head_length]),
        Some(Fault::Truncated) => {
            socket.write_all(&response[..response.len() / 2])?;
            Err(io::ErrorKind::ConnectionAborted.into())
        }
        Some(Fault::Disconnected) => Err(io::ErrorKind::ConnectionAborted.into()),
        Some(Fault::Trickled) => {
            for byte in response.chunks(1) {
                socket.write_all(byte)?;
                thread::sleep(PAUSE);
            }
            Ok(())
        }
        Some(Fault::Held) => {
            state.wait_for_release();
            socket.write_all(response)
        }
        Some(Fault::Slow) => {
            thread::sleep(2 * PAUSE);
            socket.write_all(response)
        }
        Some(Fault::Replaced(ReplacedResponse(bytes))) => socket.write_all(bytes),
        _ => socket.write_all(response),
    }
}
