//! The state that the node keeps across restarts: the last endpoint list with its age, and the ejections of replicas.
//! It is written by the log store's own thread, so that no round waits for a disk. Persistence is disabled unless a
//! settings file names a directory.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use derive_more::{Display, Error, From};
use orchidvalve::decisions::EjectionRecord;
use orchidvalve::interface::{Nanos, ReplicaIndex};
use orchidvalve_log_store::background_writer::{BackgroundWriter, PendingWrite, WriterHandle, WriterOptions};
use orchidvalve_log_store::disk::real::RealDisk;
use orchidvalve_log_store::{
    Batch, CompactionOptions, Corruption, LogStore, LogStoreOptions, OpenError, RecoveryReport, Snapshot,
    TornTail,
};
use orchidvalve_maintenance::raft_group::RecoveredLog;
use serde::{Deserialize, Serialize};

use crate::log;
use crate::membership::Endpoint;
use crate::metrics::Gauge;
use crate::settings_file::{SectionName, SettingsFileError, parse};

/// The purpose recorded in the log store. A log store with another purpose is not opened.
pub const STORE_NAME: &str = "orchidvalve-node";

/// Keyspace of the endpoint list's revision.
pub const REVISION_KEYSPACE: u16 = 1;
/// Keyspace of the endpoints.
pub const ENDPOINT_KEYSPACE: u16 = 2;
/// Keyspace of the last known ejection state of each replica.
pub const EJECTION_KEYSPACE: u16 = 3;
/// Keyspace of the node's start times.
pub const START_KEYSPACE: u16 = 4;
/// Keyspace of the maintenance group's log; `orchidvalve-maintenance` defines its keys.
pub const MAINTENANCE_KEYSPACE: u16 = 5;
/// Key of the revision in its keyspace.
const REVISION_KEY: &str = "heard";
/// Key of the start times in their keyspace.
const STARTS_KEY: &str = "lately";
/// The number of start times that are kept.
const MAX_STARTS: usize = 16;

const SECTION: SectionName = SectionName("logbook");

/// The operator's file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LogbookFile {
    logbook: LogbookKeys,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LogbookKeys {
    dir: String,
    #[serde(default = "LogbookKeys::segment_mb")]
    segment_mb: u64,
    #[serde(default = "LogbookKeys::queue")]
    queue: usize,
    #[serde(default = "LogbookKeys::held")]
    held: usize,
    #[serde(default = "LogbookKeys::soon_ms")]
    soon_ms: u64,
    #[serde(default = "LogbookKeys::checkpoints")]
    checkpoints: bool,
    #[serde(default = "LogbookKeys::compaction_mb_a_second")]
    compaction_mb_a_second: u64,
    #[serde(default = "LogbookKeys::free_least_mb")]
    free_least_mb: u64,
}

impl LogbookKeys {
    fn segment_mb() -> u64 {
        4
    }
    fn queue() -> usize {
        1024
    }
    fn held() -> usize {
        4096
    }
    fn soon_ms() -> u64 {
        200
    }
    fn checkpoints() -> bool {
        true
    }
    fn compaction_mb_a_second() -> u64 {
        16
    }
    fn free_least_mb() -> u64 {
        64
    }
}

/// The location and the options of the log store.
#[derive(Clone, Debug)]
pub struct PersistenceSettings {
    /// The directory of the log store.
    pub directory: String,
    store: LogStoreOptions,
    writer: WriterOptions,
}

impl PersistenceSettings {
    /// Parses the operator's file.
    ///
    /// # Errors
    ///
    /// Fails if a key is missing, unknown or out of bounds.
    ///
    /// ```
    /// use orchidvalve_frontnode::persistence::PersistenceSettings;
    ///
    /// assert!(PersistenceSettings::read("[logbook]\ndir = \"book\"\n").is_ok());
    /// let error = PersistenceSettings::read("[logbook]\ndir = \"book\"\nsegment_mb = 0\n").unwrap_err();
    /// assert_eq!(error.to_string(), "logbook.segment_mb: should be 1 to 1024, not 0");
    /// ```
    pub fn read(text: &str) -> Result<PersistenceSettings, SettingsFileError> {
        let keys = parse::<LogbookFile>(text)?.logbook;
        SECTION.check_range("segment_mb", keys.segment_mb, 1, 1024)?;
        SECTION.check_range("queue", keys.queue, 1, 1 << 20)?;
        SECTION.check_range("held", keys.held, 1, 1 << 20)?;
        SECTION.check_range("soon_ms", keys.soon_ms, 1, 60_000)?;
        SECTION.check_range("compaction_mb_a_second", keys.compaction_mb_a_second, 1, 1 << 20)?;
        if keys.dir.is_empty() {
            return Err(SECTION.error("dir", "should name a directory"));
        }
        let budget = keys.compaction_mb_a_second << 20;
        let compaction = CompactionOptions {
            bytes_per_second: budget,
            burst_bytes: budget,
            min_free_bytes: keys.free_least_mb << 20,
            ..CompactionOptions::default()
        };
        let store = LogStoreOptions {
            segment_bytes: keys.segment_mb << 20,
            checkpoints: keys.checkpoints,
            compaction,
            ..LogStoreOptions::named(STORE_NAME)
        };
        let writer = WriterOptions {
            queue_capacity: keys.queue,
            max_buffered_keys: keys.held,
            max_sync_delay: Duration::from_millis(keys.soon_ms),
            ..WriterOptions::default()
        };
        Ok(PersistenceSettings { directory: keys.dir, store, writer })
    }
}

/// Why the log store cannot be opened.
#[derive(Debug, Display, Error)]
#[display("logbook.dir: {directory}: {cause}")]
pub struct PersistenceError {
    /// The configured directory.
    pub directory: String,
    /// The cause of the failure.
    #[error(source)]
    pub cause: PersistenceErrorCause,
}

/// The cause of a [`PersistenceError`].
#[derive(Debug, Display, Error, From)]
pub enum PersistenceErrorCause {
    /// The directory cannot be created, or the writer thread cannot be started.
    #[display("{_0}")]
    Io(io::Error),
    /// The log store cannot be opened.
    #[display("{_0}")]
    Open(#[error(not(source))] OpenError),
}

/// The revision of the endpoint list and the time when discovery published it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRevision {
    /// The revision.
    pub revision: i64,
    /// When it was received, in nanoseconds since the Unix epoch.
    pub at: Nanos,
}

/// The ejection state of a replica when it last changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredEjection {
    /// Since when it has been ejected; `None` if it is not ejected.
    #[serde(rename = "aside")]
    pub ejected_since: Option<Nanos>,
    /// How often it failed again after it had been readmitted.
    pub relapses: u32,
    /// When this state changed.
    pub at: Nanos,
}

/// The state that an earlier run of the node left on disk.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// The revision of the endpoint list.
    pub revision: Option<StoredRevision>,
    /// The endpoints, by their ids.
    pub endpoints: BTreeMap<String, Endpoint>,
    /// The ejection states, by the replicas' ids.
    pub ejections: BTreeMap<String, StoredEjection>,
    /// The last start times of the node.
    pub starts: Vec<Nanos>,
    /// The maintenance group's log; empty unless this node is a member of the group.
    pub maintenance_log: RecoveredLog,
    /// The number of records that could not be read.
    pub unreadable: usize,
}

impl RecoveredState {
    /// Reads the state from a snapshot of the log store.
    pub fn read(snapshot: &Snapshot) -> RecoveredState {
        let mut state = RecoveredState::default();
        let unreadable = &mut state.unreadable;
        state.revision = read_one(snapshot, REVISION_KEYSPACE, REVISION_KEY, unreadable);
        state.starts = read_one(snapshot, START_KEYSPACE, STARTS_KEY, unreadable).unwrap_or_default();
        state.maintenance_log = read_maintenance_log(snapshot, unreadable);
        state.endpoints = read_all(snapshot, ENDPOINT_KEYSPACE, unreadable);
        state.ejections = read_all(snapshot, EJECTION_KEYSPACE, unreadable);
        state
    }
}

fn read_one<T: for<'a> Deserialize<'a>>(
    snapshot: &Snapshot,
    keyspace: u16,
    key: &str,
    unreadable: &mut usize,
) -> Option<T> {
    match snapshot
        .get(keyspace, key.as_bytes())
        .map(|value| value.map(|value| serde_json::from_slice(&value)))
    {
        Ok(None) => None,
        Ok(Some(Ok(value))) => Some(value),
        _ => {
            *unreadable += 1;
            None
        }
    }
}

fn read_maintenance_log(snapshot: &Snapshot, unreadable: &mut usize) -> RecoveredLog {
    let mut log = RecoveredLog::default();
    for (key, value) in snapshot.scan(MAINTENANCE_KEYSPACE) {
        let read = value.is_ok_and(|value| log.insert_record(&key, value));
        *unreadable += usize::from(!read);
    }
    log
}

fn read_all<T: for<'a> Deserialize<'a>>(
    snapshot: &Snapshot,
    keyspace: u16,
    unreadable: &mut usize,
) -> BTreeMap<String, T> {
    let mut all = BTreeMap::new();
    for (key, value) in snapshot.scan(keyspace) {
        let value = value.ok().and_then(|value| serde_json::from_slice(&value).ok());
        match (String::from_utf8(key), value) {
            (Ok(key), Some(value)) => {
                all.insert(key, value);
            }
            _ => *unreadable += 1,
        }
    }
    all
}

/// The node's persistent state.
pub struct PersistentState {
    writer: BackgroundWriter,
    handle: WriterHandle,
    /// The last written ejection state of the replica in each slot; only changes are written.
    ejections: Vec<Option<EjectionRecord>>,
    /// The state that an earlier run left, until it is taken.
    recovered: Option<RecoveredState>,
    /// Stored replicas that no complete list of discovery has confirmed or removed yet.
    unconfirmed: BTreeSet<String>,
}

impl PersistentState {
    /// Opens the log store and logs a summary of its contents.
    ///
    /// # Errors
    ///
    /// Fails if the directory cannot be created or the log store cannot be opened.
    pub fn open(settings: &PersistenceSettings, now: Nanos) -> Result<PersistentState, PersistenceError> {
        let open = || -> Result<_, PersistenceErrorCause> {
            let disk = RealDisk::open_or_create(Path::new(&settings.directory))?;
            Ok(LogStore::open(Arc::new(disk), settings.store.clone())?)
        };
        let error = |cause| PersistenceError { directory: settings.directory.clone(), cause };
        let (store, found) = open().map_err(error)?;
        log_recovery(&found);
        let recovered = RecoveredState::read(&store.snapshot());
        let age = recovered.revision.map_or("no endpoint list".to_owned(), |stored| {
            format!(
                "endpoint list revision {} from {} s ago",
                stored.revision,
                (now - stored.at).max(0) / 1_000_000_000
            )
        });
        let ejected = recovered.ejections.values().filter(|stored| stored.ejected_since.is_some()).count();
        let (endpoints, unreadable) = (recovered.endpoints.len(), recovered.unreadable);
        log!(
            "logbook: {age}, {endpoints} replicas, {ejected} of them ejected, {unreadable} records unreadable"
        );
        let writer = BackgroundWriter::start(store, settings.writer).map_err(|io| error(io.into()))?;
        let mut starts = recovered.starts.clone();
        starts.push(now);
        starts.drain(..starts.len().saturating_sub(MAX_STARTS));
        let mut state = PersistentState {
            handle: writer.handle(),
            writer,
            ejections: Vec::new(),
            unconfirmed: recovered.endpoints.keys().cloned().collect(),
            recovered: Some(recovered),
        };
        state.write(START_KEYSPACE, STARTS_KEY, Some(&starts));
        Ok(state)
    }

    /// Queues a batch; the returned handle reports when it is durable.
    ///
    /// # Errors
    ///
    /// Returns the batch if the queue is full.
    pub fn write_durably(&mut self, batch: Batch) -> Result<PendingWrite, Batch> {
        self.handle.try_append(batch)
    }

    /// Takes the state that an earlier run left; `None` from the second call on.
    pub fn take_recovered(&mut self) -> Option<RecoveredState> {
        self.recovered.take()
    }

    /// Removes stored replicas that a complete list of discovery does not name. Otherwise replicas that were removed
    /// while the node was down would stay on disk if the stored list was never used.
    pub fn remove_unlisted(&mut self, is_listed: impl Fn(&str) -> bool) {
        for id in std::mem::take(&mut self.unconfirmed) {
            if !is_listed(&id) {
                self.remove_endpoint(&id);
            }
        }
    }

    fn write<T: Serialize>(&mut self, keyspace: u16, key: &str, value: Option<&T>) {
        let value = value.and_then(|value| serde_json::to_vec(value).ok());
        self.handle.update(keyspace, key.as_bytes(), value.as_deref());
    }

    /// Stores the revision that discovery published.
    pub fn write_revision(&mut self, revision: i64, at: Nanos) {
        self.write(REVISION_KEYSPACE, REVISION_KEY, Some(&StoredRevision { revision, at }));
    }

    /// Stores a replica as discovery currently lists it, or deletes it if it was removed permanently.
    pub fn write_endpoint(&mut self, endpoint: &Endpoint) {
        self.write(ENDPOINT_KEYSPACE, &endpoint.id, (!endpoint.removed).then_some(endpoint));
        if endpoint.removed {
            self.write::<StoredEjection>(EJECTION_KEYSPACE, &endpoint.id, None);
        }
    }

    /// Deletes a replica.
    pub fn remove_endpoint(&mut self, id: &str) {
        self.write::<Endpoint>(ENDPOINT_KEYSPACE, id, None);
        self.write::<StoredEjection>(EJECTION_KEYSPACE, id, None);
    }

    /// Resets a slot that a new replica uses now.
    pub fn reset_slot(&mut self, ix: ReplicaIndex) {
        if let Some(record) = self.ejections.get_mut(ix.0) {
            *record = None;
        }
    }

    /// Stores the ejection state of a replica if it changed in the last round.
    pub fn write_ejection(&mut self, ix: ReplicaIndex, id: &str, record: EjectionRecord, at: Nanos) {
        if self.ejections.len() <= ix.0 {
            self.ejections.resize(ix.0 + 1, None);
        }
        let before = self.ejections[ix.0].replace(record).unwrap_or_default();
        if before != record {
            let EjectionRecord { ejected_at, relapses } = record;
            self.write(
                EJECTION_KEYSPACE,
                id,
                Some(&StoredEjection { ejected_since: ejected_at, relapses, at }),
            );
        }
    }

    /// Queues the changes that found the queue full. Returns false if it still is.
    pub fn flush(&mut self) -> bool {
        self.handle.flush()
    }

    /// Returns the gauges for `/metrics`.
    pub fn gauges(&self) -> Vec<Gauge> {
        let counts = self.writer.counters();
        let value = |count: &std::sync::atomic::AtomicU64| count.load(Relaxed) as usize;
        vec![
            Gauge::new("logbook_keys", "keys in the logbook", self.writer.snapshot().len()),
            Gauge::new(
                "logbook_waiting",
                "keys whose state waits for room in the queue",
                self.handle.buffered_keys(),
            ),
            Gauge::new("logbook_batches", "batches written since the start", value(&counts.batches)),
            Gauge::new("logbook_syncs", "syncs since the start", value(&counts.syncs)),
            Gauge::new("logbook_faults", "writes, syncs and merges that failed", value(&counts.errors)),
            Gauge::new(
                "logbook_merged",
                "states that a later one replaced before they were written",
                value(&counts.coalesced),
            ),
            Gauge::new("logbook_refused", "batches and states that found no room", value(&counts.rejected)),
            Gauge::new("logbook_compactions", "runs of segments merged", value(&counts.compactions)),
        ]
    }

    /// Writes the remaining changes and closes the log store.
    pub fn stop(self) {
        self.handle.finish();
        drop(self.writer.stop());
    }
}

/// Logs data that was lost by a crash or by a damaged disk.
fn log_recovery(found: &RecoveryReport) {
    if let Some(TornTail { segment, offset, bytes }) = found.torn_tail {
        log!(
            "logbook: torn tail: {bytes} bytes truncated at byte {offset} of {segment:016x}.seg after a crash"
        );
    }
    if let Some(Corruption { segment, offset }) = found.corruption {
        log!(
            "logbook: {segment:016x}.seg is damaged at byte {offset}; quarantined files: {}",
            found.quarantined.join(", ")
        );
    }
    if found.manifest_rebuilt {
        log!("logbook: the manifest was lost or damaged and has been rebuilt");
    }
}
