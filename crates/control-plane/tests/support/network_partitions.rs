//! Network partitions of several machines at once, faults as they heal, and requests aimed at the isolated machines.

use orchidvalve_protocol::identity::MemberId;
use rand::Rng;
use rand::seq::SliceRandom;

use super::cluster::{Cluster, Event};
use super::fault_script::{DISTURBED_MS, Fault, PartitionDirection, Reachability, ScriptEvent, Target};

/// The other machines are killed within this time in ms after the partition has healed.
const OTHERS_KILLED_WITHIN_MS: u64 = 300;
/// A process that is killed around a partition restarts within this time in ms.
const RESTART_WITHIN_MS: u64 = 1_000;
/// The other machines restart within this time in ms after the isolated ones.
const OTHERS_RESTARTED_AFTER_MS: u64 = 1_500;
/// A change aimed at a returning machine is sent within this time in ms of the end of the partition.
const MEETING_WITHIN_MS: u64 = 50;
/// Pause in ms between repeatedly aimed changes.
const HARD_PAUSE_MS: u64 = 200;

/// Pause in ms until a waiting partition checks again whether all machines have recovered.
const WAIT_MS: u64 = 100;

/// How a partition ends.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PartitionEnding {
    Healed,
    /// One of the other machines loses its disk and the rest are down for `dark` ms, during which the partition heals:
    /// the machines that are available first lack recent changes.
    Behind {
        dark: u64,
    },
    /// Just after the partition has healed, the processes of the other machines are killed.
    OthersKilled,
    /// The isolated machines restart, then the others.
    BothRestarted,
}

impl PartitionEnding {
    /// Returns the time in ms that the ending takes beyond the partition itself.
    pub fn duration(self) -> u64 {
        match self {
            PartitionEnding::Healed => 0,
            PartitionEnding::Behind { dark } => dark,
            PartitionEnding::OthersKilled => OTHERS_KILLED_WITHIN_MS + RESTART_WITHIN_MS,
            PartitionEnding::BothRestarted => OTHERS_RESTARTED_AFTER_MS + RESTART_WITHIN_MS,
        }
    }
}

/// The machines that lack recent changes, and those that go down for `dark` ms.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct LeftBehind {
    group: Vec<MemberId>,
    others: Vec<usize>,
    dark: u64,
}

/// The changes that are sent to an isolated machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AimedChanges {
    /// One change at about the time at which the machine returns.
    OnReturn,
    /// Two racing changes at about the time at which the machine returns.
    RacingOnReturn,
    /// Changes throughout the partition, each retried at this machine until the partition ends.
    Throughout,
}

/// A machine that a request is sent to, with retries to it until `until`.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Aim {
    pub machine: usize,
    pub until: u64,
}

impl Cluster {
    /// Returns the machines that are lost, or back for less than the catch-up time.
    pub fn counted_lost(&self) -> Vec<usize> {
        let counts = |m: &usize| self.machines[*m].disturbed_until > self.now;
        (0..self.machines.len()).filter(counts).collect()
    }

    /// Whether a partition of several machines must wait or be skipped. It waits until all other machines have recovered,
    /// and is skipped if it would not end within the fault window.
    pub fn partition_waits(&mut self, fault: &Fault) -> bool {
        let Fault::PartitionGroup { down, ending, .. } = fault else { return false };
        let (_, end) = self.scenario.fault_window;
        let ends_in_time = self.now + down + ending.duration() + DISTURBED_MS <= end;
        let may_begin = ends_in_time && self.counted_lost().is_empty();
        if ends_in_time && !may_begin {
            self.inject_after(WAIT_MS, fault.clone());
        }
        !may_begin
    }

    /// Isolates as many machines as the tolerance permits from all others.
    pub fn isolate_group(
        &mut self,
        direction: PartitionDirection,
        down: u64,
        ending: PartitionEnding,
        aimed_changes: Option<AimedChanges>,
    ) {
        let mut machines = self.living();
        machines.shuffle(&mut self.random);
        let others = machines.split_off(self.scenario.tolerance.min(machines.len()));
        let group = machines;
        self.trace(|| {
            format!("machines {group:?} are isolated from {others:?}, {ending:?}, {aimed_changes:?}")
        });
        let side = if aimed_changes.is_some() || self.random.random_bool(0.5) {
            Reachability::Reachable
        } else {
            Reachability::Unreachable
        };
        for machine in &group {
            self.block_links(*machine, &others, direction);
            self.partition_clients(*machine, side);
            self.machines[*machine].disturbed_until = self.now + DISTURBED_MS;
        }
        self.schedule_healing(&group, &others, down, ending);
        if let (Some(aimed_changes), Some(machine)) = (aimed_changes, group.first()) {
            self.schedule_aimed_changes(*machine, aimed_changes, down);
        }
    }

    /// Partitions the machines into two halves. Operators and subscribers reach both.
    pub fn split_in_halves(&mut self, down: u64) {
        let mut half = self.living();
        half.shuffle(&mut self.random);
        let others = half.split_off(half.len() / 2);
        self.trace(|| format!("machines {half:?} are isolated from {others:?}"));
        for machine in &half {
            self.block_links(*machine, &others, PartitionDirection::Both);
            self.partition_clients(*machine, Reachability::Reachable);
            self.machines[*machine].disturbed_until = self.now + DISTURBED_MS;
        }
        self.schedule_healing(&half, &others, down, PartitionEnding::Healed);
    }

    fn inject_after(&mut self, delay: u64, fault: Fault) {
        self.schedule(delay, Event::Script(ScriptEvent::Inject(fault)));
    }

    fn kill_in(&mut self, delay: u64, machine: usize) {
        let down = self.random.random_range(20..RESTART_WITHIN_MS);
        self.inject_after(delay, Fault::Kill { target: Target::Exactly(machine), down });
    }

    fn schedule_healing(&mut self, group: &[usize], others: &[usize], down: u64, ending: PartitionEnding) {
        let mut healed_after = down;
        match ending {
            PartitionEnding::Healed => {}
            PartitionEnding::Behind { dark } => {
                healed_after += dark / 2;
                let group = group.iter().map(|machine| self.machines[*machine].member()).collect();
                let left = LeftBehind { group, others: others.to_vec(), dark };
                self.schedule(down, Event::Script(ScriptEvent::LeaveBehind(left)));
            }
            PartitionEnding::OthersKilled => {
                let after = down + self.random.random_range(0..OTHERS_KILLED_WITHIN_MS);
                others.iter().for_each(|machine| self.kill_in(after, *machine));
            }
            PartitionEnding::BothRestarted => {
                let first = self.random.random_range(0..down);
                group.iter().for_each(|machine| self.kill_in(first, *machine));
                let second = first + self.random.random_range(0..OTHERS_RESTARTED_AFTER_MS);
                others.iter().for_each(|machine| self.kill_in(second, *machine));
            }
        }
        for machine in group {
            self.schedule(healed_after, Event::HealPartition { machine: *machine });
        }
    }

    /// Takes the other machines down; one returns first, with an empty disk if no other disk was lost.
    pub fn leave_behind(&mut self, left: LeftBehind) {
        let LeftBehind { group, others, dark } = left;
        let has_disk = |member: &MemberId| self.machines.iter().any(|m| m.member() == *member && !m.removed);
        let may_be_wiped = group.iter().all(has_disk);
        for (index, machine) in others.into_iter().enumerate() {
            let target = Target::Exactly(machine);
            let fault = match (index, may_be_wiped) {
                (0, true) => Fault::Wipe { target, down: dark / 3 },
                (0, false) => Fault::PowerLoss { target, down: dark / 3 },
                _ => Fault::PowerLoss { target, down: dark },
            };
            self.inject_after(0, fault);
        }
    }

    fn schedule_aimed_changes(&mut self, machine: usize, aimed_changes: AimedChanges, down: u64) {
        let until = self.now + down;
        match aimed_changes {
            AimedChanges::OnReturn | AimedChanges::RacingOnReturn => {
                let meeting = self.random.random_range(down - MEETING_WITHIN_MS..down + MEETING_WITHIN_MS);
                for _ in 0..if aimed_changes == AimedChanges::RacingOnReturn { 2 } else { 1 } {
                    let aim = Aim { machine, until: 0 };
                    self.schedule(meeting, Event::Script(ScriptEvent::AimedChange(aim)));
                }
            }
            AimedChanges::Throughout => {
                for delay in (0..down).step_by(HARD_PAUSE_MS as usize) {
                    let aim = Aim { machine, until };
                    self.schedule(delay, Event::Script(ScriptEvent::AimedChange(aim)));
                }
            }
        }
    }
}
