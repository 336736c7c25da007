//! A stub store on a socket that behaves like [`StoreModel`]: it receives shard requests in frames and sends the
//! responses at the times that the model gives.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use super::{EventLog, locked};
use crate::Nanos;
use crate::invariants::Event;
use crate::scenario::Scenario;
use crate::store_model::{RequestOutcome, StoreModel};
use crate::timeline::Condition;

/// Interval at which a closed or idle listener is checked again.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

struct Response {
    connection: u64,
    /// Query and shard in the notation of the front node.
    request: String,
    frame: Vec<u8>,
    event: Event,
}

#[derive(Default)]
struct PendingResponses {
    /// Responses by due time, then in the order in which they were scheduled.
    due: BinaryHeap<Reverse<(Nanos, u64)>>,
    responses: HashMap<u64, Response>,
    cancelled: HashSet<(u64, String)>,
    count: u64,
}

pub struct StubStore {
    pub address: SocketAddr,
    name: Mutex<String>,
    model: Mutex<StoreModel>,
    is_off: AtomicBool,
    is_over: AtomicBool,
    connections: Mutex<HashMap<u64, TcpStream>>,
    next_connection: AtomicU64,
    pending: Mutex<PendingResponses>,
    more: Condvar,
    log: Arc<EventLog>,
}

impl StubStore {
    pub fn start(
        name: String,
        scenario: &Scenario,
        seed: u64,
        log: Arc<EventLog>,
    ) -> io::Result<Arc<StubStore>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let model = StoreModel::new(&scenario.stores, &scenario.rules, seed);
        let store = Arc::new(StubStore {
            address,
            name: Mutex::new(name),
            model: Mutex::new(model),
            is_off: AtomicBool::new(false),
            is_over: AtomicBool::new(false),
            connections: Mutex::default(),
            next_connection: AtomicU64::new(1),
            pending: Mutex::default(),
            more: Condvar::new(),
            log,
        });
        let (listening, sending) = (store.clone(), store.clone());
        thread::spawn(move || listening.listen(listener));
        thread::spawn(move || sending.send_responses());
        Ok(store)
    }

    pub fn set_condition(&self, condition: Condition) {
        locked(&self.model).condition = condition;
    }

    /// Stops the store's process: all connections break and new ones are refused.
    pub fn stop(&self) {
        self.is_off.store(true, Relaxed);
        self.break_connections();
    }

    /// Starts another process under a name, warming up. Returns when it started.
    pub fn start_again(&self, name: String) -> Nanos {
        *locked(&self.name) = name;
        let now = self.log.now();
        locked(&self.model).start(now);
        self.is_off.store(false, Relaxed);
        now
    }

    pub fn end(&self) {
        self.is_over.store(true, Relaxed);
        self.break_connections();
        self.more.notify_all();
    }

    fn break_connections(&self) {
        locked(&self.pending).responses.clear();
        let connections: Vec<TcpStream> =
            locked(&self.connections).drain().map(|(_, socket)| socket).collect();
        connections.iter().for_each(|socket| drop(socket.shutdown(Shutdown::Both)));
        self.log.observe(Event::ConnectionsLost { store: locked(&self.name).clone() });
    }

    fn listen(self: &Arc<Self>, listener: TcpListener) {
        let mut open = Some(listener);
        while !self.is_over.load(Relaxed) {
            let up = !self.is_off.load(Relaxed) && locked(&self.model).is_up(self.log.now());
            if !up {
                // Closes the listener, so that new connections are refused as if no process listened.
                open = None;
            } else if open.is_none() {
                open = TcpListener::bind(self.address).ok();
            }
            let accepted = open.as_ref().and_then(|listener| {
                listener.set_nonblocking(true).ok()?;
                listener.accept().ok()
            });
            let Some((socket, _)) = accepted else {
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            let _ = socket.set_nonblocking(false);
            let _ = socket.set_nodelay(true);
            let (Ok(kept_socket), connection) =
                (socket.try_clone(), self.next_connection.fetch_add(1, Relaxed))
            else {
                continue;
            };
            locked(&self.connections).insert(connection, kept_socket);
            let served = self.clone();
            thread::spawn(move || {
                let _ = served.read_frames(connection, &socket);
                let _ = socket.shutdown(Shutdown::Both);
                locked(&served.connections).remove(&connection);
            });
        }
    }

    fn read_frames(&self, connection: u64, mut socket: &TcpStream) -> io::Result<()> {
        loop {
            let mut head = [0u8; 4];
            socket.read_exact(&mut head)?;
            let mut frame = vec![0u8; u32::from_be_bytes(head) as usize];
            socket.read_exact(&mut frame)?;
            match frame.split_first() {
                Some((b'1', rest)) => self.read_call(connection, rest)?,
                Some((b'2', id)) => {
                    let request = String::from_utf8_lossy(id).into_owned();
                    if let Some((id, shard)) = split_id(&request) {
                        let store = locked(&self.name).clone();
                        self.log.observe(Event::Cancelled { id, shard, store });
                    }
                    locked(&self.pending).cancelled.insert((connection, request));
                }
                Some((&letter @ (b'3' | b'4'), _)) => {
                    let now = self.log.now();
                    let mut model = locked(&self.model);
                    let report = match letter {
                        b'3' => "S".to_owned(),
                        _ => format!("waiting={},rps={}", model.waiting(now), model.rate()),
                    };
                    let is_unresponsive = model.condition.unresponsive || model.condition.stalled;
                    drop(model);
                    if !is_unresponsive {
                        socket.write_all(&encode_frame(letter, report.as_bytes()))?;
                    }
                }
                _ => return Err(ErrorKind::InvalidData.into()),
            }
        }
    }

    fn read_call(&self, connection: u64, mut rest: &[u8]) -> io::Result<()> {
        let invalid = || io::Error::from(ErrorKind::InvalidData);
        while let Some(end) = rest.iter().position(|&b| b == b'\n') {
            let line = std::str::from_utf8(&rest[..end]).map_err(|_| invalid())?.to_owned();
            let words: Vec<&str> = line.split(' ').collect();
            let [request, _, list, length] = words[..] else { return Err(invalid()) };
            let length: usize = length.parse().map_err(|_| invalid())?;
            rest = rest.get(end + 1 + length..).ok_or_else(invalid)?;
            let (id, shard) = split_id(request).ok_or_else(invalid)?;
            let key = list.split(',').find_map(|word| word.strip_prefix("k=")).map(str::to_owned);
            let store = locked(&self.name).clone();
            let now =
                self.log.observe(Event::AttemptReceived { id: id.clone(), shard, store: store.clone(), key });
            // The first four digits of a request id are the front node that received the query.
            let front_node = id.get(..4).and_then(|d| usize::from_str_radix(d, 16).ok()).unwrap_or(0);
            let (outcome, overload) = locked(&self.model).receive(now, 1.0, front_node);
            if let Some(overload) = overload {
                self.log.observe(Event::Overloaded { store: store.clone(), overload });
                self.break_connections();
                return Err(ErrorKind::ConnectionAborted.into());
            }
            let response = |at, ending: &str, value: &str, event| {
                let frame = encode_frame(b'5', format!("{request} {ending} 1 -\n{value}").as_bytes());
                self.schedule(at, Response { connection, request: request.to_owned(), frame, event });
            };
            match outcome {
                RequestOutcome::Unanswered => {}
                RequestOutcome::Rejected => response(now, "B", "", Event::Rejected { id, shard, store }),
                RequestOutcome::Failed(at) => response(at, "E", "", Event::Failed { id, shard, store }),
                RequestOutcome::Served(at) => {
                    let value = format!("{:016x}", value(&id, shard, &store));
                    response(at, "S", &value.clone(), Event::Served { id, shard, store, value });
                }
            }
        }
        Ok(())
    }

    fn schedule(&self, at: Nanos, response: Response) {
        let mut pending = locked(&self.pending);
        pending.count += 1;
        let count = pending.count;
        pending.due.push(Reverse((at, count)));
        pending.responses.insert(count, response);
        self.more.notify_all();
    }

    fn send_responses(&self) {
        let mut pending = locked(&self.pending);
        while !self.is_over.load(Relaxed) {
            let now = self.log.now();
            match pending.due.peek().copied() {
                Some(Reverse((at, count))) if at <= now => {
                    pending.due.pop();
                    let Some(response) = pending.responses.remove(&count) else { continue };
                    if pending.cancelled.remove(&(response.connection, response.request.clone())) {
                        continue;
                    }
                    drop(pending);
                    let socket =
                        locked(&self.connections).get(&response.connection).and_then(|s| s.try_clone().ok());
                    if let Some(mut socket) = socket {
                        // Recorded before it is sent, so that no later event can depend on an unrecorded response.
                        self.log.observe(response.event);
                        let _ = socket.write_all(&response.frame);
                    }
                    pending = locked(&self.pending);
                }
                Some(Reverse((at, _))) => {
                    let wait = Duration::from_nanos((at - now).max(1) as u64);
                    pending =
                        self.more.wait_timeout(pending, wait).map_or_else(|e| e.into_inner().0, |w| w.0);
                }
                None => {
                    let wait = Duration::from_millis(200);
                    pending =
                        self.more.wait_timeout(pending, wait).map_or_else(|e| e.into_inner().0, |w| w.0);
                }
            }
        }
    }
}

fn encode_frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut frame = (rest.len() as u32 + 1).to_be_bytes().to_vec();
    frame.push(letter);
    frame.extend_from_slice(rest);
    frame
}

/// Splits a shard request's id into the query's id and the shard, which are separated by a dot.
fn split_id(request: &str) -> Option<(String, usize)> {
    let (id, shard) = request.rsplit_once('.')?;
    Some((id.to_owned(), shard.parse().ok()?))
}

/// Returns the value that a store serves for a shard request: a hash that differs for each of them.
fn value(id: &str, shard: usize, store: &str) -> u64 {
    let bytes = id.bytes().chain(shard.to_le_bytes()).chain(store.bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}
