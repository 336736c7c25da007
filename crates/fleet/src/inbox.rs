//! Inputs and outputs of a round.

use std::net::SocketAddrV4;

use crate::Nanos;
use crate::leases::BudgetKey;
use crate::lists::{ListVersion, ListWanted};
use crate::peer::Peer;
use crate::verdicts::VerdictKey;

/// Receives the datagrams to send.
pub trait DatagramSink {
    /// Sends a datagram, which may get lost.
    fn send(&mut self, to: SocketAddrV4, datagram: &[u8]);
}

/// A message with its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage<M> {
    /// The receiver.
    pub to: Peer,
    /// The message.
    pub message: M,
}

/// A sink that stores the datagrams, for tests and for hosts that send them later.
#[derive(Default)]
pub struct Outbox {
    /// Datagrams with their receivers, in the order of sending.
    pub sent: Vec<(SocketAddrV4, Vec<u8>)>,
}

impl DatagramSink for Outbox {
    fn send(&mut self, to: SocketAddrV4, datagram: &[u8]) {
        self.sent.push((to, datagram.to_vec()));
    }
}

/// The demand of this node for a budget.
pub(crate) struct Demand {
    pub key: BudgetKey,
    pub total: f64,
    pub demand: f64,
}

/// A verdict reached by this node.
pub(crate) struct OwnVerdict {
    pub key: VerdictKey,
    pub holds: bool,
    pub lasts: Nanos,
}

/// Inputs of a round.
#[derive(Default)]
pub struct Inbox {
    pub(crate) datagrams: Vec<Vec<u8>>,
    pub(crate) demands: Vec<Demand>,
    pub(crate) verdicts: Vec<OwnVerdict>,
    pub(crate) offered_list: Option<ListVersion>,
    /// Change of the list that is wanted from peers; `None` if unchanged.
    pub(crate) list_wanted: Option<Option<ListWanted>>,
}

impl Inbox {
    /// Adds a received datagram. Its header contains the sender.
    pub fn datagram(&mut self, bytes: &[u8]) {
        self.datagrams.push(bytes.to_vec());
    }

    /// Sets this node's demand, in units per second, for a budget of `total` units per second for the fleet.
    pub fn set_demand(&mut self, key: BudgetKey, total: f64, demand: f64) {
        self.demands.push(Demand { key, total, demand });
    }

    /// Offers a list to peers.
    pub fn offer_list(&mut self, list: ListVersion) {
        self.offered_list = Some(list);
    }

    /// Requests a list from peers from now on, or none with `None`.
    pub fn list_wanted(&mut self, wanted: Option<ListWanted>) {
        self.list_wanted = Some(wanted);
    }

    /// Records a verdict of this node, which holds for `lasts` unless it is replaced by another one.
    pub fn verdict(&mut self, key: VerdictKey, holds: bool, lasts: Nanos) {
        self.verdicts.push(OwnVerdict { key, holds, lasts });
    }
}
