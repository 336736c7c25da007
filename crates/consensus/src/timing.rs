//! Intervals and limits of the agreement, in milliseconds of the host's monotonic clock.

use crate::view::MAX_VOTERS;

/// A time of the host's monotonic clock, or a duration, in milliseconds.
pub type Milliseconds = u64;

/// Time between two rounds of pings.
pub const PING_INTERVAL: Milliseconds = 200;

/// A peer counts as alive for this long after its latest reply to a ping; replies to pings older than this don't count.
pub const FAILURE_TIMEOUT: Milliseconds = 700;

/// A pause between two inputs that is longer than this means that this process was frozen.
pub const FREEZE_THRESHOLD: Milliseconds = 500;

/// How long a new system waits for all seeds; after that a majority of them is enough.
pub const SEED_WAIT: Milliseconds = 400;

/// Delay before a voter proposes, once per rank: each voter waits this much longer than the one before it.
pub const PROPOSER_STAGGER: Milliseconds = 300;

/// A proposal without progress for this long is retried with a higher round.
pub const RETRY_TIMEOUT: Milliseconds = 400;

/// Added to [`RETRY_TIMEOUT`] once per rank, so that two proposers don't outbid each other forever.
pub const RETRY_STAGGER: Milliseconds = 150;

/// The maximum of [`Timing::replacement_delay`].
pub const REPLACEMENT_DELAY: Milliseconds = 2_000;

/// A member that leaves the chain for the second time within [`DAMPING_WINDOW`] is kept out of it for this long;
/// the time doubles with each further removal of this kind.
pub const DAMPING_STEP: Milliseconds = 2_000;

/// The maximum of [`Timing::damping_limit`].
pub const DAMPING_LIMIT: Milliseconds = 16_000;

/// Removals of a member that are further apart than this are not counted together.
pub const DAMPING_WINDOW: Milliseconds = 60_000;

/// `catch_up_ms` of [`Timing::default`].
pub const DEFAULT_CATCH_UP: Milliseconds = 6_000;

/// Settings that depend on the deployment: how fast a repair must be, and how many machines may be lost at once.
///
/// `catch_up_ms` is the time from the return of a machine, or the start of a successor, after which the next loss
/// must be tolerated. By then the machine must be a complete member of the chain. The time is spent on, at most:
///
/// | part | time |
/// |---|---|
/// | the first ping round is answered, so that the member is known to be alive and to reach the chain | 2 × [`PING_INTERVAL`] |
/// | the member copies the log, in parallel with the steps below | host |
/// | the voter that it replaces counts as dead (if that one was lost only now) | [`FAILURE_TIMEOUT`] |
/// | that voter may be replaced | `replacement_delay` ≤ `catch_up_ms` / 3 |
/// | or: the member has left the chain repeatedly and is kept out of it | `damping_limit` ≤ `catch_up_ms` / 3 |
/// | the first voter in rank doesn't propose, the next one does | [`PROPOSER_STAGGER`] |
/// | one ballot is lost and retried | [`RETRY_TIMEOUT`] + [`RETRY_STAGGER`] |
///
/// With 4,400 ms the sum is 400 + 700 + 1,466 + 300 + 550 = 3,416 ms, with 6,000 ms it is 3,950 ms. The rest is for
/// the writes and messages of the decision (five writes and four message times) and for the copy in the new view.
/// Only one of replacement and damping applies: a machine with a new identity has no history of removals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Complete copies that an acknowledgement requires: the number of simultaneous losses to tolerate, plus one.
    pub minimum_copies: usize,
    /// Learners become voters up to this number of voters; a handover exceeds it by one until it is complete.
    pub voter_limit: usize,
    /// A voter outside the chain that was dead for this long may be replaced by a learner, in milliseconds.
    pub replacement_delay: Milliseconds,
    /// Maximum time that flap damping keeps a member out of the chain, in milliseconds.
    pub damping_limit: Milliseconds,
}

impl Timing {
    /// Returns the settings for a deployment that must tolerate the loss of `minimum_copies - 1` machines at once, and
    /// again `catch_up_ms` after the return of a machine. `2 * minimum_copies - 1` voters keep a majority in that case.
    pub fn new(catch_up_ms: Milliseconds, minimum_copies: usize) -> Timing {
        let minimum_copies = minimum_copies.max(1);
        Timing {
            minimum_copies,
            voter_limit: (2 * minimum_copies - 1).min(MAX_VOTERS),
            replacement_delay: REPLACEMENT_DELAY.min(catch_up_ms / 3),
            damping_limit: DAMPING_LIMIT.min(catch_up_ms / 3),
        }
    }
}

impl Default for Timing {
    /// For hosts without deployment settings: one copy is enough to acknowledge, and all learners may vote.
    fn default() -> Timing {
        Timing { voter_limit: MAX_VOTERS, ..Timing::new(DEFAULT_CATCH_UP, 1) }
    }
}
