//! Datagrams between front nodes. Each starts with a header: `O V`, the format version, the message kind, a key
//! number and the length of an authentication tag (both 0 until authentication is added; a node that receives an
//! unknown key number drops the datagram), and the sender. Numbers are little-endian. A datagram has at most
//! [`MAX_DATAGRAM_BYTES`].

use derive_more::{Display, Error};

use crate::Peer;
use crate::leases::{BudgetKey, LeaseGrant, LeaseRequest};
use crate::lists::{ListMessage, ListOffer, PAGE_BYTES, Page, PageRequest};
use crate::verdicts::{GossipedVerdict, Topic, VerdictKey};

const MAGIC: [u8; 2] = *b"OV";
/// Version of the format.
pub const VERSION: u8 = 1;
/// The largest size of a datagram: below the usual MTU of 1,500 including the headers of IPv4 and UDP.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
const HEADER_BYTES: usize = 6 + PEER_BYTES;
const PEER_BYTES: usize = 8;
const VERDICT_BYTES: usize = 8 + 3 + PEER_BYTES + 4 + 8 + 8;
/// The number of verdicts that fit into one datagram.
pub const MAX_VERDICTS: usize = (MAX_DATAGRAM_BYTES - HEADER_BYTES - 1) / VERDICT_BYTES;

/// A message from one front node to another.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Membership protocol, as encoded by `foca`.
    Swim(Vec<u8>),
    /// Requests a lease.
    LeaseRequest(LeaseRequest),
    /// Answers a lease request.
    LeaseGrant(LeaseGrant),
    /// Gossips verdicts.
    Verdicts(Vec<GossipedVerdict>),
    /// Requests, offers or transfers a list.
    List(ListMessage),
}

impl Message {
    /// Returns the kind in the header.
    fn kind(&self) -> u8 {
        match self {
            Message::Swim(_) => 1,
            Message::LeaseRequest(_) => 2,
            Message::LeaseGrant(_) => 3,
            Message::Verdicts(_) => 4,
            Message::List(ListMessage::Wanted(_)) => 5,
            Message::List(ListMessage::Offer(_)) => 6,
            Message::List(ListMessage::PageRequest(_)) => 7,
            Message::List(ListMessage::Page(_)) => 8,
        }
    }
}

/// Why a datagram could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum DecodeError {
    /// It does not have this format, or is truncated.
    #[display("datagram is no message of a front node; check what else sends to this port")]
    Malformed,
    /// It has a later version of the format.
    #[display("datagram has version {_0} of the format; run the same version on all front nodes")]
    NewerVersion(#[error(not(source))] u8),
    /// It is signed with a key that this node does not have.
    #[display("datagram is signed with key {_0}, which this node does not have; give it the key")]
    Signed(#[error(not(source))] u8),
}

/// Encodes a message as one datagram. Replaces the contents of `out`.
pub fn encode(from: Peer, message: &Message, out: &mut Vec<u8>) {
    out.clear();
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&[VERSION, message.kind(), 0, 0]);
    encode_peer(from, out);
    match message {
        Message::Swim(bytes) => out.extend_from_slice(bytes),
        Message::LeaseRequest(request) => {
            encode_key(request.key, out);
            out.extend_from_slice(&request.total.to_le_bytes());
            out.extend_from_slice(&request.amount.to_le_bytes());
            out.extend_from_slice(&request.number.to_le_bytes());
        }
        Message::LeaseGrant(grant) => {
            encode_key(grant.key, out);
            out.extend_from_slice(&grant.request.to_le_bytes());
            out.extend_from_slice(&grant.amount.to_le_bytes());
            out.extend_from_slice(&grant.duration.to_le_bytes());
        }
        Message::Verdicts(verdicts) => {
            let verdicts = &verdicts[..verdicts.len().min(MAX_VERDICTS)];
            out.push(verdicts.len() as u8);
            verdicts.iter().for_each(|verdict| encode_verdict(verdict, out));
        }
        Message::List(message) => encode_list_message(message, out),
    }
}

fn encode_peer(peer: Peer, out: &mut Vec<u8>) {
    out.extend_from_slice(&peer.ip);
    out.extend_from_slice(&peer.port.to_le_bytes());
    out.extend_from_slice(&peer.incarnation.to_le_bytes());
}

fn encode_key(key: BudgetKey, out: &mut Vec<u8>) {
    out.push(key.family);
    out.extend_from_slice(&key.subject.to_le_bytes());
}

fn encode_verdict(verdict: &GossipedVerdict, out: &mut Vec<u8>) {
    let VerdictKey { subject, service_class, topic } = verdict.key;
    out.extend_from_slice(&subject.to_le_bytes());
    out.extend_from_slice(&[service_class, topic as u8, u8::from(verdict.holds)]);
    encode_peer(verdict.origin, out);
    out.extend_from_slice(&verdict.sequence.to_le_bytes());
    out.extend_from_slice(&verdict.age.to_le_bytes());
    out.extend_from_slice(&verdict.lasts.to_le_bytes());
}

fn encode_list_message(message: &ListMessage, out: &mut Vec<u8>) {
    match message {
        ListMessage::Wanted(topic) => out.extend_from_slice(&topic.to_le_bytes()),
        ListMessage::Offer(offer) => {
            out.extend_from_slice(&offer.topic.to_le_bytes());
            out.extend_from_slice(&offer.revision.to_le_bytes());
            out.extend_from_slice(&offer.age.to_le_bytes());
            out.extend_from_slice(&offer.fingerprint.to_le_bytes());
            out.extend_from_slice(&offer.length.to_le_bytes());
        }
        ListMessage::PageRequest(request) => {
            out.extend_from_slice(&request.fingerprint.to_le_bytes());
            out.extend_from_slice(&request.from.to_le_bytes());
            out.extend_from_slice(&request.pages.to_le_bytes());
        }
        ListMessage::Page(page) => {
            let bytes = &page.bytes[..page.bytes.len().min(PAGE_BYTES)];
            out.extend_from_slice(&page.fingerprint.to_le_bytes());
            out.extend_from_slice(&page.page.to_le_bytes());
            out.extend_from_slice(&(bytes.len() as u16).to_le_bytes());
            out.extend_from_slice(bytes);
        }
    }
}

/// The remaining bytes. Each method takes a value from their start, and returns `None` if there are too few bytes.
struct Decoder<'a>(&'a [u8]);

impl<'a> Decoder<'a> {
    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (first, remaining) = self.0.split_first_chunk::<N>()?;
        self.0 = remaining;
        Some(*first)
    }
    fn u8(&mut self) -> Option<u8> {
        self.take::<1>().map(|b| b[0])
    }
    fn u16(&mut self) -> Option<u16> {
        self.take().map(u16::from_le_bytes)
    }
    fn u32(&mut self) -> Option<u32> {
        self.take().map(u32::from_le_bytes)
    }
    fn u64(&mut self) -> Option<u64> {
        self.take().map(u64::from_le_bytes)
    }
    fn i64(&mut self) -> Option<i64> {
        self.take().map(i64::from_le_bytes)
    }
    fn f64(&mut self) -> Option<f64> {
        self.take().map(f64::from_le_bytes).filter(|x| x.is_finite())
    }
    fn peer(&mut self) -> Option<Peer> {
        Some(Peer { ip: self.take()?, port: self.u16()?, incarnation: self.u16()? })
    }
    fn key(&mut self) -> Option<BudgetKey> {
        Some(BudgetKey { family: self.u8()?, subject: self.u64()? })
    }

    /// Decodes a message of the given kind. Some bytes may remain.
    fn message(&mut self, kind: u8) -> Option<Message> {
        Some(match kind {
            1 => Message::Swim(self.0.to_vec()),
            2 => Message::LeaseRequest(LeaseRequest {
                key: self.key()?,
                total: self.f64()?,
                amount: self.f64()?,
                number: self.u32()?,
            }),
            3 => Message::LeaseGrant(LeaseGrant {
                key: self.key()?,
                request: self.u32()?,
                amount: self.f64()?,
                duration: self.i64()?,
            }),
            4 => {
                let count = self.u8()?;
                Message::Verdicts((0..count).map(|_| self.verdict()).collect::<Option<Vec<_>>>()?)
            }
            5 => Message::List(ListMessage::Wanted(self.u64()?)),
            6 => Message::List(ListMessage::Offer(ListOffer {
                topic: self.u64()?,
                revision: self.i64()?,
                age: self.i64()?,
                fingerprint: self.u64()?,
                length: self.u32()?,
            })),
            7 => Message::List(ListMessage::PageRequest(PageRequest {
                fingerprint: self.u64()?,
                from: self.u16()?,
                pages: self.u16()?,
            })),
            8 => Message::List(ListMessage::Page(self.page()?)),
            _ => return None,
        })
    }

    fn verdict(&mut self) -> Option<GossipedVerdict> {
        let subject = self.u64()?;
        let (service_class, topic, holds) = (self.u8()?, Topic::from_byte(self.u8()?)?, self.u8()? != 0);
        Some(GossipedVerdict {
            key: VerdictKey { subject, service_class, topic },
            holds,
            origin: self.peer()?,
            sequence: self.u32()?,
            age: self.i64()?,
            lasts: self.i64()?,
        })
    }

    fn page(&mut self) -> Option<Page> {
        let (fingerprint, page, length) = (self.u64()?, self.u16()?, usize::from(self.u16()?));
        let (bytes, remaining) = self.0.split_at_checked(length)?;
        self.0 = remaining;
        Some(Page { fingerprint, page, bytes: bytes.to_vec() })
    }
}

/// Decodes a datagram into its sender and message.
///
/// # Errors
/// If the bytes are not a message of this version of the format.
pub fn decode(bytes: &[u8]) -> Result<(Peer, Message), DecodeError> {
    if bytes.len() > MAX_DATAGRAM_BYTES || bytes.len() < HEADER_BYTES || bytes[..2] != MAGIC {
        return Err(DecodeError::Malformed);
    }
    if bytes[2] != VERSION {
        let newer = bytes[2] > VERSION;
        return Err(if newer { DecodeError::NewerVersion(bytes[2]) } else { DecodeError::Malformed });
    }
    if bytes[4] != 0 {
        return Err(DecodeError::Signed(bytes[4]));
    }
    let body = bytes.get(6 + usize::from(bytes[5])..).ok_or(DecodeError::Malformed)?;
    let mut decoder = Decoder(body);
    let from = decoder.peer().ok_or(DecodeError::Malformed)?;
    let message = decoder.message(bytes[3]).ok_or(DecodeError::Malformed)?;
    if !matches!(message, Message::Swim(_)) && !decoder.0.is_empty() {
        return Err(DecodeError::Malformed);
    }
    Ok((from, message))
}
