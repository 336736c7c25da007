//! A small embedded store for the state that a program keeps across restarts: a log of records in segments, an index
//! in memory, compaction, and a recovery that never invents a record and never refuses to start on damaged data.
//!
//! [`LogStore`] is the store itself, with one owner. [`background_writer`] runs it on its own thread behind a queue.
//! [`repair`] reads the files of a store without owning it. [`disk`] contains all file access, real or simulated. A
//! log with its index in memory is the design of Bitcask (Sheehy and Smith 2010). `docs/logbook.md` describes the
//! format byte by byte and the guarantees.
//!
//! ```
//! use std::sync::Arc;
//! use orchidvalve_log_store::disk::simulated::SimulatedDisk;
//! use orchidvalve_log_store::{Batch, LogStore, LogStoreOptions};
//!
//! let disk = SimulatedDisk::new(1 << 20);
//! let (mut store, _) = LogStore::open(Arc::new(disk.clone()), LogStoreOptions::named("example")).unwrap();
//! store.append(&Batch::new().put(1, b"roster", b"41")).unwrap();
//! store.sync().unwrap();
//! drop(store);
//! let (store, report) = LogStore::open(Arc::new(disk), LogStoreOptions::named("example")).unwrap();
//! assert_eq!((store.snapshot().get(1, b"roster").unwrap().unwrap(), report.records), (b"41".to_vec(), 1));
//! ```

pub mod background_writer;
mod batch;
mod checkpoint;
mod compaction_policy;
pub mod disk;
mod error;
mod garbage;
mod index;
mod io_budget;
mod key;
mod manifest;
mod merge;
mod options;
mod record;
mod recovery;
pub mod repair;
mod segment;
mod segment_state;
mod snapshot;
mod store;

pub use batch::Batch;
pub use compaction_policy::CompactionOptions;
pub use error::{AppendError, OpenError, ReadError, WriteError};
pub use manifest::MANIFEST;
pub use options::LogStoreOptions;
pub use record::RecordKind;
pub use recovery::{Corruption, RecoveryReport, TornTail};
pub use segment::RecordLocation;
pub use snapshot::{Entry, Snapshot};
pub use store::{CompactionStep, LogStore, SegmentInfo};
