//! Random losses, wiped disks, retirements and changes of the control head, over a model of the copies on store nodes.
//!
//! The model knows what the planner only learns from reports: how many entries of each partition every disk holds. No view
//! may begin with a head that lacks a committed entry, no matter how many nodes are lost at once, and every partition is
//! complete again once all nodes have returned and stay.

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
/// Number of steps after a change of the control head in which no report reaches it.
const LOST_REPORT_STEPS: usize = 12;
/// Number of steps after which a lost partition restarts empty: more than the steps without reports.
const LOSS_STEPS: usize = 40;

fn member(number: usize, disk: u64) -> MemberId {
    MemberId { address: NodeAddress::new(Ipv4Addr::new(10, 0, 2, number as u8 + 1), 7000), disk }
}

/// A store node in the model.
#[derive(Clone, Debug)]
struct StoreNode {
    member: MemberId,
    up: bool,
    retiring: bool,
    disk_failing: bool,
    is_full: bool,
}

/// The entries of one partition on the disks.
#[derive(Clone, Default, Debug)]
struct PartitionLogs {
    /// Number of committed entries.
    committed: u64,
    /// Number of entries on each disk.
    held: BTreeMap<MemberId, u64>,
    /// Members that hold everything committed before the current view.
    synchronized: BTreeSet<MemberId>,
}

struct Model {
    random: Pcg64Mcg,
    copies: usize,
    nodes: Vec<StoreNode>,
    partitions: Vec<Placement>,
    logs: Vec<PartitionLogs>,
    caught_up: BTreeSet<CaughtUp>,
    disks: u64,
    reports_lost_until: usize,
    step: usize,
    losses_at_once: usize,
    /// Partitions that restart empty.
    lost: BTreeSet<u16>,
    /// Number of steps for which each partition has been lost.
    lost_steps: BTreeMap<u16, usize>,
    restarted_empty: usize,
    /// Whether the last complete disk may be lost.
    wipes_last: bool,
    /// How often a chain with too few members continued with a former member.
    continued_with_former: usize,
    /// How often nothing could be done because no live node was known to be complete.
    waited: usize,
}

impl Model {
    fn new(seed: u64, copies: usize, losses_at_once: usize) -> Model {
        let node = |number| StoreNode {
            member: member(number, 1),
            up: true,
            retiring: false,
            disk_failing: false,
            is_full: false,
        };
        let mut model = Model {
            random: Pcg64Mcg::seed_from_u64(seed),
            copies,
            nodes: (0..ZONES.len()).map(node).collect(),
            partitions: Vec::new(),
            logs: vec![PartitionLogs::default(); usize::from(PARTITIONS)],
            caught_up: BTreeSet::new(),
            disks: 1,
            reports_lost_until: 0,
            step: 0,
            losses_at_once,
            lost: BTreeSet::new(),
            lost_steps: BTreeMap::new(),
            restarted_empty: 0,
            wipes_last: false,
            continued_with_former: 0,
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
            model.enter_view(usize::from(partition));
        }
        model
    }

    fn live(&self) -> Vec<LiveStoreNode> {
        let up = self.nodes.iter().zip(ZONES).filter(|(node, _)| node.up);
        let store = |(node, zone): (&StoreNode, &str)| LiveStoreNode {
            member: node.member,
            zone: zone.to_owned(),
            retiring: node.retiring,
            is_full: false,
            disk_failing: node.disk_failing,
        };
        up.map(store).collect()
    }

    fn is_up(&self, member: &MemberId) -> bool {
        self.nodes.iter().any(|node| node.up && node.member == *member)
    }

    fn is_healthy(&self, member: &MemberId) -> bool {
        self.nodes.iter().any(|node| node.up && !node.disk_failing && node.member == *member)
    }

    fn is_complete(&self, partition: u16, member: &MemberId) -> bool {
        let logs = &self.logs[usize::from(partition)];
        // A disk that was never written is complete as long as nothing is committed.
        logs.held.get(member).copied().unwrap_or(0) >= logs.committed
    }

    /// Enters a new view: the log of its head is authoritative.
    fn enter_view(&mut self, partition: usize) {
        let placement = &self.partitions[partition];
        let logs = &mut self.logs[partition];
        let head = placement.members[0];
        let held = logs.held.entry(head).or_default();
        assert!(*held >= logs.committed, "the head of {placement:?} holds {held} of {}", logs.committed);
        logs.synchronized = BTreeSet::from([head]);
    }

    /// Passes entries along the chain of one partition; the members commit one entry when all of them are up to date.
    fn run_chain(&mut self, partition: usize) {
        let placement = self.partitions[partition].clone();
        let chain: Vec<MemberId> = placement.members.iter().chain(&placement.learners).copied().collect();
        for pair in chain.windows(2) {
            let (from, to) = (pair[0], pair[1]);
            let passes = self.is_up(&from) && self.is_up(&to) && self.random.random_bool(0.3);
            let logs = &mut self.logs[partition];
            if !passes || !logs.synchronized.contains(&from) {
                continue;
            }
            logs.held.insert(to, logs.held[&from]);
            if placement.members.contains(&to) {
                logs.synchronized.insert(to);
            } else {
                self.report(partition, placement.epoch, to);
            }
        }
        let all_up = placement.members.iter().all(|m| self.is_up(m));
        let logs = &mut self.logs[partition];
        let complete = placement.members.iter().all(|m| logs.synchronized.contains(m));
        if all_up && complete && placement.members.len() >= self.copies {
            logs.committed += 1;
            logs.held.extend(placement.members.iter().map(|m| (*m, logs.committed)));
        }
        for member in logs.synchronized.clone() {
            if self.is_up(&member) {
                self.report(partition, placement.epoch, member);
            }
        }
    }

    /// Adds a report, which may be lost.
    fn report(&mut self, partition: usize, epoch: u64, member: MemberId) {
        if self.step >= self.reports_lost_until && self.random.random_bool(0.4) {
            self.caught_up.insert(CaughtUp { partition: partition as u16, epoch, member });
        }
    }

    fn inject_fault(&mut self) {
        let index = self.random.random_range(0..self.nodes.len());
        match self.random.random_range(0..100) {
            0..8 => {
                self.nodes.iter_mut().for_each(|node| node.up = true);
                for _ in 0..self.random.random_range(0..=self.losses_at_once) {
                    let lost = self.random.random_range(0..self.nodes.len());
                    self.nodes[lost].up = false;
                }
            }
            8..12 => self.nodes[index].up = true,
            12..14 => {
                let retiring = self.nodes.iter().filter(|node| node.retiring).count();
                self.nodes[index].retiring = retiring < 2 && !self.nodes[index].retiring;
            }
            14..16 => self.nodes[index].disk_failing = !self.nodes[index].disk_failing,
            16..18 => {
                // Another control node is the head and has received no report yet.
                self.caught_up.clear();
                self.reports_lost_until = self.step + LOST_REPORT_STEPS;
            }
            18..21 => self.wipe(index),
            21..23 => self.nodes[index].is_full = !self.nodes[index].is_full,
            _ => {}
        }
    }

    /// Replaces a disk, unless it is the last one that is known to be complete.
    fn wipe(&mut self, index: usize) {
        let lost = self.nodes[index].member;
        let exists = |member: &MemberId| self.nodes.iter().any(|node| node.member == *member);
        let keeps_complete_replica = |placement: &Placement| {
            placement.complete_replicas.iter().any(|replica| *replica != lost && exists(replica))
        };
        if self.wipes_last || self.partitions.iter().all(keeps_complete_replica) {
            self.disks += 1;
            self.nodes[index].member = member(index, self.disks);
            for logs in &mut self.logs {
                logs.held.remove(&lost);
            }
        }
    }

    /// Finds the partitions that are certainly lost, as the control head does.
    fn find_lost_partitions(&mut self) {
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

    /// Restarts a partition empty, which is correct only if the disks of all complete replicas and of all synchronized
    /// members are lost.
    fn restart_empty(&mut self, partition: usize) {
        let placement = &self.partitions[partition];
        let logs = &mut self.logs[partition];
        let mut candidates = placement.complete_replicas.iter().chain(&logs.synchronized);
        let complete = candidates.find(|m| self.nodes.iter().any(|node| node.member == **m));
        assert!(
            complete.is_none(),
            "partition {partition} restarted empty although {complete:?} is complete"
        );
        *logs = PartitionLogs::default();
        self.restarted_empty += 1;
    }

    fn place(&mut self) {
        self.find_lost_partitions();
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
            self.enter_view(usize::from(partition));
        }
        self.check_removable();
    }

    /// Checks that a retiring node may be removed with its disk at once: enough other nodes have to be complete. Copies on
    /// lost disks count, since those are other losses.
    fn check_removable(&self) {
        for node in
            self.nodes.iter().filter(|m| m.retiring && can_remove_store_node(&m.member, &self.partitions))
        {
            for (partition, placement) in (0u16..).zip(&self.partitions) {
                let is_lost = |m: &MemberId| !self.nodes.iter().any(|node| node.member == *m);
                let holds = |m: &&MemberId| is_lost(m) || self.is_complete(partition, m);
                let copies = placement.members.iter().filter(|m| **m != node.member).filter(holds).count();
                assert!(copies >= self.copies, "{} may not be removed: {placement:?}", node.member);
            }
        }
    }

    fn check(&mut self, partition: u16, next: &Placement) {
        let before = &self.partitions[usize::from(partition)];
        let complete = |placement: &Placement| {
            placement.members.iter().filter(|m| self.is_up(m) && self.is_complete(partition, m)).count()
        };
        let lost = before.members.iter().any(|m| !self.is_healthy(m));
        assert!(lost || complete(next) >= complete(before).min(self.copies), "{before:?} -> {next:?}");
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
            self.continued_with_former += 1;
        }
        let logs = &self.logs[usize::from(partition)];
        for replica in next.complete_replicas.iter().filter(|replica| logs.held.contains_key(replica)) {
            assert!(
                logs.held[replica] >= logs.committed,
                "{replica} is recorded as complete but is not: {next:?}"
            );
        }
    }

    fn run(&mut self) {
        for step in 0..STEPS {
            self.step = step;
            self.inject_fault();
            self.place();
            for partition in 0..self.partitions.len() {
                self.run_chain(partition);
            }
        }
    }

    /// Ends all faults and retires one node.
    fn recover(&mut self) {
        for node in &mut self.nodes {
            let member = node.member;
            *node = StoreNode { member, up: true, retiring: false, disk_failing: false, is_full: false };
        }
        self.nodes[0].retiring = true;
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
fn no_partition_is_led_by_an_incomplete_store_node(
    #[values(2, 3)] copies: usize,
    #[values(1, 2, 4)] losses_at_once: usize,
) {
    let (mut waited, mut continued_with_former) = (0, 0);
    for seed in 0..25 {
        let mut model = Model::new(seed, copies, losses_at_once);
        model.run();
        model.recover();
        for (index, placement) in model.partitions.iter().enumerate() {
            assert_eq!((placement.members.len(), placement.learners.len()), (copies, 0), "{placement:?}");
            assert!(model.logs[index].committed > 50, "seed {seed}: partition {index} made no progress");
        }
        assert!(can_remove_store_node(&model.nodes[0].member, &model.partitions));
        waited += model.waited;
        continued_with_former += model.continued_with_former;
    }
    if losses_at_once >= copies {
        assert!(waited > 100, "{waited} steps without a known complete replica are too few");
        assert!(
            continued_with_former > 10,
            "chains continued with former members only {continued_with_former} times"
        );
    }
}

/// Disks are lost no matter what they hold: a partition restarts empty only if all complete disks are lost, and in the end
/// all partitions are complete again.
#[rstest]
fn a_partition_without_complete_disks_restarts_empty(#[values(2, 3)] copies: usize) {
    let mut restarted_empty = 0;
    for seed in 0..25 {
        let mut model = Model::new(seed, copies, 2);
        model.wipes_last = true;
        model.run();
        model.recover();
        for placement in &model.partitions {
            assert_eq!((placement.members.len(), placement.learners.len()), (copies, 0), "{placement:?}");
        }
        restarted_empty += model.restarted_empty;
    }
    assert!(restarted_empty > 20, "only {restarted_empty} partitions restarted empty");
}
