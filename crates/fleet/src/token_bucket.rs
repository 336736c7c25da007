//! The units of a budget that a node may use now, where the budget is a rate. The allowance fills a bucket with
//! tokens and each use takes one. This turns leases into a bound on counts: in any time `t` a node uses at most
//! `capacity + ∫ allowance dt`, so a fleet of `n` nodes uses at most `n · capacity + total · t`.

use crate::Nanos;

const SECOND: f64 = 1e9;

/// A token bucket that also measures the demand of the node.
///
/// ```
/// use orchidvalve_fleet::token_bucket::TokenBucket;
///
/// let mut bucket = TokenBucket::with_tokens(0.0, 0);
/// bucket.fill(2.0, 1_000_000_000, 500_000_000);
/// assert_eq!(bucket.available(), 1);
/// bucket.take();
/// assert_eq!(bucket.available(), 0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokenBucket {
    tokens: f64,
    /// When tokens were last added.
    filled_at: Nanos,
    /// Uses since the demand was last measured.
    used: f64,
    /// When the demand was last measured.
    since: Nanos,
    /// Demand, in units per second.
    demand: f64,
}

impl TokenBucket {
    /// Returns a bucket with the given number of tokens.
    pub fn with_tokens(tokens: f64, now: Nanos) -> TokenBucket {
        TokenBucket { tokens: tokens.max(0.0), filled_at: now, used: 0.0, since: now, demand: 0.0 }
    }

    /// Returns a bucket with a fraction of a token, drawn from the seed. Otherwise nodes that learn of a budget at
    /// the same time would get their first token at the same time and use it in a burst.
    pub fn with_random_start(seed: u64, subject: u64, now: Nanos) -> TokenBucket {
        let mixed = (subject ^ seed).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mixed = (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 11;
        TokenBucket::with_tokens(mixed as f64 / (1u64 << 53) as f64, now)
    }

    /// Adds tokens at `allowance` per second. The bucket holds what this brings within `burst`, at least one token.
    pub fn fill(&mut self, allowance: f64, burst: Nanos, now: Nanos) {
        let capacity = (allowance * burst as f64 / SECOND).max(1.0);
        self.tokens = (self.tokens + allowance * (now - self.filled_at).max(0) as f64 / SECOND).min(capacity);
        self.filled_at = self.filled_at.max(now);
    }

    /// Returns the number of whole tokens.
    pub fn available(&self) -> usize {
        self.tokens.max(0.0) as usize
    }

    /// Uses one unit, whether or not there is a token for it. A use that was decided while there was a token is never
    /// counted twice or carried over as a debt.
    pub fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
        self.used += 1.0;
    }

    /// Returns the node's demand in units per second: its use over the last `span` or, if it ran out of tokens, at
    /// least twice its allowance, because further use was not possible and cannot be measured.
    pub fn demand(&mut self, allowance: f64, span: Nanos, now: Nanos) -> f64 {
        let ran_out = self.used > 0.0 && self.tokens < 1.0;
        if ran_out {
            self.demand = self.demand.max(2.0 * allowance).max(SECOND / span.max(1) as f64);
        }
        if now - self.since >= span {
            let rate = self.used * SECOND / (now - self.since).max(1) as f64;
            self.demand = if ran_out { self.demand.max(rate) } else { rate };
            (self.used, self.since) = (0.0, now);
        }
        self.demand
    }
}
