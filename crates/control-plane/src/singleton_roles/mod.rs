//! The singleton roles of the head of the control chain: reading the platform's list of servers, placing partitions,
//! ordering new weights, reporting usage and scaling services.
//!
//! The roles pass to another node as soon as it becomes the head. Every start of a head has a leadership term of its own
//! that is higher than all earlier ones ([`crate::node::ControlNode::leadership_term`]); server tables and orders carry it.

mod list_polling;
mod order_sender;
mod partition_placement;
mod platform_calls;
mod scaling;
mod usage_reporting;

use std::net::SocketAddrV4;

use orchidvalve_chain_replication::{Epoch, Milliseconds};
use orchidvalve_http::{write_head_end, write_header, write_request_line};
use orchidvalve_net::{ConnectionId, Network};
use orchidvalve_protocol::messages::ServerTableUpdate;
use orchidvalve_protocol::server_table::ServerTable;

use self::list_polling::{ListPolling, PolledPage};
use self::order_sender::{Rollout, is_order_in_progress};
use self::partition_placement::PlacementRole;
use self::platform_calls::CallPacing;
use self::scaling::ScalingRole;
use self::usage_reporting::UsageReporting;
use crate::discovery::REQUEST_TIMEOUT_MS;
use crate::http_client::{
    CONNECT_TIMEOUT_MS, CompletedExchange, ConnectionUse, ExchangeTarget, HttpClient, NEW_USER_TIMEOUT_MS,
};
use crate::role_lease::{LeaseWaits, RoleLease};
use crate::scaling_planner::ScalingOrder;
use crate::weight_rollout::{LoadOrder, OrderOutcome};

pub use self::partition_placement::{may_retire, registrations};
pub use self::usage_reporting::{DECISION_DELAY_MS, USAGE_REPORTING_ROLE, log_usage_decision, usage_status};

/// A node gives orders only if a quorum has confirmed it as the head within this time, in milliseconds: two rounds of
/// pings.
pub const ORDER_VALIDITY_MS: Milliseconds = 450;
/// An order arrives at its server at most this long after the last confirmation of the head that sent it, in
/// milliseconds. The sum covers the time until it is sent, until it is handed to the operating system, and until the
/// system has retransmitted it after a loss on the network.
pub const ORDER_ARRIVAL_MS: Milliseconds = ORDER_VALIDITY_MS + CONNECT_TIMEOUT_MS + NEW_USER_TIMEOUT_MS;

/// Minimum time between two versions of the server table, in milliseconds. While weights change, many orders complete
/// within it, and each version is sent to every subscriber.
const PUBLISH_INTERVAL_MS: Milliseconds = 50;

/// The purpose of an HTTP exchange of a singleton role.
#[derive(Debug)]
pub enum ExchangePurpose {
    /// A page of the platform's list.
    ListPage {
        /// Number of the reading that the page belongs to.
        read_number: u64,
    },
    /// An order to a server.
    Order(LoadOrder),
    /// A probe of a server, which reports whether its load is done.
    Probe {
        /// Instance id of the probed server.
        instance: String,
    },
    /// The usage report of one window, sent to the platform.
    UsageReport {
        /// Number of the window.
        window: u64,
    },
    /// A scaling order, sent to the platform.
    Scaling(ScalingOrder),
}

/// Settings of the singleton roles.
#[derive(Clone, Default, Debug)]
pub struct SingletonRoleOptions {
    /// Name of the machine that this node runs on, sent with its orders.
    pub name: String,
    /// Address of the platform's API; `None` if there is no platform.
    pub platform: Option<SocketAddrV4>,
    /// Length of the lease, in milliseconds: after an order, no other node may give orders for this time.
    pub lease_ms: Milliseconds,
    /// Number of store nodes that may be lost at once.
    pub tolerance: usize,
    /// Roles that the platform allows the system to act in, by their names in the settings.
    pub enabled_platform_roles: Vec<String>,
    /// Maximum number of platform calls per second that the platform accepts from all nodes together.
    pub platform_calls_per_second: f64,
    /// Length of a usage window, in milliseconds.
    pub usage_window_ms: Milliseconds,
    /// Time after the end of a usage window by which its report is due, in milliseconds.
    pub usage_report_deadline_ms: Milliseconds,
}

/// The time for which this node has been the head, and its leadership term.
#[derive(Default, Debug)]
struct Tenure {
    head_since: Option<Milliseconds>,
    /// Since when this node has been the head with a quorum. Processes are given time from here on to open their sessions.
    sessions_since: Option<Milliseconds>,
    /// The leadership term, once the entry that begins it is committed. Nothing is published or ordered without a term.
    term: Option<u64>,
}

/// The singleton roles and their state, which is empty while this node is not the head. Times are in milliseconds.
pub struct SingletonRoles {
    options: SingletonRoleOptions,
    client: HttpClient<ExchangePurpose>,
    tenure: Tenure,
    lease: RoleLease,
    list: ListPolling,
    rollout: Rollout,
    placement: PlacementRole,
    scaling: ScalingRole,
    publication: Publication,
    /// Limits the rate of platform calls.
    platform_call_pacing: CallPacing,
    usage: UsageReporting,
}

/// Schedules the publication of the server table.
#[derive(Default, Debug)]
struct Publication {
    last_at: Option<Milliseconds>,
    /// Whether the list or the held versions have changed since the last publication.
    is_pending: bool,
}

impl Publication {
    /// Returns when the pending change has to be published; `None` if no change is pending.
    fn due_at(&self) -> Option<Milliseconds> {
        self.is_pending.then(|| self.last_at.map_or(0, |at| at + PUBLISH_INTERVAL_MS))
    }

    /// Returns whether the pending change is due now; if so, it counts as published.
    fn take_due(&mut self, now: Milliseconds) -> bool {
        let is_due = self.due_at().is_some_and(|at| at <= now);
        if is_due {
            *self = Publication { last_at: Some(now), is_pending: false };
        }
        is_due
    }
}

impl SingletonRoles {
    /// Creates the roles of a node that is not the head yet.
    pub fn new(options: SingletonRoleOptions) -> SingletonRoles {
        SingletonRoles {
            platform_call_pacing: CallPacing::new(options.platform_calls_per_second),
            usage: UsageReporting::default(),
            options,
            client: HttpClient::default(),
            tenure: Tenure::default(),
            lease: RoleLease::default(),
            list: ListPolling::default(),
            rollout: Rollout::default(),
            placement: PlacementRole::default(),
            scaling: ScalingRole::default(),
            publication: Publication::default(),
        }
    }

    /// Processes a change of views. `was_head` says whether the head of this view was also the head of the view just
    /// before.
    pub fn view_changed(&mut self, now: Milliseconds, epoch: Epoch, is_head: bool, was_head: bool) {
        self.tenure.term = None;
        if !is_head {
            self.tenure = Tenure::default();
            self.lease.release();
            self.rollout.stop();
            self.list.stop();
            self.placement.forget_losses();
            self.usage.stop();
            self.scaling.stop();
            self.publication = Publication::default();
            return;
        }
        // Every confirmation of the former head was earlier than this view.
        let waits = LeaseWaits {
            after_another_head: self.options.lease_ms + ORDER_ARRIVAL_MS,
            // Bytes that an exited process had not written to its sockets are lost with it.
            after_own_process: NEW_USER_TIMEOUT_MS,
            after_own_term: CONNECT_TIMEOUT_MS + NEW_USER_TIMEOUT_MS,
        };
        self.lease.acquire(now, epoch, was_head, waits);
        if self.tenure.head_since.is_none() {
            self.tenure.head_since = Some(now);
            self.tenure.sessions_since = Some(now);
            self.list.begin(now);
        }
    }

    /// Sets whether this node has a quorum. All sessions end while it has none, so it knows no sessions when it has one
    /// again: it waits for them as at the beginning of its tenure, even if it is still the head of the same view.
    pub fn set_has_quorum(&mut self, now: Milliseconds, has_quorum: bool) {
        if !has_quorum {
            self.tenure.sessions_since = None;
            self.placement.forget_losses();
        } else if self.tenure.head_since.is_some() {
            self.tenure.sessions_since.get_or_insert(now);
        }
    }

    /// Sets the leadership term of the singleton roles; `None` while this node may not act in them.
    pub fn set_term(&mut self, term: Option<u64>) {
        self.tenure.term = term;
    }

    /// Returns whether this node may give orders and call the platform now. `confirmed_at` is the last time at which a
    /// quorum was in this node's view.
    pub fn may_act(&self, now: Milliseconds, confirmed_at: Option<Milliseconds>) -> bool {
        self.lease.valid_epoch(now, confirmed_at, ORDER_VALIDITY_MS).is_some()
    }

    /// Returns the term under which this node may give orders and call the platform now; `None` if it may not.
    fn fencing_token(&self, now: Milliseconds, confirmed_at: Option<Milliseconds>) -> Option<u64> {
        self.tenure.term.filter(|_| self.may_act(now, confirmed_at))
    }

    /// Returns the next time at which a role has something to do.
    pub fn next_wakeup(&self) -> Milliseconds {
        if self.tenure.head_since.is_none() {
            return u64::MAX;
        }
        let rollout = self.rollout.next_wakeup().unwrap_or(u64::MAX);
        let deadline = self.client.next_deadline().unwrap_or(u64::MAX);
        let publication = self.tenure.term.and_then(|_| self.publication.due_at()).unwrap_or(u64::MAX);
        let usage = self.tenure.term.map(|_| self.usage.next_wakeup(self.platform_call_pacing.next_at()));
        let usage = usage.unwrap_or(u64::MAX);
        let platform_roles = usage.min(self.next_scaling());
        rollout.min(deadline).min(self.list.next_wakeup()).min(publication).min(platform_roles)
    }

    /// Returns whether this connection carries an exchange of a singleton role.
    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.client.owns(connection)
    }

    /// Returns the HTTP client with the exchanges in flight.
    pub fn client(&mut self) -> &mut HttpClient<ExchangePurpose> {
        &mut self.client
    }

    /// Starts a reading of the platform's list, or requests a page of it again, if that is due.
    pub fn poll_list(&mut self, network: &mut Network, now: Milliseconds) {
        if self.tenure.head_since.is_none() {
            return;
        }
        if self.list.is_due(now) {
            self.list.start_read();
            self.request_page(network, now, None);
        } else if let Some(retry) = self.list.take_due_retry(now) {
            self.request_page(network, now, retry.token.as_deref());
        }
    }

    fn request_page(&mut self, network: &mut Network, now: Milliseconds, token: Option<&str>) {
        let Some(platform) = self.options.platform else { return };
        let path = match token {
            None => "/instances".to_owned(),
            Some(token) => format!("/instances?page-token={token}"),
        };
        let mut request = Vec::new();
        write_request_line(&mut request, "GET", &path);
        write_header(&mut request, "Host", &platform.to_string());
        write_head_end(&mut request);
        let target = ExchangeTarget {
            address: platform,
            connection_use: ConnectionUse::Reused,
            started_at: now,
            deadline: now + REQUEST_TIMEOUT_MS,
        };
        let purpose = ExchangePurpose::ListPage { read_number: self.list.read_number() };
        if self.client.start(network, target, "GET", &request, purpose).is_err() {
            self.list.fail(now);
        }
    }

    /// Processes a completed exchange of a singleton role. Returns the update of the server table if there is one.
    pub fn exchange_completed(
        &mut self,
        network: &mut Network,
        completed: CompletedExchange<ExchangePurpose>,
        table: &mut ServerTable,
        now: Milliseconds,
    ) -> Option<ServerTableUpdate> {
        let status = completed.response.as_ref().map(|response| response.head.status);
        let succeeded = completed.response.filter(|response| response.head.status == 200);
        let body = succeeded.map(|response| response.body);
        match completed.purpose {
            ExchangePurpose::Order(order) => {
                self.order_completed(network, &order, OrderOutcome::from_status(status), now);
                self.publish(table, now)
            }
            ExchangePurpose::Probe { instance } => {
                let is_busy = body.and_then(|body| is_order_in_progress(&body));
                self.probe_completed(network, &instance, is_busy, now);
                None
            }
            ExchangePurpose::UsageReport { window } => {
                self.usage_report_completed(window, status, now);
                None
            }
            ExchangePurpose::Scaling(order) => {
                self.scaling_order_completed(&order, status, now);
                None
            }
            ExchangePurpose::ListPage { read_number } if read_number != self.list.read_number() => None,
            ExchangePurpose::ListPage { .. } => {
                let can_publish = self.tenure.term.is_some();
                match self.list.page_received(body.as_deref(), can_publish, now) {
                    PolledPage::NextPage { token } => {
                        self.request_page(network, now, Some(&token));
                        None
                    }
                    PolledPage::Complete => self.publish(table, now),
                    PolledPage::Failed => None,
                }
            }
        }
    }

    /// Publishes a change of the list or of the versions known from orders in the server table: now, or after the minimum
    /// time since the last publication.
    fn publish(&mut self, table: &mut ServerTable, now: Milliseconds) -> Option<ServerTableUpdate> {
        self.publication.is_pending = !self.list.servers().is_empty();
        self.publish_if_due(table, now)
    }

    /// Publishes the list, with the versions known from orders, in the server table if a change is pending and due.
    pub fn publish_if_due(
        &mut self,
        table: &mut ServerTable,
        now: Milliseconds,
    ) -> Option<ServerTableUpdate> {
        let term = self.tenure.term?;
        if !self.publication.take_due(now) {
            return None;
        }
        let mut servers = self.list.servers().to_vec();
        for server in &mut servers {
            server.models = self.rollout.available_models(server, now);
        }
        table.replace(term, servers)
    }
}
