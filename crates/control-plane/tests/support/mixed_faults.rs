//! A scenario that mixes the faults of the deployments: five to eight kinds, several at the same time, repeated while
//! hundreds of changes are made. Losses stay within the tolerance: once as many machines as it permits are down, or back
//! for less than the catch-up time, further faults affect one of these machines.

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::fault_script::{Fault, FaultStep, PartitionDirection, Reachability, Target};
use super::network_partitions::{AimedChanges, PartitionEnding};
use super::recovery::CATCH_UP_MS;
use super::scenario::Scenario;
use super::shutdown::AfterShutdown;

/// Time in ms of the first fault.
const FIRST_MS: u64 = 2_000;
/// The number of times that the chosen kinds of faults are repeated.
const ROUNDS: usize = 4;
const FEWEST_KINDS: usize = 5;
const MOST_KINDS: usize = 8;
/// The longest time in ms between two faults, whether or not the first one is over.
const LONGEST_OVERLAP_MS: u64 = 3_000;
/// Time in ms until a replaced machine has a successor.
const SUCCESSOR_AFTER_MS: u64 = 1_000;
/// Time in ms in which an acknowledgement that a fault waits for is given if nothing else happens.
const ACKNOWLEDGED_WITHIN_MS: u64 = 1_000;
const ALL_BACK_WITHIN_MS: u64 = 1_000;
const SLOW_NODE: u64 = 5;
const SLOW_DISK: u64 = 30;

/// Kinds of faults of the deployments that concern control nodes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Kind {
    Kill,
    Freeze,
    Wipe,
    PowerLossAfterAcknowledgement,
    /// A power loss some time after a change was sent.
    TimedPowerLoss,
    WipeAfterAcknowledgement,
    Partition,
    PartitionLeftBehind,
    PartitionThenOthersKilled,
    PartitionBothRestarted,
    PartitionWithAimedChanges,
    /// Each machine in turn is shut down gracefully and starts again.
    RollingStops,
    /// An empty machine is added, and another one is shut down gracefully and removed.
    PlannedReplacement,
    Replacement,
    KillOfAll,
    /// All machines lose power right after an acknowledgement.
    PowerLossOfAll,
    PowerLossOfAllAndWipes,
    DiskSlow,
    DiskHang,
    NodeSlow,
    ResetLinks,
    LostResponses,
    SeedTurnover,
    SubscriberRestarts,
}

pub const KINDS: [Kind; 24] = [
    Kind::Kill,
    Kind::Freeze,
    Kind::Wipe,
    Kind::PowerLossAfterAcknowledgement,
    Kind::TimedPowerLoss,
    Kind::WipeAfterAcknowledgement,
    Kind::Partition,
    Kind::PartitionLeftBehind,
    Kind::PartitionThenOthersKilled,
    Kind::PartitionBothRestarted,
    Kind::PartitionWithAimedChanges,
    Kind::RollingStops,
    Kind::PlannedReplacement,
    Kind::Replacement,
    Kind::KillOfAll,
    Kind::PowerLossOfAll,
    Kind::PowerLossOfAllAndWipes,
    Kind::DiskSlow,
    Kind::DiskHang,
    Kind::NodeSlow,
    Kind::ResetLinks,
    Kind::LostResponses,
    Kind::SeedTurnover,
    Kind::SubscriberRestarts,
];

/// Builds the fault script of the scenario.
struct FaultMixer {
    random: Pcg64Mcg,
    machines: u8,
    steps: Vec<FaultStep>,
    now: u64,
    /// Time in ms at which the last fault of the round is over.
    over_at: u64,
}

impl FaultMixer {
    fn new(seed: u64, machines: u8) -> FaultMixer {
        let random = Pcg64Mcg::seed_from_u64(seed ^ 0x51f1_5eed);
        FaultMixer { random, machines, steps: Vec::new(), now: FIRST_MS, over_at: FIRST_MS }
    }

    /// Adds a fault `delay` ms after the current time of the script; it is over `duration` ms later.
    fn inject_after(&mut self, delay: u64, fault: Fault, duration: u64) {
        let at = self.now + delay;
        self.steps.push(FaultStep { at, fault });
        self.over_at = self.over_at.max(at + duration);
    }

    fn inject(&mut self, fault: Fault, duration: u64) {
        self.inject_after(0, fault, duration);
    }

    fn after_acknowledgement(&mut self, fault: Fault, duration: u64) {
        let waiting = Fault::AfterAcknowledgement(Box::new(fault));
        self.inject(waiting, duration + ACKNOWLEDGED_WITHIN_MS);
    }

    fn target(&mut self) -> Target {
        let targets = [Target::Head, Target::Tail, Target::Oldest, Target::Middle, Target::Last, Target::Any];
        targets.choose(&mut self.random).copied().unwrap_or(Target::Any)
    }

    fn direction(&mut self) -> PartitionDirection {
        let direction = [
            PartitionDirection::Both,
            PartitionDirection::Both,
            PartitionDirection::Outbound,
            PartitionDirection::Inbound,
        ];
        direction.choose(&mut self.random).copied().unwrap_or(PartitionDirection::Both)
    }

    fn partition_group(&mut self, ending: PartitionEnding, aimed_changes: Option<AimedChanges>) {
        let down = self.random.random_range(1_000..12_000);
        let direction = self.direction();
        self.inject(
            Fault::PartitionGroup { direction, down, ending, aimed_changes },
            down + ending.duration(),
        );
    }

    fn partition(&mut self) {
        let down = self.random.random_range(500..20_000);
        let target = self.target();
        let side = [Reachability::OwnSubscribers, Reachability::Unreachable, Reachability::Reachable]
            .choose(&mut self.random)
            .copied();
        let direction =
            if self.random.random_bool(0.2) { PartitionDirection::OneLink } else { self.direction() };
        self.inject(
            Fault::Partition { target, direction, side: side.unwrap_or(Reachability::Reachable), down },
            down,
        );
    }

    fn rolling_stops(&mut self) {
        let pause = self.random.random_range(4_000..7_000);
        for turn in 0..u64::from(self.machines) {
            let target = Target::Machine(turn as usize);
            let after_shutdown = AfterShutdown::Restart(self.random.random_range(100..2_000));
            self.inject_after(turn * pause, Fault::Stop { target, after_shutdown }, pause);
        }
    }

    fn seed_turnover(&mut self) {
        let pause = SUCCESSOR_AFTER_MS + CATCH_UP_MS + 200;
        for turn in 0..u64::from(self.machines) {
            let replaced = Fault::ReplaceSeed { seed: turn as usize, after: SUCCESSOR_AFTER_MS };
            self.inject_after(turn * pause, replaced, pause);
        }
    }

    fn planned_replacement(&mut self) {
        self.inject(Fault::Add, CATCH_UP_MS);
        let target = self.target();
        let stop = Fault::Stop { target, after_shutdown: AfterShutdown::Removed };
        self.inject_after(CATCH_UP_MS + 100, stop, super::shutdown::GRACE_MS);
    }

    fn partition_left_behind(&mut self) {
        let dark = self.random.random_range(1_000..6_000);
        self.partition_group(PartitionEnding::Behind { dark }, None);
    }

    fn partition_with_aimed_changes(&mut self) {
        let aimed_changes = [AimedChanges::OnReturn, AimedChanges::RacingOnReturn, AimedChanges::Throughout]
            .choose(&mut self.random)
            .copied();
        self.partition_group(PartitionEnding::Healed, aimed_changes);
    }

    fn write(&mut self, kind: Kind) {
        let target = self.target();
        let down = self.random.random_range(20..3_000);
        let duration = self.random.random_range(1_000..6_000);
        match kind {
            Kind::Kill => self.inject(Fault::Kill { target, down }, down),
            Kind::Freeze => self.inject(Fault::Freeze { target, down: duration }, duration),
            Kind::Wipe => self.inject(Fault::Wipe { target, down }, down),
            Kind::PowerLossAfterAcknowledgement => {
                self.after_acknowledgement(Fault::PowerLoss { target, down }, down);
            }
            Kind::TimedPowerLoss => {
                let fault = Fault::AfterSend(Box::new(Fault::PowerLoss { target, down }));
                self.inject(fault, down + ACKNOWLEDGED_WITHIN_MS);
            }
            Kind::WipeAfterAcknowledgement => {
                self.after_acknowledgement(Fault::Wipe { target, down }, down);
            }
            Kind::Partition => self.partition(),
            Kind::PartitionLeftBehind => self.partition_left_behind(),
            Kind::PartitionThenOthersKilled => self.partition_group(PartitionEnding::OthersKilled, None),
            Kind::PartitionBothRestarted => self.partition_group(PartitionEnding::BothRestarted, None),
            Kind::PartitionWithAimedChanges => self.partition_with_aimed_changes(),
            Kind::RollingStops => self.rolling_stops(),
            Kind::PlannedReplacement => self.planned_replacement(),
            Kind::Replacement => {
                let after = SUCCESSOR_AFTER_MS;
                self.inject(Fault::Replace { target, after }, after);
            }
            Kind::KillOfAll => {
                let fault = Fault::KillAll { back_within: ALL_BACK_WITHIN_MS };
                self.inject(fault, ALL_BACK_WITHIN_MS);
            }
            Kind::PowerLossOfAll => {
                let fault = Fault::PowerLossOfAll { back_within: ALL_BACK_WITHIN_MS };
                self.after_acknowledgement(fault, ALL_BACK_WITHIN_MS);
            }
            Kind::PowerLossOfAllAndWipes => {
                let fault = Fault::PowerLossOfAllAndWipes { back_within: ALL_BACK_WITHIN_MS };
                self.after_acknowledgement(fault, ALL_BACK_WITHIN_MS);
            }
            Kind::DiskSlow => {
                let slow = Fault::DiskSlow { target, factor: SLOW_DISK, down: duration };
                self.inject(slow, duration);
            }
            Kind::DiskHang => self.inject(Fault::DiskHang { target, down: duration }, duration),
            Kind::NodeSlow => {
                let slow = Fault::NodeSlow { target, factor: SLOW_NODE, down: duration };
                self.inject(slow, duration);
            }
            Kind::ResetLinks => self.inject(Fault::ResetLinks, 0),
            Kind::LostResponses => {
                self.inject(Fault::LoseResponses { fraction: 0.7, down: duration }, duration);
            }
            Kind::SeedTurnover => self.seed_turnover(),
            Kind::SubscriberRestarts => self.inject(Fault::RestartSubscribers, 0),
        }
    }

    fn write_scenario(&mut self) {
        let mut kinds = KINDS.to_vec();
        kinds.shuffle(&mut self.random);
        kinds.truncate(self.random.random_range(FEWEST_KINDS..=MOST_KINDS));
        for _ in 0..ROUNDS {
            kinds.shuffle(&mut self.random);
            for kind in &kinds {
                self.write(*kind);
                self.now += self.random.random_range(1..=LONGEST_OVERLAP_MS);
            }
            // Everything recovers completely between two rounds.
            let quiet = CATCH_UP_MS + self.random.random_range(100..4_000);
            self.now = self.now.max(self.over_at) + quiet;
        }
        self.steps.sort_by_key(|step| step.at);
    }
}

/// Returns the mixed scenario, in which operators have up to eight requests in flight most of the time.
pub fn scenario(seed: u64, machines: u8) -> Scenario {
    let mut mixer = FaultMixer::new(seed, machines);
    mixer.write_scenario();
    let delay = mixer.random.random_range(2..20);
    Scenario {
        operators: 4,
        operator_pause: 100,
        subscribers: 4,
        placement_pause: 400,
        keeps_order: true,
        platform: true,
        fault_window: (FIRST_MS, mixer.now),
        script: mixer.steps,
        delay,
        back_within: 25_000,
        within_tolerance: true,
        ..Scenario::without_faults(machines)
    }
}
