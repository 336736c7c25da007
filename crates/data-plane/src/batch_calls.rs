//! Calls about batch jobs: forwards clients' requests to the store nodes and returns their responses.
//!
//! A call is sent to a member of the job's store partition. If a store node cannot give a definite response, or the
//! link to it breaks, the call is retried until its timeout; store nodes accept a job once and end it once. A
//! submission or an end of a job with an unknown outcome never gets a status that promises that it has not been
//! executed.

use std::collections::HashMap;

use orchidvalve_configuration::fingerprint;
use orchidvalve_control_state::ControlState;
use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::messages::{GatewayMessage, ItemOutcome, StoreResponse};

use crate::attempts::{AttemptTracker, Idempotency, NeverExecuted, NotExecuted};
use crate::store_links::OutboundMessage;

/// Identifies a pending call. Sent to the store nodes as the request id, and echoed in their responses.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct CallId(pub u64);

/// The path prefix of calls that read a job's results or end the job.
pub const JOBS_PREFIX: &str = "/v1/lots/";
/// The path prefix of calls that read the body of an item.
pub const ITEMS_PREFIX: &str = "/v1/items/";
/// Timeout of a submission, in milliseconds. The response after it says that the outcome is unknown.
const SUBMIT_TIMEOUT_MS: u64 = 1_500;
/// Timeout of any other call, in milliseconds. Added to the wait that the client allows.
const READ_TIMEOUT_MS: u64 = 1_200;
/// Delay before a call is retried, in milliseconds.
const RETRY_MS: u64 = 60;
/// `Retry-After` of a submission that was sent to no store node, in milliseconds.
const UNSENT_RETRY_AFTER_MS: u32 = 300;
/// Timeout of one attempt at a store node, in milliseconds. After it another member of the partition is tried.
const ATTEMPT_TIMEOUT_MS: u64 = 600;

/// The operation of a call.
#[derive(Clone, Debug)]
pub enum BatchCall {
    /// Submits a job.
    Submit {
        /// The job, encoded as the store nodes keep it.
        job: Vec<u8>,
        /// When the job was received, in milliseconds of the wall clock.
        received_at_ms: u64,
    },
    /// Reads results.
    Read {
        /// Only results with a higher sequence number are returned.
        after: u64,
        /// How long the store node may wait for the first result, in milliseconds.
        wait_ms: u32,
    },
    /// Reads the body of an item.
    ItemBody {
        /// The item's id.
        item: String,
    },
    /// Ends the job.
    End,
}

/// The final response to the client of a call.
#[derive(Debug)]
pub enum BatchResponse {
    /// The job is committed.
    Accepted,
    /// The job was not accepted, and no part of it has run or will run.
    Rejected {
        /// Evidence that no attempt of the submission was accepted.
        proof: NeverExecuted,
        /// The time after which the client may try again, in milliseconds.
        retry_after_ms: u32,
    },
    /// It is unknown whether the job was accepted or ended. The status of the response promises neither.
    OutcomeUnknown,
    /// There is no such job or item.
    NotFound,
    /// No store node can give a definite response now.
    Unavailable,
    /// Results of a job.
    Results {
        /// The number of items in the job.
        total: u32,
        /// The sequence number that precedes the first of the results.
        after: u64,
        /// The results.
        outcomes: Vec<ItemOutcome>,
    },
    /// The body of an item.
    Body(Vec<u8>),
    /// The job has ended.
    Ended,
    /// The job belongs to another tenant.
    OtherTenant,
}

/// An attempt of a call at a store node.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    store: NodeAddress,
    /// When the call is attempted at another store node.
    times_out_at: u64,
}

#[derive(Debug)]
struct PendingCall {
    /// Id of the job.
    job: String,
    /// The tenant of the client, if any.
    tenant: Option<String>,
    call: BatchCall,
    deadline: u64,
    in_flight: Option<Attempt>,
    retry_at: u64,
    attempts: usize,
    /// The attempts so far. A store node may receive the message of one attempt more than once.
    tracker: AttemptTracker,
}

/// The final response to a call.
#[derive(Debug)]
pub struct CallResponse {
    /// The call.
    pub call: CallId,
    /// The response.
    pub response: BatchResponse,
}

/// The pending calls about batch jobs.
#[derive(Default, Debug)]
pub struct BatchCalls {
    pending: HashMap<CallId, PendingCall>,
    last: u64,
}

/// Returns the store partition of a job.
pub fn partition_of(job: &str, partitions: usize) -> u16 {
    (fingerprint(job.as_bytes()) % partitions.max(1) as u64) as u16
}

impl BatchCalls {
    /// Returns the number of pending calls.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Begins a tenant's call about the job `job`. It is sent with the next [`BatchCalls::tick`].
    pub fn begin(&mut self, now: u64, job: &str, tenant: Option<&str>, call: BatchCall) -> CallId {
        self.last += 1;
        let id = CallId(self.last);
        self.pending.insert(id, PendingCall::new(now, job, tenant, call));
        id
    }

    /// Drops a call whose client has disconnected. If it is a submission that was sent, the job may still be accepted.
    pub fn remove(&mut self, call: CallId) {
        self.pending.remove(&call);
    }

    /// Expires calls and begins the attempts that are due. `is_up` returns whether the link to a store node is up,
    /// `same_zone` whether a store node is in this gateway's zone.
    pub fn tick(
        &mut self,
        now: u64,
        state: &ControlState,
        is_up: &dyn Fn(NodeAddress) -> bool,
        same_zone: &dyn Fn(NodeAddress) -> bool,
        outgoing: &mut Vec<OutboundMessage>,
        responses: &mut Vec<CallResponse>,
    ) {
        for (id, pending) in &mut self.pending {
            if now >= pending.deadline {
                responses.push(CallResponse { call: *id, response: pending.expire() });
                continue;
            }
            if !pending.is_due(now) {
                continue;
            }
            pending.retry_at = now + RETRY_MS;
            let partitions = state.partitions();
            let partition = partition_of(&pending.job, partitions.len());
            let Some(placement) = partitions.get(usize::from(partition)) else { continue };
            let members: Vec<NodeAddress> = placement.members.iter().map(|member| member.address).collect();
            let Some(store) = pending.pick(&members, is_up, same_zone) else { continue };
            if !pending.begin_attempt(now, store) {
                continue;
            }
            outgoing.push(OutboundMessage { store, message: pending.message(now, *id, partition) });
        }
        for CallResponse { call, .. } in responses.iter() {
            self.pending.remove(call);
        }
    }

    /// Ends every pending call with its final response, as the process is about to exit.
    pub fn end_all(&mut self) -> Vec<CallResponse> {
        let response =
            |(call, pending): (CallId, PendingCall)| CallResponse { call, response: pending.expire() };
        self.pending.drain().map(response).collect()
    }

    /// Handles a store node's response. Returns the response to the client, or `None` if the call is still pending. A
    /// response of a kind that doesn't fit the call's operation is ignored.
    pub fn response_received(
        &mut self,
        now: u64,
        call: CallId,
        store_response: StoreResponse,
    ) -> Option<BatchResponse> {
        let pending = self.pending.get_mut(&call)?;
        if !pending.call.allows(&store_response) {
            let CallId(number) = call;
            log::warn!(
                "jobs: store node sent a response of the wrong kind to call {number}; check its version"
            );
            return None;
        }
        let is_rejected = matches!(store_response, StoreResponse::Rejected { .. });
        pending.end_attempt(is_rejected.then(NotExecuted::from_store));
        let response = match store_response {
            StoreResponse::Accepted => BatchResponse::Accepted,
            StoreResponse::Rejected { retry_after_ms } => match pending.tracker.never_executed() {
                Some(proof) => BatchResponse::Rejected { proof, retry_after_ms },
                // This store node didn't accept the job, but an earlier attempt may have been accepted elsewhere.
                None => {
                    pending.retry_at = now + RETRY_MS;
                    return None;
                }
            },
            StoreResponse::NotFound => BatchResponse::NotFound,
            StoreResponse::OutcomeUnknown | StoreResponse::Unavailable => {
                pending.retry_at = now + RETRY_MS;
                return None;
            }
            StoreResponse::Results { total, next, outcomes } => {
                let after = next.saturating_sub(outcomes.len() as u64);
                BatchResponse::Results { total, after, outcomes }
            }
            StoreResponse::Body(body) => BatchResponse::Body(body),
            StoreResponse::Ended => BatchResponse::Ended,
            StoreResponse::OtherTenant => BatchResponse::OtherTenant,
        };
        self.pending.remove(&call);
        Some(response)
    }

    /// Handles the loss of the link to a store node: calls in flight there are retried at once.
    pub fn store_lost(&mut self, now: u64, store: NodeAddress) {
        for pending in self.pending.values_mut() {
            if pending.in_flight.is_some_and(|attempt| attempt.store == store) {
                pending.end_attempt(None);
                pending.retry_at = now;
            }
        }
    }

    /// Returns when [`BatchCalls::tick`] has to be called next.
    pub fn next_wakeup(&self) -> u64 {
        self.pending.values().map(PendingCall::next_due).min().unwrap_or(u64::MAX)
    }
}

impl BatchCall {
    /// Whether a response is of a kind that fits this operation.
    fn allows(&self, response: &StoreResponse) -> bool {
        match response {
            StoreResponse::Accepted | StoreResponse::Rejected { .. } | StoreResponse::OutcomeUnknown => {
                matches!(self, BatchCall::Submit { .. })
            }
            StoreResponse::NotFound | StoreResponse::OtherTenant => !matches!(self, BatchCall::Submit { .. }),
            StoreResponse::Unavailable => true,
            StoreResponse::Results { .. } => matches!(self, BatchCall::Read { .. }),
            StoreResponse::Body(_) => matches!(self, BatchCall::ItemBody { .. }),
            StoreResponse::Ended => matches!(self, BatchCall::End),
        }
    }
}

impl PendingCall {
    fn new(now: u64, job: &str, tenant: Option<&str>, call: BatchCall) -> PendingCall {
        let allowed_ms = match &call {
            BatchCall::Submit { .. } => SUBMIT_TIMEOUT_MS,
            BatchCall::Read { wait_ms, .. } => u64::from(*wait_ms) + READ_TIMEOUT_MS,
            _ => READ_TIMEOUT_MS,
        };
        PendingCall {
            job: job.to_owned(),
            tenant: tenant.map(str::to_owned),
            call,
            deadline: now + allowed_ms,
            in_flight: None,
            retry_at: now,
            attempts: 0,
            tracker: AttemptTracker::new(Idempotency::Idempotent),
        }
    }

    /// Whether an attempt is due. An attempt in flight that has timed out is ended.
    fn is_due(&mut self, now: u64) -> bool {
        if let Some(attempt) = self.in_flight {
            if now < attempt.times_out_at {
                return false;
            }
            self.end_attempt(None);
        }
        now >= self.retry_at
    }

    /// Returns when [`PendingCall::is_due`] or the deadline has to be checked next.
    fn next_due(&self) -> u64 {
        self.deadline.min(self.in_flight.map_or(self.retry_at, |attempt| attempt.times_out_at))
    }

    /// Begins an attempt at a store node. Returns false if the call must not be attempted again.
    fn begin_attempt(&mut self, now: u64, store: NodeAddress) -> bool {
        if self.tracker.begin().is_none() {
            return false;
        }
        self.attempts += 1;
        let times_out_at = now + self.wait_left_ms(now) + ATTEMPT_TIMEOUT_MS;
        self.in_flight = Some(Attempt { store, times_out_at });
        true
    }

    /// Ends the attempt in flight, whose store node has responded or is no longer waited for.
    fn end_attempt(&mut self, proof: Option<NotExecuted>) {
        self.in_flight = None;
        self.tracker.end(proof);
    }

    /// Picks the store node for the next attempt. Submissions and ends are sent to the head of the partition. Reads are
    /// sent to a member in this zone if there is one, and to the next member with every further attempt.
    fn pick(
        &self,
        members: &[NodeAddress],
        is_up: &dyn Fn(NodeAddress) -> bool,
        same_zone: &dyn Fn(NodeAddress) -> bool,
    ) -> Option<NodeAddress> {
        match self.call {
            BatchCall::Submit { .. } | BatchCall::End => {
                members.first().copied().filter(|member| is_up(*member))
            }
            _ => {
                let mut usable: Vec<NodeAddress> =
                    members.iter().copied().filter(|member| is_up(*member)).collect();
                usable.sort_by_key(|member| !same_zone(*member));
                (!usable.is_empty()).then(|| usable[self.attempts % usable.len()])
            }
        }
    }

    /// Returns how long a store node may wait for results, in milliseconds: the time left of the wait that the client
    /// allows. A read that is attempted after that gets its response immediately, before this gateway has to end it.
    fn wait_left_ms(&self, now: u64) -> u64 {
        match self.call {
            BatchCall::Read { .. } => self.deadline.saturating_sub(READ_TIMEOUT_MS + now),
            _ => 0,
        }
    }

    fn message(&self, now: u64, id: CallId, partition: u16) -> GatewayMessage {
        let CallId(call) = id;
        let (id, tenant) = (self.job.clone(), self.tenant.clone());
        match &self.call {
            BatchCall::Submit { job, received_at_ms } => GatewayMessage::SubmitJob {
                request_id: call,
                partition,
                id,
                job: job.clone(),
                received_at_ms: *received_at_ms,
            },
            BatchCall::Read { after, .. } => GatewayMessage::ReadResults {
                request_id: call,
                partition,
                id,
                after: *after,
                wait_ms: self.wait_left_ms(now) as u32,
                tenant,
            },
            BatchCall::ItemBody { item } => {
                GatewayMessage::ReadItemBody { request_id: call, partition, id, item: item.clone(), tenant }
            }
            BatchCall::End => GatewayMessage::EndJob { request_id: call, partition, id, tenant },
        }
    }

    /// Returns the response at the deadline. A submission or an end that was sent may have been executed.
    fn expire(&self) -> BatchResponse {
        match (&self.call, self.tracker.never_executed()) {
            (BatchCall::Submit { .. }, Some(proof)) => {
                BatchResponse::Rejected { proof, retry_after_ms: UNSENT_RETRY_AFTER_MS }
            }
            (BatchCall::Submit { .. } | BatchCall::End, None) => BatchResponse::OutcomeUnknown,
            _ => BatchResponse::Unavailable,
        }
    }
}
