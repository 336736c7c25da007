//! A test host: a log in memory, and a disk whose writes become durable when the test says so.

#![allow(dead_code)]

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::rc::Rc;

use orchidvalve_chain_replication::{
    ChainView, Entry, EpochRuns, LogReader, Message, Output, RecoveredLog, Replica,
};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};

mod trace;
pub mod world;

pub fn member(number: u8) -> MemberId {
    disk(number, 1)
}

pub fn disk(number: u8, disk: u64) -> MemberId {
    MemberId { address: NodeAddress::new(Ipv4Addr::new(10, 0, 0, number), 7000), disk }
}

pub fn view(epoch: u64, members: &[MemberId], learners: &[MemberId], minimum: usize) -> ChainView {
    ChainView { epoch, members: members.to_vec(), learners: learners.to_vec(), minimum }
}

#[derive(Clone, Debug)]
pub enum Record {
    Append(Entry),
    Truncate { after: u64 },
    Reset { start: u64, previous_epoch: u64 },
    Trim { first: u64 },
}

/// A log built from records, either the one in memory or the one on disk.
#[derive(Clone, Debug)]
pub struct Copy {
    pub runs: EpochRuns,
    pub entries: VecDeque<Entry>,
}

impl Default for Copy {
    fn default() -> Copy {
        Copy { runs: EpochRuns::new(1, 0, Vec::new()), entries: VecDeque::new() }
    }
}

impl Copy {
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Append(entry) => {
                assert_eq!(entry.sequence, self.runs.end() + 1, "entries are appended in order");
                self.runs.append(entry.epoch);
                self.entries.push_back(entry.clone());
            }
            Record::Truncate { after } => {
                self.runs.truncate(*after);
                self.entries.retain(|entry| entry.sequence <= *after);
            }
            Record::Reset { start, previous_epoch } => {
                self.runs.reset(*start, *previous_epoch);
                self.entries.clear();
            }
            Record::Trim { first } => {
                self.runs.trim(*first);
                self.entries.retain(|entry| entry.sequence >= *first);
            }
        }
    }

    pub fn get(&self, sequence: u64) -> Option<&Entry> {
        let position = sequence.checked_sub(self.entries.front()?.sequence)?;
        self.entries.get(position as usize)
    }
}

impl LogReader for Copy {
    fn read(&self, from: u64, through: u64, max_bytes: usize, entries: &mut Vec<Entry>) {
        let mut bytes = 0;
        for sequence in from..=through {
            let Some(entry) = self.get(sequence) else { return };
            bytes += entry.payload.len();
            if bytes > max_bytes && !entries.is_empty() {
                return;
            }
            entries.push(entry.clone());
        }
    }
}

/// A replica with its log in memory and on disk.
pub struct Host {
    pub me: MemberId,
    pub replica: Replica,
    pub memory: Copy,
    pub disk: Copy,
    /// Pending records with the sequence to report once durable; `None` once a later truncation or reset removed it.
    pub writes: VecDeque<(Record, Option<u64>)>,
    pub sent: Vec<(MemberId, Message)>,
    /// All outputs except messages and log records, in order.
    pub events: Vec<Output>,
    /// All outputs in order, if they are recorded.
    pub outputs: Option<Vec<Output>>,
}

impl Host {
    pub fn new(me: MemberId, nonce: u64) -> Host {
        Host::recovered(me, Copy::default(), 0, nonce)
    }

    pub fn recovered(me: MemberId, disk: Copy, committed: u64, nonce: u64) -> Host {
        let state = RecoveredLog {
            first: disk.runs.first(),
            end: disk.runs.end(),
            committed,
            runs: disk.runs.runs().to_vec(),
        };
        Host {
            me,
            replica: Replica::new(me, state, nonce),
            memory: disk.clone(),
            disk,
            writes: VecDeque::new(),
            sent: Vec::new(),
            events: Vec::new(),
            outputs: None,
        }
    }

    /// Passes one input to the replica and applies its outputs.
    pub fn input<R>(&mut self, input: impl FnOnce(&mut Replica, &Copy, &mut Vec<Output>) -> R) -> R {
        let mut outputs = Vec::new();
        let result = input(&mut self.replica, &self.memory, &mut outputs);
        self.outputs.iter_mut().for_each(|recorded| recorded.extend(outputs.iter().cloned()));
        for output in outputs {
            self.apply(output);
        }
        result
    }

    fn apply(&mut self, output: Output) {
        match output {
            Output::Append(entry) => {
                let sequence = entry.sequence;
                self.write(Record::Append(entry), Some(sequence));
            }
            Output::Truncate { after } => {
                self.discard_reports(after);
                self.write(Record::Truncate { after }, None);
            }
            Output::Reset { start, previous_epoch } => {
                self.discard_reports(0);
                self.write(Record::Reset { start, previous_epoch }, None);
            }
            Output::Send { to, message } => self.sent.push((to, message)),
            other => self.events.push(other),
        }
    }

    pub fn write(&mut self, record: Record, report: Option<u64>) {
        self.memory.apply(&record);
        self.writes.push_back((record, report));
    }

    fn discard_reports(&mut self, after: u64) {
        for (_, report) in &mut self.writes {
            *report = report.filter(|&sequence| sequence <= after);
        }
    }

    /// Makes up to `records` pending records durable.
    pub fn sync(&mut self, records: usize) {
        let mut through = None;
        for _ in 0..records {
            let Some((record, report)) = self.writes.pop_front() else { break };
            self.disk.apply(&record);
            through = report.or(through);
        }
        if let Some(through) = through {
            self.input(|replica, log, outputs| replica.entries_durable(through, log, outputs));
        }
    }

    pub fn propose(&mut self, payload: &[u8]) -> Option<u64> {
        self.input(|replica, _, outputs| replica.propose(Rc::from(payload), outputs))
    }

    pub fn adopt(&mut self, view: &ChainView) {
        self.input(|replica, log, outputs| replica.view_changed(view.clone(), log, outputs));
    }

    pub fn receive(&mut self, from: MemberId, message: Message) {
        self.input(|replica, log, outputs| replica.message_received(from, message, log, outputs));
    }

    pub fn tick(&mut self, now: u64) {
        self.input(|replica, log, outputs| replica.tick(now, log, outputs));
    }

    pub fn trim(&mut self, first: u64) {
        self.replica.trimmed(first);
        self.write(Record::Trim { first }, None);
    }
}

/// Delivers all messages and makes all writes durable until nothing is pending. `tamper` returns the messages to
/// deliver in place of each message.
pub fn settle_with(
    hosts: &mut [Host],
    tamper: &mut dyn FnMut(MemberId, MemberId, Message) -> Vec<(MemberId, Message)>,
) {
    loop {
        let mut moved = false;
        for index in 0..hosts.len() {
            let from = hosts[index].me;
            for (to, message) in std::mem::take(&mut hosts[index].sent) {
                moved = true;
                for (to, message) in tamper(from, to, message) {
                    if let Some(host) = hosts.iter_mut().find(|host| host.me == to) {
                        host.receive(from, message);
                    }
                }
            }
            moved |= !hosts[index].writes.is_empty();
            hosts[index].sync(usize::MAX);
        }
        if !moved {
            return;
        }
    }
}

pub fn settle(hosts: &mut [Host]) {
    settle_with(hosts, &mut |_, to, message| vec![(to, message)]);
}
