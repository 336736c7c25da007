//! The order in which connections of other store nodes were accepted.

use std::collections::BTreeMap;

use orchidvalve_protocol::identity::{MemberId, NodeAddress};

/// What a caller's handshake means for its other connections. `C` names a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionStatus<C> {
    /// It is the newest connection of the caller.
    Newest {
        /// The one before it, if it is still there; it has to be dropped.
        superseded: Option<C>,
    },
    /// The caller has introduced itself on a newer connection: this one has to be dropped.
    Outdated,
}

/// A connection and its number.
#[derive(Clone, Copy, Debug)]
struct NumberedConnection<C> {
    /// Rises with every connection that is accepted.
    number: u64,
    connection: C,
}

/// The newest connection of each caller. Bytes of an older one that are read later were sent before those of the
/// newer one: taken after them, they would be out of order.
#[derive(Debug)]
pub struct NewestConnections<C> {
    newest: BTreeMap<NodeAddress, NumberedConnection<C>>,
}

impl<C> Default for NewestConnections<C> {
    fn default() -> NewestConnections<C> {
        NewestConnections { newest: BTreeMap::new() }
    }
}

impl<C: Copy + PartialEq> NewestConnections<C> {
    /// A caller introduced itself; `number` rises with every connection that is accepted. Another disk at the same
    /// address is the same caller: the process before it has ended.
    pub fn introduced(&mut self, number: u64, connection: C, caller: MemberId) -> ConnectionStatus<C> {
        let known = self.newest.get(&caller.address).copied();
        if known.is_some_and(|newest| newest.number > number) {
            return ConnectionStatus::Outdated;
        }
        self.newest.insert(caller.address, NumberedConnection { number, connection });
        let older = known.map(|older| older.connection);
        ConnectionStatus::Newest { superseded: older.filter(|older| *older != connection) }
    }

    /// A connection has ended.
    pub fn closed(&mut self, connection: C) {
        self.newest.retain(|_, newest| newest.connection != connection);
    }
}
