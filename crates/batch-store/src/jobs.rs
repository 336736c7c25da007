//! The jobs of a partition, built from its committed entries.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use compact_str::CompactString;
use orchidvalve_batch::Job;

use crate::active_job::ActiveJob;
use crate::entry::JobTimes;
use crate::gateways::GatewayId;
use crate::limits::LimitSource;

/// The state of a job and its results.
#[derive(Debug)]
pub(crate) struct JobState {
    /// Sequence number of the entry that accepted the job.
    sequence: u64,
    pub times: JobTimes,
    /// Number of items.
    pub item_count: u32,
    /// Tenant that submitted the job; `None` if the configuration had no tenants at that time.
    tenant: Option<CompactString>,
    /// Time of the monotonic clock at which this store applied the end of the job, in milliseconds; `None` until then.
    pub ended_at_ms: Option<u64>,
    /// The entries that record the results, in the order of their positions.
    pub results: Vec<Rc<[u8]>>,
    /// The state needed to run the job; `None` once the job has ended or all items have results.
    active: Option<Box<ActiveJob>>,
}

impl JobState {
    /// Returns the state needed to run the job; `None` once the job is complete.
    pub fn active(&self) -> Option<&ActiveJob> {
        self.active.as_deref()
    }

    /// Returns whether a caller of `tenant` may neither read nor end the job. Calls and jobs without a tenant are
    /// always allowed: the configuration had no tenants, or the route of the job is public. Jobs whose tenant no longer
    /// exists are open to all callers as well, since the tenant may have been renamed.
    pub fn is_closed_to(&self, tenant: Option<&str>, limits: &dyn LimitSource) -> bool {
        let owner_and_caller = self.tenant.as_deref().zip(tenant);
        owner_and_caller.is_some_and(|(owner, caller)| owner != caller && limits.has_tenant(owner))
    }

    /// Returns whether the trainer has ended the job.
    pub fn has_ended(&self) -> bool {
        self.ended_at_ms.is_some()
    }

    /// Returns whether no further results will be recorded.
    pub fn is_complete(&self) -> bool {
        self.active.is_none()
    }
}

/// The effect of a committed result.
pub(crate) enum ResultStatus {
    /// The result was recorded. `assigned_to` is the gateway that worked on the item.
    Recorded { assigned_to: Option<GatewayId> },
    /// The job or item is unknown, the item already has a result, or the job has ended.
    Ignored,
}

/// The jobs of a partition.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    jobs: BTreeMap<CompactString, JobState>,
    /// Ids of the jobs with missing results.
    active: BTreeSet<CompactString>,
}

impl JobTable {
    /// Returns the job with this id.
    pub fn get(&self, id: &str) -> Option<&JobState> {
        self.jobs.get(id)
    }

    /// Returns the job with this id if it has missing results.
    pub fn active_mut(&mut self, id: &str) -> Option<&mut ActiveJob> {
        self.jobs.get_mut(id)?.active.as_deref_mut()
    }

    /// Iterates over all jobs in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&CompactString, &JobState)> {
        self.jobs.iter()
    }

    /// Iterates over the jobs with missing results in the order of their ids.
    pub fn iter_active(&self) -> impl Iterator<Item = (&CompactString, &JobState, &ActiveJob)> {
        self.active.iter().filter_map(|id| {
            let job = self.jobs.get(id)?;
            Some((id, job, job.active()?))
        })
    }

    /// Calls `action` for each job with missing results, in the order of their ids.
    pub fn for_each_active(&mut self, mut action: impl FnMut(&mut ActiveJob)) {
        for id in &self.active {
            if let Some(active) = self.jobs.get_mut(id).and_then(|job| job.active.as_deref_mut()) {
                action(active);
            }
        }
    }

    /// Adds the job accepted by the entry with this sequence number. Returns `false` if the job already exists.
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

    /// Records the result of an item; `payload` is the entry that holds it.
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

    /// Ends a job. Returns the state that was needed to run it if results were missing.
    pub fn end(&mut self, job: &str, now_ms: u64) -> Option<Box<ActiveJob>> {
        let state = self.jobs.get_mut(job)?;
        state.ended_at_ms.get_or_insert(now_ms);
        self.active.remove(job);
        state.active.take()
    }

    /// Removes the ended jobs that were accepted at least `retention_ms` ago.
    pub fn remove_expired(&mut self, wall_ms: u64, retention_ms: u64) {
        self.jobs.retain(|_, job| !job.has_ended() || wall_ms < job.times.accepted_at_ms + retention_ms);
    }

    /// Removes all jobs.
    pub fn clear(&mut self) {
        self.jobs.clear();
        self.active.clear();
    }

    /// Returns the sequence number of the oldest entry that is still needed.
    pub fn oldest_needed_sequence(&self) -> Option<u64> {
        self.jobs.values().map(|job| job.sequence).min()
    }
}
