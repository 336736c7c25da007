//! The store on a thread of its own, behind a bounded queue, so that who hands records over never waits for a disk.
//!
//! State is latest-wins: where the queue is full, records of state wait with their sender, one a key, and a later one
//! takes an earlier one's place. Receipts are never merged or dropped in silence: one that finds no room is refused.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Condvar, Mutex, OnceLock, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};

use crate::index::View;
use crate::store::{Batch, Compacted, Store};

/// How durable a record is to be before it counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// Told of once it is on the disk; those that come together share a sync.
    Durable,
    /// On the disk within the time and the bytes that the keeper was given.
    Soon,
}

#[derive(Clone, Copy, Debug)]
pub struct KeeperOrders {
    /// Batches that may wait.
    pub queue: usize,
    /// Keys whose state may wait with a sender.
    pub held: usize,
    /// How long, and for how many bytes, what was handed over as soon may go without a sync.
    pub soon_within: Duration,
    pub soon_bytes: u64,
    /// Batches that may share a sync.
    pub group: usize,
}

impl Default for KeeperOrders {
    fn default() -> Self {
        KeeperOrders {
            queue: 1024,
            held: 4096,
            soon_within: Duration::from_millis(200),
            soon_bytes: 1 << 20,
            group: 256,
        }
    }
}

/// Between two looks at whether a merge may go on, and whether one is worth it.
const BUDGET_WAIT: Duration = Duration::from_millis(20);
const IDLE_WAIT: Duration = Duration::from_secs(1);

/// What was counted so far.
#[derive(Debug, Default)]
pub struct KeeperCounts {
    pub batches: AtomicU64,
    pub syncs: AtomicU64,
    /// Writes and syncs that failed.
    pub faults: AtomicU64,
    /// State that a later one took the place of before it was written.
    pub merged: AtomicU64,
    /// Batches that found no room.
    pub refused: AtomicU64,
    pub compactions: AtomicU64,
}

enum Letter {
    Batch(Batch, Option<Owed>),
    Compact(Owed),
    Stop,
}

type Outcome = Result<u64, String>;

/// Where those who wait for a sync are woken: all of them by one call, as one by one the last would wait for the rest.
#[derive(Default)]
struct Bell {
    rung: Mutex<()>,
    heard: Condvar,
}

impl Bell {
    fn ring(&self) {
        drop(self.rung.lock().unwrap_or_else(PoisonError::into_inner));
        self.heard.notify_all();
    }
}

/// The keeper's end of a ticket: one that is dropped without a word says that the keeper has ended.
struct Owed {
    slot: Arc<OnceLock<Outcome>>,
    bell: Arc<Bell>,
}

impl Owed {
    fn tell(&self, outcome: Outcome) {
        let _ = self.slot.set(outcome);
    }
}

impl Drop for Owed {
    fn drop(&mut self) {
        if self.slot.set(Err("the keeper has ended".to_owned())).is_ok() {
            self.bell.ring();
        }
    }
}

/// Told of the sequence once a batch is durable, or of why it is not.
pub struct Ticket {
    slot: Arc<OnceLock<Outcome>>,
    bell: Arc<Bell>,
}

impl Ticket {
    fn new(bell: &Arc<Bell>) -> (Owed, Ticket) {
        let slot = Arc::new(OnceLock::new());
        let owed = Owed { slot: slot.clone(), bell: bell.clone() };
        (owed, Ticket { slot, bell: bell.clone() })
    }

    pub fn wait(self) -> Result<u64, String> {
        let mut rung = self.bell.rung.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            if let Some(outcome) = self.slot.get() {
                return outcome.clone();
            }
            rung = self.bell.heard.wait(rung).unwrap_or_else(PoisonError::into_inner);
        }
    }
}

/// One sender's way to the store.
pub struct Hand {
    letters: Sender<Letter>,
    bell: Arc<Bell>,
    counts: Arc<KeeperCounts>,
    held_most: usize,
    /// State that found the queue full: by keyspace and key, the value or its deletion.
    held: BTreeMap<(u16, Vec<u8>), Option<Vec<u8>>>,
}

impl Hand {
    /// Notes the state of a key, which goes with the next [`Hand::flush`]: all that is noted between two of them is one
    /// batch. Never waits. False where there is no room for it at all: then nothing of it is kept, and it is counted.
    pub fn state(&mut self, space: u16, key: &[u8], value: Option<&[u8]>) -> bool {
        let at = (space, key.to_vec());
        if self.held.len() >= self.held_most && !self.held.contains_key(&at) && !self.flush() {
            self.counts.refused.fetch_add(1, Relaxed);
            return false;
        }
        if self.held.insert(at, value.map(<[u8]>::to_vec)).is_some() {
            self.counts.merged.fetch_add(1, Relaxed);
        }
        true
    }

    /// Passes on what waits here and waits for a place in the queue; false where the keeper has ended.
    pub fn finish(mut self) -> bool {
        let batch = self.take_held();
        batch.is_empty() || self.letters.send(Letter::Batch(batch, None)).is_ok()
    }

    fn take_held(&mut self) -> Batch {
        let held = std::mem::take(&mut self.held);
        held.into_iter().fold(Batch::new(), |batch, ((space, key), value)| match value {
            Some(value) => batch.put(space, &key, &value),
            None => batch.delete(space, &key),
        })
    }

    /// Passes on what waits here, all of it in one batch; false where the queue is still full.
    pub fn flush(&mut self) -> bool {
        if self.held.is_empty() {
            return true;
        }
        let mut batch = Batch::new();
        for ((space, key), value) in &self.held {
            batch = match value {
                Some(value) => batch.put(*space, key, value),
                None => batch.delete(*space, key),
            };
        }
        let sent = self.letters.try_send(Letter::Batch(batch, None)).is_ok();
        if sent {
            self.held.clear();
        }
        sent
    }

    /// Keys whose state waits here.
    pub fn waiting(&self) -> usize {
        self.held.len()
    }

    /// Hands over a batch that must not be merged; state that waits goes before it. Refused where the queue is full.
    pub fn receipt(&mut self, batch: Batch) -> Result<Ticket, Batch> {
        if !self.flush() {
            self.counts.refused.fetch_add(1, Relaxed);
            return Err(batch);
        }
        let (owed, ticket) = Ticket::new(&self.bell);
        match self.letters.try_send(Letter::Batch(batch, Some(owed))) {
            Ok(()) => Ok(ticket),
            Err(TrySendError::Full(letter) | TrySendError::Disconnected(letter)) => {
                self.counts.refused.fetch_add(1, Relaxed);
                match letter {
                    Letter::Batch(batch, _) => Err(batch),
                    Letter::Compact(_) | Letter::Stop => Err(Batch::new()),
                }
            }
        }
    }

    /// Hands over a batch, waiting for a place in the queue.
    pub fn append(&self, batch: Batch, durability: Durability) -> Result<Option<Ticket>, String> {
        let pair = (durability == Durability::Durable).then(|| Ticket::new(&self.bell));
        let (owed, ticket) = pair.unzip();
        self.letters.send(Letter::Batch(batch, owed)).map_err(|_| "the keeper has ended".to_owned())?;
        Ok(ticket)
    }
}

pub struct Keeper {
    letters: Sender<Letter>,
    bell: Arc<Bell>,
    counts: Arc<KeeperCounts>,
    published: Arc<ArcSwap<View>>,
    held_most: usize,
    thread: Option<JoinHandle<Store>>,
}

impl Keeper {
    /// Takes the store to a thread of its own.
    pub fn start(store: Store, orders: KeeperOrders) -> io::Result<Keeper> {
        let (letters, inbox) = bounded(orders.queue);
        let counts = Arc::new(KeeperCounts::default());
        let published = store.published();
        let (kept, bell) = (counts.clone(), Arc::new(Bell::default()));
        let rung = bell.clone();
        let thread = std::thread::Builder::new().name("logbook".to_owned());
        let thread =
            thread.spawn(move || Bench { store, orders, inbox, bell: rung, counts: kept }.serve())?;
        Ok(Keeper { letters, bell, counts, published, held_most: orders.held, thread: Some(thread) })
    }

    pub fn hand(&self) -> Hand {
        let (letters, bell, counts) = (self.letters.clone(), self.bell.clone(), self.counts.clone());
        Hand { letters, bell, counts, held_most: self.held_most, held: BTreeMap::new() }
    }

    pub fn counts(&self) -> &KeeperCounts {
        &self.counts
    }

    /// The store as it is now; no lock, and no wait for the disk.
    pub fn view(&self) -> Arc<View> {
        self.published.load_full()
    }

    /// Merges all that is worth it, whatever the budget; gives the bytes of the store afterwards.
    pub fn compact(&self) -> Result<u64, String> {
        let (owed, ticket) = Ticket::new(&self.bell);
        self.letters.send(Letter::Compact(owed)).map_err(|_| "the keeper has ended".to_owned())?;
        ticket.wait()
    }

    /// Writes and syncs what was handed over, and ends.
    pub fn stop(mut self) -> Option<Store> {
        let _ = self.letters.send(Letter::Stop);
        self.thread.take()?.join().ok()
    }
}

impl Drop for Keeper {
    fn drop(&mut self) {
        let _ = self.letters.send(Letter::Stop);
        self.thread.take().into_iter().for_each(|thread| drop(thread.join()));
    }
}

/// What runs on the thread.
struct Bench {
    store: Store,
    orders: KeeperOrders,
    inbox: Receiver<Letter>,
    bell: Arc<Bell>,
    counts: Arc<KeeperCounts>,
}

impl Bench {
    fn serve(mut self) -> Store {
        let began = Instant::now();
        // When what is written has to be synced, and its bytes.
        let (mut due, mut bytes): (Option<Instant>, u64) = (None, 0);
        // Those who shared the last sync, and what it took.
        let (mut expected, mut last_sync) = (0, Duration::ZERO);
        // How soon compaction goes on where nothing else is to do.
        let (mut next_step, mut look_at) = (Duration::ZERO, Instant::now());
        loop {
            let wait =
                due.map_or(next_step, |due| due.saturating_duration_since(Instant::now()).min(next_step));
            let first = self.inbox.recv_timeout(wait);
            self.store.tick(i64::try_from(began.elapsed().as_nanos()).unwrap_or(i64::MAX));
            let (mut tickets, mut stop) = (Vec::new(), false);
            let letters: Vec<Letter> = match first {
                Ok(first) => {
                    self.gather(expected, last_sync);
                    let rest = self.inbox.try_iter().take(self.orders.group - 1);
                    std::iter::once(first).chain(rest).collect()
                }
                Err(RecvTimeoutError::Timeout) => Vec::new(),
                Err(RecvTimeoutError::Disconnected) => vec![Letter::Stop],
            };
            let idle = letters.is_empty();
            let (mut batches, mut owners, mut written) = (Vec::new(), Vec::new(), false);
            for letter in letters {
                match letter {
                    Letter::Batch(batch, told) => {
                        bytes += batch.size();
                        batches.push(batch);
                        owners.push(told);
                    }
                    Letter::Compact(told) => {
                        written |= self.append(&mut batches, &mut owners, &mut tickets);
                        told.tell(self.compact_all());
                        self.bell.ring();
                    }
                    Letter::Stop => stop = true,
                }
            }
            written |= self.append(&mut batches, &mut owners, &mut tickets);
            if written {
                due.get_or_insert_with(|| Instant::now() + self.orders.soon_within);
            }
            let late = due.is_some_and(|due| due <= Instant::now()) || bytes >= self.orders.soon_bytes;
            if !tickets.is_empty() || late || stop && due.is_some() {
                self.counts.syncs.fetch_add(1, Relaxed);
                expected = tickets.len();
                let asked = Instant::now();
                let synced = self.store.sync();
                last_sync = asked.elapsed();
                if let Err(fault) = &synced {
                    self.counts.faults.fetch_add(1, Relaxed);
                    tickets.drain(..).for_each(|(told, _)| told.tell(Err(fault.to_string())));
                    // Tried again, and not at once: a disk that fails is not helped by haste.
                    due = Some(Instant::now() + self.orders.soon_within);
                } else {
                    (due, bytes) = (None, 0);
                    tickets.drain(..).for_each(|(told, sequence)| told.tell(Ok(sequence)));
                }
                self.bell.ring();
            }
            if stop {
                return self.store;
            }
            // A step where nothing else is to do, and one beside the work when its time has come.
            if idle || Instant::now() >= look_at {
                next_step = match self.store.compact() {
                    Ok(Compacted::Run(..)) => {
                        self.counts.compactions.fetch_add(1, Relaxed);
                        Duration::ZERO
                    }
                    Ok(Compacted::Some(_) | Compacted::Damaged(_)) => Duration::ZERO,
                    Ok(Compacted::Later) => BUDGET_WAIT,
                    Ok(Compacted::Nothing) => IDLE_WAIT,
                    Err(_) => {
                        self.counts.faults.fetch_add(1, Relaxed);
                        IDLE_WAIT
                    }
                };
                look_at = Instant::now() + next_step;
            }
        }
    }

    /// Those who were told together ask again together: a sync for the first of them alone would make the others wait
    /// for two. They are waited for, no longer than a part of what a sync takes.
    fn gather(&self, expected: usize, last_sync: Duration) {
        let began = Instant::now();
        while self.inbox.len() + 1 < expected.min(self.orders.group) && began.elapsed() * 4 < last_sync {
            std::hint::spin_loop();
        }
    }

    /// Whether anything was written.
    fn append(
        &mut self,
        batches: &mut Vec<Batch>,
        owners: &mut Vec<Option<Owed>>,
        tickets: &mut Vec<(Owed, u64)>,
    ) -> bool {
        let mut written = false;
        self.counts.batches.fetch_add(batches.len() as u64, Relaxed);
        let told = self.store.append_many(std::mem::take(batches));
        for (result, owner) in told.into_iter().zip(owners.drain(..)) {
            match result {
                Ok(sequence) => {
                    written = true;
                    tickets.extend(owner.map(|told| (told, sequence)));
                }
                Err(fault) => {
                    self.counts.faults.fetch_add(1, Relaxed);
                    if let Some(owed) = owner {
                        owed.tell(Err(fault.to_string()));
                        self.bell.ring();
                    }
                }
            }
        }
        written
    }

    fn compact_all(&mut self) -> Result<u64, String> {
        self.store.sync().map_err(|e| e.to_string())?;
        loop {
            match self.store.compact_unbounded() {
                Ok(Compacted::Nothing | Compacted::Later | Compacted::Damaged(_)) => {
                    return Ok(self.store.bytes());
                }
                Ok(Compacted::Run(..)) => {
                    self.counts.compactions.fetch_add(1, Relaxed);
                }
                Ok(Compacted::Some(_)) => {}
                Err(fault) => return Err(fault.to_string()),
            }
        }
    }
}
