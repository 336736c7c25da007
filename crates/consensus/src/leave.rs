//! The status that this process reports, and its planned shutdown: when the process may end.

use orchidvalve_protocol::identity::MemberId;

use crate::agreement::Agreement;
use crate::quorum::majority;
use crate::status::MemberStatus;
use crate::timing::Milliseconds;
use crate::view::View;

impl Agreement {
    /// Marks this process as about to shut down as planned. The other members replace it as far as they can;
    /// [`Agreement::may_leave`] returns when the process may end. Only a restart of the process reverts this.
    pub fn set_leaving(&mut self) {
        self.condition.leaving_since.get_or_insert(self.clock.now());
        self.failure_detector.ping_at(self.clock.now());
        self.reconsider = true;
    }

    /// Sets whether writes of this process hang or fail. An impaired member is treated as dead for the chain but stays
    /// a voter; it makes no proposals and does not confirm the epoch for itself.
    pub fn set_impaired(&mut self, impaired: bool) {
        if self.condition.impaired == impaired {
            return;
        }
        self.condition.impaired = impaired;
        self.instance.abandon();
        self.reconsider = true;
    }

    /// Returns true if a majority of the voters of the latest view has that view on disk, as far as known here. From
    /// then on the view survives the loss of any minority of its voters: every majority that is left has a voter that
    /// knows it and sends it to the others. No repair or removal is complete before.
    pub fn is_effective(&self) -> bool {
        let Some(view) = self.view() else { return false };
        let has_durable_view = |voter: &&MemberId| {
            if **voter == self.me {
                self.is_view_durable()
            } else {
                self.failure_detector.has_durable_view(**voter)
            }
        };
        view.voters.iter().filter(has_durable_view).count() >= majority(view.voters.len())
    }

    /// Returns true if this process may end after [`Agreement::set_leaving`]: it is no longer needed, or waiting longer
    /// cannot help.
    ///
    /// It is no longer needed if it never knew a view, or if the latest view is effective and has this process
    /// neither in its chain nor among its voters. It may also end as a voter outside the chain if no live learner can
    /// replace it and the other voters that can vote and have confirmed the epoch since [`Agreement::set_leaving`] are
    /// a majority. The confirmation is required because a voter that has just been lost still counts as alive.
    ///
    /// Waiting cannot help if every other voter and learner is alive and leaving, too. It can help while one of them is
    /// dead: that one may return and copy entries that only this process holds. The host ends the wait at its own
    /// deadline.
    pub fn may_leave(&self) -> bool {
        let Some(leaving_since) = self.condition.leaving_since else { return false };
        let Some(view) = self.view() else { return true };
        if self.others(view).all(|member| self.health(member).is_leaving()) {
            return true;
        }
        let can_leave = !view.is_voter(self.me)
            || (!self.has_successor(view) && self.is_majority_without_me(view, leaving_since));
        self.is_effective() && !view.in_chain(self.me) && can_leave
    }

    pub(crate) fn status(&self) -> MemberStatus {
        MemberStatus {
            caught_up: self.is_caught_up(),
            unsettled: self.is_unsettled(),
            reaches_chain: self.reaches_chain(),
            leaving: self.condition.leaving_since.is_some(),
            impaired: self.condition.impaired,
        }
    }

    /// Returns true if the next view may have been decided without this process knowing it, or if this process would
    /// lose the latest view in a loss of power.
    pub(crate) fn is_unsettled(&self) -> bool {
        self.state.acceptor.accepted.is_some() || !self.is_view_durable()
    }

    fn is_view_durable(&self) -> bool {
        self.pending_writes.durable_epoch() == self.epoch()
    }

    fn is_caught_up(&self) -> bool {
        let in_chain = self.view().is_some_and(|view| view.in_chain(self.me));
        let has_caught_up = if in_chain { self.state.complete } else { self.condition.caught_up_as_learner };
        has_caught_up && !self.condition.impaired && self.is_view_durable()
    }

    fn reaches_chain(&self) -> bool {
        let reaches = |member: &MemberId| {
            *member == self.me || self.failure_detector.health(self.clock.now(), *member).is_alive()
        };
        self.view().is_some_and(|view| view.chain.iter().all(reaches))
    }

    /// Returns whether a live learner may replace this voter, now or once the learner has caught up.
    fn has_successor(&self, view: &View) -> bool {
        let may_follow = |member: &&MemberId| !view.is_voter(**member) && self.health(**member).may_serve();
        self.learners.iter().any(|member| may_follow(&member))
    }

    /// Returns whether the other voters that can vote and have confirmed the view after `since` are a majority.
    fn is_majority_without_me(&self, view: &View, since: Milliseconds) -> bool {
        let has_confirmed =
            |voter: MemberId| self.failure_detector.confirmed_at(voter).is_some_and(|at| at > since);
        let votes = |voter: &&MemberId| {
            **voter != self.me && self.health(**voter).can_vote() && has_confirmed(**voter)
        };
        view.voters.iter().filter(votes).count() >= majority(view.voters.len())
    }

    fn others<'a>(&'a self, view: &'a View) -> impl Iterator<Item = MemberId> + 'a {
        let members = view.voters.iter().chain(&self.learners).copied();
        members.filter(|member| *member != self.me)
    }
}
