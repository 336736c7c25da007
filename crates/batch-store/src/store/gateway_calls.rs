//! Answers to the calls of gateways.
//!
//! That something exists may be answered at once, since jobs and results stay. That something doesn't exist is
//! answered only after a barrier: a store that isn't a member of the view in force could have missed it.

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

/// Time within which an entry has to be committed, in milliseconds; after that its outcome is unknown to the caller.
const COMMIT_TIMEOUT_MS: u64 = 4_000;
/// Time within which a barrier has to be reached, in milliseconds.
const BARRIER_TIMEOUT_MS: u64 = 1_000;
/// Most bytes of results in one answer, unless a single one is larger.
const MAX_ANSWER_BYTES: usize = 1_000_000;
/// Bytes of an answer beside the text of a result, roughly.
const RESULT_OVERHEAD_BYTES: usize = 160;
/// Share of the disk that new jobs may fill, in percent; the rest is for results of those accepted.
const JOBS_PERCENT: u64 = 75;
/// When a refused job may be tried again, in milliseconds.
const RETRY_AFTER_MS: u32 = 250;
/// The same where the store is out of capacity, in milliseconds.
const RETRY_FULL_AFTER_MS: u32 = 2_000;

fn answer(caller: Caller, answer: StoreResponse, outputs: &mut Vec<Output>) {
    let message = StoreMessage::Response { request_id: caller.call, response: answer };
    outputs.push(Output::ToGateway { link: caller.link, message });
}

/// A job that a gateway submits.
pub(super) struct JobSubmission<'a> {
    pub partition: u16,
    pub id: &'a str,
    /// The encoded [`Job`].
    pub job: &'a [u8],
    pub received_at_ms: u64,
}

impl Store {
    /// Accepts a job or refuses it.
    pub(super) fn submit(
        &mut self,
        caller: Caller,
        submission: &JobSubmission<'_>,
        now: Timestamp,
        outputs: &mut Vec<Output>,
    ) {
        let &JobSubmission { partition: number, id, job, received_at_ms } = submission;
        let refused = StoreResponse::Rejected { retry_after_ms: RETRY_AFTER_MS };
        let Some(partition) = self.partitions.get(&number) else {
            return answer(caller, refused, outputs);
        };
        if partition.jobs.get(id).is_some() {
            return answer(caller, StoreResponse::Accepted, outputs);
        }
        let deadline_ms = now.monotonic_ms + COMMIT_TIMEOUT_MS;
        if partition.uncommitted.contains_job(id) {
            return self.calls.submits.add(number, id, caller, deadline_ms);
        }
        if !partition.can_propose() {
            return answer(caller, refused, outputs);
        }
        if self.is_out_of_capacity() {
            let full = StoreResponse::Rejected { retry_after_ms: RETRY_FULL_AFTER_MS };
            return answer(caller, full, outputs);
        }
        let decoded = orchidvalve_protocol::frames::decode::<Job>(job).filter(|job| job.id == id);
        let Some(decoded) = decoded else {
            log::error!("store: job {id} can't be decoded; run the same version on all machines");
            return answer(caller, refused, outputs);
        };
        let limits = self.limits_of(&decoded);
        let entry = EntryRef::JobAccepted {
            job,
            accepted_at_ms: received_at_ms,
            target_run_ms: limits.target_run_ms,
            max_queue_ms: limits.max_queue_ms,
        };
        self.calls.submits.add(number, id, caller, deadline_ms);
        self.with_partition(number, now, outputs, |partition, sinks| partition.propose(&entry, sinks));
    }

    fn is_out_of_capacity(&self) -> bool {
        let health = &self.health;
        let memory: usize = self.partitions.values().map(|partition| partition.log.bytes()).sum();
        health.disk_failing
            || health.used_bytes * 100 > health.capacity_bytes * JOBS_PERCENT
            || memory > self.settings.memory_limit_bytes
    }

    /// Answers a question about a job, at once or after a barrier.
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
        match job.and_then(|job| answer_at_once(job, &query, &*self.limits)) {
            Some(response) => answer(caller, response, outputs),
            None => self.confirm_view(caller, number, id, query, now, outputs),
        }
    }

    /// Ends a job.
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
            return answer(caller, StoreResponse::Unavailable, outputs);
        };
        let Some(job) = partition.jobs.get(id) else {
            return self.confirm_view(caller, number, id, Query::End { tenant }, now, outputs);
        };
        if job.is_closed_to(tenant.as_deref(), &*self.limits) {
            return answer(caller, StoreResponse::OtherTenant, outputs);
        }
        if job.has_ended() {
            return answer(caller, StoreResponse::Ended, outputs);
        }
        if !partition.uncommitted.contains_end(id) {
            if !partition.can_propose() {
                return answer(caller, StoreResponse::Unavailable, outputs);
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

    /// Keeps a call until it is confirmed that the view is still in force (ReadIndex: Ongaro 2014, section 6.4).
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
            return answer(caller, StoreResponse::Unavailable, outputs);
        }
        let deadline_ms = now.monotonic_ms + BARRIER_TIMEOUT_MS;
        let job = CompactString::from(id);
        let call = UnconfirmedCall { caller, partition: number, job, query, deadline_ms };
        let barrier = self.calls.add_unconfirmed(call);
        self.with_partition(number, now, outputs, |partition, sinks| {
            partition.drive(sinks, |replica, _, outputs| replica.barrier(barrier, outputs));
        });
    }

    /// The view has changed: what couldn't be confirmed in a chain that was too short may be now.
    pub(super) fn confirm_view_again(&mut self, number: u16, now: Timestamp, outputs: &mut Vec<Output>) {
        let barriers = self.calls.barriers_of_partition(number);
        self.with_partition(number, now, outputs, |partition, sinks| {
            partition.drive(sinks, |replica, _, outputs| {
                barriers.into_iter().for_each(|barrier| replica.barrier(barrier, outputs));
            });
        });
    }

    /// Answers the call whose barrier is reached.
    pub(super) fn answer_confirmed(&mut self, barrier: u64, now: Timestamp, outputs: &mut Vec<Output>) {
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
            return answer(caller, unknown, outputs);
        };
        if let Some(response) = answer_at_once(job, &query, &*self.limits) {
            return answer(caller, response, outputs);
        }
        match query {
            Query::Read { after, deadline_ms, .. } if deadline_ms <= now.monotonic_ms => {
                answer(caller, results(job, after), outputs);
            }
            Query::Read { after, deadline_ms, .. } => {
                self.calls.add_read(number, id, PendingRead { caller, after, deadline_ms });
            }
            Query::End { tenant } => self.end(caller, number, &id, tenant, now, outputs),
            // Answered at once, as the job is known.
            Query::Body { .. } => {}
            // The gateway sends them again, now that the job is known.
            Query::Outcomes { .. } => {}
        }
    }

    /// A job was accepted: answers those that wait for it.
    pub(super) fn answer_accepted(&mut self, number: u16, id: &CompactString, outputs: &mut Vec<Output>) {
        for caller in self.calls.submits.take(number, id) {
            answer(caller, StoreResponse::Accepted, outputs);
        }
    }

    /// A job ended: answers those that wait for that, and reads that wait for results that won't come.
    pub(super) fn answer_ended(&mut self, number: u16, id: &CompactString, outputs: &mut Vec<Output>) {
        for caller in self.calls.ends.take(number, id) {
            answer(caller, StoreResponse::Ended, outputs);
        }
        self.answer_reads_below(number, id, u64::MAX, outputs);
    }

    /// Answers the reads that a new result satisfies.
    pub(super) fn answer_reads(&mut self, number: u16, id: &CompactString, outputs: &mut Vec<Output>) {
        let Some(job) = self.job(number, id) else { return };
        self.answer_reads_below(number, id, job.results.len() as u64, outputs);
    }

    fn answer_reads_below(
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
            answer(read.caller, results(job, read.after), outputs);
        }
    }

    /// Answers the reads that have waited long enough, and calls whose commit or barrier took too long.
    pub(super) fn answer_expired(&mut self, now_ms: u64, outputs: &mut Vec<Output>) {
        for ExpiredRead { job: JobKey { partition, job: id }, read } in self.calls.take_expired_reads(now_ms)
        {
            let job = self.job(partition, &id).filter(|_| self.is_member(partition));
            answer(
                read.caller,
                job.map_or(StoreResponse::Unavailable, |job| results(job, read.after)),
                outputs,
            );
        }
        for caller in self.calls.submits.take_expired(now_ms) {
            answer(caller, StoreResponse::OutcomeUnknown, outputs);
        }
        for caller in self.calls.ends.take_expired(now_ms) {
            answer(caller, StoreResponse::Unavailable, outputs);
        }
        let partitions = &self.partitions;
        let is_member =
            |number| partitions.get(&number).is_some_and(|partition| partition.replica.is_member());
        for caller in self.calls.take_expired_unconfirmed(now_ms, is_member) {
            answer(caller, StoreResponse::Unavailable, outputs);
        }
    }

    /// The view has changed. Calls whose entry may be lost with it are answered at once; a head that stays keeps
    /// waiting.
    pub(super) fn answer_view_change(&mut self, number: u16, outputs: &mut Vec<Output>) {
        let Some(partition) = self.partitions.get(&number) else { return };
        let stays = partition.replica.is_head();
        let is_lost = |id: &str| !stays || !partition.uncommitted.contains_job(id);
        for caller in self.calls.submits.take_if(number, is_lost) {
            answer(caller, StoreResponse::OutcomeUnknown, outputs);
        }
        let is_lost = |id: &str| !stays || !partition.uncommitted.contains_end(id);
        for caller in self.calls.ends.take_if(number, is_lost) {
            answer(caller, StoreResponse::Unavailable, outputs);
        }
    }
}

/// What can be answered about a known job without a barrier: a job keeps its tenant, a result its position and content.
fn answer_at_once(job: &JobState, query: &Query, limits: &dyn LimitSource) -> Option<StoreResponse> {
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

/// The results from a position on.
fn results(job: &JobState, after: u64) -> StoreResponse {
    let mut outcomes = Vec::new();
    let mut bytes = 0;
    for payload in job.results.iter().skip(after as usize) {
        bytes += payload.len() + RESULT_OVERHEAD_BYTES;
        if bytes > MAX_ANSWER_BYTES && !outcomes.is_empty() {
            break;
        }
        let Some(outcome) = decode_outcome(payload) else { break };
        outcomes.push(outcome);
    }
    StoreResponse::Results { total: job.item_count, next: after + outcomes.len() as u64, outcomes }
}

/// The body of an item without a result.
fn body(job: &JobState, item: &str) -> StoreResponse {
    let found = job.active().and_then(|active| active.job().item(active.item_index(item)? as usize));
    found.map_or(StoreResponse::NotFound, |item| StoreResponse::Body(item.body().to_vec()))
}
