//! A budget of hedged attempts: a fraction of a node's recent first attempts.

/// Length of the window in which first attempts and hedges are counted, in milliseconds.
pub const BUDGET_WINDOW_MS: u64 = 30_000;
/// The number of hedges stays below the number of first attempts divided by this.
pub const FIRST_ATTEMPTS_PER_HEDGE: u64 = 10;

const BUCKET_MS: u64 = 1_000;
const BUCKETS: usize = (BUDGET_WINDOW_MS / BUCKET_MS) as usize;

/// The number of first attempts and hedges in some period.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    first_attempts: u64,
    hedges: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    second: u64,
    counts: Counts,
}

/// Counts the first attempts and hedges of the last [`BUDGET_WINDOW_MS`], in buckets of one second.
#[derive(Debug, Default)]
pub struct HedgeBudget {
    buckets: [Bucket; BUCKETS],
}

impl HedgeBudget {
    /// Records the first attempt of a generation or request.
    pub fn record_first_attempt(&mut self, now: u64) {
        self.bucket(now).counts.first_attempts += 1;
    }

    /// Records the start of a hedged attempt.
    pub fn record_hedge(&mut self, now: u64) {
        self.bucket(now).counts.hedges += 1;
    }

    /// Whether one more hedge is within the budget.
    pub fn allows_hedge(&self, now: u64) -> bool {
        let recent = self.recent(now);
        (recent.hedges + 1) * FIRST_ATTEMPTS_PER_HEDGE < recent.first_attempts
    }

    /// Whether one more hedge makes at most `reserve` hedges in the window. This permits some hedges where there are
    /// too few first attempts for [`allows_hedge`](Self::allows_hedge).
    pub fn allows_reserved_hedge(&self, now: u64, reserve: u64) -> bool {
        self.recent(now).hedges < reserve
    }

    fn recent(&self, now: u64) -> Counts {
        let oldest = (now / BUCKET_MS).saturating_sub(BUCKETS as u64 - 1);
        let recent = self.buckets.iter().filter(|bucket| bucket.second >= oldest);
        recent.fold(Counts::default(), |sum, bucket| Counts {
            first_attempts: sum.first_attempts + bucket.counts.first_attempts,
            hedges: sum.hedges + bucket.counts.hedges,
        })
    }

    fn bucket(&mut self, now: u64) -> &mut Bucket {
        let second = now / BUCKET_MS;
        let bucket = &mut self.buckets[(second % BUCKETS as u64) as usize];
        if bucket.second != second {
            *bucket = Bucket { second, ..Bucket::default() };
        }
        bucket
    }
}
