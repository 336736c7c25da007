//! The membership policy: computes the next view and the order in which voters propose it.

use orchidvalve_protocol::identity::MemberId;

use crate::quorum::majority;
use crate::status::Health;
use crate::timing::Timing;
use crate::view::{MAX_VOTERS, View};

/// The inputs from which the next view is derived: the current view and the health of the members. Consecutive views
/// differ by one step, so that their quorums overlap.
pub struct MembershipPolicy<'a, H> {
    /// The current view.
    pub view: &'a View,
    /// The process that would propose.
    pub me: MemberId,
    /// Live control members outside the chain.
    pub learners: &'a [MemberId],
    /// The required number of copies and voters, and the replacement delay.
    pub timing: &'a Timing,
    /// Returns the health of a member, `me` included.
    pub health: H,
}

impl<H: Fn(MemberId) -> Health> MembershipPolicy<'_, H> {
    /// Returns the view that `me` should propose, if any.
    ///
    /// The first applicable step is taken: remove lost members from the chain; append a voter to the chain; remove a
    /// dead surplus voter; remove a leaving member; add learners as voters; remove a live surplus voter. Every step
    /// requires that a majority of the voters before and after it can vote. Only members of the chain remove lost
    /// members from it: a process outside may be the only one that is partitioned from them, and its removal would
    /// take away copies without need.
    pub fn next_view(&self) -> Option<View> {
        if !self.has_majority(&self.view.voters) {
            return None;
        }
        if self.view.chain.iter().any(|member| (self.health)(*member).is_lost()) {
            return if self.view.in_chain(self.me) { self.without_lost() } else { None };
        }
        self.with_voter_appended()
            .or_else(|| self.without_surplus_voter())
            .or_else(|| self.without_leaving())
            .or_else(|| self.with_learners())
            .or_else(|| self.without_spare_voter())
            .filter(|next| self.has_majority(&next.voters))
    }

    fn has_majority(&self, voters: &[MemberId]) -> bool {
        let able = voters.iter().filter(|voter| (self.health)(**voter).can_vote()).count();
        able >= majority(voters.len())
    }

    /// Removes the dead and impaired members from the chain. At least one member that stays must be ready, because an
    /// appended member that has not caught up yet may lack entries that the lost members have acknowledged.
    fn without_lost(&self) -> Option<View> {
        let mut next = successor(self.view);
        next.chain.retain(|member| !(self.health)(*member).is_lost());
        next.chain.iter().any(|member| (self.health)(*member).is_ready()).then_some(next)
    }

    /// Appends one voter to the chain. A leaving voter is appended only if the chain is too short to acknowledge
    /// anything without it, for example after another member was lost right after the leaving one left the chain.
    fn with_voter_appended(&self) -> Option<View> {
        let outside = || self.view.voters.iter().copied().filter(|voter| !self.view.in_chain(*voter));
        let is_short = self.view.chain.len() < self.timing.minimum_copies;
        let not_leaving = outside().find(|voter| (self.health)(*voter).may_join());
        let member =
            not_leaving.or_else(|| outside().find(|voter| is_short && (self.health)(*voter).can_join()))?;
        let mut next = successor(self.view);
        next.chain.push(member);
        Some(next)
    }

    /// Removes a dead voter if there are more voters than configured, as between the two steps of a handover. The
    /// majority of the remaining voters is no larger, so every loss that was tolerated before is still tolerated. The
    /// removed voter returns as a learner.
    fn without_surplus_voter(&self) -> Option<View> {
        if self.view.voters.len() <= self.timing.voter_limit {
            return None;
        }
        let dead = |voter: &&MemberId| !self.view.in_chain(**voter) && (self.health)(**voter).is_dead();
        let removed = *self.view.voters.iter().find(dead)?;
        Some(without_member(self.view, removed))
    }

    /// Removes one voter if the number of voters is even and above the limit, and all of them are alive and stay. This
    /// happens when a leaving voter restarts after its successor was added. The surplus voter would make each
    /// acknowledgement wait for one more disk than necessary. The number of tolerated losses stays the same.
    fn without_spare_voter(&self) -> Option<View> {
        let voters = &self.view.voters;
        let is_one_too_many = voters.len() > self.timing.voter_limit && voters.len().is_multiple_of(2);
        if !is_one_too_many || !voters.iter().all(|voter| (self.health)(*voter).may_serve()) {
            return None;
        }
        let outside = voters.iter().find(|voter| !self.view.in_chain(**voter));
        let removed = *outside.or(self.view.chain.last())?;
        self.can_spare(removed).then(|| without_member(self.view, removed))
    }

    /// Returns whether any one voter can be removed without tolerating fewer losses.
    fn has_spare_voter(&self) -> bool {
        let voters = self.view.voters.len();
        voters > self.timing.voter_limit || (voters > 2 && voters.is_multiple_of(2))
    }

    fn without_leaving(&self) -> Option<View> {
        let leaving = |voter: &MemberId| (self.health)(*voter).is_leaving();
        self.view.voters.iter().copied().filter(leaving).find_map(|leaving| self.with_handover(leaving))
    }

    /// Returns the next step towards a view without a leaving voter. First a ready learner becomes a voter and a member
    /// of the chain; once it is complete, the leaving voter is removed. Without an eligible learner the leaving voter
    /// stays a voter and leaves the chain, if enough complete copies remain there.
    fn with_handover(&self, leaving: MemberId) -> Option<View> {
        let in_chain = self.view.in_chain(leaving);
        if self.has_spare_voter() {
            return self.can_spare(leaving).then(|| without_member(self.view, leaving));
        }
        if let Some(learner) = self.ready_learners().next() {
            if !in_chain {
                return Some(with_replacement(self.view, leaving, learner));
            }
            if self.view.voters.len() < MAX_VOTERS {
                return Some(with_additions(self.view, &[learner]));
            }
            return self.can_spare(leaving).then(|| with_replacement(self.view, leaving, learner));
        }
        if !in_chain || self.learners.iter().any(|learner| self.is_eligible(*learner)) {
            return None;
        }
        let mut next = successor(self.view);
        next.chain.retain(|member| *member != leaving);
        self.can_spare(leaving).then_some(next)
    }

    /// Returns whether the chain without `member` is complete and long enough for acknowledgements.
    fn can_spare(&self, member: MemberId) -> bool {
        if !self.view.in_chain(member) {
            return true;
        }
        let mut rest = self.view.chain.iter().filter(|entry| **entry != member);
        self.view.chain.len() > self.timing.minimum_copies
            && rest.all(|entry| (self.health)(*entry).is_ready())
    }

    fn with_learners(&self) -> Option<View> {
        let ready: Vec<MemberId> = self.ready_learners().collect();
        let replacement = |learner: &MemberId| Some((self.replaceable_voter(*learner)?, *learner));
        if let Some((replaced, learner)) = ready.iter().find_map(replacement) {
            return Some(with_replacement(self.view, replaced, learner));
        }
        let first = *ready.first()?;
        if self.view.voters.iter().any(|voter| (self.health)(*voter).is_dead()) {
            return None;
        }
        let missing_voters = self.timing.voter_limit.saturating_sub(self.view.voters.len());
        if self.view.voters.len().is_multiple_of(2) {
            return (missing_voters >= 1).then(|| with_additions(self.view, &[first]));
        }
        let second = ready.into_iter().find(|member| member.address != first.address)?;
        (missing_voters >= 2).then(|| with_additions(self.view, &[first, second]))
    }

    /// Returns the voter outside the chain that `learner` replaces: one at the same address, whose disk is lost, at
    /// once; any other only after it was dead for `replacement_delay`.
    fn replaceable_voter(&self, learner: MemberId) -> Option<MemberId> {
        let outside = || self.view.voters.iter().copied().filter(|voter| !self.view.in_chain(*voter));
        let lost_disk = outside().find(|voter| voter.address == learner.address);
        let delay = self.timing.replacement_delay;
        let is_due = |voter: &MemberId| matches!((self.health)(*voter), Health::Dead { duration } if duration >= delay);
        lost_disk.or_else(|| outside().find(is_due))
    }

    fn ready_learners(&self) -> impl Iterator<Item = MemberId> {
        let is_ready = |learner: &MemberId| self.is_eligible(*learner) && (self.health)(*learner).may_join();
        self.learners.iter().copied().filter(is_ready)
    }

    /// Returns whether `learner` may become a voter, now or once it is ready. A member of the chain at the same address
    /// must be removed first.
    fn is_eligible(&self, learner: MemberId) -> bool {
        let shares_address = self.view.chain.iter().any(|entry| entry.address == learner.address);
        !shares_address && !self.view.is_voter(learner) && (self.health)(learner).may_serve()
    }
}

/// Returns the number of voters that propose before `me`. The order is the chain first, then the other voters by
/// identity; voters that cannot vote are not counted.
pub fn rank(view: &View, me: MemberId, health: &impl Fn(MemberId) -> Health) -> u64 {
    let order = |member: MemberId| {
        let position = view.chain.iter().position(|entry| *entry == member);
        (position.unwrap_or(view.chain.len()), member)
    };
    let earlier = |voter: &&MemberId| order(**voter) < order(me) && health(**voter).can_vote();
    view.voters.iter().filter(earlier).count() as u64
}

fn with_replacement(view: &View, replaced: MemberId, learner: MemberId) -> View {
    let mut next = without_member(view, replaced);
    next.voters.push(learner);
    next.chain.push(learner);
    next
}

fn with_additions(view: &View, additions: &[MemberId]) -> View {
    let mut next = successor(view);
    next.voters.extend_from_slice(additions);
    next.chain.extend_from_slice(additions);
    next
}

fn without_member(view: &View, removed: MemberId) -> View {
    let mut next = successor(view);
    next.voters.retain(|voter| *voter != removed);
    next.chain.retain(|member| *member != removed);
    next
}

fn successor(view: &View) -> View {
    View { epoch: view.epoch + 1, ..view.clone() }
}
