//! One batch job of a trainer: the state of its submission and of its reads.

use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use super::group_progress::GroupProgress;
use super::groups::{DrawnItem, Group};
use super::settings::TrainerSettings;
use crate::clients::random_id;
use crate::credentials::Credentials;
use crate::observation::JobSent;

/// The phase of a batch job, which determines its next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The batch job is submitted.
    Submitting,
    /// The results are read.
    Reading,
    /// The cancellation is requested.
    Cancelling,
    /// The batch job is over, and is read again at the end of the scenario.
    Finished,
    /// All submissions were rejected, so that nothing of the batch job exists.
    Rejected,
}

/// The trainer's state of a batch job.
#[derive(Debug)]
pub(super) struct Job {
    pub sent: JobSent,
    /// Body of the `POST` request.
    pub document: Vec<u8>,
    pub first_sent: u64,
    pub accepted: bool,
    /// Whether a submission had no conclusive response, so that the system may have accepted it.
    pub unclear: bool,
    pub phase: Phase,
    /// Time at which the next call is due; `None` while a call is in flight.
    pub next_at: Option<u64>,
    /// Number of results that were read.
    pub position: u64,
    pub progress: GroupProgress,
    /// Position of the review at the end; `None` once it is done.
    pub review: Option<u64>,
}

impl Job {
    /// Draws a batch job for a step, which begins with the groups `carried_over`.
    pub fn draw(
        settings: &TrainerSettings,
        step: u64,
        now: u64,
        carried_over: Vec<Group>,
        random: &mut Pcg64Mcg,
    ) -> Job {
        let id = random_id(random);
        let carried_over_count = carried_over.len();
        let mut groups = carried_over;
        for number in groups.len()..settings.batch.groups {
            groups.push(Group::draw(settings, &id, number, random));
        }
        let items = || groups.iter().flat_map(|group| &group.items);
        let entries: Vec<&Value> = items().map(|item| &item.entry).collect();
        let min_version = (step + 1).saturating_sub(settings.batch.version_lag).max(1);
        let document = json!({
            "step": step,
            "model": settings.model,
            "min-weights-version": min_version,
            "desired-count": settings.batch.required_groups,
            "requests": entries,
        });
        let sent = JobSent {
            job: id,
            host: settings.host.clone(),
            credentials: Credentials::default(),
            min_version,
            single_version: settings.batch.single_version,
            max_attempts: settings.batch.max_attempts,
            max_queue_ms: settings.batch.max_queue_ms,
            deadline_ms: settings.batch.deadline_ms,
            items: items().map(|DrawnItem { sent, .. }| sent.clone()).collect(),
        };
        Job {
            sent,
            document: document.to_string().into_bytes(),
            first_sent: now,
            accepted: false,
            unclear: false,
            phase: Phase::Submitting,
            next_at: Some(now),
            position: 0,
            progress: GroupProgress::new(groups, carried_over_count),
            review: Some(0),
        }
    }

    pub fn id(&self) -> &str {
        &self.sent.job
    }

    /// Ends submissions and cancellations. From now on a batch job that may exist is only read.
    pub fn close(&mut self) {
        self.phase = match self.phase {
            Phase::Submitting if !self.unclear => Phase::Rejected,
            Phase::Rejected => Phase::Rejected,
            _ => Phase::Finished,
        };
        if self.phase == Phase::Rejected {
            self.review = None;
        }
    }

    /// Records that nothing of the batch job exists.
    pub fn reject(&mut self) {
        self.phase = Phase::Rejected;
        self.review = None;
    }
}
