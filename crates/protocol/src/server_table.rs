//! The server table: the model servers and application servers in the platform's list.
//!
//! The leader of the role that reads the list replaces the table ([`ServerTable::replace`]) and distributes the
//! updates; every other process applies them ([`ServerTable::apply`]).

use std::collections::{BTreeMap, VecDeque};

use crate::messages::{ModelVersionChange, ServerEntry, ServerTableUpdate, TableVersion};

/// The maximum number of deltas kept for subscribers that are slightly behind.
const MAX_KEPT_DELTAS: usize = 256;
/// The kept deltas may together cost this fraction (1/n) of the table; beyond that a snapshot is smaller. The latest
/// [`MIN_KEPT_DELTAS`] are kept at any cost.
const KEPT_COST_DIVISOR: usize = 2;
const MIN_KEPT_DELTAS: usize = 32;

/// Cost of a complete entry or of a removed instance, in units of one change of a model version; roughly by their
/// bytes.
const ENTRY_COST: usize = 8;

/// The server table and its latest deltas.
#[derive(Default, Debug)]
pub struct ServerTable {
    version: TableVersion,
    servers: BTreeMap<String, ServerEntry>,
    /// The latest deltas, oldest first; each starts from the version that the previous one leads to.
    deltas: VecDeque<ServerTableUpdate>,
    /// Total cost of `deltas`.
    delta_cost: usize,
}

/// Returns the cost of an update, in units of one change of a model version.
fn cost(update: &ServerTableUpdate) -> usize {
    match update {
        ServerTableUpdate::Snapshot { servers, .. } => servers.len() * ENTRY_COST,
        ServerTableUpdate::Delta { versions, changed, removed, .. } => {
            versions.len() + (changed.len() + removed.len()) * ENTRY_COST
        }
    }
}

/// Returns whether two entries of a server are equal or differ only in the versions of model weights.
fn differ_in_versions_only(before: &ServerEntry, after: &ServerEntry) -> bool {
    let ServerEntry { instance, service, address, zone, slots, draining, models } = before;
    let has_same_models =
        || models.iter().map(|(name, _)| name).eq(after.models.iter().map(|(name, _)| name));
    *instance == after.instance
        && *service == after.service
        && *address == after.address
        && *zone == after.zone
        && *slots == after.slots
        && *draining == after.draining
        && has_same_models()
}

/// Returns an index as encoded in messages. No list has four billion entries.
fn wire_index(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}

/// Returns the version changes from the entry `before` to the entry `after` of the server with index `server`.
fn version_changes(
    server: usize,
    before: &ServerEntry,
    after: &ServerEntry,
) -> impl Iterator<Item = ModelVersionChange> {
    let pairs = before.models.iter().zip(&after.models).enumerate();
    pairs.filter(|(_, ((_, before), (_, after)))| before != after).map(move |(model, (_, (_, version)))| {
        ModelVersionChange { server: wire_index(server), model: wire_index(model), version: *version }
    })
}

impl ServerTable {
    /// Returns the version of the table.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// Returns all servers, ordered by instance id.
    pub fn servers(&self) -> impl Iterator<Item = &ServerEntry> {
        self.servers.values()
    }

    /// Returns the server with the given instance id.
    pub fn get(&self, instance: &str) -> Option<&ServerEntry> {
        self.servers.get(instance)
    }

    /// Replaces the table with a complete list that the leader of `term` read. Returns the update if anything changed.
    /// The first update of a term is a snapshot, because the previous leader may have sent updates to other processes
    /// that this one has not received. A list read under an earlier term than the table's is ignored.
    pub fn replace(&mut self, term: u64, servers: Vec<ServerEntry>) -> Option<ServerTableUpdate> {
        let from = self.version;
        if term < from.term {
            return None;
        }
        let begins_term = term > from.term || from.number == 0;
        let listed: BTreeMap<String, ServerEntry> =
            servers.into_iter().map(|s| (s.instance.clone(), s)).collect();
        let number = if begins_term { 1 } else { from.number + 1 };
        let update = self.delta_to(TableVersion { term, number }, &listed);
        if cost(&update) == 0 && !begins_term {
            return None;
        }
        self.version = TableVersion { term, number };
        self.servers = listed;
        self.keep(update.clone());
        Some(if begins_term { self.snapshot() } else { update })
    }

    /// Returns the delta from the current table to `listed`, which becomes `version` of the table.
    fn delta_to(&self, version: TableVersion, listed: &BTreeMap<String, ServerEntry>) -> ServerTableUpdate {
        let mut versions = Vec::new();
        let mut removed = Vec::new();
        for (index, before) in self.servers.values().enumerate() {
            match listed.get(&before.instance) {
                None => removed.push(before.instance.clone()),
                Some(after) if differ_in_versions_only(before, after) => {
                    versions.extend(version_changes(index, before, after));
                }
                Some(_) => {}
            }
        }
        let before = |after: &ServerEntry| self.servers.get(&after.instance);
        let differs_otherwise = |after: &&ServerEntry| {
            !before(after).is_some_and(|before| differ_in_versions_only(before, after))
        };
        let changed = listed.values().filter(differs_otherwise).cloned().collect();
        ServerTableUpdate::Delta { from: self.version, version, versions, changed, removed }
    }

    fn keep(&mut self, update: ServerTableUpdate) {
        self.delta_cost += cost(&update);
        self.deltas.push_back(update);
        while self.has_surplus_deltas() {
            let Some(oldest) = self.deltas.pop_front() else { return };
            self.delta_cost -= cost(&oldest);
        }
    }

    fn has_surplus_deltas(&self) -> bool {
        let max_cost = self.servers.len() * ENTRY_COST / KEPT_COST_DIVISOR;
        self.deltas.len() > MAX_KEPT_DELTAS
            || (self.deltas.len() > MIN_KEPT_DELTAS && self.delta_cost > max_cost)
    }

    /// Applies an update from another process. Returns false if a snapshot is needed first. Older updates are ignored.
    pub fn apply(&mut self, update: &ServerTableUpdate) -> bool {
        match update {
            ServerTableUpdate::Snapshot { version, servers } => {
                if *version > self.version {
                    self.version = *version;
                    self.servers = servers.iter().map(|s| (s.instance.clone(), s.clone())).collect();
                    self.deltas.clear();
                    self.delta_cost = 0;
                }
                true
            }
            ServerTableUpdate::Delta { from, version, versions, changed, removed } => {
                if *version <= self.version {
                    return true;
                }
                if *from != self.version || !self.has_all(versions) {
                    return false;
                }
                self.change_versions(versions);
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

    /// Returns whether the servers and models of all changes are in the table.
    fn has_all(&self, changes: &[ModelVersionChange]) -> bool {
        let mut changes = changes.iter().peekable();
        for (index, server) in self.servers.values().enumerate() {
            while let Some(change) = changes.next_if(|change| change.server == wire_index(index)) {
                if change.model >= wire_index(server.models.len()) {
                    return false;
                }
            }
        }
        changes.peek().is_none()
    }

    fn change_versions(&mut self, changes: &[ModelVersionChange]) {
        let mut changes = changes.iter().peekable();
        for (index, server) in self.servers.values_mut().enumerate() {
            while let Some(change) = changes.next_if(|change| change.server == wire_index(index)) {
                if let Some((_, version)) = server.models.get_mut(change.model as usize) {
                    *version = change.version;
                }
            }
        }
    }

    /// Returns the complete table as an update.
    pub fn snapshot(&self) -> ServerTableUpdate {
        ServerTableUpdate::Snapshot {
            version: self.version,
            servers: self.servers.values().cloned().collect(),
        }
    }

    /// Returns the updates that a subscriber at version `from` lacks: the deltas since, or a snapshot.
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
