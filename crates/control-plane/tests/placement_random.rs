//! Random losses, wiped disks, retirements and changes of the control head over a model of what stores hold.
//!
//! The model knows what the planner can only be told: how much every disk holds of every partition. No view may
//! begin under a head that lacks something committed, whatever is lost at once; and once the machines are back
//! and stay, every partition is whole again.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use orchidvalve_control_plane::placement::{
    CaughtUp, LiveStoreNode, PARTITIONS, PlacementInput, can_remove_store_node, initial_placement,
    is_partition_lost, plan,
};
use orchidvalve_control_state::Placement;
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const ZONES: [&str; 6] = ["a", "a", "b", "b", "c", "c"];
const STEPS: usize = 1_500;
/// Steps of which no report reaches the control head, after it has changed.
const SILENT_STEPS: usize = 12;
/// Steps for which a partition is seen to be lost before it begins anew: longer than reports may be silent.
const LOSS_STEPS: usize = 40;

fn member(number: usize, disk: u64) -> MemberId {
    MemberId { address: NodeAddress::new(Ipv4Addr::new(10, 0, 2, number as u8 + 1), 7000), disk }
}

/// A store node.
#[derive(Clone, Debug)]
struct Machine {
    member: MemberId,
    up: bool,
    retiring: bool,
    disk_failing: bool,
    is_full: bool,
}

/// What the disks hold of one partition.
#[derive(Clone, Default, Debug)]
struct Journals {
    /// Entries that were committed.
    committed: u64,
    /// Entries on each disk.
    held: BTreeMap<MemberId, u64>,
    /// Members that hold everything committed before the view in force.
    synchronized: BTreeSet<MemberId>,
}

struct Model {
    random: Pcg64Mcg,
    copies: usize,
    machines: Vec<Machine>,
    partitions: Vec<Placement>,
    journals: Vec<Journals>,
    caught_up: BTreeSet<CaughtUp>,
    disks: u64,
    silent_until: usize,
    step: usize,
    losses_at_once: usize,
    /// Partitions that begin anew.
    lost: BTreeSet<u16>,
    /// Steps since which each partition is seen to be lost.
    lost_steps: BTreeMap<u16, usize>,
    began_anew: usize,
    /// Whether a disk may be lost that is the last to hold something.
    wipes_last: bool,
    /// How often a chain that was too short went on with a former member.
    went_on_with_former: usize,
    /// How often nothing could be done for want of a machine that is known to hold everything.
    waited: usize,
}

impl Model {
    fn new(seed: u64, copies: usize, losses_at_once: usize) -> Model {
        let machine = |number| Machine {
            member: member(number, 1),
            up: true,
            retiring: false,
            disk_failing: false,
            is_full: false,
        };
        let mut model = Model {
            random: Pcg64Mcg::seed_from_u64(seed),
            copies,
            machines: (0..ZONES.len()).map(machine).collect(),
            partitions: Vec::new(),
            journals: vec![Journals::default(); usize::from(PARTITIONS)],
            caught_up: BTreeSet::new(),
            disks: 1,
            silent_until: 0,
            step: 0,
            losses_at_once,
            lost: BTreeSet::new(),
            lost_steps: BTreeMap::new(),
            began_anew: 0,
            wipes_last: false,
            went_on_with_former: 0,
            waited: 0,
        };
        let live = model.live();
        let first = initial_placement(&PlacementInput {
            live: &live,
            caught_up: &model.caught_up,
            copies,
            lost: &BTreeSet::new(),
        });
        for (partition, placement) in first {
            model.partitions.push(placement);
            model.take_up(usize::from(partition));
        }
        model
    }

    fn live(&self) -> Vec<LiveStoreNode> {
        let up = self.machines.iter().zip(ZONES).filter(|(machine, _)| machine.up);
        let store = |(machine, zone): (&Machine, &str)| LiveStoreNode {
            member: machine.member,
            zone: zone.to_owned(),
            retiring: machine.retiring,
            is_full: false,
            disk_failing: machine.disk_failing,
        };
        up.map(store).collect()
    }

    fn is_up(&self, member: &MemberId) -> bool {
        self.machines.iter().any(|machine| machine.up && machine.member == *member)
    }

    fn is_sound(&self, member: &MemberId) -> bool {
        self.machines.iter().any(|machine| machine.up && !machine.disk_failing && machine.member == *member)
    }

    fn holds_everything(&self, partition: u16, member: &MemberId) -> bool {
        let journals = &self.journals[usize::from(partition)];
        // A disk that was never written holds everything as long as nothing is committed.
        journals.held.get(member).copied().unwrap_or(0) >= journals.committed
    }

    /// A view is in force: its head's log is the truth.
    fn take_up(&mut self, partition: usize) {
        let placement = &self.partitions[partition];
        let journals = &mut self.journals[partition];
        let head = placement.members[0];
        let held = journals.held.entry(head).or_default();
        assert!(
            *held >= journals.committed,
            "the head of {placement:?} holds {held} of {}",
            journals.committed
        );
        journals.synchronized = BTreeSet::from([head]);
    }

    /// The members of one partition pass entries on; all of them together commit one.
    fn run_chain(&mut self, partition: usize) {
        let placement = self.partitions[partition].clone();
        let chain: Vec<MemberId> = placement.members.iter().chain(&placement.learners).copied().collect();
        for pair in chain.windows(2) {
            let (from, to) = (pair[0], pair[1]);
            let passes = self.is_up(&from) && self.is_up(&to) && self.random.random_bool(0.3);
            let journals = &mut self.journals[partition];
            if !passes || !journals.synchronized.contains(&from) {
                continue;
            }
            journals.held.insert(to, journals.held[&from]);
            if placement.members.contains(&to) {
                journals.synchronized.insert(to);
            } else {
                self.report(partition, placement.epoch, to);
            }
        }
        let all_up = placement.members.iter().all(|m| self.is_up(m));
        let journals = &mut self.journals[partition];
        let complete = placement.members.iter().all(|m| journals.synchronized.contains(m));
        if all_up && complete && placement.members.len() >= self.copies {
            journals.committed += 1;
            journals.held.extend(placement.members.iter().map(|m| (*m, journals.committed)));
        }
        for member in journals.synchronized.clone() {
            if self.is_up(&member) {
                self.report(partition, placement.epoch, member);
            }
        }
    }

    /// A report that may be lost.
    fn report(&mut self, partition: usize, epoch: u64, member: MemberId) {
        if self.step >= self.silent_until && self.random.random_bool(0.4) {
            self.caught_up.insert(CaughtUp { partition: partition as u16, epoch, member });
        }
    }

    fn trouble(&mut self) {
        let index = self.random.random_range(0..self.machines.len());
        match self.random.random_range(0..100) {
            0..8 => {
                self.machines.iter_mut().for_each(|machine| machine.up = true);
                for _ in 0..self.random.random_range(0..=self.losses_at_once) {
                    let lost = self.random.random_range(0..self.machines.len());
                    self.machines[lost].up = false;
                }
            }
            8..12 => self.machines[index].up = true,
            12..14 => {
                let retiring = self.machines.iter().filter(|machine| machine.retiring).count();
                self.machines[index].retiring = retiring < 2 && !self.machines[index].retiring;
            }
            14..16 => self.machines[index].disk_failing = !self.machines[index].disk_failing,
            16..18 => {
                // Another control node is the head and hasn't heard any store yet.
                self.caught_up.clear();
                self.silent_until = self.step + SILENT_STEPS;
            }
            18..21 => self.wipe(index),
            21..23 => self.machines[index].is_full = !self.machines[index].is_full,
            _ => {}
        }
    }

    /// A disk is lost unless it is the last that is known to hold everything.
    fn wipe(&mut self, index: usize) {
        let lost = self.machines[index].member;
        let exists = |member: &MemberId| self.machines.iter().any(|machine| machine.member == *member);
        let spared = |placement: &Placement| {
            placement.complete_replicas.iter().any(|holder| *holder != lost && exists(holder))
        };
        if self.wipes_last || self.partitions.iter().all(spared) {
            self.disks += 1;
            self.machines[index].member = member(index, self.disks);
            for journals in &mut self.journals {
                journals.held.remove(&lost);
            }
        }
    }

    /// Looks for partitions that are lost for certain, as the control head does.
    fn look_for_losses(&mut self) {
        let live = self.live();
        let none = BTreeSet::new();
        let input =
            PlacementInput { live: &live, caught_up: &self.caught_up, copies: self.copies, lost: &none };
        let mut steps = BTreeMap::new();
        for (partition, placement) in (0u16..).zip(&self.partitions) {
            if is_partition_lost(partition, placement, &input) {
                let known = self.lost_steps.get(&partition).copied().unwrap_or(0);
                steps.insert(partition, known + 1);
            }
        }
        let sure = steps.iter().filter(|(_, steps)| **steps >= LOSS_STEPS);
        self.lost = sure.map(|(partition, _)| *partition).collect();
        self.lost_steps = steps;
    }

    /// The partition begins anew: that is right only if the disks of all holders and of all members that hold
    /// everything are lost.
    fn restart_empty(&mut self, partition: usize) {
        let placement = &self.partitions[partition];
        let journals = &mut self.journals[partition];
        let mut holders = placement.complete_replicas.iter().chain(&journals.synchronized);
        let whole = holders.find(|m| self.machines.iter().any(|machine| machine.member == **m));
        assert!(whole.is_none(), "partition {partition} began anew, though {whole:?} holds everything");
        *journals = Journals::default();
        self.began_anew += 1;
    }

    fn place(&mut self) {
        self.look_for_losses();
        let live = self.live();
        let input =
            PlacementInput { live: &live, caught_up: &self.caught_up, copies: self.copies, lost: &self.lost };
        let changes = plan(&self.partitions, &input);
        for (index, placement) in self.partitions.iter().enumerate() {
            let has_lost = placement.members.iter().any(|m| !self.is_up(m));
            if has_lost && !changes.iter().any(|(partition, _)| usize::from(*partition) == index) {
                self.waited += 1;
            }
        }
        for (partition, next) in changes {
            if next.reset_epoch == next.epoch {
                self.restart_empty(usize::from(partition));
            } else {
                self.check(partition, &next);
            }
            self.partitions[usize::from(partition)] = next;
            self.take_up(usize::from(partition));
        }
        self.check_emptied();
    }

    /// A machine that is told to be emptied goes with its disk at once: enough others have to hold everything. Copies on
    /// disks that were lost count, as those are other losses.
    fn check_emptied(&self) {
        for machine in
            self.machines.iter().filter(|m| m.retiring && can_remove_store_node(&m.member, &self.partitions))
        {
            for (partition, placement) in (0u16..).zip(&self.partitions) {
                let is_lost = |m: &MemberId| !self.machines.iter().any(|machine| machine.member == *m);
                let holds = |m: &&MemberId| is_lost(m) || self.holds_everything(partition, m);
                let copies = placement.members.iter().filter(|m| **m != machine.member).filter(holds).count();
                assert!(copies >= self.copies, "{} may not be removed: {placement:?}", machine.member);
            }
        }
    }

    fn check(&mut self, partition: u16, next: &Placement) {
        let before = &self.partitions[usize::from(partition)];
        let whole = |placement: &Placement| {
            placement.members.iter().filter(|m| self.is_up(m) && self.holds_everything(partition, m)).count()
        };
        let lost = before.members.iter().any(|m| !self.is_sound(m));
        assert!(lost || whole(next) >= whole(before).min(self.copies), "{before:?} -> {next:?}");
        assert_eq!(next.epoch, before.epoch + 1);
        let listed: BTreeSet<_> = next.members.iter().chain(&next.learners).collect();
        assert_eq!(listed.len(), next.members.len() + next.learners.len(), "{before:?} -> {next:?}");
        for member in next.members.iter().filter(|m| !before.members.contains(m)) {
            let has_caught_up =
                self.caught_up.contains(&CaughtUp { partition, epoch: before.epoch, member: *member });
            let is_former = before.is_undersized() && before.complete_replicas.contains(member);
            assert!(has_caught_up || is_former, "{before:?} -> {next:?}");
        }
        if !next.members.iter().any(|m| before.members.contains(m)) {
            self.went_on_with_former += 1;
        }
        let journals = &self.journals[usize::from(partition)];
        for holder in next.complete_replicas.iter().filter(|holder| journals.held.contains_key(holder)) {
            assert!(journals.held[holder] >= journals.committed, "{holder} is no holder: {next:?}");
        }
    }

    fn run(&mut self) {
        for step in 0..STEPS {
            self.step = step;
            self.trouble();
            self.place();
            for partition in 0..self.partitions.len() {
                self.run_chain(partition);
            }
        }
    }

    /// All machines are back, one is to be emptied.
    fn calm(&mut self) {
        for machine in &mut self.machines {
            let member = machine.member;
            *machine = Machine { member, up: true, retiring: false, disk_failing: false, is_full: false };
        }
        self.machines[0].retiring = true;
        for _ in 0..100 {
            self.step += 1;
            self.place();
            for partition in 0..self.partitions.len() {
                self.run_chain(partition);
            }
        }
    }
}

#[rstest]
fn no_partition_is_led_by_a_store_that_lacks_something(
    #[values(2, 3)] copies: usize,
    #[values(1, 2, 4)] losses_at_once: usize,
) {
    let (mut waited, mut went_on_with_former) = (0, 0);
    for seed in 0..25 {
        let mut model = Model::new(seed, copies, losses_at_once);
        model.run();
        model.calm();
        for (index, placement) in model.partitions.iter().enumerate() {
            assert_eq!((placement.members.len(), placement.learners.len()), (copies, 0), "{placement:?}");
            assert!(model.journals[index].committed > 50, "seed {seed}: partition {index} stood still");
        }
        assert!(can_remove_store_node(&model.machines[0].member, &model.partitions));
        waited += model.waited;
        went_on_with_former += model.went_on_with_former;
    }
    if losses_at_once >= copies {
        assert!(waited > 100, "{waited} steps without a known holder aren't enough");
        assert!(went_on_with_former > 10, "former members went on only {went_on_with_former} times");
    }
}

/// Disks are lost whatever they hold: a partition begins anew only if all that held everything are lost, and in the
/// end all are whole again.
#[rstest]
fn a_partition_whose_holders_are_all_wiped_begins_anew(#[values(2, 3)] copies: usize) {
    let mut began_anew = 0;
    for seed in 0..25 {
        let mut model = Model::new(seed, copies, 2);
        model.wipes_last = true;
        model.run();
        model.calm();
        for placement in &model.partitions {
            assert_eq!((placement.members.len(), placement.learners.len()), (copies, 0), "{placement:?}");
        }
        began_anew += model.began_anew;
    }
    assert!(began_anew > 20, "only {began_anew} partitions began anew");
}
