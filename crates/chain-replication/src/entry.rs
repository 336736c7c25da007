//! Entries of the log, and the interface through which a replica reads them back.

use std::rc::Rc;

use musli::{Decode, Encode};

use crate::epoch_runs::EpochRun;
use crate::sequence::{Epoch, Sequence};

/// One entry of the log. `epoch` and `sequence` together identify its content: every epoch has a single head.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Entry {
    /// Sequence number in the log, from 1.
    pub sequence: Sequence,
    /// Epoch of the view whose head numbered the entry.
    pub epoch: Epoch,
    /// The content, opaque to the chain.
    #[musli(with = crate::payload)]
    pub payload: Rc<[u8]>,
}

/// Read access to the log that the host keeps. The host must apply outputs to its in-memory log at once and in order,
/// before the next input.
pub trait LogReader {
    /// Appends to `entries` the entries `from` through `through`, stopping before their payloads exceed `max_bytes`;
    /// always at least one entry if `from <= through`. Called only for entries that were reported durable.
    fn read(&self, from: Sequence, through: Sequence, max_bytes: usize, entries: &mut Vec<Entry>);
}

/// The state of the log that the host recovers from its disk at the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredLog {
    /// Lowest sequence held; `end + 1` if the log is empty.
    pub first: Sequence,
    /// Highest sequence held on disk; 0 if the log is new.
    pub end: Sequence,
    /// Highest sequence known to be committed; 0 if unknown.
    pub committed: Sequence,
    /// The runs of entries of one epoch, ascending. The run that contains `first - 1` may be included; it avoids the
    /// reset of neighbours whose log ends exactly there.
    pub runs: Vec<EpochRun>,
}

impl Default for RecoveredLog {
    fn default() -> RecoveredLog {
        RecoveredLog { first: 1, end: 0, committed: 0, runs: Vec::new() }
    }
}
