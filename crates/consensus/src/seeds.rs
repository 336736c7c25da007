//! The seeds: the addresses that decide the first view of a system that starts with empty disks.
//!
//! Seeds with a disk decide it among themselves and form it. If none of the seeds has a disk, they decide it as
//! witnesses ([`crate::witness`]): they vote, and the first view consists of the other bootstrapping members.

use orchidvalve_protocol::identity::{MemberId, NO_DISK, NodeAddress};

use crate::quorum::majority;
use crate::timing::{Milliseconds, SEED_WAIT};
use crate::view::View;

/// A member that was heard of.
#[derive(Clone, Debug, PartialEq, Eq)]
struct KnownMember {
    member: MemberId,
    /// It was started with `bootstrap=true`.
    bootstrap: bool,
}

/// The seeds, and the state reported in their `Hello` messages.
#[derive(Clone, Debug)]
pub struct Seeds {
    addresses: Vec<NodeAddress>,
    /// Addresses of seeds without a disk: they are not members and don't vote.
    excluded: Vec<NodeAddress>,
    /// The latest known member at the address of each seed.
    known: Vec<KnownMember>,
    /// The latest known member at each other address. They form the first view if no seed has a disk.
    others: Vec<KnownMember>,
    /// Set once a peer reports an epoch above zero: a first view has been decided, so none may be decided again.
    pub system_exists: bool,
    started_at: Option<Milliseconds>,
}

impl Seeds {
    pub fn new(addresses: Vec<NodeAddress>) -> Seeds {
        Seeds {
            addresses,
            excluded: Vec::new(),
            known: Vec::new(),
            others: Vec::new(),
            system_exists: false,
            started_at: None,
        }
    }

    /// Returns whether the seeds decide the first view as witnesses, because none of them has a disk.
    ///
    /// Each seed announces that it has no disk. As long as this node hasn't heard that of all seeds, it expects the
    /// votes of seeds with a disk, of which there are none, so nothing can be decided in both ways.
    pub fn are_witnesses(&self) -> bool {
        !self.addresses.is_empty() && self.addresses.iter().all(|seed| self.excluded.contains(seed))
    }

    /// Returns the addresses of the seeds that vote on the first view.
    pub fn voting_seeds(&self) -> Vec<NodeAddress> {
        if self.are_witnesses() {
            return self.addresses.clone();
        }
        self.addresses.iter().copied().filter(|seed| !self.excluded.contains(seed)).collect()
    }

    /// Returns the known members at the addresses of the voting seeds.
    pub fn voters(&self) -> Vec<MemberId> {
        if self.are_witnesses() {
            return self.addresses.iter().map(|seed| MemberId { address: *seed, disk: NO_DISK }).collect();
        }
        self.known.iter().map(|seed| seed.member).collect()
    }

    /// Excludes a seed that has no disk from the first view; returns true if it was not excluded before.
    ///
    /// The seed itself announces this to every control node, so they agree sooner or later. Until then the voter sets
    /// of two of them differ only in seeds that never vote, so a majority of one set and a majority of the other still
    /// have a voter in common.
    pub fn exclude(&mut self, seed: NodeAddress) -> bool {
        if !self.addresses.contains(&seed) || self.excluded.contains(&seed) {
            return false;
        }
        self.excluded.push(seed);
        true
    }

    pub fn is_seed(&self, member: MemberId) -> bool {
        self.addresses.contains(&member.address) && !self.excluded.contains(&member.address)
    }

    /// Records a member; returns true if it may be in the first view or vote on it, and was not known.
    pub fn learn(&mut self, member: MemberId, bootstrap: bool) -> bool {
        let is_seed = self.is_seed(member);
        let counts = is_seed || self.are_witnesses();
        let list = if is_seed { &mut self.known } else { &mut self.others };
        let learned = KnownMember { member, bootstrap };
        if list.contains(&learned) {
            return false;
        }
        list.retain(|known| known.member.address != member.address);
        list.push(learned);
        counts
    }

    /// Starts the wait for the seeds on the first call.
    pub fn start(&mut self, now: Milliseconds) {
        self.started_at.get_or_insert(now);
    }

    /// Returns the known members that may be in the first view.
    pub fn known(&self) -> impl Iterator<Item = MemberId> {
        self.first_members().iter().map(|known| known.member)
    }

    fn first_members(&self) -> &[KnownMember] {
        if self.are_witnesses() { &self.others } else { &self.known }
    }

    fn bootstrapping(&self) -> impl Iterator<Item = MemberId> {
        self.first_members().iter().filter(|known| known.bootstrap).map(|known| known.member)
    }

    /// Returns the number of known bootstrapping members of the first view with a lower address than `me`.
    pub fn rank(&self, me: MemberId) -> u64 {
        self.bootstrapping().filter(|member| member.address < me.address).count() as u64
    }

    /// Returns the first view once all its members are known, or once a majority of them is known and [`SEED_WAIT`] has
    /// passed. The members are the seeds with a disk, or as many others as may vote if there are none. Members beyond
    /// `voter_limit` are left out and become learners.
    pub fn first_view(&self, now: Milliseconds, voter_limit: usize) -> Option<View> {
        let mut voters: Vec<MemberId> = self.bootstrapping().collect();
        let waited = self.started_at.is_some_and(|started_at| now >= started_at + SEED_WAIT);
        let expected = if self.are_witnesses() { voter_limit } else { self.voting_seeds().len() };
        let enough = if waited { majority(expected) } else { expected };
        if self.system_exists || voters.is_empty() || voters.len() < enough {
            return None;
        }
        voters.sort_unstable();
        voters.truncate(voter_limit);
        Some(View { epoch: 1, chain: voters.clone(), voters })
    }
}
