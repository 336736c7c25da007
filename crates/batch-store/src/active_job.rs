//! A job with missing results: which items have a result, and which group is assigned to which gateway.

use std::collections::BTreeMap;

use compact_str::CompactString;
use orchidvalve_batch::Job;

use crate::gateways::GatewayId;

/// The state of a group that determines where it runs.
#[derive(Debug, Default)]
pub(crate) struct Group {
    items: Vec<u32>,
    missing_results: u32,
    assigned_to: Option<GatewayId>,
    not_before_ms: u64,
}

impl Group {
    /// Returns the indices of the group's items in the job.
    pub fn items(&self) -> &[u32] {
        &self.items
    }

    /// Returns the number of items without a result.
    pub fn missing_results(&self) -> u32 {
        self.missing_results
    }

    /// Returns the gateway that holds a lease on the group.
    pub fn assigned_to(&self) -> Option<GatewayId> {
        self.assigned_to
    }

    /// Returns whether the group has missing results and is assigned to no gateway.
    pub fn is_unassigned(&self) -> bool {
        self.assigned_to.is_none() && self.missing_results > 0
    }

    /// Returns whether the group may be assigned at `now_ms`, a time of the monotonic clock in milliseconds.
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.not_before_ms <= now_ms
    }
}

/// The state of a job that is needed only while results are missing.
#[derive(Debug)]
pub(crate) struct ActiveJob {
    job: Box<Job>,
    item_indices: BTreeMap<CompactString, u32>,
    has_result: Vec<bool>,
    /// The number of responses with status 500 that gateways have reported for an item, by the item's index. Not
    /// replicated: a new head starts with empty counts.
    failures: BTreeMap<u32, u32>,
    groups: Vec<Group>,
    /// Number of groups in which every item has a result.
    finished_groups: u32,
    assigned_groups: u32,
    /// All groups before this index are assigned or finished.
    first_unassigned: usize,
}

impl ActiveJob {
    /// Returns a job without results and with all groups unassigned.
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

    /// Returns the job as submitted.
    pub fn job(&self) -> &Job {
        &self.job
    }

    /// Returns all groups in the order of the job.
    pub fn groups(&self) -> &[Group] {
        &self.groups
    }

    /// Returns the number of groups that are assigned or finished.
    pub fn started_groups(&self) -> u32 {
        self.finished_groups + self.assigned_groups
    }

    /// Returns whether a group is neither assigned nor finished.
    pub fn has_unassigned_group(&self) -> bool {
        self.started_groups() < self.groups.len() as u32
    }

    /// Returns the number of items without a result in the first `max_groups` unassigned groups.
    pub fn unassigned_items(&self, max_groups: u32) -> u32 {
        let waiting = self.groups.iter().skip(self.first_unassigned).filter(|group| group.is_unassigned());
        waiting.take(max_groups as usize).map(Group::missing_results).sum()
    }

    /// Returns the index of the item `item` in the job.
    pub fn item_index(&self, item: &str) -> Option<u32> {
        self.item_indices.get(item).copied()
    }

    /// Returns whether the item at `index` has a result.
    pub fn has_result(&self, index: u32) -> bool {
        self.has_result[index as usize]
    }

    /// Returns the indices of the items without a result.
    pub fn items_without_result(&self) -> impl Iterator<Item = u32> {
        self.has_result.iter().zip(0..).filter(|(has_result, _)| !**has_result).map(|(_, index)| index)
    }

    /// Returns an index before which no group is unassigned.
    pub fn first_unassigned(&self) -> usize {
        self.first_unassigned
    }

    /// Records that no group before `index` is unassigned.
    pub fn set_first_unassigned(&mut self, index: usize) {
        self.first_unassigned = index;
    }

    /// Assigns an unassigned group to a gateway.
    pub fn assign(&mut self, index: usize, gateway: GatewayId) {
        self.groups[index].assigned_to = Some(gateway);
        self.assigned_groups += 1;
    }

    /// Revokes the assignment of a group, which is not assigned again before `not_before_ms`. Returns the number of its
    /// items without a result, or 0 if it was not assigned.
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

    /// Revokes the assignments of all groups, or only those of the gateway `only`. Calls `revoked` for each with the
    /// gateway and the number of items without a result.
    pub fn revoke_all(&mut self, only: Option<GatewayId>, mut revoked: impl FnMut(GatewayId, u32)) {
        for index in 0..self.groups.len() {
            let assigned_to = self.groups[index].assigned_to;
            if let Some(gateway) = assigned_to.filter(|&gateway| only.is_none_or(|only| only == gateway)) {
                revoked(gateway, self.revoke(index, 0));
            }
        }
    }

    /// Records that an item has failed `count` times. A count below the recorded one is ignored: gateways may report
    /// different counts.
    pub fn record_failures(&mut self, index: u32, count: u32) {
        let known = self.failures.entry(index).or_default();
        *known = count.max(*known);
    }

    /// Returns how often an item has failed.
    pub fn failures(&self, index: u32) -> u32 {
        self.failures.get(&index).copied().unwrap_or(0)
    }

    /// Records that an item has a result. Returns the gateway to which its group was assigned.
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

    /// Returns whether every item has a result.
    pub fn is_finished(&self) -> bool {
        self.finished_groups as usize == self.groups.len()
    }
}
