//! Invariants for complete batch jobs: LOST, MIXED, UNASKED, REFUSED. Those for their results are in `job_record`.

use std::collections::{BTreeMap, HashMap};

use super::context::{CheckContext, ExpectedRequest, RequestPurpose};
use super::invariant::Invariant;
use super::job_record::{JobRecord, PageRead};
use super::server_log::ServerLog;
use crate::observation::{JobSent, Observation};

/// A batch job and the index of an item in it.
#[derive(Clone, Debug)]
struct ItemReference {
    job: String,
    index: usize,
}

/// Batch jobs by id, and references to items and reward calls by id. Several batch jobs may contain the same id.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    jobs: BTreeMap<String, JobRecord>,
    items: HashMap<String, Vec<ItemReference>>,
    rewards: HashMap<String, Vec<ItemReference>>,
}

impl Jobs {
    /// Returns an item or a reward call as sent by its trainer, from the first batch job that contains it.
    pub fn expected(&self, id: &str) -> Option<ExpectedRequest<'_>> {
        let (reference, is_item) = match self.items.get(id) {
            Some(references) => (references.first()?, true),
            None => (self.rewards.get(id)?.first()?, false),
        };
        let job = &self.jobs[&reference.job];
        let item = &job.sent.items[reference.index];
        let since = job.accepted_at.unwrap_or(job.first_sent);
        let (host, target, body, purpose) = match is_item {
            true => (&job.sent.host, &item.path, item.body, RequestPurpose::Item),
            false => (&item.reward.host, &item.reward.path, item.reward.body, RequestPurpose::RewardCall),
        };
        let credentials = &job.credentials;
        Some(ExpectedRequest { method: "POST", host, target, body, purpose, credentials, since })
    }

    /// Returns the batch jobs that contain an item or a reward call.
    fn jobs_with(&self, id: &str) -> impl Iterator<Item = &JobRecord> {
        let references = self.items.get(id).or_else(|| self.rewards.get(id));
        references.into_iter().flatten().map(|reference| &self.jobs[&reference.job])
    }

    pub fn observe(&mut self, context: &mut CheckContext, server_log: &ServerLog, observation: &Observation) {
        match observation {
            Observation::JobSent(sent) => self.record_send(context.now, sent),
            Observation::JobSendEnded { job, status } => {
                if let Some(job) = self.jobs.get_mut(job) {
                    job.send_ended(context.now, *status);
                }
            }
            Observation::JobCancelSent { job } => {
                if let Some(job) = self.jobs.get_mut(job) {
                    job.cancel_sent = true;
                }
            }
            Observation::JobCancelled { job } => {
                if let Some(job) = self.jobs.get_mut(job) {
                    job.cancelled_at.get_or_insert(context.now);
                }
            }
            Observation::ResultsRead { job, total, after, next, results } => {
                if let Some(job) = self.jobs.get_mut(job) {
                    let page = PageRead { total: *total, after: *after, next: *next, results };
                    job.check_page(context, server_log, &page);
                }
            }
            Observation::JobMissing { job, status } => self.check_missing(context, job, *status),
            Observation::JobUnreadable { job } => self.check_unreadable(context, job),
            Observation::ItemBody { job, item, body: Some(body) } => {
                self.check_body(context, job, item, *body);
            }
            Observation::ExecutionStarted { id, .. } => self.check_execution(context, id),
            _ => {}
        }
    }

    fn record_send(&mut self, now: u64, sent: &JobSent) {
        if let Some(job) = self.jobs.get_mut(&sent.job) {
            job.sends += 1;
            job.credentials.authorization.extend_from_slice(&sent.credentials.authorization);
            return;
        }
        for (index, item) in sent.items.iter().enumerate() {
            let reference = ItemReference { job: sent.job.clone(), index };
            self.items.entry(item.id.clone()).or_default().push(reference.clone());
            self.rewards.entry(item.reward.id.clone()).or_default().push(reference);
        }
        self.jobs.insert(sent.job.clone(), JobRecord::new(now, sent.clone()));
    }

    fn check_missing(&self, context: &mut CheckContext, job: &str, status: u16) {
        let accepted_at = self.jobs.get(job).and_then(|record| record.accepted_at);
        let is_settled = accepted_at.is_some_and(|at| at + context.bounds.settle_ms < context.now);
        if is_settled && context.is_undisrupted_since(context.now) {
            context.violate(Invariant::Lost, job, format!("answered {status} though it was accepted"));
        }
    }

    fn check_unreadable(&self, context: &mut CheckContext, job: &str) {
        if self.jobs.get(job).is_some_and(|record| record.accepted_at.is_some()) {
            context.violate(Invariant::Lost, job, "can't be read whole at the end");
        }
    }

    fn check_body(&self, context: &mut CheckContext, job: &str, item: &str, body: u64) {
        let items = self.jobs.get(job).map(|record| &record.sent.items);
        let sent = items.and_then(|items| items.iter().find(|sent| sent.id == item));
        if sent.is_none_or(|sent| sent.body != body) {
            context.violate(Invariant::Mixed, item, "its body returns with other bytes");
        }
    }

    fn check_execution(&self, context: &mut CheckContext, id: &str) {
        let is_over =
            |job: &JobRecord| job.cancelled_at.is_some_and(|at| at + context.bounds.cancel_ms < context.now);
        let mut jobs = self.jobs_with(id).peekable();
        let is_overdue = jobs.peek().is_some() && jobs.all(is_over);
        if is_overdue && context.is_undisrupted_since(context.now) {
            let detail = "is executed although every batch job that has it is cancelled";
            context.violate(Invariant::Unasked, id, detail);
        }
    }

    /// Checks that no item of a batch job was executed if every submission of the job was rejected.
    pub fn finish(&self, context: &mut CheckContext, server_log: &ServerLog) {
        for (job_id, job) in self.jobs.iter().filter(|(_, job)| job.is_rejected()) {
            for id in job.sent.items.iter().flat_map(|item| [&item.id, &item.reward.id]) {
                let was_executed = !server_log.executions(id).is_empty();
                if was_executed && self.jobs_with(id).all(JobRecord::is_rejected) {
                    let detail = format!("was executed although batch job {job_id} was refused");
                    context.violate(Invariant::Refused, id, detail);
                }
            }
        }
    }
}
