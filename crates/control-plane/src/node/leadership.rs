//! The leadership of this node: the term under which it acts in the singleton roles, and the epoch, recorded on its disk,
//! in which it last gave orders.

use orchidvalve_chain_replication::{Epoch, Sequence};
use orchidvalve_wal::Position;

/// The leadership term and the recorded epoch. The term begins with a log entry that the head writes once in each view and
/// each start of the process. The epoch on the disk survives a restart of the process.
#[derive(Debug)]
pub(super) struct Leadership {
    /// Sequence number of the entry that begins the term in the current view, once it is written.
    term_entry: Option<Sequence>,
    /// Latest epoch in which this node gave orders, according to its disk.
    persisted_epoch: Option<Epoch>,
    /// Position of the latest record of that epoch in this run of the process; 0 before there is one.
    record_position: Position,
}

impl Leadership {
    pub(super) fn recovered(persisted_epoch: Option<Epoch>) -> Leadership {
        Leadership { term_entry: None, persisted_epoch, record_position: 0 }
    }

    /// Ends the term of the former view.
    pub(super) fn view_changed(&mut self) {
        self.term_entry = None;
    }

    /// Returns whether the entry that begins the term was written in the current view.
    pub(super) fn has_term_entry(&self) -> bool {
        self.term_entry.is_some()
    }

    /// Sets the entry that begins the term; `None` if it could not be written.
    pub(super) fn set_term_entry(&mut self, sequence: Option<Sequence>) {
        self.term_entry = sequence;
    }

    /// Returns the term, once its entry is among the `applied` ones.
    pub(super) fn term(&self, applied: Sequence) -> Option<Sequence> {
        self.term_entry.filter(|entry| *entry <= applied)
    }

    pub(super) fn persisted_epoch(&self) -> Option<Epoch> {
        self.persisted_epoch
    }

    /// Notes that the record of `epoch` was written at `position`.
    pub(super) fn written(&mut self, epoch: Epoch, position: Position) {
        self.persisted_epoch = Some(epoch);
        self.record_position = position;
    }

    /// Returns whether the record of `epoch` lies before `released_before`, or was written in an earlier run of the process.
    pub(super) fn is_released(&self, epoch: Epoch, released_before: Position) -> bool {
        self.persisted_epoch == Some(epoch) && self.record_position < released_before
    }
}
