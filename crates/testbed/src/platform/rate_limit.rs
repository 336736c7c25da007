//! A token bucket that limits the number of accepted calls per second.

const MS_PER_S: f64 = 1_000.0;

/// A token bucket with a capacity of one second's calls, but at least one.
#[derive(Debug)]
pub(super) struct RateLimit {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: u64,
}

impl RateLimit {
    /// Returns a full bucket.
    pub fn new(rate_per_s: f64) -> RateLimit {
        RateLimit { rate_per_s, tokens: rate_per_s, refilled_at: 0 }
    }

    /// Takes a token. Returns whether one was available.
    pub fn admit(&mut self, now: u64) -> bool {
        let refill = now.saturating_sub(self.refilled_at) as f64 * self.rate_per_s / MS_PER_S;
        (self.tokens, self.refilled_at) = ((self.tokens + refill).min(self.rate_per_s.max(1.0)), now);
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
        }
        admitted
    }
}
