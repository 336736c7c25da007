//! Calls of gateways that wait for something.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::job_key::JobKey;
use crate::link::LinkId;

/// Whom to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Caller {
    /// Number of the gateway's link.
    pub link: LinkId,
    /// Number of the call, by which the gateway knows the answer.
    pub call: u64,
}

/// What a call wants to know once the view is confirmed to be in force.
#[derive(Clone, Debug)]
pub(crate) enum Query {
    /// The results from position `after` on; if there are none, those that come by `deadline_ms`.
    Read { after: u64, deadline_ms: u64, tenant: Option<CompactString> },
    /// The body of an item.
    Body { item: CompactString, tenant: Option<CompactString> },
    /// Whether the job has ended.
    End { tenant: Option<CompactString> },
    /// Whether outcomes of these items of a job that isn't known here are still wanted. The gateway gets no response but
    /// an acknowledgement.
    Outcomes { items: Vec<String> },
}

impl Query {
    /// Tenant of the caller, if the call has one.
    pub fn tenant(&self) -> Option<&str> {
        match self {
            Query::Read { tenant, .. } | Query::Body { tenant, .. } | Query::End { tenant } => {
                tenant.as_deref()
            }
            Query::Outcomes { .. } => None,
        }
    }

    /// Whether the caller waits for a response to its call.
    fn has_response(&self) -> bool {
        !matches!(self, Query::Outcomes { .. })
    }
}

/// A call that waits for a barrier.
#[derive(Debug)]
pub(crate) struct UnconfirmedCall {
    pub caller: Caller,
    pub partition: u16,
    pub job: CompactString,
    pub query: Query,
    pub deadline_ms: u64,
}

/// A read that waits for results.
#[derive(Debug)]
pub(crate) struct PendingRead {
    pub caller: Caller,
    pub after: u64,
    pub deadline_ms: u64,
}

/// A read whose deadline has passed.
#[derive(Debug)]
pub(crate) struct ExpiredRead {
    pub job: JobKey,
    pub read: PendingRead,
}

/// A caller that waits for an entry to be committed.
#[derive(Debug)]
struct CommitWaiter {
    caller: Caller,
    deadline_ms: u64,
}

/// Callers that wait for an entry about a job to be committed, each until a deadline.
#[derive(Debug, Default)]
pub(crate) struct CommitWaiters {
    waiters: BTreeMap<JobKey, Vec<CommitWaiter>>,
}

impl CommitWaiters {
    /// Adds a caller that waits until a deadline.
    pub fn add(&mut self, partition: u16, job: &str, caller: Caller, deadline_ms: u64) {
        let waiter = CommitWaiter { caller, deadline_ms };
        self.waiters.entry(JobKey::new(partition, job)).or_default().push(waiter);
    }

    /// Takes out all that wait for this job.
    pub fn take(&mut self, partition: u16, job: &CompactString) -> Vec<Caller> {
        let waiters = self.waiters.remove(&JobKey { partition, job: job.clone() }).unwrap_or_default();
        waiters.into_iter().map(|waiter| waiter.caller).collect()
    }

    /// Takes out all that wait for those jobs of this partition that `is_wanted` holds for.
    pub fn take_if(&mut self, partition: u16, mut is_wanted: impl FnMut(&str) -> bool) -> Vec<Caller> {
        let mut removed = Vec::new();
        self.waiters.retain(|key, waiters| {
            let matches = key.partition == partition && is_wanted(&key.job);
            if matches {
                removed.extend(waiters.iter().map(|waiter| waiter.caller));
            }
            !matches
        });
        removed
    }

    /// Takes out those whose deadline has passed.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<Caller> {
        let mut expired = Vec::new();
        self.waiters.retain(|_, waiters| {
            waiters.retain(|waiter| {
                let is_expired = waiter.deadline_ms <= now_ms;
                if is_expired {
                    expired.push(waiter.caller);
                }
                !is_expired
            });
            !waiters.is_empty()
        });
        expired
    }

    fn remove_link(&mut self, link: LinkId) {
        self.waiters.retain(|_, waiters| {
            waiters.retain(|waiter| waiter.caller.link != link);
            !waiters.is_empty()
        });
    }
}

/// All calls that wait.
#[derive(Debug, Default)]
pub(crate) struct PendingCalls {
    /// Calls that wait for a job to be accepted.
    pub submits: CommitWaiters,
    /// Calls that wait for the end of a job.
    pub ends: CommitWaiters,
    reads: BTreeMap<JobKey, Vec<PendingRead>>,
    /// By the number of the barrier.
    unconfirmed: BTreeMap<u64, UnconfirmedCall>,
    last_barrier: u64,
}

impl PendingCalls {
    /// Keeps a call until its barrier is reached; returns the barrier's number.
    pub fn add_unconfirmed(&mut self, call: UnconfirmedCall) -> u64 {
        self.last_barrier += 1;
        self.unconfirmed.insert(self.last_barrier, call);
        self.last_barrier
    }

    /// Barriers that calls about a partition wait for.
    pub fn barriers_of_partition(&self, partition: u16) -> Vec<u64> {
        let calls = self.unconfirmed.iter().filter(|(_, call)| call.partition == partition);
        calls.map(|(&barrier, _)| barrier).collect()
    }

    /// Takes out the call that waits for this barrier.
    pub fn take_confirmed(&mut self, barrier: u64) -> Option<UnconfirmedCall> {
        self.unconfirmed.remove(&barrier)
    }

    /// Takes out the calls whose barrier took too long, or whose partition this store is no member of any more. Returns
    /// the callers that wait for a response.
    pub fn take_expired_unconfirmed(&mut self, now_ms: u64, is_member: impl Fn(u16) -> bool) -> Vec<Caller> {
        let mut expired = Vec::new();
        self.unconfirmed.retain(|_, call| {
            let is_expired = call.deadline_ms <= now_ms || !is_member(call.partition);
            if is_expired && call.query.has_response() {
                expired.push(call.caller);
            }
            !is_expired
        });
        expired
    }

    /// Keeps a read until there are results.
    pub fn add_read(&mut self, partition: u16, job: CompactString, read: PendingRead) {
        self.reads.entry(JobKey { partition, job }).or_default().push(read);
    }

    /// Takes out the reads of a job whose position is below `total`.
    pub fn take_reads_below(&mut self, partition: u16, job: &CompactString, total: u64) -> Vec<PendingRead> {
        let key = JobKey { partition, job: job.clone() };
        let Some(reads) = self.reads.get_mut(&key) else { return Vec::new() };
        let satisfied = reads.extract_if(.., |read| read.after < total).collect();
        if reads.is_empty() {
            self.reads.remove(&key);
        }
        satisfied
    }

    /// Takes out the reads whose deadline has passed.
    pub fn take_expired_reads(&mut self, now_ms: u64) -> Vec<ExpiredRead> {
        let mut expired = Vec::new();
        self.reads.retain(|job, reads| {
            let of_job = reads.extract_if(.., |read| read.deadline_ms <= now_ms);
            expired.extend(of_job.map(|read| ExpiredRead { job: job.clone(), read }));
            !reads.is_empty()
        });
        expired
    }

    /// Drops all calls of a link.
    pub fn remove_link(&mut self, link: LinkId) {
        self.submits.remove_link(link);
        self.ends.remove_link(link);
        self.unconfirmed.retain(|_, call| call.caller.link != link);
        self.reads.retain(|_, reads| {
            reads.retain(|read| read.caller.link != link);
            !reads.is_empty()
        });
    }
}
