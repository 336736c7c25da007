//! Weight roll-out: which server is to load which version of a model's weights next.
//!
//! An order makes a server load a version. Only a few servers load at a time, since loads slow each other down. The
//! planner does no I/O: its owner sends the orders and tells how they ended.

use std::collections::BTreeMap;

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_protocol::messages::ServerEntry;

/// One in this many servers of a service may load at the same time.
const LOADING_DIVISOR: usize = 3;
/// A load counts as done after this time, in milliseconds, where the list doesn't show it sooner.
const EXPECTED_LOAD_MS: Milliseconds = 700;
/// A server is asked whether its load is done this long before it would count as done, in milliseconds.
const PROBE_LEAD_MS: Milliseconds = 120;
/// A load that wasn't done lasts at least this much longer, in milliseconds.
const REPROBE_MS: Milliseconds = 350;
/// An order whose version the list still doesn't show after this time, in milliseconds, is given again.
const REORDER_AFTER_MS: Milliseconds = 5_000;
/// Pause after an order that was refused because another one is in progress, or that failed, in milliseconds.
const RETRY_BACKOFF_MS: Milliseconds = 400;

/// An order to a server.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct LoadOrder {
    /// The server.
    pub instance: String,
    /// The model whose weights it is to load.
    pub model: String,
    /// Version of the weights.
    pub version: u64,
}

/// How an order ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OrderOutcome {
    /// The server has accepted it.
    Accepted {
        /// Whether the server holds the version already.
        already: bool,
    },
    /// Another order is in progress at the server; nothing was accepted.
    Busy,
    /// The server isn't the one that was meant, or knows of no such version.
    Refused,
    /// No response: it may have been accepted.
    Unknown,
}

impl OrderOutcome {
    /// What the status of the response to an order says; `None` for no response. 202: it is being done; 200: it holds
    /// already; 409: another one is in progress, or the server's sequence differs; 412: a fencing token lower than one
    /// that it has seen; 421: another server has its address; 400: no such order or version.
    pub fn of(status: Option<u16>) -> OrderOutcome {
        match status {
            Some(202) => OrderOutcome::Accepted { already: false },
            Some(200) => OrderOutcome::Accepted { already: true },
            Some(409 | 429 | 503) => OrderOutcome::Busy,
            Some(_) => OrderOutcome::Refused,
            None => OrderOutcome::Unknown,
        }
    }
}

/// A server and a model that it holds: there is at most one order in progress for both. Sorted by server first.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
struct OrderKey {
    /// The platform's id of the server.
    instance: String,
    model: String,
}

impl OrderKey {
    fn new(instance: &str, model: &str) -> OrderKey {
        OrderKey { instance: instance.to_owned(), model: model.to_owned() }
    }
}

/// The latest order of a model's weights to a server.
#[derive(Clone, Copy, Debug)]
struct OrderProgress {
    version: u64,
    stage: OrderStage,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum OrderStage {
    /// Sent, without a response yet.
    Sent,
    /// The server is loading since this time.
    Loading { since: u64 },
    /// The server holds the version since this time.
    Done { at: Milliseconds },
    /// To be tried again at this time.
    BackingOff { until: Milliseconds },
}

impl OrderProgress {
    /// Whether the order is sent, or its load in progress and not expected to be done.
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

/// Orders given and in progress, by server and model. Times are in milliseconds.
#[derive(Default, Debug)]
pub struct RolloutPlanner {
    progress: BTreeMap<OrderKey, OrderProgress>,
    /// How many versions behind the newest a server may be and still serve what is asked, by model.
    allowed_lags: BTreeMap<String, u64>,
    /// Servers that were asked whether their load is done, and when.
    probed_at: BTreeMap<String, u64>,
}

impl RolloutPlanner {
    /// Forgets all orders: another node leads the roll-out.
    pub fn reset(&mut self) {
        self.progress.clear();
    }

    /// Trainers allow versions that are so far behind the newest; none are allowed for models that aren't listed.
    /// With a lag of n, every server loads one version in n + 1 only, each of n + 1 groups of servers another one.
    pub fn set_allowed_lags(&mut self, allowed_lags: BTreeMap<String, u64>) {
        self.allowed_lags = allowed_lags;
    }

    /// Orders to be sent now, by the newest version of each model. Each has to be followed by
    /// [`RolloutPlanner::order_answered`].
    pub fn plan_orders(
        &mut self,
        now: Milliseconds,
        newest_versions: &BTreeMap<String, u64>,
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
                    if let Some(order) = self.next_order(now, rank, server, newest_versions, stale_only) {
                        loading += 1;
                        orders.push(order);
                    }
                }
            }
        }
        orders
    }

    /// The order that a server is to get. `rank` is its index among those of its service; `stale_only` passes over
    /// versions that trainers still allow.
    fn next_order(
        &mut self,
        now: Milliseconds,
        rank: usize,
        server: &ServerEntry,
        newest_versions: &BTreeMap<String, u64>,
        stale_only: bool,
    ) -> Option<LoadOrder> {
        for (model, listed) in &server.models {
            let Some(&version) = newest_versions.get(model) else { continue };
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

    /// The version of `model` that a server holds, by the version that the list shows and the orders it accepted.
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

    /// Whether an order is in progress at a server.
    pub fn is_loading(&self, now: Milliseconds, instance: &str) -> bool {
        let start = OrderKey::new(instance, "");
        let of_server = self.progress.range(start..).take_while(|(key, _)| key.instance == instance);
        of_server.into_iter().any(|(_, progress)| progress.is_loading(now))
    }

    /// Whether an order for this model is in progress at a server: it takes no new requests for the model.
    pub fn is_loading_model(&self, now: Milliseconds, instance: &str, model: &str) -> bool {
        let key = OrderKey::new(instance, model);
        self.progress.get(&key).is_some_and(|progress| progress.is_loading(now))
    }

    /// Servers that have to be asked now whether their load is done, before it would count as done.
    pub fn due_probes(&mut self, now: Milliseconds) -> Vec<String> {
        let due = self.progress.iter().filter(|(_, progress)| progress.is_probe_due(now));
        let due: Vec<String> = due.map(|(key, _)| key.instance.clone()).collect();
        self.probed_at.retain(|_, at| now < *at + PROBE_LEAD_MS);
        let fresh: Vec<String> =
            due.into_iter().filter(|instance| !self.probed_at.contains_key(instance)).collect();
        for instance in &fresh {
            self.probed_at.insert(instance.clone(), now);
        }
        fresh
    }

    /// A server told whether an order is in progress. A load that isn't done lasts at least until the next probe.
    pub fn probe_answered(&mut self, now: Milliseconds, instance: &str, busy: bool) {
        for (_, progress) in self.progress.iter_mut().filter(|(key, _)| key.instance == instance) {
            if let OrderStage::Loading { since } = &mut progress.stage {
                *since = if busy {
                    (*since).max((now + REPROBE_MS).saturating_sub(EXPECTED_LOAD_MS))
                } else {
                    now.saturating_sub(EXPECTED_LOAD_MS)
                };
            }
        }
    }

    /// An order has ended.
    pub fn order_answered(&mut self, now: Milliseconds, order: &LoadOrder, outcome: OrderOutcome) {
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

    /// Loads that have had their time count as done, true if any came to that; pauses that are over are
    /// forgotten.
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

    /// When [`RolloutPlanner::finish_due_loads`] or [`RolloutPlanner::plan_orders`] have to be called next, if any
    /// order is open.
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
