//! Errors when a ring is opened, and errors of a ring in use.

use std::io;

use derive_more::{Display, Error};

use crate::format::Position;

/// The reason why a ring cannot be opened.
#[derive(Debug, Display, Error)]
pub enum OpenError {
    /// The capacity is too small for three files, or the file size is below the minimum.
    #[display(
        "a ring of {capacity_bytes} bytes cannot hold three files of {file_bytes} bytes; \
         raise the capacity or lower the file size (at least {} bytes)",
        crate::format::MIN_FILE_BYTES
    )]
    TooSmall {
        /// The configured capacity in bytes.
        capacity_bytes: u64,
        /// The configured file size in bytes.
        file_bytes: u64,
    },
    /// A file operation failed.
    #[display(
        "cannot {action} in the data directory: {source}; check the disk and its rights, then start again"
    )]
    Disk {
        /// The operation that failed.
        action: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Records were recovered that a loss of power could still remove.
    #[display("the recovered records are not durable yet: {_0}; then start again")]
    NotDurable(#[error(not(source))] DiskError),
    /// Records that had been durable are missing.
    #[display(
        "file {file} lacks records from position {position} on that had been synced; empty the data directory, \
         the process then starts as one whose disk was lost"
    )]
    Damaged {
        /// Name of the file in which the records should continue.
        #[error(not(source))]
        file: String,
        /// First missing position.
        position: Position,
    },
    /// The identity file is damaged.
    #[display(
        "the file 'identity' is damaged; empty the data directory, the process then starts as one whose disk was lost"
    )]
    DamagedIdentity,
}

/// An error that prevents a ring from being opened for now. It may pass without a change to the data directory.
#[derive(Debug, Display)]
pub enum TransientError<'e> {
    /// Records were recovered that a loss of power could still remove.
    #[display("the recovered records are not durable yet: {_0}")]
    NotDurable(DiskError),
    /// A file operation failed.
    #[display("cannot {action} in the data directory: {source}")]
    Disk {
        /// The operation that failed.
        action: &'static str,
        /// The error of the operating system.
        source: &'e io::Error,
    },
}

impl OpenError {
    /// Returns the transient error behind this one if another attempt may succeed: a full or failing disk may recover.
    /// Damaged files, invalid options, and system errors about permissions or paths are permanent.
    pub fn transient(&self) -> Option<TransientError<'_>> {
        match self {
            Self::NotDurable(disk_error) => Some(TransientError::NotDurable(*disk_error)),
            Self::Disk { action, source } if !is_permanent(source.kind()) => {
                Some(TransientError::Disk { action, source })
            }
            Self::TooSmall { .. } | Self::Disk { .. } | Self::Damaged { .. } | Self::DamagedIdentity => None,
        }
    }

    /// Wraps an error of a file operation with the name of the operation.
    pub(crate) fn disk(action: &'static str) -> impl FnOnce(io::Error) -> Self {
        move |source| Self::Disk { action, source }
    }
}

/// Returns whether the error is caused by the settings or permissions and not by a failing disk.
fn is_permanent(kind: io::ErrorKind) -> bool {
    use io::ErrorKind;
    matches!(
        kind,
        ErrorKind::PermissionDenied
            | ErrorKind::NotADirectory
            | ErrorKind::IsADirectory
            | ErrorKind::AlreadyExists
            | ErrorKind::InvalidInput
            | ErrorKind::InvalidFilename
            | ErrorKind::Unsupported
    )
}

/// The reason why queued records cannot become durable at the moment. The ring keeps retrying.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum DiskError {
    /// All files contain records that are still needed.
    #[display("all files of the ring are in use; release old records or raise the capacity")]
    RingFull,
    /// The file system is full.
    #[display("the file system is full; make room on the disk")]
    NoSpace,
    /// A write or another file operation failed.
    #[display("the disk refuses writes ({_0}); check the disk")]
    WriteFailed(io::ErrorKind),
    /// A sync failed; the affected records are written again to another file.
    #[display("the disk fails to sync ({_0}); check the disk")]
    SyncFailed(io::ErrorKind),
}

impl DiskError {
    /// Converts the error of a failed write.
    pub(crate) fn of_write(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::StorageFull => Self::NoSpace,
            kind => Self::WriteFailed(kind),
        }
    }

    /// Converts the error of a failed sync.
    pub(crate) fn of_sync(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::StorageFull => Self::NoSpace,
            kind => Self::SyncFailed(kind),
        }
    }
}
