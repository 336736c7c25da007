//! The server side of the binary frame protocol.

use std::io;
use std::net::TcpStream;

use crate::connection::{read_more, write_response};
use crate::{Fault, StoreState, lock};

const LENGTH_BYTES: usize = 4;
/// Length in bytes of a frame's length and kind.
const HEAD_BYTES: usize = LENGTH_BYTES + 1;

/// Responds to the frames of a connection until it ends.
pub(crate) fn serve(state: &StoreState, socket: &TcpStream) -> io::Result<()> {
    let mut inbox = Vec::new();
    loop {
        while inbox.len() < LENGTH_BYTES {
            read_more(socket, &mut inbox)?;
        }
        let length = u32::from_be_bytes([inbox[0], inbox[1], inbox[2], inbox[3]]) as usize;
        while inbox.len() < LENGTH_BYTES + length {
            read_more(socket, &mut inbox)?;
        }
        let frame: Vec<u8> = inbox.drain(..LENGTH_BYTES + length).skip(LENGTH_BYTES).collect();
        match frame.split_first() {
            Some((b'1', shard_requests)) => execute_call(state, socket, shard_requests)?,
            Some((b'2', _)) => lock(&state.observations).cancelled += 1,
            Some((&kind @ (b'3' | b'4'), _)) => {
                let fault = state.health_check();
                let response: &[u8] = match (kind, fault) {
                    (_, Some(Fault::Error)) => b"E",
                    (b'3', _) => b"S",
                    _ => b"waiting=0,rps=100",
                };
                write_response(state, socket, &frame_of(kind, response), HEAD_BYTES, fault)?;
            }
            _ => {
                let error = frame_of(b'X', b"unknown frame");
                return write_response(state, socket, &error, HEAD_BYTES, None);
            }
        }
    }
}

fn frame_of(kind: u8, rest: &[u8]) -> Vec<u8> {
    let mut frame = (rest.len() as u32 + 1).to_be_bytes().to_vec();
    frame.push(kind);
    frame.extend_from_slice(rest);
    frame
}

/// Executes the shard requests of one frame, and responds to each with its own frame.
fn execute_call(state: &StoreState, socket: &TcpStream, mut shard_requests: &[u8]) -> io::Result<()> {
    let malformed = || io::Error::from(io::ErrorKind::InvalidData);
    while let Some(end) = shard_requests.iter().position(|&byte| byte == b'\n') {
        let line = std::str::from_utf8(&shard_requests[..end]).map_err(|_| malformed())?;
        let words: Vec<&str> = line.split(' ').collect();
        let [id, shard, _, length] = words[..] else { return Err(malformed()) };
        let shard = shard.parse().map_err(|_| malformed())?;
        let length = length.parse::<usize>().map_err(|_| malformed())?;
        let payload = shard_requests.get(end + 1..end + 1 + length).ok_or_else(malformed)?;
        let payload = std::str::from_utf8(payload).map_err(|_| malformed())?;
        shard_requests = &shard_requests[end + 1 + length..];
        let fault = state.shard_request(payload);
        let (outcome, value) = match fault {
            Some(Fault::Rejected) => ("B", String::new()),
            Some(Fault::Error | Fault::Incomplete | Fault::TimedOut) => ("E", String::new()),
            _ => match lock(&state.documents).run(payload, shard) {
                Ok(result) => ("S", result.value),
                Err(_) => ("E", String::new()),
            },
        };
        lock(&state.observations).completed += 1;
        let response = match fault {
            Some(Fault::Garbled) => frame_of(b'7', b"what"),
            _ => frame_of(b'5', format!("{id} {outcome} 7 -\n{value}").as_bytes()),
        };
        write_response(state, socket, &response, HEAD_BYTES, fault)?;
    }
    Ok(())
}
