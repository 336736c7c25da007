//! The leader of placement: places partitions on store nodes according to their sessions and reports.

use std::collections::{BTreeMap, BTreeSet};

use orchidvalve_chain_replication::{Epoch, Milliseconds};
use orchidvalve_control_state::{Change, ControlState};
use orchidvalve_protocol::identity::MemberId;
use orchidvalve_protocol::messages::Role;

use super::SingletonRoles;
use crate::node::RetirementVerdict;
use crate::placement::{self, CaughtUp, LiveStoreNode, PlacementInput};
use crate::sessions::{Session, SessionTable};

/// Time after the beginning of a tenure, or after a quorum was regained, in which no store node counts as lost: every
/// process has to open its session first. In milliseconds.
const SESSION_GRACE_MS: Milliseconds = 1_500;
/// Pause between two plans, in milliseconds.
const PLACEMENT_INTERVAL_MS: Milliseconds = 50;
/// The first placement waits at most this long for further store nodes, in milliseconds.
const FIRST_PLACEMENT_WAIT_MS: Milliseconds = 1_000;
/// A store node whose disk is fuller than this, in percent, receives only copies that replace those of lost nodes. Store
/// nodes reject new jobs above this level.
const FULL_PERCENT: u64 = 75;
/// A partition whose complete replicas are all known to be lost restarts empty after this time, in milliseconds. A member
/// that is complete after all reports so every second.
const LOSS_CONFIRMATION_MS: Milliseconds = 10_000;

/// State of placement while this node leads it.
#[derive(Default, Debug)]
pub(super) struct PlacementRole {
    /// Reports of replicas that have caught up.
    caught_up: BTreeSet<CaughtUp>,
    next_plan_at: Milliseconds,
    /// Partitions whose complete replicas are all lost, and since when this node has known that.
    lost_since: BTreeMap<u16, u64>,
}

impl PlacementRole {
    /// Restarts the confirmation time of all lost partitions.
    pub(super) fn forget_losses(&mut self) {
        self.lost_since.clear();
    }

    fn add_caught_up(&mut self, report: CaughtUp) {
        // Nodes that are not the head receive all reports, too, but never place anything: their outdated reports are
        // dropped here.
        self.caught_up.retain(|known| known.partition != report.partition || known.epoch >= report.epoch);
        self.caught_up.insert(report);
        self.next_plan_at = 0;
    }

    /// Returns whether a plan is due now; if so, the next one is due after a pause.
    fn take_due(&mut self, now: Milliseconds) -> bool {
        let is_due = now >= self.next_plan_at;
        if is_due {
            self.next_plan_at = now + PLACEMENT_INTERVAL_MS;
        }
        is_due
    }

    /// Returns the partitions that have been without a complete replica for the whole confirmation time.
    fn lost_partitions(
        &mut self,
        now: Milliseconds,
        state: &ControlState,
        live: &[LiveStoreNode],
        copies: usize,
    ) -> BTreeSet<u16> {
        let no_restarts = BTreeSet::new();
        let input = PlacementInput { live, caught_up: &self.caught_up, copies, lost: &no_restarts };
        let partitions = (0u16..).zip(state.partitions());
        let lost_now: BTreeSet<u16> = partitions
            .filter(|(partition, placement)| placement::is_partition_lost(*partition, placement, &input))
            .map(|(partition, _)| partition)
            .collect();
        self.lost_since.retain(|partition, _| lost_now.contains(partition));
        for partition in lost_now {
            self.lost_since.entry(partition).or_insert(now);
        }
        let is_confirmed = |since: &u64| now >= since + LOSS_CONFIRMATION_MS;
        let lost = self.lost_since.iter().filter(|(_, since)| is_confirmed(since));
        let lost: BTreeSet<u16> = lost.map(|(partition, _)| *partition).collect();
        if !lost.is_empty() {
            log::error!(
                "placement: all machines that held partitions {lost:?} came back with other disks, which \
                 exceeds fault-tolerance: the partitions restart empty, their jobs are lost"
            );
        }
        lost
    }

    /// Drops reports of epochs before the current placements.
    fn forget_outdated_reports(&mut self, state: &ControlState) {
        let partitions = state.partitions();
        let epoch_of =
            |partition: u16| partitions.get(usize::from(partition)).map_or(0, |placement| placement.epoch);
        self.caught_up.retain(|report| report.epoch >= epoch_of(report.partition));
    }
}

impl SingletonRoles {
    /// Decides whether a store node may be retired, from the sessions known to this node.
    pub fn retirement(
        &self,
        now: Milliseconds,
        state: &ControlState,
        sessions: &SessionTable,
        name: &str,
    ) -> RetirementVerdict {
        let is_session_grace_over = self.is_session_grace_over(now);
        match state.stores().get(name) {
            Some(store) if store.retiring => RetirementVerdict::Allowed,
            Some(_) if may_retire(state, sessions, name, self.options.tolerance) => {
                RetirementVerdict::Allowed
            }
            _ if !is_session_grace_over => RetirementVerdict::Undetermined,
            Some(_) => RetirementVerdict::TooFewRemain,
            // The control state itself rejects a name that is not registered.
            None => RetirementVerdict::Allowed,
        }
    }

    /// Returns whether all live processes have had time to open a session since this node became the head, or since it
    /// regained a quorum.
    pub fn is_session_grace_over(&self, now: Milliseconds) -> bool {
        self.tenure.sessions_since.is_some_and(|since| now >= since + SESSION_GRACE_MS)
    }

    /// Records that a learner has copied everything, or that a member holds everything committed before the view of
    /// `epoch`.
    pub fn learner_caught_up(&mut self, partition: u16, epoch: Epoch, member: MemberId) {
        self.placement.add_caught_up(CaughtUp { partition, epoch, member });
    }

    /// Returns the change of placements that is due, if there is one.
    pub fn place(
        &mut self,
        now: Milliseconds,
        state: &ControlState,
        sessions: &SessionTable,
    ) -> Option<Change> {
        let since = self.tenure.sessions_since?;
        if !self.placement.take_due(now) {
            return None;
        }
        let mut live = live_store_nodes(state, sessions);
        if now < since + SESSION_GRACE_MS {
            add_presumed_members(state, &mut live);
        }
        let copies = self.options.tolerance + 1;
        let lost = self.placement.lost_partitions(now, state, &live, copies);
        let caught_up = &self.placement.caught_up;
        let input = PlacementInput { live: &live, caught_up, copies, lost: &lost };
        let changes = if state.partitions().is_empty() {
            if now < since + FIRST_PLACEMENT_WAIT_MS && live.len() <= copies {
                return None;
            }
            placement::initial_placement(&input)
        } else {
            placement::plan(state.partitions(), &input)
        };
        if changes.is_empty() {
            return None;
        }
        log::info!("placement: {} partitions change: {:?}", changes.len(), changes);
        self.placement.forget_outdated_reports(state);
        Some(Change::Place(changes))
    }
}

fn live_store_nodes(state: &ControlState, sessions: &SessionTable) -> Vec<LiveStoreNode> {
    let live_store_node = |session: &Session| {
        let health = session.health;
        let is_retiring = state.stores().get(&session.name).is_some_and(|record| record.retiring);
        LiveStoreNode {
            member: session.member,
            zone: session.zone.clone(),
            retiring: is_retiring || health.is_some_and(|health| health.draining),
            is_full: health
                .is_some_and(|health| health.used_bytes * 100 > health.capacity_bytes * FULL_PERCENT),
            disk_failing: health.is_some_and(|health| health.disk_failing),
        }
    };
    sessions.sessions().filter(|session| session.role == Role::Store).map(live_store_node).collect()
}

/// Adds the members and learners without a session to `live`, while processes may still be opening their sessions. A
/// member whose address has another disk by now is certainly lost and is not added.
fn add_presumed_members(state: &ControlState, live: &mut Vec<LiveStoreNode>) {
    let partitions = state.partitions().iter();
    let members = partitions.flat_map(|placement| placement.members.iter().chain(&placement.learners));
    for member in members {
        if live.iter().any(|store| store.member.address == member.address) {
            continue;
        }
        let record = state.stores().values().find(|record| record.member == *member);
        live.push(LiveStoreNode {
            member: *member,
            zone: record.map_or(String::new(), |record| record.zone.clone()),
            retiring: record.is_some_and(|record| record.retiring),
            is_full: false,
            disk_failing: false,
        });
    }
}

/// Returns a registration for each store node whose record in the control state is missing or out of date.
pub fn registrations(state: &ControlState, sessions: &SessionTable) -> Vec<Change> {
    let is_unknown = |session: &&Session| {
        state.stores().get(&session.name).is_none_or(|record| record.member != session.member)
    };
    let registration = |session: &Session| Change::RegisterStore {
        name: session.name.clone(),
        zone: session.zone.clone(),
        member: session.member,
    };
    let stores = sessions.sessions().filter(|session| session.role == Role::Store);
    stores.filter(is_unknown).map(registration).collect()
}

/// Returns whether enough store nodes would remain if the store node of machine `name` were retired.
pub fn may_retire(state: &ControlState, sessions: &SessionTable, name: &str, tolerance: usize) -> bool {
    let is_retiring =
        |session: &Session| state.stores().get(&session.name).is_some_and(|record| record.retiring);
    let others = sessions.sessions().filter(|session| session.role == Role::Store && session.name != name);
    others.filter(|session| !is_retiring(session)).count() > tolerance
}
