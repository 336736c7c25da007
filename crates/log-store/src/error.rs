//! Errors of the store.

use std::io;
use std::sync::Arc;

use derive_more::{Display, Error, From};

use crate::segment::{FORMAT_VERSION, file_name};

/// Why a store could not be opened. Damaged data never prevents a store from opening.
#[derive(Debug, Display, Error, From)]
pub enum OpenError {
    /// Another process has the store open.
    #[display("cannot be opened: {_0}")]
    Locked(io::Error),
    /// The store was created under another name.
    #[display("is a logbook of something else")]
    OtherStore,
    /// The store was written in this format version, which is later than the supported one.
    #[display("has format {_0}; this program knows {FORMAT_VERSION}")]
    NewerFormat(#[error(not(source))] u32),
    /// A disk operation failed.
    #[from]
    Io(io::Error),
}

/// Why a batch was not appended.
#[derive(Debug, Display, Error, From)]
pub enum AppendError {
    /// The batch has this many bytes, more than fit in a segment, or one of its records is too long.
    #[display("a batch of {_0} bytes is longer than a segment")]
    BatchTooLarge(#[error(not(source))] u64),
    /// A disk operation failed; no record of the batch is kept.
    #[from]
    Io(io::Error),
}

/// Why a value that the index refers to could not be read.
#[derive(Debug, Display, Error)]
pub enum ReadError {
    /// The bytes at the location are not the record that was written.
    #[display("{} is damaged at byte {offset}", file_name(*segment))]
    Corrupt {
        /// Number of the segment.
        segment: u64,
        /// Offset of the record in the segment, in bytes.
        offset: u64,
    },
    /// A disk operation failed.
    Io(io::Error),
}

/// Why a batch is not durable, or why compaction failed. All batches that share a write or sync get the same error.
#[derive(Clone, Debug, Display, Error, From)]
pub enum WriteError {
    /// The writer has stopped.
    #[display("the background writer has ended")]
    Stopped,
    /// The batch was not appended.
    #[from(AppendError)]
    Append(Arc<AppendError>),
    /// A disk operation failed.
    #[from(io::Error)]
    Io(Arc<io::Error>),
}
