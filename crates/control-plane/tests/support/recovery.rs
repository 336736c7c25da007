//! The guarantees that hold again some time after a fault: requests are acknowledged, the full tolerance is restored, and
//! subscribers are up to date. Also measures the recovery times.

use std::collections::VecDeque;

use orchidvalve_consensus::View;

use super::cluster::{Cluster, Event, Machine};
use super::fault_script::DISTURBED_MS;
use super::operators::Request;

/// Bounds of the deployments, in milliseconds.
pub const ACK_MS: u64 = 4_000;
pub const CATCH_UP_MS: u64 = 4_400;
/// Bound for reads in ms: machines outside the chain leave a read unclear, and callers may try several of these in a row.
const READ_MS: u64 = 10_000;
pub const CONTACT_MS: u64 = 3_000;
/// Pause in ms between two checks.
const WATCH_MS: u64 = 20;
/// A machine or subscriber is up to date if it has everything that was committed this many ms ago.
const LAG_MS: u64 = 300;
/// Subscribers of a stable cluster must have everything that was committed this many ms ago.
const FRESH_MS: u64 = 2_000;

/// Times of one recovery in milliseconds; `None` if another fault began before.
#[derive(Clone, Copy, Default, Debug)]
pub struct RecoveryTimes {
    /// From the fault to the response to the first request that was sent after it.
    pub first_acknowledgement: Option<u64>,
    /// From the fault until the last affected machine was back.
    pub outage: Option<u64>,
    /// From the end of the outage until the full tolerance was restored.
    pub tolerance: Option<u64>,
    /// From the end of the outage until the last subscriber was up to date.
    pub subscribers: Option<u64>,
    /// From the end of the outage until every machine was in the chain, which is more than the tolerance requires.
    pub chain: Option<u64>,
}

#[derive(Default)]
pub struct Recovery {
    faulted_at: Option<u64>,
    back_at: Option<u64>,
    times: RecoveryTimes,
    pub finished: Vec<RecoveryTimes>,
    /// Time in ms of the last event that made the cluster unstable.
    pub unstable_at: u64,
    /// Time in ms at which a disk was last observed to hang.
    disk_hung_at: u64,
    /// Times and numbers of committed changes, over the last `LAG_MS` and `FRESH_MS`.
    ends: VecDeque<(u64, u64)>,
    older_ends: VecDeque<(u64, u64)>,
}

impl Recovery {
    /// Records the begin of a fault.
    pub fn fault_injected(&mut self, now: u64) {
        self.finish();
        self.faulted_at = Some(now);
        self.unstable_at = now;
    }

    /// Records the acknowledgement of a request that was sent at `sent_at`.
    pub fn acknowledged(&mut self, now: u64, sent_at: u64) {
        if let Some(faulted_at) = self.faulted_at.filter(|at| sent_at > *at) {
            self.times.first_acknowledgement.get_or_insert(now - faulted_at);
        }
    }

    /// Stores the times of a recovery that is complete or was interrupted by the next fault.
    pub fn finish(&mut self) {
        if self.faulted_at.take().is_some() {
            self.finished.push(std::mem::take(&mut self.times));
        }
        self.back_at = None;
    }
}

/// Records the current number of committed changes, and returns the number as of `lag` ms ago (or of the first record).
fn committed_before(ends: &mut VecDeque<(u64, u64)>, lag: u64, now: u64, end: u64) -> u64 {
    ends.push_back((now, end));
    while ends.get(1).is_some_and(|(at, _)| at + lag <= now) {
        ends.pop_front();
    }
    ends.front().map_or(0, |(_, end)| *end)
}

impl Cluster {
    pub fn watch(&mut self) {
        self.schedule(WATCH_MS, Event::Watch);
        self.note_disturbed();
        let (now, latest) = (self.now, self.checker.end());
        let stable = self.cluster_is_stable();
        let older_end = committed_before(&mut self.recovery.older_ends, FRESH_MS, now, latest);
        if stable && !self.reachable_subscribers_have(older_end) {
            let state = self.describe();
            self.checker.fail(format!("a subscriber lacks what was committed {FRESH_MS} ms ago; {state}"));
        }
        if stable && self.disks_are_healthy() && !self.reachable_subscribers_show_list() {
            let lists: Vec<u32> = self.lists_of_reachable_subscribers().collect();
            let state = self.describe();
            self.checker
                .fail(format!("subscribers show the platform's lists {lists:?}, older ones; {state}"));
        }
        self.check_acknowledgements(stable);
        let end = committed_before(&mut self.recovery.ends, LAG_MS, now, latest);
        let Some(faulted_at) = self.recovery.faulted_at else { return };
        if self.recovery.back_at.is_none() && self.all_are_back() {
            self.recovery.back_at = Some(self.now);
            self.recovery.unstable_at = self.now;
            self.recovery.times.outage = Some(self.now - faulted_at);
        }
        let Some(back_at) = self.recovery.back_at else { return };
        let passed = self.now - back_at;
        if self.recovery.times.tolerance.is_none() && self.has_full_tolerance(end) {
            self.trace(|| "the full tolerance is restored".to_owned());
            self.recovery.times.tolerance = Some(passed);
        }
        if self.recovery.times.subscribers.is_none() && self.subscribers_have(end) {
            self.recovery.times.subscribers = Some(passed);
        }
        if self.recovery.times.chain.is_none() && self.chain_is_complete() {
            self.recovery.times.chain = Some(passed);
        }
        let times = self.recovery.times;
        if passed > CATCH_UP_MS && (times.tolerance.is_none() || times.subscribers.is_none()) {
            let message = format!("not recovered {passed} ms after the last return: {times:?}");
            let state = self.describe();
            self.checker.fail(format!("{message}; {state}"));
        }
    }

    /// Records which machines are down or disturbed. While these exceed the tolerance, no machine can catch up.
    fn note_disturbed(&mut self) {
        let until = self.now + DISTURBED_MS;
        let disturbed: Vec<usize> =
            (0..self.machines.len()).filter(|m| self.is_disturbed(&self.machines[*m])).collect();
        if self.machines.iter().any(|m| m.hanging) {
            self.recovery.disk_hung_at = self.now;
        }
        let nobody_catches_up = disturbed.len() > self.scenario.tolerance;
        for (index, machine) in self.machines.iter_mut().enumerate().filter(|(_, m)| !m.removed) {
            if nobody_catches_up || disturbed.contains(&index) {
                machine.disturbed_until = until;
            }
        }
    }

    /// Whether no disk has been hanging for as long as it takes to replace a head whose disk hangs.
    fn disks_are_healthy(&self) -> bool {
        self.machines.iter().all(|m| m.removed || !m.hanging)
            && self.now >= self.recovery.disk_hung_at + CONTACT_MS
    }

    fn is_disturbed(&self, machine: &Machine) -> bool {
        let slow = machine.hanging || machine.sync_factor > 1 || machine.slowness > 1;
        !machine.removed && (!machine.is_running() || machine.isolated || machine.shutdown.is_some() || slow)
    }

    /// Returns the size of the largest set of running machines that all reach each other.
    fn connected(&self) -> usize {
        let running = self.living();
        let linked = |left: usize, right: usize| {
            !self.blocked_links.contains(&(left, right)) && !self.blocked_links.contains(&(right, left))
        };
        let groups = 0..1_u32 << running.len();
        let members = |group: u32| -> Vec<usize> {
            let chosen = running.iter().enumerate().filter(|(index, _)| group >> index & 1 == 1);
            chosen.map(|(_, machine)| *machine).collect()
        };
        let all_linked = |group: &Vec<usize>| group.iter().all(|l| group.iter().all(|r| linked(*l, *r)));
        groups.map(members).filter(all_linked).map(|group| group.len()).max().unwrap_or(0)
    }

    /// Whether more than half of the cluster runs, is connected, and has not been disturbed for a while.
    fn cluster_is_stable(&self) -> bool {
        let control_node = self.machines.iter().filter(|m| !m.removed).count();
        let slowed = self.machines.iter().any(|m| m.sync_factor > 1 || m.slowness > 1);
        let disturbed = slowed || self.response_loss > 0.0 || self.scenario.loss > 0.0;
        !disturbed
            && self.now >= self.recovery.unstable_at + CONTACT_MS
            && 2 * self.connected() > control_node
    }

    fn check_acknowledgements(&mut self, stable: bool) {
        let now = self.now;
        let mut overdue = None;
        for call in self.operators.open_calls() {
            let since = *call.stable_since.get_or_insert(now);
            let is_aimed = call.aim.is_some_and(|aim| now < aim.until);
            let bound = if call.request == Request::Read { READ_MS } else { ACK_MS };
            if !stable || is_aimed {
                call.stable_since = None;
            } else if now > since + bound {
                overdue.get_or_insert((call.request, bound));
            }
        }
        if let Some((request, bound)) = overdue {
            let state = self.describe();
            let message =
                format!("{request:?} has no response after {bound} ms of a stable cluster; {state}");
            self.checker.fail(message);
        }
    }

    fn all_are_back(&self) -> bool {
        let back = |m: &Machine| !self.is_disturbed(m);
        let links_healthy = self.blocked_links.is_empty()
            && self.unreachable_for_operators.is_empty()
            && self.scenario.loss == 0.0;
        self.machines.iter().all(back) && links_healthy && self.response_loss == 0.0
    }

    /// Whether as many machines as the tolerance permits could be lost, whichever they are: a majority of the voters that
    /// know the view would remain, and a machine of the chain that has everything committed up to `end`.
    pub fn has_full_tolerance(&self, end: u64) -> bool {
        let Some(view) = self.latest_view() else { return false };
        let knows = |m: &&Machine| {
            m.is_running()
                && m.control_node.as_ref().is_some_and(|c| c.view() == Some(&view) && c.epoch() == view.epoch)
        };
        let knowing: Vec<_> = self.machines.iter().filter(knows).collect();
        let voters = knowing.iter().filter(|m| view.is_voter(m.member())).count();
        let has_all = |m: &&&Machine| {
            view.in_chain(m.member()) && m.control_node.as_ref().is_some_and(|c| c.applied() >= end)
        };
        let copies = knowing.iter().filter(has_all).count();
        let majority = view.voters.len() / 2 + 1;
        voters >= majority + self.scenario.tolerance && copies > self.scenario.tolerance
    }

    /// Describes the state of every machine, for the report of a violation.
    pub fn describe(&self) -> String {
        let view =
            |view: Option<&View>| view.map_or("none".to_owned(), |v| format!("{}:{:?}", v.epoch, v.chain));
        let machines: Vec<String> = (self.machines.iter().enumerate())
            .filter(|(_, m)| !m.removed)
            .map(|(index, m)| match &m.control_node {
                None => format!("machine {index} is down"),
                Some(control_node) => format!(
                    "machine {index} {} at {} in view {}{}",
                    m.member(),
                    control_node.applied(),
                    view(control_node.view()),
                    if m.frozen { ", frozen" } else { "" }
                ),
            })
            .collect();
        format!("{} are committed; {}", self.checker.end(), machines.join("; "))
    }
}

/// Samples, reported as minimum, median, 99th percentile and maximum.
#[derive(Default)]
pub struct Distribution(Vec<u64>);

impl Distribution {
    pub fn add(&mut self, value: Option<u64>) {
        self.0.extend(value);
    }

    pub fn extend(&mut self, other: Distribution) {
        self.0.extend(other.0);
    }

    pub fn count(&self) -> usize {
        self.0.len()
    }

    pub fn summary(&mut self) -> String {
        self.0.sort_unstable();
        let Some(last) = self.0.len().checked_sub(1) else { return "none".to_owned() };
        let at = |percent: usize| self.0[last * percent / 100];
        format!("{} / {} / {} / {}", at(0), at(50), at(99), at(100))
    }
}
