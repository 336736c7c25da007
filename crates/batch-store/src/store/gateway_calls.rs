//! Responses to the calls of gateways.
//!
//! The existence of a job or result can be reported at once, since recorded jobs and results are kept. Their absence is
//! reported only after a barrier: a store that is not a member of the current view may have missed entries.

use compact_str::CompactString;
use orchidvalve_batch::Job;
use orchidvalve_protocol::messages::{StoreMessage, StoreResponse};

use crate::entry::{EntryRef, decode_outcome};
use crate::job_key::JobKey;
use crate::jobs::JobState;
use crate::limits::LimitSource;
use crate::output::Output;
use crate::pending_calls::{Caller, ExpiredRead, PendingRead, Query, UnconfirmedCall};
use crate::store::Store;
use crate::timestamp::Timestamp;

/// Time within which an entry has to be committed, in milliseconds. After it the response is that the outcome is
/// unknown.
const COMMIT_TIMEOUT_MS: u64 = 4_000;
/// Time within which a barrier has to be reached, in milliseconds.
const BARRIER_TIMEOUT_MS: u64 = 1_000;
/// Maximum size of the results in one response, in bytes; a single result may exceed it.
const MAX_RESPONSE_BYTES: usize = 1_000_000;
/// Approximate size of a result in a response without its message, in bytes.
const RESULT_OVERHEAD_BYTES: usize = 160;
/// Percentage of the disk above which new jobs are rejected; the rest is reserved for results of accepted jobs.
const MAX_DISK_PERCENT_FOR_JOBS: u64 = 75;
/// Time after which a rejected job may be submitted again, in milliseconds.
const RETRY_AFTER_MS: u32 = 250;
/// Time after which a job may be submitted again if the store is out of capacity, in milliseconds.
const RETRY_AFTER_FULL_MS: u32 = 2_000;

fn respond(caller: Caller, response: StoreResponse, outputs: &mut Vec<Output>) {
    let message = StoreMessage::Response { request_id: caller.request_id, response };
    outputs.push(Output::ToGateway { link: caller.link, message });
}

/// A job submitted by a gateway.
pub(super) struct JobSubmission<'a> {
    pub partition: u16,
    pub id: &'a str,
    /// The encoded [`Job`].
    pub job: &'a [u8],
    pub received_at_ms: u64,
}

impl Store {
    /// Accepts or rejects a job.
    pub(super) fn submit(
        &mut self,
        caller: Caller,
        submission: &JobSubmission<'_>,
        now: Timestamp,
        outputs: &mut Vec<Output>,
    ) {
        let &JobSubmission { partition: number, id, job, received_at_ms } = submission;
        let rejected = StoreResponse::Rejected { retry_after_ms: RETRY_AFTER_MS };
        let Some(partition) = self.partitions.get(&number) else {
            return respond(caller, rejected, outputs);
        };
        if partition.jobs.get(id).is_some() {
            return respond(caller, StoreResponse::Accepted, outputs);
        }
        let deadline_ms = now.monotonic_ms + COMMIT_TIMEOUT_MS;
        if partition.uncommitted.contains_job(id) {
            return self.calls.submits.add(number, id, caller, deadline_ms);
        }
        if !partition.can_propose() {
            return respond(caller, rejected, outputs);
        }
        if self.is_out_of_capacity() {
            let full = StoreResponse::Rejected { retry_after_ms: RETRY_AFTER_FULL_MS };
            return respond(caller, full, outputs);
        }
        let decoded = orchidvalve_protocol::frames::decode::<Job>(job).filter(|job| job.id == id);
        let Some(decoded) = decoded else {
            log::error!("store: job {id} cannot be decoded; run the same version on all nodes");
            return respond(caller, rejected, outputs);
        };
        let limits = self.limits_of(&decoded);
        let entry = EntryRef::JobAccepted {
            job,
            accepted_at_ms: received_at_ms,
            target_run_ms: limits.target_run.as_millis(),
            max_queue_ms: limits.max_queue.as_millis(),
        };
        self.calls.submits.add(number, id, caller, deadline_ms);
        self.with_partition(number, now, outputs, |partition, sinks| partition.propose(&entry, sinks));
    }

    fn is_out_of_capacity(&self) -> bool {
        let health = &self.health;
        let memory: usize = self.partitions.values().map(|partition| partition.log.bytes()).sum();
        health.disk_failing
            || health.used_bytes * 100 > health.capacity_bytes * MAX_DISK_PERCENT_FOR_JOBS
            || memory > self.settings.memory_limit_bytes
    }

    /// Responds to a query about a job, either at once or after a barrier.
    pub(super) fn query(
        &mut self,
        caller: Caller,
        number: u16,
        id: &str,
        query: Query,
        now: Timestamp,
        outputs: &mut Vec<Output>,
    ) {
        let job = self.job(number, id);
        match job.and_then(|job| response_without_barrier(job, &query, &*self.limits)) {
            Some(response) => respond(caller, response, outputs),
            None => self.confirm_view(caller, number, id, query, now, outputs),
        }
    }

    /// Ends a job and responds once this is committed.
    pub(super) fn end(
        &mut self,
        caller: Caller,
        number: u16,
        id: &str,
        tenant: Option<CompactString>,
        now: Timestamp,
        outputs: &mut Vec<Output>,
    ) {
        let Some(partition) = self.partitions.get(&number) else {
            return respond(caller, StoreResponse::Unavailable, outputs);
        };
        let Some(job) = partition.jobs.get(id) else {
            return self.confirm_view(caller, number, id, Query::End { tenant }, now, outputs);
        };
        if job.is_closed_to(tenant.as_deref(), &*self.limits) {
            return respond(caller, StoreResponse::OtherTenant, outputs);
        }
        if job.has_ended() {
            return respond(caller, StoreResponse::Ended, outputs);
        }
        if !partition.uncommitted.contains_end(id) {
            if !partition.can_propose() {
                return respond(caller, StoreResponse::Unavailable, outputs);
            }
            let entry = EntryRef::JobEnded { job: id };
            self.with_partition(number, now, outputs, |partition, sinks| partition.propose(&entry, sinks));
        }
        self.calls.ends.add(number, id, caller, now.monotonic_ms + COMMIT_TIMEOUT_MS);
    }

    fn job(&self, number: u16, id: &str) -> Option<&JobState> {
        self.partitions.get(&number)?.jobs.get(id)
    }

    fn is_member(&self, number: u16) -> bool {
        self.partitions.get(&number).is_some_and(|partition| partition.replica.is_member())
    }

    /// Defers a call until the view is confirmed as current (ReadIndex: Ongaro 2014, section 6.4).
    pub(super) fn confirm_view(
        &mut self,
        caller: Caller,
        number: u16,
        id: &str,
        query: Query,
        now: Timestamp,
        outputs: &mut Vec<Output>,
    ) {
        if !self.is_member(number) {
            return respond(caller, StoreResponse::Unavailable, outputs);
        }
        let deadline_ms = now.monotonic_ms + BARRIER_TIMEOUT_MS;
        let job = CompactString::from(id);
        let call = UnconfirmedCall { caller, partition: number, job, query, deadline_ms };
        let barrier = self.calls.add_unconfirmed(call);
        self.with_partition(number, now, outputs, |partition, sinks| {
            partition.drive(sinks, |replica, _, outputs| replica.barrier(barrier, outputs));
        });
    }

    /// Retries the confirmation of calls after a change of the view, for example if the chain was too short before.
    pub(super) fn retry_view_confirmation(&mut self, number: u16, now: Timestamp, outputs: &mut Vec<Output>) {
        let barriers = self.calls.barriers_of_partition(number);
        self.with_partition(number, now, outputs, |partition, sinks| {
            partition.drive(sinks, |replica, _, outputs| {
                barriers.into_iter().for_each(|barrier| replica.barrier(barrier, outputs));
            });
        });
    }

    /// Responds to the call whose barrier was reached.
    pub(super) fn respond_after_barrier(&mut self, barrier: u64, now: Timestamp, outputs: &mut Vec<Output>) {
        let Some(call) = self.calls.take_confirmed(barrier) else { return };
        let UnconfirmedCall { caller, partition: number, job: id, query, .. } = call;
        let Some(partition) = self.partitions.get(&number) else { return };
        let Some(job) = partition.jobs.get(&id) else {
            let is_uncommitted = partition.uncommitted.contains_job(&id);
            if let Query::Outcomes { items } = query {
                if !is_uncommitted {
                    self.pending_results.acknowledge_all(caller.link, number, &id, items);
                }
                return;
            }
            let unknown = if is_uncommitted { StoreResponse::Unavailable } else { StoreResponse::NotFound };
            return respond(caller, unknown, outputs);
        };
        if let Some(response) = response_without_barrier(job, &query, &*self.limits) {
            return respond(caller, response, outputs);
        }
        match query {
            Query::Read { after, deadline_ms, .. } if deadline_ms <= now.monotonic_ms => {
                respond(caller, results(job, after), outputs);
            }
            Query::Read { after, deadline_ms, .. } => {
                self.calls.add_read(number, id, PendingRead { caller, after, deadline_ms });
            }
            Query::End { tenant } => self.end(caller, number, &id, tenant, now, outputs),
            // The response without a barrier above covers this case, since the job is known.
            Query::Body { .. } => {}
            // The gateway reports the outcomes again. By then the job is known.
            Query::Outcomes { .. } => {}
        }
    }

    /// Responds to the submissions of a job that was accepted.
    pub(super) fn respond_job_accepted(
        &mut self,
        number: u16,
        id: &CompactString,
        outputs: &mut Vec<Output>,
    ) {
        for caller in self.calls.submits.take(number, id) {
            respond(caller, StoreResponse::Accepted, outputs);
        }
    }

    /// Responds to the calls that wait for the end of a job, and to reads that wait for results it will not get.
    pub(super) fn respond_job_ended(&mut self, number: u16, id: &CompactString, outputs: &mut Vec<Output>) {
        for caller in self.calls.ends.take(number, id) {
            respond(caller, StoreResponse::Ended, outputs);
        }
        self.respond_to_reads_below(number, id, u64::MAX, outputs);
    }

    /// Responds to the reads that a new result satisfies.
    pub(super) fn respond_to_reads(&mut self, number: u16, id: &CompactString, outputs: &mut Vec<Output>) {
        let Some(job) = self.job(number, id) else { return };
        self.respond_to_reads_below(number, id, job.results.len() as u64, outputs);
    }

    fn respond_to_reads_below(
        &mut self,
        number: u16,
        id: &CompactString,
        position: u64,
        outputs: &mut Vec<Output>,
    ) {
        let Some(job) = self.partitions.get(&number).and_then(|partition| partition.jobs.get(id)) else {
            return;
        };
        for read in self.calls.take_reads_below(number, id, position) {
            respond(read.caller, results(job, read.after), outputs);
        }
    }

    /// Responds to the reads whose wait is over, and to calls whose commit or barrier timed out.
    pub(super) fn respond_to_expired_calls(&mut self, now_ms: u64, outputs: &mut Vec<Output>) {
        for ExpiredRead { job: JobKey { partition, job: id }, read } in self.calls.take_expired_reads(now_ms)
        {
            let job = self.job(partition, &id).filter(|_| self.is_member(partition));
            respond(
                read.caller,
                job.map_or(StoreResponse::Unavailable, |job| results(job, read.after)),
                outputs,
            );
        }
        for caller in self.calls.submits.take_expired(now_ms) {
            respond(caller, StoreResponse::OutcomeUnknown, outputs);
        }
        for caller in self.calls.ends.take_expired(now_ms) {
            respond(caller, StoreResponse::Unavailable, outputs);
        }
        let partitions = &self.partitions;
        let is_member =
            |number| partitions.get(&number).is_some_and(|partition| partition.replica.is_member());
        for caller in self.calls.take_expired_unconfirmed(now_ms, is_member) {
            respond(caller, StoreResponse::Unavailable, outputs);
        }
    }

    /// Handles a change of the view: responds at once to calls whose entry may be lost with it. If this store remains
    /// the head, calls whose entry is still in the log keep waiting.
    pub(super) fn respond_on_view_change(&mut self, number: u16, outputs: &mut Vec<Output>) {
        let Some(partition) = self.partitions.get(&number) else { return };
        let stays = partition.replica.is_head();
        let is_lost = |id: &str| !stays || !partition.uncommitted.contains_job(id);
        for caller in self.calls.submits.take_if(number, is_lost) {
            respond(caller, StoreResponse::OutcomeUnknown, outputs);
        }
        let is_lost = |id: &str| !stays || !partition.uncommitted.contains_end(id);
        for caller in self.calls.ends.take_if(number, is_lost) {
            respond(caller, StoreResponse::Unavailable, outputs);
        }
    }
}

/// Returns the response to a query about a known job if it needs no barrier: neither the tenant of a job nor the
/// position and content of a result ever change.
fn response_without_barrier(
    job: &JobState,
    query: &Query,
    limits: &dyn LimitSource,
) -> Option<StoreResponse> {
    if job.is_closed_to(query.tenant(), limits) {
        return Some(StoreResponse::OtherTenant);
    }
    match query {
        Query::Read { after, .. } => {
            let exists = *after < job.results.len() as u64;
            (exists || job.is_complete()).then(|| results(job, *after))
        }
        Query::Body { item, .. } => Some(body(job, item)),
        Query::End { .. } | Query::Outcomes { .. } => None,
    }
}

/// Returns the results from position `after` on.
fn results(job: &JobState, after: u64) -> StoreResponse {
    let mut outcomes = Vec::new();
    let mut bytes = 0;
    for payload in job.results.iter().skip(after as usize) {
        bytes += payload.len() + RESULT_OVERHEAD_BYTES;
        if bytes > MAX_RESPONSE_BYTES && !outcomes.is_empty() {
            break;
        }
        let Some(outcome) = decode_outcome(payload) else { break };
        outcomes.push(outcome);
    }
    StoreResponse::Results { total: job.item_count, next: after + outcomes.len() as u64, outcomes }
}

/// Returns the body of an item that has no result yet.
fn body(job: &JobState, item: &str) -> StoreResponse {
    let found = job.active().and_then(|active| active.job().item(active.item_index(item)? as usize));
    found.map_or(StoreResponse::NotFound, |item| StoreResponse::Body(item.body().to_vec()))
}
