//! Datagrams between front nodes. Each begins with a head: `O V`, the format's version, the kind, the number of a key
//! and the length of a tag made with it (both 0 until authentication comes; a node that sees a key it does not have
//! drops the datagram), and the sender. Numbers are little-endian. A datagram is at most [`LONGEST`] bytes.

use crate::Peer;
use crate::lists::{ListLetter, Notice, PAGE, Page, Pull};
use crate::shares::{Ask, BudgetKey, Grant};
use crate::verdicts::{Told, Topic, VerdictKey};

pub const VERSION: u8 = 1;
/// Bytes of a datagram at most: under the usual MTU of 1,500 with the heads of IPv4 and UDP.
pub const LONGEST: usize = 1400;
const HEAD: usize = 6 + PEER;
const PEER: usize = 8;
const TOLD: usize = 8 + 3 + PEER + 4 + 8 + 8;
/// Verdicts that fit one datagram.
pub const VERDICTS_MOST: usize = (LONGEST - HEAD - 1) / TOLD;

#[derive(Clone, Debug, PartialEq)]
pub enum Letter {
    /// Membership, in the form of the crate that keeps it.
    Swim(Vec<u8>),
    Ask(Ask),
    Grant(Grant),
    Verdicts(Vec<Told>),
    List(ListLetter),
}

/// Why a datagram was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// Not ours, or cut short.
    Garbled,
    /// A later version of the format.
    Newer(u8),
    /// Signed with a key this node does not have.
    Keyed(u8),
}

pub fn write(from: Peer, letter: &Letter, out: &mut Vec<u8>) {
    out.clear();
    let kind = match letter {
        Letter::Swim(_) => 1,
        Letter::Ask(_) => 2,
        Letter::Grant(_) => 3,
        Letter::Verdicts(_) => 4,
        Letter::List(ListLetter::Wanted(_)) => 5,
        Letter::List(ListLetter::Notice(_)) => 6,
        Letter::List(ListLetter::Pull(_)) => 7,
        Letter::List(ListLetter::Page(_)) => 8,
    };
    out.extend_from_slice(&[b'O', b'V', VERSION, kind, 0, 0]);
    peer(from, out);
    match letter {
        Letter::Swim(bytes) => out.extend_from_slice(bytes),
        Letter::Ask(ask) => {
            key(ask.key, out);
            out.extend_from_slice(&ask.total.to_le_bytes());
            out.extend_from_slice(&ask.want.to_le_bytes());
            out.extend_from_slice(&ask.ask.to_le_bytes());
        }
        Letter::Grant(grant) => {
            key(grant.key, out);
            out.extend_from_slice(&grant.ask.to_le_bytes());
            out.extend_from_slice(&grant.amount.to_le_bytes());
            out.extend_from_slice(&grant.lasts.to_le_bytes());
        }
        Letter::Verdicts(all) => {
            let all = &all[..all.len().min(VERDICTS_MOST)];
            out.push(all.len() as u8);
            for told in all {
                out.extend_from_slice(&told.key.subject.to_le_bytes());
                out.extend_from_slice(&[told.key.grade, told.key.topic as u8, u8::from(told.holds)]);
                peer(told.origin, out);
                out.extend_from_slice(&told.sequence.to_le_bytes());
                out.extend_from_slice(&told.age.to_le_bytes());
                out.extend_from_slice(&told.lasts.to_le_bytes());
            }
        }
        Letter::List(ListLetter::Wanted(topic)) => out.extend_from_slice(&topic.to_le_bytes()),
        Letter::List(ListLetter::Notice(n)) => {
            out.extend_from_slice(&n.topic.to_le_bytes());
            out.extend_from_slice(&n.revision.to_le_bytes());
            out.extend_from_slice(&n.age.to_le_bytes());
            out.extend_from_slice(&n.print.to_le_bytes());
            out.extend_from_slice(&n.length.to_le_bytes());
        }
        Letter::List(ListLetter::Pull(p)) => {
            out.extend_from_slice(&p.print.to_le_bytes());
            out.extend_from_slice(&p.from.to_le_bytes());
            out.extend_from_slice(&p.pages.to_le_bytes());
        }
        Letter::List(ListLetter::Page(p)) => {
            let bytes = &p.bytes[..p.bytes.len().min(PAGE)];
            out.extend_from_slice(&p.print.to_le_bytes());
            out.extend_from_slice(&p.page.to_le_bytes());
            out.extend_from_slice(&(bytes.len() as u16).to_le_bytes());
            out.extend_from_slice(bytes);
        }
    }
}

fn peer(p: Peer, out: &mut Vec<u8>) {
    out.extend_from_slice(&p.ip);
    out.extend_from_slice(&p.port.to_le_bytes());
    out.extend_from_slice(&p.bump.to_le_bytes());
}

fn key(k: BudgetKey, out: &mut Vec<u8>) {
    out.push(k.family);
    out.extend_from_slice(&k.subject.to_le_bytes());
}

/// A reader over the bytes that fails as a whole where anything is missing.
struct Bytes<'a>(&'a [u8]);

impl<'a> Bytes<'a> {
    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (first, rest) = self.0.split_first_chunk::<N>()?;
        self.0 = rest;
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
        Some(Peer { ip: self.take()?, port: self.u16()?, bump: self.u16()? })
    }
    fn key(&mut self) -> Option<BudgetKey> {
        Some(BudgetKey { family: self.u8()?, subject: self.u64()? })
    }
}

pub fn read(bytes: &[u8]) -> Result<(Peer, Letter), Unread> {
    if bytes.len() > LONGEST || bytes.len() < HEAD || bytes[..2] != *b"OV" {
        return Err(Unread::Garbled);
    }
    if bytes[2] != VERSION {
        return Err(if bytes[2] > VERSION { Unread::Newer(bytes[2]) } else { Unread::Garbled });
    }
    if bytes[4] != 0 {
        return Err(Unread::Keyed(bytes[4]));
    }
    let mut b = Bytes(&bytes[6 + usize::from(bytes[5])..]);
    let from = b.peer().ok_or(Unread::Garbled)?;
    let letter = match bytes[3] {
        1 => Some(Letter::Swim(b.0.to_vec())),
        2 => (|| Some(Letter::Ask(Ask { key: b.key()?, total: b.f64()?, want: b.f64()?, ask: b.u32()? })))(),
        3 => (|| {
            Some(Letter::Grant(Grant { key: b.key()?, ask: b.u32()?, amount: b.f64()?, lasts: b.i64()? }))
        })(),
        4 => (|| {
            let count = b.u8()?;
            let mut all = Vec::with_capacity(usize::from(count));
            for _ in 0..count {
                let subject = b.u64()?;
                let (grade, topic, holds) = (b.u8()?, Topic::from_byte(b.u8()?)?, b.u8()? != 0);
                let (origin, sequence, age, lasts) = (b.peer()?, b.u32()?, b.i64()?, b.i64()?);
                let key = VerdictKey { subject, grade, topic };
                all.push(Told { key, holds, origin, sequence, age, lasts });
            }
            Some(Letter::Verdicts(all))
        })(),
        5 => b.u64().map(|topic| Letter::List(ListLetter::Wanted(topic))),
        6 => (|| {
            let (topic, revision, age) = (b.u64()?, b.i64()?, b.i64()?);
            let notice = Notice { topic, revision, age, print: b.u64()?, length: b.u32()? };
            Some(Letter::List(ListLetter::Notice(notice)))
        })(),
        7 => (|| {
            Some(Letter::List(ListLetter::Pull(Pull { print: b.u64()?, from: b.u16()?, pages: b.u16()? })))
        })(),
        8 => (|| {
            let (print, page, length) = (b.u64()?, b.u16()?, usize::from(b.u16()?));
            let (bytes, rest) = b.0.split_at_checked(length)?;
            b.0 = rest;
            Some(Letter::List(ListLetter::Page(Page { print, page, bytes: bytes.to_vec() })))
        })(),
        _ => None,
    };
    let letter = letter.ok_or(Unread::Garbled)?;
    if !matches!(letter, Letter::Swim(_)) && !b.0.is_empty() {
        return Err(Unread::Garbled);
    }
    Ok((from, letter))
}
