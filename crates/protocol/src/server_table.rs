//! The server table: model servers and application servers, as the platform's list shows them.
//!
//! The leader of the reading role replaces the table ([`ServerTable::replace`]) and spreads the updates; every other
//! process applies them ([`ServerTable::apply`]).

use std::collections::{BTreeMap, VecDeque};

use crate::messages::{ModelVersionChange, ServerEntry, ServerTableUpdate, TableVersion};

/// Deltas that are kept at most for subscribers that are a little behind...
const MAX_KEPT_DELTAS: usize = 256;
/// ...and what they cost together, in parts of the table: beyond that a snapshot is smaller. So many deltas are kept in
/// any case.
const KEPT_COST_DIVISOR: usize = 2;
const MIN_KEPT_DELTAS: usize = 32;

/// Cost of a whole entry or of an instance that is gone, in changes of a model's version: roughly by their bytes.
const ENTRY_COST: usize = 8;

/// The table with its latest deltas.
#[derive(Default, Debug)]
pub struct ServerTable {
    version: TableVersion,
    servers: BTreeMap<String, ServerEntry>,
    /// Latest deltas, oldest first; each starts from the version that the one before leads to.
    deltas: VecDeque<ServerTableUpdate>,
    /// What they cost together.
    delta_cost: usize,
}

/// What an update costs, in changes of a model's version.
fn cost(update: &ServerTableUpdate) -> usize {
    match update {
        ServerTableUpdate::Snapshot { servers, .. } => servers.len() * ENTRY_COST,
        ServerTableUpdate::Delta { versions, changed, removed, .. } => {
            versions.len() + (changed.len() + removed.len()) * ENTRY_COST
        }
    }
}

/// Whether two entries of a server differ in the versions of its weights at most.
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

/// An index as messages carry it. No list has four billion entries.
fn wire_index(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}

/// The changes that lead from one entry of the server with index `server` to another.
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

    /// The difference between the table as it is and a list that becomes `version` of it.
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

    /// Applies an update that another machine wrote; false where a snapshot is needed first. Older ones are ignored.
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

    /// Whether the servers and models of all changes are in the table.
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
