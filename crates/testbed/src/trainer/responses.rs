//! Handles the outcomes of the calls for a batch job.

use super::calls::RETRY_DELAY_MS;
use super::job::{Job, Phase};
use super::result_reading::observe_reading;
use super::settings::TrainerSettings;
use super::stats::TrainerStats;
use crate::clients::NOT_EXECUTED_STATUSES;
use crate::effects::{Effects, Outcome};
use crate::http::Response;
use crate::observation::Observation;
use crate::synthetic_text;

/// Interval between reads of a batch job, in milliseconds.
const READ_INTERVAL_MS: u64 = 500;

impl Job {
    /// Handles the end of a submission.
    pub(super) fn submitted(
        &mut self,
        now: u64,
        outcome: &Outcome,
        stats: &mut TrainerStats,
        out: &mut Effects,
    ) {
        let status = match outcome {
            Outcome::Response(response) => Some(response.status),
            _ => None,
        };
        out.observations.push(Observation::JobSendEnded { job: self.id().to_owned(), status });
        if self.phase != Phase::Submitting {
            return;
        }
        match status {
            Some(202) => {
                self.accepted = true;
                self.phase = Phase::Reading;
                self.next_at = Some(now + READ_INTERVAL_MS);
                stats.acceptance_ms.push(now - self.first_sent);
                return;
            }
            Some(status) if NOT_EXECUTED_STATUSES.contains(&status) => stats.refusals += 1,
            _ => self.unclear |= *outcome != Outcome::Refused,
        }
        self.next_at = Some(now + RETRY_DELAY_MS);
    }

    /// Handles the end of a read after position `after`. Returns whether all required groups are complete, so that
    /// the batch job can be cancelled.
    pub(super) fn results_read(
        &mut self,
        now: u64,
        after: u64,
        outcome: &Outcome,
        settings: &TrainerSettings,
        stats: &mut TrainerStats,
        out: &mut Effects,
    ) -> bool {
        let reading = observe_reading(self.id(), after, outcome, out);
        if let Some(reading) = reading
            && after == self.position
        {
            self.position = reading.next;
            self.progress.record(now, &reading.results, settings.batch.required_groups);
            let completed =
                reading.results.iter().filter(|result| result.state == "completed").count() as u64;
            stats.completed += completed;
            stats.expired += reading.results.len() as u64 - completed;
        }
        if self.phase != Phase::Reading {
            return false;
        }
        if self.progress.complete_at().is_some() {
            return true;
        }
        self.next_at = Some(now + READ_INTERVAL_MS);
        false
    }

    /// Handles the end of a review's read after position `after`.
    pub(super) fn reviewed(
        &mut self,
        now: u64,
        after: u64,
        outcome: &Outcome,
        stats: &mut TrainerStats,
        out: &mut Effects,
    ) {
        let reading = observe_reading(self.id(), after, outcome, out);
        self.next_at = Some(now + RETRY_DELAY_MS);
        let is_missing = matches!(outcome, Outcome::Response(Response { status: 404, .. }));
        if is_missing && !self.accepted {
            self.review = None;
        }
        let Some(next) = reading.map(|reading| reading.next) else { return };
        if next > after {
            self.next_at = Some(now);
        }
        self.review = Some(next).filter(|_| next > after || next < self.position);
        if self.review.is_none() {
            stats.reviewed += 1;
        }
    }

    /// Handles the end of a request to cancel the batch job.
    pub(super) fn cancelled(
        &mut self,
        now: u64,
        outcome: &Outcome,
        settings: &TrainerSettings,
        out: &mut Effects,
    ) {
        let status = match outcome {
            Outcome::Response(Response { status, .. }) => *status,
            _ => 0,
        };
        match status {
            200 => {
                self.phase = Phase::Finished;
                self.next_at = Some(settings.review.from);
                out.observations.push(Observation::JobCancelled { job: self.id().to_owned() });
            }
            // The batch job was never accepted.
            404 if !self.accepted => self.reject(),
            404 | 410 => {
                out.observations.push(Observation::JobMissing { job: self.id().to_owned(), status });
                self.next_at = Some(now + RETRY_DELAY_MS);
            }
            _ => self.next_at = Some(now + RETRY_DELAY_MS),
        }
    }

    /// Handles the end of a request for the body of an item.
    pub(super) fn item_body_read(&self, item: String, outcome: &Outcome, out: &mut Effects) {
        let body = match outcome {
            Outcome::Response(response) if response.status == 200 => {
                Some(synthetic_text::digest(&response.body))
            }
            Outcome::Response(response) if response.status == 404 => None,
            _ => return,
        };
        out.observations.push(Observation::ItemBody { job: self.id().to_owned(), item, body });
    }
}
