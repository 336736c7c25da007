//! The control state: the replicated state machine (Schneider 1990) of the control nodes, which every gateway and store
//! node follows.
//!
//! The state changes only by [`Change`]s that are applied in the same order on every node, so all nodes that have
//! applied the same changes have the same state. This crate does no I/O, reads no clock and draws no random numbers.

mod change;
mod configuration_history;
mod placement;
mod snapshot;
mod state;
mod usage_reports;

pub use change::{Applied, Change, ChangeError, ModelUsage};
pub use configuration_history::REMEMBERED_CHANGES;
pub use placement::{Placement, RegisteredStore};
pub use snapshot::StateSnapshot;
pub use state::ControlState;
pub use usage_reports::{MAX_UNACCEPTED_REPORTS, MAX_UNDECIDED_WINDOWS, UsageReport, UsageReports};
