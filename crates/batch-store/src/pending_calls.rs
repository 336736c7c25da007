//! Calls of gateways that cannot be answered yet.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::job_key::JobKey;
use crate::link::LinkId;

/// The gateway that made a call, and the number of the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Caller {
    /// Link of the gateway.
    pub link: LinkId,
    /// Number of the call; repeated in the response.
    pub request_id: u64,
}

/// A query that is answered once the view is confirmed as current.
#[derive(Clone, Debug)]
pub(crate) enum Query {
    /// Returns the results from position `after` on. If there are none, waits for one until `deadline_ms`.
    Read { after: u64, deadline_ms: u64, tenant: Option<CompactString> },
    /// Returns the body of an item.
    Body { item: CompactString, tenant: Option<CompactString> },
    /// Ends the job.
    End { tenant: Option<CompactString> },
    /// Checks that the job is unknown to the system, so that outcomes of these items are no longer needed. The gateway
    /// gets no response, only an acknowledgement.
    Outcomes { items: Vec<String> },
}

impl Query {
    /// Returns the tenant of the caller; `None` if the call has none.
    pub fn tenant(&self) -> Option<&str> {
        match self {
            Query::Read { tenant, .. } | Query::Body { tenant, .. } | Query::End { tenant } => {
                tenant.as_deref()
            }
            Query::Outcomes { .. } => None,
        }
    }

    /// Returns whether the caller expects a response.
    fn has_response(&self) -> bool {
        !matches!(self, Query::Outcomes { .. })
    }
}

/// A call that waits for a barrier to confirm the view.
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

/// Callers that wait until an entry about a job is committed, each until its deadline.
#[derive(Debug, Default)]
pub(crate) struct CommitWaiters {
    waiters: BTreeMap<JobKey, Vec<CommitWaiter>>,
}

impl CommitWaiters {
    /// Adds a caller that waits until `deadline_ms`.
    pub fn add(&mut self, partition: u16, job: &str, caller: Caller, deadline_ms: u64) {
        let waiter = CommitWaiter { caller, deadline_ms };
        self.waiters.entry(JobKey::new(partition, job)).or_default().push(waiter);
    }

    /// Removes and returns all callers that wait for this job.
    pub fn take(&mut self, partition: u16, job: &CompactString) -> Vec<Caller> {
        let waiters = self.waiters.remove(&JobKey { partition, job: job.clone() }).unwrap_or_default();
        waiters.into_iter().map(|waiter| waiter.caller).collect()
    }

    /// Removes and returns the callers that wait for the jobs of this partition for which `predicate` returns `true`.
    pub fn take_if(&mut self, partition: u16, mut predicate: impl FnMut(&str) -> bool) -> Vec<Caller> {
        let mut removed = Vec::new();
        self.waiters.retain(|key, waiters| {
            let matches = key.partition == partition && predicate(&key.job);
            if matches {
                removed.extend(waiters.iter().map(|waiter| waiter.caller));
            }
            !matches
        });
        removed
    }

    /// Removes and returns the callers whose deadline has passed.
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

/// All pending calls of gateways.
#[derive(Debug, Default)]
pub(crate) struct PendingCalls {
    /// Callers that wait for a job to be accepted.
    pub submits: CommitWaiters,
    /// Callers that wait for the end of a job.
    pub ends: CommitWaiters,
    reads: BTreeMap<JobKey, Vec<PendingRead>>,
    /// Calls that wait for a barrier, by the number of the barrier.
    unconfirmed: BTreeMap<u64, UnconfirmedCall>,
    last_barrier: u64,
}

impl PendingCalls {
    /// Adds a call that waits for a new barrier. Returns the number of the barrier.
    pub fn add_unconfirmed(&mut self, call: UnconfirmedCall) -> u64 {
        self.last_barrier += 1;
        self.unconfirmed.insert(self.last_barrier, call);
        self.last_barrier
    }

    /// Returns the numbers of the barriers for which calls about a partition wait.
    pub fn barriers_of_partition(&self, partition: u16) -> Vec<u64> {
        let calls = self.unconfirmed.iter().filter(|(_, call)| call.partition == partition);
        calls.map(|(&barrier, _)| barrier).collect()
    }

    /// Removes and returns the call that waits for this barrier.
    pub fn take_confirmed(&mut self, barrier: u64) -> Option<UnconfirmedCall> {
        self.unconfirmed.remove(&barrier)
    }

    /// Removes the calls whose deadline has passed, or of whose partition this store is no longer a member. Returns the
    /// callers that expect a response.
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

    /// Adds a read that waits for results.
    pub fn add_read(&mut self, partition: u16, job: CompactString, read: PendingRead) {
        self.reads.entry(JobKey { partition, job }).or_default().push(read);
    }

    /// Removes and returns the reads of a job whose position is below `total`.
    pub fn take_reads_below(&mut self, partition: u16, job: &CompactString, total: u64) -> Vec<PendingRead> {
        let key = JobKey { partition, job: job.clone() };
        let Some(reads) = self.reads.get_mut(&key) else { return Vec::new() };
        let satisfied = reads.extract_if(.., |read| read.after < total).collect();
        if reads.is_empty() {
            self.reads.remove(&key);
        }
        satisfied
    }

    /// Removes and returns the reads whose deadline has passed.
    pub fn take_expired_reads(&mut self, now_ms: u64) -> Vec<ExpiredRead> {
        let mut expired = Vec::new();
        self.reads.retain(|job, reads| {
            let of_job = reads.extract_if(.., |read| read.deadline_ms <= now_ms);
            expired.extend(of_job.map(|read| ExpiredRead { job: job.clone(), read }));
            !reads.is_empty()
        });
        expired
    }

    /// Removes all calls of a link.
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
