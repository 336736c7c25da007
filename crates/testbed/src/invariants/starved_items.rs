//! The invariant LOST for items that the system does not dispatch: a step misses its deadline while one of its items
//! is at no server, although servers are free and nothing is disrupted.

use std::collections::{BTreeMap, HashMap, HashSet};

use super::context::CheckContext;
use super::invariant::Invariant;
use crate::observation::Observation;

/// Time that an item must have been at no server to count as starved, in milliseconds.
const STARVED_MS: u64 = 5_000;
/// Time after the announcement of a version during which servers load weights and take no items, in milliseconds.
const LOADING_MS: u64 = 6_000;
/// Time after the last start of an item during which servers may be busy with other models, in milliseconds.
const BUSY_MS: u64 = 3_000;

/// What servers did with an item.
#[derive(Clone, Copy, Debug, Default)]
struct ItemActivity {
    has_begun: bool,
    /// Number of executions without a response. A cancelled execution stays in this count.
    open: u32,
    /// Whether the item was finished, or failed by a server.
    is_over: bool,
    last_at: u64,
}

/// The facts about a step that this check needs.
#[derive(Clone, Debug)]
struct Step {
    items: Vec<String>,
    first_sent: u64,
    deadline_ms: u64,
    accepted_at: Option<u64>,
}

/// All items, and the steps that they belong to.
#[derive(Debug, Default)]
pub(super) struct StarvedItems {
    steps: BTreeMap<String, Step>,
    items: HashMap<String, ItemActivity>,
    cancelled: HashSet<String>,
    last_begun_at: Option<u64>,
    last_version_at: Option<u64>,
}

impl StarvedItems {
    pub fn observe(&mut self, context: &mut CheckContext, observation: &Observation) {
        match observation {
            Observation::JobSent(sent) => {
                for item in &sent.items {
                    self.items.entry(item.id.clone()).or_default();
                }
                self.steps.entry(sent.job.clone()).or_insert_with(|| Step {
                    items: sent.items.iter().map(|item| item.id.clone()).collect(),
                    first_sent: context.now,
                    deadline_ms: sent.deadline_ms,
                    accepted_at: None,
                });
            }
            Observation::JobSendEnded { job, status: Some(202) } => {
                if let Some(step) = self.steps.get_mut(job) {
                    step.accepted_at.get_or_insert(context.now);
                }
            }
            Observation::ExecutionStarted { id, .. } => self.begun(context.now, id),
            Observation::EventEmitted { id, .. } => self.active(context.now, id),
            Observation::ResponseSent { id, status, .. } => self.responded(context.now, id, *status),
            Observation::VersionAnnounced { .. } => self.last_version_at = Some(context.now),
            Observation::JobCancelSent { job } => self.check(context, job),
            _ => {}
        }
    }

    fn begun(&mut self, now: u64, id: &str) {
        if let Some(item) = self.items.get_mut(id) {
            item.has_begun = true;
            item.open += 1;
            item.last_at = now;
            self.last_begun_at = Some(now);
        }
    }

    fn active(&mut self, now: u64, id: &str) {
        if let Some(item) = self.items.get_mut(id) {
            item.last_at = now;
        }
    }

    fn responded(&mut self, now: u64, id: &str, status: u16) {
        if let Some(item) = self.items.get_mut(id) {
            item.open = item.open.saturating_sub(1);
            item.last_at = now;
            item.is_over |= (200..300).contains(&status) || matches!(status, 422 | 500);
        }
    }

    /// Checks the items of a step that its trainer abandons.
    fn check(&mut self, context: &mut CheckContext, job: &str) {
        let Some(step) = self.steps.get(job) else { return };
        let now = context.now;
        let ran_out_of_time = now >= step.first_sent + step.deadline_ms;
        if !self.cancelled.insert(job.to_owned()) || !ran_out_of_time {
            return;
        }
        let has_elapsed = |at: Option<u64>, time_ms: u64| at.is_none_or(|at| at + time_ms <= now);
        let are_servers_available =
            has_elapsed(self.last_version_at, LOADING_MS) && has_elapsed(self.last_begun_at, BUSY_MS);
        let is_undisrupted = now >= STARVED_MS && context.is_undisrupted_since(now - STARVED_MS);
        let others_began = step.items.iter().any(|item| self.items[item].has_begun);
        let Some(accepted_at) =
            step.accepted_at.filter(|_| are_servers_available && is_undisrupted && others_began)
        else {
            return;
        };
        let is_starved = |item: &ItemActivity| {
            !item.is_over && item.open == 0 && item.last_at.max(accepted_at) + STARVED_MS <= now
        };
        if let Some(item) = step.items.iter().find(|item| is_starved(&self.items[*item])) {
            let detail = format!("was at no server for {STARVED_MS} ms when step {job} ran out of time");
            context.violate(Invariant::Lost, item, detail);
        }
    }
}
