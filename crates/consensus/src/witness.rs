//! An acceptor of the first view that has no disk.
//!
//! The seeds vote on the first view, since they are the only control nodes that all processes know. A seed without a
//! disk can't be in a view, but it can vote on the first one as a witness: its vote has to outlast only the first start
//! of the system, and a process that is started again is not started with `bootstrap=true`. The view itself is on the
//! disks of a majority of its members before it is decided ([`crate::acceptances`]).

use orchidvalve_protocol::identity::MemberId;

use crate::acceptor::Acceptor;
use crate::message::{Ballot, Message};
use crate::view::{Epoch, View};

/// The epoch on which a witness votes.
const FIRST_EPOCH: Epoch = 1;

/// The votes of a control node without a disk that was started with `bootstrap=true`.
#[derive(Debug, Default)]
pub struct Witness {
    acceptor: Acceptor,
    /// Set once a member knows a view: a first view has been decided, so no vote is needed.
    system_exists: bool,
}

impl Witness {
    /// Handles a message of the member at the other end of a link. Returns the reply, if there is one.
    pub fn message_received(&mut self, from: MemberId, message: &Message) -> Option<Message> {
        if !message.is_well_formed() {
            return None;
        }
        match message {
            Message::Prepare { epoch, ballot } => self.prepare(from, *epoch, *ballot),
            Message::Accept { ballot, view } => self.accept(from, *ballot, view),
            Message::Hello { epoch, .. } | Message::Ping { epoch, .. } | Message::Pong { epoch, .. } => {
                self.system_exists |= *epoch > 0;
                None
            }
            Message::Decided { .. } => {
                self.system_exists = true;
                None
            }
            Message::Promise { .. } | Message::Accepted { .. } | Message::Nack { .. } => None,
        }
    }

    /// Phase 1 (Lamport 2001, section 2.2).
    fn prepare(&mut self, from: MemberId, epoch: Epoch, ballot: Ballot) -> Option<Message> {
        if !self.votes_on(from, epoch, ballot) {
            return None;
        }
        Some(match self.acceptor.prepare(ballot) {
            Ok(()) => Message::Promise { epoch, ballot, accepted: self.acceptor.accepted.clone() },
            Err(promised) => Message::Nack { epoch, ballot, promised },
        })
    }

    /// Phase 2.
    fn accept(&mut self, from: MemberId, ballot: Ballot, view: &View) -> Option<Message> {
        let epoch = view.epoch;
        if !self.votes_on(from, epoch, ballot) {
            return None;
        }
        Some(match self.acceptor.accept(ballot, view) {
            Ok(()) => Message::Accepted { epoch, ballot },
            Err(promised) => Message::Nack { epoch, ballot, promised },
        })
    }

    fn votes_on(&mut self, from: MemberId, epoch: Epoch, ballot: Ballot) -> bool {
        self.system_exists |= epoch > FIRST_EPOCH;
        !self.system_exists && epoch == FIRST_EPOCH && ballot.proposer == from
    }
}
