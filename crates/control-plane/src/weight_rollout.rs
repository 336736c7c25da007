//! Weight roll-out: decides which server loads which version of a model's weights next.
//!
//! A load order makes a server load a version. Only a few servers load at a time, since concurrent loads slow each other
//! down. The planner does no I/O: its owner sends the orders and reports their outcomes.

use std::collections::BTreeMap;

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_protocol::messages::ServerEntry;

/// At most one in this many servers of a service, rounded up, loads at the same time.
const LOADING_DIVISOR: usize = 3;
/// A load counts as done after this time, in milliseconds, unless the list shows the version earlier.
const EXPECTED_LOAD_MS: Milliseconds = 700;
/// A server is probed this long before its load would count as done, in milliseconds.
const PROBE_LEAD_MS: Milliseconds = 120;
/// After a probe reports that a load is in progress, the load counts as in progress for at least this time, in
/// milliseconds.
const REPROBE_MS: Milliseconds = 350;
/// An order is sent again if the list does not show its version after this time, in milliseconds.
const REORDER_AFTER_MS: Milliseconds = 5_000;
/// Pause after a failed order, or one that the server rejected because another order is in progress, in milliseconds.
const RETRY_BACKOFF_MS: Milliseconds = 400;

/// An order that makes a server load a version of a model's weights.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct LoadOrder {
    /// Instance id of the server.
    pub instance: String,
    /// Name of the model.
    pub model: String,
    /// Version of the weights to load.
    pub version: u64,
}

/// The outcome of an order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OrderOutcome {
    /// The server has accepted the order.
    Accepted {
        /// Whether the server already holds the version.
        already: bool,
    },
    /// The server has rejected the order because another one is in progress there.
    Busy,
    /// The server is another one than the order names, or does not have the version.
    Refused,
    /// No response was received: the server may have accepted the order.
    Unknown,
}

impl OrderOutcome {
    /// Maps the status of the response to an outcome; `None` means no response. 202: the load has started; 200: the server
    /// already holds the version; 409: another order is in progress, or the server's sequence differs; 412: the fencing
    /// token is lower than one that the server has seen; 421: the address belongs to another server; 400: no such order or
    /// version.
    pub fn from_status(status: Option<u16>) -> OrderOutcome {
        match status {
            Some(202) => OrderOutcome::Accepted { already: false },
            Some(200) => OrderOutcome::Accepted { already: true },
            Some(409 | 429 | 503) => OrderOutcome::Busy,
            Some(_) => OrderOutcome::Refused,
            None => OrderOutcome::Unknown,
        }
    }
}

/// A server and one of its models; at most one order is in progress for each pair. Sorted by server first.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
struct OrderKey {
    /// The platform's instance id of the server.
    instance: String,
    model: String,
}

impl OrderKey {
    fn new(instance: &str, model: &str) -> OrderKey {
        OrderKey { instance: instance.to_owned(), model: model.to_owned() }
    }
}

/// The latest order for a server and a model.
#[derive(Clone, Copy, Debug)]
struct OrderProgress {
    version: u64,
    stage: OrderStage,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum OrderStage {
    /// The order was sent and has no response yet.
    Sent,
    /// The server has been loading since this time.
    Loading { since: u64 },
    /// The server has held the version since this time.
    Done { at: Milliseconds },
    /// No order is sent to the server for this model until this time.
    BackingOff { until: Milliseconds },
}

impl OrderProgress {
    /// Returns whether the order has no response yet, or its load is in progress and expected to continue.
    fn is_loading(&self, now: Milliseconds) -> bool {
        match self.stage {
            OrderStage::Sent => true,
            OrderStage::Loading { since } => now < since + EXPECTED_LOAD_MS,
            OrderStage::Done { .. } | OrderStage::BackingOff { .. } => false,
        }
    }

    fn is_probe_due(&self, now: Milliseconds) -> bool {
        matches!(self.stage, OrderStage::Loading { since } if now + PROBE_LEAD_MS >= since + EXPECTED_LOAD_MS)
    }
}

/// Plans load orders and tracks those in progress, by server and model. Times are in milliseconds.
#[derive(Default, Debug)]
pub struct RolloutPlanner {
    progress: BTreeMap<OrderKey, OrderProgress>,
    /// Number of versions that a server may be behind the latest one and still serve the requests, by model.
    allowed_lags: BTreeMap<String, u64>,
    /// When a server was last probed, by instance id.
    probed_at: BTreeMap<String, u64>,
}

impl RolloutPlanner {
    /// Forgets all orders: another node leads the roll-out.
    pub fn reset(&mut self) {
        self.progress.clear();
    }

    /// Sets how many versions behind the latest one trainers allow, by model; 0 for models that are not in the map. With a
    /// lag of n, each server loads only one in n + 1 versions, and the servers are divided into n + 1 groups that load
    /// different versions.
    pub fn set_allowed_lags(&mut self, allowed_lags: BTreeMap<String, u64>) {
        self.allowed_lags = allowed_lags;
    }

    /// Returns the orders to send now. `latest_versions` holds the latest version of each model. Each returned order must
    /// be followed by [`RolloutPlanner::order_completed`].
    pub fn plan_orders(
        &mut self,
        now: Milliseconds,
        latest_versions: &BTreeMap<String, u64>,
        servers: &[&ServerEntry],
    ) -> Vec<LoadOrder> {
        self.forget_delisted(servers);
        let mut orders = Vec::new();
        let mut services: BTreeMap<&str, Vec<&ServerEntry>> = BTreeMap::new();
        for server in servers.iter().filter(|server| !server.models.is_empty()) {
            services.entry(&server.service).or_default().push(server);
        }
        for servers in services.values() {
            let max_loading = servers.len().div_ceil(LOADING_DIVISOR);
            let mut loading = servers.iter().filter(|server| self.is_loading(now, &server.instance)).count();
            for stale_only in [true, false] {
                for (rank, server) in servers.iter().enumerate() {
                    if loading >= max_loading {
                        break;
                    }
                    if server.draining || self.is_loading(now, &server.instance) {
                        continue;
                    }
                    if let Some(order) = self.next_order(now, rank, server, latest_versions, stale_only) {
                        loading += 1;
                        orders.push(order);
                    }
                }
            }
        }
        orders
    }

    /// Returns the order to send to a server, if there is one. `rank` is the index of the server among those of its
    /// service. `stale_only` skips models whose held version trainers still allow.
    fn next_order(
        &mut self,
        now: Milliseconds,
        rank: usize,
        server: &ServerEntry,
        latest_versions: &BTreeMap<String, u64>,
        stale_only: bool,
    ) -> Option<LoadOrder> {
        for (model, listed) in &server.models {
            let Some(&version) = latest_versions.get(model) else { continue };
            let key = OrderKey::new(&server.instance, model);
            let held = self.held_version(now, server, model, *listed);
            if held >= version || self.is_backing_off(now, &key) {
                continue;
            }
            let lag = self.allowed_lags.get(model).copied().unwrap_or(0);
            let is_stale = held + lag < version;
            let is_its_turn = rank as u64 % (lag + 1) == version % (lag + 1);
            if !is_stale && (stale_only || !is_its_turn) {
                continue;
            }
            self.progress.insert(key, OrderProgress { version, stage: OrderStage::Sent });
            return Some(LoadOrder { instance: server.instance.clone(), model: model.clone(), version });
        }
        None
    }

    /// Returns the version of `model` that a server holds, according to the list and to the orders that it accepted.
    pub fn held_version(&self, now: Milliseconds, server: &ServerEntry, model: &str, listed: u64) -> u64 {
        let key = OrderKey::new(&server.instance, model);
        match self.progress.get(&key) {
            Some(OrderProgress { version, stage: OrderStage::Done { at } })
                if now < at + REORDER_AFTER_MS =>
            {
                listed.max(*version)
            }
            _ => listed,
        }
    }

    fn is_backing_off(&self, now: Milliseconds, key: &OrderKey) -> bool {
        let progress = self.progress.get(key);
        progress
            .is_some_and(|progress| matches!(progress.stage, OrderStage::BackingOff { until } if now < until))
    }

    /// Returns whether an order is in progress at a server.
    pub fn is_loading(&self, now: Milliseconds, instance: &str) -> bool {
        let start = OrderKey::new(instance, "");
        let of_server = self.progress.range(start..).take_while(|(key, _)| key.instance == instance);
        of_server.into_iter().any(|(_, progress)| progress.is_loading(now))
    }

    /// Returns whether an order for this model is in progress at a server. The server accepts no new requests for the model
    /// then.
    pub fn is_loading_model(&self, now: Milliseconds, instance: &str, model: &str) -> bool {
        let key = OrderKey::new(instance, model);
        self.progress.get(&key).is_some_and(|progress| progress.is_loading(now))
    }

    /// Returns the servers to probe now, shortly before their loads would count as done.
    pub fn due_probes(&mut self, now: Milliseconds) -> Vec<String> {
        let due = self.progress.iter().filter(|(_, progress)| progress.is_probe_due(now));
        let due: Vec<String> = due.map(|(key, _)| key.instance.clone()).collect();
        self.probed_at.retain(|_, at| now < *at + PROBE_LEAD_MS);
        let unprobed: Vec<String> =
            due.into_iter().filter(|instance| !self.probed_at.contains_key(instance)).collect();
        for instance in &unprobed {
            self.probed_at.insert(instance.clone(), now);
        }
        unprobed
    }

    /// Processes the response to a probe: whether an order is in progress. If so, the load continues at least until the
    /// next probe.
    pub fn probe_completed(&mut self, now: Milliseconds, instance: &str, is_loading: bool) {
        for (_, progress) in self.progress.iter_mut().filter(|(key, _)| key.instance == instance) {
            if let OrderStage::Loading { since } = &mut progress.stage {
                *since = if is_loading {
                    (*since).max((now + REPROBE_MS).saturating_sub(EXPECTED_LOAD_MS))
                } else {
                    now.saturating_sub(EXPECTED_LOAD_MS)
                };
            }
        }
    }

    /// Records the outcome of an order.
    pub fn order_completed(&mut self, now: Milliseconds, order: &LoadOrder, outcome: OrderOutcome) {
        let stage = match outcome {
            OrderOutcome::Accepted { already: true } => OrderStage::Done { at: now },
            OrderOutcome::Accepted { already: false } => OrderStage::Loading { since: now },
            OrderOutcome::Busy | OrderOutcome::Unknown => {
                OrderStage::BackingOff { until: now + RETRY_BACKOFF_MS }
            }
            OrderOutcome::Refused => OrderStage::BackingOff { until: now + REORDER_AFTER_MS },
        };
        let key = OrderKey::new(&order.instance, &order.model);
        self.progress.insert(key, OrderProgress { version: order.version, stage });
    }

    /// Marks loads as done that have lasted for their expected time, and forgets pauses that are over. Returns whether any
    /// load was marked.
    pub fn finish_due_loads(&mut self, now: Milliseconds) -> bool {
        let mut finished = false;
        self.progress.retain(
            |_, progress| !matches!(progress.stage, OrderStage::BackingOff { until } if until <= now),
        );
        for progress in self.progress.values_mut() {
            if let OrderStage::Loading { since } = progress.stage
                && now >= since + EXPECTED_LOAD_MS
            {
                progress.stage = OrderStage::Done { at: now };
                finished = true;
            }
        }
        finished
    }

    /// Returns when [`RolloutPlanner::finish_due_loads`] or [`RolloutPlanner::plan_orders`] has to be called next; `None`
    /// if no order is in progress or pausing.
    pub fn next_wakeup(&self) -> Option<Milliseconds> {
        let due = |(key, progress): (&OrderKey, &OrderProgress)| match progress.stage {
            OrderStage::Sent | OrderStage::Done { .. } => None,
            OrderStage::Loading { since } if self.probed_at.contains_key(&key.instance) => {
                Some(since + EXPECTED_LOAD_MS)
            }
            OrderStage::Loading { since } => Some((since + EXPECTED_LOAD_MS).saturating_sub(PROBE_LEAD_MS)),
            OrderStage::BackingOff { until } => Some(until),
        };
        self.progress.iter().filter_map(due).min()
    }

    fn forget_delisted(&mut self, servers: &[&ServerEntry]) {
        if self.progress.len() > servers.len() * 4 {
            self.progress.retain(|key, _| servers.iter().any(|server| server.instance == key.instance));
        }
    }
}
