//! Start of the processes with a disk (control nodes and store nodes): event loop, ring of records and identity.
//!
//! Both roles share [`MachineOptions`]. [`start`] recovers the records from the ring and determines the identity of the
//! process. While the disk is full, rejects writes or is unresponsive, the process keeps running and retries; only
//! permanent errors end it. The process does not listen until the ring is open: it takes no part in the system and
//! acknowledges nothing, and the kernel refuses connections at once, so that callers try other nodes.

mod error;
mod open_ring;
mod options;
mod start;

pub use error::ProcessError;
pub use options::MachineOptions;
pub use start::{StartedProcess, start};
