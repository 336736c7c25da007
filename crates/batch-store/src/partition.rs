//! One partition at this store: its replica, its log, and the jobs built from the committed entries.

mod apply;
mod log_start;

use std::collections::VecDeque;
use std::rc::Rc;

use orchidvalve_chain_replication::{ChainView, Message, Output as ChainOutput, RecoveredLog, Replica};
use orchidvalve_protocol::identity::MemberId;
use orchidvalve_protocol::messages::SessionMessage;
use orchidvalve_wal::Position;

use crate::effect::{Effect, Sinks};
use crate::entry::{EntryRef, ParsedEntry};
use crate::jobs::JobTable;
use crate::memory_log::MemoryLog;
use crate::messages::PeerMessage;
use crate::output::Output;
use crate::partition::log_start::LogStartRecords;
use crate::record::DiskRecord;
use crate::recovery::RecoveredPartition;
use crate::uncommitted::UncommittedEntries;

/// An entry whose record is not durable yet.
#[derive(Clone, Copy, Debug)]
struct UnsyncedEntry {
    position: Position,
    sequence: u64,
}

/// A learner that has caught up.
#[derive(Clone, Copy, Debug)]
struct ReadyLearner {
    /// Epoch of the view in which the learner caught up.
    epoch: u64,
    member: MemberId,
}

/// A partition of which this store holds, or held, a copy.
#[derive(Debug)]
pub(crate) struct Partition {
    number: u16,
    me: MemberId,
    nonce: u64,
    pub replica: Replica,
    pub log: MemoryLog,
    pub jobs: JobTable,
    pub uncommitted: UncommittedEntries,
    /// Entries whose records are not durable yet, oldest first.
    unsynced: VecDeque<UnsyncedEntry>,
    log_starts: LogStartRecords,
    /// Epoch of the latest view that was ever accepted, including views accepted before a restart.
    view_epoch: u64,
    /// Position of the record of this view; `None` once the record is durable.
    unsynced_view_record: Option<Position>,
    /// Time of the monotonic clock since which the view has not contained this store, in milliseconds.
    left_view_at_ms: Option<u64>,
    /// Epoch in which this store last became the active head.
    active_head_epoch: u64,
    /// Learners that caught up in the latest view in which any did.
    ready_learners: Vec<ReadyLearner>,
    /// Latest epoch in which this member held all earlier committed entries.
    complete_epoch: u64,
}

impl Partition {
    /// Creates a partition from the state recovered from disk. `nonce` is random.
    pub fn new(number: u16, me: MemberId, recovered: RecoveredPartition, nonce: u64) -> Partition {
        let replica = Replica::new(me, recovered.state(), nonce);
        let mut uncommitted = UncommittedEntries::default();
        for entry in recovered.log.iter() {
            uncommitted.push(entry.sequence, ParsedEntry::parse(&entry.payload));
        }
        Partition {
            number,
            me,
            nonce,
            replica,
            log: recovered.log,
            jobs: JobTable::default(),
            uncommitted,
            unsynced: VecDeque::new(),
            log_starts: LogStartRecords::new(recovered.log_start),
            view_epoch: recovered.view_epoch,
            unsynced_view_record: None,
            left_view_at_ms: None,
            active_head_epoch: 0,
            ready_learners: Vec::new(),
            complete_epoch: 0,
        }
    }

    /// Returns the partition's number.
    pub fn number(&self) -> u16 {
        self.number
    }

    /// Returns whether this store dispatches the groups: it is the head and knows the outcome of all earlier entries.
    pub fn is_active_head(&self) -> bool {
        self.replica.is_head() && self.replica.is_recovered()
    }

    /// Returns whether this store can append entries: it is the head of a chain that is long enough to commit.
    pub fn can_propose(&self) -> bool {
        self.replica.is_head() && self.replica.view().can_commit()
    }

    /// Passes one input to the replica and executes its outputs.
    pub fn drive<R>(
        &mut self,
        sinks: &mut Sinks<'_>,
        input: impl FnOnce(&mut Replica, &MemoryLog, &mut Vec<ChainOutput>) -> R,
    ) -> R {
        let mut outputs = Vec::new();
        let result = input(&mut self.replica, &self.log, &mut outputs);
        for output in outputs {
            self.execute(output, sinks);
        }
        result
    }

    /// Accepts a new view. `reset_epoch` is the epoch in which the partition's log was last restarted, or 0.
    pub fn view_changed(&mut self, view: ChainView, reset_epoch: u64, sinks: &mut Sinks<'_>) {
        if view.epoch < self.view_epoch || view.epoch <= self.replica.view().epoch {
            return;
        }
        if self.predates(reset_epoch) {
            self.restart_log(sinks);
        }
        if view.epoch > self.view_epoch {
            self.view_epoch = view.epoch;
            self.unsynced_view_record = Some(self.write_log_start(sinks));
        }
        self.drive(sinks, |replica, log, outputs| replica.view_changed(view, log, outputs));
        self.left_view_at_ms =
            if self.has_copy() { None } else { self.left_view_at_ms.or(Some(sinks.now_ms)) };
    }

    /// Returns whether the state of this partition is older than the restart of its log in `reset_epoch`.
    pub fn predates(&self, reset_epoch: u64) -> bool {
        self.view_epoch < reset_epoch
    }

    /// Discards all state: all machines that held the log were lost, and a new log begins.
    fn restart_log(&mut self, sinks: &mut Sinks<'_>) {
        let partition = self.number;
        log::warn!("store: partition {partition}: all copies were lost: its log restarts empty");
        self.replica = Replica::new(self.me, RecoveredLog::default(), self.nonce);
        self.clear_log();
        self.ready_learners.clear();
        let reset = DiskRecord::Reset { partition, start: 1, previous_epoch: 0 };
        sinks.records.append(&reset, sinks.outputs);
        sinks.add_effect(partition, Effect::LogReplaced);
    }

    fn clear_log(&mut self) {
        self.log.clear();
        self.uncommitted = UncommittedEntries::default();
        self.unsynced.clear();
        self.jobs.clear();
    }

    /// Returns whether this store holds a copy of the partition in the current view.
    fn has_copy(&self) -> bool {
        self.replica.view().predecessor(self.me).is_some() || self.replica.is_head()
    }

    /// Returns whether the view has excluded this store for so long that its copy can be dropped.
    pub fn is_abandoned(&self, now_ms: u64) -> bool {
        const RETENTION_MS: u64 = 60_000;
        self.left_view_at_ms.is_some_and(|left| now_ms.saturating_sub(left) >= RETENTION_MS)
    }

    /// Handles a message from another replica.
    pub fn message(&mut self, from: MemberId, message: Message, sinks: &mut Sinks<'_>) {
        self.drive(sinks, |replica, log, outputs| replica.message_received(from, message, log, outputs));
    }

    /// Appends a new entry and returns its sequence number. Returns `None` unless this store is the head.
    pub fn propose(&mut self, entry: &EntryRef<'_>, sinks: &mut Sinks<'_>) -> Option<u64> {
        if !self.replica.is_head() {
            return None;
        }
        let payload = Rc::from(entry.encode());
        self.drive(sinks, |replica, _, outputs| replica.propose(payload, outputs))
    }

    /// Called when the write-ahead log is durable up to and including `position`.
    pub fn durable(&mut self, position: Position, sinks: &mut Sinks<'_>) {
        if self.unsynced_view_record.take_if(|record| *record <= position).is_some() {
            self.report_learners(sinks.outputs);
        }
        self.log_starts.durable(position);
        let mut through = None;
        while let Some(entry) = self.unsynced.pop_front_if(|entry| entry.position <= position) {
            through = Some(entry.sequence);
        }
        if let Some(through) = through {
            self.drive(sinks, |replica, log, outputs| replica.entries_durable(through, log, outputs));
        }
    }

    /// Reports to the control node which learners are ready in the current view, and whether this member is complete in
    /// it. Reports are repeated because earlier ones may have been lost. Nothing is reported before the record of the
    /// view is durable: after a power failure this store could otherwise return to an earlier view and commit entries
    /// in it that a learner of the current view lacks.
    pub fn report_learners(&self, outputs: &mut Vec<Output>) {
        if self.unsynced_view_record.is_some() {
            return;
        }
        let current_epoch = self.replica.view().epoch;
        if self.complete_epoch == current_epoch && current_epoch > 0 {
            let ready = SessionMessage::LearnerCaughtUp {
                partition: self.number,
                epoch: current_epoch,
                member: self.me,
            };
            outputs.push(Output::ToControl(ready));
        }
        for &ReadyLearner { epoch, member } in
            self.ready_learners.iter().filter(|learner| learner.epoch == current_epoch)
        {
            let ready = SessionMessage::LearnerCaughtUp { partition: self.number, epoch, member };
            outputs.push(Output::ToControl(ready));
        }
    }

    /// Executes one output of the replica.
    fn execute(&mut self, output: ChainOutput, sinks: &mut Sinks<'_>) {
        let partition = self.number;
        match output {
            ChainOutput::Append(entry) => {
                self.uncommitted.push(entry.sequence, ParsedEntry::parse(&entry.payload));
                let record = DiskRecord::Append { partition, entry };
                let position = sinks.records.append(&record, sinks.outputs);
                let DiskRecord::Append { entry, .. } = record else { return };
                self.unsynced.push_back(UnsyncedEntry { position, sequence: entry.sequence });
                self.log.push(entry, position);
            }
            ChainOutput::Truncate { after } => {
                self.log.truncate(after);
                self.uncommitted.truncate(after);
                while self.unsynced.pop_back_if(|entry| entry.sequence > after).is_some() {}
                sinks.records.append(&DiskRecord::Truncate { partition, after }, sinks.outputs);
            }
            ChainOutput::Reset { start, previous_epoch } => {
                self.clear_log();
                let reset = DiskRecord::Reset { partition, start, previous_epoch };
                sinks.records.append(&reset, sinks.outputs);
                self.write_log_start(sinks);
                sinks.add_effect(partition, Effect::LogReplaced);
            }
            ChainOutput::Send { to, message } => {
                let message = PeerMessage::Chain { partition, message };
                sinks.outputs.push(Output::ToPeer { to, message });
            }
            ChainOutput::Committed { through } => {
                self.apply(through, sinks);
                self.announce_active_head(sinks);
            }
            ChainOutput::LearnerCaughtUp { member, epoch } => {
                self.ready_learners.retain(|learner| learner.epoch == epoch);
                self.ready_learners.push(ReadyLearner { epoch, member });
                self.report_learners(sinks.outputs);
            }
            // A chain that is too short may be continued by former members, which take no part in the confirmation, so
            // it proves nothing.
            ChainOutput::Confirmed { .. } if !self.replica.view().can_commit() => {}
            ChainOutput::Confirmed { barrier, .. } => {
                sinks.add_effect(partition, Effect::BarrierReached { barrier });
            }
            ChainOutput::Synchronized { epoch } => {
                log::info!("store: partition {partition}: this copy is complete in view {epoch}");
                self.complete_epoch = epoch;
                self.report_learners(sinks.outputs);
            }
            ChainOutput::Refused(violation) => log::error!("store: partition {partition}: {violation}"),
        }
    }

    fn announce_active_head(&mut self, sinks: &mut Sinks<'_>) {
        let epoch = self.replica.view().epoch;
        if self.active_head_epoch < epoch && self.is_active_head() {
            self.active_head_epoch = epoch;
            sinks.add_effect(self.number, Effect::BecameActiveHead);
        }
    }
}
