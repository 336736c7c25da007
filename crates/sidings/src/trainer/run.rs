//! The trainer's way through its steps.

use std::collections::{BTreeMap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use super::job::{Group, Job, Phase, parse_reading};
use super::{SharedTally, TrainerSettings};
use crate::client::PROMISES;
use crate::control_call::{ControlCall, Verdict};
use crate::directory::Directory;
use crate::effects::{Call, Caller, Effects, Notice, Outcome};
use crate::http::{self, Response};
use crate::observation::Observation;
use crate::text;

/// Time between readings of a batch job, in milliseconds.
const READ_INTERVAL_MS: u64 = 500;
/// How long a reading may be held, and what the reader waits beyond.
const HOLD_MS: u64 = 1_000;
const READ_SLACK_MS: u64 = 1_500;
const SUBMIT_TIMEOUT_MS: u64 = 2_500;
const END_TIMEOUT_MS: u64 = 1_500;
const RETRY_PAUSE_MS: u64 = 150;
/// One reading in so many begins at an earlier position.
const EARLIER_EVERY: u32 = 8;
/// One reading in so many is followed by a request for the body of an item.
const BODY_EVERY: u32 = 6;

#[derive(Clone, Debug)]
enum Purpose {
    Submit,
    Read { after: u64 },
    Review { after: u64 },
    Body { item: String },
    End,
}

/// A trainer.
pub struct Trainer {
    settings: TrainerSettings,
    random: Pcg64Mcg,
    jobs: Vec<Job>,
    calls: BTreeMap<u64, (usize, Purpose)>,
    next_tag: u64,
    next_step: u64,
    /// When the training of ended steps is over, in their order.
    training: VecDeque<u64>,
    naming: Option<(u64, u64, ControlCall)>,
    /// Newest version that is noted by the system.
    version: u64,
    /// Groups for the next batch job to bring back.
    carried: Vec<Group>,
    /// No more steps are asked for.
    closed: bool,
    tally: SharedTally,
}

impl Trainer {
    /// A trainer and the place where it counts.
    pub fn new(settings: TrainerSettings) -> (Trainer, SharedTally) {
        let tally = SharedTally::default();
        tally.borrow_mut().version = 1;
        let trainer = Trainer {
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            settings,
            jobs: Vec::new(),
            calls: BTreeMap::new(),
            next_tag: 1,
            next_step: 0,
            training: VecDeque::new(),
            naming: None,
            version: 1,
            carried: Vec::new(),
            closed: false,
            tally: tally.clone(),
        };
        (trainer, tally)
    }

    /// When the next step may be asked for; `None` while its version isn't named or the day is over.
    fn next_step_at(&self) -> Option<u64> {
        let due = self.settings.from + self.next_step * self.settings.every_ms;
        let needed = (self.next_step + 1).saturating_sub(self.settings.ahead).max(1);
        (!self.closed && due < self.settings.until && needed <= self.version).then_some(due)
    }

    fn ask_steps(&mut self, now: u64) {
        self.closed |= now >= self.settings.until;
        while self.next_step_at().is_some_and(|at| at <= now) {
            let carried = std::mem::take(&mut self.carried);
            let job = Job::draw(&self.settings, self.next_step, now, carried, &mut self.random);
            self.jobs.push(job);
            self.next_step += 1;
            self.tally.borrow_mut().steps_asked += 1;
        }
    }

    fn call(
        &mut self,
        index: usize,
        purpose: Purpose,
        bytes: Vec<u8>,
        timeout_ms: u64,
        directory: &Directory,
        out: &mut Effects,
    ) {
        let Some(address) = directory.pick_door(&self.settings.zone, &mut self.random) else { return };
        let tag = self.next_tag;
        self.next_tag += 1;
        self.calls.insert(tag, (index, purpose));
        out.calls.push(Call { tag, address, bytes, timeout_ms, keep_alive: false });
    }

    /// Sends the call of a batch job that is due.
    fn advance_job(&mut self, now: u64, index: usize, directory: &Directory, out: &mut Effects) {
        let job = &mut self.jobs[index];
        if job.next_at.is_none_or(|at| at > now) {
            return;
        }
        if now >= self.settings.review_from {
            job.close();
        }
        if directory.doors.is_empty() {
            job.next_at = Some(now + RETRY_PAUSE_MS);
            return;
        }
        job.next_at = None;
        match job.phase {
            Phase::Sending if now >= job.first_sent + self.settings.deadline_ms => {
                self.give_up_sending(now, index)
            }
            Phase::Sending => self.submit(index, directory, out),
            Phase::Reading if now >= job.first_sent + self.settings.deadline_ms => self.begin_end(now, index),
            Phase::Reading => self.read(index, directory, out),
            Phase::Ending => self.end(index, directory, out),
            Phase::Ended if now < self.settings.review_from => job.next_at = Some(self.settings.review_from),
            Phase::Ended => self.review(now, index, directory, out),
            Phase::Dropped => {}
        }
    }

    fn submit(&mut self, index: usize, directory: &Directory, out: &mut Effects) {
        let job = &self.jobs[index];
        let target = format!("{}{}", self.settings.path_prefix, &job.id()[..6]);
        let fields = [("Attempt-Id", job.id()), ("Content-Type", "application/json")];
        let bytes = http::request("POST", &target, &self.settings.host, &fields, &job.document);
        out.seen.push(Observation::JobSent(job.sent.clone()));
        self.call(index, Purpose::Submit, bytes, SUBMIT_TIMEOUT_MS, directory, out);
    }

    fn read(&mut self, index: usize, directory: &Directory, out: &mut Effects) {
        let position = self.jobs[index].position;
        let earlier = position > 0 && self.random.random_ratio(1, EARLIER_EVERY);
        let after = if earlier { self.random.random_range(0..position) } else { position };
        let bytes = self.read_request(index, after);
        self.call(index, Purpose::Read { after }, bytes, HOLD_MS + READ_SLACK_MS, directory, out);
        let item = self.jobs[index].any_unlisted().map(str::to_owned);
        if let Some(item) = item.filter(|_| self.random.random_ratio(1, BODY_EVERY)) {
            self.ask_body(index, item, directory, out);
        }
    }

    fn read_request(&self, index: usize, after: u64) -> Vec<u8> {
        let target = format!("/v1/lots/{}?after-seq={after}", self.jobs[index].id());
        let hold = HOLD_MS.to_string();
        http::request("GET", &target, &self.settings.host, &[("Wait-Ms", &hold)], &[])
    }

    fn ask_body(&mut self, index: usize, item: String, directory: &Directory, out: &mut Effects) {
        let target = format!("/v1/items/{}?instance-id={item}", self.jobs[index].id());
        let bytes = http::request("GET", &target, &self.settings.host, &[], &[]);
        self.call(index, Purpose::Body { item }, bytes, END_TIMEOUT_MS, directory, out);
    }

    fn end(&mut self, index: usize, directory: &Directory, out: &mut Effects) {
        let target = format!("/v1/lots/{}", self.jobs[index].id());
        out.seen.push(Observation::JobEndSent { job: self.jobs[index].id().to_owned() });
        let bytes = http::request("DELETE", &target, &self.settings.host, &[], &[]);
        self.call(index, Purpose::End, bytes, END_TIMEOUT_MS, directory, out);
    }

    fn review(&mut self, now: u64, index: usize, directory: &Directory, out: &mut Effects) {
        let Some(after) = self.jobs[index].review else { return };
        if now >= self.settings.review_until {
            self.jobs[index].review = None;
            out.seen.push(Observation::JobUnreadable { job: self.jobs[index].id().to_owned() });
            self.tally.borrow_mut().unreadable += 1;
            return;
        }
        let target = format!("/v1/lots/{}?after-seq={after}", self.jobs[index].id());
        let bytes = http::request("GET", &target, &self.settings.host, &[], &[]);
        self.call(index, Purpose::Review { after }, bytes, HOLD_MS + READ_SLACK_MS, directory, out);
    }

    /// The deadline has come without a 202: the step is lost, and the training goes on without it.
    fn give_up_sending(&mut self, now: u64, index: usize) {
        let job = &mut self.jobs[index];
        if job.unclear {
            self.begin_end(now, index);
        } else {
            job.phase = Phase::Dropped;
            job.review = None;
            self.training.push_back(now + self.settings.train_ms);
        }
    }

    fn begin_end(&mut self, now: u64, index: usize) {
        let job = &mut self.jobs[index];
        job.phase = Phase::Ending;
        job.next_at = Some(now);
        if self.settings.carry && job.accepted {
            self.carried = job.groups_to_carry(self.settings.wanted_groups / 2);
        }
        self.training.push_back(now + self.settings.train_ms);
        if let Some(at) = job.whole_at {
            let mut tally = self.tally.borrow_mut();
            tally.steps_done += 1;
            tally.step_ms.push(at - job.first_sent);
            tally.steps_in_time += u64::from(at <= job.first_sent + self.settings.target_run_ms);
        }
    }

    fn submitted(&mut self, now: u64, index: usize, outcome: Outcome, out: &mut Effects) {
        let status = match &outcome {
            Outcome::Answered(answer) => Some(answer.status),
            _ => None,
        };
        let job = &mut self.jobs[index];
        out.seen.push(Observation::JobAnswered { job: job.id().to_owned(), status });
        if job.phase != Phase::Sending {
            return;
        }
        match status {
            Some(202) => {
                job.accepted = true;
                job.phase = Phase::Reading;
                job.next_at = Some(now + READ_INTERVAL_MS);
                self.tally.borrow_mut().accept_ms.push(now - job.first_sent);
                return;
            }
            Some(status) if PROMISES.contains(&status) => self.tally.borrow_mut().refusals += 1,
            _ => job.unclear |= outcome != Outcome::Refused,
        }
        job.next_at = Some(now + RETRY_PAUSE_MS);
    }

    fn was_read(&mut self, now: u64, index: usize, after: u64, outcome: Outcome, out: &mut Effects) {
        let next = self.note_reading(index, after, &outcome, out);
        let wanted = self.settings.wanted_groups;
        let job = &mut self.jobs[index];
        if let Some((next, results)) = next
            && after == job.position
        {
            job.position = next;
            job.list(now, &results, wanted);
            let mut tally = self.tally.borrow_mut();
            let completed = results.iter().filter(|result| result.state == "completed").count() as u64;
            tally.completed += completed;
            tally.expired += results.len() as u64 - completed;
        }
        if job.phase == Phase::Reading {
            if job.whole_at.is_some() {
                self.begin_end(now, index);
            } else {
                job.next_at = Some(now + READ_INTERVAL_MS);
            }
        }
    }

    /// Notes a reading; the next position and the results, if there was a clear answer.
    fn note_reading(
        &self,
        index: usize,
        after: u64,
        outcome: &Outcome,
        out: &mut Effects,
    ) -> Option<(u64, Vec<crate::observation::ResultRead>)> {
        let job = self.jobs[index].id().to_owned();
        let Outcome::Answered(answer) = outcome else { return None };
        if matches!(answer.status, 404 | 410) {
            out.seen.push(Observation::JobMissing { job, status: answer.status });
            return None;
        }
        if answer.status != 200 {
            return None;
        }
        let Some(reading) = parse_reading(&answer.body) else {
            out.seen.push(Observation::RequestGarbled { id: job });
            return None;
        };
        let (total, next) = (reading.total, reading.next);
        let results = reading.results.clone();
        out.seen.push(Observation::JobRead { job, total, after, next, results });
        Some((reading.next, reading.results))
    }

    fn reviewed(&mut self, now: u64, index: usize, after: u64, outcome: Outcome, out: &mut Effects) {
        let read = self.note_reading(index, after, &outcome, out);
        let job = &mut self.jobs[index];
        job.next_at = Some(now + RETRY_PAUSE_MS);
        let missing = matches!(outcome, Outcome::Answered(Response { status: 404, .. }));
        if missing && !job.accepted {
            job.review = None;
        }
        let Some((next, _)) = read else { return };
        if next > after {
            job.next_at = Some(now);
        }
        job.review = Some(next).filter(|_| next > after || next < job.position);
        if job.review.is_none() {
            self.tally.borrow_mut().reviewed += 1;
        }
    }

    fn ended_job(&mut self, now: u64, index: usize, outcome: Outcome, out: &mut Effects) {
        let job = &mut self.jobs[index];
        let status = match outcome {
            Outcome::Answered(Response { status, .. }) => status,
            _ => 0,
        };
        match status {
            200 => {
                job.phase = Phase::Ended;
                job.next_at = Some(self.settings.review_from);
                out.seen.push(Observation::JobEnded { job: job.id().to_owned() });
            }
            // It was never taken.
            404 if !job.accepted => {
                job.phase = Phase::Dropped;
                job.review = None;
            }
            404 | 410 => {
                out.seen.push(Observation::JobMissing { job: job.id().to_owned(), status });
                job.next_at = Some(now + RETRY_PAUSE_MS);
            }
            _ => job.next_at = Some(now + RETRY_PAUSE_MS),
        }
    }

    fn got_body(&self, index: usize, item: String, outcome: Outcome, out: &mut Effects) {
        let body = match outcome {
            Outcome::Answered(answer) if answer.status == 200 => Some(text::digest(&answer.body)),
            Outcome::Answered(answer) if answer.status == 404 => None,
            _ => return,
        };
        out.seen.push(Observation::ItemBody { job: self.jobs[index].id().to_owned(), item, body });
    }

    /// Names the next version once the training of a step is over.
    fn name_versions(&mut self, now: u64, directory: &Directory, out: &mut Effects) {
        if self.naming.is_none() && self.training.front().is_some_and(|at| *at <= now) {
            self.training.pop_front();
            self.begin_naming(now, out);
        }
        if let Some((_, tag, call)) = &mut self.naming {
            out.calls.extend(call.send(now, *tag, directory, &mut self.random));
        }
    }

    fn begin_naming(&mut self, now: u64, out: &mut Effects) {
        if now >= self.settings.until {
            return;
        }
        let version = self.version + 1;
        let model = self.settings.model.clone();
        let body = json!({"model": model, "config-version": version}).to_string().into_bytes();
        let fields = [("Content-Type", "application/json".to_owned())];
        let call = ControlCall::new("POST", "/v1/version-put", &fields, body, now, self.settings.until);
        out.seen.push(Observation::VersionNamed { model: model.clone(), version });
        out.notices.push(Notice::VersionNamed { model, version });
        self.naming = Some((version, self.next_tag, call));
        self.next_tag += 1;
    }

    fn named(&mut self, now: u64, outcome: Outcome, out: &mut Effects) {
        let Some((version, _, call)) = &mut self.naming else { return };
        match call.ended(now, outcome) {
            Verdict::Answer(answer) if answer.is_success() => {
                self.version = *version;
                self.tally.borrow_mut().version = *version;
                let model = self.settings.model.clone();
                out.seen.push(Observation::VersionAcknowledged { model, version: *version });
                self.naming = None;
            }
            // Anything but a 2xx is sent again.
            Verdict::Answer(_) if now < call.give_up_at => call.next_at = Some(now + RETRY_PAUSE_MS),
            Verdict::Answer(_) | Verdict::GivenUp => self.naming = None,
            Verdict::Again | Verdict::Lost(_) => {}
        }
    }

    fn is_done(&self, now: u64) -> bool {
        now >= self.settings.review_from && self.jobs.iter().all(|job| job.review.is_none())
    }
}

impl Caller for Trainer {
    fn wake(&mut self, now: u64, directory: &mut Directory, out: &mut Effects) {
        self.name_versions(now, directory, out);
        self.ask_steps(now);
        for index in 0..self.jobs.len() {
            self.advance_job(now, index, directory, out);
        }
        let done = self.is_done(now);
        self.tally.borrow_mut().is_done = done;
    }

    fn ended(&mut self, now: u64, tag: u64, outcome: Outcome, directory: &mut Directory, out: &mut Effects) {
        if self.naming.as_ref().is_some_and(|(_, naming, _)| *naming == tag) {
            self.named(now, outcome, out);
        } else if let Some((index, purpose)) = self.calls.remove(&tag) {
            match purpose {
                Purpose::Submit => self.submitted(now, index, outcome, out),
                Purpose::Read { after } => self.was_read(now, index, after, outcome, out),
                Purpose::Review { after } => self.reviewed(now, index, after, outcome, out),
                Purpose::Body { item } => self.got_body(index, item, outcome, out),
                Purpose::End => self.ended_job(now, index, outcome, out),
            }
        }
        self.wake(now, directory, out);
    }

    fn next_wake(&self) -> Option<u64> {
        let jobs = self.jobs.iter().filter(|job| job.review.is_some()).filter_map(|job| job.next_at);
        let naming = match &self.naming {
            Some((_, _, call)) => call.next_at,
            None => self.training.front().copied(),
        };
        // Without a batch job to review, the end is noted at the time of the reviews.
        let idle = !self.tally.borrow().is_done && self.jobs.iter().all(|job| job.review.is_none());
        let review = idle.then_some(self.settings.review_from);
        jobs.chain(naming).chain(self.next_step_at()).chain(review).min()
    }
}
