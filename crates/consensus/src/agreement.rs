//! The state machine that a control node drives: its inputs, its outputs and the time of its next step.

use orchidvalve_protocol::identity::{MemberId, NodeAddress};

use crate::clock::Clock;
use crate::durable_state::DurableState;
use crate::failure_detector::FailureDetector;
use crate::flap_damping::FlapDamping;
use crate::instance::Instance;
use crate::membership_policy::{self, MembershipPolicy};
use crate::message::Message;
use crate::output::{Output, WriteNumber};
use crate::pending_writes::PendingWrites;
use crate::quorum::majority;
use crate::seeds::Seeds;
use crate::status::{Health, MemberStatus};
use crate::timing::{Milliseconds, Timing};
use crate::view::{Epoch, View};

/// Agreement on one view per epoch. All times are milliseconds of one monotonic clock.
#[derive(Clone, Debug)]
pub struct Agreement {
    pub(crate) me: MemberId,
    pub(crate) bootstrap: bool,
    pub(crate) state: DurableState,
    pub(crate) pending_writes: PendingWrites,
    pub(crate) failure_detector: FailureDetector,
    pub(crate) seeds: Seeds,
    /// Live control members outside the chain.
    pub(crate) learners: Vec<MemberId>,
    pub(crate) condition: Condition,
    pub(crate) timing: Timing,
    flap_damping: FlapDamping,
    pub(crate) instance: Instance,
    pub(crate) clock: Clock,
    /// Set when an input has changed something that the next `tick` evaluates; `tick` is then due at once.
    pub(crate) reconsider: bool,
}

/// Conditions of this process that the host reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct Condition {
    /// Set while this member is outside the chain and has copied every acknowledged entry in the current epoch.
    pub(crate) caught_up_as_learner: bool,
    /// Start of the planned shutdown of this process; `None` if none is planned.
    pub(crate) leaving_since: Option<Milliseconds>,
    /// Set while writes of this process hang or fail.
    pub(crate) impaired: bool,
}

impl Agreement {
    /// Creates the state machine of the process `me`. `seeds` lists the addresses that decide the first view and must
    /// be the same on all control nodes. `bootstrap` is the `bootstrap` setting of this start. `recovered` is the state
    /// read from disk, `None` if the disk is empty.
    pub fn new(
        me: MemberId,
        bootstrap: bool,
        seeds: Vec<NodeAddress>,
        recovered: Option<DurableState>,
    ) -> Agreement {
        let mut seeds = Seeds::new(seeds);
        seeds.learn(me, bootstrap);
        let state = recovered.unwrap_or_default();
        Agreement {
            me,
            bootstrap,
            pending_writes: PendingWrites::new(state.epoch()),
            state,
            failure_detector: FailureDetector::default(),
            seeds,
            learners: Vec::new(),
            condition: Condition::default(),
            timing: Timing::default(),
            flap_damping: FlapDamping::default(),
            instance: Instance::default(),
            clock: Clock::default(),
            reconsider: true,
        }
    }

    /// Replaces [`Timing::default`].
    #[must_use]
    pub fn with_timing(mut self, timing: Timing) -> Agreement {
        self.timing = timing;
        self
    }

    /// Derives the number of the first ping from `number`. With a random `number` for each start of a process, a reply
    /// to a ping of an earlier start is not mistaken for a reply to a ping of this start.
    #[must_use]
    pub fn with_first_ping(mut self, number: u64) -> Agreement {
        self.failure_detector.number_rounds_from(number);
        self
    }

    /// Excludes the control node at the address `seed` because it has no disk: it is not a member, and the first view
    /// is decided without it. If no seed has a disk, the seeds decide it as witnesses.
    pub fn exclude_seed(&mut self, seed: NodeAddress) {
        if !self.seeds.exclude(seed) {
            return;
        }
        self.reconsider = true;
        if self.state.view.is_none() {
            self.watch_members();
        }
    }

    /// Returns the `Hello` that is sent first on every new connection.
    pub fn hello(&self) -> Message {
        Message::Hello { member: self.me, bootstrap: self.bootstrap, epoch: self.epoch() }
    }

    /// Returns the epoch of the latest known view, or zero if there is none.
    pub fn epoch(&self) -> Epoch {
        self.state.epoch()
    }

    /// Returns the latest known view. It may not be durable here yet; [`Output::ViewChanged`] reports when it is.
    pub fn view(&self) -> Option<&View> {
        self.state.view.as_ref()
    }

    /// Returns the latest time at which the next [`Agreement::tick`] must be called.
    pub fn next_tick_at(&self) -> Milliseconds {
        if self.reconsider {
            return self.clock.now();
        }
        let mut next = self.failure_detector.next_ping_at();
        for time in [self.failure_detector.next_expiry(), self.instance.next_attempt_at].into_iter().flatten()
        {
            if time > self.clock.now() {
                next = next.min(time);
            }
        }
        next
    }

    /// Advances the clock: sends pings that are due, and starts or retries a proposal.
    pub fn tick(&mut self, now: Milliseconds, outputs: &mut Vec<Output>) {
        self.pass_time(now);
        self.reconsider = false;
        if self.clock.now() >= self.failure_detector.next_ping_at() {
            self.send_pings(outputs);
        }
        if self.clock.allows_proposals() {
            self.propose_if_due(outputs);
        }
    }

    /// Sends pings at once, so that [`Agreement::quorum_confirmed_at`] reaches `now` as soon as a majority replies.
    pub fn confirm_now(&mut self, now: Milliseconds, outputs: &mut Vec<Output>) {
        self.pass_time(now);
        self.send_pings(outputs);
    }

    /// Returns the latest time T such that a majority of the voters of the current view has replied, for its epoch, to
    /// pings sent at or after T while none of them had accepted a later view. So no later view was decided before T;
    /// this corresponds to ReadIndex in Raft (Ongaro 2014, section 6.4). Returns `None` while writes of this process
    /// hang or fail, because its disk may be behind the messages it has sent.
    pub fn quorum_confirmed_at(&self) -> Option<Milliseconds> {
        if self.condition.impaired {
            return None;
        }
        let view = self.state.view.as_ref()?;
        let confirmed = |voter: &MemberId| {
            if *voter != self.me {
                return self.failure_detector.confirmed_at(*voter);
            }
            (!self.is_unsettled()).then_some(self.clock.now())
        };
        let mut times: Vec<Milliseconds> = view.voters.iter().filter_map(confirmed).collect();
        times.sort_unstable_by(|left, right| right.cmp(left));
        times.get(majority(view.voters.len()) - 1).copied()
    }

    /// Replaces the list of live control members that are not in the chain.
    pub fn set_learners(&mut self, learners: &[MemberId]) {
        if self.learners == learners {
            return;
        }
        self.learners.clear();
        self.learners.extend_from_slice(learners);
        self.watch_members();
    }

    /// Records that `member` (this one or another) holds every entry that was acknowledged before `epoch`. The chain
    /// library reports this for members in sync and for learners. A report for an epoch other than the current one is
    /// ignored. The record is cleared at the end of the epoch, except for a member that stays in the chain. May be
    /// called any number of times. A view that removes dead members keeps at least one caught-up member in the chain.
    pub fn member_caught_up(&mut self, member: MemberId, epoch: Epoch, outputs: &mut Vec<Output>) {
        if epoch != self.epoch() {
            return;
        }
        let is_new = if member == self.me {
            self.mark_self_caught_up(outputs)
        } else {
            self.failure_detector.mark_caught_up(member)
        };
        // The host reports this repeatedly: only a change makes the next tick due at once.
        self.reconsider |= is_new;
    }

    /// Records that this process holds every entry; returns true if that was not recorded before.
    fn mark_self_caught_up(&mut self, outputs: &mut Vec<Output>) -> bool {
        let in_chain = self.view().is_some_and(|view| view.in_chain(self.me));
        if !in_chain {
            return !std::mem::replace(&mut self.condition.caught_up_as_learner, true);
        }
        let is_new = !self.state.complete;
        if is_new {
            self.state.complete = true;
            self.persist(outputs);
        }
        is_new
    }

    /// Reports that the write with this number, and every write before it, survives a loss of power.
    pub fn write_durable(&mut self, write_number: WriteNumber, outputs: &mut Vec<Output>) {
        self.pending_writes.durable(write_number);
        self.release(outputs);
    }

    /// Handles a message. `from` is the member at the other end of the connection.
    pub fn message_received(
        &mut self,
        now: Milliseconds,
        from: MemberId,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        self.pass_time(now);
        if from != self.me && message.is_well_formed() {
            self.receive(from, message, outputs);
            self.release(outputs);
        }
    }

    /// Returns the health of `member`, which may be this process.
    pub(crate) fn health(&self, member: MemberId) -> Health {
        if member == self.me {
            Health::Alive(self.status())
        } else {
            self.failure_detector.health(self.clock.now(), member)
        }
    }

    /// Like `health`, but a member that flap damping keeps out of the chain counts as not caught up. No member is kept
    /// out of a chain that is too short to tolerate a loss.
    fn health_for_chain(&self, view: &View, member: MemberId) -> Health {
        let enough = self.timing.minimum_copies.max(majority(view.voters.len()));
        let is_suppressed = || {
            !view.in_chain(member)
                && view.chain.len() >= enough
                && self.flap_damping.suppresses(self.clock.now(), member, self.timing.damping_limit)
        };
        match self.health(member) {
            Health::Alive(status) if is_suppressed() => {
                Health::Alive(MemberStatus { caught_up: false, ..status })
            }
            health => health,
        }
    }

    /// Returns the next view according to the membership policy and the current state of the members.
    pub(crate) fn next_view(&self) -> Option<View> {
        match &self.state.view {
            None => self.seeds.first_view(self.clock.now(), self.timing.voter_limit),
            Some(view) => {
                let policy = MembershipPolicy {
                    view,
                    me: self.me,
                    learners: &self.learners,
                    timing: &self.timing,
                    health: |member| self.health_for_chain(view, member),
                };
                policy.next_view()
            }
        }
    }

    /// Returns whether a majority of the voters can vote. Always true before the first view, because then only known
    /// seeds receive a ballot.
    pub(crate) fn is_majority_alive(&self) -> bool {
        self.view().is_none_or(|view| {
            let can_vote = |voter: &&MemberId| self.health(**voter).can_vote();
            view.voters.iter().filter(can_vote).count() >= majority(view.voters.len())
        })
    }

    /// Returns the number of voters that propose before this one.
    pub(crate) fn rank(&self) -> u64 {
        match &self.state.view {
            None => self.seeds.rank(self.me),
            Some(view) => membership_policy::rank(view, self.me, &|member| self.health(member)),
        }
    }

    /// Returns whether this process may vote on the view after the current one. Only a process that was started with
    /// `bootstrap=true`, in this run or in an earlier one in which it made a promise, may vote on the first view.
    pub(crate) fn may_vote(&self) -> bool {
        match &self.state.view {
            Some(view) => view.is_voter(self.me),
            None => self.seeds.is_seed(self.me) && self.may_begin_system(),
        }
    }

    /// Returns whether this process may start a proposal: it votes, or it is a candidate for a first view on which
    /// witnesses vote.
    pub(crate) fn may_propose(&self) -> bool {
        self.may_vote() || self.has_witnesses() && self.may_begin_system()
    }

    /// Returns whether witnesses vote on the next view, which is the first one.
    pub(crate) fn has_witnesses(&self) -> bool {
        self.state.view.is_none() && self.seeds.are_witnesses()
    }

    fn may_begin_system(&self) -> bool {
        let bootstraps = self.bootstrap || self.state.acceptor.promised.is_some();
        bootstraps && !self.seeds.system_exists
    }

    /// Sends `message` once all writes issued so far are durable.
    pub(crate) fn send_when_durable(&mut self, to: MemberId, message: Message) {
        self.pending_writes.defer(Output::Send { to, message });
    }

    /// Issues a write of the durable state.
    pub(crate) fn persist(&mut self, outputs: &mut Vec<Output>) {
        let write_number = self.pending_writes.issue();
        outputs.push(Output::Persist { write_number, state: self.state.clone() });
    }

    /// Adopts a decided view if it is later than the current one.
    pub(crate) fn adopt(&mut self, view: View, outputs: &mut Vec<Output>) {
        if view.epoch <= self.epoch() {
            return;
        }
        let complete = self.stays_complete(&view);
        if let Some(previous) = &self.state.view {
            self.flap_damping.view_changed(self.clock.now(), previous, &view);
        }
        self.state = DurableState { view: Some(view.clone()), complete, ..DurableState::default() };
        self.condition.caught_up_as_learner = false;
        self.instance = Instance::default();
        self.failure_detector.enter_epoch();
        self.watch_members();
        let write_number = self.pending_writes.issue_view(view.epoch);
        outputs.push(Output::Persist { write_number, state: self.state.clone() });
        self.pending_writes.defer(Output::ViewChanged(view));
        self.send_pings(outputs);
        self.reconsider = true;
    }

    /// Returns whether this member is complete in `next`. A complete member that stays in the chain took part in all
    /// acknowledgements in between, unless it skipped a view. The first view starts without entries.
    fn stays_complete(&self, next: &View) -> bool {
        let was_complete = self.state.view.as_ref().map_or(next.epoch == 1, |view| {
            self.state.complete && view.in_chain(self.me) && next.epoch == view.epoch + 1
        });
        was_complete && next.in_chain(self.me)
    }

    /// Emits the deferred outputs whose writes are durable.
    fn release(&mut self, outputs: &mut Vec<Output>) {
        while let Some(output) = self.pending_writes.release() {
            match output {
                Output::Send { to, message } if to == self.me => self.receive(to, message, outputs),
                output => outputs.push(output),
            }
        }
    }

    fn pass_time(&mut self, now: Milliseconds) {
        if !self.clock.advance(now) {
            return;
        }
        self.failure_detector.reset(self.clock.now());
        self.instance.abandon();
        if self.state.view.is_some() {
            self.clock.suspend_proposals();
        }
        self.seeds.start(self.clock.now());
        self.watch_members();
    }
}
