//! Replicas connected by a lossy network under power losses and wiped disks, with a view authority that follows its
//! rules. Every step is determined by the seed.

use std::collections::{BTreeMap, BTreeSet};

use orchidvalve_chain_replication::{ChainView, Entry, Message, Output};
use orchidvalve_golden::Trace;
use orchidvalve_protocol::identity::MemberId;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{Host, disk};

/// Decides the views according to the rules in the documentation of the crate.
struct Authority {
    view: ChainView,
    /// Members that hold every committed entry.
    synchronized: BTreeSet<MemberId>,
    ready: BTreeSet<MemberId>,
    /// Number of synchronized copies lost or removed since the chain was last complete.
    lost: usize,
}

impl Authority {
    fn record_event(&mut self, me: MemberId, event: &Output) {
        match *event {
            Output::Synchronized { epoch } if epoch == self.view.epoch => {
                self.synchronized.insert(me);
            }
            Output::LearnerCaughtUp { member, epoch } if epoch == self.view.epoch => {
                self.ready.insert(member);
            }
            _ => {}
        }
        let is_complete = self.view.members.iter().all(|member| self.synchronized.contains(member));
        if is_complete && self.view.can_commit() {
            self.lost = 0;
        }
    }

    /// Returns whether one more synchronized copy may be lost.
    fn can_spare(&self) -> bool {
        self.lost + 1 < self.view.minimum && self.synchronized.len() > 1
    }

    fn remove_copy(&mut self, member: MemberId) {
        if self.synchronized.remove(&member) {
            self.lost += 1;
        }
    }

    fn decide(&mut self, out: Option<MemberId>, machines: &[MemberId]) {
        if let Some(out) = out {
            self.remove_copy(out);
        }
        let mut members: Vec<MemberId> = self.view.members.clone();
        members.retain(|&member| Some(member) != out && machines.contains(&member));
        let head = members.iter().position(|member| self.synchronized.contains(member));
        members.drain(..head.expect("a synchronized member is left"));
        members.extend(self.ready.iter().filter(|ready| machines.contains(ready)));
        let learners = machines.iter().copied().filter(|machine| !members.contains(machine)).collect();
        self.synchronized.retain(|member| members.contains(member));
        self.ready.clear();
        self.view = ChainView { epoch: self.view.epoch + 1, members, learners, minimum: self.view.minimum };
    }
}

pub struct World {
    random: Pcg64Mcg,
    pub now: u64,
    pub hosts: Vec<Host>,
    network: Vec<(MemberId, MemberId, Message)>,
    partitioned: BTreeSet<(MemberId, MemberId)>,
    authority: Authority,
    /// Every entry that any replica has ever committed.
    pub committed_entries: BTreeMap<u64, Entry>,
    /// Highest committed sequence at the start of each barrier.
    barriers: BTreeMap<u64, u64>,
    pub confirmed: usize,
    proposals: u64,
    disks: u64,
    /// Highest committed sequence whose entries were compared, per host.
    compared: BTreeMap<MemberId, u64>,
    /// Trace of all outputs, if they are recorded.
    pub trace: Option<Trace>,
}

impl World {
    pub fn new(seed: u64, machines: u8, minimum: usize) -> World {
        let ids: Vec<MemberId> = (1..=machines).map(|number| disk(number, 1)).collect();
        let (members, learners) = ids.split_at(minimum.max(2));
        let view = ChainView { epoch: 1, members: members.to_vec(), learners: learners.to_vec(), minimum };
        World {
            random: Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            hosts: ids.iter().map(|&id| Host::new(id, id.disk)).collect(),
            network: Vec::new(),
            partitioned: BTreeSet::new(),
            authority: Authority {
                synchronized: members.iter().copied().collect(),
                view,
                ready: BTreeSet::new(),
                lost: 0,
            },
            committed_entries: BTreeMap::new(),
            barriers: BTreeMap::new(),
            confirmed: 0,
            proposals: 0,
            disks: 1,
            compared: BTreeMap::new(),
            trace: None,
        }
    }

    fn ids(&self) -> Vec<MemberId> {
        self.hosts.iter().map(|host| host.me).collect()
    }

    pub fn step(&mut self) {
        let index = self.random.random_range(0..self.hosts.len());
        match self.random.random_range(0..1000) {
            0..150 => self.propose(index),
            150..550 => self.deliver(),
            550..750 => {
                let records = self.random.random_range(1..4);
                self.hosts[index].sync(records);
            }
            750..850 => {
                self.now += 50;
                self.hosts[index].tick(self.now);
            }
            850..900 => self.adopt(index),
            900..925 => self.link_flap(index),
            925..940 => self.barrier(index),
            940..950 => self.power_loss(index),
            950..955 => self.wipe(index),
            955..965 => self.decide(),
            965..975 => self.trim(index),
            975..985 => self.toggle_partition(),
            _ => self.replay(),
        }
        self.collect();
    }

    fn propose(&mut self, index: usize) {
        self.proposals += 1;
        self.hosts[index].propose(&self.proposals.to_le_bytes());
    }

    fn deliver(&mut self) {
        if self.network.is_empty() {
            return;
        }
        // Mostly in order, sometimes any message.
        let last = if self.random.random_bool(0.8) { 1 } else { self.network.len() };
        let position = self.random.random_range(0..last);
        let (from, to, message) = self.network.remove(position);
        if self.random.random_bool(0.05) || self.partitioned.contains(&(from, to)) {
            return;
        }
        if self.random.random_bool(0.05) {
            self.network.push((from, to, message.clone()));
        }
        self.deliver_to(from, to, message);
    }

    fn deliver_to(&mut self, from: MemberId, to: MemberId, message: Message) {
        if let Some(host) = self.hosts.iter_mut().find(|host| host.me == to) {
            host.receive(from, message);
        }
    }

    /// Duplicates a message that is in flight, so that a copy arrives in some later step.
    fn replay(&mut self) {
        if let Some(message) = self.network.iter().choose(&mut self.random).cloned() {
            self.network.push(message);
        }
    }

    fn adopt(&mut self, index: usize) {
        let view = self.authority.view.clone();
        self.hosts[index].adopt(&view);
    }

    fn link_flap(&mut self, index: usize) {
        let peer = self.random.random_range(0..self.hosts.len());
        let (one, two) = (self.hosts[index].me, self.hosts[peer].me);
        // Each side may have a link of its own.
        let both = self.random.random_bool(0.5);
        for (host, other) in [(index, two), (peer, one)].into_iter().take(if both { 2 } else { 1 }) {
            self.hosts[host].replica.link_down(other);
            self.network.retain(|(from, to, _)| (*from, *to) != (self.hosts[host].me, other));
            self.hosts[host].input(|replica, _, outputs| replica.link_up(other, outputs));
        }
    }

    fn barrier(&mut self, index: usize) {
        let number = self.barriers.len() as u64;
        let latest = self.committed_entries.last_key_value().map_or(0, |(&sequence, _)| sequence);
        self.barriers.insert(number, latest);
        self.hosts[index].input(|replica, _, outputs| replica.barrier(number, outputs));
    }

    fn power_loss(&mut self, index: usize) {
        let host = &self.hosts[index];
        let known = if self.random.random_bool(0.5) { host.replica.committed() } else { 0 };
        let (me, kept) = (host.me, host.disk.clone());
        let known = known.min(kept.runs.end());
        self.hosts[index] = Host::recovered(me, kept, known, self.random.random());
    }

    fn wipe(&mut self, index: usize) {
        let old = self.hosts[index].me;
        let copy = self.authority.synchronized.contains(&old);
        if copy && !self.authority.can_spare() {
            return;
        }
        self.authority.remove_copy(old);
        self.disks += 1;
        let renewed = MemberId { disk: self.disks, ..old };
        self.hosts[index] = Host::new(renewed, self.random.random());
    }

    fn decide(&mut self) {
        let members = self.authority.view.members.iter().copied();
        let out = members
            .choose(&mut self.random)
            .filter(|member| !self.authority.synchronized.contains(member) || self.authority.can_spare());
        let ids = self.ids();
        self.authority.decide(out, &ids);
    }

    fn trim(&mut self, index: usize) {
        let (first, committed) = (self.hosts[index].replica.first(), self.hosts[index].replica.committed());
        if committed > first {
            let first = self.random.random_range(first..=committed);
            self.hosts[index].trim(first);
        }
    }

    fn toggle_partition(&mut self) {
        let ids = self.ids();
        let pair =
            (*ids.iter().choose(&mut self.random).unwrap(), *ids.iter().choose(&mut self.random).unwrap());
        if !self.partitioned.remove(&pair) {
            self.partitioned.insert(pair);
        }
    }

    /// Collects the outputs of the hosts and compares the entries that they committed.
    pub fn collect(&mut self) {
        self.record();
        for index in 0..self.hosts.len() {
            let me = self.hosts[index].me;
            let sent = std::mem::take(&mut self.hosts[index].sent);
            self.network.extend(sent.into_iter().map(|(to, message)| (me, to, message)));
            for event in std::mem::take(&mut self.hosts[index].events) {
                self.authority.record_event(me, &event);
                match event {
                    Output::Committed { through } => self.compare(index, through),
                    Output::Confirmed { barrier, committed } => {
                        self.confirmed += 1;
                        assert!(
                            committed >= self.barriers[&barrier],
                            "a read would miss an acknowledged entry"
                        );
                        assert!(self.hosts[index].replica.committed() >= committed);
                    }
                    Output::Refused(violation) => panic!("{violation}"),
                    _ => {}
                }
            }
        }
    }

    fn compare(&mut self, index: usize, through: u64) {
        let me = self.hosts[index].me;
        let since = self.compared.insert(me, through).unwrap_or(0).min(through);
        for sequence in since + 1..=through {
            let Some(entry) = self.hosts[index].memory.get(sequence).cloned() else { continue };
            match self.committed_entries.get(&sequence) {
                Some(known) => assert_eq!(*known, entry, "a committed entry changed"),
                None => {
                    let copies = self.hosts.iter().filter(|host| {
                        host.disk.get(sequence) == Some(&entry) || host.disk.runs.first() > sequence
                    });
                    // A disk that held the entry may have been wiped before its acknowledgement arrived here.
                    let needed = self.authority.view.minimum - self.authority.lost;
                    assert!(copies.count() >= needed.max(1), "committed with too few copies");
                    self.committed_entries.insert(sequence, entry);
                }
            }
        }
    }

    /// Ends all faults and runs until all machines are members again.
    pub fn heal(&mut self) {
        self.partitioned.clear();
        for round in 0..400 {
            if round % 40 == 0 && (self.authority.ready.len() + self.authority.view.members.len()) > 0 {
                let ids = self.ids();
                self.authority.decide(None, &ids);
            }
            self.now += 100;
            for index in 0..self.hosts.len() {
                self.adopt(index);
                self.hosts[index].tick(self.now);
                self.hosts[index].sync(usize::MAX);
            }
            self.collect();
            for (from, to, message) in std::mem::take(&mut self.network) {
                self.deliver_to(from, to, message);
            }
            self.collect();
        }
    }

    pub fn check_end(&self) {
        let view = &self.authority.view;
        assert_eq!(view.members.len(), self.hosts.len(), "every machine became a member again");
        let end = self.hosts[0].replica.end();
        for host in &self.hosts {
            assert_eq!(host.replica.end(), end, "the log of {} has another end", host.me);
            assert_eq!(host.replica.committed(), end, "{} has not committed every entry", host.me);
            assert!(host.replica.is_synchronized());
            for (&sequence, entry) in self.committed_entries.range(host.replica.first()..) {
                assert_eq!(host.disk.get(sequence), Some(entry), "a committed entry is lost at {}", host.me);
            }
        }
    }
}
