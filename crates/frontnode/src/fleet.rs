//! This node's part in the fleet of front nodes, if the operator enables it: a UDP socket, the rounds of
//! `orchidvalve-fleet`, and the exchange with the aggregator. It does not select replicas and rejects nothing. It
//! passes two things to the aggregator: the number of shard requests that a replica in slow start may still get from
//! this node as its floor, and the service classes that other front nodes found failing at a replica. It reports to the
//! peers what this node found.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use derive_more::{Display, Error};
use orchidvalve::interface::{Nanos, ReplicaIndex, SlowStart};
use orchidvalve::state::{AggregatorState, AttemptOutcome};
use orchidvalve_fleet::leases::{BudgetKey, LeaseTotals};
use orchidvalve_fleet::lists::{ListVersion, ListWanted};
use orchidvalve_fleet::token_bucket::TokenBucket;
use orchidvalve_fleet::verdicts::{Topic, VerdictKey};
use orchidvalve_fleet::{DatagramSink, Fleet, FleetSettings as FleetProtocolSettings, Inbox, MemberCounts};
use serde::Deserialize;

use crate::context::Context;
use crate::deadlines::DeadlineKey;
use crate::event_loop::{EventSource, ReadyEvents, Timer};
use crate::log;
use crate::metrics::Gauge;
use crate::settings_file::{SectionName, SettingsFileError, milliseconds, parse};
use crate::stable_hash::stable_hash;

/// Families of budgets: the floors of replicas in slow start, the rates of tenants, and the attempts after a shard
/// request's first (retries).
const SLOW_START_FLOOR: u8 = 1;
const TENANT: u8 = 2;
const RETRIES: BudgetKey = BudgetKey { family: 3, subject: 0 };
/// The time over which a tenant's queries and the retries on this node are counted to estimate its demand.
const DEMAND_SPAN: Nanos = 2_000_000_000;
/// The burst of retries that a node may save up, as a time at its allowed rate; at least one retry.
const RETRY_BURST: Nanos = 1_000_000_000;
/// The maximum number of datagrams read in one round; the rest is read in the next.
const MAX_DATAGRAMS_PER_ROUND: usize = 256;
/// The number of service classes that verdicts can refer to.
const MAX_SERVICE_CLASSES: u8 = 64;

const SECTION: SectionName = SectionName("fleet");

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetFile {
    fleet: FleetKeys,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetKeys {
    listen: String,
    #[serde(default)]
    advertise: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    expected: usize,
    #[serde(default = "FleetKeys::probe_ms")]
    probe_ms: u64,
    #[serde(default = "FleetKeys::suspect_ms")]
    suspect_ms: u64,
    #[serde(default = "FleetKeys::forget_ms")]
    forget_ms: u64,
    #[serde(default = "FleetKeys::gossip_ms")]
    gossip_ms: u64,
    #[serde(default = "FleetKeys::gossip_to")]
    gossip_to: usize,
    #[serde(default = "FleetKeys::lease_ms")]
    lease_ms: u64,
    #[serde(default = "FleetKeys::cold_floor")]
    cold_floor: f64,
    #[serde(default = "FleetKeys::bad_for_ms")]
    bad_for_ms: u64,
    #[serde(default)]
    retries_a_second: Option<f64>,
}

impl FleetKeys {
    fn probe_ms() -> u64 {
        1000
    }
    fn suspect_ms() -> u64 {
        3000
    }
    fn forget_ms() -> u64 {
        30_000
    }
    fn gossip_ms() -> u64 {
        200
    }
    fn gossip_to() -> usize {
        3
    }
    fn lease_ms() -> u64 {
        2000
    }
    fn cold_floor() -> f64 {
        1.0
    }
    fn bad_for_ms() -> u64 {
        1000
    }
}

/// The settings of the node's part in the fleet.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// The address that receives datagrams of other front nodes.
    pub listen: SocketAddrV4,
    /// The settings of the fleet protocol.
    pub protocol: FleetProtocolSettings,
    /// The minimum number of shard requests per window that a replica in slow start gets from all front nodes together.
    pub slow_start_floor: f64,
    /// How long a verdict that a replica fails a service class is valid unless it is renewed, in nanoseconds.
    pub verdict_lifetime: Nanos,
    /// Retries per second of all front nodes together; `None` if each node is limited by its own retry budget only.
    pub retries_per_second: Option<f64>,
}

impl FleetSettings {
    /// Parses the operator's file.
    ///
    /// # Errors
    ///
    /// Fails if a key is missing, unknown or out of bounds.
    ///
    /// ```
    /// use orchidvalve_frontnode::fleet::FleetSettings;
    ///
    /// assert!(FleetSettings::read("[fleet]\nlisten = \"127.0.0.1:7400\"\nexpected = 3\n").is_ok());
    /// let error = FleetSettings::read("[fleet]\nlisten = \"127.0.0.1:7400\"\nexpected = 0\n").unwrap_err();
    /// assert_eq!(error.to_string(), "fleet.expected: should be 1 to 100000, not 0");
    /// ```
    pub fn read(text: &str) -> Result<FleetSettings, SettingsFileError> {
        let keys = parse::<FleetFile>(text)?.fleet;
        SECTION.check_range("expected", keys.expected, 1, 100_000)?;
        SECTION.check_range("probe_ms", keys.probe_ms, 10, 60_000)?;
        SECTION.check_range("suspect_ms", keys.suspect_ms, 10, 600_000)?;
        SECTION.check_range("forget_ms", keys.forget_ms, 10, 3_600_000)?;
        SECTION.check_range("gossip_ms", keys.gossip_ms, 10, 60_000)?;
        SECTION.check_range("gossip_to", keys.gossip_to, 1, 64)?;
        SECTION.check_range("lease_ms", keys.lease_ms, 10, 600_000)?;
        SECTION.check_range("bad_for_ms", keys.bad_for_ms, 1, 600_000)?;
        let FleetKeys { cold_floor, retries_a_second, .. } = keys;
        if !(cold_floor.is_finite() && cold_floor >= 0.0) {
            let problem = format!("should be a number of parts, 0 or more, not {cold_floor}");
            return Err(SECTION.error("cold_floor", problem));
        }
        if let Some(rate) = retries_a_second.filter(|rate| !(rate.is_finite() && *rate > 0.0)) {
            let problem = format!("should be a number of launches above 0, not {rate}");
            return Err(SECTION.error("retries_a_second", problem));
        }
        let listen = SECTION.address("listen", &keys.listen)?;
        let me = match &keys.advertise {
            Some(text) => SECTION.address("advertise", text)?,
            None if listen.ip().is_unspecified() => {
                let problem = "needed where fleet.listen is 0.0.0.0: peers must be told where";
                return Err(SECTION.error("advertise", problem));
            }
            None => listen,
        };
        let peers = keys.peers.iter().enumerate();
        let peers = peers.map(|(index, peer)| SECTION.address(&format!("peers[{index}]"), peer));
        let mut protocol = FleetProtocolSettings::new(me, peers.collect::<Result<_, _>>()?, keys.expected);
        protocol.probe_interval = milliseconds(keys.probe_ms);
        protocol.probe_rtt = milliseconds(keys.probe_ms * 2 / 5).max(1);
        protocol.suspicion_timeout = milliseconds(keys.suspect_ms);
        protocol.forget_after = milliseconds(keys.forget_ms);
        protocol.gossip_interval = milliseconds(keys.gossip_ms);
        protocol.gossip_fanout = keys.gossip_to;
        protocol.leases.duration = milliseconds(keys.lease_ms);
        protocol.leases.answer_timeout =
            milliseconds(keys.gossip_ms).min(milliseconds(keys.lease_ms) / 4).max(1);
        Ok(FleetSettings {
            listen,
            protocol,
            slow_start_floor: cold_floor,
            verdict_lifetime: milliseconds(keys.bad_for_ms),
            retries_per_second: retries_a_second,
        })
    }
}

/// Why the node cannot take part in its fleet.
#[derive(Debug, Display, Error)]
pub enum FleetError {
    /// The UDP socket cannot be bound.
    #[display("fleet.listen: cannot listen on {address}: {error}")]
    Listen {
        /// The configured listen address.
        address: SocketAddrV4,
        /// The error of the operating system.
        #[error(source)]
        error: io::Error,
    },
    /// The socket cannot be registered, or its address cannot be read.
    #[display("fleet.listen: {_0}")]
    Socket(io::Error),
}

/// Sends datagrams and counts those that the operating system does not accept.
struct DatagramWriter<'a> {
    socket: &'a UdpSocket,
    unsent: &'a mut u64,
}

impl DatagramSink for DatagramWriter<'_> {
    fn send(&mut self, to: SocketAddrV4, datagram: &[u8]) {
        // A datagram that the operating system does not accept is lost, like one lost on the network.
        if self.socket.send_to(datagram, to).is_err() {
            *self.unsent += 1;
        }
    }
}

/// Binds the UDP socket and registers it with the event loop.
fn bind(listen: SocketAddrV4, context: &Context) -> Result<Rc<UdpSocket>, FleetError> {
    let socket = UdpSocket::bind(listen)
        .and_then(|socket| socket.set_nonblocking(true).map(|()| socket))
        .map_err(|error| FleetError::Listen { address: listen, error })?;
    let socket = Rc::new(socket);
    let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
    let on_ready = |_, _: &mut _, events: &mut ReadyEvents| {
        events.add(EventSource::Fleet);
        Ok(PostAction::Continue)
    };
    let registered = context.events.insert_source(source, on_ready);
    registered.map_err(|error| FleetError::Socket(io::Error::other(error.to_string())))?;
    Ok(socket)
}

/// A replica with its id from discovery.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FleetReplica {
    /// The id of the replica, which is the same on all front nodes.
    pub id: String,
    /// The number of the replica in this node's aggregator.
    pub index: ReplicaIndex,
}

/// The demand of this node for a budget of the fleet, in units per second.
struct BudgetDemand {
    key: BudgetKey,
    /// The budget of the whole fleet, in units per second.
    total: f64,
    demand: f64,
}

/// Whether this node found a replica failing a service class.
struct ReplicaVerdict {
    key: VerdictKey,
    is_failing: bool,
}

fn tenant_budget(tenant: usize) -> BudgetKey {
    BudgetKey { family: TENANT, subject: tenant as u64 }
}

fn slow_start_budget(id: &str) -> BudgetKey {
    BudgetKey { family: SLOW_START_FLOOR, subject: stable_hash(id) }
}

/// This node's part in the fleet.
pub struct FleetNode {
    settings: FleetSettings,
    slow_start: SlowStart,
    /// The rate of each tenant over all front nodes, in queries per second.
    tenant_rates: Vec<f64>,
    socket: Rc<UdpSocket>,
    fleet: Fleet,
    datagrams: Vec<Vec<u8>>,
    /// Whether datagrams are left in the socket.
    unread: bool,
    /// Shard requests that replicas in slow start may still get from this node as their floor.
    slow_start_tokens: BTreeMap<ReplicaIndex, TokenBucket>,
    /// The retries that this node may still send; `None` if the fleet does not limit them.
    retry_tokens: Option<TokenBucket>,
    /// Whether a replica fails a service class according to this node's last report, by the replica's hash and the
    /// service class.
    reported: BTreeMap<(u64, usize), bool>,
    /// Verdicts of this node to send in the next round.
    verdicts: Vec<ReplicaVerdict>,
    /// A changed list to offer to peers in the next round.
    offered_list: Option<ListVersion>,
    /// A changed request for peers' lists; `Some(None)` ends requesting.
    list_request: Option<Option<ListWanted>>,
    timer: Option<DeadlineKey>,
    unsent: u64,
    seed: u64,
}

impl FleetNode {
    /// Binds the UDP socket and joins the fleet.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn open(
        settings: &FleetSettings,
        slow_start: SlowStart,
        tenant_rates: Vec<f64>,
        seed: u64,
        context: &Context,
    ) -> Result<FleetNode, FleetError> {
        let socket = bind(settings.listen, context)?;
        let mut protocol = settings.protocol.clone();
        if protocol.me.port() == 0 {
            // With port 0, as in tests, peers get the port that the operating system assigned.
            let given = socket.local_addr().map_err(FleetError::Socket)?;
            if let SocketAddr::V4(given) = given {
                protocol.me.set_port(given.port());
            }
        }
        let fleet = Fleet::new(protocol, seed, context.now);
        let at = socket.local_addr().map_err(FleetError::Socket)?;
        let (peers, expected) = (settings.protocol.peers.len(), settings.protocol.expected);
        log!(
            "fleet: datagrams at {at}, advertised as {}; {peers} peers configured, {expected} nodes expected",
            fleet.me().address()
        );
        Ok(FleetNode {
            settings: settings.clone(),
            slow_start,
            tenant_rates,
            socket,
            fleet,
            datagrams: Vec::new(),
            unread: false,
            slow_start_tokens: BTreeMap::new(),
            retry_tokens: settings
                .retries_per_second
                .map(|_| TokenBucket::with_random_start(seed, RETRIES.subject, context.now)),
            reported: BTreeMap::new(),
            verdicts: Vec::new(),
            offered_list: None,
            list_request: None,
            timer: None,
            unsent: 0,
            seed,
        })
    }

    /// Returns the address that receives datagrams.
    pub fn address(&self) -> Option<SocketAddr> {
        self.socket.local_addr().ok()
    }

    /// Reads all received datagrams, up to the limit of a round.
    pub fn ready(&mut self, context: &mut Context) {
        let mut buffer = [0u8; orchidvalve_fleet::wire::MAX_DATAGRAM_BYTES + 1];
        self.unread = false;
        for _ in 0..MAX_DATAGRAMS_PER_ROUND {
            match self.socket.recv_from(&mut buffer) {
                Ok((length, _)) => self.datagrams.push(buffer[..length].to_vec()),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // An error that belongs to an earlier send does not affect what can be received.
                Err(_) => {}
            }
        }
        self.unread = true;
        context.ready_again.push(EventSource::Fleet);
    }

    /// Queues verdicts from the attempts that ended in this round: a replica failed a service class, or served it again
    /// after a failure.
    fn report_replica(&mut self, replica: &FleetReplica, aggregator_state: &AggregatorState, now: Nanos) {
        let subject = stable_hash(&replica.id);
        let Some(r) = aggregator_state.replicas.get(replica.index.0) else { return };
        let this_round = r.samples.iter().rev().take_while(|s| s.at == now);
        // Only the latest result of each service class counts; it comes first in this order.
        let mut found: BTreeMap<usize, bool> = BTreeMap::new();
        for s in this_round {
            match s.outcome {
                AttemptOutcome::Failed => drop(found.entry(s.class).or_insert(true)),
                AttemptOutcome::Answered => drop(found.entry(s.class).or_insert(false)),
                _ => {}
            }
        }
        for (service_class, is_failing) in found {
            let reported = self.reported.get(&(subject, service_class)).copied();
            if reported == Some(is_failing) || !is_failing && reported.is_none() {
                continue;
            }
            self.reported.insert((subject, service_class), is_failing);
            if let Ok(service_class) = u8::try_from(service_class) {
                let key = VerdictKey { subject, service_class, topic: Topic::Failing };
                self.verdicts.push(ReplicaVerdict { key, is_failing });
            }
        }
    }

    /// Counts a started attempt against the floor of its replica, if that is in slow start, and against the fleet's
    /// retries, unless it is the first attempt of its shard request.
    pub fn attempt_started(&mut self, replica: ReplicaIndex, is_retry: bool) {
        self.slow_start_tokens.get_mut(&replica).into_iter().for_each(TokenBucket::take);
        self.retry_tokens.iter_mut().filter(|_| is_retry).for_each(TokenBucket::take);
    }

    /// Offers this node's endpoint list to peers that are starting.
    pub fn offer_list(&mut self, list: ListVersion) {
        self.offered_list = Some(list);
    }

    /// Requests such a list from peers; `None` ends requesting.
    pub fn request_list(&mut self, request: Option<ListWanted>) {
        self.list_request = Some(request);
    }

    /// Takes the endpoint list that a peer sent.
    pub fn take_received_list(&mut self) -> Option<ListVersion> {
        self.fleet.take_received_list()
    }

    /// Returns the numbers of front nodes in the fleet.
    pub fn size(&self) -> MemberCounts {
        self.fleet.members()
    }

    /// Runs one round of the fleet. `replicas` are ordered by id.
    pub fn round(
        &mut self,
        replicas: &[FleetReplica],
        aggregator_state: &AggregatorState,
        context: &mut Context,
    ) {
        let now = context.now;
        for replica in replicas {
            self.report_replica(replica, aggregator_state, now);
        }
        let in_slow_start = self.in_slow_start(replicas, aggregator_state, now);
        let mut demands = self.tenant_demands(aggregator_state, now);
        demands.extend(self.retry_demand(now));
        demands.extend(in_slow_start.iter().map(|replica| self.slow_start_demand(replica)));
        self.exchange_messages(&demands, now);
        self.slow_start_tokens.retain(|ix, _| in_slow_start.iter().any(|replica| replica.index == *ix));
        self.publish_gauges(context);
    }

    /// Returns the replicas in slow start.
    fn in_slow_start<'a>(
        &self,
        replicas: &'a [FleetReplica],
        aggregator_state: &AggregatorState,
        now: Nanos,
    ) -> Vec<&'a FleetReplica> {
        let is_in_slow_start = |replica: &&FleetReplica| {
            let started_at = aggregator_state.replicas.get(replica.index.0).and_then(|r| r.started_at);
            started_at.is_some_and(|at| now - at < self.slow_start.duration)
        };
        replicas.iter().filter(is_in_slow_start).collect()
    }

    /// Returns the demand of this node for the tenants' rates, estimated from its recent queries.
    fn tenant_demands(&self, aggregator_state: &AggregatorState, now: Nanos) -> Vec<BudgetDemand> {
        let since = now - DEMAND_SPAN;
        let demand = |(tenant, &total): (usize, &f64)| {
            let queries = aggregator_state.recent.queries_of(tenant, since) as f64;
            BudgetDemand { key: tenant_budget(tenant), total, demand: queries * 1e9 / DEMAND_SPAN as f64 }
        };
        self.tenant_rates.iter().enumerate().map(demand).collect()
    }

    /// Returns the demand of this node for the fleet's retries, if they are limited.
    fn retry_demand(&mut self, now: Nanos) -> Option<BudgetDemand> {
        let allowance = self.fleet.allowance(RETRIES);
        let bucket = self.retry_tokens.as_mut()?;
        let demand = bucket.demand(allowance, DEMAND_SPAN, now);
        let total = self.settings.retries_per_second?;
        Some(BudgetDemand { key: RETRIES, total, demand })
    }

    /// Returns the demand for a replica in slow start: one shard request per window, the floor of a single front node.
    fn slow_start_demand(&self, replica: &FleetReplica) -> BudgetDemand {
        let window = self.slow_start.overload_window.max(1) as f64;
        BudgetDemand {
            key: slow_start_budget(&replica.id),
            total: self.settings.slow_start_floor * 1e9 / window,
            demand: 1e9 / window,
        }
    }

    /// Passes the received datagrams and this node's reports to the protocol, and sends the datagrams of the protocol.
    fn exchange_messages(&mut self, demands: &[BudgetDemand], now: Nanos) {
        let datagrams = std::mem::take(&mut self.datagrams);
        let verdicts = std::mem::take(&mut self.verdicts);
        let verdict_lifetime = self.settings.verdict_lifetime;
        let (offered_list, list_request) = (self.offered_list.take(), self.list_request.take());
        let inputs = |inbox: &mut Inbox| {
            offered_list.into_iter().for_each(|list| inbox.offer_list(list));
            list_request.into_iter().for_each(|request| inbox.list_wanted(request));
            for &BudgetDemand { key, total, demand } in demands {
                inbox.set_demand(key, total, demand);
            }
            datagrams.iter().for_each(|datagram| inbox.datagram(datagram));
            for &ReplicaVerdict { key, is_failing } in &verdicts {
                inbox.verdict(key, is_failing, verdict_lifetime);
            }
        };
        let mut writer = DatagramWriter { socket: &self.socket, unsent: &mut self.unsent };
        self.fleet.round(now, inputs, &mut writer);
    }

    /// Passes the fleet's limits and verdicts to the aggregator. It runs after all other input of the round, including
    /// endpoint lists of peers: otherwise a replica that such a list has just added would get the floor of a single
    /// front node.
    pub fn update_aggregator_state(
        &mut self,
        replicas: &[FleetReplica],
        aggregator_state: &mut AggregatorState,
        now: Nanos,
    ) {
        for replica in replicas {
            let failing_classes = self.failing_classes(&replica.id);
            let started_at = aggregator_state.replicas.get(replica.index.0).and_then(|r| r.started_at);
            let floor = match started_at {
                Some(at) if now - at < self.slow_start.duration => self.fleet_floor(replica, now),
                _ => 1.0,
            };
            aggregator_state.fleet_limits_received(replica.index, floor, failing_classes);
        }
        aggregator_state.fleet_attempts_left = self.retries_left(now);
        aggregator_state.fleet_tenant_rates =
            (0..self.tenant_rates.len()).map(|tenant| self.fleet.allowance(tenant_budget(tenant))).collect();
    }

    /// Returns the service classes that the replica fails according to the fleet, as a bit mask.
    fn failing_classes(&self, id: &str) -> u64 {
        let subject = stable_hash(id);
        let is_failing = |service_class: &u8| {
            self.fleet.holds(VerdictKey { subject, service_class: *service_class, topic: Topic::Failing })
        };
        (0..MAX_SERVICE_CLASSES).filter(is_failing).fold(0, |bits, service_class| bits | 1 << service_class)
    }

    /// Returns how many shard requests a replica in slow start may still get from this node as its floor.
    fn fleet_floor(&mut self, replica: &FleetReplica, now: Nanos) -> f64 {
        let budget = slow_start_budget(&replica.id);
        let allowance = self.fleet.allowance(budget);
        let tokens = self.slow_start_tokens.entry(replica.index);
        let tokens = tokens.or_insert_with(|| TokenBucket::with_random_start(self.seed, budget.subject, now));
        tokens.fill(allowance, self.slow_start.overload_window.max(1), now);
        tokens.available() as f64
    }

    /// Returns the number of retries that this node may still send; `None` if the fleet does not limit them.
    fn retries_left(&mut self, now: Nanos) -> Option<usize> {
        let allowance = self.fleet.allowance(RETRIES);
        let bucket = self.retry_tokens.as_mut()?;
        bucket.fill(allowance, RETRY_BURST, now);
        Some(bucket.available())
    }

    fn publish_gauges(&mut self, context: &mut Context) {
        let now = context.now;
        if let Some(timer) = self.timer.take() {
            context.deadlines.cancel(timer);
        }
        self.timer = Some(context.deadlines.schedule(self.fleet.next_due().max(now + 1), Timer::Fleet));
        let members = self.fleet.members();
        let LeaseTotals { lent, borrowed } = self.fleet.leases();
        let counts = self.fleet.counts();
        context.fleet_gauges = vec![
            Gauge::new(
                "fleet_peers",
                "other front nodes alive as far as this one knows",
                members.alive_peers,
            ),
            Gauge::new("fleet_counted", "front nodes counted in the shares of budgets", members.counted),
            Gauge::new(
                "fleet_lent_milli",
                "units a second lent to peers, in thousandths",
                (lent * 1000.0) as usize,
            ),
            Gauge::new(
                "fleet_borrowed_milli",
                "units a second borrowed from peers, in thousandths",
                (borrowed * 1000.0) as usize,
            ),
            Gauge::new("fleet_datagrams_sent", "datagrams sent to peers", counts.sent as usize),
            Gauge::new("fleet_datagrams_received", "datagrams from peers", counts.received as usize),
            Gauge::new(
                "fleet_datagrams_dropped",
                "datagrams unread, flooding or not sent",
                (counts.undecodable + counts.rate_limited + self.unsent) as usize,
            ),
            Gauge::new("fleet_verdicts", "verdicts known", self.fleet.verdicts().count()),
        ];
    }

    /// Returns whether datagrams are waiting to be read or handled.
    pub fn has_work(&self) -> bool {
        self.unread || !self.datagrams.is_empty()
    }
}
