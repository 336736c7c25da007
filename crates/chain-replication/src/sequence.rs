//! Numbers of entries, views, positions, barriers and rounds.

/// Sequence number of an entry in the log, from 1; 0 means before the first entry.
pub type Sequence = u64;

/// Number of a view. Zero means that there is no view.
pub type Epoch = u64;

/// Distinguishes a position of a replica from its earlier ones, including those before a restart.
pub type PositionId = u64;

/// Number that the host assigns to a barrier.
pub type BarrierId = u64;

/// Number of a round of confirmations of one replica; not reused after a restart.
pub type RoundNumber = u64;

/// Sequence and epoch of an entry, which together identify its content: every epoch has a single head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EntryId {
    pub sequence: Sequence,
    /// Epoch of the entry; 0 if unknown.
    pub epoch: Epoch,
}
