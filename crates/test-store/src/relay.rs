//! A relay of datagrams between front nodes, with one socket per receiving node. It loses, duplicates, delays, reorders
//! and partitions datagrams as a test or a rehearsal configures it.

use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::lock;

/// Longest time until a relay thread checks whether it is stopped and which delayed datagrams are due.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const MAX_DATAGRAM_BYTES: usize = 2048;

/// The faults that the relay injects, which a test may change at any time, and its counters.
#[derive(Default)]
pub struct LinkFaults {
    /// The address that each node receives datagrams on, once the node has reported it.
    pub targets: Vec<Option<SocketAddr>>,
    /// Pairs of a sender and a receiver between which all datagrams are lost.
    pub partitions: BTreeSet<(usize, usize)>,
    /// Fraction of the datagrams that are lost.
    pub loss: f64,
    /// Fraction of the datagrams that arrive twice.
    pub duplication: f64,
    /// Delay of every datagram.
    pub delay: Duration,
    /// Upper bound of a random additional delay, which lets datagrams overtake each other.
    pub jitter: Duration,
    /// State of the random number generator.
    pub random_state: u64,
    /// The number of datagrams forwarded, without duplicates.
    pub forwarded: u64,
    /// The number of datagrams lost, including those lost to partitions.
    pub lost: u64,
}

impl LinkFaults {
    /// Returns a random number from 0 to 1, by Marsaglia's xorshift.
    fn draw(&mut self) -> f64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        (self.random_state >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// A running relay, with one socket for each node that the other nodes send to.
pub struct Relay {
    faults: Arc<Mutex<LinkFaults>>,
    /// The address at which each node is reached by the others.
    pub addresses: Vec<SocketAddr>,
    stopped: Arc<AtomicBool>,
}

impl Relay {
    /// Starts a relay between the given number of nodes.
    ///
    /// # Errors
    /// Returns an error if a socket cannot be created.
    /// If the system gives no socket.
    pub fn start(nodes: usize) -> io::Result<Relay> {
        let faults = Arc::new(Mutex::new(LinkFaults {
            targets: vec![None; nodes],
            random_state: 0x9e37_79b9,
            ..LinkFaults::default()
        }));
        let stopped = Arc::new(AtomicBool::new(false));
        let mut addresses = Vec::new();
        for receiver in 0..nodes {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_read_timeout(Some(POLL_INTERVAL))?;
            addresses.push(socket.local_addr()?);
            let (faults, stopped) = (faults.clone(), stopped.clone());
            thread::spawn(move || relay(receiver, &socket, &faults, &stopped));
        }
        Ok(Relay { faults, addresses, stopped })
    }

    /// Locks the faults, to read or change them.
    pub fn faults(&self) -> MutexGuard<'_, LinkFaults> {
        lock(&self.faults)
    }

    /// Adds a partition, in both directions, between the nodes in `side` and all others of `nodes`.
    pub fn partition(&self, side: &[usize], nodes: usize) {
        let mut faults = lock(&self.faults);
        for &inside in side {
            for outside in (0..nodes).filter(|node| !side.contains(node)) {
                faults.partitions.insert((inside, outside));
                faults.partitions.insert((outside, inside));
            }
        }
    }
}

/// Relays datagrams to one node until the relay is stopped.
fn relay(receiver: usize, socket: &UdpSocket, faults: &Mutex<LinkFaults>, stopped: &AtomicBool) {
    let mut delayed: Vec<(Instant, Vec<u8>)> = Vec::new();
    let mut buffer = [0u8; MAX_DATAGRAM_BYTES];
    while !stopped.load(Relaxed) {
        let now = Instant::now();
        let target = lock(faults).targets[receiver];
        if let Some(target) = target {
            let (due, waiting): (Vec<_>, Vec<_>) = delayed.drain(..).partition(|(at, _)| *at <= now);
            delayed = waiting;
            for (_, datagram) in due {
                // A datagram that the system does not accept is lost, as on a network.
                let _ = socket.send_to(&datagram, target);
            }
        }
        let Ok((length, from)) = socket.recv_from(&mut buffer) else { continue };
        let mut faults = lock(faults);
        let sender = faults.targets.iter().position(|target| *target == Some(from));
        let Some(sender) = sender else { continue };
        if faults.partitions.contains(&(sender, receiver)) || faults.draw() < faults.loss {
            faults.lost += 1;
            continue;
        }
        faults.forwarded += 1;
        let copies = if faults.draw() < faults.duplication { 2 } else { 1 };
        for _ in 0..copies {
            let jitter = faults.jitter.mul_f64(faults.draw());
            delayed.push((Instant::now() + faults.delay + jitter, buffer[..length].to_vec()));
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stopped.store(true, Relaxed);
    }
}
