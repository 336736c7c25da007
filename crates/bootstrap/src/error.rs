//! Why a process that keeps a disk ends.

use std::io;

use derive_more::{Display, Error, From};
use orchidvalve_wal::OpenError;

/// Why a process that keeps a disk ends.
#[derive(Debug, Display, Error, From)]
pub enum ProcessError {
    /// The data directory can't be used.
    #[display("the disk can't be used: {_0}")]
    Disk(OpenError),
    /// The disk holds records that this version can't read. Without them it can't be known what was promised and
    /// acknowledged.
    #[display(
        "{count} records on the disk can't be read; run the version that wrote them, or empty the data directory \
         once the other machines are whole"
    )]
    #[from(ignore)]
    UnreadableRecords {
        /// Their number.
        count: usize,
    },
    /// The event loop or a listener failed.
    #[display("the network failed: {_0}; check that the addresses are this machine's and free")]
    Network(io::Error),
}
