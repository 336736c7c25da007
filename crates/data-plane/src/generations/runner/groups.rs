//! The life cycle of groups: assignment, cancellation of a batch job, lease expiry, route changes, item expiry.

use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Arc;

use compact_str::CompactString;
use orchidvalve_scheduler::{GenerationId, GroupKey, PoolKey, RouteKey};

use super::Runner;
use crate::generations::group::{Group, Requirements, RouteAtService};
use crate::generations::interface::{Assignment, GroupId, Item, ItemResult, RouteSettings, RunnerCommand};
use crate::generations::item::{ItemState, Phase, Scoring};
use crate::generations::text::{Text, VersionRule};
use crate::generations::text_archive::ArchivedText;
use crate::generations::timers::Timer;

impl Runner {
    /// Begins a group. A repeated assignment of an open group is ignored. An assignment under a newer epoch, by a new
    /// head of the partition, replaces the open group: its state is kept if the same items are open, otherwise the
    /// group restarts with the texts generated so far.
    pub fn assign(&mut self, assignment: Assignment, out: &mut Vec<RunnerCommand>) {
        if let Some(key) = self.find_group(&assignment.id.job, assignment.id.group) {
            let open = &self.groups[&key].id;
            let repeated = open.partition == assignment.id.partition && open.epoch == assignment.id.epoch;
            if repeated || open.epoch > assignment.id.epoch || self.reassign(key, &assignment) {
                return;
            }
            self.archive_group(key, out);
        }
        if assignment.items.is_empty() {
            return;
        }
        let requirements = Requirements {
            pool: self.servers.pool(&assignment.route.service),
            model: assignment.model.as_ref().map(|model| self.servers.model(model)),
            min_version: assignment.min_weights_version,
        };
        let route_key = self.route_key(&assignment.route.id, requirements.pool);
        let rule =
            VersionRule { min_version: requirements.min_version, single: assignment.route.single_version };
        let items = assignment
            .items
            .into_iter()
            .map(|item| self.restore(item, requirements, rule))
            .collect::<Vec<_>>();
        let group = Group {
            id: assignment.id,
            route: assignment.route,
            route_key,
            requirements,
            eligibility_class: self.eligibility_class(requirements),
            due_at: assignment.due_at,
            expires_at: assignment.expires_at,
            open: items.len(),
            items,
        };
        self.open_group(group, out);
    }

    /// Cancels all attempts of a batch job that has ended.
    pub fn cancel(&mut self, job: &str, out: &mut Vec<RunnerCommand>) {
        for key in self.jobs.get(job).cloned().unwrap_or_default() {
            self.archive_group(key, out);
        }
    }

    /// Drops the groups of a partition whose lease has expired: those assigned in this epoch or an earlier one.
    pub fn lease_expired(&mut self, partition: u16, epoch: u64, out: &mut Vec<RunnerCommand>) {
        self.drop_groups(out, |group| group.id.partition == partition && group.id.epoch <= epoch);
    }

    /// Drops and returns the groups that have no attempts in flight and that no server in the server table could run.
    /// Used while the gateway doesn't receive updates of the server table.
    pub fn drop_unservable(&mut self, out: &mut Vec<RunnerCommand>) -> Vec<GroupId> {
        let unservable = self.groups_where(|group| {
            group.items.iter().all(ItemState::is_idle) && group.requirements.are_unservable(&self.servers)
        });
        let ids = unservable.iter().map(|key| self.groups[key].id.clone()).collect();
        for key in unservable {
            self.archive_group(key, out);
        }
        ids
    }

    /// Applies a change of the configuration: each group continues with the route that `find` returns for it. If that
    /// is `None`, the route no longer exists and the group's items expire.
    pub fn reroute(
        &mut self,
        find: impl Fn(&GroupId) -> Option<Arc<RouteSettings>>,
        out: &mut Vec<RunnerCommand>,
    ) {
        for key in self.groups_where(|_| true) {
            let Some(group) = self.groups.get(&key) else { continue };
            match find(&group.id) {
                None => self.expire_group(key, out),
                Some(settings) => self.reroute_group(key, &settings, out),
            }
        }
    }

    /// Expires a group whose timer is due, unless a new assignment has postponed its expiry.
    pub(super) fn expiry_due(&mut self, now: u64, key: GroupKey, out: &mut Vec<RunnerCommand>) {
        match self.groups.get(&key).map(|group| group.expires_at) {
            Some(expires_at) if expires_at > now => self.timers.add(expires_at, Timer::Expire(key)),
            Some(_) => self.expire_group(key, out),
            None => {}
        }
    }

    /// Expires all items of the group that have no result yet.
    pub(super) fn expire_group(&mut self, key: GroupKey, out: &mut Vec<RunnerCommand>) {
        let count = self.groups.get(&key).map_or(0, |group| group.items.len());
        for index in 0..count as u32 {
            self.report(GenerationId { group: key, index }, ItemResult::Expired, out);
        }
    }

    /// Applies a new assignment to an open group without changing its state, if both have the same open items and the
    /// same route. Returns whether it did.
    fn reassign(&mut self, key: GroupKey, assignment: &Assignment) -> bool {
        let Some(group) = self.groups.get_mut(&key) else { return false };
        let open = group.items.iter().filter(|state| !matches!(state.phase, Phase::Done));
        let same_items = open
            .map(|state| (&state.item.id, &state.item.tenant))
            .eq(assignment.items.iter().map(|item| (&item.id, &item.tenant)));
        let same_settings = *group.route == *assignment.route
            && group.requirements.min_version == assignment.min_weights_version;
        if !same_items || !same_settings {
            return false;
        }
        group.id = assignment.id.clone();
        (group.due_at, group.expires_at) = (assignment.due_at, assignment.expires_at);
        self.timers.add(assignment.expires_at, Timer::Expire(key));
        true
    }

    fn reroute_group(&mut self, key: GroupKey, settings: &Arc<RouteSettings>, out: &mut Vec<RunnerCommand>) {
        let Some(group) = self.groups.get_mut(&key) else { return };
        if *group.route == **settings {
            return;
        }
        if group.route.service == settings.service && group.route.single_version == settings.single_version {
            group.route = settings.clone();
            return;
        }
        // Attempts at servers of the old service must not continue.
        let Some(mut group) = self.remove_group(key, out) else { return };
        group.route = settings.clone();
        let pool = self.servers.pool(&settings.service);
        let moved = std::mem::replace(&mut group.requirements.pool, pool) != pool;
        group.route_key = self.route_key(&settings.id, pool);
        group.eligibility_class = self.eligibility_class(group.requirements);
        let rule = group.rule();
        for item in &mut group.items {
            if matches!(&item.phase, Phase::Scoring(scoring) if !scoring.text.satisfies(rule)) {
                item.phase = Phase::Generating;
            }
            let usable = item.resumable_text.satisfies(rule)
                && group.requirements.allow_resuming(&item.resumable_text, rule, &self.servers);
            if moved || !usable {
                item.resumable_text = Text::default();
            }
        }
        self.open_group(group, out);
    }

    fn open_group(&mut self, group: Group, out: &mut Vec<RunnerCommand>) {
        let key = GroupKey(self.next_group);
        self.next_group += 1;
        self.scheduler.add_group(&group.spec(key));
        self.timers.add(group.expires_at, Timer::Expire(key));
        self.jobs.entry(group.id.job.clone()).or_default().push(key);
        let settled: Vec<u32> = (0..group.items.len() as u32)
            .filter(|index| !matches!(group.items[*index as usize].phase, Phase::Generating))
            .collect();
        self.groups.insert(key, group);
        for index in settled {
            let generation = GenerationId { group: key, index };
            self.settle(generation, out);
            self.retry_reward(generation);
        }
        self.needs_dispatch = true;
    }

    /// Creates the state of an item from the text archived for it, if that text satisfies the rule and can be used. An
    /// incomplete text whose version no server serves is discarded, as it could never be resumed.
    fn restore(&mut self, item: Item, requirements: Requirements, rule: VersionRule) -> ItemState {
        let archived = self.archive.take(&item, requirements.model);
        match archived.filter(|archived| archived.text.satisfies(rule)) {
            Some(archived) if archived.is_complete && item.scorer.is_some() => {
                let mut state = ItemState::new(item, Text::default());
                state.phase = Phase::Scoring(Box::new(Scoring::new(archived.text)));
                state
            }
            Some(archived)
                if archived.pool == requirements.pool
                    && requirements.allow_resuming(&archived.text, rule, &self.servers) =>
            {
                ItemState::new(item, archived.text)
            }
            _ => ItemState::new(item, Text::default()),
        }
    }

    /// Drops a group and archives its texts for a later assignment of the same items.
    fn archive_group(&mut self, key: GroupKey, out: &mut Vec<RunnerCommand>) {
        let Some(group) = self.remove_group(key, out) else { return };
        for state in group.items {
            let (text, is_complete) = match state.phase {
                Phase::Generating => (state.resumable_text, false),
                Phase::Scoring(scoring) => (scoring.text, true),
                Phase::Done => continue,
            };
            let archived = ArchivedText {
                body: state.item.body.clone(),
                pool: group.requirements.pool,
                model: group.requirements.model,
                tenant: state.item.tenant.clone(),
                text,
                is_complete,
            };
            self.archive.put(state.item.id.clone(), archived);
        }
    }

    fn drop_groups(&mut self, out: &mut Vec<RunnerCommand>, predicate: impl Fn(&Group) -> bool) {
        for key in self.groups_where(predicate) {
            self.archive_group(key, out);
        }
    }

    fn groups_where(&self, predicate: impl Fn(&Group) -> bool) -> Vec<GroupKey> {
        let mut keys: Vec<GroupKey> =
            self.groups.iter().filter(|(_, group)| predicate(group)).map(|(key, _)| *key).collect();
        keys.sort_unstable();
        keys
    }

    fn find_group(&self, job: &str, index: u32) -> Option<GroupKey> {
        self.jobs.get(job)?.iter().copied().find(|key| self.groups[key].id.group == index)
    }

    fn route_key(&mut self, id: &CompactString, pool: PoolKey) -> RouteKey {
        let key = RouteAtService { id: id.clone(), pool };
        intern(&mut self.route_keys, key, |count| RouteKey(count as u32))
    }

    fn eligibility_class(&mut self, requirements: Requirements) -> u64 {
        intern(&mut self.eligibility_classes, requirements, |count| count as u64)
    }
}

/// Returns the value of a key. A new key is assigned the next number.
fn intern<K: Hash + Eq, V: Copy>(keys: &mut HashMap<K, V>, key: K, numbered: fn(usize) -> V) -> V {
    let next = numbered(keys.len());
    *keys.entry(key).or_insert(next)
}
