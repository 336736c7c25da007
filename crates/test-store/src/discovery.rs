//! A stub of the discovery agent: it publishes its complete list, or to a watch the next revision, and misbehaves as a
//! test configures it.

use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::connection::read_more;
use crate::lock;

/// Time after which an unresponsive agent checks again whether it has been stopped.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest watch, in milliseconds.
const MAX_WATCH_MS: i64 = 60_000;

/// How the agent responds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behavior {
    /// The agent responds correctly.
    #[default]
    Normal,
    /// The agent accepts and reads requests, and never responds.
    Silent,
    /// The agent serves requests for the complete list one at a time, each after this delay.
    Slow(Duration),
}

/// A request that the agent has received.
#[derive(Clone, Copy, Debug)]
pub struct ListRequest {
    /// The time at which the request was received.
    pub at: Instant,
    /// The revision that a watch starts from; `None` for a request for the complete list.
    pub from: Option<i64>,
}

struct Published {
    revision: i64,
    members: Value,
    behavior: Behavior,
    requests: Vec<ListRequest>,
}

struct AgentState {
    published: Mutex<Published>,
    changed: Condvar,
    /// Held while a slow response is delayed.
    slow_responses: Mutex<()>,
    sockets: Mutex<Vec<TcpStream>>,
    stopped: AtomicBool,
}

/// A stub of the discovery agent, which runs until it is dropped.
pub struct DiscoveryAgent {
    /// The address that the agent listens on.
    pub address: SocketAddr,
    state: Arc<AgentState>,
}

impl DiscoveryAgent {
    /// Starts an agent. `members` is the JSON array of the members that the list contains.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be listened on.
    pub fn start(listen: SocketAddr, members: Value) -> io::Result<DiscoveryAgent> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let published = Published { revision: 1, members, behavior: Behavior::Normal, requests: Vec::new() };
        let state = Arc::new(AgentState {
            published: Mutex::new(published),
            changed: Condvar::new(),
            slow_responses: Mutex::default(),
            sockets: Mutex::default(),
            stopped: AtomicBool::new(false),
        });
        let shared = state.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                if shared.stopped.load(Relaxed) {
                    return;
                }
                let shared = shared.clone();
                thread::spawn(move || drop(serve(&shared, &socket)));
            }
        });
        Ok(DiscoveryAgent { address, state })
    }

    /// Publishes a new list under the next revision, and sends it to all pending watches.
    pub fn publish(&self, members: Value) {
        let mut published = lock(&self.state.published);
        (published.revision, published.members) = (published.revision + 1, members);
        self.state.changed.notify_all();
    }

    /// Sets the behavior for all pending and future requests.
    pub fn set_behavior(&self, behavior: Behavior) {
        lock(&self.state.published).behavior = behavior;
        self.state.changed.notify_all();
    }

    /// Returns the requests received so far.
    pub fn requests(&self) -> Vec<ListRequest> {
        lock(&self.state.published).requests.clone()
    }

    /// Returns the largest number of requests without a known revision that were received within any span of that length.
    pub fn max_first_requests_within(&self, span: Duration) -> usize {
        let is_first = |request: &&ListRequest| request.from.unwrap_or(0) == 0;
        let times: Vec<Instant> = self.requests().iter().filter(is_first).map(|request| request.at).collect();
        let within = |at: &Instant| times.iter().filter(|other| (*at..*at + span).contains(*other)).count();
        times.iter().map(within).max().unwrap_or(0)
    }

    /// Closes all connections without sending anything.
    pub fn close_connections(&self) {
        for socket in lock(&self.state.sockets).drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for DiscoveryAgent {
    fn drop(&mut self) {
        self.state.stopped.store(true, Relaxed);
        self.state.changed.notify_all();
        self.close_connections();
        // Wakes the listener's thread, which then sees that the agent is stopped.
        let _ = TcpStream::connect(self.address);
    }
}

fn serve(state: &AgentState, mut socket: &TcpStream) -> io::Result<()> {
    if let Ok(clone) = socket.try_clone() {
        lock(&state.sockets).push(clone);
    }
    let mut inbox = Vec::new();
    loop {
        let head = read_head(socket, &mut inbox)?;
        let path = head.split(' ').nth(1).unwrap_or_default();
        let number = |name: &str| {
            let value = path.split(['?', '&']).find_map(|pair| pair.strip_prefix(name))?;
            value.strip_prefix('=')?.parse::<i64>().ok()
        };
        let (from, watch_ms) = (number("from"), number("hold_ms").unwrap_or(0).clamp(0, MAX_WATCH_MS));
        let Some((body, behavior)) = wait_for_list(state, from, watch_ms) else { return Ok(()) };
        if let (Behavior::Slow(delay), None) = (behavior, from) {
            let one_at_a_time = lock(&state.slow_responses);
            thread::sleep(delay);
            drop(one_at_a_time);
        }
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        socket.write_all(format!("{head}{body}").as_bytes())?;
    }
}

fn read_head(socket: &TcpStream, inbox: &mut Vec<u8>) -> io::Result<String> {
    let end = loop {
        if let Some(position) = inbox.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break position + 4;
        }
        read_more(socket, inbox)?;
    };
    let head = String::from_utf8_lossy(&inbox[..end]).into_owned();
    inbox.drain(..end);
    Ok(head)
}

/// Waits until a response is due, and returns its body: a watch waits for a newer revision or its end, and a request to
/// an unresponsive agent until the behavior changes. Returns `None` if the agent is stopped.
fn wait_for_list(state: &AgentState, from: Option<i64>, watch_ms: i64) -> Option<(String, Behavior)> {
    let mut published = lock(&state.published);
    published.requests.push(ListRequest { at: Instant::now(), from });
    let end = Instant::now() + Duration::from_millis(watch_ms as u64);
    loop {
        let left = end.saturating_duration_since(Instant::now());
        let is_due = from.is_none_or(|from| published.revision > from) || left.is_zero();
        if state.stopped.load(Relaxed) {
            return None;
        }
        if published.behavior != Behavior::Silent && is_due {
            break;
        }
        let wait = if published.behavior == Behavior::Silent { STOP_POLL_INTERVAL } else { left };
        let waited = state.changed.wait_timeout(published, wait);
        published = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
    let has_changed = from.is_none_or(|from| published.revision > from);
    let members = if has_changed { published.members.clone() } else { json!([]) };
    let body =
        json!({"revision": published.revision, "complete": has_changed, "members": members}).to_string();
    Some((body, published.behavior))
}
