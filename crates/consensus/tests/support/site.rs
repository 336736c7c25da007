//! Machines with one host each, in virtual time. Every host knows all running machines, and its machine has copied
//! every acknowledged entry a fixed time after its start.

use std::collections::BTreeMap;

use orchidvalve_consensus::{Agreement, Timing, View};
use orchidvalve_protocol::identity::MemberId;

use super::network::Network;
use super::{addresses, member, started};

/// Time between two steps of a host, in milliseconds.
const HOST_INTERVAL: u64 = 50;

pub struct Site {
    pub network: Network,
    pub timing: Timing,
    seeds: u8,
    /// How long a machine that starts with an empty disk takes to copy the log, in milliseconds.
    copy_time: u64,
    /// Time at which each running machine has copied the log.
    copied_at: BTreeMap<MemberId, u64>,
}

impl Site {
    /// Starts machines 1 to `machines` with empty disks, all of them seeds, and runs until the first view is settled.
    pub fn start(machines: u8, timing: Timing) -> Site {
        let mut site = Site::empty(machines, timing);
        for machine in 1..=machines {
            site.add_first(member(machine, 1));
        }
        site.run(3_000);
        site
    }

    /// Creates a site without running machines; machines 1 to `seeds` are the seeds.
    pub fn empty(seeds: u8, timing: Timing) -> Site {
        Site { network: Network::new(), timing, seeds, copy_time: 0, copied_at: BTreeMap::new() }
    }

    /// Starts a machine with an empty disk and `bootstrap=true`, as one of those that begin a new system.
    pub fn add_first(&mut self, me: MemberId) {
        self.add(me, true);
    }

    pub fn set_copy_time(&mut self, copy_time: u64) {
        self.copy_time = copy_time;
    }

    /// Starts a machine with an empty disk in a running system.
    pub fn add_empty(&mut self, me: MemberId) {
        self.add(me, false);
    }

    fn add(&mut self, me: MemberId, bootstrap: bool) {
        let agreement = Agreement::new(me, bootstrap, addresses(self.seeds), None).with_timing(self.timing);
        self.network.add(me, agreement);
        self.copied_at.insert(me, self.network.now + self.copy_time);
    }

    pub fn lose(&mut self, me: MemberId) {
        self.network.remove(me);
        self.copied_at.remove(&me);
    }

    /// Restarts the process of a machine with the view that it knows, before another member counts it as dead.
    pub fn restart(&mut self, me: MemberId) {
        let view = self.network.view(me);
        self.network.remove(me);
        let agreement = started(me, &view).with_timing(self.timing);
        self.network.add(me, agreement);
    }

    /// Partitions a machine from all others, in both directions.
    pub fn isolate(&mut self, me: MemberId) {
        let others: Vec<MemberId> = self.copied_at.keys().copied().filter(|other| *other != me).collect();
        for other in others {
            self.network.partition(me, other);
            self.network.partition(other, me);
        }
    }

    pub fn agreement(&mut self, me: MemberId) -> &mut Agreement {
        self.network.nodes.get_mut(&me).expect("runs")
    }

    /// Returns the latest view that a running machine knows.
    pub fn view(&self) -> View {
        self.network.nodes.values().filter_map(Agreement::view).max().expect("a view").clone()
    }

    /// Returns the views ordered by epoch.
    pub fn views(&self) -> Vec<View> {
        let views: BTreeMap<u64, &View> =
            self.network.changes.iter().map(|(_, view)| (view.epoch, view)).collect();
        views.into_values().cloned().collect()
    }

    pub fn run(&mut self, duration: u64) {
        let end = self.network.now + duration;
        while self.network.now < end {
            self.run_hosts();
            self.network.run(HOST_INTERVAL);
        }
    }

    /// Runs until `done`; returns the time it took. Fails after `limit` milliseconds.
    pub fn run_until(&mut self, limit: u64, done: impl Fn(&Site) -> bool) -> u64 {
        let start = self.network.now;
        while !done(self) {
            let time = self.network.now - start;
            assert!(time < limit, "not done after {time} ms: {:?}", self.view());
            self.run(HOST_INTERVAL);
        }
        self.network.now - start
    }

    fn run_hosts(&mut self) {
        let running: Vec<(MemberId, u64)> = self.copied_at.iter().map(|(me, at)| (*me, *at)).collect();
        for (me, copied_at) in &running {
            let is_copied = *copied_at <= self.network.now;
            self.network.drive(*me, |agreement, _, outputs| {
                let in_chain = |other: &MemberId| agreement.view().is_some_and(|view| view.in_chain(*other));
                let learners: Vec<MemberId> = running
                    .iter()
                    .map(|(other, _)| *other)
                    .filter(|other| other != me && !in_chain(other))
                    .collect();
                agreement.set_learners(&learners);
                if is_copied && agreement.epoch() > 0 {
                    agreement.member_caught_up(*me, agreement.epoch(), outputs);
                }
            });
        }
    }
}
