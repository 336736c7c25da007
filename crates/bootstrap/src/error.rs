//! Errors that end a process with a disk.

use std::io;

use derive_more::{Display, Error, From};
use orchidvalve_wal::OpenError;

/// The reason why a process with a disk ends with an error.
#[derive(Debug, Display, Error, From)]
pub enum ProcessError {
    /// The data directory cannot be used.
    #[display("the disk cannot be used: {_0}")]
    Disk(OpenError),
    /// The disk holds records that this version cannot decode. Without them the process does not know what it has
    /// promised and acknowledged.
    #[display(
        "{count} records on the disk cannot be decoded; run the version that wrote them, or empty the data directory \
         once all other nodes have complete copies"
    )]
    #[from(ignore)]
    UnreadableRecords {
        /// Number of records that cannot be decoded.
        count: usize,
    },
    /// The event loop or a listener has failed.
    #[display("the network failed: {_0}; check that the addresses belong to this machine and are free")]
    Network(io::Error),
}
