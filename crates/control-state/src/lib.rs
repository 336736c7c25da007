//! The control state: the replicated state machine of the control nodes, which every gateway and store node follows
//! (Schneider 1990).
//!
//! The state changes only by [`Change`]s that are applied in the same order everywhere, so all nodes that have
//! applied the same changes hold the same state. Nothing here does I/O, reads a clock or draws random numbers.

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
