//! Groups are opened and closed: assignment, the end of a batch job, an expired lease, a changed route, expiry.

use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Arc;

use compact_str::CompactString;
use orchidvalve_scheduler::{GenerationId, GroupKey, RouteKey};

use super::Runner;
use crate::generations::group::{Group, Requirements};
use crate::generations::interface::{Assignment, GroupId, Item, ItemResult, RouteFacts, RunnerCommand};
use crate::generations::item::{ItemState, Phase, Scoring};
use crate::generations::text::{Text, VersionRule};
use crate::generations::text_archive::ArchivedText;
use crate::generations::timers::Timer;

impl Runner {
    /// Begins a group. If it is open already, a repeated assignment is ignored, and one under a newer epoch (another
    /// store is the head) replaces the old one: the group goes on as it stands if the same items are open, else it
    /// begins anew with the texts made so far.
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
        let route_key = self.route_key(&assignment.route.id);
        let requirements = Requirements {
            pool: self.servers.pool(&assignment.route.service),
            model: assignment.model.as_ref().map(|model| self.servers.model(model)),
            min_version: assignment.min_weights_version,
        };
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

    /// A batch job has ended: all its attempts are cancelled in this step.
    pub fn cancel(&mut self, job: &str, out: &mut Vec<RunnerCommand>) {
        for key in self.jobs.get(job).cloned().unwrap_or_default() {
            self.archive_group(key, out);
        }
    }

    /// The lease under which a store assigned groups of this partition has expired: all groups of this and older epochs
    /// are dropped.
    pub fn lease_expired(&mut self, partition: u16, epoch: u64, out: &mut Vec<RunnerCommand>) {
        self.drop_groups(out, |group| group.id.partition == partition && group.id.epoch <= epoch);
    }

    /// Groups without attempts in flight that no server could run, as far as this gateway knows, are dropped
    /// and returned. For a gateway that doesn't hear of servers any more.
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

    /// The configuration has changed: each group goes on by the route that `find` gives for it. `None`: its route has
    /// ended, and its items expire.
    pub fn reroute(
        &mut self,
        find: impl Fn(&GroupId) -> Option<Arc<RouteFacts>>,
        out: &mut Vec<RunnerCommand>,
    ) {
        for key in self.groups_where(|_| true) {
            let Some(group) = self.groups.get(&key) else { continue };
            match find(&group.id) {
                None => self.expire_group(key, out),
                Some(facts) => self.reroute_group(key, &facts, out),
            }
        }
    }

    /// The time of a group's expiry has come, unless a new assignment put it off.
    pub(super) fn expiry_due(&mut self, now: u64, key: GroupKey, out: &mut Vec<RunnerCommand>) {
        match self.groups.get(&key).map(|group| group.expires_at) {
            Some(expires_at) if expires_at > now => self.timers.add(expires_at, Timer::Expire(key)),
            Some(_) => self.expire_group(key, out),
            None => {}
        }
    }

    /// All items of the group that have no result yet expire.
    pub(super) fn expire_group(&mut self, key: GroupKey, out: &mut Vec<RunnerCommand>) {
        let count = self.groups.get(&key).map_or(0, |group| group.items.len());
        for index in 0..count as u32 {
            self.report(GenerationId { group: key, index }, ItemResult::Expired, out);
        }
    }

    /// Puts an open group under a new assignment as it stands, if both have the same open items and the same route;
    /// whether it did.
    fn reassign(&mut self, key: GroupKey, assignment: &Assignment) -> bool {
        let Some(group) = self.groups.get_mut(&key) else { return false };
        let open = group.items.iter().filter(|state| !matches!(state.phase, Phase::Done));
        let same_items = open
            .map(|state| (&state.item.id, &state.item.tenant))
            .eq(assignment.items.iter().map(|item| (&item.id, &item.tenant)));
        let same_facts = *group.route == *assignment.route
            && group.requirements.min_version == assignment.min_weights_version;
        if !same_items || !same_facts {
            return false;
        }
        group.id = assignment.id.clone();
        (group.due_at, group.expires_at) = (assignment.due_at, assignment.expires_at);
        self.timers.add(assignment.expires_at, Timer::Expire(key));
        true
    }

    fn reroute_group(&mut self, key: GroupKey, facts: &Arc<RouteFacts>, out: &mut Vec<RunnerCommand>) {
        let Some(group) = self.groups.get_mut(&key) else { return };
        if *group.route == **facts {
            return;
        }
        if group.route.service == facts.service && group.route.single_version == facts.single_version {
            group.route = facts.clone();
            return;
        }
        // Attempts at servers of the old service may not go on.
        let Some(mut group) = self.remove_group(key, out) else { return };
        group.route = facts.clone();
        let pool = self.servers.pool(&facts.service);
        let moved = std::mem::replace(&mut group.requirements.pool, pool) != pool;
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

    /// The state of an item, with the text that this gateway has kept of it, if it satisfies the rule and can be used:
    /// a part of a text whose version is served nowhere would wait for ever.
    fn restore(&mut self, item: Item, requirements: Requirements, rule: VersionRule) -> ItemState {
        let archived = self.archive.take(&item, requirements.model);
        match archived.filter(|archived| archived.text.satisfies(rule)) {
            Some(archived) if archived.is_complete && item.scorer.is_some() => {
                let mut state = ItemState::new(item, Text::default());
                state.phase = Phase::Scoring(Box::new(Scoring::new(archived.text)));
                state
            }
            Some(archived) if requirements.allow_resuming(&archived.text, rule, &self.servers) => {
                ItemState::new(item, archived.text)
            }
            _ => ItemState::new(item, Text::default()),
        }
    }

    /// Drops a group; its texts are kept for a later assignment of the same items.
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
                model: group.requirements.model,
                tenant: state.item.tenant.clone(),
                text,
                is_complete,
            };
            self.archive.put(state.item.id.clone(), archived);
        }
    }

    fn drop_groups(&mut self, out: &mut Vec<RunnerCommand>, which: impl Fn(&Group) -> bool) {
        for key in self.groups_where(which) {
            self.archive_group(key, out);
        }
    }

    fn groups_where(&self, wanted: impl Fn(&Group) -> bool) -> Vec<GroupKey> {
        let mut keys: Vec<GroupKey> =
            self.groups.iter().filter(|(_, group)| wanted(group)).map(|(key, _)| *key).collect();
        keys.sort_unstable();
        keys
    }

    fn find_group(&self, job: &str, index: u32) -> Option<GroupKey> {
        self.jobs.get(job)?.iter().copied().find(|key| self.groups[key].id.group == index)
    }

    fn route_key(&mut self, id: &CompactString) -> RouteKey {
        intern(&mut self.route_keys, id.clone(), |count| RouteKey(count as u32))
    }

    fn eligibility_class(&mut self, requirements: Requirements) -> u64 {
        intern(&mut self.eligibility_classes, requirements, |count| count as u64)
    }
}

/// The number of a key; a key that is new gets the next number.
fn intern<K: Hash + Eq, V: Copy>(keys: &mut HashMap<K, V>, key: K, numbered: fn(usize) -> V) -> V {
    let next = numbered(keys.len());
    *keys.entry(key).or_insert(next)
}
