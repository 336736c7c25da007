//! Selects the list that a starting node uses. The host offers lists as it finds them: the one in its configuration,
//! the one saved on disk, one from a peer, and finally discovery's own. The list seen last is adopted, with a degree
//! of distrust. An offer that is no better is ignored, so that an older list of a peer never replaces a newer one.
//! Discovery's response ends the start.
//!
//! If no source responds, the node serves with the list that it has: a list that was too old to be adopted at once is
//! adopted after `discovery_timeout`, with the highest distrust.

use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::fetch_schedule::FetchSchedule;
use crate::trust::{MAX_UNVERIFIED_STEPS, is_too_old, unverified_steps};
use crate::{Nanos, StartSettings};

/// Source of a list, the least trusted first. Decides between lists that were seen at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The configuration.
    Configured,
    /// Saved on disk by an earlier run.
    Disk,
    /// Received from another front node.
    Peer,
    /// A response of discovery.
    Discovery,
}

/// A list that the host has. The host keeps its contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Source of the list.
    pub source: Source,
    /// Revision number that discovery gave the list.
    pub revision: i64,
    /// When discovery sent the list, by this node's clock.
    pub seen: Nanos,
    /// The number of servers in the list.
    pub members: usize,
    /// Whether the revision is from the discovery service that this node queries.
    pub comparable: bool,
}

/// Inputs of a round.
#[derive(Default)]
pub struct Inbox {
    offers: Vec<Offer>,
    fetch_failed: bool,
    discovery_changed: bool,
    starts: Option<u32>,
    fleet: Option<FleetSize>,
}

/// Size of the fleet as the host knows it.
#[derive(Clone, Copy)]
struct FleetSize {
    /// The number of front nodes, including this one.
    counted: usize,
    /// The number of live peers that can be queried.
    alive: usize,
}

impl Inbox {
    /// Offers a list that the host has.
    pub fn offer(&mut self, offer: Offer) {
        self.offers.push(offer);
    }

    /// Discovery did not respond, or its watch ended with an error.
    pub fn fetch_failed(&mut self) {
        self.fetch_failed = true;
    }

    /// A different discovery service is queried from now on.
    pub fn discovery_changed(&mut self) {
        self.discovery_changed = true;
    }

    /// Sets the number of recent starts of this node before this one.
    pub fn starts(&mut self, before: u32) {
        self.starts = Some(before);
    }

    /// Sets the number of front nodes, including this one, and the number of live peers that can be queried.
    pub fn fleet(&mut self, counted: usize, alive: usize) {
        self.fleet = Some(FleetSize { counted, alive });
    }
}

/// Receives the decisions of a round.
pub trait ActionSink {
    /// Adopts a list. Its servers that discovery has not verified are unverified by the given steps.
    fn adopt(&mut self, offer: &Offer, unverified_steps: u32);
    /// Requests a list newer than the given revision and time from peers. The inner `None` accepts any list; the outer
    /// `None` ends the request.
    fn request_from_peers(&mut self, wanted: Option<Option<(i64, Nanos)>>);
    /// Fetches from discovery: the complete list, or the changes since the revision of the adopted list.
    fn fetch(&mut self, full_list: bool);
    /// No list was fetched from discovery within the timeout, so the node serves with the list that it has. Called
    /// once.
    fn discovery_timed_out(&mut self);
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartCounts {
    /// Lists that were adopted.
    pub adopted: u64,
    /// Offers that were no better than the known list.
    pub refused: u64,
    /// Fetches from discovery that started.
    pub fetches: u64,
    /// Fetches that failed.
    pub misses: u64,
}

/// The start of one front node.
pub struct Start {
    settings: StartSettings,
    rng: Pcg64,
    fetch_schedule: FetchSchedule,
    started_at: Nanos,
    starts: u32,
    nodes: usize,
    peers: usize,
    adopted: Option<Offer>,
    /// A list that is too old to be adopted before the timeout.
    too_old_list: Option<Offer>,
    /// Whether discovery has responded, with the complete list or a change.
    has_answer: bool,
    /// Whether a fetch, or the watch after it, is in progress.
    is_fetching: bool,
    wanted: Option<Option<(i64, Nanos)>>,
    discovery_timed_out: bool,
    counts: StartCounts,
}

impl Start {
    /// Begins a start. `starts` is the number of recent starts of this node before this one; 0 if unknown.
    pub fn new(settings: StartSettings, seed: u64, starts: u32, now: Nanos) -> Start {
        let mut rng = Pcg64::seed_from_u64(seed ^ u64::from(starts).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        Start {
            settings,
            fetch_schedule: FetchSchedule::new(now, &mut rng),
            rng,
            started_at: now,
            starts,
            nodes: settings.expected,
            peers: 0,
            adopted: None,
            too_old_list: None,
            has_answer: false,
            is_fetching: false,
            wanted: None,
            discovery_timed_out: false,
            counts: StartCounts::default(),
        }
    }

    /// Runs one round: evaluates the inputs and passes the decisions to the sink.
    pub fn round(&mut self, now: Nanos, inputs: impl FnOnce(&mut Inbox), sink: &mut dyn ActionSink) {
        let mut inbox = Inbox::default();
        inputs(&mut inbox);
        if let Some(FleetSize { counted, alive }) = inbox.fleet {
            (self.nodes, self.peers) = (counted, alive);
        }
        self.starts = inbox.starts.unwrap_or(self.starts);
        if inbox.discovery_changed {
            // Revisions of the former discovery service cannot be compared with those of the new one.
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
        // If several lists are offered at once, only the best one is adopted.
        inbox.offers.sort_by_key(|offer| (offer.seen, offer.source));
        for offer in inbox.offers.iter().rev() {
            self.consider(offer, now, sink);
        }
        let timed_out = now - self.started_at >= self.settings.discovery_timeout;
        if timed_out
            && self.adopted.is_none()
            && let Some(old) = self.too_old_list.take()
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
            // The host has already applied the response of discovery, so there is nothing to adopt or distrust.
            (self.adopted, self.too_old_list) = (Some(*offer), None);
            return;
        }
        // A timestamp in the future of this node's clock counts as now.
        let offer = Offer { seen: offer.seen.min(now), ..*offer };
        let is_superseded = |by: &Offer| {
            let older = offer.comparable && by.comparable && offer.revision < by.revision;
            older || (offer.seen, offer.source) <= (by.seen, by.source)
        };
        if self.has_answer
            || offer.members == 0
            || self.adopted.iter().chain(&self.too_old_list).any(is_superseded)
        {
            self.counts.refused += 1;
        } else if is_too_old(now - offer.seen, &self.settings) {
            self.too_old_list = Some(offer);
        } else {
            let steps = unverified_steps(now - offer.seen, &self.settings);
            self.adopt(offer, steps, sink);
        }
    }

    fn adopt(&mut self, offer: Offer, unverified_steps: u32, sink: &mut dyn ActionSink) {
        self.counts.adopted += 1;
        (self.adopted, self.too_old_list) = (Some(offer), None);
        sink.adopt(&offer, unverified_steps);
    }

    /// Requests lists from peers until discovery has responded, unless the adopted list is as trusted as its response.
    fn request_list_from_peers(&mut self, now: Nanos, sink: &mut dyn ActionSink) {
        let best = self.adopted.or(self.too_old_list);
        let is_fresh = best.is_some_and(|o| unverified_steps(now - o.seen, &self.settings) == 0);
        let newer_than = best.map(|o| (if o.comparable { o.revision } else { i64::MIN }, o.seen));
        let wanted = (!self.has_answer && !is_fresh && self.peers > 0).then_some(newer_than);
        if wanted != self.wanted {
            self.wanted = wanted;
            sink.request_from_peers(wanted);
        }
    }

    /// Whether to fetch only changes. A watch from a revision returns nothing until something changes, so a distrusted
    /// list requires a complete fetch.
    fn may_watch(&self, now: Nanos) -> bool {
        self.adopted.is_some_and(|o| o.comparable && unverified_steps(now - o.seen, &self.settings) == 0)
    }

    /// Returns the latest time of the next round.
    pub fn next_due(&self) -> Nanos {
        let fetch = if self.is_fetching { None } else { self.fetch_schedule.due() };
        let timeout =
            (!self.discovery_timed_out).then_some(self.started_at + self.settings.discovery_timeout);
        fetch.unwrap_or(Nanos::MAX).min(timeout.unwrap_or(Nanos::MAX))
    }

    /// Returns the list that this node uses.
    pub fn adopted(&self) -> Option<&Offer> {
        self.adopted.as_ref()
    }

    /// Whether discovery has responded since the start, or since the discovery service changed.
    pub fn has_answer(&self) -> bool {
        self.has_answer
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> StartCounts {
        self.counts
    }

    /// Returns the number of front nodes known to this one.
    pub fn nodes(&self) -> usize {
        self.nodes.max(self.settings.expected)
    }
}
