//! The duties of the head of the control chain: reading the platform's list, placing partitions, ordering
//! new weights. Another machine has them as soon as it is the head, and every start of a head has a term of its
//! own, higher than all before ([`crate::core::Core::duty_term`]): lists and orders bear it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use orchidvalve_track::http::{end_head, write_header, write_number_header, write_request_line};
use orchidvalve_track::identity::{MemberId, NodeAddress};
use orchidvalve_track::messages::{Role, ServerEntry, ServersUpdate};
use orchidvalve_track::network::Network;
use orchidvalve_waybill::state::{Change, ControlState, ModelUse};
use serde_json::json;

use crate::client::{Carrier, Destination, Finished, HttpClient};
use crate::core::RetirementVerdict;
use crate::discovery::{CALL_TIMEOUT_MS, POLL_INTERVAL_MS, Progress, RETRY_INTERVAL_MS, Reading};
use crate::placement::{self, LiveStore, Situation};
use crate::sessions::SessionTable;
use crate::weights::{Holder, Order, OrderOutcome, WeightsPlanner};
use orchidvalve_track::server_table::ServerTable;

/// Time after the beginning of a view in which no store is taken for lost: all have to open their sessions.
const STORE_GRACE_MS: u64 = 1_500;
/// An order that isn't answered within this time is unclear.
const ORDER_TIMEOUT_MS: u64 = 1_500;
/// A majority has to have confirmed this machine as head within this time before it gives an order.
pub const ORDER_VALIDITY_MS: u64 = 600;
/// Servers are kept at most so many versions behind, however old the versions that trainers allow.
const MOST_LAG: u64 = 2;
/// Taken for the lag of a model until jobs have told: the first jobs allow every version.
const UNKNOWN_LAG: u64 = 1;
/// A question about a load that isn't answered within this time is given up.
const REPORT_TIMEOUT_MS: u64 = 500;
/// Time that a new head waits beyond the lease, for orders of the former one that are still under way.
const ORDER_MARGIN_MS: u64 = 400;
/// Pause between two looks at the placement.
const PLACEMENT_INTERVAL_MS: u64 = 50;
/// A storage machine that isn't there for the first placement is waited for so long.
const FIRST_PLACEMENT_WAIT_MS: u64 = 1_000;

/// A store whose disk is fuller than this takes copies only from machines that are lost, in percent: beyond it,
/// stores refuse new jobs.
const FULL_PERCENT: u64 = 75;
/// A partition whose holders are all lost for certain begins anew after this time: a member that holds everything
/// after all reports so every second.
const LOSS_CONFIRMATION_MS: u64 = 10_000;

/// What a call of a duty is for.
#[derive(Debug)]
pub enum Purpose {
    ListPage,
    Order(Order),
    /// Whether a load at this server is done.
    Report {
        instance: String,
    },
}

/// Facts that the duties go by.
#[derive(Clone, Debug)]
pub struct DutyOptions {
    /// Name of this machine, the holder of its orders.
    pub name: String,
    pub platform: Option<SocketAddrV4>,
    pub lease_ms: u64,
    /// Storage machines that may be lost at once.
    pub tolerance: usize,
}

/// The duties of this machine.
pub struct Duties {
    options: DutyOptions,
    client: HttpClient<Purpose>,
    head_since: Option<u64>,
    /// Term of the duties, once it is committed; nothing is told or ordered without one.
    term: Option<u64>,
    next_poll: u64,
    reading: Option<Reading>,
    planner: WeightsPlanner,
    holder: Holder,
    /// Newest reading of the list, before versions known from orders are added.
    listed: Vec<ServerEntry>,
    ready_learners: BTreeSet<(u16, u64, MemberId)>,
    next_placement: u64,
    /// Partitions whose holders are all lost, and since when that is seen.
    lost_since: BTreeMap<u16, u64>,
    /// Use of models as it was logged last.
    told_models: BTreeMap<String, ModelUse>,
}

impl Duties {
    pub fn new(options: DutyOptions) -> Duties {
        Duties {
            options,
            client: HttpClient::default(),
            head_since: None,
            term: None,
            next_poll: 0,
            reading: None,
            planner: WeightsPlanner::default(),
            holder: Holder::default(),
            listed: Vec::new(),
            ready_learners: BTreeSet::new(),
            next_placement: 0,
            lost_since: BTreeMap::new(),
            told_models: BTreeMap::new(),
        }
    }

    /// A view has begun; `same_head` says that its head was that of the view just before, too.
    pub fn view_changed(&mut self, now: u64, epoch: u64, is_head: bool, same_head: bool) {
        self.term = None;
        if !is_head {
            self.head_since = None;
            self.holder.end();
            self.planner.reset();
            self.reading = None;
            self.lost_since.clear();
            return;
        }
        let wait = self.options.lease_ms + ORDER_VALIDITY_MS + ORDER_MARGIN_MS;
        self.holder.begin(now, epoch, same_head, wait);
        if self.head_since.is_none() {
            self.head_since = Some(now);
            self.next_poll = now;
            self.listed.clear();
        }
    }

    /// The duties are done under this term from now on, or not at all.
    pub fn set_term(&mut self, term: Option<u64>) {
        self.term = term;
    }

    pub fn learner_ready(&mut self, partition: u16, epoch: u64, member: MemberId) {
        // Machines that aren't the head hear all reports, too, and never get to place anything.
        self.ready_learners.retain(|(of, since, _)| *of != partition || *since >= epoch);
        self.ready_learners.insert((partition, epoch, member));
        self.next_placement = 0;
    }

    /// When [`Duties::step`] has to be called next.
    pub fn next_wakeup(&self) -> u64 {
        if self.head_since.is_none() {
            return u64::MAX;
        }
        let weights = self.planner.next_wakeup().unwrap_or(u64::MAX);
        let deadline = self.client.next_deadline().unwrap_or(u64::MAX);
        let poll = if self.reading.is_some() { u64::MAX } else { self.next_poll };
        weights.min(deadline).min(poll)
    }

    pub fn owns(&self, connection: orchidvalve_track::network::ConnectionId) -> bool {
        self.client.owns(connection)
    }

    pub fn client(&mut self) -> &mut HttpClient<Purpose> {
        &mut self.client
    }

    /// Begins a reading of the platform's list when it is due.
    pub fn poll_list(&mut self, network: &mut Network, now: u64) {
        if self.head_since.is_some() && self.reading.is_none() && now >= self.next_poll {
            self.reading = Some(Reading::default());
            self.ask_page(network, now, None);
        }
    }

    fn ask_page(&mut self, network: &mut Network, now: u64, token: Option<&str>) {
        let Some(platform) = self.options.platform else { return };
        let target = match token {
            None => "/instances".to_owned(),
            Some(token) => format!("/instances?page-token={token}"),
        };
        let mut request = Vec::new();
        write_request_line(&mut request, "GET", &target);
        write_header(&mut request, "Host", &platform.to_string());
        end_head(&mut request);
        let destination = Destination {
            address: platform,
            carrier: Carrier::KeptConnection,
            begun_at: now,
            deadline: now + CALL_TIMEOUT_MS,
        };
        if self.client.start(network, destination, "GET", &request, Purpose::ListPage).is_err() {
            self.reading_failed(now);
        }
    }

    fn reading_failed(&mut self, now: u64) {
        self.reading = None;
        self.next_poll = now + RETRY_INTERVAL_MS;
    }

    /// A call of a duty is over. Returns the update of the table if the list brought one.
    pub fn finished(
        &mut self,
        network: &mut Network,
        finished: Finished<Purpose>,
        table: &mut ServerTable,
        now: u64,
    ) -> Option<ServersUpdate> {
        match finished.purpose {
            Purpose::Order(order) => {
                let outcome = order_outcome(finished.answer.as_ref().map(|(head, _)| head.status));
                if outcome != (OrderOutcome::Taken { already: false }) {
                    log::info!("weights: order {order:?} ended as {outcome:?}");
                }
                self.planner.answered(now, &order, outcome);
                self.publish(table, now)
            }
            Purpose::Report { instance } => {
                let page = finished.answer.filter(|(head, _)| head.status == 200);
                if let Some(busy) = page.and_then(|(_, body)| order_under_way(&body)) {
                    self.planner.reported(now, &instance, busy);
                }
                None
            }
            Purpose::ListPage => {
                let page = finished.answer.filter(|(head, _)| head.status == 200);
                self.page_read(network, page.map(|(_, body)| body), table, now)
            }
        }
    }

    fn page_read(
        &mut self,
        network: &mut Network,
        body: Option<Vec<u8>>,
        table: &mut ServerTable,
        now: u64,
    ) -> Option<ServersUpdate> {
        let progress = match (self.reading.as_mut(), body) {
            (Some(reading), Some(body)) => reading.page(&body),
            _ => {
                self.reading_failed(now);
                return None;
            }
        };
        match progress {
            Ok(Progress::NextPage { token }) => {
                self.ask_page(network, now, Some(&token));
                None
            }
            Ok(Progress::Complete(servers)) => {
                self.reading = None;
                self.next_poll = now + POLL_INTERVAL_MS;
                self.listed = servers;
                self.publish(table, now)
            }
            Err(error) => {
                log::warn!("discovery: {error}");
                self.reading_failed(now);
                None
            }
        }
    }

    /// Puts the list, with the versions known from orders, into the table.
    fn publish(&mut self, table: &mut ServerTable, now: u64) -> Option<ServersUpdate> {
        let term = self.term?;
        if self.listed.is_empty() {
            return None;
        }
        let mut servers = self.listed.clone();
        for server in &mut servers {
            let (planner, instance) = (&self.planner, &server.instance);
            // A model that is being loaded takes no requests: doors shouldn't try.
            let ready = server.models.iter().filter(|(m, _)| !planner.is_loading_model(now, instance, m));
            let held = ready.map(|(m, listed)| (m.clone(), planner.held(now, server, m, *listed)));
            server.models = held.collect();
        }
        table.replace(term, servers)
    }

    /// Whether this machine may give orders now.
    pub fn holds_orders(&self, now: u64, confirmed_at: Option<u64>) -> bool {
        self.holder.fence(now, confirmed_at, ORDER_VALIDITY_MS).is_some()
    }

    /// Gives the orders that are due.
    pub fn order_weights(
        &mut self,
        network: &mut Network,
        state: &ControlState,
        confirmed_at: Option<u64>,
        table: &mut ServerTable,
        now: u64,
    ) -> Option<ServersUpdate> {
        self.ask_reports(network, now);
        let mut changed = self.planner.settle(now);
        if self.told_models != *state.models() {
            self.told_models = state.models().clone();
            log::info!("weights: models are used so: {:?}", self.told_models);
        }
        self.planner.set_lags(
            state
                .models()
                .iter()
                .map(|(m, u)| (m.clone(), u.lag.unwrap_or(UNKNOWN_LAG).min(MOST_LAG)))
                .collect(),
        );
        let may_order = self.holds_orders(now, confirmed_at);
        if let Some(fence) = self.term.filter(|_| may_order) {
            changed |= self.give_orders(network, state, fence, now);
        }
        if changed { self.publish(table, now) } else { None }
    }

    /// Sends the orders that are due; true if there were any.
    fn give_orders(&mut self, network: &mut Network, state: &ControlState, fence: u64, now: u64) -> bool {
        let servers: Vec<&ServerEntry> = self.listed.iter().collect();
        let orders = self.planner.step(now, state.versions(), &servers);
        let any = !orders.is_empty();
        for order in orders {
            let address = self.listed.iter().find(|s| s.instance == order.instance).map(|s| s.address);
            let Some(address) = address else { continue };
            let single = state.models().get(&order.model).is_none_or(|m| m.single_version);
            log::info!("weights: {} is to load version {} of {}", order.instance, order.version, order.model);
            let request = self.order_request(&order, fence, if single { "wait" } else { "retain" });
            let destination = to_server(address, now, ORDER_TIMEOUT_MS);
            let purpose = Purpose::Order(order);
            let started = self.client.start(network, destination, "POST", &request, purpose);
            if let Err(Purpose::Order(order)) = started {
                self.planner.answered(now, &order, OrderOutcome::Unclear);
            }
        }
        any
    }

    /// Asks servers whose loads should be done whether they are.
    fn ask_reports(&mut self, network: &mut Network, now: u64) {
        for instance in self.planner.probes(now) {
            let Some(server) = self.listed.iter().find(|s| s.instance == instance) else { continue };
            let mut request = Vec::new();
            write_request_line(&mut request, "GET", "/v1/report");
            write_header(&mut request, "Host", "server");
            write_header(&mut request, "Expected-Instance", &instance);
            end_head(&mut request);
            let purpose = Purpose::Report { instance: instance.clone() };
            let destination = to_server(server.address, now, REPORT_TIMEOUT_MS);
            // Without an answer the load counts as done when its time is over.
            let _ = self.client.start(network, destination, "GET", &request, purpose);
        }
    }

    fn order_request(&self, order: &Order, fence: u64, method: &str) -> Vec<u8> {
        let body = json!({
            "operation": "config-version",
            "model": order.model,
            "config-version": order.version,
            "method": method,
            "holder": self.options.name,
            "fence-token": fence,
        });
        let body = body.to_string();
        let mut request = Vec::new();
        write_request_line(&mut request, "POST", "/v1/order");
        write_header(&mut request, "Host", "server");
        write_header(&mut request, "Expected-Instance", &order.instance);
        write_header(&mut request, "Content-Type", "application/json");
        write_number_header(&mut request, "Content-Length", body.len() as u64);
        end_head(&mut request);
        request.extend_from_slice(body.as_bytes());
        request
    }

    /// Whether a storage machine may be emptied, by the sessions known here.
    pub fn retirement(
        &self,
        now: u64,
        state: &ControlState,
        sessions: &SessionTable,
        name: &str,
    ) -> RetirementVerdict {
        let knows_sessions = self.head_since.is_some_and(|since| now >= since + STORE_GRACE_MS);
        match state.stores().get(name) {
            Some(store) if store.retiring => RetirementVerdict::Allowed,
            Some(_) if may_retire(state, sessions, name, self.options.tolerance) => {
                RetirementVerdict::Allowed
            }
            _ if !knows_sessions => RetirementVerdict::Unsure,
            Some(_) => RetirementVerdict::TooFewStay,
            // Refused by the state itself, since nobody of this name has registered.
            None => RetirementVerdict::Allowed,
        }
    }

    /// Changes of the placement of partitions that are due.
    pub fn place(&mut self, now: u64, state: &ControlState, sessions: &SessionTable) -> Option<Change> {
        let since = self.head_since?;
        if now < self.next_placement {
            return None;
        }
        self.next_placement = now + PLACEMENT_INTERVAL_MS;
        let mut live = live_stores(state, sessions);
        if now < since + STORE_GRACE_MS {
            presume_members(state, &mut live);
        }
        let copies = self.options.tolerance + 1;
        let lost = self.lost_partitions(now, state, &live);
        let situation = Situation { live: &live, ready: &self.ready_learners, copies, lost: &lost };
        let changes = if state.partitions().is_empty() {
            if now < since + FIRST_PLACEMENT_WAIT_MS && live.len() <= copies {
                return None;
            }
            placement::first_placement(&situation)
        } else {
            placement::plan(state.partitions(), &situation)
        };
        if changes.is_empty() {
            return None;
        }
        log::info!("placement: {} partitions change: {:?}", changes.len(), changes);
        let epoch_of = |p: u16| state.partitions().get(usize::from(p)).map_or(0, |p| p.epoch);
        self.ready_learners.retain(|(partition, epoch, _)| *epoch >= epoch_of(*partition));
        Some(Change::Place(changes))
    }
}

/// A call to a server: it may send a second answer, which must not meet the next call.
fn to_server(address: NodeAddress, now: u64, timeout_ms: u64) -> Destination {
    let (address, carrier) = (address.socket(), Carrier::OwnConnection);
    Destination { address, carrier, begun_at: now, deadline: now + timeout_ms }
}

impl Duties {
    /// Partitions that nobody holds any more, seen to be so for long enough.
    fn lost_partitions(&mut self, now: u64, state: &ControlState, live: &[LiveStore]) -> BTreeSet<u16> {
        let copies = self.options.tolerance + 1;
        let none = BTreeSet::new();
        let situation = Situation { live, ready: &self.ready_learners, copies, lost: &none };
        let partitions = (0u16..).zip(state.partitions());
        let seen: BTreeSet<u16> = partitions
            .filter(|(p, placement)| placement::is_lost(*p, placement, &situation))
            .map(|(p, _)| p)
            .collect();
        self.lost_since.retain(|partition, _| seen.contains(partition));
        for partition in seen {
            self.lost_since.entry(partition).or_insert(now);
        }
        let is_sure = |since: &u64| now >= since + LOSS_CONFIRMATION_MS;
        let lost: BTreeSet<u16> =
            self.lost_since.iter().filter(|(_, since)| is_sure(since)).map(|(p, _)| *p).collect();
        if !lost.is_empty() {
            log::error!(
                "placement: all machines that held partitions {lost:?} came back with other disks, more than \
                 fault-tolerance bears: they begin anew, their jobs are gone"
            );
        }
        lost
    }
}

fn live_stores(state: &ControlState, sessions: &SessionTable) -> Vec<LiveStore> {
    let stores = sessions.sessions().filter(|s| s.role == Role::Store);
    let live = stores.map(|session| LiveStore {
        member: session.member,
        zone: session.zone.clone(),
        retiring: state.stores().get(&session.name).is_some_and(|r| r.retiring)
            || session.health.is_some_and(|h| h.leaving),
        is_full: session.health.is_some_and(|h| h.used_bytes * 100 > h.capacity_bytes * FULL_PERCENT),
        disk_trouble: session.health.is_some_and(|h| h.disk_trouble),
    });
    live.collect()
}

/// At the beginning of a duty, members without a session count as live: they have yet to open one. A member whose
/// address has another disk by now is lost for certain.
fn presume_members(state: &ControlState, live: &mut Vec<LiveStore>) {
    let members = state.partitions().iter().flat_map(|p| p.members.iter().chain(&p.learners));
    for member in members {
        if live.iter().any(|s| s.member.address == member.address) {
            continue;
        }
        let record = state.stores().values().find(|r| r.member == *member);
        live.push(LiveStore {
            member: *member,
            zone: record.map_or(String::new(), |r| r.zone.clone()),
            retiring: record.is_some_and(|r| r.retiring),
            is_full: false,
            disk_trouble: false,
        });
    }
}

/// Registrations of storage machines that the control state doesn't know as they are.
pub fn registrations(state: &ControlState, sessions: &SessionTable) -> Vec<Change> {
    let stores = sessions.sessions().filter(|s| s.role == Role::Store);
    let unknown = stores.filter(|s| state.stores().get(&s.name).is_none_or(|r| r.member != s.member));
    let change = |s: &crate::sessions::Session| Change::RegisterStore {
        name: s.name.clone(),
        zone: s.zone.clone(),
        member: s.member,
    };
    unknown.map(change).collect()
}

/// Whether enough storage machines would stay if `name` were emptied.
pub fn may_retire(state: &ControlState, sessions: &SessionTable, name: &str, tolerance: usize) -> bool {
    let staying = sessions.sessions().filter(|s| s.role == Role::Store && s.name != name);
    let staying = staying.filter(|s| !state.stores().get(&s.name).is_some_and(|r| r.retiring));
    staying.count() > tolerance
}

/// Whether a server's report says that an order is under way; None if it can't be read.
fn order_under_way(body: &[u8]) -> Option<bool> {
    let report: serde_json::Value = serde_json::from_slice(body).ok()?;
    report.get("utilization")?.as_bool()
}

fn order_outcome(status: Option<u16>) -> OrderOutcome {
    match status {
        Some(202) => OrderOutcome::Taken { already: false },
        Some(200) => OrderOutcome::Taken { already: true },
        Some(409 | 429 | 503) => OrderOutcome::Busy,
        Some(_) => OrderOutcome::Refused,
        None => OrderOutcome::Unclear,
    }
}
