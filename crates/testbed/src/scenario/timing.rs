//! Times that several parts of a scenario share, in milliseconds.

/// How long a process that is told to stop may take.
pub(super) const GRACE_MS: u64 = 8_000;
/// How long machines are down or paused.
pub(super) const DOWN_MS: u64 = 2_500;
/// How long processes have a quota of processor time.
pub(super) const QUOTA_MS: u64 = 4_000;
/// A quota counts for this time, after which it begins anew.
pub(super) const QUOTA_PERIOD_MS: u64 = 100;
/// Part of each period in which a process with a quota runs.
pub(super) const QUOTA_RUN_MS: u64 = 30;
/// How long servers have their faults.
pub(super) const SERVER_FAULT_MS: u64 = 4_500;
