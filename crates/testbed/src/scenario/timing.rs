//! Durations that several modules of a scenario share, in milliseconds.

/// Maximum duration of a graceful shutdown.
pub(super) const GRACE_MS: u64 = 8_000;
/// Time for which machines are down or paused.
pub(super) const DOWN_MS: u64 = 2_500;
/// Time for which processes run under a CPU quota.
pub(super) const QUOTA_MS: u64 = 4_000;
/// Length of a quota period.
pub(super) const QUOTA_PERIOD_MS: u64 = 100;
/// Time in each period for which a process under a quota runs.
pub(super) const QUOTA_RUN_MS: u64 = 30;
/// Duration of server faults.
pub(super) const SERVER_FAULT_MS: u64 = 4_500;
