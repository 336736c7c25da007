//! The effects of a partition's input on the rest of the store.

use compact_str::CompactString;

use crate::gateways::GatewayId;
use crate::output::Output;
use crate::record_writer::RecordWriter;

/// Items that are no longer in flight at a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReleasedItems {
    pub gateway: GatewayId,
    pub count: u32,
}

/// An effect of committed entries on the callers and gateways of the store.
#[derive(Debug)]
pub(crate) enum Effect {
    /// A job was accepted.
    JobAccepted { job: CompactString },
    /// An item got a result, or its job no longer needs one. `assigned_to` is the gateway that worked on the item.
    ResultRecorded { job: CompactString, item: CompactString, assigned_to: Option<GatewayId> },
    /// A job ended. `released` counts the items without a result in its assigned groups.
    JobEnded { job: CompactString, released: Vec<ReleasedItems> },
    /// The barrier with this number was reached.
    BarrierReached { barrier: u64 },
    /// This store became the active head of the partition and now dispatches its groups.
    BecameActiveHead,
    /// The log of the partition was reset, which removed all its jobs.
    LogReplaced,
}

/// An effect and the number of its partition.
#[derive(Debug)]
pub(crate) struct PartitionEffect {
    pub partition: u16,
    pub effect: Effect,
}

/// The destinations to which a partition writes the consequences of an input.
pub(crate) struct Sinks<'a> {
    /// Writer of records for the write-ahead log.
    pub records: &'a mut RecordWriter,
    /// Actions for the host of the store.
    pub outputs: &'a mut Vec<Output>,
    /// Effects that still have to be applied.
    pub effects: &'a mut Vec<PartitionEffect>,
    /// Time of the monotonic clock in milliseconds.
    pub now_ms: u64,
}

impl Sinks<'_> {
    /// Adds an effect on callers and gateways.
    pub fn add_effect(&mut self, partition: u16, effect: Effect) {
        self.effects.push(PartitionEffect { partition, effect });
    }
}
