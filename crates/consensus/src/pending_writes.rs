//! Defers outputs until the writes they depend on are durable. An acceptor must remember what it has promised and
//! accepted before it replies (Lamport 2001, section 2.5).

use std::collections::VecDeque;

use crate::output::{Output, WriteNumber};
use crate::view::Epoch;

/// The first write that contains the view of `epoch`.
#[derive(Clone, Debug)]
struct ViewWrite {
    number: WriteNumber,
    epoch: Epoch,
}

#[derive(Clone, Debug)]
struct DeferredOutput {
    /// The latest write that the output depends on.
    after: WriteNumber,
    output: Output,
}

/// Numbers the writes and defers outputs until the writes issued before them are durable.
#[derive(Clone, Debug, Default)]
pub struct PendingWrites {
    last_issued: WriteNumber,
    last_durable: WriteNumber,
    /// Epoch of the latest view that is durable.
    durable_epoch: Epoch,
    view_writes: VecDeque<ViewWrite>,
    deferred: VecDeque<DeferredOutput>,
}

impl PendingWrites {
    /// `durable_epoch` is the epoch of the view on disk at the start.
    pub fn new(durable_epoch: Epoch) -> PendingWrites {
        PendingWrites { durable_epoch, ..PendingWrites::default() }
    }

    /// Returns the epoch of the latest view that would survive a loss of power now.
    pub fn durable_epoch(&self) -> Epoch {
        self.durable_epoch
    }

    /// Returns the number for the next write, which is the first to contain the view of `epoch`.
    pub fn issue_view(&mut self, epoch: Epoch) -> WriteNumber {
        let number = self.issue();
        self.view_writes.push_back(ViewWrite { number, epoch });
        number
    }

    /// Returns the number for the next write.
    pub fn issue(&mut self) -> WriteNumber {
        self.last_issued = self.last_issued.next();
        self.last_issued
    }

    /// Defers `output` until every write issued so far is durable.
    pub fn defer(&mut self, output: Output) {
        self.deferred.push_back(DeferredOutput { after: self.last_issued, output });
    }

    /// Records that all writes up to `number` are durable.
    pub fn durable(&mut self, number: WriteNumber) {
        self.last_durable = self.last_durable.max(number.min(self.last_issued));
        while let Some(write) = self.view_writes.pop_front_if(|write| write.number <= self.last_durable) {
            self.durable_epoch = write.epoch;
        }
    }

    /// Returns the next deferred output whose writes are durable, if any.
    pub fn release(&mut self) -> Option<Output> {
        let deferred = self.deferred.pop_front_if(|deferred| deferred.after <= self.last_durable)?;
        Some(deferred.output)
    }
}
