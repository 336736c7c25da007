//! A stub of a store that a front node sends queries to: documents in memory, results from the evaluator of
//! `orchidvalve-search`, and configurable faults. It serves the frame protocol and the search API on one address, and
//! distinguishes them by the first byte of a connection. It is meant for tests, rehearsals and manual trials on loopback,
//! not for production.

mod connection;
pub mod discovery;
mod documents;
mod fault;
mod frames;
pub mod relay;
mod search;

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Instant;

pub use documents::{Documents, RunError, RunResult};
pub use fault::{Fault, FaultPlan, ReplacedResponse};

/// Counters of a store since its start.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// The number of connections accepted.
    pub connections: usize,
    /// The time at which each connection was accepted.
    pub accepted_at: Vec<Instant>,
    /// The number of connections that are currently open.
    pub open: usize,
    /// The payloads of all shard requests, in order of arrival.
    pub payloads: Vec<String>,
    /// The number of shard requests cancelled.
    pub cancelled: usize,
    /// The number of health checks received.
    pub health_checks: usize,
    /// The number of shard requests of the search API rejected before execution.
    pub rejected: u64,
    /// The number of shard requests completed.
    pub completed: u64,
}

/// The state shared by the threads of a store.
struct StoreState {
    documents: Arc<Mutex<Documents>>,
    fault_plan: Mutex<FaultPlan>,
    observations: Mutex<Observations>,
    sockets: Mutex<Vec<TcpStream>>,
    /// Whether held responses may be sent.
    released: Mutex<bool>,
    release: Condvar,
    stopped: AtomicBool,
}

/// Locks a mutex, even if a thread panicked while it held the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl StoreState {
    /// Records a shard request, and returns its fault.
    fn shard_request(&self, payload: &str) -> Option<Fault> {
        lock(&self.observations).payloads.push(payload.to_owned());
        lock(&self.fault_plan).of(payload)
    }

    /// Records a health check, and returns its fault.
    fn health_check(&self) -> Option<Fault> {
        lock(&self.observations).health_checks += 1;
        lock(&self.fault_plan).health_checks
    }

    /// Waits until held responses may be sent.
    fn wait_for_release(&self) {
        let released = self.release.wait_while(lock(&self.released), |released| !*released);
        drop(released.unwrap_or_else(PoisonError::into_inner));
    }
}

/// A stub of a store, which runs until it is dropped.
pub struct Store {
    /// The address that the store listens on.
    pub address: SocketAddr,
    state: Arc<StoreState>,
}

impl Store {
    /// Starts a store. Several stores may share documents, as replicas of one shard.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be listened on.
    pub fn start(listen: SocketAddr, documents: Arc<Mutex<Documents>>) -> io::Result<Store> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let state = Arc::new(StoreState {
            documents,
            fault_plan: Mutex::default(),
            observations: Mutex::default(),
            sockets: Mutex::default(),
            released: Mutex::default(),
            release: Condvar::new(),
            stopped: AtomicBool::new(false),
        });
        let shared = state.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                if shared.stopped.load(Relaxed) {
                    return;
                }
                let shared = shared.clone();
                thread::spawn(move || serve(&shared, &socket));
            }
        });
        Ok(Store { address, state })
    }

    /// Replaces the fault plan for all further requests.
    pub fn set_faults(&self, plan: FaultPlan) {
        *lock(&self.state.fault_plan) = plan;
    }

    /// Returns the counters so far.
    pub fn observations(&self) -> Observations {
        lock(&self.state.observations).clone()
    }

    /// Sets whether held responses may be sent.
    pub fn set_released(&self, released: bool) {
        *lock(&self.state.released) = released;
        self.state.release.notify_all();
    }

    /// Closes all connections without sending anything, as a process that dies does; the store still listens.
    pub fn close_connections(&self) {
        for socket in lock(&self.state.sockets).drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.state.stopped.store(true, Relaxed);
        self.set_released(true);
        self.close_connections();
        // Wakes the listener's thread, which then sees that the store is stopped.
        let _ = TcpStream::connect(self.address);
    }
}

fn serve(state: &StoreState, socket: &TcpStream) {
    let _ = socket.set_nodelay(true);
    if let Ok(clone) = socket.try_clone() {
        lock(&state.sockets).push(clone);
    }
    {
        let mut observations = lock(&state.observations);
        observations.connections += 1;
        observations.accepted_at.push(Instant::now());
        observations.open += 1;
    }
    let mut first = [0];
    // A frame begins with its length, whose first byte is 0; a request of the search API begins with a letter.
    if let Ok(1) = socket.peek(&mut first) {
        let _ = if first[0] == 0 { frames::serve(state, socket) } else { search::serve(state, socket) };
    }
    let _ = socket.shutdown(Shutdown::Both);
    let address = socket.peer_addr().ok();
    let is_other = |other: &TcpStream| other.peer_addr().is_ok() && other.peer_addr().ok() != address;
    lock(&state.sockets).retain(is_other);
    lock(&state.observations).open -= 1;
}
