//! Balances sessions among the control nodes that accept them.
//!
//! A process that starts knows only the seeds, and a session stays with its control node while it is open, so without
//! balancing the seeds would keep all sessions. A node with many more sessions than the others refers new processes to
//! them, and moves its existing sessions one at a time.

use std::collections::BTreeMap;

use orchidvalve_chain_replication::Milliseconds;

/// A node with fewer sessions refers no process and moves no session.
const MIN_SESSIONS: usize = 8;
/// A node has too many sessions if it exceeds the mean by more than one in this many...
const SURPLUS_DIVISOR: usize = 4;
/// ...plus this number.
const SURPLUS: usize = 2;
/// Minimum time between two moves of sessions, in milliseconds.
const MOVE_INTERVAL_MS: Milliseconds = 500;
/// No session is moved for this time after a change of views, in milliseconds: sessions move by themselves then.
const SETTLE_MS: Milliseconds = 5_000;
/// A referred process that returns within this time, in milliseconds, is accepted: the other nodes may be unable to accept
/// it.
const REFERRAL_MS: Milliseconds = 10_000;

/// Returns whether a node with `local` sessions has too many; `others` holds the numbers of sessions at the other nodes.
pub fn has_surplus(local: usize, others: &[usize]) -> bool {
    if others.is_empty() || local < MIN_SESSIONS {
        return false;
    }
    let mean = (local + others.iter().sum::<usize>()) / (others.len() + 1);
    local > mean + mean / SURPLUS_DIVISOR + SURPLUS
}

/// Decides when the next session may be moved.
#[derive(Default, Debug)]
pub struct MoveSchedule {
    next_at: Milliseconds,
}

impl MoveSchedule {
    /// Postpones the next move after a change of views.
    pub fn view_changed(&mut self, now: Milliseconds) {
        self.next_at = now + SETTLE_MS;
    }

    /// Returns whether a session may be moved now; if so, the next move may follow after a pause.
    pub fn take_due(&mut self, now: Milliseconds) -> bool {
        let is_due = now >= self.next_at;
        if is_due {
            self.next_at = now + MOVE_INTERVAL_MS;
        }
        is_due
    }
}

/// New processes that were referred to other control nodes.
#[derive(Default, Debug)]
pub struct Referrals {
    /// Time of each referral, by the incarnation of the process.
    referred_at: BTreeMap<u64, Milliseconds>,
}

impl Referrals {
    /// Returns whether this incarnation of a process may be referred, and records the referral: each is referred once.
    pub fn refer(&mut self, incarnation: u64, now: Milliseconds) -> bool {
        self.referred_at.retain(|_, at| now < *at + REFERRAL_MS);
        let is_first = !self.referred_at.contains_key(&incarnation);
        if is_first {
            self.referred_at.insert(incarnation, now);
        }
        is_first
    }
}
