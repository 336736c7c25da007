//! Tracks which items of a batch job have no result yet, and whether enough groups are complete.

use std::collections::BTreeMap;

use super::groups::Group;
use crate::observation::ItemResult;

/// The groups of a batch job, with the numbers of their items that have no result yet.
#[derive(Debug)]
pub(super) struct GroupProgress {
    groups: Vec<Group>,
    /// Number of groups carried over from an earlier batch job; they are the first ones.
    carried_over: usize,
    /// Index of the group of each item without a result.
    outstanding: BTreeMap<String, usize>,
    /// Number of items without a result, by group.
    outstanding_in_group: Vec<usize>,
    /// Time at which all required groups were complete.
    complete_at: Option<u64>,
}

impl GroupProgress {
    /// Returns groups without results. The first `carried_over` ones come from an earlier batch job.
    pub fn new(groups: Vec<Group>, carried_over: usize) -> GroupProgress {
        let numbered = groups.iter().enumerate();
        let outstanding = numbered
            .flat_map(|(number, group)| group.items.iter().map(move |item| (item.sent.id.clone(), number)))
            .collect();
        let outstanding_in_group = groups.iter().map(|group| group.items.len()).collect();
        GroupProgress { groups, carried_over, outstanding, outstanding_in_group, complete_at: None }
    }

    /// Records results that were read for the first time. The batch job is complete as soon as all groups carried
    /// over are complete, and at least `required_groups` groups in total.
    pub fn record(&mut self, now: u64, results: &[ItemResult], required_groups: usize) {
        for result in results {
            if let Some(group) = self.outstanding.remove(&result.item) {
                self.outstanding_in_group[group] -= 1;
            }
        }
        let carried_over_are_complete =
            self.outstanding_in_group[..self.carried_over].iter().all(|outstanding| *outstanding == 0);
        if self.complete_at.is_none()
            && carried_over_are_complete
            && self.complete_groups() >= required_groups
        {
            self.complete_at = Some(now);
        }
    }

    /// Returns the time at which all required groups were complete.
    pub fn complete_at(&self) -> Option<u64> {
        self.complete_at
    }

    /// Returns up to `most` incomplete groups, which a later batch job takes over.
    pub fn groups_to_carry_over(&self, most: usize) -> Vec<Group> {
        let open = self.groups.iter().zip(&self.outstanding_in_group);
        let open = open.filter(|(_, outstanding)| **outstanding > 0);
        open.map(|(group, _)| group.clone()).take(most).collect()
    }

    fn complete_groups(&self) -> usize {
        self.outstanding_in_group.iter().filter(|outstanding| **outstanding == 0).count()
    }

    /// Returns the id of an item without a result, if there is one.
    pub fn any_outstanding(&self) -> Option<&str> {
        self.outstanding.keys().next().map(String::as_str)
    }
}
