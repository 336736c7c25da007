//! The replicated log that the queue is built from: a few front nodes, one of them the leader, by Raft (Ongaro 2014) of
//! the crate `raft`. Free of I/O: the host hands over messages, commands and what became durable, and carries out what
//! is written. Nothing that says a record is kept is sent before the host says that it is.

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
/// Ticks between the election timeouts of two members: more than a vote takes to come and go.
const ELECTION_SPACING_TICKS: usize = 3;
/// How often a member's tick is doubled at most while elections bring no leader.
const MAX_TICK_DOUBLINGS: u32 = 4;
/// Ticks made up for at most where rounds come late: a node that stalled must not start elections for each it missed.
const MAX_TICKS: usize = 2 * ELECTION_TICKS;

/// What came in since the last round.
#[derive(Default)]
pub struct Inbox {
    messages: Vec<Vec<u8>>,
    commands: Vec<Command>,
    durable: Option<u64>,
    observation: Option<Observation>,
}

/// What this node sees of the machines, and its settings.
struct Observation {
    seen: BTreeMap<String, ObservedMachine>,
    rule: DisruptionBudget,
    pace: Timing,
}

impl Inbox {
    /// A message of another member.
    pub fn message(&mut self, bytes: Vec<u8>) {
        self.messages.push(bytes);
    }

    /// A command to be proposed, where this node leads.
    pub fn command(&mut self, command: Command) {
        self.commands.push(command);
    }

    /// All that was handed over to be saved up to that number is durable.
    pub fn durable(&mut self, number: u64) {
        self.durable = Some(self.durable.map_or(number, |n| n.max(number)));
    }

    /// What this node sees of the machines, and the rule and pace of its file: told where it leads.
    pub fn observation(
        &mut self,
        seen: BTreeMap<String, ObservedMachine>,
        rule: DisruptionBudget,
        pace: Timing,
    ) {
        self.observation = Some(Observation { seen, rule, pace });
    }
}

/// Where the output of a round goes.
pub trait OutputSink {
    /// To another member of the group, by its number.
    fn send(&mut self, to: u64, message: Vec<u8>);
    /// To be made durable; the host says so with the number once it is.
    fn save(&mut self, number: u64, saved: LogUpdate);
}

/// What a member of the group is told at its start.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    /// Its number.
    pub me: u64,
    /// The numbers of all members.
    pub voters: Vec<u64>,
    /// Raft's unit of time.
    pub tick: Nanos,
    /// Entries applied beyond a snapshot before the next one is made.
    pub snapshot_interval: u64,
}

impl GroupSettings {
    /// Settings with a snapshot every 256 entries.
    pub fn new(me: u64, voters: Vec<u64>, tick: Nanos) -> GroupSettings {
        GroupSettings { me, voters, tick, snapshot_interval: 256 }
    }
}

/// Why a member cannot begin with the log that an earlier run left. It must not begin without it under its number, as
/// it could vote twice.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum GroupError {
    /// The state of the log, its snapshot or its entries are damaged.
    #[display("the log's {part} cannot be read")]
    Undecodable {
        /// The part of the log.
        part: &'static str,
    },
    /// Entries of the log are missing.
    #[display("the log lacks entry {index}")]
    MissingEntry {
        /// The first of them.
        index: u64,
    },
    /// The log ends before what the member knew to be agreed.
    #[display("the log ends at {last} of {committed} agreed entries")]
    TooShort {
        /// Its last entry.
        last: u64,
        /// The last agreed one.
        committed: u64,
    },
    /// The settings break Raft's rules.
    #[display("maintenance group: {reason}")]
    Config {
        /// What Raft says of them.
        reason: String,
    },
}

/// How far a member is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Its term.
    pub term: u64,
    /// Index of the last entry that it applied.
    pub applied: u64,
}

/// One member of the group.
pub struct Group {
    raw: RawNode<LogStorage>,
    queue: MaintenanceQueue,
    applied: u64,
    tick: Nanos,
    snapshot_interval: u64,
    next_tick: Nanos,
    /// Elections that brought no leader since one was last known.
    elections_without_leader: u32,
    /// Term of the last one.
    term: u64,
    /// Messages that say a record is kept, in the order of the records' numbers.
    deferred: VecDeque<DeferredMessages>,
    /// A snapshot taken over from the leader: it counts as applied once that number is durable.
    snapshot_awaits: Option<u64>,
    /// Up to where the log was when an observation was last proposed: one at a time.
    last_observation: u64,
}

/// Messages that say a record is kept, which are sent once it is.
struct DeferredMessages {
    /// The number that the record was handed over under.
    number: u64,
    messages: Vec<Message>,
}

impl Group {
    /// `recovered` is what an earlier run of this member saved. A member that lost it must not come back under its
    /// number: it could vote twice.
    ///
    /// # Errors
    /// If the log is damaged or not whole, or the settings break Raft's rules.
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
            snapshot_awaits: None,
            last_observation: 0,
            raw,
        })
    }

    /// One round: handles what came in, and writes what is to be sent and saved.
    pub fn round(&mut self, now: Nanos, inputs: impl FnOnce(&mut Inbox), sink: &mut dyn OutputSink) {
        let mut inbox = Inbox::default();
        inputs(&mut inbox);
        if let Some(number) = inbox.durable {
            self.saved_up_to(number, sink);
        }
        for bytes in inbox.messages {
            let mut message = Message::default();
            // One that cannot be read, or that the crate has no use for, is one that was lost.
            if message.merge_from_bytes(&bytes).is_ok() {
                let _ = self.raw.step(message);
            }
        }
        self.run_ticks(now);
        self.pace();
        if self.raw.raft.state != StateRole::Leader {
            // An observation that was proposed and lost again must not hold up those of a later lead.
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
            self.carry_out(sink);
        }
        self.snapshot(sink);
    }

    /// All that was handed over up to that number is durable: what waited for it is sent.
    fn saved_up_to(&mut self, number: u64, sink: &mut dyn OutputSink) {
        self.raw.on_persist_ready(number);
        if self.snapshot_awaits.is_some_and(|snapshot_awaits| snapshot_awaits <= number) {
            self.snapshot_awaits = None;
            self.raw.advance_apply_to(self.applied);
        }
        while let Some(deferred) = self.deferred.pop_front_if(|deferred| deferred.number <= number) {
            deferred.messages.into_iter().for_each(|message| send(message, sink));
        }
    }

    /// Raft's ticks that fell due, those that were missed among them up to [`MAX_TICKS`].
    fn run_ticks(&mut self, now: Nanos) {
        for _ in 0..MAX_TICKS {
            if now < self.next_tick {
                break;
            }
            self.raw.tick();
            self.pace();
            self.next_tick += self.tick << self.elections_without_leader;
        }
        if now >= self.next_tick {
            self.next_tick = now + (self.tick << self.elections_without_leader);
        }
    }

    /// Proposes what the leader sees of the machines, where the queue needs it and none is on its way.
    fn propose_observation(&mut self, observation: Observation, now: Nanos) {
        let Observation { seen, rule, pace } = observation;
        if self.last_observation <= self.applied && self.queue.needs_observation(&seen, &rule, pace, now) {
            self.propose(Command::Observe { seen, rule, pace }, now);
            self.last_observation = self.raw.raft.raft_log.last_index();
        }
    }

    /// A vote waits for two disks, the candidate's and the voter's. Where they take longer than a member waits before
    /// it tries again, every vote is overtaken by the next one, and nobody leads for as long as the disks are slow. So
    /// a member takes its time, twice as long after each term that brought no leader; its harm is a later leader by as
    /// much.
    fn pace(&mut self) {
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
            // Refused where too much is under way: whoever sent the command sends it again.
            let _ = self.raw.propose(Vec::new(), bytes);
        }
    }

    fn carry_out(&mut self, sink: &mut dyn OutputSink) {
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
            self.snapshot_awaits = Some(ready.number());
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
        let (at_once, after): (Vec<_>, Vec<_>) =
            ready.take_persisted_messages().into_iter().partition(says_nothing_kept);
        at_once.into_iter().for_each(|m| send(m, sink));
        // A ready with nothing to save is numbered all the same, and its turn comes after those before it.
        self.deferred.push_back(DeferredMessages { number, messages: after });
        sink.save(number, saved);
        self.raw.advance_append_async(ready);
        if self.snapshot_awaits.is_none() {
            self.raw.advance_apply_to(self.applied);
        }
    }

    fn apply(&mut self, committed: Vec<Entry>) {
        for entry in committed {
            self.applied = entry.index;
            // The leader's first entry of its term is empty.
            if let Ok(logged) = postcard::from_bytes::<LoggedCommand>(entry.get_data()) {
                self.queue.apply(&logged);
            }
        }
    }

    /// Folds the log that was applied into a snapshot, now and then.
    fn snapshot(&mut self, sink: &mut dyn OutputSink) {
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
        // Under the number handed over last: nothing waits for it.
        sink.save(0, saved);
    }

    /// Whether this member leads, and knows all that was agreed before it did.
    pub fn leads(&self) -> bool {
        self.raw.raft.state == StateRole::Leader && self.raw.raft.commit_to_current_term()
    }

    /// The leader as far as this member knows.
    pub fn leader(&self) -> Option<u64> {
        Some(self.raw.raft.leader_id).filter(|id| *id != 0)
    }

    /// The queue as this member has applied it.
    pub fn queue(&self) -> &MaintenanceQueue {
        &self.queue
    }

    /// When the next round is due at the latest.
    pub fn next_due(&self) -> Nanos {
        self.next_tick
    }

    /// How far this member is.
    pub fn progress(&self) -> Progress {
        Progress { term: self.raw.raft.term, applied: self.applied }
    }
}

fn undecodable(part: &'static str) -> GroupError {
    GroupError::Undecodable { part }
}

/// Puts a snapshot in the place of the log up to it; the queue that it holds.
fn recover_snapshot(storage: &mut LogStorage, snapshot: &[u8]) -> Result<MaintenanceQueue, GroupError> {
    storage.snapshot.merge_from_bytes(snapshot).map_err(|_| undecodable("snapshot"))?;
    let queue = postcard::from_bytes(storage.snapshot.get_data()).map_err(|_| undecodable("snapshot"))?;
    storage.conf = storage.snapshot.get_metadata().get_conf_state().clone();
    Ok(queue)
}

/// Puts the entries after the snapshot into the log, which must be whole up to what was committed.
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
    // Each member waits for its own number of ticks, by its position among the voters. Drawn from seeds, as it was at
    // first, two of them were alike at times and split every vote; drawn anew each time, as the crate does, no run is
    // like another.
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
        // A member that was cut off must not depose the leader when it is back, nor a leader lead on that is.
        check_quorum: true,
        pre_vote: true,
        ..Config::default()
    }
}

/// Messages that vouch for nothing on this member's disk: that it is there, and whether it would vote. Held up behind a
/// slow disk they cost a leader its lead, as it hears nothing from most of its members for longer than it may.
fn says_nothing_kept(message: &Message) -> bool {
    use MessageType::{MsgHeartbeatResponse, MsgRequestPreVote, MsgRequestPreVoteResponse};
    matches!(message.get_msg_type(), MsgHeartbeatResponse | MsgRequestPreVote | MsgRequestPreVoteResponse)
}

fn send(message: Message, sink: &mut dyn OutputSink) {
    if let Ok(bytes) = message.write_to_bytes() {
        sink.send(message.to, bytes);
    }
}
