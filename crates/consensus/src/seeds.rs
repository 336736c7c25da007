//! The seeds: the addresses that decide the first view of a system that starts with empty disks.

use orchidvalve_protocol::identity::{MemberId, NodeAddress};

use crate::quorum::majority;
use crate::timing::{Milliseconds, SEED_WAIT};
use crate::view::View;

/// A member at the address of a seed.
#[derive(Clone, Debug, PartialEq, Eq)]
struct KnownSeed {
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
    /// The latest known member at each address.
    known: Vec<KnownSeed>,
    /// Set once a peer reports an epoch above zero: a first view has been decided, so none may be decided again.
    pub system_exists: bool,
    started_at: Option<Milliseconds>,
}

impl Seeds {
    pub fn new(addresses: Vec<NodeAddress>) -> Seeds {
        Seeds { addresses, excluded: Vec::new(), known: Vec::new(), system_exists: false, started_at: None }
    }

    /// Returns the addresses of the seeds that vote on the first view.
    pub fn voting_seeds(&self) -> Vec<NodeAddress> {
        self.addresses.iter().copied().filter(|seed| !self.excluded.contains(seed)).collect()
    }

    /// Excludes a seed that has no disk; returns true if it was not excluded before.
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

    /// Records a member at a seed address; returns true if it was not known.
    pub fn learn(&mut self, member: MemberId, bootstrap: bool) -> bool {
        let seed = KnownSeed { member, bootstrap };
        if !self.is_seed(member) || self.known.contains(&seed) {
            return false;
        }
        self.known.retain(|known| known.member.address != member.address);
        self.known.push(seed);
        true
    }

    /// Starts the wait for the seeds on the first call.
    pub fn start(&mut self, now: Milliseconds) {
        self.started_at.get_or_insert(now);
    }

    pub fn known(&self) -> impl Iterator<Item = MemberId> {
        self.known.iter().map(|seed| seed.member)
    }

    fn bootstrapping(&self) -> impl Iterator<Item = MemberId> {
        self.known.iter().filter(|seed| seed.bootstrap).map(|seed| seed.member)
    }

    /// Returns the number of known bootstrapping seeds with a lower address than `me`.
    pub fn rank(&self, me: MemberId) -> u64 {
        self.bootstrapping().filter(|member| member.address < me.address).count() as u64
    }

    /// Returns the first view once all seeds are known, or once a majority of them is known and [`SEED_WAIT`] has
    /// passed. Seeds beyond `voter_limit` are left out and become learners.
    pub fn first_view(&self, now: Milliseconds, voter_limit: usize) -> Option<View> {
        let mut voters: Vec<MemberId> = self.bootstrapping().collect();
        let waited = self.started_at.is_some_and(|started_at| now >= started_at + SEED_WAIT);
        let expected = self.voting_seeds().len();
        let enough = if waited { majority(expected) } else { expected };
        if self.system_exists || voters.is_empty() || voters.len() < enough {
            return None;
        }
        voters.sort_unstable();
        voters.truncate(voter_limit);
        Some(View { epoch: 1, chain: voters.clone(), voters })
    }
}
