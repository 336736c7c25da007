//! Records the queries of clients to a file for a later rehearsal, if the operator enables it. A separate thread writes
//! the file, so that no round waits for a disk. Records that do not fit into the queue of the thread are dropped and
//! counted.

use std::fs::File;
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::thread::JoinHandle;

use derive_more::{Display, Error};
use orchidvalve::interface::Nanos;
use orchidvalve_request_recording::{Arrival, Header, write_arrival, write_header};
use orchidvalve_search::routes::ShardWeight;
use serde::Deserialize;

use crate::log;
use crate::settings_file::{SectionName, SettingsFileError, parse};

/// The maximum number of chunks queued for the writer thread, and the size and age at which a chunk is queued.
const MAX_CHUNKS: usize = 64;
const CHUNK_BYTES: usize = 16 << 10;
const CHUNK_AGE: Nanos = 1_000_000_000;

const SECTION: SectionName = SectionName("record");
const MAX_MEBIBYTES: u64 = 65_536;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RecordFile {
    record: RecordKeys,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RecordKeys {
    file: String,
    #[serde(default = "RecordKeys::most_mb")]
    most_mb: u64,
}

impl RecordKeys {
    fn most_mb() -> u64 {
        64
    }
}

/// The settings of the recording.
#[derive(Clone, Debug)]
pub struct RecordingSettings {
    /// The path of the file.
    pub file: String,
    /// The size of the file in bytes at which the recording ends.
    pub max_bytes: u64,
}

impl RecordingSettings {
    /// Parses the operator's file.
    ///
    /// # Errors
    ///
    /// Fails if a key is missing, unknown or out of bounds.
    ///
    /// ```
    /// use orchidvalve_frontnode::recorder::RecordingSettings;
    ///
    /// assert!(RecordingSettings::read("[record]\nfile = \"arrivals\"\n").is_ok());
    /// let error = RecordingSettings::read("[record]\nfile = \"\"\n").unwrap_err();
    /// assert_eq!(error.to_string(), "record.file: should name a file");
    /// ```
    pub fn read(text: &str) -> Result<RecordingSettings, SettingsFileError> {
        let RecordKeys { file, most_mb } = parse::<RecordFile>(text)?.record;
        if file.is_empty() {
            return Err(SECTION.error("file", "should name a file"));
        }
        SECTION.check_range("most_mb", most_mb, 1, MAX_MEBIBYTES)?;
        Ok(RecordingSettings { file, max_bytes: most_mb << 20 })
    }
}

/// Why a recording cannot be started.
#[derive(Debug, Display, Error)]
pub enum RecorderError {
    /// The file cannot be created.
    #[display("record.file: {path}: {error}")]
    File {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        #[error(source)]
        error: io::Error,
    },
    /// The writer thread cannot be started.
    #[display("record: {_0}")]
    Thread(io::Error),
}

/// The recorded properties of a query.
#[derive(Clone, Copy, Debug)]
pub struct RecordedQuery<'a> {
    /// The index of its service class.
    pub service_class: usize,
    /// The index of its tenant.
    pub tenant: Option<usize>,
    /// Whether the client marked the query as a retry.
    pub is_retry: bool,
    /// The client's estimate of the work in nanoseconds; 0 if it gave none.
    pub estimated_work: Nanos,
    /// The shards to query, each with its weight.
    pub shards: &'a [ShardWeight],
}

/// A running recording.
pub struct Recorder {
    to_thread: Option<SyncSender<Vec<u8>>>,
    thread: Option<JoinHandle<()>>,
    /// The chunk that is being filled, and the time when it was started.
    chunk: Vec<u8>,
    chunk_started: Nanos,
    /// When the last recorded query arrived, rounded down to the recorded microsecond.
    last_arrival: Nanos,
    bytes_left: u64,
    dropped: u64,
    unwritten: Arc<AtomicU64>,
}

impl Recorder {
    /// Starts a recording. An existing file is replaced: a recording contains one run of one node.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be created or the writer thread cannot be started.
    pub fn open(settings: &RecordingSettings, head: &Header, now: Nanos) -> Result<Recorder, RecorderError> {
        let path = settings.file.clone();
        let mut file =
            File::create(&path).map_err(|error| RecorderError::File { path: path.clone(), error })?;
        let (to_thread, chunks) = sync_channel::<Vec<u8>>(MAX_CHUNKS);
        let unwritten = Arc::new(AtomicU64::new(0));
        let failed = unwritten.clone();
        let thread = std::thread::Builder::new().name("recorder".to_owned()).spawn(move || {
            for chunk in chunks {
                if let Err(error) = file.write_all(&chunk)
                    && failed.fetch_add(1, Relaxed) == 0
                {
                    log!("cannot write the recording to {path}: {error}");
                }
            }
            let _ = file.sync_data();
        });
        let thread = thread.map_err(RecorderError::Thread)?;
        let mut chunk = Vec::new();
        write_header(head, &mut chunk);
        let bytes_left = settings.max_bytes.saturating_sub(chunk.len() as u64);
        Ok(Recorder {
            to_thread: Some(to_thread),
            thread: Some(thread),
            chunk,
            chunk_started: now,
            last_arrival: now,
            bytes_left,
            dropped: 0,
            unwritten,
        })
    }

    /// Records an accepted query.
    pub fn record(&mut self, now: Nanos, query: &RecordedQuery) {
        if self.bytes_left == 0 {
            return;
        }
        let arrival = Arrival {
            gap_us: ((now - self.last_arrival) / 1000).max(0) as u64,
            class: query.service_class as u32,
            tenant: query.tenant.map(|tenant| tenant as u32),
            is_retry: query.is_retry,
            expected_work_us: (query.estimated_work / 1000).max(0) as u64,
            shards: query.shards.iter().map(|part| part.shard as u32).collect(),
        };
        let before = self.chunk.len();
        if !write_arrival(&arrival, &mut self.chunk) {
            self.dropped += 1;
            return;
        }
        let size = (self.chunk.len() - before) as u64;
        if size > self.bytes_left {
            self.chunk.truncate(before);
            self.bytes_left = 0;
            log!("the recording has reached its maximum size and ends");
            return;
        }
        self.bytes_left -= size;
        // Intervals are recorded in whole microseconds; the remainder is added to the next interval.
        self.last_arrival += arrival.gap_us as Nanos * 1000;
    }

    /// Queues the current chunk for the writer thread if it is large or old enough.
    pub fn end_round(&mut self, now: Nanos) {
        let old = now - self.chunk_started >= CHUNK_AGE;
        if self.chunk.len() >= CHUNK_BYTES || !self.chunk.is_empty() && old {
            self.chunk_started = now;
            let chunk = std::mem::take(&mut self.chunk);
            let sent = self.to_thread.as_ref().is_some_and(|thread| thread.try_send(chunk).is_ok());
            self.dropped += u64::from(!sent);
        }
    }

    /// Returns the number of chunks that were dropped or not written, plus the queries with too many shards for a
    /// record.
    pub fn lost(&self) -> u64 {
        self.dropped + self.unwritten.load(Relaxed)
    }
}

impl Drop for Recorder {
    /// Writes the remaining records; blocking is acceptable because no more rounds follow.
    fn drop(&mut self) {
        let chunk = std::mem::take(&mut self.chunk);
        if let Some(to_thread) = self.to_thread.take() {
            let _ = to_thread.send(chunk);
        }
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}
