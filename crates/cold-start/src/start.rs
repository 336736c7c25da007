//! Which list a starting node adopts. Lists are offered as the host finds them: the one in its configuration, the one
//! on its disk, one that a peer has, and at last discovery's own. The one seen last is adopted, with its doubt; an
//! offer that is no better is refused, so that a peer's older list never undoes what is known. Discovery's answer ends
//! the start.
//!
//! Where nothing answers, the node serves from what it has: a list too old to be adopted at once is taken up once
//! `discovery_timeout` is over, with the most doubt, rather than none.

use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::fetch_schedule::FetchSchedule;
use crate::trust::{MAX_UNVERIFIED_STEPS, is_too_old, unverified_steps};
use crate::{Nanos, StartSettings};

/// Where a list is from, the least trusted first where two were seen at the same moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// Named in the configuration.
    Configured,
    /// Remembered on disk.
    Disk,
    /// Told by another front node.
    Peer,
    /// Discovery's own answer.
    Discovery,
}

/// A list that the host has: its contents stay with the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Where it is from.
    pub source: Source,
    /// Discovery's number of it.
    pub revision: i64,
    /// When discovery told it, in this node's time.
    pub seen: Nanos,
    /// Servers that it names.
    pub members: usize,
    /// Whether its revision is one of the discovery that this node asks.
    pub comparable: bool,
}

/// What came in since the last round.
#[derive(Default)]
pub struct Inbox {
    offers: Vec<Offer>,
    fetch_failed: bool,
    discovery_changed: bool,
    starts: Option<u32>,
    fleet: Option<FleetSize>,
}

/// The front nodes as the host knows them.
#[derive(Clone, Copy)]
struct FleetSize {
    /// Front nodes counted, this one among them.
    counted: usize,
    /// Peers alive that can be asked.
    alive: usize,
}

impl Inbox {
    /// A list that the host has.
    pub fn offer(&mut self, offer: Offer) {
        self.offers.push(offer);
    }

    /// Discovery did not answer, or its watch broke off.
    pub fn fetch_failed(&mut self) {
        self.fetch_failed = true;
    }

    /// Another discovery is to be asked from now on.
    pub fn discovery_changed(&mut self) {
        self.discovery_changed = true;
    }

    /// Starts of this node lately, before this one.
    pub fn starts(&mut self, before: u32) {
        self.starts = Some(before);
    }

    /// Front nodes counted, this one among them, and peers alive that can be asked.
    pub fn fleet(&mut self, counted: usize, alive: usize) {
        self.fleet = Some(FleetSize { counted, alive });
    }
}

/// Where the decisions go.
pub trait ActionSink {
    /// That list is adopted from now on; the servers that it names and that discovery has not vouched for are doubted
    /// by so many steps.
    fn adopt(&mut self, offer: &Offer, unverified_steps: u32);
    /// Asks peers for a list newer than that revision and time; the inner `None`: for any list; the outer: no longer.
    fn request_from_peers(&mut self, wanted: Option<Option<(i64, Nanos)>>);
    /// Discovery is asked now: for the whole list, or for what changed since the revision of the one adopted.
    fn fetch(&mut self, full_list: bool);
    /// Nothing has answered within the discovery timeout: the node serves from what it has. Called once.
    fn discovery_timed_out(&mut self);
}

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartCounts {
    /// Lists adopted.
    pub adopted: u64,
    /// Offers that were no better than what is known.
    pub refused: u64,
    /// Fetches from discovery that were started.
    pub fetches: u64,
    /// Fetches that failed.
    pub misses: u64,
}

/// The start of one node.
pub struct Start {
    settings: StartSettings,
    rng: Pcg64,
    fetch_schedule: FetchSchedule,
    began: Nanos,
    starts: u32,
    nodes: usize,
    peers: usize,
    adopted: Option<Offer>,
    /// Too old to be adopted at once.
    reserve: Option<Offer>,
    /// Discovery has answered with the whole list, or a change of it.
    has_answer: bool,
    /// A fetch is under way, or the watch after it.
    is_fetching: bool,
    wanted: Option<Option<(i64, Nanos)>>,
    discovery_timed_out: bool,
    counts: StartCounts,
}

impl Start {
    /// Begins a start. `starts`: of this node lately, before this one; 0 where the host does not know.
    pub fn new(settings: StartSettings, seed: u64, starts: u32, now: Nanos) -> Start {
        let mut rng = Pcg64::seed_from_u64(seed ^ u64::from(starts).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        Start {
            settings,
            fetch_schedule: FetchSchedule::new(now, &mut rng),
            rng,
            began: now,
            starts,
            nodes: settings.expected,
            peers: 0,
            adopted: None,
            reserve: None,
            has_answer: false,
            is_fetching: false,
            wanted: None,
            discovery_timed_out: false,
            counts: StartCounts::default(),
        }
    }

    /// One round: weighs what came in, and hands what is decided to the writer.
    pub fn round(&mut self, now: Nanos, inputs: impl FnOnce(&mut Inbox), sink: &mut dyn ActionSink) {
        let mut inbox = Inbox::default();
        inputs(&mut inbox);
        if let Some(FleetSize { counted, alive }) = inbox.fleet {
            (self.nodes, self.peers) = (counted, alive);
        }
        self.starts = inbox.starts.unwrap_or(self.starts);
        if inbox.discovery_changed {
            // What the other one answered cannot be compared with what this one will.
            if let Some(adopted) = &mut self.adopted {
                adopted.comparable = false;
            }
            (self.has_answer, self.is_fetching) = (false, false);
            self.fetch_schedule.discovery_changed(&self.settings, self.nodes, now, &mut self.rng);
        }
        if inbox.fetch_failed {
            self.counts.misses += 1;
            self.is_fetching = false;
            self.fetch_schedule.failed(&self.settings, self.nodes, now, &mut self.rng);
        }
        // Of several offered at once, the best alone is adopted.
        inbox.offers.sort_by_key(|offer| (offer.seen, offer.source));
        for offer in inbox.offers.iter().rev() {
            self.consider(offer, now, sink);
        }
        let timed_out = now - self.began >= self.settings.discovery_timeout;
        if timed_out
            && self.adopted.is_none()
            && let Some(old) = self.reserve.take()
        {
            self.adopt(old, MAX_UNVERIFIED_STEPS, sink);
        }
        if timed_out && !self.has_answer && !self.discovery_timed_out {
            self.discovery_timed_out = true;
            sink.discovery_timed_out();
        }
        self.request_list_from_peers(now, sink);
        self.fetch_schedule.set_first(&self.settings, self.nodes, self.adopted.is_some(), self.starts);
        if !self.is_fetching && self.fetch_schedule.due().is_some_and(|due| due <= now) {
            self.is_fetching = true;
            self.fetch_schedule.started();
            self.counts.fetches += 1;
            sink.fetch(!self.may_watch(now));
        }
    }

    fn consider(&mut self, offer: &Offer, now: Nanos, sink: &mut dyn ActionSink) {
        if offer.source == Source::Discovery {
            (self.has_answer, self.is_fetching) = (true, true);
            self.fetch_schedule.answered();
            // The host has applied its answers already: nothing is adopted, nothing doubted.
            (self.adopted, self.reserve) = (Some(*offer), None);
            return;
        }
        // A time from ahead of this node's clock says nothing better than now.
        let offer = Offer { seen: offer.seen.min(now), ..*offer };
        let is_superseded = |by: &Offer| {
            let older = offer.comparable && by.comparable && offer.revision < by.revision;
            older || (offer.seen, offer.source) <= (by.seen, by.source)
        };
        if self.has_answer
            || offer.members == 0
            || self.adopted.iter().chain(&self.reserve).any(is_superseded)
        {
            self.counts.refused += 1;
        } else if is_too_old(now - offer.seen, &self.settings) {
            self.reserve = Some(offer);
        } else {
            let steps = unverified_steps(now - offer.seen, &self.settings);
            self.adopt(offer, steps, sink);
        }
    }

    fn adopt(&mut self, offer: Offer, unverified_steps: u32, sink: &mut dyn ActionSink) {
        self.counts.adopted += 1;
        (self.adopted, self.reserve) = (Some(offer), None);
        sink.adopt(&offer, unverified_steps);
    }

    /// Peers are asked until discovery answered, while the adopted list is not as good as its answer.
    fn request_list_from_peers(&mut self, now: Nanos, sink: &mut dyn ActionSink) {
        let best = self.adopted.or(self.reserve);
        let is_fresh = best.is_some_and(|o| unverified_steps(now - o.seen, &self.settings) == 0);
        let newer_than = best.map(|o| (if o.comparable { o.revision } else { i64::MIN }, o.seen));
        let wanted = (!self.has_answer && !is_fresh && self.peers > 0).then_some(newer_than);
        if wanted != self.wanted {
            self.wanted = wanted;
            sink.request_from_peers(wanted);
        }
    }

    /// A watch from a revision answers nothing until something changes: for a list in doubt the whole one is asked for.
    fn may_watch(&self, now: Nanos) -> bool {
        self.adopted.is_some_and(|o| o.comparable && unverified_steps(now - o.seen, &self.settings) == 0)
    }

    /// When the next round is due at the latest.
    pub fn next_due(&self) -> Nanos {
        let fetch = if self.is_fetching { None } else { self.fetch_schedule.due() };
        let timeout = (!self.discovery_timed_out).then_some(self.began + self.settings.discovery_timeout);
        fetch.unwrap_or(Nanos::MAX).min(timeout.unwrap_or(Nanos::MAX))
    }

    /// The list that this node goes by.
    pub fn adopted(&self) -> Option<&Offer> {
        self.adopted.as_ref()
    }

    /// Whether discovery has answered since the start, or since it moved.
    pub fn has_answer(&self) -> bool {
        self.has_answer
    }

    /// What was counted since the start.
    pub fn counts(&self) -> StartCounts {
        self.counts
    }

    /// Front nodes as this one counts them.
    pub fn nodes(&self) -> usize {
        self.nodes.max(self.settings.expected)
    }
}
