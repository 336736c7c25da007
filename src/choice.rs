//! Every decision of an aggregator, every threshold and tuned value. The facts they rest on are in
//! `ledger.rs`; what a host hands over at the start, and the `Writer`, are in `interface.rs`.
//!
//! Call [`Aggregator::round`] once a round: `came_in` records all that happened since the last one, and when
//! it returns, the decisions go to the writer. The source of the design is cited in `docs/design.md`.

use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};
use std::ops::Index;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::interface::{Effect, Nanos, PartIx, ReplicaIx, RetrievalIx, StandingOrders, Writer};
use crate::ledger::{Ending, Launch, Ledger, Part, Replica, Retrieval, RingLengths, Sample};
use crate::trace::{Held, Launched, Note, PassedOver, Refused, SetAside, What};

const MEMORY: Nanos = 2;
/// Samples: enough parts for a steady percentile, few enough to follow a change within seconds.
const RINGS: RingLengths = RingLengths { overall: 200, per_replica: 48, launches: 64, probes: 8, broken: 16 };
/// Delay of a copy: this share of the soft limit until so many parts have been timed, then that percentile.
const FIRST_DELAY: f64 = 0.25;
const DELAY_SAMPLES: usize = 20;
const DELAY_PERCENTILE: f64 = 0.95;
/// The usual longest time of a part: what patience and the last call go by.
const USUAL_LONGEST: f64 = 0.9;
/// Copies stay under this share of the parts of so many abandon times.
const COPY_SHARE: f64 = 0.1;
const COPY_WINDOW: f64 = 2.0;
/// A replica is silent after this many times the usual median, from this share of a soft limit to all of it.
/// The median, as a part of the fleet that goes slow moves the upper percentiles at once.
const PATIENCE: f64 = 4.0;
const PATIENCE_LEAST: f64 = 0.25;
/// A part finds no room where our parts on the replica, at the pace of its answers over so many soft limits,
/// would take longer than this share of a soft limit.
const FULL_AFTER: f64 = 0.38;
/// Share of that room for those that earn little: the rest is kept for the others.
const LESSER_ROOM: f64 = 0.25;
const PACE_SPAN: f64 = 2.0;
/// Share of the same room up to which a replica is eased enough to gather parts into a call.
const EASED: f64 = 0.5;
/// A pace says something only where so many parts were answered or are out.
const PACE_PARTS: usize = 3;
/// Parts a second that a replica is taken to do at least, whatever it reports.
const SLOWEST_RATE: f64 = 1.0;
const RECENT: usize = 5;
const LATELY: f64 = 2.0;
/// Failures in a row, unanswered launches among the last few, and slowness against all replicas over so many
/// samples, that set a replica aside.
const FAILURES: usize = 2;
const LOSING: usize = 3;
const LOSING_OF: usize = 6;
const LAGGARD: f64 = 3.0;
const LAGGARD_SAMPLES: usize = 5;
/// Replicas at which connections broke lately that make us wary, and those that one retrieval may take down.
const BREAKING: usize = 3;
const KILLED: usize = 2;
/// Probes one set aside must answer, doubled with each relapse up to a limit; their pace in soft limits.
const PROBES_BACK: usize = 1;
const PROBES_BACK_MOST: usize = 8;
const PROBE_PACE: f64 = 0.4;
/// Parts a replica must answer one at a time before it counts as sound again.
const TRIAL_PARTS: usize = 2;
/// Share of a cold server's budget that we use: clocks, chance and fronts of unlike traffic need the rest.
const COLD_CAUTION: f64 = 0.7;
/// Share of a part's usual time within which a refused connection tells of itself.
const AT_ONCE: f64 = 0.25;
/// The golden section spreads draws evenly, however few there are.
const SPREAD: f64 = 0.618_033_988_75;
/// Weights of a step sum to 1 but for this.
const ROUNDING: f64 = 1e-6;
/// Rounds kept free before a client's time is up.
const MARGIN_ROUNDS: Nanos = 3;
const WAKE_ROUNDS: Nanos = 2;

/// What is thought of a replica.
#[derive(Clone, Copy, Debug)]
struct Opinion {
    aside: Option<Nanos>,
    back: Nanos,
    relapses: u32,
    probe_due: Nanos,
}

/// What is thought of a replica, for hosts that remember it over a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Since when it is set aside.
    pub aside: Option<Nanos>,
    pub relapses: u32,
}

/// How a replica stands for the launches of this round.
#[derive(Clone, Copy, Debug)]
struct Seat {
    sound: bool,
    /// False for a cold server whose share is spent.
    open: bool,
    backlog: Nanos,
    /// Whether a part sent now would travel in a call already being written.
    joins: bool,
    /// Our calls in flight on it, and with one part more.
    calls: usize,
    after: usize,
}

struct Seats(Vec<Option<Seat>>);

impl Index<ReplicaIx> for Seats {
    type Output = Seat;

    fn index(&self, ix: ReplicaIx) -> &Seat {
        self.0[ix.0].as_ref().expect("seats were made for all holders of the parts in hand")
    }
}

pub struct Aggregator {
    orders: StandingOrders,
    ledger: Ledger,
    chance: Pcg64,
    opinions: Vec<Opinion>,
    roster_ask: Option<Nanos>,
    roster_asked: Nanos,
    roster_misses: u32,
    wake: Nanos,
    usual: Usual,
    /// Drawn once, from 0 to 1: when this front's turns come where each front of many has few.
    phase: f64,
}

/// Worked out once a round, as every seat needs them: percentiles of the last part latencies (none before
/// there are enough of them), our patience, and a replica's turn.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    half: Option<Nanos>,
    longest: Option<Nanos>,
    delay: Option<Nanos>,
    patience: Nanos,
    turn: Nanos,
}

impl Aggregator {
    pub fn new(orders: StandingOrders, seed: u64) -> Self {
        let roster_ask = orders.roster_on_request.then_some(Nanos::MIN);
        let ledger = Ledger::new(RINGS);
        let (chance, opinions) = (Pcg64::seed_from_u64(seed), Vec::new());
        let (roster_misses, wake, usual) = (0, Nanos::MIN, Usual::default());
        let (roster_asked, phase) = (Nanos::MIN / 2, chance.clone().random());
        Aggregator {
            orders,
            ledger,
            chance,
            opinions,
            roster_ask,
            roster_asked,
            roster_misses,
            wake,
            usual,
            phase,
        }
    }

    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// From now on each decision's reason is kept, until it is taken.
    pub fn switch_trace(&mut self, on: bool) {
        self.ledger.switch_trace(on);
    }

    pub fn take_notes(&mut self) -> Vec<Note> {
        self.ledger.take_notes()
    }

    /// None for a slot that no round has seen.
    pub fn standing(&self, ix: ReplicaIx) -> Option<Standing> {
        self.opinions.get(ix.0).map(|o| Standing { aside: o.aside, relapses: o.relapses })
    }

    pub fn round(&mut self, now: Nanos, came_in: impl FnOnce(&mut Ledger), w: &mut dyn Writer) {
        self.ledger.begin(now);
        came_in(&mut self.ledger);
        let fresh = Opinion { aside: None, back: Nanos::MIN, relapses: 0, probe_due: 0 };
        self.opinions.resize(self.ledger.replicas.len(), fresh);
        self.ledger.retired.drain(..).for_each(|ix| self.opinions[ix.0] = fresh);
        for (ix, steps, from) in self.ledger.doubted.drain(..) {
            let aside = (steps > 0).then_some(now);
            self.opinions[ix.0] = Opinion { aside, relapses: steps, probe_due: from, ..fresh };
        }
        let took: Vec<Nanos> = self.ledger.latencies.iter().collect();
        let usual = |share| (took.len() >= DELAY_SAMPLES).then(|| percentile(took.clone(), share));
        let (half, longest, delay) = (usual(0.5), usual(USUAL_LONGEST), usual(DELAY_PERCENTILE));
        self.usual = Usual { half, longest, delay, patience: self.patience(half), turn: self.turn() };
        let Usual { patience, .. } = self.usual;
        self.ledger.note(|| What::Usual(half.unwrap_or(0), longest.unwrap_or(0), patience));
        self.follow_roster(w);
        self.release_counts();
        self.judge_replicas(w);
        self.finish(w);
        self.place(w);
        self.endgame(w);
        self.retract_losers(w);
        self.ledger.tidy(now - self.copy_window().max(self.orders.ration.map_or(0, |r| r.span)));
        self.set_alarm(w);
    }

    // ---- figures ----

    fn now(&self) -> Nanos {
        self.ledger.now()
    }

    fn shortest_soft_limit(&self) -> Nanos {
        self.orders.grades.iter().map(|g| g.soft_limit).min().unwrap_or(0)
    }

    fn copy_window(&self) -> Nanos {
        let abandon = self.orders.grades.iter().map(|g| g.abandon).max().unwrap_or(0);
        scaled(abandon, COPY_WINDOW)
    }

    fn patience(&self, half: Option<Nanos>) -> Nanos {
        let soft = self.shortest_soft_limit();
        let usual = half.map_or(0, |p| scaled(p, PATIENCE));
        usual.clamp(scaled(soft, PATIENCE_LEAST), soft)
    }

    fn soft_end(&self, r: &Retrieval) -> Nanos {
        let grade = &self.orders.grades[r.grade];
        let limit = grade.soft_limit + scaled(r.work, grade.soft_stretch);
        r.taken + limit.min(grade.abandon)
    }

    /// When nothing more can be earned: at the client's own end, or at the soft limit where late earns
    /// nothing.
    fn end_of_use(&self, r: &Retrieval) -> Nanos {
        let late = self.orders.grades[r.grade].late_earnings > 0.0;
        let end = if late { r.valid_until } else { self.soft_end(r).min(r.valid_until) };
        end - MARGIN_ROUNDS * self.orders.beat
    }

    // ---- the roster ----

    /// Asks for the roster's changes where they come only on request; after a miss the waits grow and are
    /// spread by chance, lest all aggregators ask a roster that just came back at once.
    fn follow_roster(&mut self, w: &mut dyn Writer) {
        if !self.orders.roster_on_request {
            return;
        }
        let now = self.now();
        if self.ledger.roster_lost {
            self.ledger.roster_lost = false;
            // A watch that fell silent after it had lasted is no miss after a miss: what it held back soon
            // counts as told, so the waits begin anew.
            let last = self.roster_asked.max(self.ledger.roster_heard.unwrap_or(self.roster_asked));
            if now - last > self.orders.roster_within {
                self.roster_misses = 0;
            }
            self.roster_misses = (self.roster_misses + 1).min(4);
            let most = scaled(self.orders.roster_within, 0.05) << self.roster_misses;
            self.roster_ask = Some(now + self.chance.random_range(most / 4..=most));
        } else if self.ledger.roster_heard == Some(now) && self.roster_ask.is_none() {
            self.roster_misses = 0;
        }
        if self.roster_ask.is_some_and(|due| due <= now) {
            (self.roster_ask, self.roster_asked) = (None, now);
            w.follow_roster();
        }
    }

    // ---- counts ----

    /// Against silent replicas and fast errors, whose count would empty first and draw all the parts: a
    /// launch that ended without an answer counts as in flight until the replica answers a later one, or for
    /// as long as we would wait. Where a replica gets a part only every many seconds most counts are zero, so
    /// there such an end, or a late answer, counts until its next turn would have come.
    fn release_counts(&mut self) {
        let (now, patience, turn) = (self.now(), self.usual.patience, self.usual.turn);
        for &ix in &self.ledger.busy {
            let r = &mut self.ledger.replicas[ix.0];
            let answered = r.last_done_sent;
            r.held.retain(|h| match h.ended {
                None => true,
                Some((Ending::Unsent, _)) => false,
                Some((Ending::Done, at)) => at - h.sent >= patience && answered <= h.sent && now < at + turn,
                Some((_, at)) => answered < h.sent && now < at + patience.max(turn),
            });
        }
    }

    /// How long it is until a replica's next part from us, on average over the fleet.
    fn turn(&self) -> Nanos {
        let window = self.copy_window();
        let since = self.now() - window;
        let parts = self.ledger.parts_taken.iter().rev().take_while(|&&at| at > since).count();
        MEMORY * window.min(window / parts.max(1) as Nanos * self.ledger.serving() as Nanos)
    }

    /// This aggregator's calls on the replica; a part alone is a call where parts share none.
    fn in_flight(&self, replica: ReplicaIx) -> usize {
        let held = &self.ledger.replicas[replica.0].held;
        let calls = held.chunk_by(|a, b| a.call == b.call);
        calls.map(|c| c.len().div_ceil(self.orders.call_parts)).sum()
    }

    /// Whether a part sent now would travel in a call already being written this round.
    fn joins(&self, replica: ReplicaIx) -> bool {
        let held = self.ledger.replicas[replica.0].held.iter().rev();
        !held.take_while(|h| h.call == self.ledger.call()).count().is_multiple_of(self.orders.call_parts)
    }

    fn seat(&self, ix: ReplicaIx) -> Seat {
        let (joins, calls) = (self.joins(ix), self.in_flight(ix));
        let (open, backlog) = (self.has_room(ix), self.backlog(ix));
        Seat { sound: self.sound(ix), open, backlog, joins, calls, after: calls + usize::from(!joins) }
    }

    /// Seats of the holders of these parts; the rest of a large fleet is left out.
    fn seats(&self, parts: impl Iterator<Item = PartIx>) -> Seats {
        let mut shards: Vec<usize> = parts.map(|p| self.ledger.part(p).shard).collect();
        shards.sort();
        shards.dedup();
        let mut seats = vec![None; self.ledger.replicas.len()];
        for ix in shards.into_iter().flat_map(|shard| self.holders(shard)) {
            if seats[ix.0].is_none() {
                seats[ix.0] = Some(self.seat(ix));
            }
        }
        Seats(seats)
    }

    // ---- health ----

    fn silent(&self, r: &Replica, back: Nanos, patience: Nanos) -> bool {
        let since = self.now() - patience;
        r.last_done_at < since && r.held.iter().any(|h| h.ended.is_none() && h.sent >= back && h.sent < since)
    }

    /// A refusal for want of room tells of a queue, not a fault; an error beside answers tells of a grade.
    /// One called off after our patience counts, against replicas that answer some parts and lose others.
    fn failing(r: &Replica, back: Nanos, on_trial: bool, patience: Nanos) -> bool {
        let told = |s: &Sample| {
            (s.ending != Ending::CalledOff || s.took >= patience)
                && (s.ending != Ending::Faulty || r.last_done_at < s.at - patience)
        };
        let since =
            r.samples.iter().rev().take_while(|s| s.at >= back).filter(|s| s.at - s.took >= back && told(s));
        let last: Vec<Ending> =
            since.filter(|s| s.ending != Ending::Full).take(LOSING_OF).map(|s| s.ending).collect();
        let in_a_row = last.iter().take_while(|&&e| e != Ending::Done && e != Ending::CalledOff).count();
        let lost = last.iter().filter(|&&e| e != Ending::Done).count();
        let enough = if on_trial { 1 } else { FAILURES };
        in_a_row >= enough
            || lost >= LOSING
            || on_trial && lost > 0
            || last.first() == Some(&Ending::Unreached)
    }

    /// Against replicas that answer one grade with errors, fast, and serve the others: the last word on that
    /// grade is believed for a while, and only those parts go elsewhere.
    fn errs(&self, ix: ReplicaIx, grade: usize) -> bool {
        let since = self.now() - scaled(self.shortest_soft_limit(), PACE_SPAN);
        let told = |s: &Sample| s.grade == grade && matches!(s.ending, Ending::Done | Ending::Faulty);
        let (r, last) =
            (&self.ledger.replicas[ix.0], self.ledger.replicas[ix.0].samples.iter().rev().find(told));
        // What other fronts found counts where this one has no word of its own lately.
        let shunned = r.shunned >> grade.min(63) & 1 == 1 && last.is_none_or(|s| s.at <= since);
        last.is_some_and(|s| s.ending == Ending::Faulty && s.at > since) || shunned
    }

    fn lagging(r: &Replica, back: Nanos, usual: Option<Nanos>) -> bool {
        let done = |s: &Sample| s.ending == Ending::Done && s.at >= back;
        let took: Vec<Nanos> =
            r.samples.iter().rev().filter(done).take(LAGGARD_SAMPLES).map(|s| s.took).collect();
        took.len() == LAGGARD_SAMPLES && usual.is_some_and(|u| percentile(took, 0.5) > scaled(u, LAGGARD))
    }

    fn amiss(&self, ix: ReplicaIx, usual: Option<Nanos>) -> Option<SetAside> {
        let (r, back, patience) =
            (&self.ledger.replicas[ix.0], self.opinions[ix.0].back, self.usual.patience);
        if self.silent(r, back, patience) {
            Some(SetAside::Silent)
        } else if Self::failing(r, back, self.on_trial(ix), patience) {
            Some(SetAside::Failing)
        } else {
            Self::lagging(r, back, usual).then_some(SetAside::Lagging)
        }
    }

    /// Sets aside a replica that is silent, fails or lags, whatever the cause, probes it, and lets it back by
    /// degrees: a probe may prove no more than that a process runs, so the first parts come one at a time.
    fn judge_replicas(&mut self, w: &mut dyn Writer) {
        let (now, patience) = (self.now(), self.usual.patience);
        let pace = scaled(self.shortest_soft_limit(), PROBE_PACE);
        let usual = self.usual.half;
        let most = scaled(self.shortest_soft_limit(), FULL_AFTER);
        // Only those that are set aside, or held something of ours since the last round, can have changed.
        let aside = |ix: &usize| self.opinions[*ix].aside.is_some();
        let mut watched: Vec<usize> = (0..self.opinions.len()).filter(aside).collect();
        watched.extend(self.ledger.busy.iter().map(|ix| ix.0).filter(|ix| !aside(ix)));
        for ix in watched {
            let Opinion { aside, back, relapses, probe_due } = self.opinions[ix];
            let r = &self.ledger.replicas[ix];
            if !r.serving {
                continue;
            }
            let wait = self.reported_wait(r);
            if let Some(since) = aside {
                let needed = (PROBES_BACK << (relapses - 1).min(8)).min(PROBES_BACK_MOST);
                let answered = r.probes_answered.iter().filter(|&sent| sent >= since).count();
                if answered >= needed && wait <= most
                    || !self.orders.may_probe && now > since + pace * needed as Nanos
                {
                    self.ledger.note(|| What::Back(ReplicaIx(ix)));
                    self.opinions[ix].aside = None;
                    self.opinions[ix].back = now;
                    self.ledger.replicas[ix].doubted = false;
                } else if now >= probe_due {
                    self.ask(ReplicaIx(ix), pace.max(wait / 2), w);
                }
            } else if let Some(why) = self.amiss(ReplicaIx(ix), usual) {
                self.ledger.note(|| What::Aside(ReplicaIx(ix), why));
                self.opinions[ix].aside = Some(now);
                self.opinions[ix].relapses = relapses + 1;
            } else if relapses > 0 && self.answered_since(r, back) >= LAGGARD_SAMPLES {
                self.opinions[ix].relapses = 0;
            } else if self.orders.queues_told && now >= probe_due {
                // A late answer or a refusal may be chance, or a queue that the replica can tell of.
                let last = r.samples.iter().last().filter(|s| s.at == now);
                let queues = |s: Sample| s.ending == Ending::Full || s.took >= patience;
                if wait > most || last.is_some_and(queues) {
                    self.ask(ReplicaIx(ix), pace.max(wait / 2), w);
                }
            }
        }
    }

    fn ask(&mut self, ix: ReplicaIx, pace: Nanos, w: &mut dyn Writer) {
        if self.orders.may_probe && self.ledger.replicas[ix.0].probe_sent.is_none() {
            self.ledger.probed(ix);
            self.opinions[ix.0].probe_due = self.now() + pace;
            w.probe(ix);
        }
    }

    fn answered_since(&self, r: &Replica, back: Nanos) -> usize {
        r.samples.iter().rev().take_while(|s| s.at >= back).filter(|s| s.ending == Ending::Done).count()
    }

    /// Room left for a replica that is back but has not answered enough parts yet.
    fn on_trial(&self, ix: ReplicaIx) -> bool {
        let (r, o) = (&self.ledger.replicas[ix.0], &self.opinions[ix.0]);
        o.back > Nanos::MIN && self.answered_since(r, o.back) < TRIAL_PARTS
    }

    fn sound(&self, ix: ReplicaIx) -> bool {
        let o = &self.opinions[ix.0];
        let tried = || self.ledger.replicas[ix.0].held.iter().any(|h| h.sent >= o.back);
        o.aside.is_none() && !(self.on_trial(ix) && tried())
    }

    /// How long a part alone takes at the usual pace, at most.
    fn alone(&self) -> Nanos {
        self.usual.half.unwrap_or(scaled(self.shortest_soft_limit(), FIRST_DELAY)).max(1)
    }

    /// Since when a server is taken to run. Against servers that die and return cold before the list tells,
    /// or without a word: one that refused a connection has not run before that, until it has answered some
    /// parts. A refusal comes at once; what took longer may be a slow connection. Harm: a server that refuses
    /// for another reason gets a cold one's share.
    fn started(&self, r: &Replica) -> Option<Nanos> {
        let refused = |&(at, took): &(Nanos, Nanos)| {
            took < scaled(self.alone(), AT_ONCE) && self.answered_since(r, at) < TRIAL_PARTS
        };
        r.started.max(r.unreached.filter(refused).map(|(at, _)| at))
    }

    /// Share of its capacity that a server can be counted on for, by the time since its start.
    fn warmth(&self, r: &Replica) -> f64 {
        let thaw = &self.orders.thaw;
        let Some(started) = self.started(r) else { return 1.0 };
        let age = (self.now() - started).max(0) as f64 / thaw.lasts.max(1) as f64;
        if age >= 1.0 { 1.0 } else { thaw.share + (1.0 - thaw.share) * age }
    }

    /// Against pushing a cold server over: within the rule's window we send it no more than the rule's
    /// multiple of what warm replicas have done for us in that time, scaled by its warmth. As all fronts'
    /// done parts are within a server's capacity, fronts that all do this keep the rule without talking.
    /// What it has itself done counts as well, or a fleet restarted at once would stay at its floor. That
    /// is what a budget shared by the fleet leaves this front, else one part a window at most: one from
    /// each of hundreds buries a cold server, so no more than a server that does one part at a time could
    /// take from each of them. Where that is under one, parts keep as far apart as it asks, and the first
    /// of each front comes at a phase of its own, lest all that waited for the server rush it in its first
    /// window. While nothing waits for it here, what comes does so at about the pace that the budget is a
    /// multiple of, and that share of it is let in. Harm: where fronts are many, and parts wait for it in a
    /// few of them, it warms up half idle.
    fn has_room(&self, ix: ReplicaIx) -> bool {
        let r = &self.ledger.replicas[ix.0];
        let warmth = self.warmth(r);
        if warmth >= 1.0 {
            return true;
        }
        let (now, thaw) = (self.now(), &self.orders.thaw);
        let span = thaw.lasts / 4;
        let warm = self.ledger.replicas.iter().filter(|o| o.serving && self.warmth(o) >= 1.0);
        let done: Vec<usize> = warm.map(|o| self.answered_since(o, now - span)).collect();
        let borne = warmth * done.iter().sum::<usize>() as f64 / done.len().max(1) as f64;
        let own = self.answered_since(r, (now - span).max(self.started(r).unwrap_or(now))) as f64;
        let a_window = borne.max(own) * thaw.window as f64 / span.max(1) as f64;
        let able = warmth * thaw.window as f64 / (self.alone() * self.orders.fronts as Nanos) as f64;
        let floor = r.floor.unwrap_or((thaw.multiple * able * COLD_CAUTION).min(1.0));
        let room = (thaw.multiple * a_window * COLD_CAUTION).max(floor);
        let started = self.started(r).unwrap_or(now);
        let sent = |since| r.launched_at.iter().rev().take_while(|&at| at >= since).count();
        if room < 1.0 {
            let apart = scaled(thaw.window, 1.0 / room.max(ROUNDING));
            let turn = now - started >= scaled(apart, self.phase) && sent((now - apart).max(started)) == 0;
            let drawn = self.phase + ix.0 as f64 * SPREAD + self.ledger.call() as f64 * SPREAD * SPREAD;
            let usual = drawn.fract() < thaw.multiple * warmth * COLD_CAUTION && !self.rushed(ix);
            return r.floor.is_none() && (turn || usual && sent((now - thaw.window).max(started)) == 0);
        }
        ((sent((now - thaw.window).max(started)) + 1) as f64) <= room
    }

    /// Whether a part that waits here, and did not just come, could go to the replica.
    fn rushed(&self, ix: ReplicaIx) -> bool {
        let waits =
            |p: &Part| p.out().next().is_none() && self.ledger.retrieval(p.retrieval).taken < self.now();
        self.ledger.wanted().any(|(_, p)| waits(p) && self.holders(p.shard).any(|h| h == ix))
    }

    /// How long what waits at a replica will take, as it said when last probed. Against servers whose queues
    /// are all overdue: fed as before they never catch up, while fronts hold little there and see no pace.
    fn reported_wait(&self, r: &Replica) -> Nanos {
        let span = scaled(self.shortest_soft_limit(), PACE_SPAN);
        let wait =
            r.report.map(|(at, waiting, rate)| (at, (waiting / rate.max(SLOWEST_RATE) * 1e9) as Nanos));
        wait.filter(|&(at, wait)| self.now() - at < wait.max(span)).map_or(0, |(_, wait)| wait)
    }

    /// How long the replica will take for what it holds of ours: at the pace of its answers, which comes to a
    /// share of the soft limit only once answers take that long (Little's law); but a pace is also slow where
    /// we send little, so down to a third of that where its last answers, and its oldest part, took less.
    fn backlog(&self, ix: ReplicaIx) -> Nanos {
        let (r, span) = (&self.ledger.replicas[ix.0], scaled(self.shortest_soft_limit(), PACE_SPAN));
        let since = self.now() - span;
        let known_since = since.min(self.now() - self.usual.turn);
        // A refusal for want of room says of the queue what no pace of ours can.
        if r.samples.iter().last().is_some_and(|s| s.ending == Ending::Full && s.at >= known_since) {
            return span;
        }
        let patience = self.usual.patience;
        let held = r.held.iter().filter(|h| h.ended.is_none_or(|(_, at)| self.now() < at + patience)).count();
        let oldest =
            r.held.iter().filter(|h| h.ended.is_none()).map(|h| self.now() - h.sent).max().unwrap_or(0);
        let recent = r
            .samples
            .iter()
            .rev()
            .take_while(|s| s.at >= known_since)
            .filter(|s| s.ending == Ending::Done)
            .take(RECENT)
            .map(|s| s.took);
        let took: Vec<Nanos> = recent.collect();
        let lately = if took.is_empty() { oldest } else { oldest.max(percentile(took, 0.5)) };
        let answered = self.answered_since(r, since);
        let paced = span / answered.max(1) as Nanos * held as Nanos;
        // With so few parts there is no pace, and what the last ones took is all that is known: where
        // replicas tell of their queues it is taken for one and they are asked; else it may be the link, and
        // must be past patience.
        match answered + held < PACE_PARTS {
            false => paced.min(scaled(lately, LATELY).max(paced / 3)),
            true if !self.orders.queues_told && lately < patience => 0,
            true => lately.max(self.reported_wait(r)),
        }
    }

    // ---- launching ----

    fn holders(&self, shard: usize) -> impl Iterator<Item = ReplicaIx> {
        let cells = self.orders.cells.max(1);
        (0..self.orders.reach.min(cells)).flat_map(move |j| self.ledger.in_cell((shard + j) % cells))
    }

    /// Replicas that may get a launch of the part: sound ones, not tried yet if there are such. Where all
    /// look bad, the evidence or the view is bad, and all are tried. One that was tried is tried again only
    /// when that launch counts no more, lest a part burn its launches on full replicas.
    fn choices(&self, id: PartIx, seats: &Seats) -> Vec<ReplicaIx> {
        let part = self.ledger.part(id);
        let mut all: Vec<ReplicaIx> = self.holders(part.shard).collect();
        let tried = |ix: ReplicaIx| part.launches.iter().any(|l| l.replica == ix);
        all.retain(|&ix| part.out().all(|(_, l)| l.replica != ix));
        // Where all look bad one is tried none the less, but not one that only an old list says is there.
        let doubted = |ix: ReplicaIx| self.ledger.replicas[ix.0].doubted;
        all.retain(|&ix| self.passes(id, ix, doubted(ix).then_some(PassedOver::Doubted)));
        let grade = self.ledger.retrieval(part.retrieval).grade;
        self.prefer(id, &mut all, |ix| match (seats[ix].sound, self.opinions[ix.0].aside) {
            (true, _) => self.errs(ix, grade).then_some(PassedOver::Errs),
            (false, None) => Some(PassedOver::Trial),
            (false, Some(_)) => Some(PassedOver::Aside),
        });
        // Where all look bad a queue that a replica told of is the one thing sure.
        let most = scaled(self.shortest_soft_limit(), FULL_AFTER);
        let queues = |ix: ReplicaIx| self.reported_wait(&self.ledger.replicas[ix.0]) > most;
        self.prefer(id, &mut all, |ix| queues(ix).then_some(PassedOver::Queue));
        self.prefer(id, &mut all, |ix| tried(ix).then_some(PassedOver::Tried));
        let counts = |ix: ReplicaIx| self.ledger.replicas[ix.0].held.iter().any(|h| h.part == id);
        all.retain(|&ix| self.passes(id, ix, (tried(ix) && counts(ix)).then_some(PassedOver::Counts)));
        all
    }

    /// Keeps those against which nothing is said, where there are any.
    fn prefer(
        &self,
        id: PartIx,
        replicas: &mut Vec<ReplicaIx>,
        against: impl Fn(ReplicaIx) -> Option<PassedOver>,
    ) {
        if replicas.iter().any(|&ix| against(ix).is_none()) {
            replicas.retain(|&ix| self.passes(id, ix, against(ix)));
        }
    }

    fn passes(&self, id: PartIx, ix: ReplicaIx, against: Option<PassedOver>) -> bool {
        against.into_iter().for_each(|why| self.ledger.note(|| What::Over(id, ix, why)));
        against.is_none()
    }

    /// Until when the grade lets the part be sent once more: for good where no launch of it may have run.
    fn sent_until(&self, part: &Part) -> Nanos {
        let may_have_run = |l: &&Launch| !l.end.is_some_and(Ending::never_ran);
        let first = part.launches.iter().find(may_have_run).map(|l| l.sent);
        match (self.orders.grades[self.ledger.retrieval(part.retrieval).grade].effect, first) {
            (_, None) | (Effect::Pure, _) => Nanos::MAX,
            (Effect::Receipted(window), Some(sent)) => sent + window - self.orders.beat,
            (Effect::Effectful, Some(_)) => Nanos::MIN,
        }
    }

    /// Whether the rules and the grade allow a launch beyond the part's first.
    fn may_repeat(&self, part: &Part) -> bool {
        self.now() < self.sent_until(part) && part.launches.len() < self.orders.launches_cap
    }

    /// The rules' ration of this front alone, and what the fleet leaves it where front nodes share one:
    /// each within its own, hundreds ask a failing server again hundreds of times as often as one does.
    fn within_ration(&self) -> bool {
        let left = self.ledger.fleet_further != Some(0);
        left && self.orders.ration.is_none_or(|ration| {
            let within = |at: &&Nanos| **at > self.now() - ration.span;
            let further = self.ledger.further.iter().rev().take_while(within).count() + 1;
            let taken = self.ledger.taken.iter().rev().take_while(within).count();
            further as f64 <= ration.free + ration.share * taken as f64
        })
    }

    /// A further launch without waiting for an ending, the departure from the endgame's conditions: only
    /// while the one replica that has the part is set aside, and the part is out longer than usual. One that
    /// only lags still answers, so its fresh parts stay single: twins would double the load that made it lag.
    fn stranded(&self, part: &Part, usual: Nanos) -> bool {
        part.out().count() == 1 && part.out().all(|(_, l)| self.overdue(l, usual)) && self.orders.may_copy
    }

    fn overdue(&self, l: &Launch, usual: Nanos) -> bool {
        self.opinions[l.replica.0].aside.is_some() && self.now() - l.sent >= usual
    }

    /// Against machines silent together: where both replicas with a part are set aside and mute, the older
    /// launch is called off for a sound holder that can be in time. One that only lags has it ready soon.
    fn gives_way(&self, part: &Part) -> bool {
        let usual = self.usual.longest.unwrap_or(0);
        let left = self.soft_end(self.ledger.retrieval(part.retrieval)) - self.now() - usual;
        let mute = |l: &Launch| !l.withdrawn && self.ledger.replicas[l.replica.0].last_done_at < l.sent;
        let tried = |ix: ReplicaIx| part.launches.iter().any(|l| l.replica == ix);
        part.out().count() == 2
            && part.out().all(|(_, l)| mute(l) && self.overdue(l, usual))
            && self.may_repeat(part)
            && self.holders(part.shard).any(|ix| self.sound(ix) && !tried(ix) && self.backlog(ix) <= left)
    }

    /// Against queues that outlast the soft limit, where every answer comes late and retries keep it so: a
    /// retrieval is let in when its parts, or the least that may be answered from, find replicas that would
    /// answer in time; until then it waits here, at no cost, as does any part left over. The newest is let in
    /// first, as it has most of its time left, and those that earn little come last.
    fn place(&mut self, w: &mut dyn Writer) {
        let most = scaled(self.shortest_soft_limit(), FULL_AFTER);
        let usual = self.usual.longest.unwrap_or(0);
        let idle = |(_, p): &(PartIx, &Part)| p.out().next().is_none() || self.stranded(p, usual);
        let mut seats = self.seats(self.ledger.wanted().filter(idle).map(|(ix, _)| ix));
        let wary = self.servers_break();
        let mut waiting: Vec<PartIx> = Vec::new();
        for (_, r) in self.ledger.open() {
            let begun = r.parts.iter().any(|&p| self.begun(p));
            let ahead = !begun || wary && self.scouting(r);
            let waits = |ix: &PartIx| {
                let p = self.ledger.part(*ix);
                match (p.launches.is_empty(), p.out().next().is_none()) {
                    (true, _) => !ahead && self.finds_room(*ix, most, &seats),
                    (_, true) => self.may_repeat(p),
                    _ => self.may_repeat(p) && self.stranded(p, usual),
                }
            };
            waiting.extend(r.parts.iter().copied().filter(|&p| self.unanswered(p)).filter(waits));
        }
        self.place_together(&waiting, &mut seats, w);
        let key = |(ix, r): (RetrievalIx, &Retrieval)| (self.earns_little(r), Reverse(ix));
        let mut open: Vec<(bool, Reverse<RetrievalIx>)> = self.ledger.open().map(key).collect();
        open.sort();
        for (_, Reverse(ix)) in open {
            let r = self.ledger.retrieval(ix);
            if r.parts.iter().any(|&p| self.begun(p)) {
                continue;
            }
            let share = if self.earns_little(r) { LESSER_ROOM } else { 1.0 };
            // What is let in has to come through the steps that follow as well.
            let steps = 1 + i64::from(self.orders.grades[r.grade].second_step > 0);
            let most = scaled(most.min(scaled(self.soft_end(r) - self.now(), FULL_AFTER) / steps), share);
            let mut parts: Vec<PartIx> =
                r.parts.iter().copied().filter(|&p| self.finds_room(p, most, &seats)).collect();
            let weight: f64 = parts.iter().map(|&p| self.ledger.part(p).weight).sum();
            let grade = &self.orders.grades[r.grade];
            if weight + ROUNDING >= grade.whole.min((grade.floor + 1.0) / 2.0) {
                parts.truncate(if wary { 1 } else { parts.len() });
                self.place_together(&parts, &mut seats, w);
            } else {
                let full = r.parts.iter().filter(|p| !parts.contains(p));
                let least =
                    full.flat_map(|&p| self.holders(self.ledger.part(p).shard)).map(|ix| seats[ix].backlog);
                self.ledger.note(|| What::Waits(ix, parts.len(), least.min().unwrap_or(0)));
            }
        }
    }

    /// Against retrievals that bring down every server that begins a part of them: while connections break at
    /// several replicas, whatever the cause, each retrieval sends one part ahead, and the others when that
    /// one is done, or has been out past our patience. Harm: then a retrieval takes one part's time longer.
    fn servers_break(&self) -> bool {
        let since = self.now() - self.copy_window();
        let broke = self.ledger.broken.iter().filter(|b| b.0 > since).map(|b| b.1);
        broke.collect::<BTreeSet<_>>().len() >= BREAKING
    }

    fn scouting(&self, r: &Retrieval) -> bool {
        let parts = || r.parts.iter().map(|&p| self.ledger.part(p));
        let since = self.now() - self.usual.patience;
        !parts().any(|p| p.done) && parts().flat_map(|p| &p.launches).all(|l| l.sent > since)
    }

    /// Nothing of it was ever done, and its launches broke off at different replicas: the next one may be
    /// taken down too, and the client asks again as it is.
    fn kills(&self, r: &Retrieval) -> bool {
        let parts = || r.parts.iter().map(|&p| self.ledger.part(p));
        let broke = parts().flat_map(|p| &p.launches).filter(|l| l.end == Some(Ending::Broken));
        broke.map(|l| l.replica).collect::<BTreeSet<_>>().len() >= KILLED && !parts().any(|p| p.done)
    }

    /// One asked again, as its time began with an earlier try, or one of a tenant that takes here alone more
    /// than its share of all fronts, or than the fleet leaves this one where fronts share it.
    fn earns_little(&self, r: &Retrieval) -> bool {
        let window = self.copy_window();
        let beyond = |share: &f64| {
            let since = self.now() - window;
            let of_tenant =
                self.ledger.asked.iter().filter(|&&(at, tenant)| tenant == r.tenant && at > since);
            of_tenant.count() as f64 > share * window as f64 / 1e9
        };
        let shared = self.ledger.fleet_shares.get(r.tenant);
        r.again || shared.or(self.orders.shares.get(r.tenant)).is_some_and(beyond)
    }

    fn begun(&self, part: PartIx) -> bool {
        !self.ledger.part(part).launches.is_empty()
    }

    fn finds_room(&self, part: PartIx, most: Nanos, seats: &Seats) -> bool {
        let against = |ix: ReplicaIx| match (seats[ix].open, seats[ix].backlog <= most) {
            (true, true) => None,
            (false, _) => Some(PassedOver::Cold),
            (_, false) => Some(PassedOver::Backlog),
        };
        self.choices(part, seats).iter().any(|&ix| self.passes(part, ix, against(ix)))
    }

    /// The ordinary path: each part goes to its shard's replica with fewest of our calls in flight. Ties
    /// break at random, but a replica where more of these parts share one call comes first, as calls cost
    /// work; not one with a backlog, or a shard's last holder would draw its neighbours' parts as well.
    fn place_together(&mut self, parts: &[PartIx], seats: &mut Seats, w: &mut dyn Writer) {
        let eased = scaled(self.shortest_soft_limit(), FULL_AFTER * EASED);
        let choices = |&p: &PartIx| (p, self.choices(p, seats));
        let mut waiting: VecDeque<(PartIx, Vec<ReplicaIx>)> = parts.iter().map(choices).collect();
        while let Some((part, choices)) = waiting.pop_front() {
            let mut fewest = choices.clone();
            fewest.retain(|&ix| is_fewest(ix, &choices, seats));
            if fewest.is_empty() || self.begun(part) && !self.within_ration() {
                let why = if fewest.is_empty() { Held::NoHolder } else { Held::Ration };
                self.ledger.note(|| What::Held(part, why));
                continue;
            }
            let gathers = |ix: ReplicaIx| {
                let others = waiting.iter().filter(|(_, c)| c.contains(&ix) && is_fewest(ix, c, seats));
                (seats[ix].backlog <= eased, seats[ix].joins, others.take(self.orders.call_parts - 1).count())
            };
            let most = fewest.iter().map(|&ix| gathers(ix)).max();
            let tied: Vec<ReplicaIx> =
                fewest.iter().copied().filter(|&ix| Some(gathers(ix)) == most).collect();
            if let Some(replica) = self.any_of(&tied) {
                let p = self.ledger.part(part);
                let again = if p.out().next().is_some() { Launched::Stranded } else { Launched::Again };
                let why = if p.launches.is_empty() { Launched::First } else { again };
                self.launch(part, replica, why, w);
                seats.0[replica.0] = Some(self.seat(replica));
            }
        }
    }

    fn any_of(&mut self, replicas: &[ReplicaIx]) -> Option<ReplicaIx> {
        (!replicas.is_empty()).then(|| replicas[self.chance.random_range(0..replicas.len())])
    }

    fn launch(&mut self, part: PartIx, replica: ReplicaIx, why: Launched, w: &mut dyn Writer) {
        self.ledger.note(|| What::Launch(part, replica, why));
        let retrieval = self.ledger.retrieval(self.ledger.part(part).retrieval);
        let limit = (self.end_of_use(retrieval) - self.now()).max(self.orders.beat);
        // It may wait for a connection past the window in which it may follow another.
        let leave = self.sent_until(self.ledger.part(part)).saturating_sub(self.now()).min(limit);
        self.ledger.launched(part, replica, why == Launched::Copy);
        w.launch(part, replica, limit, leave);
    }

    /// Near a retrieval's end idle replicas get a copy of a pending part, oldest first, after the delay.
    fn endgame(&mut self, w: &mut dyn Writer) {
        let (mut pending, usual): (Vec<(Nanos, PartIx)>, _) = (Vec::new(), self.usual.delay);
        for (_, r) in self.ledger.open() {
            let unanswered: Vec<PartIx> = r.parts.iter().copied().filter(|&p| self.unanswered(p)).collect();
            let soft = self.orders.grades[r.grade].soft_limit;
            let due = self.now() - usual.unwrap_or(scaled(soft, FIRST_DELAY));
            let alone = |p: &PartIx| {
                let mut out = self.ledger.part(*p).out();
                out.next().filter(|(_, l)| l.sent <= due && out.next().is_none()).map(|(_, l)| (l.sent, *p))
            };
            let late: Vec<(Nanos, PartIx)> = unanswered.iter().filter_map(alone).collect();
            if !late.is_empty() && self.few_left(&unanswered) {
                pending.extend(late);
            }
        }
        pending.sort();
        let mut seats = self.seats(pending.iter().map(|&(_, part)| part));
        for (_, part) in pending {
            let p = self.ledger.part(part);
            if !self.orders.may_copy || !self.copies_left() || !self.may_repeat(p) || !self.within_ration() {
                continue;
            }
            let mut idle = self.choices(part, &seats);
            idle.retain(|&ix| seats[ix].sound && seats[ix].open && seats[ix].calls == 0);
            if let Some(replica) = self.any_of(&idle) {
                self.launch(part, replica, Launched::Copy, w);
                seats.0[replica.0] = Some(self.seat(replica));
            }
        }
    }

    fn unanswered(&self, part: PartIx) -> bool {
        let p = self.ledger.part(part);
        !p.done && !p.closed
    }

    fn few_left(&self, unanswered: &[PartIx]) -> bool {
        let mut holders: Vec<ReplicaIx> =
            unanswered.iter().flat_map(|&p| self.holders(self.ledger.part(p).shard)).collect();
        holders.sort();
        holders.dedup();
        unanswered.len() < holders.len()
    }

    fn copies_left(&self) -> bool {
        let within = |at: &&Nanos| **at > self.now() - self.copy_window();
        let copies = self.ledger.copies.iter().rev().take_while(within).count();
        let parts = self.ledger.parts_taken.iter().rev().take_while(within).count();
        ((copies + 1) as f64) < COPY_SHARE * parts as f64
    }

    /// When one twin has answered, or its retrieval is over, the launches still out are cancelled.
    fn retract_losers(&mut self, w: &mut dyn Writer) {
        if !self.orders.may_retract {
            return;
        }
        let mut loose: Vec<(PartIx, usize)> = self.ledger.loose().collect();
        let lost = self.ledger.wanted().filter(|(_, p)| self.gives_way(p));
        loose.extend(lost.flat_map(|(ix, p)| p.out().take(1).map(move |(n, _)| (ix, n))));
        for (part, launch) in loose {
            self.ledger.withdrawn(part, launch);
            w.retract(part, launch);
        }
    }

    // ---- final answers ----

    fn finish(&mut self, w: &mut dyn Writer) {
        let open: Vec<RetrievalIx> = self.ledger.open().map(|(ix, _)| ix).collect();
        let usual = self.usual.longest.unwrap_or(0);
        for ix in open {
            self.finish_one(ix, usual, w);
        }
    }

    fn finish_one(&mut self, ix: RetrievalIx, usual: Nanos, w: &mut dyn Writer) {
        let r = self.ledger.retrieval(ix);
        let grade = &self.orders.grades[r.grade];
        let (now, second) = (self.now(), r.step > 0);
        // A client that wants all of it or nothing has a floor of its own, which never lowers its grade's.
        let (whole, floor) = (grade.whole.max(r.floor), grade.floor.max(r.floor));
        let whole = if second { 1.0 } else { whole };
        let (mut in_hand, mut lost) = (0.0, 0.0);
        for part in r.parts.iter().map(|&p| self.ledger.part(p)).filter(|p| p.step == r.step) {
            if part.done {
                in_hand += part.weight;
            } else if self.hopeless(part) {
                lost += part.weight;
            }
        }
        let (in_hand, within_reach) = (in_hand + ROUNDING, 1.0 - lost + ROUNDING);
        let may_be_short = floor < grade.whole && in_hand >= floor;
        let short_earns = grade.short_earnings * in_hand / grade.whole;
        let soft_over = now >= self.soft_end(r) - MARGIN_ROUNDS * self.orders.beat;
        let ended = now >= self.end_of_use(r);
        if in_hand >= whole {
            self.answer(ix, true, w);
        } else if may_be_short
            && (ended || soft_over && short_earns > grade.late_earnings || within_reach < whole)
        {
            self.answer(ix, false, w);
        } else if ended {
            self.end(ix, Refused::TimeUp, w);
        } else if within_reach < floor.min(whole) {
            self.end(ix, Refused::Lost, w);
        } else if self.crowded_out(r, usual) {
            self.end(ix, Refused::CrowdedOut, w);
        } else if self.kills(r) {
            self.end(ix, Refused::Kills, w);
        }
    }

    /// It was not let in, and an ordinary answer would now come after the soft limit, or after its client has
    /// gone. Half of its time it may wait whatever the usual times say: after a jam they are old.
    fn crowded_out(&self, r: &Retrieval, usual: Nanos) -> bool {
        let end = self.soft_end(r).min(r.valid_until);
        self.now() >= end - usual.min((end - r.taken) / 2) && !r.parts.iter().any(|&p| self.begun(p))
    }

    /// No launch of the part is out and none may follow.
    fn hopeless(&self, part: &Part) -> bool {
        part.closed || !part.launches.is_empty() && part.out().next().is_none() && !self.may_repeat(part)
    }

    fn answer(&mut self, ix: RetrievalIx, whole: bool, w: &mut dyn Writer) {
        self.ledger.note(|| What::Answered(ix, whole));
        let r = self.ledger.retrieval(ix);
        if self.orders.grades[r.grade].second_step > 0 && r.step == 0 {
            self.ledger.next_step(ix);
        } else {
            self.ledger.close(ix);
        }
        w.answer(ix, whole);
    }

    /// A dismissal promises that trying again is harmless; where a part of more than a pure grade may have
    /// run, it is a give-up instead.
    fn end(&mut self, ix: RetrievalIx, why: Refused, w: &mut dyn Writer) {
        let r = self.ledger.retrieval(ix);
        let launches = r.parts.iter().flat_map(|&p| &self.ledger.part(p).launches);
        let never_ran = launches.clone().all(|l| l.end.is_some_and(Ending::never_ran));
        let harmless = self.orders.grades[r.grade].effect == Effect::Pure || never_ran;
        self.ledger.note(|| What::Ended(ix, why, harmless));
        self.ledger.close(ix);
        if harmless { w.dismiss(ix, self.orders.stay_away) } else { w.give_up(ix) }
    }

    // ---- waking ----

    fn set_alarm(&mut self, w: &mut dyn Writer) {
        let now = self.now();
        let watched = self.opinions.iter().any(|o| o.aside.is_some()) || self.roster_ask.is_some();
        if self.wake <= now && (watched || self.ledger.open().next().is_some()) {
            self.wake = now + WAKE_ROUNDS * self.orders.beat;
            w.wake(self.wake);
        }
    }
}

fn scaled(time: Nanos, by: f64) -> Nanos {
    (time as f64 * by) as Nanos
}

fn percentile(mut took: Vec<Nanos>, share: f64) -> Nanos {
    let at = ((took.len() as f64 * share) as usize).min(took.len() - 1);
    *took.select_nth_unstable(at).1
}

/// Whether it has fewest calls in flight, counting the part to be sent, among those that are open.
fn is_fewest(ix: ReplicaIx, choices: &[ReplicaIx], seats: &Seats) -> bool {
    let rivals = choices.iter().copied().filter(|&ix| seats[ix].open);
    seats[ix].open && rivals.map(|ix| seats[ix].after).all(|after| seats[ix].after <= after)
}
