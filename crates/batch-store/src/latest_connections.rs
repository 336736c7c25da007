//! Tracks the latest connection from each other store node.

use std::collections::BTreeMap;

use orchidvalve_protocol::identity::{MemberId, NodeAddress};

/// The effect of a caller's handshake on its connections. `C` identifies a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionStatus<C> {
    /// This is the latest connection of the caller.
    Latest {
        /// The previous connection if it is still open; the host has to close it.
        superseded: Option<C>,
    },
    /// The caller has already introduced itself on a later connection: the host has to close this one.
    Outdated,
}

/// A connection and its number.
#[derive(Clone, Copy, Debug)]
struct NumberedConnection<C> {
    /// Rises with every accepted connection.
    number: u64,
    connection: C,
}

/// The latest connection of each caller. Bytes read later from an earlier connection were sent before those of the
/// latest one; handling them would reorder messages.
#[derive(Debug)]
pub struct LatestConnections<C> {
    latest: BTreeMap<NodeAddress, NumberedConnection<C>>,
}

impl<C> Default for LatestConnections<C> {
    fn default() -> LatestConnections<C> {
        LatestConnections { latest: BTreeMap::new() }
    }
}

impl<C: Copy + PartialEq> LatestConnections<C> {
    /// Handles the handshake of a caller; `number` rises with every accepted connection. A caller with the same address
    /// but another disk counts as the same caller: the process that used the previous disk has ended.
    pub fn introduced(&mut self, number: u64, connection: C, caller: MemberId) -> ConnectionStatus<C> {
        let known = self.latest.get(&caller.address).copied();
        if known.is_some_and(|latest| latest.number > number) {
            return ConnectionStatus::Outdated;
        }
        self.latest.insert(caller.address, NumberedConnection { number, connection });
        let older = known.map(|older| older.connection);
        ConnectionStatus::Latest { superseded: older.filter(|older| *older != connection) }
    }

    /// Handles the end of a connection.
    pub fn closed(&mut self, connection: C) {
        self.latest.retain(|_, latest| latest.connection != connection);
    }
}
