//! Subscription to the control plane: the session of a gateway, store node or observer with one control node, and the
//! replica of the control state and of the server table that the feed keeps up to date.

mod candidates;
mod load_reports;
mod replica;
mod session;

pub use load_reports::LoadReports;
pub use replica::{FeedError, FeedReplica, FeedUpdate};
pub use session::FeedClient;
