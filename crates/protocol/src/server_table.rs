//! The server table: model servers and application servers, as the platform's list shows them.
//!
//! The leader of the reading role replaces the table ([`ServerTable::replace`]) and spreads the updates; every other
//! process applies them ([`ServerTable::apply`]).

use std::collections::{BTreeMap, VecDeque};

use crate::messages::{ServerEntry, ServerTableUpdate, TableVersion};

/// Deltas that are kept at most for subscribers that are a little behind...
const MAX_KEPT_DELTAS: usize = 256;
/// ...and entries in them, in parts of the table: beyond that a snapshot is smaller. So many deltas are kept in any case.
const KEPT_ENTRIES_DIVISOR: usize = 2;
const MIN_KEPT_DELTAS: usize = 32;

/// The table with its latest deltas.
#[derive(Default, Debug)]
pub struct ServerTable {
    version: TableVersion,
    servers: BTreeMap<String, ServerEntry>,
    /// Latest deltas, oldest first; each starts from the version that the one before leads to.
    deltas: VecDeque<ServerTableUpdate>,
    /// Entries in them.
    delta_entries: usize,
}

/// Entries that an update carries.
fn entries(update: &ServerTableUpdate) -> usize {
    match update {
        ServerTableUpdate::Snapshot { servers, .. } => servers.len(),
        ServerTableUpdate::Delta { changed, removed, .. } => changed.len() + removed.len(),
    }
}

impl ServerTable {
    /// Version of the table.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// All servers, by the order of their instance ids.
    pub fn servers(&self) -> impl Iterator<Item = &ServerEntry> {
        self.servers.values()
    }

    /// The server with an instance id.
    pub fn get(&self, instance: &str) -> Option<&ServerEntry> {
        self.servers.get(instance)
    }

    /// Takes over a whole list that the leader of `term` read; the update if anything changed. The first one of a
    /// term is a snapshot: the former leader may have told other machines more than this one. A list read under an
    /// earlier term than the table's is ignored.
    pub fn replace(&mut self, term: u64, servers: Vec<ServerEntry>) -> Option<ServerTableUpdate> {
        let from = self.version;
        if term < from.term {
            return None;
        }
        let begins_term = term > from.term || from.number == 0;
        let listed: BTreeMap<String, ServerEntry> =
            servers.into_iter().map(|s| (s.instance.clone(), s)).collect();
        let changed: Vec<ServerEntry> =
            listed.values().filter(|s| self.servers.get(&s.instance) != Some(s)).cloned().collect();
        let removed: Vec<String> =
            self.servers.keys().filter(|i| !listed.contains_key(*i)).cloned().collect();
        if changed.is_empty() && removed.is_empty() && !begins_term {
            return None;
        }
        let number = if begins_term { 1 } else { from.number + 1 };
        self.version = TableVersion { term, number };
        self.servers = listed;
        let update = ServerTableUpdate::Delta { from, version: self.version, changed, removed };
        self.keep(update.clone());
        Some(if begins_term { self.snapshot() } else { update })
    }

    fn keep(&mut self, update: ServerTableUpdate) {
        self.delta_entries += entries(&update);
        self.deltas.push_back(update);
        while self.has_surplus_deltas() {
            let Some(oldest) = self.deltas.pop_front() else { return };
            self.delta_entries -= entries(&oldest);
        }
    }

    fn has_surplus_deltas(&self) -> bool {
        let max_entries = self.servers.len() / KEPT_ENTRIES_DIVISOR;
        self.deltas.len() > MAX_KEPT_DELTAS
            || (self.deltas.len() > MIN_KEPT_DELTAS && self.delta_entries > max_entries)
    }

    /// Applies an update that another machine wrote; false where a snapshot is needed first. Older ones are ignored.
    pub fn apply(&mut self, update: &ServerTableUpdate) -> bool {
        match update {
            ServerTableUpdate::Snapshot { version, servers } => {
                if *version > self.version {
                    self.version = *version;
                    self.servers = servers.iter().map(|s| (s.instance.clone(), s.clone())).collect();
                    self.deltas.clear();
                    self.delta_entries = 0;
                }
                true
            }
            ServerTableUpdate::Delta { from, version, changed, removed } => {
                if *version <= self.version {
                    return true;
                }
                if *from != self.version {
                    return false;
                }
                for instance in removed {
                    self.servers.remove(instance);
                }
                for server in changed {
                    self.servers.insert(server.instance.clone(), server.clone());
                }
                self.version = *version;
                self.keep(update.clone());
                true
            }
        }
    }

    /// The whole table as an update.
    pub fn snapshot(&self) -> ServerTableUpdate {
        ServerTableUpdate::Snapshot {
            version: self.version,
            servers: self.servers.values().cloned().collect(),
        }
    }

    /// What a subscriber at version `from` needs to catch up: the deltas since, or a snapshot.
    pub fn updates_since(&self, from: TableVersion) -> Vec<ServerTableUpdate> {
        if from >= self.version {
            return Vec::new();
        }
        let starts =
            |u: &ServerTableUpdate| matches!(u, ServerTableUpdate::Delta { from: f, .. } if *f == from);
        match self.deltas.iter().position(starts) {
            Some(start) => self.deltas.range(start..).cloned().collect(),
            None => vec![self.snapshot()],
        }
    }
}
