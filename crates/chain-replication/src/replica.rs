//! The state machine of one member of the chain.

mod barriers;
mod committing;
mod receiving;
mod sending;

use std::rc::Rc;

use orchidvalve_protocol::identity::MemberId;

use crate::barrier::Barriers;
use crate::entry::{Entry, LogReader, RecoveredLog};
use crate::epoch_runs::{EpochRun, EpochRuns};
use crate::limits::Milliseconds;
use crate::output::Output;
use crate::predecessor::Predecessor;
use crate::progress::Progress;
use crate::sequence::{Epoch, Sequence};
use crate::view::ChainView;

/// The replica of the log at one member. Each input appends the resulting actions to `outputs`.
#[derive(Debug)]
pub struct Replica {
    me: MemberId,
    view: ChainView,
    log: EpochRuns,
    durable: Sequence,
    committed: Sequence,
    predecessor: Predecessor,
    progress: Vec<Progress>,
    barriers: Barriers,
    now: Milliseconds,
}

impl Replica {
    /// Creates a replica from the recovered log. `nonce` is random; it distinguishes the messages of this run of the
    /// process from those of earlier runs.
    pub fn new(me: MemberId, state: RecoveredLog, nonce: u64) -> Replica {
        let RecoveredLog { first, end, committed, runs } = state;
        let committed = committed.min(end).max(first - 1);
        Replica {
            me,
            view: ChainView::default(),
            log: EpochRuns::new(first, end, runs),
            durable: end,
            committed,
            predecessor: Predecessor::new(committed, None, nonce),
            progress: Vec::new(),
            barriers: Barriers::new(nonce),
            now: 0,
        }
    }

    /// Returns the current view.
    pub fn view(&self) -> &ChainView {
        &self.view
    }

    /// Returns the highest sequence that is committed here.
    pub fn committed(&self) -> Sequence {
        self.committed
    }

    /// Returns the highest sequence that is durable here.
    pub fn durable_through(&self) -> Sequence {
        self.durable
    }

    /// Returns the lowest sequence held.
    pub fn first(&self) -> Sequence {
        self.log.first()
    }

    /// Returns the highest sequence held.
    pub fn end(&self) -> Sequence {
        self.log.end()
    }

    /// Returns the epoch of the entry `sequence`; see [`EpochRuns::epoch_at`].
    pub fn epoch_at(&self, sequence: Sequence) -> Option<Epoch> {
        self.log.epoch_at(sequence)
    }

    /// Returns the epochs of the entries held.
    pub fn runs(&self) -> &[EpochRun] {
        self.log.runs()
    }

    /// Returns whether this member is the head, which numbers new entries.
    pub fn is_head(&self) -> bool {
        self.view.head() == Some(self.me)
    }

    /// Returns whether this member is in the chain.
    pub fn is_member(&self) -> bool {
        self.view.is_member(self.me)
    }

    /// Returns whether everything committed in earlier views is on this member's disk.
    pub fn is_synchronized(&self) -> bool {
        self.predecessor.synchronized
    }

    /// Returns whether every entry that the head held when the view began is committed. Until then it is open whether
    /// entries of earlier views will be committed.
    pub fn is_recovered(&self) -> bool {
        self.view.can_commit()
            && self.predecessor.epoch_base.is_some_and(|epoch_base| self.committed >= epoch_base)
    }

    /// Enters a decided view. A view that isn't later than the current one is ignored.
    pub fn view_changed(&mut self, view: ChainView, reader: &dyn LogReader, outputs: &mut Vec<Output>) {
        if view.epoch <= self.view.epoch {
            return;
        }
        self.view = view;
        let head = self.is_head();
        let matched = if head { self.log.end() } else { self.committed };
        let epoch_base = head.then_some(self.log.end());
        self.predecessor = Predecessor::new(matched, epoch_base, self.predecessor.position_id);
        self.progress = self.receivers().into_iter().map(Progress::new).collect();
        self.locate(self.receivers(), outputs);
        self.barriers.restart();
        self.send_position(outputs);
        self.advance(reader, outputs);
        self.begin_barrier_round(outputs);
    }

    /// Replaces the learners of the current view. Replication to new learners starts with a request for their position.
    pub fn learners_changed(
        &mut self,
        learners: Vec<MemberId>,
        reader: &dyn LogReader,
        outputs: &mut Vec<Output>,
    ) {
        let newly_learning = learners.contains(&self.me) && !self.view.learners.contains(&self.me);
        self.view.learners = learners;
        let receivers = self.receivers();
        self.progress.retain(|progress| receivers.contains(&progress.member));
        for receiver in receivers {
            if !self.progress.iter().any(|progress| progress.member == receiver) {
                self.progress.push(Progress::new(receiver));
                self.locate(vec![receiver], outputs);
            }
        }
        if newly_learning && !self.is_member() {
            self.send_position(outputs);
        }
        self.advance(reader, outputs);
    }

    /// Records that a link to `peer` was established. Messages sent on an earlier link may be lost.
    pub fn link_up(&mut self, peer: MemberId, outputs: &mut Vec<Output>) {
        if self.view.predecessor(self.me) == Some(peer) {
            self.send_position(outputs);
        }
        self.link_down(peer);
    }

    /// Records that a link to `peer` was lost; each side may have its own link. The next tick probes the peer for
    /// missing entries, and repeats that until the peer replies.
    pub fn link_down(&mut self, peer: MemberId) {
        if let Some(progress) = self.progress.iter_mut().find(|progress| progress.member == peer) {
            progress.probe = true;
        }
    }

    /// Numbers a new entry and appends it. Returns `None` if this member is not the head.
    pub fn propose(&mut self, payload: Rc<[u8]>, outputs: &mut Vec<Output>) -> Option<Sequence> {
        if !self.is_head() {
            return None;
        }
        let epoch = self.view.epoch;
        self.log.append(epoch);
        let sequence = self.log.end();
        self.predecessor.matched = sequence;
        outputs.push(Output::Append(Entry { sequence, epoch, payload }));
        Some(sequence)
    }

    /// Reports that the log is durable up to and including `through`.
    pub fn entries_durable(&mut self, through: Sequence, reader: &dyn LogReader, outputs: &mut Vec<Output>) {
        let through = through.min(self.log.end());
        if through > self.durable {
            self.durable = through;
            self.advance(reader, outputs);
        }
    }

    /// Reports that the host no longer holds the entries before `first`, which must all be committed.
    pub fn trimmed(&mut self, first: Sequence) {
        debug_assert!(first <= self.committed + 1, "only committed entries may be trimmed");
        self.log.trim(first.min(self.committed + 1));
    }

    /// Advances the clock to `now`, in milliseconds of a monotonic clock, and repeats messages that are overdue.
    pub fn tick(&mut self, now: Milliseconds, reader: &dyn LogReader, outputs: &mut Vec<Output>) {
        self.now = now;
        if self.predecessor.is_overdue(now) {
            self.send_position(outputs);
        }
        for index in 0..self.progress.len() {
            let learner = !self.view.is_member(self.progress[index].member);
            let progress = &mut self.progress[index];
            let behind = learner && progress.sent_committed < self.committed;
            if progress.position_id.is_some() && (behind || progress.is_stalled(now)) {
                progress.probe = true;
            }
            self.replicate(index, reader, outputs);
        }
        if let Some(request) = self.barriers.overdue(now) {
            self.send_confirm(request, outputs);
        }
    }
}
