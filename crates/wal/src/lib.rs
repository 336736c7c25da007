//! Write-ahead log in a ring of preallocated files (segments), written by one thread.
//!
//! A [`Ring`] accepts records without blocking and numbers them with increasing positions. Its own thread writes them,
//! with one sync for all queued records (group commit). [`Ring::durable_through`] returns the position through which
//! records survive a loss of power. When the owner no longer needs the oldest records, for example after a checkpoint,
//! it calls [`Ring::release_before`], and files with only such records are reused.
//!
//! Layout of the data directory: one `identity` file and up to `capacity / file_bytes` files `ring-NNN.data`.
//! [`mod@format`] describes the bytes of a file, [`recovery`] which records are recovered at a start: all up to a torn
//! tail.
//!
//! A record larger than a file is split over several files. A record larger than all the space that releases can ever
//! free stays queued forever, and [`Usage::disk_error`] reports that.
//!
//! Invariants:
//! - The header of a file is synced before the first record goes into it.
//! - A file is synced before the next one is started, so at most one file has unsynced records.
//! - Every use of a file has its own random salt in the checksums, so bytes of earlier uses are never valid.
//! - After a failed sync the contents of the file are unknown; its unsynced records are written again to another file.

mod assembler;
mod backlog;
mod error;
pub mod format;
mod fragment_reader;
pub mod identity;
mod open_retry;
mod options;
mod pending_records;
pub mod recovery;
mod resync;
mod ring;
mod segments;
pub mod storage;
pub mod writer;

pub use error::{DiskError, OpenError, TransientError};
pub use format::Position;
pub use open_retry::{FailureOutcome, OpenRetry, OpenStep, RETRY_INTERVAL_MS, SLOW_ATTEMPT_MS};
pub use options::{DEFAULT_FILE_BYTES, DEFAULT_RETRY_INTERVAL, Options};
pub use recovery::{Record, Recovery};
pub use ring::{OnProgress, Ring, Usage};
pub use storage::{FolderStorage, Storage};
