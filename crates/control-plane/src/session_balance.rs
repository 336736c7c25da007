//! How the sessions are spread over the control nodes that may keep them.
//!
//! Processes know the seeds only when they start, and a session stays where it is for as long as it stands, so without
//! this the seeds would keep all sessions. A node that has many more than the others sends new processes elsewhere, and
//! moves the sessions that it has one at a time.

use std::collections::BTreeMap;

use orchidvalve_chain_replication::Milliseconds;

/// With fewer sessions a node sends nobody elsewhere.
const MIN_SESSIONS: usize = 8;
/// A node has too many sessions with more than the mean and one part in this many...
const SURPLUS_DIVISOR: usize = 4;
/// ...and this many above it.
const SURPLUS: usize = 2;
/// Pause between two moves of sessions, in milliseconds.
const MOVE_INTERVAL_MS: Milliseconds = 500;
/// After a change of views no session is moved for this time, in milliseconds: sessions come and go then by themselves.
const SETTLE_MS: Milliseconds = 5_000;
/// A process that was sent elsewhere is taken if it asks again within this time, in milliseconds: the others may be unable
/// to take it.
const REFERRAL_MS: Milliseconds = 10_000;

/// Whether a node with `local` sessions has too many, where the others have so many each.
pub fn has_surplus(local: usize, others: &[usize]) -> bool {
    if others.is_empty() || local < MIN_SESSIONS {
        return false;
    }
    let mean = (local + others.iter().sum::<usize>()) / (others.len() + 1);
    local > mean + mean / SURPLUS_DIVISOR + SURPLUS
}

/// When the next session may be moved.
#[derive(Default, Debug)]
pub struct MoveSchedule {
    next_at: Milliseconds,
}

impl MoveSchedule {
    /// Another view is in force.
    pub fn view_changed(&mut self, now: Milliseconds) {
        self.next_at = now + SETTLE_MS;
    }

    /// Whether a session may be moved now; if so, the next one may after a pause.
    pub fn take_due(&mut self, now: Milliseconds) -> bool {
        let is_due = now >= self.next_at;
        if is_due {
            self.next_at = now + MOVE_INTERVAL_MS;
        }
        is_due
    }
}

/// New processes that were sent elsewhere.
#[derive(Default, Debug)]
pub struct Referrals {
    /// By the incarnation of the process.
    referred_at: BTreeMap<u64, Milliseconds>,
}

impl Referrals {
    /// Whether this start of a process may be sent elsewhere, which is noted: each is once.
    pub fn refer(&mut self, incarnation: u64, now: Milliseconds) -> bool {
        self.referred_at.retain(|_, at| now < *at + REFERRAL_MS);
        let is_first = !self.referred_at.contains_key(&incarnation);
        if is_first {
            self.referred_at.insert(incarnation, now);
        }
        is_first
    }
}
