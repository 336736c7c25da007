//! Start of the processes that keep a disk, which are control and store: event loop, ring of records, identity.
//!
//! [`MachineOptions`] are what both are started with. [`start`] reads back the ring and says under which identity the
//! process takes part; nothing listens by then, so a caller finds the process only once it knows its own records.

mod error;
mod options;
mod start;

pub use error::ProcessError;
pub use options::MachineOptions;
pub use start::{StartedProcess, start};
