//! Faults at fixed times, as the descriptions of the deployments define them.

use orchidvalve_protocol::identity::NodeAddress;
use rand::Rng;
use rand::seq::IndexedRandom;

use super::cluster::{Cluster, Event, address};
use super::network_partitions::{Aim, AimedChanges, LeftBehind, PartitionEnding};
use super::recovery::CATCH_UP_MS;
use super::shutdown::AfterShutdown;

/// Time in ms for which a machine that has returned still counts as lost.
pub const DISTURBED_MS: u64 = CATCH_UP_MS + 100;

/// Selects the machine that a fault affects.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Target {
    /// The head of the chain, which also polls the platform's list.
    Head,
    Tail,
    /// The member of the chain with the oldest disk.
    Oldest,
    /// A machine that is neither head nor tail, if there is one.
    Middle,
    /// The machine that the previous fault affected, or its successor.
    Last,
    Any,
    /// The machine with this index, if its process runs.
    Machine(usize),
    /// The machine with this index, even if the tolerance is exhausted by other losses.
    Exactly(usize),
}

/// Directions in which a network partition blocks messages.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PartitionDirection {
    Both,
    Outbound,
    Inbound,
    /// To and from a single other control node.
    OneLink,
}

/// Who can reach a partitioned machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Reachability {
    /// Operators and subscribers still reach it; subscribers with a session there reach no other machine.
    OwnSubscribers,
    /// Neither operators nor subscribers reach it.
    Unreachable,
    /// Operators and subscribers reach it and all other machines.
    Reachable,
}

#[derive(Clone, Debug)]
pub enum Fault {
    /// The process ends and its connections are reset.
    Kill {
        target: Target,
        down: u64,
    },
    /// Records that were not synced may be lost; connections become unresponsive.
    PowerLoss {
        target: Target,
        down: u64,
    },
    /// A loss of power after which the machine comes back with an empty disk.
    Wipe {
        target: Target,
        down: u64,
    },
    Freeze {
        target: Target,
        down: u64,
    },
    Partition {
        target: Target,
        direction: PartitionDirection,
        side: Reachability,
        down: u64,
    },
    /// A graceful shutdown: the process receives the stop signal.
    Stop {
        target: Target,
        after_shutdown: AfterShutdown,
    },
    /// An empty machine starts at another address, in addition to all others.
    Add,
    /// The machine is removed permanently, and an empty one starts at another address.
    Replace {
        target: Target,
        after: u64,
    },
    /// All processes of control nodes end at once and restart one by one within this time in ms.
    KillAll {
        back_within: u64,
    },
    PowerLossOfAll {
        back_within: u64,
    },
    /// A power loss of all machines in which as many disks as the tolerance permits are lost, too.
    PowerLossOfAllAndWipes {
        back_within: u64,
    },
    /// All links between control nodes and all sessions are reset.
    ResetLinks,
    /// All subscribers restart with an empty state.
    RestartSubscribers,
    /// A disk that hangs or is full: no further records become durable.
    DiskHang {
        target: Target,
        down: u64,
    },
    DiskSlow {
        target: Target,
        factor: u64,
        down: u64,
    },
    /// The links and the disk of a machine are slower than usual by this factor.
    NodeSlow {
        target: Target,
        factor: u64,
        down: u64,
    },
    /// As many machines as the tolerance permits are partitioned, as a group, from all others.
    PartitionGroup {
        direction: PartitionDirection,
        down: u64,
        ending: PartitionEnding,
        aimed_changes: Option<AimedChanges>,
    },
    /// The machines are partitioned into two halves, regardless of the tolerance; operators and subscribers reach both.
    SplitInHalves {
        down: u64,
    },
    /// The machine at a seed's address is removed permanently; an empty one at another address takes its place as a seed.
    ReplaceSeed {
        seed: usize,
        after: u64,
    },
    /// A fraction of the responses to operators is lost.
    LoseResponses {
        fraction: f64,
        down: u64,
    },
    /// A fraction of the messages between control nodes is lost, and the same fraction is duplicated.
    LoseMessages {
        fraction: f64,
        down: u64,
    },
    /// The fault follows the next acknowledgement of any machine.
    AfterAcknowledgement(Box<Fault>),
    /// The fault follows some time after the next change that an operator sends.
    AfterSend(Box<Fault>),
}

#[derive(Clone, Debug)]
pub struct FaultStep {
    pub at: u64,
    pub fault: Fault,
}

#[derive(Debug)]
pub enum ScriptEvent {
    Inject(Fault),
    EndLostResponses,
    EndLostMessages,
    DiskFast { machine: usize },
    NodeFast { machine: usize },
    AimedChange(Aim),
    LeaveBehind(LeftBehind),
}

impl Cluster {
    pub fn schedule_script(&mut self) {
        for FaultStep { at, fault } in self.scenario.script.clone() {
            self.schedule(at, Event::Script(ScriptEvent::Inject(fault)));
        }
    }

    pub fn script_event(&mut self, event: ScriptEvent) {
        match event {
            ScriptEvent::Inject(fault) => return self.inject_fault(fault),
            ScriptEvent::EndLostResponses => self.response_loss = 0.0,
            ScriptEvent::EndLostMessages => (self.scenario.loss, self.scenario.duplication) = (0.0, 0.0),
            ScriptEvent::DiskFast { machine } => self.machines[machine].sync_factor = 1,
            ScriptEvent::NodeFast { machine } => self.machines[machine].slowness = 1,
            ScriptEvent::LeaveBehind(left) => return self.leave_behind(left),
            ScriptEvent::AimedChange(aim) => return self.send_aimed_change(aim),
        }
        self.recovery.unstable_at = self.now;
    }

    /// Handles an acknowledgement by a machine: faults that wait for one are injected within 2 ms.
    pub fn acknowledged_by(&mut self, machine: usize) {
        let waiting = std::mem::take(&mut self.after_acknowledgement);
        for fault in waiting {
            let delay = self.random.random_range(0..=2);
            self.trace(|| format!("machine {machine} has acknowledged: {fault:?} follows"));
            self.schedule(delay, Event::Script(ScriptEvent::Inject(fault)));
        }
    }

    /// Handles the sending of a change: faults that wait for one are injected 5 to 400 ms later.
    pub fn change_sent(&mut self) {
        for fault in std::mem::take(&mut self.after_send) {
            let delay = self.random.random_range(5..=400);
            self.schedule(delay, Event::Script(ScriptEvent::Inject(fault)));
        }
    }

    /// Returns the machine that a fault affects if it was meant for `meant`, so that losses stay within the tolerance.
    fn within_tolerance(&mut self, meant: usize) -> Option<usize> {
        if !self.scenario.within_tolerance {
            return Some(meant);
        }
        let lost = self.counted_lost();
        if lost.len() > self.scenario.tolerance {
            return None;
        }
        if lost.len() < self.scenario.tolerance || lost.contains(&meant) {
            return Some(meant);
        }
        let has_process =
            |m: &&usize| !self.machines[**m].removed && self.machines[**m].control_node.is_some();
        let candidates: Vec<usize> = lost.iter().filter(has_process).copied().collect();
        candidates.choose(&mut self.random).copied()
    }

    fn target(&mut self, target: Target) -> Option<usize> {
        let view = self.latest_view()?;
        let has_process = |m: &usize| !self.machines[*m].removed && self.machines[*m].control_node.is_some();
        let known = |member: &orchidvalve_protocol::identity::MemberId| {
            self.machines.iter().position(|m| m.member() == *member && !m.removed)
        };
        let chain: Vec<usize> = view.chain.iter().filter_map(known).filter(|m| has_process(m)).collect();
        let chosen = match target {
            Target::Head => chain.first().copied(),
            Target::Tail => chain.last().copied(),
            Target::Oldest => chain.iter().copied().min_by_key(|m| self.machines[*m].disk_identity),
            Target::Middle => chain.get(1).copied(),
            Target::Last => self.last_faulted.filter(has_process),
            Target::Any => None,
            Target::Exactly(machine) => return Some(machine).filter(has_process),
            Target::Machine(machine) => {
                let meant = Some(machine).filter(has_process)?;
                return self.within_tolerance(meant);
            }
        };
        let all: Vec<usize> = (0..self.machines.len()).filter(has_process).collect();
        if all.is_empty() {
            return None;
        }
        let any = all[self.random.random_range(0..all.len())];
        self.within_tolerance(chosen.unwrap_or(any))
    }

    fn inject_fault(&mut self, fault: Fault) {
        if let Fault::AfterAcknowledgement(fault) = fault {
            self.after_acknowledgement.push(*fault);
            return;
        }
        if let Fault::AfterSend(fault) = fault {
            self.after_send.push(*fault);
            return;
        }
        if self.partition_waits(&fault) {
            return;
        }
        self.trace(|| format!("fault: {fault:?}"));
        let disk_only = matches!(fault, Fault::DiskHang { .. });
        let unstable_at = self.recovery.unstable_at;
        self.recovery.fault_injected(self.now);
        if disk_only {
            // The cluster stays stable while a disk hangs.
            self.recovery.unstable_at = unstable_at;
        }
        self.summary.faults += 1;
        self.apply_fault(fault);
    }

    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill { target, down } => self.at(target, |cluster, m| cluster.crash(m, true, down)),
            Fault::PowerLoss { target, down } => self.at(target, |cluster, m| cluster.crash(m, false, down)),
            Fault::Wipe { target, down } => self.at(target, |cluster, m| cluster.wipe(m, down)),
            Fault::Freeze { target, down } => self.at(target, |cluster, m| {
                cluster.machines[m].frozen = true;
                cluster.machines[m].down_since = cluster.now;
                cluster.schedule(down, Event::Thaw { machine: m });
            }),
            Fault::Partition { target, direction, side, down } => {
                self.at(target, |cluster, m| {
                    cluster.isolate(m, direction, side);
                    cluster.schedule(down, Event::HealPartition { machine: m });
                });
            }
            Fault::Replace { target, after } => self.at(target, |cluster, m| {
                cluster.replace(m, after);
                cluster.last_faulted = Some(cluster.machines.len() - 1);
            }),
            Fault::Stop { target, after_shutdown } => {
                self.at(target, |cluster, m| cluster.request_shutdown(m, after_shutdown));
            }
            Fault::Add => self.add_empty_machine(),
            Fault::KillAll { back_within } => self.stop_all(true, back_within, 0),
            Fault::PowerLossOfAll { back_within } => self.stop_all(false, back_within, 0),
            Fault::PowerLossOfAllAndWipes { back_within } => {
                let may_wipe = !self.scenario.within_tolerance || self.counted_lost().is_empty();
                self.stop_all(false, back_within, if may_wipe { self.scenario.tolerance } else { 0 });
            }
            Fault::ResetLinks => self.reset_links(),
            Fault::RestartSubscribers => self.restart_subscribers(),
            Fault::DiskHang { target, down } => self.at(target, |cluster, m| {
                cluster.machines[m].hanging = true;
                cluster.schedule(down, Event::DiskWorks { machine: m });
            }),
            Fault::DiskSlow { target, factor, down } => self.at(target, |cluster, m| {
                cluster.machines[m].sync_factor = factor;
                cluster.schedule(down, Event::Script(ScriptEvent::DiskFast { machine: m }));
            }),
            Fault::LoseResponses { fraction, down } => {
                self.response_loss = fraction;
                self.schedule(down, Event::Script(ScriptEvent::EndLostResponses));
            }
            Fault::LoseMessages { fraction, down } => {
                (self.scenario.loss, self.scenario.duplication) = (fraction, fraction);
                self.schedule(down, Event::Script(ScriptEvent::EndLostMessages));
            }
            Fault::NodeSlow { target, factor, down } => self.at(target, |cluster, m| {
                cluster.machines[m].slowness = factor;
                cluster.schedule(down, Event::Script(ScriptEvent::NodeFast { machine: m }));
            }),
            Fault::PartitionGroup { direction, down, ending, aimed_changes } => {
                self.isolate_group(direction, down, ending, aimed_changes);
            }
            Fault::SplitInHalves { down } => self.split_in_halves(down),
            Fault::ReplaceSeed { seed, after } => self.replace_seed(seed, after),
            Fault::AfterAcknowledgement(_) | Fault::AfterSend(_) => {}
        }
    }

    fn replace_seed(&mut self, seed: usize, after: u64) {
        let address = self.seeds[seed];
        let found = self.machines.iter().position(|m| m.address == address && !m.removed);
        let Some(machine) = found.filter(|m| self.within_tolerance(*m) == Some(*m)) else { return };
        self.replace(machine, after);
        let successor = self.machines.len() - 1;
        self.seeds[seed] = self.machines[successor].address;
        self.trace(|| format!("machine {machine} is replaced by {successor}"));
    }

    /// Replaces removed machines among the seeds if at most as many seeds as the tolerance remain. Without this, a starting
    /// machine could not find a deployment of which it knows only addresses of removed machines.
    pub fn renew_seeds(&mut self) {
        let is_present =
            |address: &NodeAddress| self.machines.iter().any(|m| m.address == *address && !m.removed);
        let present_seeds = self.seeds.iter().filter(|seed| is_present(seed)).count();
        if !self.scenario.within_tolerance || present_seeds > self.scenario.tolerance {
            return;
        }
        let is_other = |address: &NodeAddress| !self.seeds.contains(address);
        let present = self.machines.iter().filter(|m| !m.removed).map(|m| m.address);
        let mut others: Vec<NodeAddress> = present.filter(is_other).collect();
        let removed: Vec<usize> = (0..self.seeds.len()).filter(|s| !is_present(&self.seeds[*s])).collect();
        for seed in removed {
            if let Some(address) = others.pop() {
                self.seeds[seed] = address;
            }
        }
    }

    fn add_empty_machine(&mut self) {
        let number = self.machines.len() as u8 + 1;
        self.add_machine(address(number), false);
        let machine = self.machines.len() - 1;
        self.machines[machine].lost = Some(u64::MAX);
        self.schedule(0, Event::Start { machine });
    }

    fn at(&mut self, target: Target, inject: impl FnOnce(&mut Cluster, usize)) {
        if let Some(machine) = self.target(target) {
            self.last_faulted = Some(machine);
            self.machines[machine].disturbed_until = self.now + DISTURBED_MS;
            self.trace(|| format!("machine {machine} is affected"));
            inject(self, machine);
        }
    }

    fn isolate(&mut self, machine: usize, direction: PartitionDirection, side: Reachability) {
        let mut others: Vec<usize> =
            (0..self.machines.len()).filter(|m| *m != machine && !self.machines[*m].removed).collect();
        if direction == PartitionDirection::OneLink {
            let chosen = self.random.random_range(0..others.len());
            others = vec![others[chosen]];
        }
        self.block_links(machine, &others, direction);
        if direction == PartitionDirection::OneLink {
            return;
        }
        self.partition_clients(machine, side);
    }

    /// Blocks the links between a machine and others.
    pub fn block_links(&mut self, machine: usize, others: &[usize], direction: PartitionDirection) {
        self.machines[machine].isolated = true;
        for other in others.iter().copied() {
            if direction != PartitionDirection::Inbound {
                self.blocked_links.push((machine, other));
            }
            if direction != PartitionDirection::Outbound {
                self.blocked_links.push((other, machine));
            }
        }
    }

    /// Partitions the machine from operators and subscribers as well, as `side` says.
    pub fn partition_clients(&mut self, machine: usize, side: Reachability) {
        match side {
            Reachability::Unreachable => {
                self.unreachable_for_operators.push(machine);
                self.subscribers.iter_mut().for_each(|subscriber| subscriber.unreachable.push(machine));
            }
            Reachability::Reachable => {}
            Reachability::OwnSubscribers => {
                let at_machine: Vec<usize> = self.subscribers_at(machine);
                let others: Vec<usize> = (0..self.machines.len()).filter(|m| *m != machine).collect();
                for subscriber in at_machine {
                    self.subscribers[subscriber].unreachable.extend(&others);
                }
            }
        }
    }

    fn stop_all(&mut self, tells: bool, back_within: u64, wipes: usize) {
        self.summary.blackouts += 1;
        let machines: Vec<usize> = (0..self.machines.len()).filter(|m| !self.machines[*m].removed).collect();
        let first_wiped = self.random.random_range(0..machines.len());
        for (index, machine) in machines.iter().copied().enumerate() {
            let down = self.random.random_range(20..=back_within);
            let wiped = (index + machines.len() - first_wiped) % machines.len() < wipes;
            if wiped { self.wipe(machine, down) } else { self.crash(machine, tells, down) }
        }
    }

    fn reset_links(&mut self) {
        for machine in 0..self.machines.len() {
            for other in 1..=self.machines.len() as u8 {
                self.link_closed(machine, address(other));
            }
            self.machines[machine].sessions.clear();
        }
        self.leave_all_sessions();
    }

    /// Ends the partition of a machine from operators and subscribers.
    pub fn heal_client_partitions(&mut self, machine: usize) {
        self.recovery.unstable_at = self.now;
        self.unreachable_for_operators.retain(|partition| *partition != machine);
        for subscriber in &mut self.subscribers {
            if self.blocked_links.is_empty() {
                subscriber.unreachable.clear();
            } else {
                subscriber.unreachable.retain(|partition| *partition != machine);
            }
        }
        self.release_held_calls(machine);
    }
}
