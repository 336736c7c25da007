//! The cold start among hundreds of front nodes, where the operator switches it on: the endpoint lists that this node
//! finds in its configuration, on its disk and at its peers go to `orchidvalve-cold-start`, and what that decides is
//! handed to discovery and to the aggregator. It decides nothing itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use derive_more::{Display, Error, From};
use orchidvalve::interface::Nanos;
use orchidvalve::trace::MembershipSource;
use orchidvalve_cold_start::start::{ActionSink, Inbox, Offer, Source, Start};
use orchidvalve_cold_start::{StartSettings, probe_schedule};
use orchidvalve_fleet::MemberCounts;
use orchidvalve_fleet::lists::{ListAge, ListVersion, ListWanted};
use serde::Deserialize;

use crate::context::Context;
use crate::deadlines::DeadlineKey;
use crate::event_loop::Timer;
use crate::log;
use crate::membership::{Endpoint, EndpointList};
use crate::metrics::Gauge;
use crate::persistence::RecoveredState;
use crate::settings_file::{SectionName, SettingsFileError, milliseconds, parse};
use crate::stable_hash::stable_hash;

/// Cells and endpoints that a peer's list may name: what a peer sends must not make this node allocate without end.
const MAX_CELLS: usize = 1 << 16;
const MAX_ENDPOINTS: usize = 1 << 14;

/// Most steps of doubt for a replica that an earlier run had ejected.
const MAX_DOUBT: u32 = 4;

const SECTION: SectionName = SectionName("coldstart");

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ColdStartFile {
    coldstart: ColdStartKeys,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct ColdStartKeys {
    expected: usize,
    fetches_a_second: f64,
    first_wait_ms: u64,
    most_wait_ms: u64,
    fresh_s: u64,
    half_life_s: u64,
    oldest_s: u64,
    patience_ms: u64,
    probes_a_second: f64,
    connects_a_second: Option<f64>,
    share_lists: bool,
    source: Option<String>,
    restarts_s: u64,
}

impl Default for ColdStartKeys {
    fn default() -> ColdStartKeys {
        let policy = StartSettings::default();
        let ms = |ns: Nanos| (ns / 1_000_000) as u64;
        ColdStartKeys {
            expected: 0,
            fetches_a_second: policy.fetches_a_second,
            first_wait_ms: ms(policy.initial_backoff),
            most_wait_ms: ms(policy.max_backoff),
            fresh_s: ms(policy.fresh_for) / 1000,
            half_life_s: ms(policy.half_life) / 1000,
            oldest_s: ms(policy.max_age) / 1000,
            patience_ms: ms(policy.discovery_timeout),
            probes_a_second: policy.probes_a_second,
            connects_a_second: None,
            share_lists: true,
            source: None,
            restarts_s: 600,
        }
    }
}

/// How the node starts among others.
#[derive(Clone, Debug)]
pub struct ColdStartSettings {
    /// What the cold start's decisions go by.
    pub policy: StartSettings,
    /// Whether lists are had from peers and offered to them, where there is a fleet.
    pub share_lists: bool,
    /// The name of the discovery whose lists can be compared; none where its address stands for it.
    pub source: Option<String>,
    /// Starts of this node within so long count as starts in a row.
    pub restart_window: Nanos,
}

impl ColdStartSettings {
    /// Reads the operator's file.
    ///
    /// # Errors
    ///
    /// If a key is absent, unknown or out of bounds.
    ///
    /// ```
    /// use orchidvalve_frontnode::cold_start::ColdStartSettings;
    ///
    /// assert!(ColdStartSettings::read("[coldstart]\nexpected = 300\n").is_ok());
    /// let error = ColdStartSettings::read("[coldstart]\nexpected = 0\n").unwrap_err();
    /// assert_eq!(error.to_string(), "coldstart.expected: should be 1 to 100000, not 0");
    /// ```
    pub fn read(text: &str) -> Result<ColdStartSettings, SettingsFileError> {
        let keys = parse::<ColdStartFile>(text)?.coldstart;
        let check_rate = |key: &str, found: f64| match found.is_finite() && (0.001..=1e6).contains(&found) {
            true => Ok(()),
            false => Err(SECTION.error(key, format!("should be 0.001 to 1000000 a second, not {found}"))),
        };
        SECTION.check_range("expected", keys.expected, 1, 100_000)?;
        check_rate("fetches_a_second", keys.fetches_a_second)?;
        check_rate("probes_a_second", keys.probes_a_second)?;
        keys.connects_a_second.map_or(Ok(()), |found| check_rate("connects_a_second", found))?;
        SECTION.check_range("first_wait_ms", keys.first_wait_ms, 1, 60_000)?;
        SECTION.check_range("most_wait_ms", keys.most_wait_ms, keys.first_wait_ms, 3_600_000)?;
        SECTION.check_range("fresh_s", keys.fresh_s, 0, 86_400)?;
        SECTION.check_range("half_life_s", keys.half_life_s, 1, 86_400 * 30)?;
        SECTION.check_range("oldest_s", keys.oldest_s, keys.fresh_s, 86_400 * 365)?;
        SECTION.check_range("patience_ms", keys.patience_ms, 1, 600_000)?;
        SECTION.check_range("restarts_s", keys.restarts_s, 0, 86_400)?;
        if keys.source.as_ref().is_some_and(String::is_empty) {
            return Err(SECTION.error("source", "should be a name, or left out"));
        }
        let seconds = |count: u64| milliseconds(count * 1000);
        let policy = StartSettings {
            expected: keys.expected,
            fetches_a_second: keys.fetches_a_second,
            initial_backoff: milliseconds(keys.first_wait_ms),
            max_backoff: milliseconds(keys.most_wait_ms),
            fresh_for: seconds(keys.fresh_s),
            half_life: seconds(keys.half_life_s),
            max_age: seconds(keys.oldest_s),
            discovery_timeout: milliseconds(keys.patience_ms),
            probes_a_second: keys.probes_a_second,
            connects_a_second: keys.connects_a_second,
        };
        Ok(ColdStartSettings {
            policy,
            share_lists: keys.share_lists,
            source: keys.source,
            restart_window: seconds(keys.restarts_s),
        })
    }

    /// The number by which front nodes tell lists of different discoveries apart.
    fn topic(&self, discovery: SocketAddr) -> u64 {
        stable_hash(self.source.as_deref().unwrap_or(&discovery.to_string()))
    }
}

/// Why a peer's list cannot be used.
#[derive(Debug, Display, Error, From)]
enum PeerListError {
    #[display("{_0}")]
    Json(serde_json::Error),
    #[from(ignore)]
    #[display("{_0} replicas")]
    TooLong(#[error(not(source))] usize),
    #[display("a cell out of range")]
    Cell,
}

fn parse_list(bytes: &[u8]) -> Result<Vec<Endpoint>, PeerListError> {
    let endpoints: Vec<Endpoint> = serde_json::from_slice(bytes)?;
    if endpoints.len() > MAX_ENDPOINTS {
        return Err(PeerListError::TooLong(endpoints.len()));
    }
    if endpoints.iter().any(|endpoint| endpoint.cell >= MAX_CELLS) {
        return Err(PeerListError::Cell);
    }
    Ok(endpoints)
}

/// What became of the watch at discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryEvent {
    /// Discovery published its list, or a change of it, with that revision.
    Received(i64),
    /// It did not answer.
    Missed,
    /// Another discovery is to be asked.
    Moved(SocketAddr),
}

/// How far a replica of an older list is to be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Doubt {
    /// Steps of doubt; none at 0.
    pub steps: u32,
    /// From when on its health may be checked.
    pub check_from: Nanos,
}

/// What the node is to do.
pub enum Action {
    /// Use that list, its replicas doubted by so many steps.
    Adopt(Offer, u32),
    /// Ask discovery.
    Fetch {
        /// For the whole list, and not only for what changed.
        full_list: bool,
    },
    /// Serve from what it has: nothing has answered within the discovery timeout.
    ServeWithoutDiscovery,
}

/// What is wanted of peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WantedFromPeers {
    /// Nothing.
    Nothing,
    /// A list.
    List {
        /// What it must be newer than; `None` where any will do.
        newer_than: Option<ListAge>,
    },
}

/// An endpoint of an older list.
pub struct DoubtedEndpoint {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// How far it is to be trusted.
    pub doubt: Doubt,
}

/// What a round of the cold start decided.
#[derive(Default)]
pub struct Decisions {
    /// What the node is to do, in order.
    pub actions: Vec<Action>,
    /// What is wanted of peers, where that changed.
    pub wanted: Option<WantedFromPeers>,
}

impl ActionSink for Decisions {
    fn adopt(&mut self, offer: &Offer, doubt: u32) {
        self.actions.push(Action::Adopt(*offer, doubt));
    }
    fn request_from_peers(&mut self, wanted: Option<Option<(i64, Nanos)>>) {
        let age = |(revision, seen)| ListAge { revision, seen };
        self.wanted = Some(match wanted {
            None => WantedFromPeers::Nothing,
            Some(newer_than) => WantedFromPeers::List { newer_than: newer_than.map(age) },
        });
    }
    fn fetch(&mut self, full_list: bool) {
        self.actions.push(Action::Fetch { full_list });
    }
    fn discovery_timed_out(&mut self) {
        self.actions.push(Action::ServeWithoutDiscovery);
    }
}

/// The endpoint lists that a node finds at its start.
pub struct FoundLists<'a> {
    /// That of the configuration.
    pub configured: &'a EndpointList,
    /// When the configuration was written.
    pub configured_at: Nanos,
    /// What an earlier run left on disk.
    pub recovered: Option<RecoveredState>,
    /// How often this node started lately, before this start.
    pub recent_starts: u32,
}

/// The cold start of this node.
pub struct ColdStart {
    settings: ColdStartSettings,
    start: Start,
    seed: u64,
    topic: u64,
    /// Lists offered, by where they are from, until another one of the same source comes.
    lists: BTreeMap<Source, Vec<Endpoint>>,
    offers: Vec<Offer>,
    /// Steps of doubt for the replicas that an earlier run had ejected.
    doubts: BTreeMap<String, u32>,
    timer: Option<DeadlineKey>,
    started: Nanos,
}

impl ColdStart {
    /// Begins with the lists that were found.
    pub fn open(
        settings: &ColdStartSettings,
        discovery: SocketAddr,
        found: FoundLists,
        seed: u64,
        now: Nanos,
    ) -> ColdStart {
        let FoundLists { configured, configured_at, recovered, recent_starts } = found;
        let mut cold_start = ColdStart {
            settings: settings.clone(),
            start: Start::new(settings.policy, seed, recent_starts, now),
            seed,
            topic: settings.topic(discovery),
            lists: BTreeMap::new(),
            offers: Vec::new(),
            doubts: BTreeMap::new(),
            timer: None,
            started: now,
        };
        // A configuration's list counts as seen when the file was written: after a power loss that may be long ago.
        let configured_at = configured_at.min(now);
        cold_start.offer(
            Source::Configured,
            configured.revision,
            configured_at,
            configured.endpoints.clone(),
        );
        if let Some(recovered) = recovered {
            if let Some(stored) = recovered.revision {
                let endpoints = recovered.endpoints.into_values().collect();
                cold_start.offer(Source::Disk, stored.revision, stored.at, endpoints);
            }
            let ejected =
                recovered.ejections.into_iter().filter(|(_, stored)| stored.ejected_since.is_some());
            cold_start.doubts =
                ejected.map(|(id, stored)| (id, stored.relapses.clamp(1, MAX_DOUBT))).collect();
        }
        log!(
            "cold start: {} lists found, {recent_starts} starts lately before this one; discovery is asked {} a second by \
             {} nodes",
            cold_start.offers.len(),
            settings.policy.fetches_a_second,
            settings.policy.expected
        );
        cold_start
    }

    fn offer(&mut self, source: Source, revision: i64, seen: Nanos, endpoints: Vec<Endpoint>) {
        if endpoints.is_empty() {
            return;
        }
        self.offers.push(Offer { source, revision, seen, members: endpoints.len(), comparable: true });
        self.lists.insert(source, endpoints);
    }

    /// Takes a list that a peer sent. One that cannot be read is ignored.
    pub fn receive_list(&mut self, list: ListVersion) {
        let endpoints = match parse_list(&list.bytes) {
            Ok(endpoints) => endpoints,
            Err(error) => {
                return log!("a peer's list cannot be used: {}", error.to_string().escape_default());
            }
        };
        if list.topic == self.topic {
            self.offer(Source::Peer, list.revision, list.seen, endpoints);
        }
    }

    /// What peers are asked for: the topic, and what their list must be newer than.
    pub fn wanted(&self, wanted: WantedFromPeers) -> Option<ListWanted> {
        match wanted {
            WantedFromPeers::List { newer_than } if self.settings.share_lists => {
                Some(ListWanted { topic: self.topic, newer_than })
            }
            _ => None,
        }
    }

    /// One round. `events`: what became of the watch at discovery; `fleet`: its size, where there is one.
    pub fn round(
        &mut self,
        events: &[DiscoveryEvent],
        fleet: Option<MemberCounts>,
        context: &mut Context,
    ) -> Decisions {
        let (now, offers) = (context.now, std::mem::take(&mut self.offers));
        let mut topic = self.topic;
        let inputs = |inbox: &mut Inbox| {
            offers.into_iter().for_each(|offer| inbox.offer(offer));
            for event in events {
                match *event {
                    DiscoveryEvent::Received(revision) => {
                        let source = Source::Discovery;
                        inbox.offer(Offer { source, revision, seen: now, members: 0, comparable: true });
                    }
                    DiscoveryEvent::Missed => inbox.fetch_failed(),
                    DiscoveryEvent::Moved(discovery) => {
                        topic = self.settings.topic(discovery);
                        inbox.discovery_changed();
                    }
                }
            }
            fleet.into_iter().for_each(|size| inbox.fleet(size.counted, size.alive_peers));
        };
        let mut decisions = Decisions::default();
        self.start.round(now, inputs, &mut decisions);
        self.topic = topic;
        self.schedule_next_round(context);
        self.publish_gauges(context);
        decisions
    }

    fn schedule_next_round(&mut self, context: &mut Context) {
        self.timer.take().into_iter().for_each(|timer| context.deadlines.cancel(timer));
        let due = self.start.next_due();
        if due < Nanos::MAX {
            self.timer = Some(context.deadlines.schedule(due.max(context.now + 1), Timer::ColdStart));
        }
    }

    fn publish_gauges(&self, context: &mut Context) {
        let counts = self.start.counts();
        let age_ms = self.start.adopted().map_or(0, |offer| (context.now - offer.seen).max(0) / 1_000_000);
        context.cold_start_gauges = vec![
            Gauge::new(
                "coldstart_told",
                "whether discovery has answered since the start",
                usize::from(self.start.has_answer()),
            ),
            Gauge::new(
                "coldstart_list_age_ms",
                "since the list gone by was told, or last confirmed",
                age_ms as usize,
            ),
            Gauge::new(
                "coldstart_adopted",
                "lists gone by that were not discovery's",
                counts.adopted as usize,
            ),
            Gauge::new("coldstart_refused", "lists offered that were no news", counts.refused as usize),
            Gauge::new("coldstart_fetches", "asks at discovery", counts.fetches as usize),
            Gauge::new(
                "coldstart_misses",
                "asks and watches that discovery left unanswered",
                counts.misses as usize,
            ),
        ];
    }

    /// The endpoints of a list that is adopted, each with how far it is to be trusted.
    pub fn endpoints(&self, offer: &Offer, doubt: u32, now: Nanos) -> Vec<DoubtedEndpoint> {
        let endpoints = self.lists.get(&offer.source).cloned().unwrap_or_default();
        let with_doubt = |endpoint: Endpoint| {
            let steps = doubt.max(self.doubts.get(&endpoint.id).copied().unwrap_or(0));
            let number = stable_hash(&endpoint.id);
            let (steps, check_from) = probe_schedule::initial_verification(
                &self.settings.policy,
                self.start.nodes(),
                (self.seed, number),
                steps,
                now,
            );
            DoubtedEndpoint { endpoint, doubt: Doubt { steps, check_from } }
        };
        endpoints.into_iter().map(with_doubt).collect()
    }

    /// What this node offers to peers: the list in use, as discovery keeps it.
    pub fn offered_list(&self, endpoints: &BTreeMap<String, Endpoint>, revision: i64) -> Option<ListVersion> {
        let in_use = self.start.adopted().filter(|_| self.settings.share_lists)?;
        let endpoints: Vec<&Endpoint> = endpoints.values().collect();
        let bytes = serde_json::to_vec(&endpoints).ok()?;
        Some(ListVersion { topic: self.topic, revision, seen: in_use.seen, bytes })
    }

    /// Time since the start.
    pub fn age(&self, now: Nanos) -> Nanos {
        now - self.started
    }
}

/// Where a list is from, as the trace says it.
pub fn list_from(source: Source) -> MembershipSource {
    match source {
        Source::Configured => MembershipSource::Configuration,
        Source::Disk => MembershipSource::Disk,
        Source::Peer => MembershipSource::Peer,
        Source::Discovery => MembershipSource::Discovery,
    }
}
