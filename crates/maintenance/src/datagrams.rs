//! Fragmentation of messages into datagrams, and reassembly.

use std::collections::VecDeque;

use crate::node::NodeMessage;

/// First bytes of each datagram. The last one is the format version.
const MAGIC: [u8; 3] = [b'O', b'M', 1];
/// Message bytes per datagram. With the header, a datagram is below the usual MTU.
const FRAGMENT_BYTES: usize = 1200;
const HEADER_BYTES: usize = 3 + 8 + 4 + 2;
/// The largest number of fragments of a message, as the header counts them in a byte.
const MAX_FRAGMENTS: usize = 255;
/// The largest number of incomplete messages, over all senders.
const MAX_INCOMPLETE: usize = 64;

/// Splits a message into datagrams. `number` distinguishes the messages of a sender.
pub fn split(from: u64, number: u32, message: &NodeMessage) -> Vec<Vec<u8>> {
    let bytes = postcard::to_stdvec(message).unwrap_or_default();
    let fragments = bytes.chunks(FRAGMENT_BYTES).count();
    if fragments == 0 || fragments > MAX_FRAGMENTS {
        // No message is this long: a queue of 4,000 machines has 240 fragments.
        return Vec::new();
    }
    let datagram = |(index, fragment): (usize, &[u8])| {
        let mut datagram = Vec::with_capacity(HEADER_BYTES + fragment.len());
        datagram.extend_from_slice(&MAGIC);
        datagram.extend_from_slice(&from.to_le_bytes());
        datagram.extend_from_slice(&number.to_le_bytes());
        datagram.extend_from_slice(&[index as u8, fragments as u8]);
        datagram.extend_from_slice(fragment);
        datagram
    };
    bytes.chunks(FRAGMENT_BYTES).enumerate().map(datagram).collect()
}

/// A fragment of a message, as carried by a datagram.
struct Fragment<'a> {
    message: MessageId,
    index: usize,
    /// The number of fragments of the message.
    count: usize,
    bytes: &'a [u8],
}

/// Identifies a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct MessageId {
    from: u64,
    number: u32,
}

impl Fragment<'_> {
    fn decode(datagram: &[u8]) -> Option<Fragment<'_>> {
        let rest = datagram.strip_prefix(&MAGIC)?;
        let (from, rest) = rest.split_first_chunk::<8>()?;
        let (number, rest) = rest.split_first_chunk::<4>()?;
        let (&[index, count], bytes) = rest.split_first_chunk::<2>()?;
        let message = MessageId { from: u64::from_le_bytes(*from), number: u32::from_le_bytes(*number) };
        let is_valid = index < count && bytes.len() <= FRAGMENT_BYTES;
        is_valid.then_some(Fragment { message, index: usize::from(index), count: usize::from(count), bytes })
    }
}

/// A message whose fragments are being received; `None` for a missing fragment.
struct Incomplete {
    message: MessageId,
    fragments: Vec<Option<Vec<u8>>>,
}

/// A complete message.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedMessage {
    /// Number of the node that sent it.
    pub from: u64,
    /// The message.
    pub message: NodeMessage,
}

/// Reassembles messages from their datagrams.
#[derive(Default)]
pub struct Reassembler {
    /// Incomplete messages, oldest first.
    incomplete: VecDeque<Incomplete>,
    /// Datagrams and messages that could not be decoded.
    pub undecodable: u64,
    /// Incomplete messages that were dropped.
    pub abandoned: u64,
}

impl Reassembler {
    /// Adds a datagram. Returns the message that it completes, if any.
    pub fn take(&mut self, datagram: &[u8]) -> Option<ReceivedMessage> {
        let Some(fragment) = Fragment::decode(datagram) else {
            self.undecodable += 1;
            return None;
        };
        let position = self.position_of(&fragment);
        let incomplete = &mut self.incomplete[position];
        incomplete.fragments[fragment.index] = Some(fragment.bytes.to_vec());
        if incomplete.fragments.iter().any(Option::is_none) {
            return None;
        }
        let complete = self.incomplete.remove(position)?;
        let bytes: Vec<u8> = complete.fragments.into_iter().flatten().flatten().collect();
        match postcard::from_bytes(&bytes) {
            Ok(message) => Some(ReceivedMessage { from: complete.message.from, message }),
            Err(_) => {
                self.undecodable += 1;
                None
            }
        }
    }

    /// Returns the position of a fragment's message, which is added if it is new.
    fn position_of(&mut self, fragment: &Fragment<'_>) -> usize {
        let is_same =
            |known: &Incomplete| known.message == fragment.message && known.fragments.len() == fragment.count;
        if let Some(position) = self.incomplete.iter().position(is_same) {
            return position;
        }
        if self.incomplete.len() >= MAX_INCOMPLETE {
            self.incomplete.pop_front();
            self.abandoned += 1;
        }
        self.incomplete
            .push_back(Incomplete { message: fragment.message, fragments: vec![None; fragment.count] });
        self.incomplete.len() - 1
    }
}
