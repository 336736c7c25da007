//! The state of a group and what servers it needs.

use std::collections::HashMap;
use std::sync::Arc;

use compact_str::CompactString;
use orchidvalve_scheduler::{GroupKey, GroupSpec, PoolKey, Priority, RouteKey};

use super::interface::{GroupId, RouteFacts};
use super::item::ItemState;
use super::servers::{ModelKey, Servers};
use super::text::{Text, VersionRule};

/// What servers a group needs; groups that need the same share a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Requirements {
    /// The pool of the service.
    pub pool: PoolKey,
    /// The model, if the batch job names one.
    pub model: Option<ModelKey>,
    /// The oldest version of the weights.
    pub min_version: Option<u64>,
}

impl Requirements {
    /// Whether some server may resume the text: one that must have a single version needs a server that serves it.
    pub fn allow_resuming(&self, text: &Text, rule: VersionRule, servers: &Servers) -> bool {
        let bound_to = text.single_version().filter(|_| rule.single).zip(self.model);
        bound_to.is_none_or(|(version, model)| servers.any_serves(self.pool, model, version))
    }

    /// Whether no server that isn't draining could run the group, as far as is known.
    pub fn are_unservable(&self, servers: &Servers) -> bool {
        let min_version = self.min_version.unwrap_or(0);
        self.model.is_some_and(|model| !servers.any_serves_from(self.pool, model, min_version))
    }
}

/// An open group.
pub struct Group {
    /// Where reports go.
    pub id: GroupId,
    /// The route of the batch job.
    pub route: Arc<RouteFacts>,
    /// Names the route to the scheduler.
    pub route_key: RouteKey,
    /// What servers it needs.
    pub requirements: Requirements,
    /// The number of `requirements`.
    pub eligibility_class: u64,
    /// When its results are due.
    pub due_at: u64,
    /// When its items expire.
    pub expires_at: u64,
    /// Its items.
    pub items: Vec<ItemState>,
    /// How many of them have no result yet.
    pub open: usize,
}

impl Group {
    /// The versions its texts may have.
    pub fn rule(&self) -> VersionRule {
        VersionRule { min_version: self.requirements.min_version, single: self.route.single_version }
    }

    /// What the scheduler needs to know.
    pub fn spec(&self, key: GroupKey) -> GroupSpec {
        GroupSpec {
            key,
            priority: Priority { due_at: self.due_at, group_index: self.id.group.into() },
            pool: self.requirements.pool,
            route: self.route_key,
            target_run_ms: self.route.target_run_ms,
            generations: self.items.len() as u32,
        }
    }
}

/// Batch jobs and their open groups.
pub type GroupsByJob = HashMap<CompactString, Vec<GroupKey>>;
