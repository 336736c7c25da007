//! What goes into a round and what comes out of it.

use std::net::SocketAddrV4;

use crate::Nanos;
use crate::leases::BudgetKey;
use crate::lists::{ListVersion, ListWanted};
use crate::peer::Peer;
use crate::verdicts::VerdictKey;

/// Where datagrams go.
pub trait DatagramSink {
    /// Sends a datagram; it may get lost.
    fn send(&mut self, to: SocketAddrV4, datagram: &[u8]);
}

/// A message and the peer that it goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage<M> {
    /// The peer.
    pub to: Peer,
    /// The message.
    pub message: M,
}

/// A writer that keeps what is sent, for tests and for hosts that send later.
#[derive(Default)]
pub struct Outbox {
    /// In the order of sending.
    pub sent: Vec<(SocketAddrV4, Vec<u8>)>,
}

impl DatagramSink for Outbox {
    fn send(&mut self, to: SocketAddrV4, datagram: &[u8]) {
        self.sent.push((to, datagram.to_vec()));
    }
}

/// What this node would use of a budget.
pub(crate) struct Demand {
    pub key: BudgetKey,
    pub total: f64,
    pub demand: f64,
}

/// A verdict that this node came to.
pub(crate) struct OwnVerdict {
    pub key: VerdictKey,
    pub holds: bool,
    pub lasts: Nanos,
}

/// What came in since the last round.
#[derive(Default)]
pub struct Inbox {
    pub(crate) datagrams: Vec<Vec<u8>>,
    pub(crate) demands: Vec<Demand>,
    pub(crate) verdicts: Vec<OwnVerdict>,
    pub(crate) offered_list: Option<ListVersion>,
    /// What is wanted of peers' lists, where that changed.
    pub(crate) list_wanted: Option<Option<ListWanted>>,
}

impl Inbox {
    /// A datagram, as it came; where from is in its header.
    pub fn datagram(&mut self, bytes: &[u8]) {
        self.datagrams.push(bytes.to_vec());
    }

    /// This node would use `demand` units a second of a budget of `total` for the fleet.
    pub fn set_demand(&mut self, key: BudgetKey, total: f64, demand: f64) {
        self.demands.push(Demand { key, total, demand });
    }

    /// A list that this node has to offer to its peers.
    pub fn offer_list(&mut self, list: ListVersion) {
        self.offered_list = Some(list);
    }

    /// Asks peers for that list from now on; or, with `None`, for none any longer.
    pub fn list_wanted(&mut self, wanted: Option<ListWanted>) {
        self.list_wanted = Some(wanted);
    }

    /// This node came to a verdict, which holds for `lasts` unless another one comes.
    pub fn verdict(&mut self, key: VerdictKey, holds: bool, lasts: Nanos) {
        self.verdicts.push(OwnVerdict { key, holds, lasts });
    }
}
