//! Jobs as the committed entries of a partition make them.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use compact_str::CompactString;
use orchidvalve_batch::Job;

use crate::active_job::ActiveJob;
use crate::entry::JobTimes;
use crate::gateways::GatewayId;
use crate::limits::LimitSource;

/// A job and its results.
#[derive(Debug)]
pub(crate) struct JobState {
    /// Sequence number of the entry that accepted it.
    sequence: u64,
    pub times: JobTimes,
    /// Number of its items.
    pub item_count: u32,
    /// Tenant that submitted it; None where the configuration had no tenants then.
    tenant: Option<CompactString>,
    /// Monotonic time at which the end of the job was applied here, in milliseconds; None as long as it hasn't ended.
    pub ended_at_ms: Option<u64>,
    /// The entries that record its results, by position.
    pub results: Vec<Rc<[u8]>>,
    /// None once it has ended or all items have results.
    active: Option<Box<ActiveJob>>,
}

impl JobState {
    /// What is needed to run the job; None once it is complete.
    pub fn active(&self) -> Option<&ActiveJob> {
        self.active.as_deref()
    }

    /// Whether a caller of this tenant may not see or end it. Calls and jobs without a tenant are open to all: the
    /// configuration had no tenants then, or the route of the job is public. So are jobs of a tenant that is gone: it may
    /// have another name now.
    pub fn is_closed_to(&self, tenant: Option<&str>, limits: &dyn LimitSource) -> bool {
        let owner_and_caller = self.tenant.as_deref().zip(tenant);
        owner_and_caller.is_some_and(|(owner, caller)| owner != caller && limits.has_tenant(owner))
    }

    /// Whether the trainer has ended the job.
    pub fn has_ended(&self) -> bool {
        self.ended_at_ms.is_some()
    }

    /// Whether no result will be recorded any more.
    pub fn is_complete(&self) -> bool {
        self.active.is_none()
    }
}

/// What a committed result did.
pub(crate) enum ResultStatus {
    /// The result got a position. `assigned_to` is the gateway that worked on the item.
    Recorded { assigned_to: Option<GatewayId> },
    /// The job or item is unknown, or the item has a result, or the job has ended.
    Ignored,
}

/// The jobs of a partition.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    jobs: BTreeMap<CompactString, JobState>,
    /// Those with results missing.
    active: BTreeSet<CompactString>,
}

impl JobTable {
    /// The job of this id.
    pub fn get(&self, id: &str) -> Option<&JobState> {
        self.jobs.get(id)
    }

    /// The job of this id, if results are missing.
    pub fn active_mut(&mut self, id: &str) -> Option<&mut ActiveJob> {
        self.jobs.get_mut(id)?.active.as_deref_mut()
    }

    /// All jobs, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&CompactString, &JobState)> {
        self.jobs.iter()
    }

    /// Jobs with results missing, in the order of their ids.
    pub fn iter_active(&self) -> impl Iterator<Item = (&CompactString, &JobState, &ActiveJob)> {
        self.active.iter().filter_map(|id| {
            let job = self.jobs.get(id)?;
            Some((id, job, job.active()?))
        })
    }

    /// Calls `action` with each job with results missing, in the order of their ids.
    pub fn for_each_active(&mut self, mut action: impl FnMut(&mut ActiveJob)) {
        for id in &self.active {
            if let Some(active) = self.jobs.get_mut(id).and_then(|job| job.active.as_deref_mut()) {
                action(active);
            }
        }
    }

    /// Adds the job that the entry of this sequence number accepted. False if it is known already.
    pub fn accept(&mut self, sequence: u64, job: Box<Job>, times: JobTimes) -> bool {
        let id = CompactString::from(job.id.as_str());
        if self.jobs.contains_key(&id) {
            return false;
        }
        let state = JobState {
            sequence,
            times,
            item_count: job.len() as u32,
            tenant: job.tenant.as_deref().map(CompactString::from),
            ended_at_ms: None,
            results: Vec::new(),
            active: Some(Box::new(ActiveJob::new(job))),
        };
        self.active.insert(id.clone());
        self.jobs.insert(id, state);
        true
    }

    /// Records the result of an item; `payload` is the entry that carries it.
    pub fn record_result(&mut self, job: &str, item: &str, payload: Rc<[u8]>) -> ResultStatus {
        let Some(state) = self.jobs.get_mut(job) else { return ResultStatus::Ignored };
        let Some(active) = state.active.as_deref_mut() else { return ResultStatus::Ignored };
        let Some(index) = active.item_index(item).filter(|&index| !active.has_result(index)) else {
            return ResultStatus::Ignored;
        };
        let assigned_to = active.record_result(index);
        state.results.push(payload);
        if active.is_finished() {
            state.active = None;
            self.active.remove(job);
        }
        ResultStatus::Recorded { assigned_to }
    }

    /// Ends a job. Returns what was needed to run it, if results were missing.
    pub fn end(&mut self, job: &str, now_ms: u64) -> Option<Box<ActiveJob>> {
        let state = self.jobs.get_mut(job)?;
        state.ended_at_ms.get_or_insert(now_ms);
        self.active.remove(job);
        state.active.take()
    }

    /// Removes the jobs that have ended and were accepted longer than `retention_ms` ago.
    pub fn remove_expired(&mut self, wall_ms: u64, retention_ms: u64) {
        self.jobs.retain(|_, job| !job.has_ended() || wall_ms < job.times.accepted_at_ms + retention_ms);
    }

    /// Removes all jobs.
    pub fn clear(&mut self) {
        self.jobs.clear();
        self.active.clear();
    }

    /// Sequence number of the oldest entry that is still needed.
    pub fn oldest_needed_sequence(&self) -> Option<u64> {
        self.jobs.values().map(|job| job.sequence).min()
    }
}
