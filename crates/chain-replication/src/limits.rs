//! Size limits and intervals of the replication.

/// A time of the host's monotonic clock, or a duration, in milliseconds.
pub type Milliseconds = u64;

/// The maximum number of payload bytes in flight to a successor, unless a single entry is larger. At 60 Mbit/s they
/// take 70 ms, so messages queued behind them still arrive well within the timeout of the failure detector.
pub const WINDOW_BYTES: usize = 512 * 1024;
/// The maximum number of payload bytes in one message, unless a single entry is larger.
pub const BATCH_BYTES: usize = 256 * 1024;
/// Time after which a position without a reply is sent again, in milliseconds.
pub const RESEND_MS: Milliseconds = 300;
/// Time after which a `Confirm` without a reply is sent again, in milliseconds. A member that hasn't entered the view
/// yet drops the first one, and a caller is waiting for the result.
pub const CONFIRM_RESEND_MS: Milliseconds = 60;
/// Time without progress after which a receiver is probed, in milliseconds.
pub const PROBE_MS: Milliseconds = 1_500;
