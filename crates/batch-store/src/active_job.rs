//! A job while results are missing: which items have one, and which group is assigned to which gateway.

use std::collections::BTreeMap;

use compact_str::CompactString;
use orchidvalve_batch::Job;

use crate::gateways::GatewayId;

/// The part of a group's state that decides where it runs.
#[derive(Debug, Default)]
pub(crate) struct Group {
    items: Vec<u32>,
    missing_results: u32,
    assigned_to: Option<GatewayId>,
    not_before_ms: u64,
}

impl Group {
    /// Indices of its items in the job.
    pub fn items(&self) -> &[u32] {
        &self.items
    }

    /// Number of its items without a result.
    pub fn missing_results(&self) -> u32 {
        self.missing_results
    }

    /// The gateway that has a lease on the group.
    pub fn assigned_to(&self) -> Option<GatewayId> {
        self.assigned_to
    }

    /// Whether it waits for a gateway.
    pub fn is_unassigned(&self) -> bool {
        self.assigned_to.is_none() && self.missing_results > 0
    }

    /// Whether it may be assigned already, by the monotonic clock.
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.not_before_ms <= now_ms
    }
}

/// What is needed of a job while results are missing.
#[derive(Debug)]
pub(crate) struct ActiveJob {
    job: Box<Job>,
    item_indices: BTreeMap<CompactString, u32>,
    has_result: Vec<bool>,
    /// Responses of 500 that gateways have reported, by the index of the item. Not replicated: a new head begins
    /// without them.
    failures: BTreeMap<u32, u32>,
    groups: Vec<Group>,
    /// Groups of which every item has a result.
    finished_groups: u32,
    assigned_groups: u32,
    /// No group before this one waits for a gateway.
    first_unassigned: usize,
}

impl ActiveJob {
    /// A job without results, none of whose groups is assigned.
    pub fn new(job: Box<Job>) -> ActiveJob {
        let groups = job.groups().into_iter().map(|items| Group {
            missing_results: items.len() as u32,
            items,
            ..Group::default()
        });
        ActiveJob {
            item_indices: job
                .items()
                .zip(0..)
                .map(|(item, index)| (CompactString::from(item.id()), index))
                .collect(),
            has_result: vec![false; job.len()],
            failures: BTreeMap::new(),
            groups: groups.collect(),
            finished_groups: 0,
            assigned_groups: 0,
            first_unassigned: 0,
            job,
        }
    }

    /// The job as it was submitted.
    pub fn job(&self) -> &Job {
        &self.job
    }

    /// All groups, in the order of the job.
    pub fn groups(&self) -> &[Group] {
        &self.groups
    }

    /// Groups that are assigned or finished.
    pub fn started_groups(&self) -> u32 {
        self.finished_groups + self.assigned_groups
    }

    /// Whether a group waits for a gateway.
    pub fn has_unassigned_group(&self) -> bool {
        self.started_groups() < self.groups.len() as u32
    }

    /// Items without a result of up to `max_groups` groups that wait for a gateway.
    pub fn unassigned_items(&self, max_groups: u32) -> u32 {
        let waiting = self.groups.iter().skip(self.first_unassigned).filter(|group| group.is_unassigned());
        waiting.take(max_groups as usize).map(Group::missing_results).sum()
    }

    /// Index of an item in the job.
    pub fn item_index(&self, item: &str) -> Option<u32> {
        self.item_indices.get(item).copied()
    }

    /// Whether the item of this index has a result.
    pub fn has_result(&self, index: u32) -> bool {
        self.has_result[index as usize]
    }

    /// Indices of the items without a result.
    pub fn items_without_result(&self) -> impl Iterator<Item = u32> {
        self.has_result.iter().zip(0..).filter(|(has_result, _)| !**has_result).map(|(_, index)| index)
    }

    /// No group before this index waits for a gateway.
    pub fn first_unassigned(&self) -> usize {
        self.first_unassigned
    }

    /// Notes that no group before this index waits for a gateway.
    pub fn set_first_unassigned(&mut self, index: usize) {
        self.first_unassigned = index;
    }

    /// Assigns a group that waits for a gateway.
    pub fn assign(&mut self, index: usize, gateway: GatewayId) {
        self.groups[index].assigned_to = Some(gateway);
        self.assigned_groups += 1;
    }

    /// Takes a group away from its gateway; it isn't assigned again before `not_before_ms`. Returns how many of its
    /// items had no result.
    pub fn revoke(&mut self, index: usize, not_before_ms: u64) -> u32 {
        let group = &mut self.groups[index];
        if group.assigned_to.take().is_none() {
            return 0;
        }
        group.not_before_ms = not_before_ms;
        self.assigned_groups -= 1;
        self.first_unassigned = self.first_unassigned.min(index);
        group.missing_results
    }

    /// Takes all groups away from their gateways, or only those of one of them. Calls `revoked` with the gateway and
    /// the number of items without a result, for each.
    pub fn revoke_all(&mut self, only: Option<GatewayId>, mut revoked: impl FnMut(GatewayId, u32)) {
        for index in 0..self.groups.len() {
            let assigned_to = self.groups[index].assigned_to;
            if let Some(gateway) = assigned_to.filter(|&gateway| only.is_none_or(|only| only == gateway)) {
                revoked(gateway, self.revoke(index, 0));
            }
        }
    }

    /// Notes that an item has failed so often; a gateway that knows less than another takes nothing back.
    pub fn record_failures(&mut self, index: u32, count: u32) {
        let known = self.failures.entry(index).or_default();
        *known = count.max(*known);
    }

    /// How often an item has failed.
    pub fn failures(&self, index: u32) -> u32 {
        self.failures.get(&index).copied().unwrap_or(0)
    }

    /// Notes that an item has a result. Returns the gateway that worked on it.
    pub fn record_result(&mut self, index: u32) -> Option<GatewayId> {
        self.has_result[index as usize] = true;
        let group = self.job.item(index as usize)?.group() as usize;
        let group = self.groups.get_mut(group)?;
        group.missing_results -= 1;
        let gateway = group.assigned_to;
        if group.missing_results == 0 {
            self.finished_groups += 1;
            if group.assigned_to.take().is_some() {
                self.assigned_groups -= 1;
            }
        }
        gateway
    }

    /// Whether every item has a result.
    pub fn is_finished(&self) -> bool {
        self.finished_groups as usize == self.groups.len()
    }
}
