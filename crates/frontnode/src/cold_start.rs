//! The cold start among hundreds of front nodes, if the operator enables it. The endpoint lists found in the
//! configuration, on disk and at peers are passed to `orchidvalve-cold-start`, and its decisions are passed to
//! discovery and to the aggregator. This module decides nothing itself.

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

/// The maximum numbers of cells and endpoints in a peer's list; they bound the memory that a peer can make this node
/// use.
const MAX_CELLS: usize = 1 << 16;
const MAX_ENDPOINTS: usize = 1 << 14;

/// The maximum number of unverified steps of a replica that an earlier run had ejected.
const MAX_UNVERIFIED_STEPS: u32 = 4;

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

/// The settings of the cold start.
#[derive(Clone, Debug)]
pub struct ColdStartSettings {
    /// The policy of the cold start's decisions.
    pub policy: StartSettings,
    /// Whether endpoint lists are requested from peers and offered to them, if the fleet is enabled.
    pub share_lists: bool,
    /// The name of the discovery service, by which lists are recognized as comparable; `None` to use its address.
    pub source: Option<String>,
    /// Starts of this node within this time count as repeated restarts.
    pub restart_window: Nanos,
}

impl ColdStartSettings {
    /// Parses the operator's file.
    ///
    /// # Errors
    ///
    /// Fails if a key is missing, unknown or out of bounds.
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

    /// Returns the number by which front nodes tell lists of different discovery services apart.
    fn topic(&self, discovery: SocketAddr) -> u64 {
        stable_hash(self.source.as_deref().unwrap_or(&discovery.to_string()))
    }
}

/// Why a peer's endpoint list is rejected.
#[derive(Debug, Display, Error, From)]
enum PeerListError {
    #[display("{_0}")]
    Json(serde_json::Error),
    #[from(ignore)]
    #[display("too many replicas: {_0}")]
    TooManyEndpoints(#[error(not(source))] usize),
    #[display("the number of a cell is out of range")]
    CellOutOfRange,
}

fn parse_list(bytes: &[u8]) -> Result<Vec<Endpoint>, PeerListError> {
    let endpoints: Vec<Endpoint> = serde_json::from_slice(bytes)?;
    if endpoints.len() > MAX_ENDPOINTS {
        return Err(PeerListError::TooManyEndpoints(endpoints.len()));
    }
    if endpoints.iter().any(|endpoint| endpoint.cell >= MAX_CELLS) {
        return Err(PeerListError::CellOutOfRange);
    }
    Ok(endpoints)
}

/// An event of the watch at discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryEvent {
    /// Discovery published its list, or a change of it, at this revision.
    Received(i64),
    /// A request to discovery failed or was not answered in time.
    Missed,
    /// The configuration names another discovery agent.
    AddressChanged(SocketAddr),
}

/// How much verification a replica of an older list still needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingVerification {
    /// The number of unverified steps; 0 if the replica is verified.
    pub steps: u32,
    /// The time from which its health may be checked.
    pub check_from: Nanos,
}

/// An action of the node that the cold start decided.
pub enum Action {
    /// Use a list, with the number of unverified steps of its replicas.
    Adopt(Offer, u32),
    /// Query discovery.
    Fetch {
        /// Whether the complete list is requested instead of the changes.
        full_list: bool,
    },
    /// Serve with the current list: discovery did not answer within its timeout.
    ServeWithoutDiscovery,
}

/// What is requested from peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerListRequest {
    /// Nothing.
    Nothing,
    /// An endpoint list.
    List {
        /// The age that the list must be newer than; `None` if any list will do.
        newer_than: Option<ListAge>,
    },
}

/// An endpoint of an older list.
pub struct UnverifiedEndpoint {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The verification that it still needs.
    pub verification: PendingVerification,
}

/// The decisions of a round of the cold start.
#[derive(Default)]
pub struct Decisions {
    /// The actions of the node, in order.
    pub actions: Vec<Action>,
    /// The request to peers, if it changed.
    pub peer_request: Option<PeerListRequest>,
}

impl ActionSink for Decisions {
    fn adopt(&mut self, offer: &Offer, unverified_steps: u32) {
        self.actions.push(Action::Adopt(*offer, unverified_steps));
    }
    fn request_from_peers(&mut self, wanted: Option<Option<(i64, Nanos)>>) {
        let age = |(revision, seen)| ListAge { revision, seen };
        self.peer_request = Some(match wanted {
            None => PeerListRequest::Nothing,
            Some(newer_than) => PeerListRequest::List { newer_than: newer_than.map(age) },
        });
    }
    fn fetch(&mut self, full_list: bool) {
        self.actions.push(Action::Fetch { full_list });
    }
    fn discovery_timed_out(&mut self) {
        self.actions.push(Action::ServeWithoutDiscovery);
    }
}

/// The endpoint lists that a node finds when it starts.
pub struct FoundLists<'a> {
    /// The list of the configuration.
    pub configured: &'a EndpointList,
    /// When the configuration file was written.
    pub configured_at: Nanos,
    /// The state that an earlier run left on disk.
    pub recovered: Option<RecoveredState>,
    /// The number of recent starts of this node before this one.
    pub recent_starts: u32,
}

/// The cold start of this node.
pub struct ColdStart {
    settings: ColdStartSettings,
    start: Start,
    seed: u64,
    topic: u64,
    /// The lists offered, by source; a list is replaced by the next one of the same source.
    lists: BTreeMap<Source, Vec<Endpoint>>,
    offers: Vec<Offer>,
    /// The unverified steps of replicas that an earlier run had ejected.
    unverified_steps: BTreeMap<String, u32>,
    timer: Option<DeadlineKey>,
    started: Nanos,
}

impl ColdStart {
    /// Begins the cold start with the lists that were found.
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
            unverified_steps: BTreeMap::new(),
            timer: None,
            started: now,
        };
        // The list of the configuration is as old as the file, which may be very old after a power loss.
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
            cold_start.unverified_steps =
                ejected.map(|(id, stored)| (id, stored.relapses.clamp(1, MAX_UNVERIFIED_STEPS))).collect();
        }
        log!(
            "cold start: {} lists found, {recent_starts} recent starts before this one; discovery is queried {} times per \
             second by {} nodes",
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

    /// Offers a list that a peer sent to the cold start. An invalid list is ignored.
    pub fn receive_list(&mut self, list: ListVersion) {
        let endpoints = match parse_list(&list.bytes) {
            Ok(endpoints) => endpoints,
            Err(error) => {
                return log!("endpoint list of a peer rejected: {}", error.to_string().escape_default());
            }
        };
        if list.topic == self.topic {
            self.offer(Source::Peer, list.revision, list.seen, endpoints);
        }
    }

    /// Returns the request to peers: the topic and the age that their list must be newer than. `None` requests nothing.
    pub fn peer_request(&self, request: PeerListRequest) -> Option<ListWanted> {
        match request {
            PeerListRequest::List { newer_than } if self.settings.share_lists => {
                Some(ListWanted { topic: self.topic, newer_than })
            }
            _ => None,
        }
    }

    /// Runs one round with the events of the watch at discovery and the size of the fleet, if it is enabled.
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
                    DiscoveryEvent::AddressChanged(discovery) => {
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

    /// Returns the endpoints of an adopted list, each with the verification that it still needs.
    pub fn endpoints(&self, offer: &Offer, unverified_steps: u32, now: Nanos) -> Vec<UnverifiedEndpoint> {
        let endpoints = self.lists.get(&offer.source).cloned().unwrap_or_default();
        let with_verification = |endpoint: Endpoint| {
            let steps = unverified_steps.max(self.unverified_steps.get(&endpoint.id).copied().unwrap_or(0));
            let number = stable_hash(&endpoint.id);
            let (steps, check_from) = probe_schedule::initial_verification(
                &self.settings.policy,
                self.start.nodes(),
                (self.seed, number),
                steps,
                now,
            );
            UnverifiedEndpoint { endpoint, verification: PendingVerification { steps, check_from } }
        };
        endpoints.into_iter().map(with_verification).collect()
    }

    /// Returns the list that this node offers to peers: the current list, as kept by discovery.
    pub fn offered_list(&self, endpoints: &BTreeMap<String, Endpoint>, revision: i64) -> Option<ListVersion> {
        let in_use = self.start.adopted().filter(|_| self.settings.share_lists)?;
        let endpoints: Vec<&Endpoint> = endpoints.values().collect();
        let bytes = serde_json::to_vec(&endpoints).ok()?;
        Some(ListVersion { topic: self.topic, revision, seen: in_use.seen, bytes })
    }

    /// Returns the time since the start, in nanoseconds.
    pub fn age(&self, now: Nanos) -> Nanos {
        now - self.started
    }
}

/// Returns the name of a list's source in the trace.
pub fn trace_source(source: Source) -> MembershipSource {
    match source {
        Source::Configured => MembershipSource::Configuration,
        Source::Disk => MembershipSource::Disk,
        Source::Peer => MembershipSource::Peer,
        Source::Discovery => MembershipSource::Discovery,
    }
}
