//! A subscriber's replica of the data in the feed. It never returns to an older state within one run of the process.

use derive_more::{Display, Error};
use orchidvalve_control_state::{Change, ControlState, StateSnapshot};
use orchidvalve_protocol::frames::decode;
use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::messages::{FeedPosition, GatewayList, ServerTableUpdate};
use orchidvalve_protocol::server_table::ServerTable;

/// The reason why a message of the feed cannot be applied. A new session delivers the missing data.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum FeedError {
    /// A snapshot or a change cannot be decoded.
    #[display("feed change {sequence} cannot be decoded; run the same version on all machines")]
    Unreadable {
        /// Sequence number of the change.
        sequence: u64,
    },
    /// Changes before this one are missing.
    #[display("feed change {sequence} follows {applied}: changes are missing; a new session delivers them")]
    MissingChanges {
        /// Sequence number of the change.
        sequence: u64,
        /// Sequence number of the last applied change.
        applied: u64,
    },
    /// An update is based on another version of the server table.
    #[display(
        "feed update does not apply to the server table held here; a new session delivers the complete table"
    )]
    MissingTable,
}

/// The parts of the replica that a message of the feed has changed.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct FeedUpdate {
    /// The control state.
    pub state: bool,
    /// The server table.
    pub servers: bool,
    /// The gateways that run generations.
    pub workers: bool,
}

impl FeedUpdate {
    /// Returns whether any part has changed.
    pub fn any(&self) -> bool {
        self.state || self.servers || self.workers
    }
}

impl std::ops::BitOrAssign for FeedUpdate {
    fn bitor_assign(&mut self, other: FeedUpdate) {
        self.state |= other.state;
        self.servers |= other.servers;
        self.workers |= other.workers;
    }
}

/// The replica of the control state, the server table and the list of workers (gateways that run generations).
#[derive(Default, Debug)]
pub struct FeedReplica {
    state: ControlState,
    sequence: u64,
    servers: ServerTable,
    workers: GatewayList,
}

impl FeedReplica {
    /// Returns the control state as of [`FeedReplica::sequence`].
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Returns the sequence number of the last applied change of the control state; 0 before the first.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the server table.
    pub fn servers(&self) -> &ServerTable {
        &self.servers
    }

    /// Returns the gateways that run generations.
    pub fn workers(&self) -> &[NodeAddress] {
        &self.workers.gateways
    }

    /// Returns the position of this replica in the feed, as reported in the session.
    pub fn position(&self) -> FeedPosition {
        FeedPosition { applied: self.sequence, servers: self.servers.version() }
    }

    /// Replaces the control state with a snapshot. A snapshot that isn't newer than the replica is ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot cannot be decoded.
    pub fn apply_snapshot(&mut self, sequence: u64, snapshot: &[u8]) -> Result<FeedUpdate, FeedError> {
        if sequence <= self.sequence {
            return Ok(FeedUpdate::default());
        }
        let unreadable = FeedError::Unreadable { sequence };
        let snapshot: StateSnapshot = decode(snapshot).ok_or(unreadable)?;
        self.state = ControlState::from_snapshot(&snapshot).map_err(|_| unreadable)?;
        self.sequence = sequence;
        Ok(FeedUpdate { state: true, ..FeedUpdate::default() })
    }

    /// Applies changes, the first of which has the sequence number `first`. Changes already applied are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if changes are missing before them, or if one cannot be decoded. The changes before that one
    /// stay applied.
    pub fn apply_changes(&mut self, first: u64, changes: &[Vec<u8>]) -> Result<FeedUpdate, FeedError> {
        let mut update = FeedUpdate::default();
        for (offset, bytes) in changes.iter().enumerate() {
            let sequence = first.wrapping_add(offset as u64);
            if sequence <= self.sequence {
                continue;
            }
            if sequence != self.sequence + 1 {
                return Err(FeedError::MissingChanges { sequence, applied: self.sequence });
            }
            let change: Change = decode(bytes).ok_or(FeedError::Unreadable { sequence })?;
            // A change that is invalid leaves the state as it was, in the same way on every node.
            let _ = self.state.apply(&change);
            self.sequence = sequence;
            update.state = true;
        }
        Ok(update)
    }

    /// Applies an update of the server table. An update that isn't newer than the replica is ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if the update is based on another version of the table: a snapshot is needed.
    pub fn apply_server_update(&mut self, update: &ServerTableUpdate) -> Result<FeedUpdate, FeedError> {
        let before = self.servers.version();
        if !self.servers.apply(update) {
            return Err(FeedError::MissingTable);
        }
        Ok(FeedUpdate { servers: self.servers.version() != before, ..FeedUpdate::default() })
    }

    /// Replaces the list of the gateways that run generations, unless the list isn't newer than the replica's.
    pub fn apply_workers(&mut self, list: GatewayList) -> FeedUpdate {
        if list.version <= self.workers.version {
            return FeedUpdate::default();
        }
        let is_changed = self.workers.gateways != list.gateways;
        self.workers = list;
        FeedUpdate { workers: is_changed, ..FeedUpdate::default() }
    }
}
