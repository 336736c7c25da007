//! The trainer's loop over its steps.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::calls::{Calls, JobCall, JobIndex, Purpose, RETRY_DELAY_MS};
use super::groups::Group;
use super::job::{Job, Phase};
use super::keys::TrainerKeys;
use super::settings::TrainerSettings;
use super::stats::SharedTrainerStats;
use super::version_announcement::VersionAnnouncements;
use crate::directory::Directory;
use crate::effects::{CallTag, Caller, Effects, Outcome};
use crate::http::Response;
use crate::observation::Observation;

/// On average, one of this many reads starts at an earlier position.
const EARLIER_EVERY: u32 = 8;
/// On average, one of this many reads is followed by a request for the body of an item.
const BODY_EVERY: u32 = 6;

/// An emulated trainer.
pub struct Trainer {
    settings: TrainerSettings,
    random: Pcg64Mcg,
    jobs: Vec<Job>,
    calls: Calls,
    keys: TrainerKeys,
    next_step: u64,
    announcements: VersionAnnouncements,
    /// Groups that the next batch job takes over.
    carried_over: Vec<Group>,
    /// Whether no more steps are submitted.
    closed: bool,
    stats: SharedTrainerStats,
}

impl Trainer {
    /// Returns a trainer with its counters.
    pub fn new(settings: TrainerSettings) -> (Trainer, SharedTrainerStats) {
        let announcements = VersionAnnouncements::new();
        let stats = SharedTrainerStats::default();
        stats.borrow_mut().version = announcements.version();
        let trainer = Trainer {
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            keys: TrainerKeys::new(settings.keys.clone()),
            settings,
            jobs: Vec::new(),
            calls: Calls::new(),
            next_step: 0,
            announcements,
            carried_over: Vec::new(),
            closed: false,
            stats: stats.clone(),
        };
        (trainer, stats)
    }

    /// Returns when the next step may be submitted; `None` while its version is not acknowledged or after the end of
    /// the traffic.
    fn next_step_at(&self) -> Option<u64> {
        let due = self.settings.steps.from + self.next_step * self.settings.steps.interval_ms;
        let needed = (self.next_step + 1).saturating_sub(self.settings.steps.steps_ahead).max(1);
        (!self.closed && due < self.settings.steps.until && needed <= self.announcements.version())
            .then_some(due)
    }

    fn begin_due_steps(&mut self, now: u64) {
        self.closed |= now >= self.settings.steps.until;
        while self.next_step_at().is_some_and(|at| at <= now) {
            let carried_over = std::mem::take(&mut self.carried_over);
            let job = Job::draw(&self.settings, self.next_step, now, carried_over, &mut self.random);
            self.jobs.push(job);
            self.next_step += 1;
            self.stats.borrow_mut().steps_submitted += 1;
        }
    }

    /// Makes the next call of a batch job if it is due.
    fn advance_job(&mut self, now: u64, index: JobIndex, directory: &Directory, out: &mut Effects) {
        let job = &mut self.jobs[index];
        if job.next_at.is_none_or(|at| at > now) {
            return;
        }
        if now >= self.settings.review.from {
            job.close();
        }
        if directory.gateways.is_empty() {
            job.next_at = Some(now + RETRY_DELAY_MS);
            return;
        }
        job.next_at = None;
        let is_overdue = now >= job.first_sent + self.settings.batch.deadline_ms;
        match job.phase {
            Phase::Submitting if is_overdue => self.abandon_submission(now, index),
            Phase::Submitting => self.submit(now, index, directory, out),
            Phase::Reading if is_overdue => self.begin_cancel(now, index),
            Phase::Reading => self.read(now, index, directory, out),
            Phase::Cancelling => self.cancel(now, index, directory, out),
            Phase::Finished if now < self.settings.review.from => {
                job.next_at = Some(self.settings.review.from);
            }
            Phase::Finished => self.review(now, index, directory, out),
            Phase::Rejected => {}
        }
    }

    /// Makes a call through a gateway that the directory picks for the trainer's zone.
    fn call(&mut self, now: u64, job: JobIndex, purpose: Purpose, directory: &Directory, out: &mut Effects) {
        let Some(address) = directory.pick_gateway(&self.settings.zone, &mut self.random) else { return };
        let credentials = self.keys.for_call(&purpose);
        let bytes = purpose.request(&self.settings, &self.jobs[job], &credentials);
        let call = JobCall { job, purpose, credentials, sent_at: now };
        self.calls.begin(call, address, bytes, out);
    }

    fn submit(&mut self, now: u64, index: JobIndex, directory: &Directory, out: &mut Effects) {
        let sent = &mut self.jobs[index].sent;
        sent.credentials = self.keys.for_call(&Purpose::Submit);
        out.observations.push(Observation::JobSent(sent.clone()));
        self.call(now, index, Purpose::Submit, directory, out);
    }

    fn read(&mut self, now: u64, index: JobIndex, directory: &Directory, out: &mut Effects) {
        let position = self.jobs[index].position;
        let is_earlier = position > 0 && self.random.random_ratio(1, EARLIER_EVERY);
        let after = if is_earlier { self.random.random_range(0..position) } else { position };
        self.call(now, index, Purpose::Read { after }, directory, out);
        let item = self.jobs[index].progress.any_outstanding().map(str::to_owned);
        if let Some(item) = item.filter(|_| self.random.random_ratio(1, BODY_EVERY)) {
            self.call(now, index, Purpose::ItemBody { item }, directory, out);
        }
    }

    fn cancel(&mut self, now: u64, index: JobIndex, directory: &Directory, out: &mut Effects) {
        out.observations.push(Observation::JobCancelSent { job: self.jobs[index].id().to_owned() });
        self.call(now, index, Purpose::Cancel, directory, out);
    }

    /// Reads a batch job again from the start, page by page.
    fn review(&mut self, now: u64, index: JobIndex, directory: &Directory, out: &mut Effects) {
        let Some(after) = self.jobs[index].review else { return };
        if now >= self.settings.review.until {
            self.jobs[index].review = None;
            out.observations.push(Observation::JobUnreadable { job: self.jobs[index].id().to_owned() });
            self.stats.borrow_mut().unreadable += 1;
            return;
        }
        self.call(now, index, Purpose::Review { after }, directory, out);
    }

    /// Abandons a step whose deadline passed without a 202; the training continues without it.
    fn abandon_submission(&mut self, now: u64, index: JobIndex) {
        let job = &mut self.jobs[index];
        if job.unclear {
            self.begin_cancel(now, index);
        } else {
            job.reject();
            self.announcements.train_until(now + self.settings.steps.train_ms);
        }
    }

    fn begin_cancel(&mut self, now: u64, index: JobIndex) {
        let job = &mut self.jobs[index];
        job.phase = Phase::Cancelling;
        job.next_at = Some(now);
        if self.settings.batch.carry_over && job.accepted {
            self.carried_over = job.progress.groups_to_carry_over(self.settings.batch.required_groups / 2);
        }
        self.announcements.train_until(now + self.settings.steps.train_ms);
        if let Some(at) = job.progress.complete_at() {
            let mut stats = self.stats.borrow_mut();
            stats.steps_done += 1;
            stats.step_ms.push(at - job.first_sent);
            stats.steps_within_target += u64::from(at <= job.first_sent + self.settings.batch.target_run_ms);
        }
    }

    /// Handles the outcome of a call for a batch job.
    fn job_call_ended(
        &mut self,
        now: u64,
        index: JobIndex,
        purpose: Purpose,
        outcome: &Outcome,
        out: &mut Effects,
    ) {
        let job = &mut self.jobs[index];
        let mut stats = self.stats.borrow_mut();
        match purpose {
            Purpose::Submit => job.submitted(now, outcome, &mut stats, out),
            Purpose::Read { after } => {
                let is_over = job.results_read(now, after, outcome, &self.settings, &mut stats, out);
                drop(stats);
                if is_over {
                    self.begin_cancel(now, index);
                }
            }
            Purpose::Review { after } => job.reviewed(now, after, outcome, &mut stats, out),
            Purpose::ItemBody { item } => job.item_body_read(item, outcome, out),
            Purpose::Cancel => job.cancelled(now, outcome, &self.settings, out),
        }
    }

    /// Records a denied call; its retry uses another key of the tenant.
    fn observe_denial(&mut self, call: &JobCall, outcome: &Outcome, out: &mut Effects) {
        let Outcome::Response(Response { status: status @ (401 | 403), .. }) = outcome else { return };
        self.keys.denied(&call.credentials);
        out.observations.push(Observation::JobCallDenied {
            job: self.jobs[call.job].id().to_owned(),
            status: *status,
            credentials: call.credentials.clone(),
            sent_at: call.sent_at,
        });
    }

    fn is_done(&self, now: u64) -> bool {
        now >= self.settings.review.from && self.jobs.iter().all(|job| job.review.is_none())
    }
}

impl Caller for Trainer {
    fn wake(&mut self, now: u64, directory: &mut Directory, out: &mut Effects) {
        self.announcements.advance(now, &self.settings, &mut self.calls, directory, &mut self.random, out);
        self.begin_due_steps(now);
        for index in 0..self.jobs.len() {
            self.advance_job(now, index, directory, out);
        }
        let is_done = self.is_done(now);
        self.stats.borrow_mut().is_done = is_done;
    }

    fn call_ended(
        &mut self,
        now: u64,
        tag: CallTag,
        outcome: Outcome,
        directory: &mut Directory,
        out: &mut Effects,
    ) {
        if self.announcements.owns(tag) {
            self.announcements.call_ended(now, outcome, &self.settings.model, out);
            self.stats.borrow_mut().version = self.announcements.version();
        } else if let Some(call) = self.calls.end(tag) {
            self.observe_denial(&call, &outcome, out);
            self.job_call_ended(now, call.job, call.purpose, &outcome, out);
        }
        self.wake(now, directory, out);
    }

    fn next_wake(&self) -> Option<u64> {
        let jobs = self.jobs.iter().filter(|job| job.review.is_some()).filter_map(|job| job.next_at);
        let announcements = self.announcements.next_at();
        // Without a batch job to review, the trainer wakes at the start of the reviews to record that it is done.
        let is_idle = !self.stats.borrow().is_done && self.jobs.iter().all(|job| job.review.is_none());
        let review = is_idle.then_some(self.settings.review.from);
        jobs.chain(announcements).chain(self.next_step_at()).chain(review).min()
    }
}
