//! The facts of one aggregator: what was taken, what was launched, what came of it, what the roster says.
//! Nothing here decides anything; the lengths of all sample rings come from the caller.

use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};

use crate::interface::{Nanos, PartIx, ReplicaIx, RetrievalIx};
use crate::trace::{Note, Trace, What};

/// How a launch ended, as far as the aggregator can know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Done,
    /// Turned away unread, for want of room.
    Full,
    /// No connection in time.
    Unreached,
    /// Answered with an error: it may have run, and its replica lives.
    Faulty,
    /// Its connection broke: it may have run, and may have taken its replica down.
    Broken,
    /// Its connection brought what cannot be used, or stayed silent while another one of its replica did not:
    /// it may have run, and its replica talks.
    Spoilt,
    /// No answer within its limit: it may have run, or run still.
    Silent,
    CalledOff,
    Unsent,
}

impl Ending {
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::Full | Ending::Unreached | Ending::Unsent)
    }
}

/// The last few samples, oldest first.
#[derive(Clone, Debug)]
pub struct Ring<T> {
    cap: usize,
    kept: VecDeque<T>,
}

impl<T: Copy> Ring<T> {
    pub fn new(cap: usize) -> Self {
        Ring { cap, kept: VecDeque::with_capacity(cap) }
    }

    pub fn push(&mut self, sample: T) {
        if self.kept.len() == self.cap {
            self.kept.pop_front();
        }
        self.kept.push_back(sample);
    }

    pub fn iter(&self) -> impl DoubleEndedIterator<Item = T> + ExactSizeIterator + '_ {
        self.kept.iter().copied()
    }

    pub fn clear(&mut self) {
        self.kept.clear();
    }
}

/// One ended launch.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    pub at: Nanos,
    pub took: Nanos,
    pub ending: Ending,
    pub grade: usize,
}

#[derive(Clone, Debug)]
pub struct Launch {
    pub replica: ReplicaIx,
    pub sent: Nanos,
    pub end: Option<Ending>,
    pub withdrawn: bool,
}

#[derive(Clone, Debug)]
pub struct Part {
    pub retrieval: RetrievalIx,
    pub shard: usize,
    pub weight: f64,
    pub step: usize,
    pub launches: Vec<Launch>,
    pub done: bool,
    /// Its retrieval has its final answer, or the host said that the part is over.
    pub closed: bool,
}

impl Part {
    pub fn out(&self) -> impl Iterator<Item = (usize, &Launch)> {
        self.launches.iter().enumerate().filter(|(_, l)| l.end.is_none())
    }
}

#[derive(Clone, Debug)]
pub struct Retrieval {
    pub grade: usize,
    pub tenant: usize,
    pub taken: Nanos,
    pub valid_until: Nanos,
    /// Expected work of all its parts; 0 where nothing was said.
    pub work: Nanos,
    /// Whether the client said that it asks again.
    pub again: bool,
    /// Least share of the parts' weight that it may be answered from, where it is more than its grade's.
    pub floor: f64,
    pub parts: Vec<PartIx>,
    /// 0 until its first step was answered.
    pub step: usize,
    pub closed: bool,
}

/// A launch that is on its replica, or may be: it stays after an ending that is no answer.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    pub part: PartIx,
    pub launch: usize,
    pub sent: Nanos,
    /// Launches of one replica in one round share it.
    pub call: u64,
    pub ended: Option<(Ending, Nanos)>,
}

#[derive(Clone, Debug)]
pub struct Replica {
    pub cell: usize,
    pub serving: bool,
    pub started: Option<Nanos>,
    named: bool,
    /// Removed for good, as far as the roster tells: its slot is free once nothing refers to it.
    retired: bool,
    /// Named by a list too old to go by, and not heard of otherwise: no part goes there before it answered probes.
    pub doubted: bool,
    pub held: Vec<Held>,
    /// Ended launches, those called off here too.
    pub samples: Ring<Sample>,
    /// When the latest-sent launch that was done had been sent, and when the last answer came.
    pub last_done_sent: Nanos,
    pub last_done_at: Nanos,
    pub launched_at: Ring<Nanos>,
    /// When a launch last got no connection there, and how long that took.
    pub unreached: Option<(Nanos, Nanos)>,
    pub probe_sent: Option<Nanos>,
    /// When the answered probes had been sent.
    pub probes_answered: Ring<Nanos>,
    /// Its last report: when it came, parts waiting, and parts done a second.
    pub report: Option<(Nanos, f64, f64)>,
    /// Parts a window that it may get from here while cold, whatever others have done for us, where the fleet's
    /// budget says.
    pub floor: Option<f64>,
    /// Grades, a bit each, that other front nodes found it failing lately.
    pub shunned: u64,
}

/// Lengths of the sample rings.
#[derive(Clone, Copy, Debug)]
pub struct RingLengths {
    pub overall: usize,
    pub per_replica: usize,
    pub launches: usize,
    pub probes: usize,
    pub broken: usize,
}

#[derive(Clone, Debug)]
pub struct Ledger {
    now: Nanos,
    lengths: RingLengths,
    first_retrieval: usize,
    retrievals: VecDeque<Retrieval>,
    first_part: usize,
    parts: VecDeque<Part>,
    pub replicas: Vec<Replica>,
    /// Those that retired since the last round.
    pub retired: Vec<ReplicaIx>,
    /// Those doubted since the last round, by how many steps, and when each may first be probed; 0 for one vouched for.
    pub doubted: Vec<(ReplicaIx, u32, Nanos)>,
    /// Replicas that held something of ours at any moment of this round.
    pub busy: BTreeSet<ReplicaIx>,
    /// Replicas that serve, by cell.
    cells: Vec<Vec<ReplicaIx>>,
    /// Times taken by the last parts that were done.
    pub latencies: Ring<Nanos>,
    /// When launches broke off, and where.
    pub broken: Ring<(Nanos, ReplicaIx)>,
    /// When retrievals and parts were taken, parts alone; further launches sent, and copies alone.
    pub taken: VecDeque<Nanos>,
    pub parts_taken: VecDeque<Nanos>,
    pub further: VecDeque<Nanos>,
    pub copies: VecDeque<Nanos>,
    /// When retrievals were taken, and of which tenant.
    pub asked: VecDeque<(Nanos, usize)>,
    /// Retrievals a second of each tenant that the fleet leaves this front, where front nodes share the tenants'
    /// shares; empty where this one stands alone.
    pub fleet_shares: Vec<f64>,
    /// Launches beyond the parts' first that the fleet leaves this front now, where front nodes share those.
    pub fleet_further: Option<usize>,
    pub roster_lost: bool,
    pub roster_heard: Option<Nanos>,
    /// Why decisions fell, where the host wants to know.
    trace: RefCell<Trace>,
    calls: u64,
    roster_complete: bool,
}

impl Ledger {
    pub fn new(lengths: RingLengths) -> Self {
        Ledger {
            now: 0,
            lengths,
            first_retrieval: 0,
            retrievals: VecDeque::new(),
            first_part: 0,
            parts: VecDeque::new(),
            replicas: Vec::new(),
            retired: Vec::new(),
            doubted: Vec::new(),
            busy: BTreeSet::new(),
            cells: Vec::new(),
            latencies: Ring::new(lengths.overall),
            broken: Ring::new(lengths.broken),
            taken: VecDeque::new(),
            parts_taken: VecDeque::new(),
            further: VecDeque::new(),
            copies: VecDeque::new(),
            asked: VecDeque::new(),
            fleet_shares: Vec::new(),
            fleet_further: None,
            roster_lost: false,
            roster_heard: None,
            trace: RefCell::default(),
            calls: 0,
            roster_complete: false,
        }
    }

    pub fn begin(&mut self, now: Nanos) {
        self.now = now;
        self.calls += 1;
    }

    // ---- the trace ----

    pub fn switch_trace(&mut self, on: bool) {
        self.trace.get_mut().switch(on);
    }

    /// Made only while the trace is on.
    pub fn note(&self, what: impl FnOnce() -> What) {
        self.trace.borrow_mut().note(self.now, what);
    }

    /// What was noted since it was last taken.
    pub fn take_notes(&mut self) -> Vec<Note> {
        let first = (self.first_retrieval(), self.first_part());
        self.trace.get_mut().take(first)
    }

    // ---- what comes in ----

    pub fn retrieval_taken(
        &mut self,
        grade: usize,
        tenant: usize,
        valid_until: Nanos,
        work: Nanos,
        again: bool,
    ) -> RetrievalIx {
        self.asked.push_back((self.now, tenant));
        self.taken.push_back(self.now);
        let (taken, parts) = (self.now, Vec::new());
        self.retrievals.push_back(Retrieval {
            grade,
            tenant,
            taken,
            valid_until,
            work,
            again,
            floor: 0.0,
            parts,
            step: 0,
            closed: false,
        });
        let ix = RetrievalIx(self.first_retrieval + self.retrievals.len() - 1);
        self.note(|| What::Taken(ix, grade, again));
        ix
    }

    /// A floor of its own, which the client asked for.
    pub fn retrieval_needs(&mut self, retrieval: RetrievalIx, floor: f64) {
        if let Some(r) = self.retrieval_mut(retrieval) {
            r.floor = floor;
        }
    }

    pub fn part_taken(&mut self, retrieval: RetrievalIx, shard: usize, weight: f64) -> PartIx {
        self.taken.push_back(self.now);
        self.parts_taken.push_back(self.now);
        let ix = PartIx(self.first_part + self.parts.len());
        self.note(|| What::Part(ix, retrieval, shard));
        let (step, closed) = match self.retrieval_mut(retrieval) {
            Some(r) => {
                r.parts.push(ix);
                (r.step, r.closed)
            }
            None => (0, true),
        };
        self.parts.push_back(Part {
            retrieval,
            shard,
            weight,
            step,
            launches: Vec::new(),
            done: false,
            closed,
        });
        ix
    }

    /// `part_over`: the host says that nothing more can come of the part.
    pub fn launch_ended(
        &mut self,
        part: PartIx,
        launch: usize,
        ending: Ending,
        took: Nanos,
        part_over: bool,
    ) {
        let now = self.now;
        let Some(p) = part.0.checked_sub(self.first_part).and_then(|at| self.parts.get_mut(at)) else {
            return;
        };
        p.closed |= part_over && ending != Ending::Done;
        let Some(l) = p.launches.get_mut(launch) else { return };
        l.end = Some(ending);
        let (sent, replica, retrieval) = (l.sent, l.replica, p.retrieval);
        if ending == Ending::Done {
            p.done |= !p.closed;
            self.latencies.push(took);
        }
        if ending == Ending::Broken {
            self.broken.push((now, replica));
        }
        let grade = self.retrieval_mut(retrieval).map_or(0, |r| r.grade);
        let r = &mut self.replicas[replica.0];
        if let Some(h) = r.held.iter_mut().find(|h| h.part == part && h.launch == launch) {
            h.ended = Some((ending, now));
        }
        if ending == Ending::Done {
            r.last_done_sent = r.last_done_sent.max(sent);
            r.last_done_at = now;
        }
        if ending == Ending::Unreached {
            r.unreached = Some((now, took));
        }
        // What was out on one connection with a spoilt answer is one piece of news: the others were sound.
        let again = |s: Sample| ending == Ending::Spoilt && (s.ending, s.at) == (ending, now);
        if ending != Ending::Unsent && !r.samples.iter().last().is_some_and(again) {
            r.samples.push(Sample { at: now, took, ending, grade });
        }
    }

    /// What the fleet of front nodes allows and knows of a replica: parts a window on the floor while it is cold, and
    /// the grades, a bit each, that others found it failing.
    pub fn fleet_told(&mut self, replica: ReplicaIx, floor: f64, shunned: u64) {
        let r = &mut self.replicas[replica.0];
        (r.floor, r.shunned) = (Some(floor.max(0.0)), shunned);
    }

    /// The client has gone, or its time is up.
    pub fn retrieval_lapsed(&mut self, retrieval: RetrievalIx) {
        self.close(retrieval);
    }

    /// `report`: parts waiting and parts done a second, where the probe brought both.
    pub fn probe_ended(&mut self, replica: ReplicaIx, answered: bool, report: Option<(f64, f64)>) {
        let now = self.now;
        let r = &mut self.replicas[replica.0];
        if let (Some(sent), true) = (r.probe_sent.take(), answered) {
            r.probes_answered.push(sent);
        }
        r.report = report.map(|(waiting, rate)| (now, waiting, rate)).or(r.report);
    }

    /// Takes a free slot, so that a fleet whose replicas are replaced all day takes no more room than one that
    /// stays.
    pub fn replica_met(&mut self, cell: usize) -> ReplicaIx {
        let met = Replica {
            cell,
            serving: false,
            started: None,
            named: false,
            retired: false,
            doubted: false,
            held: Vec::new(),
            samples: Ring::new(self.lengths.per_replica),
            last_done_sent: Nanos::MIN,
            last_done_at: Nanos::MIN,
            launched_at: Ring::new(self.lengths.launches),
            unreached: None,
            probe_sent: None,
            probes_answered: Ring::new(self.lengths.probes),
            report: None,
            floor: None,
            shunned: 0,
        };
        match (0..self.replicas.len()).find(|&ix| self.free(ReplicaIx(ix))) {
            Some(ix) => {
                self.replicas[ix] = met;
                ReplicaIx(ix)
            }
            None => {
                self.replicas.push(met);
                ReplicaIx(self.replicas.len() - 1)
            }
        }
    }

    /// Whether nothing of ours is there, or may be, and no part remembers it.
    fn free(&self, ix: ReplicaIx) -> bool {
        let r = &self.replicas[ix.0];
        let tried = |p: &Part| p.launches.iter().any(|l| l.replica == ix);
        r.retired && r.held.is_empty() && r.probe_sent.is_none() && !self.parts.iter().any(tried)
    }

    /// The roster has removed it. What is out there may still end; nothing is thought of it any more.
    pub fn replica_retired(&mut self, replica: ReplicaIx) {
        let r = &mut self.replicas[replica.0];
        if !r.serving && !r.retired {
            r.retired = true;
            self.retired.push(replica);
        }
    }

    /// The list that names it is old: it may have drained, gone, or come back cold. It gets no part before it answered
    /// `2^(steps - 1)` probes, the first of them not before `from`, as hundreds of fronts may start with that list.
    pub fn replica_doubted(&mut self, replica: ReplicaIx, steps: u32, from: Nanos) {
        self.replicas[replica.0].doubted = steps > 0;
        self.doubted.push((replica, steps, from));
    }

    /// Discovery names it: what an old list left open is settled.
    pub fn replica_vouched(&mut self, replica: ReplicaIx) {
        if std::mem::take(&mut self.replicas[replica.0].doubted) {
            self.doubted.push((replica, 0, 0));
        }
    }

    /// Roster news: `complete` where every replica that exists is about to be named.
    pub fn roster_opens(&mut self, complete: bool) {
        self.roster_complete = complete;
        self.replicas.iter_mut().for_each(|r| r.named = false);
    }

    pub fn roster_names(&mut self, replica: ReplicaIx, cell: usize, serving: bool, started: Option<Nanos>) {
        let r = &mut self.replicas[replica.0];
        if started.is_some() && started != r.started {
            // What an earlier process held or answered says nothing of this one.
            r.held.retain(|h| h.ended.is_none());
            r.samples.clear();
        }
        (r.named, r.cell, r.serving, r.started) = (true, cell, serving, started);
        r.retired = false;
    }

    pub fn roster_closes(&mut self) {
        if self.roster_complete {
            self.replicas.iter_mut().filter(|r| !r.named).for_each(|r| r.serving = false);
        }
        self.cells.iter_mut().for_each(Vec::clear);
        for (ix, r) in self.replicas.iter().enumerate().filter(|(_, r)| r.serving) {
            self.cells.resize(self.cells.len().max(r.cell + 1), Vec::new());
            self.cells[r.cell].push(ReplicaIx(ix));
        }
        self.roster_lost = false;
        self.roster_heard = Some(self.now);
    }

    pub fn roster_lost(&mut self) {
        self.roster_lost = true;
    }

    // ---- what was decided ----

    pub fn launched(&mut self, part: PartIx, replica: ReplicaIx, copy: bool) {
        let (now, call) = (self.now, self.calls);
        let p = self.part_mut(part);
        let launch = p.launches.len();
        p.launches.push(Launch { replica, sent: now, end: None, withdrawn: false });
        if launch > 0 {
            self.further.push_back(now);
            self.fleet_further = self.fleet_further.map(|left| left.saturating_sub(1));
        }
        if copy {
            self.copies.push_back(now);
        }
        self.busy.insert(replica);
        let r = &mut self.replicas[replica.0];
        r.launched_at.push(now);
        r.held.push(Held { part, launch, sent: now, call, ended: None });
    }

    pub fn withdrawn(&mut self, part: PartIx, launch: usize) {
        self.part_mut(part).launches[launch].withdrawn = true;
    }

    pub fn probed(&mut self, replica: ReplicaIx) {
        self.replicas[replica.0].probe_sent = Some(self.now);
    }

    pub fn next_step(&mut self, retrieval: RetrievalIx) {
        if let Some(r) = self.retrieval_mut(retrieval) {
            r.step += 1;
        }
    }

    pub fn close(&mut self, retrieval: RetrievalIx) {
        let Some(r) = self.retrieval_mut(retrieval) else { return };
        r.closed = true;
        for part in r.parts.clone() {
            self.part_mut(part).closed = true;
        }
    }

    /// Drops what no answer can refer to any more, and times from before the given moment.
    pub fn tidy(&mut self, before: Nanos) {
        while self.retrievals.front().is_some_and(|r| {
            r.closed && r.parts.iter().all(|p| self.parts[p.0 - self.first_part].out().next().is_none())
        }) {
            self.retrievals.pop_front();
            self.first_retrieval += 1;
        }
        while self.parts.front().is_some_and(|p| p.retrieval.0 < self.first_retrieval) {
            self.parts.pop_front();
            self.first_part += 1;
        }
        self.busy.retain(|ix| !self.replicas[ix.0].held.is_empty());
        while self.asked.front().is_some_and(|&(t, _)| t < before) {
            self.asked.pop_front();
        }
        for times in [&mut self.taken, &mut self.parts_taken, &mut self.further, &mut self.copies] {
            while times.front().is_some_and(|&t| t < before) {
                times.pop_front();
            }
        }
    }

    // ---- looking up ----

    pub fn now(&self) -> Nanos {
        self.now
    }

    pub fn call(&self) -> u64 {
        self.calls
    }

    /// How many replicas serve, as the roster says.
    pub fn serving(&self) -> usize {
        self.cells.iter().map(Vec::len).sum()
    }

    /// Replicas of a cell that serve, as the roster says.
    pub fn in_cell(&self, cell: usize) -> impl Iterator<Item = ReplicaIx> {
        self.cells.get(cell).into_iter().flatten().copied()
    }

    pub fn first_retrieval(&self) -> RetrievalIx {
        RetrievalIx(self.first_retrieval)
    }

    pub fn first_part(&self) -> PartIx {
        PartIx(self.first_part)
    }

    /// Retrievals without a final answer, oldest first.
    pub fn open(&self) -> impl Iterator<Item = (RetrievalIx, &Retrieval)> {
        let numbered = self.retrievals.iter().enumerate();
        numbered.filter(|(_, r)| !r.closed).map(|(i, r)| (RetrievalIx(self.first_retrieval + i), r))
    }

    /// Parts still wanted, oldest first.
    pub fn wanted(&self) -> impl Iterator<Item = (PartIx, &Part)> {
        let numbered = self.parts.iter().enumerate();
        numbered.filter(|(_, p)| !p.closed && !p.done).map(|(i, p)| (PartIx(self.first_part + i), p))
    }

    /// Launches still out of parts that need them no more, not withdrawn yet.
    pub fn loose(&self) -> impl Iterator<Item = (PartIx, usize)> {
        let over = self.parts.iter().enumerate().filter(|(_, p)| p.done || p.closed);
        over.flat_map(move |(i, p)| {
            let out = p.out().filter(|(_, l)| !l.withdrawn);
            out.map(move |(n, _)| (PartIx(self.first_part + i), n))
        })
    }

    pub fn retrieval(&self, ix: RetrievalIx) -> &Retrieval {
        &self.retrievals[ix.0 - self.first_retrieval]
    }

    pub fn part(&self, ix: PartIx) -> &Part {
        &self.parts[ix.0 - self.first_part]
    }

    fn part_mut(&mut self, ix: PartIx) -> &mut Part {
        &mut self.parts[ix.0 - self.first_part]
    }

    fn retrieval_mut(&mut self, ix: RetrievalIx) -> Option<&mut Retrieval> {
        ix.0.checked_sub(self.first_retrieval).and_then(|at| self.retrievals.get_mut(at))
    }
}
