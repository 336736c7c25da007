//! Invariants for the results of one batch job: LOST, TWICE, MIXED, ORDER, VERSION.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::context::CheckContext;
use super::invariant::Invariant;
use super::outputs::{OutputDefect, check_text, last_event_emitted, possible_versions};
use super::server_log::{ResponseRecord, ServerLog};
use crate::clients::NOT_EXECUTED_STATUSES;
use crate::credentials::Credentials;
use crate::observation::{ItemResult, ItemSent, JobSent};

/// A page of results of a batch job that was read in one response.
pub(super) struct PageRead<'a> {
    /// Number of items in the batch job, as the response states it.
    pub total: u64,
    /// Number of results before the requested page.
    pub after: u64,
    /// Number of results up to the end of the page.
    pub next: u64,
    pub results: &'a [ItemResult],
}

/// A result with the time at which it was first read.
#[derive(Debug)]
struct ResultRecord {
    first_read: u64,
    result: ItemResult,
}

/// A batch job: its submissions, and the results that were read.
#[derive(Debug)]
pub(super) struct JobRecord {
    pub sent: JobSent,
    /// The credentials of all submissions together, since any of them may be the accepted one.
    pub credentials: Credentials,
    pub first_sent: u64,
    pub sends: u64,
    rejections: u64,
    pub accepted_at: Option<u64>,
    pub cancel_sent: bool,
    pub cancelled_at: Option<u64>,
    results: BTreeMap<u64, ResultRecord>,
    /// Position of the result of each item that has one.
    position_of: HashMap<String, u64>,
}

impl JobRecord {
    /// Records the first submission of a batch job.
    pub fn new(now: u64, sent: JobSent) -> JobRecord {
        JobRecord {
            credentials: sent.credentials.clone(),
            sent,
            first_sent: now,
            sends: 1,
            rejections: 0,
            accepted_at: None,
            cancel_sent: false,
            cancelled_at: None,
            results: BTreeMap::new(),
            position_of: HashMap::new(),
        }
    }

    /// Records the end of a submission.
    pub fn send_ended(&mut self, now: u64, status: Option<u16>) {
        match status {
            Some(202) => {
                self.accepted_at.get_or_insert(now);
            }
            Some(status) if NOT_EXECUTED_STATUSES.contains(&status) => self.rejections += 1,
            _ => {}
        }
    }

    /// Whether every submission received a status that promises that nothing of the job is executed.
    pub fn is_rejected(&self) -> bool {
        self.rejections >= self.sends && self.accepted_at.is_none()
    }

    /// Checks a page of results against earlier pages and against the record of the servers.
    pub fn check_page(&mut self, context: &mut CheckContext, server_log: &ServerLog, page: &PageRead<'_>) {
        let (id, PageRead { total, after, next, results }) = (self.sent.job.clone(), page);
        if *total != self.sent.items.len() as u64 {
            let detail = format!("total is {total}, sent were {}", self.sent.items.len());
            context.violate(Invariant::Mixed, &id, detail);
        }
        if *next != after + results.len() as u64 {
            let detail = format!("next-token is {next} after {} results", results.len());
            context.violate(Invariant::Mixed, &id, detail);
        }
        let first_read = self.results.get(after).map(|record| record.first_read);
        let is_lost =
            results.is_empty() && first_read.is_some_and(|at| at + context.bounds.settle_ms < context.now);
        if is_lost && context.is_undisrupted_since(context.now) {
            let detail = format!("has nothing at position {after}, which was read before");
            context.violate(Invariant::Lost, &id, detail);
        }
        for (result, position) in results.iter().zip(*after..) {
            self.check_result(context, server_log, position, result);
        }
    }

    fn check_result(
        &mut self,
        context: &mut CheckContext,
        server_log: &ServerLog,
        position: u64,
        result: &ItemResult,
    ) {
        if let Some(record) = self.results.get(&position) {
            if record.result != *result {
                let (before, now) = (&record.result.item, &result.item);
                let detail = format!("position {position} held {before} and now holds {now}");
                context.violate(Invariant::Twice, &self.sent.job, detail);
            }
            return;
        }
        if let Some(other) = self.position_of.get(&result.item) {
            let detail = format!("stands at position {other} and at position {position}");
            context.violate(Invariant::Twice, &result.item, detail);
        }
        self.results.insert(position, ResultRecord { first_read: context.now, result: result.clone() });
        self.position_of.insert(result.item.clone(), position);
        let Some(item) = self.sent.items.iter().find(|item| item.id == result.item) else {
            let detail = format!("stands among the results of batch job {}", self.sent.job);
            return context.violate(Invariant::Mixed, &result.item, detail);
        };
        match result.state.as_str() {
            "completed" => self.check_completed(context, server_log, item, result),
            "expired" => self.check_expired(context, server_log, item),
            other => context.violate(Invariant::Mixed, &item.id, format!("has the unknown state {other}")),
        }
    }

    /// Checks that an item expired because its attempts failed, its time was over, or its batch job was cancelled.
    fn check_expired(&self, context: &mut CheckContext, server_log: &ServerLog, item: &ItemSent) {
        let has_failed = [&item.id, &item.reward.id]
            .iter()
            .any(|id| server_log.count_responses(id, 500) >= self.sent.max_attempts);
        let is_over = context.now >= self.first_sent + self.sent.max_queue_ms;
        if !has_failed && !is_over && !self.cancel_sent {
            context.violate(Invariant::Mixed, &item.id, "is expired without a reason");
        }
    }

    fn check_completed(
        &self,
        context: &mut CheckContext,
        server_log: &ServerLog,
        item: &ItemSent,
        result: &ItemResult,
    ) {
        match check_text(&item.id, &result.message, item.events) {
            Err(OutputDefect::Disordered) => {
                let detail = "its text misses events or holds some twice";
                return context.violate(Invariant::Order, &item.id, detail);
            }
            Err(defect) => {
                let detail = format!("its text isn't the whole output: {defect}");
                return context.violate(Invariant::Mixed, &item.id, detail);
            }
            Ok(()) => {}
        }
        let possible = possible_versions(server_log.executions(&item.id), item.events);
        if possible.is_empty() {
            let detail = "its text goes on with an execution that wasn't asked to go on there";
            context.violate(Invariant::Order, &item.id, detail);
        } else {
            self.check_versions(context, item, result, &possible);
        }
        check_score(context, server_log, item, result);
    }

    fn check_versions(
        &self,
        context: &mut CheckContext,
        item: &ItemSent,
        result: &ItemResult,
        possible: &[BTreeSet<u64>],
    ) {
        let versions: BTreeSet<u64> = result.versions.iter().copied().collect();
        if !possible.contains(&versions) {
            let detail = format!("names versions {versions:?}, its events were made under {possible:?}");
            context.violate(Invariant::Version, &item.id, detail);
        }
        let oldest = self.sent.min_version;
        if versions.first().is_some_and(|version| *version < oldest) {
            let detail = format!("has versions {versions:?}, the oldest allowed is {oldest}");
            context.violate(Invariant::Version, &item.id, detail);
        }
        if self.sent.single_version && versions.len() > 1 {
            let detail = format!("has versions {versions:?} where only one is allowed");
            context.violate(Invariant::Version, &item.id, detail);
        }
    }
}

/// Checks that the score is the signature of a successful reward call, which reached a server after the text was
/// complete.
fn check_score(context: &mut CheckContext, server_log: &ServerLog, item: &ItemSent, result: &ItemResult) {
    let has_score = |response: &ResponseRecord| {
        response.is_success() && Some(&response.signature) == result.score.as_ref()
    };
    let executions = server_log.executions(&item.reward.id);
    let scored = executions.iter().find(|execution| execution.response.as_ref().is_some_and(has_score));
    let Some(reward_call) = scored else {
        let detail = "its score isn't the signature of a success of its reward call";
        return context.violate(Invariant::Mixed, &item.id, detail);
    };
    let completed_at = last_event_emitted(server_log.executions(&item.id), item.events);
    if completed_at.is_none_or(|completed_at| reward_call.sequence < completed_at) {
        let detail = "its reward call reached a server before its text was whole";
        context.violate(Invariant::Mixed, &item.id, detail);
    }
}
