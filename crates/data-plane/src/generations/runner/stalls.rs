//! Stall detection: how long a stream may go without an event before its attempt is cancelled.
//!
//! The timeout adapts to the pace of the route and of the attempt itself: the mean time to the first event at first,
//! then the mean time between events.

use super::Runner;
use crate::generations::attempt::Attempt;
use crate::generations::interface::{AttemptId, AttemptOutcome, RunnerCommand};
use crate::generations::timers::Timer;

/// The minimum stall timeout after the first event, in milliseconds.
const MIN_STALL_TIMEOUT_MS: u64 = 600;
/// The minimum stall timeout before the first event, in milliseconds.
const MIN_FIRST_EVENT_TIMEOUT_MS: u64 = 800;
/// The stall timeout as a multiple of the usual time between events.
const STALL_FACTOR: f64 = 6.0;
/// Until a pace is known, the stall timeout is the target duration of the job divided by this.
const UNKNOWN_PACE_DIVISOR: u64 = 4;
/// The stall timeout doubles with every stalled attempt of an item, at most this many times.
const MAX_DOUBLINGS: u32 = 4;

impl Runner {
    /// Records that an event was added to the text. The first two events of an attempt determine its pace, and with
    /// it the stall timeout.
    pub(super) fn record_event(&mut self, now: u64, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.events += 1;
        attempt.last_event_at = Some(now);
        if attempt.first_event_at.is_none() {
            attempt.first_event_at = Some(now);
            let first_event_ms = now.saturating_sub(attempt.sent_at).max(1) as f64;
            if let Some(group) = self.groups.get(&attempt.generation.group) {
                self.paces.entry(group.route_key).or_default().first_event_ms.observe(first_event_ms);
            }
        }
        if attempt.events <= 2 {
            self.schedule_stall_check(id);
        }
    }

    /// Cancels an attempt whose stream has stalled, or schedules the next check.
    pub(super) fn check_stall(&mut self, now: u64, id: AttemptId, out: &mut Vec<RunnerCommand>) {
        let Some(attempt) = self.attempts.get_mut(&id).filter(|attempt| attempt.check_at <= now) else {
            return;
        };
        attempt.check_at = u64::MAX;
        if self.schedule_stall_check(id) > now {
            return;
        }
        out.push(RunnerCommand::CancelAttempt { attempt: id });
        self.attempt_ended(now, id, AttemptOutcome::Stalled, out);
    }

    /// Schedules a check for the time at which the stream will have stalled, unless an earlier one is scheduled.
    /// Returns that time.
    pub(super) fn schedule_stall_check(&mut self, id: AttemptId) -> u64 {
        let Some(attempt) = self.attempts.get(&id) else { return u64::MAX };
        let stalls_at = attempt.last_event_at.unwrap_or(attempt.sent_at) + self.stall_timeout_ms(attempt);
        if let Some(attempt) = self.attempts.get_mut(&id)
            && stalls_at < attempt.check_at
        {
            attempt.check_at = stalls_at;
            self.timers.add(stalls_at, Timer::Stall(id));
        }
        stalls_at
    }

    /// Records the time between events of an attempt that has ended, for its server and its route.
    pub(super) fn record_pace(&mut self, attempt: &Attempt) {
        let Some(gap_ms) = attempt.gap_ms() else { return };
        self.servers.observe_pace(attempt.server, gap_ms);
        if let Some(group) = self.groups.get(&attempt.generation.group) {
            self.paces.entry(group.route_key).or_default().gap_ms.observe(gap_ms);
        }
    }

    /// Returns how long the stream may go without an event, in milliseconds.
    fn stall_timeout_ms(&self, attempt: &Attempt) -> u64 {
        let Some(group) = self.groups.get(&attempt.generation.group) else { return MIN_STALL_TIMEOUT_MS };
        let stalls = group.items[attempt.generation.index as usize].stalls;
        let pace = self.paces.get(&group.route_key);
        let (min_ms, usual_ms) = match attempt.last_event_at {
            Some(_) => (
                MIN_STALL_TIMEOUT_MS,
                pace.map_or(0.0, |pace| pace.gap_ms.value()).max(attempt.gap_ms().unwrap_or(0.0)),
            ),
            None => (MIN_FIRST_EVENT_TIMEOUT_MS, pace.map_or(0.0, |pace| pace.first_event_ms.value())),
        };
        let unknown_ms = group.route.target_run_ms / UNKNOWN_PACE_DIVISOR;
        let allowed_ms = if usual_ms > 0.0 { (usual_ms * STALL_FACTOR) as u64 } else { unknown_ms };
        allowed_ms.max(min_ms) << stalls.min(MAX_DOUBLINGS)
    }
}
