//! The replicated log of the queue: a few front nodes, one of them the leader, run Raft (Ongaro 2014) with the crate `raft`.
//! This module does no I/O: the host passes in messages, commands and the numbers of durable updates, and executes the
//! outputs. A message that acknowledges a record is not sent before the host reports the record as durable.

use std::collections::{BTreeMap, VecDeque};

use derive_more::{Display, Error};
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, Message, MessageType, Snapshot};
use raft::storage::Storage;
use raft::{Config, RawNode, StateRole};

use crate::Nanos;
use crate::disruption_budget::{DisruptionBudget, ObservedMachine};
pub use crate::log_records::{LogUpdate, RecoveredLog};
use crate::log_storage::LogStorage;
use crate::queue::{Command, LoggedCommand, MaintenanceQueue, Timing};

const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 2;
/// Ticks between the election time-outs of two members: more than a vote needs for its round trip.
const ELECTION_SPACING_TICKS: usize = 3;
/// Limit on the doublings of a member's tick while elections produce no leader.
const MAX_TICK_DOUBLINGS: u32 = 4;
/// The largest number of missed ticks that are made up in a round. A node that stalled must not start an election for each
/// of them.
const MAX_TICKS: usize = 2 * ELECTION_TICKS;

/// Inputs of a round.
#[derive(Default)]
pub struct Inbox {
    messages: Vec<Vec<u8>>,
    commands: Vec<Command>,
    durable: Option<u64>,
    observation: Option<Observation>,
}

/// The machines as observed by this node, and its settings.
struct Observation {
    seen: BTreeMap<String, ObservedMachine>,
    rule: DisruptionBudget,
    pace: Timing,
}

impl Inbox {
    /// Adds a message from another member.
    pub fn message(&mut self, bytes: Vec<u8>) {
        self.messages.push(bytes);
    }

    /// Adds a command to be proposed if this node leads.
    pub fn command(&mut self, command: Command) {
        self.commands.push(command);
    }

    /// Reports that all updates up to this number are durable.
    pub fn durable(&mut self, number: u64) {
        self.durable = Some(self.durable.map_or(number, |n| n.max(number)));
    }

    /// Sets the machines as observed by this node, and its settings. They are proposed if this node leads.
    pub fn observation(
        &mut self,
        seen: BTreeMap<String, ObservedMachine>,
        rule: DisruptionBudget,
        pace: Timing,
    ) {
        self.observation = Some(Observation { seen, rule, pace });
    }
}

/// Receives the outputs of a round.
pub trait OutputSink {
    /// Sends a message to another member of the group, given by its number.
    fn send(&mut self, to: u64, message: Vec<u8>);
    /// Stores an update. The host reports the number with [`Inbox::durable`] once it is durable.
    fn save(&mut self, number: u64, saved: LogUpdate);
}

/// Settings of a member of the group.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    /// Number of this member.
    pub me: u64,
    /// Numbers of all members.
    pub voters: Vec<u64>,
    /// Raft's unit of time.
    pub tick: Nanos,
    /// The number of entries applied after a snapshot before the next one is made.
    pub snapshot_interval: u64,
}

impl GroupSettings {
    /// Returns settings with a snapshot every 256 entries.
    pub fn new(me: u64, voters: Vec<u64>, tick: Nanos) -> GroupSettings {
        GroupSettings { me, voters, tick, snapshot_interval: 256 }
    }
}

/// Why a member cannot start with the log of an earlier run. It must not start without that log under the same number, as
/// it could vote twice in a term.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum GroupError {
    /// The hard state, the snapshot or an entry is damaged.
    #[display("the {part} of the log cannot be decoded")]
    Undecodable {
        /// The damaged part of the log.
        part: &'static str,
    },
    /// Entries of the log are missing.
    #[display("entry {index} of the log is missing")]
    MissingEntry {
        /// Index of the first missing entry.
        index: u64,
    },
    /// The log ends before the committed index in its hard state.
    #[display("the log ends at entry {last}, but {committed} entries were committed")]
    TooShort {
        /// Index of the last entry.
        last: u64,
        /// The committed index.
        committed: u64,
    },
    /// The settings are invalid for Raft.
    #[display("maintenance group: {reason}")]
    Config {
        /// The error of the crate `raft`.
        reason: String,
    },
}

/// Progress of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Current term.
    pub term: u64,
    /// Index of the last applied entry.
    pub applied: u64,
}

/// A member of the group.
pub struct Group {
    raw: RawNode<LogStorage>,
    queue: MaintenanceQueue,
    applied: u64,
    tick: Nanos,
    snapshot_interval: u64,
    next_tick: Nanos,
    /// The number of elections without a result since a leader was last known.
    elections_without_leader: u32,
    /// Term at the last check for elections.
    term: u64,
    /// Messages that acknowledge records, in the order of the records' numbers.
    deferred: VecDeque<DeferredMessages>,
    /// Number of the update with a snapshot from the leader. The snapshot counts as applied once the update is durable.
    pending_snapshot: Option<u64>,
    /// Index of the last proposed observation. The next one is proposed only after it was applied.
    last_observation: u64,
}

/// Messages that acknowledge a record, to be sent once it is durable.
struct DeferredMessages {
    /// Number of the update that contains the record.
    number: u64,
    messages: Vec<Message>,
}

impl Group {
    /// Returns a member with the log that its earlier run saved. A member that lost its log must not return under the same
    /// number: it could vote twice in a term.
    ///
    /// # Errors
    /// If the log is damaged or incomplete, or the settings are invalid for Raft.
    pub fn new(settings: &GroupSettings, recovered: &RecoveredLog, now: Nanos) -> Result<Group, GroupError> {
        let conf = ConfState::from((settings.voters.clone(), Vec::new()));
        let mut storage = LogStorage { conf, ..LogStorage::default() };
        if let Some(hard) = &recovered.hard {
            storage.hard.merge_from_bytes(hard).map_err(|_| undecodable("state"))?;
        }
        let queue = match &recovered.snapshot {
            Some(snapshot) => recover_snapshot(&mut storage, snapshot)?,
            None => MaintenanceQueue::default(),
        };
        recover_entries(&mut storage, recovered)?;
        let applied = storage.base();
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&raft_config(settings, applied), storage, &logger)
            .map_err(|error| GroupError::Config { reason: error.to_string() })?;
        Ok(Group {
            queue,
            applied,
            tick: settings.tick,
            snapshot_interval: settings.snapshot_interval,
            next_tick: now + settings.tick,
            elections_without_leader: 0,
            term: raw.raft.term,
            deferred: VecDeque::new(),
            pending_snapshot: None,
            last_observation: 0,
            raw,
        })
    }

    /// Runs one round: handles the inputs, and passes the messages and updates to the sink.
    pub fn round(&mut self, now: Nanos, inputs: impl FnOnce(&mut Inbox), sink: &mut dyn OutputSink) {
        let mut inbox = Inbox::default();
        inputs(&mut inbox);
        if let Some(number) = inbox.durable {
            self.handle_durable(number, sink);
        }
        for bytes in inbox.messages {
            let mut message = Message::default();
            // A message that cannot be decoded, or that the crate rejects, counts as lost.
            if message.merge_from_bytes(&bytes).is_ok() {
                let _ = self.raw.step(message);
            }
        }
        self.run_ticks(now);
        self.update_election_backoff();
        if self.raw.raft.state != StateRole::Leader {
            // An observation that was proposed and then lost must not delay those of a later term as leader.
            self.last_observation = 0;
        }
        if self.leads() {
            for command in inbox.commands {
                self.propose(command, now);
            }
            if let Some(observation) = inbox.observation {
                self.propose_observation(observation, now);
            }
        }
        while self.raw.has_ready() {
            self.process_ready(sink);
        }
        self.make_snapshot(sink);
    }

    /// Handles durable updates: sends the messages that waited for them.
    fn handle_durable(&mut self, number: u64, sink: &mut dyn OutputSink) {
        self.raw.on_persist_ready(number);
        if self.pending_snapshot.is_some_and(|pending_snapshot| pending_snapshot <= number) {
            self.pending_snapshot = None;
            self.raw.advance_apply_to(self.applied);
        }
        while let Some(deferred) = self.deferred.pop_front_if(|deferred| deferred.number <= number) {
            deferred.messages.into_iter().for_each(|message| send(message, sink));
        }
    }

    /// Runs the due Raft ticks, including at most [`MAX_TICKS`] missed ones.
    fn run_ticks(&mut self, now: Nanos) {
        for _ in 0..MAX_TICKS {
            if now < self.next_tick {
                break;
            }
            self.raw.tick();
            self.update_election_backoff();
            self.next_tick += self.tick << self.elections_without_leader;
        }
        if now >= self.next_tick {
            self.next_tick = now + (self.tick << self.elections_without_leader);
        }
    }

    /// Proposes the leader's observation of the machines, if the queue needs it and none is in progress.
    fn propose_observation(&mut self, observation: Observation, now: Nanos) {
        let Observation { seen, rule, pace } = observation;
        if self.last_observation <= self.applied && self.queue.needs_observation(&seen, &rule, pace, now) {
            self.propose(Command::Observe { seen, rule, pace }, now);
            self.last_observation = self.raw.raft.raft_log.last_index();
        }
    }

    /// Updates the number of elections without a leader, by which the tick is lengthened. A vote waits for two disks, the
    /// candidate's and the voter's. If they take longer than the time between two attempts of a member, every vote is
    /// overtaken by the next one, and there is no leader while the disks are slow. So a member's time-outs double after each
    /// term without a leader. Cost: a leader is elected later by as much.
    fn update_election_backoff(&mut self) {
        let term = self.raw.raft.term;
        if self.raw.raft.leader_id != 0 {
            self.elections_without_leader = 0;
        } else if term > self.term {
            self.elections_without_leader = (self.elections_without_leader + 1).min(MAX_TICK_DOUBLINGS);
        }
        self.term = term;
    }

    fn propose(&mut self, command: Command, now: Nanos) {
        let logged = LoggedCommand { at: now.max(self.queue.at), command };
        if let Ok(bytes) = postcard::to_stdvec(&logged) {
            // Rejected if too many proposals are in progress. The sender of the command retries.
            let _ = self.raw.propose(Vec::new(), bytes);
        }
    }

    fn process_ready(&mut self, sink: &mut dyn OutputSink) {
        let mut ready = self.raw.ready();
        let mut saved = LogUpdate::default();
        ready.take_messages().into_iter().for_each(|m| send(m, sink));
        if !ready.snapshot().is_empty() {
            let snapshot = ready.snapshot().clone();
            if let Ok(queue) = postcard::from_bytes(snapshot.get_data()) {
                self.queue = queue;
            }
            self.applied = snapshot.get_metadata().index;
            let storage = self.raw.mut_store();
            saved.removed.extend(storage.entries.iter().map(|e| e.index));
            storage.entries.clear();
            storage.conf = snapshot.get_metadata().get_conf_state().clone();
            saved.snapshot = snapshot.write_to_bytes().ok();
            storage.snapshot = snapshot;
            self.pending_snapshot = Some(ready.number());
        }
        let committed = ready.take_committed_entries();
        if !ready.entries().is_empty() {
            let removed = self.raw.mut_store().append(ready.entries());
            saved.removed.extend(removed);
            let bytes = |e: &Entry| e.write_to_bytes().ok().map(|bytes| (e.index, bytes));
            saved.entries.extend(ready.entries().iter().filter_map(bytes));
        }
        if let Some(hard) = ready.hs() {
            self.raw.mut_store().hard = hard.clone();
            saved.hard = hard.write_to_bytes().ok();
        }
        self.apply(committed);
        let number = ready.number();
        let (immediate, deferred): (Vec<_>, Vec<_>) =
            ready.take_persisted_messages().into_iter().partition(needs_no_durability);
        immediate.into_iter().for_each(|m| send(m, sink));
        // An update without contents is numbered too, and its messages are sent after those of earlier updates.
        self.deferred.push_back(DeferredMessages { number, messages: deferred });
        sink.save(number, saved);
        self.raw.advance_append_async(ready);
        if self.pending_snapshot.is_none() {
            self.raw.advance_apply_to(self.applied);
        }
    }

    fn apply(&mut self, committed: Vec<Entry>) {
        for entry in committed {
            self.applied = entry.index;
            // The first entry of a leader's term is empty.
            if let Ok(logged) = postcard::from_bytes::<LoggedCommand>(entry.get_data()) {
                self.queue.apply(&logged);
            }
        }
    }

    /// Makes a snapshot of the applied log if enough entries were applied since the last one.
    fn make_snapshot(&mut self, sink: &mut dyn OutputSink) {
        let base = self.raw.store().base();
        let is_deferred = self.deferred.iter().any(|deferred| !deferred.messages.is_empty());
        if self.applied < base + self.snapshot_interval || is_deferred {
            return;
        }
        let (Ok(term), Ok(data)) = (self.raw.store().term(self.applied), postcard::to_stdvec(&self.queue))
        else {
            return;
        };
        let applied = self.applied;
        let storage = self.raw.mut_store();
        let mut snapshot = Snapshot::default();
        snapshot.set_data(data.into());
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (applied, term);
        meta.set_conf_state(storage.conf.clone());
        let removed: Vec<u64> = (base + 1..=applied).collect();
        storage.entries.drain(..(applied - base) as usize);
        let saved = LogUpdate { snapshot: snapshot.write_to_bytes().ok(), removed, ..LogUpdate::default() };
        storage.snapshot = snapshot;
        // Saved under number 0, as nothing waits for it.
        sink.save(0, saved);
    }

    /// Whether this member leads and knows all entries that were committed before.
    pub fn leads(&self) -> bool {
        self.raw.raft.state == StateRole::Leader && self.raw.raft.commit_to_current_term()
    }

    /// Returns the leader as known to this member.
    pub fn leader(&self) -> Option<u64> {
        Some(self.raw.raft.leader_id).filter(|id| *id != 0)
    }

    /// Returns the queue as applied by this member.
    pub fn queue(&self) -> &MaintenanceQueue {
        &self.queue
    }

    /// Returns the latest time of the next round.
    pub fn next_due(&self) -> Nanos {
        self.next_tick
    }

    /// Returns the progress of this member.
    pub fn progress(&self) -> Progress {
        Progress { term: self.raw.raft.term, applied: self.applied }
    }
}

fn undecodable(part: &'static str) -> GroupError {
    GroupError::Undecodable { part }
}

/// Restores a snapshot. Returns the queue that it contains.
fn recover_snapshot(storage: &mut LogStorage, snapshot: &[u8]) -> Result<MaintenanceQueue, GroupError> {
    storage.snapshot.merge_from_bytes(snapshot).map_err(|_| undecodable("snapshot"))?;
    let queue = postcard::from_bytes(storage.snapshot.get_data()).map_err(|_| undecodable("snapshot"))?;
    storage.conf = storage.snapshot.get_metadata().get_conf_state().clone();
    Ok(queue)
}

/// Restores the entries after the snapshot. The log must be complete up to the committed index.
fn recover_entries(storage: &mut LogStorage, recovered: &RecoveredLog) -> Result<(), GroupError> {
    for (&index, bytes) in recovered.entries.range(storage.base() + 1..) {
        let mut entry = Entry::default();
        entry.merge_from_bytes(bytes).map_err(|_| undecodable("entries"))?;
        if entry.index != index || index != storage.last() + 1 {
            return Err(GroupError::MissingEntry { index: storage.last() + 1 });
        }
        storage.entries.push_back(entry);
    }
    if storage.hard.commit > storage.last() {
        return Err(GroupError::TooShort { last: storage.last(), committed: storage.hard.commit });
    }
    Ok(())
}

fn raft_config(settings: &GroupSettings, applied: u64) -> Config {
    // Each member has its own election time-out, by its position among the voters. When time-outs were drawn from seeds,
    // two members sometimes had the same one and split every vote; random ones, the crate's default, would make runs not
    // reproducible.
    let position = settings.voters.iter().position(|voter| *voter == settings.me).unwrap_or(0);
    let own = ELECTION_TICKS + ELECTION_SPACING_TICKS * position;
    Config {
        id: settings.me,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        min_election_tick: own,
        max_election_tick: own + 1,
        applied,
        max_size_per_msg: 32 << 10,
        max_inflight_msgs: 64,
        // A member must not depose the leader when it returns from a network partition, and a partitioned leader must step
        // down.
        check_quorum: true,
        pre_vote: true,
        ..Config::default()
    }
}

/// Whether a message depends on nothing on this member's disk: it says that the member is alive, or how it would vote.
/// Delayed by a slow disk, such messages would depose a leader, which must hear from a majority of members in time.
fn needs_no_durability(message: &Message) -> bool {
    use MessageType::{MsgHeartbeatResponse, MsgRequestPreVote, MsgRequestPreVoteResponse};
    matches!(message.get_msg_type(), MsgHeartbeatResponse | MsgRequestPreVote | MsgRequestPreVoteResponse)
}

fn send(message: Message, sink: &mut dyn OutputSink) {
    if let Ok(bytes) = message.write_to_bytes() {
        sink.send(message.to, bytes);
    }
}
