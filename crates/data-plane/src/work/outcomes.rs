//! Outcomes of items that store nodes haven't acknowledged yet. They are sent again until they are.

use std::collections::{BTreeMap, HashMap};

use orchidvalve_control_state::ControlState;
use orchidvalve_protocol::messages::{GatewayMessage, ItemOutcome, ItemState};

use super::JobKey;
use crate::generations::ItemResult;
use crate::store_links::OutboundMessage;
use crate::text_compression::TextCompressor;

/// The interval at which unacknowledged outcomes are sent again, in milliseconds.
const RESEND_MS: u64 = 1_000;

/// An outcome that its store node hasn't acknowledged.
#[derive(Debug)]
struct Unacknowledged {
    outcome: ItemOutcome,
    /// When the outcome was last sent; 0 if it is due at once.
    sent_at: u64,
}

impl Unacknowledged {
    fn is_due(&self, now: u64) -> bool {
        self.sent_at == 0 || now >= self.sent_at + RESEND_MS
    }
}

/// All unacknowledged outcomes, by job and item.
#[derive(Default)]
pub(super) struct OutcomeQueue {
    jobs: BTreeMap<JobKey, HashMap<String, Unacknowledged>>,
    compressor: TextCompressor,
}

impl OutcomeQueue {
    /// Adds the result of an item. It is sent with the next [`OutcomeQueue::take_due`].
    pub fn push(&mut self, job: JobKey, item: &str, result: ItemResult) {
        let outcome = match result {
            ItemResult::Completed { message, weight_versions, score } => ItemOutcome {
                item: item.to_owned(),
                state: ItemState::Completed,
                message: self.compressor.compress(&message),
                weight_versions,
                score: score.map(|signature| signature.to_string()),
            },
            ItemResult::Expired => ItemOutcome {
                item: item.to_owned(),
                state: ItemState::Expired,
                message: Vec::new(),
                weight_versions: Vec::new(),
                score: None,
            },
        };
        self.jobs.entry(job).or_default().insert(item.to_owned(), Unacknowledged { outcome, sent_at: 0 });
    }

    /// Whether an outcome of the item is waiting for an acknowledgement.
    pub fn contains(&self, job: &JobKey, item: &str) -> bool {
        self.jobs.get(job).is_some_and(|outcomes| outcomes.contains_key(item))
    }

    /// Drops the outcomes of a job that has ended.
    pub fn remove_job(&mut self, job: &JobKey) {
        self.jobs.remove(job);
    }

    /// Removes outcomes that a store node has acknowledged, which means that it has recorded them.
    pub fn acknowledge(&mut self, job: &JobKey, items: &[String]) {
        if let Some(outcomes) = self.jobs.get_mut(job) {
            for item in items {
                outcomes.remove(item);
            }
            if outcomes.is_empty() {
                self.jobs.remove(job);
            }
        }
    }

    /// Returns the outcomes to send now, as messages to the heads of their partitions.
    pub fn take_due(&mut self, now: u64, state: &ControlState) -> Vec<OutboundMessage> {
        let mut due = Vec::new();
        for (job, outcomes) in &mut self.jobs {
            let placement = state.partitions().get(usize::from(job.partition));
            let head = placement.and_then(|placement| placement.members.first());
            let mut batch = Vec::new();
            for unacknowledged in outcomes.values_mut().filter(|unacknowledged| unacknowledged.is_due(now)) {
                unacknowledged.sent_at = now;
                batch.push(unacknowledged.outcome.clone());
            }
            // Without a head the outcomes become due again after the resend interval.
            if let Some(head) = head.filter(|_| !batch.is_empty()) {
                let JobKey { partition, job } = job.clone();
                let message = GatewayMessage::ReportOutcomes { partition, job, outcomes: batch };
                due.push(OutboundMessage { store: head.address, message });
            }
        }
        due
    }

    /// Returns when [`OutcomeQueue::take_due`] has to be called next.
    pub fn next_wakeup(&self) -> u64 {
        let due = self.jobs.values().flat_map(HashMap::values).map(|entry| entry.sent_at + RESEND_MS);
        due.min().unwrap_or(u64::MAX)
    }

    /// Makes all outcomes due at once.
    pub fn resend_all(&mut self) {
        for unacknowledged in self.jobs.values_mut().flat_map(HashMap::values_mut) {
            unacknowledged.sent_at = 0;
        }
    }

    /// Returns the number of unacknowledged outcomes.
    pub fn len(&self) -> usize {
        self.jobs.values().map(HashMap::len).sum()
    }
}
