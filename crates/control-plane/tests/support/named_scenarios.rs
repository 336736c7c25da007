//! Named scenarios: which faults affect which machines, and when. The seed selects a variant of the scenario.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::fault_script::{Fault, FaultStep, PartitionDirection, Reachability, Target};
use super::recovery::CATCH_UP_MS;
use super::scenario::Scenario;
use super::shutdown::{AfterShutdown, GRACE_MS};

/// Time in ms of the first fault.
const FIRST: u64 = 2_000;
/// Time in ms until a replaced machine has a successor.
const SUCCESSOR_AFTER: u64 = 1_000;
/// Duration in ms of the longest network partitions, freezes and restarts of the deployments.
const LONG_PARTITION: u64 = 20_000;
/// Time in ms after a machine's return until everything has recovered and the next fault may begin.
const PAUSE: u64 = CATCH_UP_MS + 100;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum NamedScenario {
    /// One machine is partitioned for 20 s; the machine, the directions and the clients that reach it vary.
    LongPartition,
    Kill,
    PowerLoss,
    Wipe,
    /// A machine loses its disk right after an acknowledgement.
    WipeAfterAcknowledgement,
    Freeze,
    /// All processes end at once and restart within a second, in the same epoch.
    HerdKill,
    HerdPowerLoss,
    /// All machines lose power right after an acknowledgement, and as many disks as the tolerance permits are lost.
    HerdWipe,
    /// Each machine is restarted in turn.
    RollingRestarts,
    /// Each machine in turn is shut down gracefully and starts again.
    GracefulRestarts,
    /// An empty machine joins and catches up, and another one is shut down gracefully for good; then a machine is lost.
    PlannedReplacement,
    /// One machine is shut down gracefully while another one is down; then a machine is lost.
    ShutdownDuringLoss,
    /// A machine is replaced by an empty one; the second loss follows as soon as the catch-up time is over.
    ReplaceThenLoss,
    /// The same member is lost repeatedly.
    SameMemberAgain,
    DiskHang,
    SlowDisk,
    ResetLinks,
    LostMessages,
    /// Most responses to operators are lost, and one machine is partitioned or lost in the meantime.
    LostAnswers,
    /// A partition of 20 s, then the loss of the head right after the machine has caught up.
    PartitionThenLoss,
    /// Two machines do not reach each other for 20 s; then a member of the chain is lost.
    SingleLinkPartitionThenLoss,
    /// The same process is killed repeatedly and restarts at once, while many requests are in flight.
    QuickRestarts,
    /// One machine loses its quorum, and all sessions are reset before it detects this.
    PartitionAndReset,
    /// Subscribers restart and move to other control nodes while machines restart.
    SubscriberRestarts,
    /// The machines are split into halves; one machine is lost in the meantime, possibly with its disk or just as it heals.
    SplitInHalves,
    /// A kill of all machines, a wipe after an acknowledgement, a replacement and a partition.
    EverythingInTurn,
    /// Five to eight kinds of faults of the deployments, several at the same time; see [`super::mixed_faults`].
    Mixed,
}

pub const NAMED_SCENARIOS: [NamedScenario; 28] = [
    NamedScenario::LongPartition,
    NamedScenario::Kill,
    NamedScenario::PowerLoss,
    NamedScenario::Wipe,
    NamedScenario::WipeAfterAcknowledgement,
    NamedScenario::Freeze,
    NamedScenario::HerdKill,
    NamedScenario::HerdPowerLoss,
    NamedScenario::HerdWipe,
    NamedScenario::RollingRestarts,
    NamedScenario::GracefulRestarts,
    NamedScenario::PlannedReplacement,
    NamedScenario::ShutdownDuringLoss,
    NamedScenario::ReplaceThenLoss,
    NamedScenario::SameMemberAgain,
    NamedScenario::DiskHang,
    NamedScenario::SlowDisk,
    NamedScenario::ResetLinks,
    NamedScenario::LostMessages,
    NamedScenario::LostAnswers,
    NamedScenario::PartitionThenLoss,
    NamedScenario::SingleLinkPartitionThenLoss,
    NamedScenario::QuickRestarts,
    NamedScenario::PartitionAndReset,
    NamedScenario::SubscriberRestarts,
    NamedScenario::SplitInHalves,
    NamedScenario::EverythingInTurn,
    NamedScenario::Mixed,
];

/// Builds the fault script of a scenario step by step.
struct Script {
    random: Pcg64Mcg,
    steps: Vec<FaultStep>,
    now: u64,
}

impl Script {
    fn new(seed: u64) -> Script {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ 0x9e37_79b9);
        let now = FIRST + random.random_range(0..400);
        Script { random, steps: Vec::new(), now }
    }

    /// Adds a fault that lasts for `duration` ms, followed by time to recover from it.
    fn inject(&mut self, fault: Fault, duration: u64) {
        self.steps.push(FaultStep { at: self.now, fault });
        self.now += duration + PAUSE;
    }

    fn after_acknowledgement(&mut self, fault: Fault, duration: u64) {
        // If nothing else happens, an acknowledgement is given within a second.
        self.inject(Fault::AfterAcknowledgement(Box::new(fault)), duration + 1_000);
    }

    fn target(&mut self) -> Target {
        let targets = [Target::Head, Target::Tail, Target::Oldest, Target::Middle];
        targets.choose(&mut self.random).copied().unwrap_or(Target::Head)
    }

    fn short(&mut self) -> u64 {
        self.random.random_range(100..3_000)
    }

    fn loss(&mut self, target: Target) -> Fault {
        let down = self.short();
        match self.random.random_range(0..4) {
            0 => Fault::Kill { target, down },
            1 => Fault::PowerLoss { target, down },
            2 => Fault::Wipe { target, down },
            _ => Fault::Freeze { target, down },
        }
    }

    fn partition(&mut self, down: u64) -> Fault {
        let direction = [
            PartitionDirection::Both,
            PartitionDirection::Both,
            PartitionDirection::Outbound,
            PartitionDirection::Inbound,
            PartitionDirection::OneLink,
        ];
        let direction = direction.choose(&mut self.random).copied().unwrap_or(PartitionDirection::Both);
        let sides = [Reachability::OwnSubscribers, Reachability::Unreachable, Reachability::Reachable];
        let side = sides.choose(&mut self.random).copied().unwrap_or(Reachability::Unreachable);
        Fault::Partition { target: self.target(), direction, side, down }
    }

    fn replace_then_loss(&mut self) {
        let target = self.target();
        self.steps.push(FaultStep { at: self.now, fault: Fault::Replace { target, after: SUCCESSOR_AFTER } });
        self.now += SUCCESSOR_AFTER + CATCH_UP_MS;
        let second = [Target::Head, Target::Tail, Target::Oldest, Target::Last];
        let second = second.choose(&mut self.random).copied().unwrap_or(Target::Head);
        let loss = self.loss(second);
        self.inject(loss, 3_000);
    }

    fn planned_replacement(&mut self) {
        for _ in 0..2 {
            self.inject(Fault::Add, 0);
            let target = self.target();
            let after_shutdown = AfterShutdown::Removed;
            self.inject(Fault::Stop { target, after_shutdown }, GRACE_MS);
            let target = self.target();
            let loss = self.loss(target);
            self.inject(loss, 3_000);
        }
    }

    fn shutdown_during_loss(&mut self, target: Target, down: u64) {
        let down = 3_000 + down;
        self.steps.push(FaultStep { at: self.now, fault: Fault::PowerLoss { target, down } });
        self.now += self.random.random_range(0..down);
        let target = self.target();
        let stop = Fault::Stop { target, after_shutdown: AfterShutdown::Restart(500) };
        self.inject(stop, GRACE_MS + down);
        let loss = self.loss(Target::Head);
        self.inject(loss, 3_000);
    }

    fn lost_answers(&mut self, target: Target) {
        let at = self.now;
        self.steps.push(FaultStep { at, fault: Fault::LoseResponses { fraction: 0.7, down: 10_000 } });
        self.now += 2_000;
        let fault = if self.random.random_bool(0.5) { self.partition(8_000) } else { self.loss(target) };
        self.inject(fault, 8_000);
    }

    fn single_link_partition_then_loss(&mut self, target: Target) {
        let (direction, side) = (PartitionDirection::OneLink, Reachability::Reachable);
        self.inject(Fault::Partition { target, direction, side, down: LONG_PARTITION }, LONG_PARTITION);
        let target = self.target();
        let loss = self.loss(target);
        self.inject(loss, 3_000);
    }

    fn quick_restarts(&mut self) {
        let mut target = self.target();
        for _ in 0..8 {
            let down = self.random.random_range(1..30);
            self.steps.push(FaultStep { at: self.now, fault: Fault::Kill { target, down } });
            self.now += self.random.random_range(60..500);
            target = Target::Last;
        }
        self.now += PAUSE;
    }

    fn partition_and_reset(&mut self, target: Target) {
        let direction = [PartitionDirection::Both, PartitionDirection::Inbound, PartitionDirection::Outbound];
        let direction = direction.choose(&mut self.random).copied().unwrap_or(PartitionDirection::Both);
        let down = 6_000;
        let partition = Fault::Partition { target, direction, side: Reachability::Reachable, down };
        self.steps.push(FaultStep { at: self.now, fault: partition });
        let reset_at = self.now + self.random.random_range(200..1_500);
        self.steps.push(FaultStep { at: reset_at, fault: Fault::ResetLinks });
        self.now += down + PAUSE;
    }

    fn split_in_halves(&mut self, target: Target, down: u64) {
        let down = 1_000 + down;
        self.steps.push(FaultStep { at: self.now, fault: Fault::SplitInHalves { down } });
        self.now += self.random.random_range(0..down + 300);
        let loss = self.loss(target);
        self.inject(loss, down + 3_000);
    }

    fn everything_in_turn(&mut self, down: u64) {
        self.inject(Fault::KillAll { back_within: 1_000 }, 1_000);
        let target = self.target();
        self.after_acknowledgement(Fault::Wipe { target, down }, down);
        self.replace_then_loss();
        let partition = self.partition(8_000);
        self.inject(partition, 8_000);
    }

    fn herd_kill(&mut self) {
        let fault = Fault::KillAll { back_within: 1_000 };
        if self.random.random_bool(0.5) {
            self.after_acknowledgement(fault, 1_000);
        } else {
            self.inject(fault, 1_000);
        }
    }

    fn rolling_restarts(&mut self, down: u64) {
        for target in [Target::Tail, Target::Middle, Target::Head] {
            self.inject(Fault::Kill { target, down }, down);
        }
    }

    fn graceful_restarts(&mut self, down: u64) {
        let after_shutdown = AfterShutdown::Restart(down);
        for target in [Target::Tail, Target::Middle, Target::Head] {
            self.inject(Fault::Stop { target, after_shutdown }, GRACE_MS + down);
        }
    }

    fn same_member_again(&mut self, target: Target, down: u64) {
        self.inject(Fault::Kill { target, down }, down);
        for _ in 0..2 {
            let loss = self.loss(Target::Last);
            self.inject(loss, 3_000);
        }
    }

    fn partition_then_loss(&mut self) {
        let partition = self.partition(LONG_PARTITION);
        self.inject(partition, LONG_PARTITION);
        let loss = self.loss(Target::Head);
        self.inject(loss, 3_000);
    }

    fn subscriber_restarts(&mut self) {
        for restarted in [Target::Tail, Target::Middle, Target::Head] {
            self.inject(Fault::RestartSubscribers, 0);
            self.inject(Fault::Kill { target: restarted, down: 50 }, 50);
        }
    }

    fn write(&mut self, named: NamedScenario) {
        let target = self.target();
        let down = self.short();
        match named {
            NamedScenario::LongPartition => {
                let partition = self.partition(LONG_PARTITION);
                self.inject(partition, LONG_PARTITION);
            }
            NamedScenario::Kill => self.inject(Fault::Kill { target, down }, down),
            NamedScenario::PowerLoss => self.inject(Fault::PowerLoss { target, down }, down),
            NamedScenario::Wipe => self.inject(Fault::Wipe { target, down }, down),
            NamedScenario::WipeAfterAcknowledgement => {
                self.after_acknowledgement(Fault::Wipe { target, down }, down);
            }
            NamedScenario::Freeze => self.inject(Fault::Freeze { target, down: 3 * down }, 3 * down),
            NamedScenario::HerdKill => self.herd_kill(),
            NamedScenario::HerdPowerLoss => {
                self.after_acknowledgement(Fault::PowerLossOfAll { back_within: 1_000 }, 1_000);
            }
            NamedScenario::HerdWipe => {
                self.after_acknowledgement(Fault::PowerLossOfAllAndWipes { back_within: 1_000 }, 1_000);
            }
            NamedScenario::RollingRestarts => self.rolling_restarts(down),
            NamedScenario::GracefulRestarts => self.graceful_restarts(down),
            NamedScenario::PlannedReplacement => self.planned_replacement(),
            NamedScenario::ShutdownDuringLoss => self.shutdown_during_loss(target, down),
            NamedScenario::ReplaceThenLoss => self.replace_then_loss(),
            NamedScenario::SameMemberAgain => self.same_member_again(target, down),
            NamedScenario::DiskHang => {
                // By then the cluster counts as stable.
                self.now += 1_500;
                self.inject(Fault::DiskHang { target, down: 5_000 }, 5_000);
            }
            NamedScenario::SlowDisk => {
                self.inject(Fault::DiskSlow { target, factor: 30, down: 5_000 }, 5_000);
            }
            NamedScenario::ResetLinks => {
                self.inject(Fault::ResetLinks, 0);
                self.inject(Fault::ResetLinks, 0);
            }
            NamedScenario::LostMessages => {
                self.inject(Fault::LoseMessages { fraction: 0.1, down: 5_000 }, 5_000);
            }
            NamedScenario::LostAnswers => self.lost_answers(target),
            NamedScenario::PartitionThenLoss => self.partition_then_loss(),
            NamedScenario::SingleLinkPartitionThenLoss => self.single_link_partition_then_loss(target),
            NamedScenario::QuickRestarts => self.quick_restarts(),
            NamedScenario::PartitionAndReset => self.partition_and_reset(target),
            NamedScenario::SubscriberRestarts => self.subscriber_restarts(),
            NamedScenario::SplitInHalves => self.split_in_halves(target, down),
            NamedScenario::EverythingInTurn => self.everything_in_turn(down),
            NamedScenario::Mixed => unreachable!("mixed_faults builds this script"),
        }
    }
}

pub fn scenario(named: NamedScenario, seed: u64, machines: u8) -> Scenario {
    if named == NamedScenario::Mixed {
        return super::mixed_faults::scenario(seed, machines);
    }
    let mut script = Script::new(seed);
    script.write(named);
    let delay = script.random.random_range(2..20);
    // Many requests are in flight at each restart.
    let (operators, operator_pause) = if named == NamedScenario::QuickRestarts { (4, 25) } else { (2, 200) };
    Scenario {
        operators,
        operator_pause,
        subscribers: 4,
        placement_pause: 400,
        fault_window: (FIRST, script.now),
        script: script.steps,
        delay,
        // A member that was lost several times stays outside the chain for up to 16 s; the tolerance must not depend on it.
        back_within: 25_000,
        ..Scenario::without_faults(machines)
    }
}
