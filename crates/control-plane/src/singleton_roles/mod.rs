//! The singleton roles of the head of the control chain: reading the platform's list, placing partitions, ordering
//! new weights, reporting usage and scaling services.
//!
//! Another node has them as soon as it is the head, and every start of a head has a term of its own, higher than all
//! before ([`crate::node::ControlNode::leadership_term`]): server tables and orders bear it.

mod duty_calls;
mod list_polling;
mod order_sender;
mod partition_placement;
mod scaling;
mod usage_reporting;

use std::net::SocketAddrV4;

use orchidvalve_chain_replication::{Epoch, Milliseconds};
use orchidvalve_http::{write_head_end, write_header, write_request_line};
use orchidvalve_net::{ConnectionId, Network};
use orchidvalve_protocol::messages::ServerTableUpdate;
use orchidvalve_protocol::server_table::ServerTable;

use self::duty_calls::CallPacing;
use self::list_polling::{ListPolling, PolledPage};
use self::order_sender::{Rollout, is_order_in_progress};
use self::partition_placement::PlacementRole;
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
pub use self::usage_reporting::{DECISION_DELAY_MS, USAGE_REPORTING_DUTY, log_usage_decision, usage_status};

/// A quorum has to have confirmed this node as head within this time before it gives an order: two rounds of
/// pings, in milliseconds.
pub const ORDER_VALIDITY_MS: Milliseconds = 450;
/// An order arrives at its server at most this long after the last confirmation of its head: it is given, handed to the
/// system and retransmitted by it after a loss on the way, each in its time. In milliseconds.
pub const ORDER_ARRIVAL_MS: Milliseconds = ORDER_VALIDITY_MS + CONNECT_TIMEOUT_MS + NEW_USER_TIMEOUT_MS;

/// Least time between two versions of the server table, in milliseconds: while weights change, servers answer many orders
/// within it, and each version goes to every subscriber.
const PUBLISH_INTERVAL_MS: Milliseconds = 50;

/// What an exchange of a singleton role is for.
#[derive(Debug)]
pub enum ExchangePurpose {
    /// A page of the platform's list.
    ListPage {
        /// Number of the reading that it is for.
        read_number: u64,
    },
    /// An order to a server.
    Order(LoadOrder),
    /// The question whether a load is done.
    Probe {
        /// The server that is asked.
        instance: String,
    },
    /// The report of usage in one window.
    UsageReport {
        /// Number of the window.
        window: u64,
    },
    /// An order to the platform.
    Scaling(ScalingOrder),
}

/// Facts that the singleton roles go by.
#[derive(Clone, Default, Debug)]
pub struct SingletonRoleOptions {
    /// Name of this machine, given in its orders.
    pub name: String,
    /// Where the platform's list is read; there may be none.
    pub platform: Option<SocketAddrV4>,
    /// Nobody else may give orders for this time after an order, in milliseconds.
    pub lease_ms: Milliseconds,
    /// Store nodes that may be lost at once.
    pub tolerance: usize,
    /// What the platform lets the system do, by the names of the settings.
    pub duties: Vec<String>,
    /// Calls a second that the platform takes from all nodes together.
    pub duty_per_s: f64,
    /// Length of a window of usage, in milliseconds.
    pub usage_window_ms: Milliseconds,
    /// The report of a window is due so long after its end, in milliseconds.
    pub usage_late_ms: Milliseconds,
}

/// Since when this node has been the head, and what it may do as such.
#[derive(Default, Debug)]
struct Tenure {
    head_since: Option<Milliseconds>,
    /// Since when this node has been the head with a quorum: processes are given time to open their sessions.
    sessions_since: Option<Milliseconds>,
    /// The leadership term, once it is committed; nothing is published or ordered without one.
    term: Option<u64>,
}

/// The singleton roles, as far as this node has them. Times are in milliseconds.
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
    /// When the platform may be called in the roles that it bounds.
    duty_pacing: CallPacing,
    usage: UsageReporting,
}

/// When the server table is published.
#[derive(Default, Debug)]
struct Publication {
    last_at: Option<Milliseconds>,
    /// Something has changed since.
    is_pending: bool,
}

impl Publication {
    /// When what is pending is due.
    fn due_at(&self) -> Option<Milliseconds> {
        self.is_pending.then(|| self.last_at.map_or(0, |at| at + PUBLISH_INTERVAL_MS))
    }

    /// Whether what is pending is due now; if so, it is pending no more.
    fn take_due(&mut self, now: Milliseconds) -> bool {
        let is_due = self.due_at().is_some_and(|at| at <= now);
        if is_due {
            *self = Publication { last_at: Some(now), is_pending: false };
        }
        is_due
    }
}

impl SingletonRoles {
    /// The roles of a node that isn't the head yet.
    pub fn new(options: SingletonRoleOptions) -> SingletonRoles {
        SingletonRoles {
            duty_pacing: CallPacing::new(options.duty_per_s),
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

    /// A view has begun. `was_head` says that its head was that of the view just before, too.
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
        // No confirmation of the former head is later than this view.
        let waits = LeaseWaits {
            after_another_head: self.options.lease_ms + ORDER_ARRIVAL_MS,
            // What an ended process had not written is lost with it.
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

    /// Whether this node has a quorum. All sessions end while it hasn't, so it knows none when it has one again: it has
    /// to wait for them as at the beginning of its tenure, also where it is the head of the same view.
    pub fn set_has_quorum(&mut self, now: Milliseconds, has_quorum: bool) {
        if !has_quorum {
            self.tenure.sessions_since = None;
            self.placement.forget_losses();
        } else if self.tenure.head_since.is_some() {
            self.tenure.sessions_since.get_or_insert(now);
        }
    }

    /// The roles are acted in under this term from now on, or not at all.
    pub fn set_term(&mut self, term: Option<u64>) {
        self.tenure.term = term;
    }

    /// Whether this node may give orders and call the platform now. `confirmed_at` is when a quorum was last in its view.
    pub fn may_act(&self, now: Milliseconds, confirmed_at: Option<Milliseconds>) -> bool {
        self.lease.valid_epoch(now, confirmed_at, ORDER_VALIDITY_MS).is_some()
    }

    /// The term under which this node may give orders and call the platform now, if it may.
    fn fencing_token(&self, now: Milliseconds, confirmed_at: Option<Milliseconds>) -> Option<u64> {
        self.tenure.term.filter(|_| self.may_act(now, confirmed_at))
    }

    /// When something is due next by time.
    pub fn next_wakeup(&self) -> Milliseconds {
        if self.tenure.head_since.is_none() {
            return u64::MAX;
        }
        let rollout = self.rollout.next_wakeup().unwrap_or(u64::MAX);
        let deadline = self.client.next_deadline().unwrap_or(u64::MAX);
        let publication = self.tenure.term.and_then(|_| self.publication.due_at()).unwrap_or(u64::MAX);
        let usage = self.tenure.term.map(|_| self.usage.next_wakeup(self.duty_pacing.next_at()));
        let usage = usage.unwrap_or(u64::MAX);
        let duties = usage.min(self.next_scaling());
        rollout.min(deadline).min(self.list.next_wakeup()).min(publication).min(duties)
    }

    /// Whether this connection carries an exchange of a singleton role.
    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.client.owns(connection)
    }

    /// The exchanges in flight.
    pub fn client(&mut self) -> &mut HttpClient<ExchangePurpose> {
        &mut self.client
    }

    /// Begins to read the platform's list, or requests a page of it once more, when that is due.
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

    /// An exchange of a singleton role is over. Returns the update of the server table if it brought one.
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
                self.order_answered(network, &order, OrderOutcome::of(status), now);
                self.publish(table, now)
            }
            ExchangePurpose::Probe { instance } => {
                let is_busy = body.and_then(|body| is_order_in_progress(&body));
                self.probe_answered(network, &instance, is_busy, now);
                None
            }
            ExchangePurpose::UsageReport { window } => {
                self.usage_report_answered(window, status, now);
                None
            }
            ExchangePurpose::Scaling(order) => {
                self.scaling_answered(&order, status, now);
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

    /// The list or the versions known from orders have changed: they are put into the server table, now or a moment
    /// after the last time.
    fn publish(&mut self, table: &mut ServerTable, now: Milliseconds) -> Option<ServerTableUpdate> {
        self.publication.is_pending = !self.list.servers().is_empty();
        self.publish_if_due(table, now)
    }

    /// Puts the list, with the versions known from orders, into the server table if that is due.
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
