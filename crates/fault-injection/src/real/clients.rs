//! The clients: threads that send queries when they are due, regardless of how the front nodes handle earlier queries.
//! What a client does after each response is decided in [`crate::load`].

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde::Deserialize;
use serde_json::{Value, json};

use super::exchange::{Connections, ExchangeError, Response};
use super::{EventLog, locked};
use crate::invariants::Event;
use crate::load::{ClientRetries, NextStep, PlannedQuery, Reply};
use crate::scenario::{Effect, Scenario, ms};
use crate::statistics::{OutcomeStatistics, QueryOutcome};
use crate::{MS, Nanos};

/// The number of clients that may wait for a response at once. If all of them wait, the load is sent late, which the
/// statistics record.
const CLIENTS: usize = 192;
const STACK_BYTES: usize = 128 << 10;
/// The longest pause of a client while no try is due.
const PAUSE: Nanos = 50 * MS;

/// A query and the state of its tries.
struct ClientQuery {
    planned: PlannedQuery,
    retries: ClientRetries,
    front_node: usize,
    tries: u32,
    key: Option<String>,
    last_outcome: QueryOutcome,
}

/// Tries that are not due yet, by time and number.
#[derive(Default)]
struct Queue {
    due: BinaryHeap<Reverse<(Nanos, u64)>>,
    queries: HashMap<u64, ClientQuery>,
    count: u64,
}

impl Queue {
    fn push(&mut self, at: Nanos, query: ClientQuery) {
        self.due.push(Reverse((at, self.count)));
        self.queries.insert(self.count, query);
        self.count += 1;
    }
}

struct Shared {
    scenario: Scenario,
    log: Arc<EventLog>,
    queue: Mutex<Queue>,
    more: Condvar,
    front_nodes: Mutex<Vec<Option<SocketAddr>>>,
    connections: Connections,
    statistics: Mutex<OutcomeStatistics>,
    over: AtomicBool,
    ids: AtomicU64,
    begins: Nanos,
}

/// The clients of a run.
pub struct Clients {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    pub fn start(
        scenario: &Scenario,
        log: Arc<EventLog>,
        front_nodes: Vec<Option<SocketAddr>>,
        planned: Vec<PlannedQuery>,
        begins: Nanos,
    ) -> Clients {
        let mut queue = Queue::default();
        for (n, planned) in planned.into_iter().enumerate() {
            let class = &scenario.classes[planned.class];
            let at = begins + planned.at;
            let retries = ClientRetries::new(&scenario.clients, class.effect, at, ms(class.deadline_ms));
            let key = (class.effect == Effect::Receipted).then(|| format!("{:032x}", (n as u128 + 1) << 16));
            let (front_node, last_outcome) = (planned.front_node, QueryOutcome::Lost);
            queue.push(at, ClientQuery { planned, retries, front_node, tries: 0, key, last_outcome });
        }
        let shared = Arc::new(Shared {
            scenario: scenario.clone(),
            log,
            queue: Mutex::new(queue),
            more: Condvar::new(),
            front_nodes: Mutex::new(front_nodes),
            connections: Connections::default(),
            statistics: Mutex::new(OutcomeStatistics::new(scenario)),
            over: AtomicBool::new(false),
            ids: AtomicU64::new(1),
            begins,
        });
        let client = |_| {
            let shared = shared.clone();
            thread::Builder::new().stack_size(STACK_BYTES).spawn(move || shared.run_client()).ok()
        };
        let threads = (0..CLIENTS).filter_map(client).collect();
        Clients { shared, threads }
    }

    /// Sets the addresses of the front nodes; `None` for a front node that is down.
    pub fn set_front_nodes(&self, front_nodes: Vec<Option<SocketAddr>>) {
        *locked(&self.shared.front_nodes) = front_nodes;
    }

    /// Ends the clients and returns the statistics. Queries that have not ended are counted by the outcome of their
    /// last try.
    pub fn end(self) -> OutcomeStatistics {
        self.shared.over.store(true, Relaxed);
        self.shared.more.notify_all();
        for thread in self.threads {
            let _ = thread.join();
        }
        let left: Vec<ClientQuery> = locked(&self.shared.queue).queries.drain().map(|(_, q)| q).collect();
        let now = self.shared.log.now();
        for query in left.into_iter().filter(|query| query.tries > 0) {
            self.shared.record(&query, now, query.last_outcome);
        }
        let mut statistics = locked(&self.shared.statistics);
        std::mem::replace(&mut statistics, OutcomeStatistics::new(&self.shared.scenario))
    }
}

/// The body of a response.
#[derive(Deserialize)]
struct Body {
    entire: bool,
    items: Vec<Item>,
}

#[derive(Deserialize)]
struct Item {
    slice: usize,
    body: String,
}

impl Shared {
    fn run_client(&self) {
        let mut queue = locked(&self.queue);
        while !self.over.load(Relaxed) {
            let now = self.log.now();
            match queue.due.peek().copied() {
                Some(Reverse((at, number))) if at <= now => {
                    queue.due.pop();
                    let Some(mut query) = queue.queries.remove(&number) else { continue };
                    drop(queue);
                    locked(&self.statistics).record_delay(now - at);
                    let again = self.try_once(&mut query);
                    queue = locked(&self.queue);
                    if let Some(at) = again {
                        queue.push(at, query);
                        self.more.notify_one();
                    }
                }
                Some(Reverse((at, _))) => queue = self.pause(queue, at - now),
                None => queue = self.pause(queue, PAUSE),
            }
        }
    }

    fn pause<'a>(&self, queue: MutexGuard<'a, Queue>, time: Nanos) -> MutexGuard<'a, Queue> {
        let time = Duration::from_nanos(time.clamp(1, PAUSE) as u64);
        let woken = self.more.wait_timeout(queue, time);
        woken.map_or_else(|poisoned| poisoned.into_inner().0, |(queue, _)| queue)
    }

    fn record(&self, query: &ClientQuery, now: Nanos, outcome: QueryOutcome) {
        locked(&self.statistics).record(&query.planned, now - self.begins, outcome, query.tries);
    }

    /// Makes one try and returns when the next one is due, if there is one.
    fn try_once(&self, query: &mut ClientQuery) -> Option<Nanos> {
        let front_nodes = locked(&self.front_nodes).clone();
        let count = front_nodes.len();
        // A client whose front node is down uses the next one.
        let up = (0..count)
            .map(|n| (query.front_node + n) % count)
            .find_map(|n| front_nodes[n].map(|address| (n, address)));
        query.tries += 1;
        let (reply, outcome) = match up {
            None => (Reply::Lost, QueryOutcome::Lost),
            Some((front_node, address)) => {
                query.front_node = front_node;
                self.send(query, address)
            }
        };
        query.last_outcome = outcome;
        let now = self.log.now();
        match query.retries.next_step(now, reply) {
            NextStep::Ends => {
                self.record(query, now, outcome);
                None
            }
            NextStep::Again { at, elsewhere } => {
                query.front_node = (query.front_node + usize::from(elsewhere)) % count;
                Some(at)
            }
        }
    }

    fn send(&self, query: &ClientQuery, address: SocketAddr) -> (Reply, QueryOutcome) {
        let id = format!("{:04x}{:012x}", query.front_node, self.ids.fetch_add(1, Relaxed));
        let until = query.retries.until();
        let left = until - self.log.now();
        if left <= 0 {
            return (Reply::Late, QueryOutcome::Late);
        }
        let request = self.request(query, &id, left);
        self.log.observe(Event::QuerySent {
            id: id.clone(),
            front_node: query.front_node,
            class: query.planned.class,
            tenant: query.planned.tenant,
            shards: query.planned.shards.clone(),
            key: query.key.clone(),
            until,
        });
        // The rule tolerates a response within the slack, so the client waits that long.
        let latest = until + ms(self.scenario.rules.slack_ms) * 2;
        match self.connections.exchange(&self.log, address, &request, latest) {
            Ok(response) => self.response_received(id, response),
            Err(ExchangeError::TimedOut) => (Reply::Late, QueryOutcome::Late),
            Err(ExchangeError::NoResponse | ExchangeError::Truncated | ExchangeError::Malformed) => {
                self.log.observe(Event::Unanswered { id });
                (Reply::Lost, QueryOutcome::Lost)
            }
        }
    }

    fn request(&self, query: &ClientQuery, id: &str, left: Nanos) -> String {
        let shards = &query.planned.shards;
        let mass = 1.0 / shards.len() as f64;
        let slices: Vec<Value> = shards.iter().map(|shard| json!({"slice": shard, "mass": mass})).collect();
        let body = json!({"slices": slices, "filter": "rehearsed"}).to_string();
        let mut head = format!(
            "POST /api HTTP/1.1\r\nHost: rehearsal\r\nRequest-Id: {id}\r\nRequest-Class: {}\r\nRequest-Timeout: {}u\r\n",
            self.scenario.classes[query.planned.class].name,
            (left / 1000).max(1)
        );
        if let Some(tenant) = query.planned.tenant {
            head += &format!("Tenant: {}\r\n", self.scenario.tenants[tenant].name);
        }
        if let Some(key) = &query.key {
            head += &format!("Idempotency-Key: {key}\r\n");
        }
        if query.tries > 1 {
            head += "Client-Retry: 1\r\n";
        }
        format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
    }

    fn response_received(&self, id: String, response: Response) -> (Reply, QueryOutcome) {
        let Response { status, retry_after, body } = response;
        let body = serde_json::from_slice::<Body>(&body).ok().filter(|_| status == 200);
        let complete = body.as_ref().is_some_and(|body| body.entire);
        let is_readable = body.is_some();
        let items = body.into_iter().flat_map(|body| body.items);
        let parts = items.map(|item| (item.slice, item.body)).collect();
        self.log.observe(Event::Answered { id, status, complete, parts });
        match status {
            200 if is_readable => {
                (Reply::Answered, if complete { QueryOutcome::Complete } else { QueryOutcome::Partial })
            }
            429 | 503 => (Reply::Rejected(retry_after), QueryOutcome::Rejected),
            _ => (Reply::Expired, QueryOutcome::Expired),
        }
    }
}
