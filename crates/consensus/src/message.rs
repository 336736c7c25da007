//! Messages between control nodes, and their encoding.

use derive_more::{Display, Error, From};
use musli::{Decode, Encode};
use orchidvalve_protocol::identity::MemberId;

use crate::acceptor::AcceptedView;
use crate::status::MemberStatus;
use crate::view::{Epoch, View};

/// The largest encoded message in bytes; a longer one is rejected before it is decoded.
pub const MAX_MESSAGE_BYTES: usize = 2_048;

/// Number of a proposal. Ordered by round, then by proposer; a proposer uses each round at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Ballot {
    /// Round number, incremented by each attempt of any proposer.
    pub round: u32,
    /// The process that proposes; distinguishes ballots of the same round.
    pub proposer: MemberId,
}

/// A message between control nodes. In a Paxos message, `epoch` is the epoch of the view to be decided. In any other
/// message it is the epoch of the latest view that the sender knows (zero for none).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Message {
    /// Sent first on each connection, and again to the seeds until there is a view.
    Hello {
        /// The sender.
        member: MemberId,
        /// Whether the sender may decide the first view.
        bootstrap: bool,
        /// Epoch of the latest view that the sender knows.
        epoch: Epoch,
    },
    /// Heartbeat request: the receiver replies with a `Pong` of the same number.
    Ping {
        /// Number of the sender's heartbeat round.
        number: u64,
        /// Epoch of the latest view that the sender knows.
        epoch: Epoch,
    },
    /// Reply to a `Ping`.
    Pong {
        /// Number of the `Ping`.
        number: u64,
        /// Epoch of the latest view on the sender's disk.
        epoch: Epoch,
        /// Status of the sender.
        status: MemberStatus,
    },
    /// Phase 1 of the instance.
    Prepare {
        /// Epoch of the instance.
        epoch: Epoch,
        /// The ballot that the receiver is to promise.
        ballot: Ballot,
    },
    /// The sender will ignore ballots below `ballot`.
    Promise {
        /// Epoch of the instance.
        epoch: Epoch,
        /// The promised ballot.
        ballot: Ballot,
        /// The view that the sender has accepted so far, if any.
        accepted: Option<AcceptedView>,
    },
    /// Phase 2 of the instance. The epoch of the instance is that of the view.
    Accept {
        /// The ballot that a majority has promised.
        ballot: Ballot,
        /// The view that the receiver is to accept.
        view: View,
    },
    /// The sender has accepted the view of `ballot`.
    Accepted {
        /// Epoch of the instance.
        epoch: Epoch,
        /// The ballot under which the view was accepted.
        ballot: Ballot,
    },
    /// The sender rejects `ballot`.
    Nack {
        /// Epoch of the instance.
        epoch: Epoch,
        /// The rejected ballot.
        ballot: Ballot,
        /// The higher ballot that the sender has promised.
        promised: Ballot,
    },
    /// Announces a decided view.
    Decided {
        /// The decided view.
        view: View,
    },
}

/// The reason why bytes are not a valid message.
#[derive(Debug, Display, Error, From)]
pub enum DecodeError {
    /// The message is longer than [`MAX_MESSAGE_BYTES`].
    #[display(
        "agreement message of {length} bytes is longer than the limit of {MAX_MESSAGE_BYTES}; close the link"
    )]
    #[from(ignore)]
    TooLong {
        /// Length of the message in bytes.
        length: usize,
    },
    /// The checksum does not match the message.
    #[display("agreement message is damaged (checksum differs); close the link and connect again")]
    #[from(ignore)]
    Checksum,
    /// The bytes are not a message of this version.
    #[display("agreement message cannot be decoded ({_0}); run the same version on all control nodes")]
    Format(musli::storage::Error),
    /// A view that is not [`View::is_well_formed`], or whose epoch differs from that of the message.
    #[display("agreement message carries an invalid view; run the same version on all control nodes")]
    #[from(ignore)]
    View,
}

impl Message {
    /// Appends the encoded message and a checksum of it to `buffer`.
    ///
    /// # Errors
    /// Returns an error only for values that the format cannot represent; no message contains one.
    pub fn encode(&self, buffer: &mut Vec<u8>) -> Result<(), musli::storage::Error> {
        let start = buffer.len();
        musli::storage::to_writer(&mut *buffer, self)?;
        let checksum = checksum(&buffer[start..]);
        buffer.extend_from_slice(&checksum.to_le_bytes());
        Ok(())
    }

    /// Decodes one message that occupies all of `bytes`.
    ///
    /// # Errors
    /// Returns an error if the message is too long, damaged, of another version, or carries an invalid view.
    pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(DecodeError::TooLong { length: bytes.len() });
        }
        let (body, trailer) = bytes.split_last_chunk::<4>().ok_or(DecodeError::Checksum)?;
        if checksum(body) != u32::from_le_bytes(*trailer) {
            return Err(DecodeError::Checksum);
        }
        let message: Message = musli::storage::from_slice(body)?;
        if message.is_well_formed() { Ok(message) } else { Err(DecodeError::View) }
    }

    /// Returns false if the message carries a view that violates [`View::is_well_formed`].
    pub fn is_well_formed(&self) -> bool {
        match self {
            Message::Promise { epoch, accepted: Some(accepted), .. } => {
                accepted.view.epoch == *epoch && accepted.view.is_well_formed()
            }
            Message::Accept { view, .. } | Message::Decided { view } => view.is_well_formed(),
            _ => true,
        }
    }
}

/// Returns the 32-bit FNV-1a hash (RFC 9923), which changes with every change of a single byte.
fn checksum(bytes: &[u8]) -> u32 {
    const OFFSET: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    bytes.iter().fold(OFFSET, |hash, byte| (hash ^ u32::from(*byte)).wrapping_mul(PRIME))
}
