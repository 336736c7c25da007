//! The table of connections. A slot is reused; the serial number distinguishes its connections.

use slab::Slab;

use super::connection::{Connection, ConnectionId};

/// All open connections.
pub(super) struct ConnectionTable {
    slots: Slab<Connection>,
    next_serial: u32,
}

impl ConnectionTable {
    pub(super) fn new() -> ConnectionTable {
        ConnectionTable { slots: Slab::new(), next_serial: 1 }
    }

    /// Returns the id of the connection that is inserted next.
    pub(super) fn next_id(&mut self) -> ConnectionId {
        let id = ConnectionId { slot: self.slots.vacant_key() as u32, serial: self.next_serial };
        self.next_serial = self.next_serial.wrapping_add(1);
        id
    }

    /// Inserts the connection for which [`ConnectionTable::next_id`] was last called.
    pub(super) fn insert(&mut self, connection: Connection) {
        self.slots.insert(connection);
    }

    pub(super) fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.slots.get(id.slot as usize).filter(|c| c.serial == id.serial)
    }

    pub(super) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.slots.get_mut(id.slot as usize).filter(|c| c.serial == id.serial)
    }

    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        self.get(id)?;
        self.slots.try_remove(id.slot as usize)
    }

    /// Returns the number of open connections.
    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }
}
