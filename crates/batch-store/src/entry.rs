//! Entries of a partition's replicated log.

use compact_str::CompactString;
use musli::{Decode, Encode};
use orchidvalve_batch::Job;
use orchidvalve_protocol::messages::{ItemOutcome, ItemState};
use orchidvalve_protocol::time_limit::TimeLimit;

/// The content of an entry, borrowed from its bytes.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum EntryRef<'a> {
    /// A job was accepted: from now on the store keeps it.
    JobAccepted {
        /// The encoded [`Job`].
        #[musli(bytes)]
        job: &'a [u8],
        /// Wall clock time at which a gateway first received the job, in milliseconds since 1970.
        accepted_at_ms: u64,
        /// Time after acceptance by which all results are due, in milliseconds.
        target_run_ms: u64,
        /// Time after acceptance after which items may expire, in milliseconds.
        max_queue_ms: u64,
    },
    /// An item is finished. Results of a job are numbered in the order of their entries.
    Result {
        /// Id of the job.
        job: &'a str,
        /// Id of the item.
        item: &'a str,
        /// Whether the message is complete; `false` if the item expired.
        completed: bool,
        /// The generated message; empty if the item expired.
        #[musli(bytes)]
        message: &'a [u8],
        /// Versions of the weights that generated the message, in ascending order.
        weight_versions: Vec<u64>,
        /// Signature of the scorer's response (`Server-Signature`); `None` if the message was not scored.
        score: Option<&'a str>,
    },
    /// The trainer ended a job.
    JobEnded {
        /// Id of the job.
        job: &'a str,
    },
}

impl<'a> EntryRef<'a> {
    /// Returns the entry that records the outcome of an item.
    pub fn result(job: &'a str, outcome: &'a ItemOutcome) -> EntryRef<'a> {
        EntryRef::Result {
            job,
            item: &outcome.item,
            completed: outcome.state == ItemState::Completed,
            message: &outcome.message,
            weight_versions: outcome.weight_versions.clone(),
            score: outcome.score.as_deref(),
        }
    }

    /// Returns the bytes that are stored in the log.
    pub fn encode(&self) -> Vec<u8> {
        orchidvalve_protocol::frames::encode(self)
    }

    /// Decodes an entry. Returns `None` if the bytes are not a valid entry.
    pub fn decode(bytes: &'a [u8]) -> Option<EntryRef<'a>> {
        musli::storage::from_slice(bytes).ok()
    }
}

/// Decodes the outcome from an entry that records a result. Returns `None` for any other entry.
pub fn decode_outcome(bytes: &[u8]) -> Option<ItemOutcome> {
    let EntryRef::Result { item, completed, message, weight_versions, score, .. } = EntryRef::decode(bytes)?
    else {
        return None;
    };
    Some(ItemOutcome {
        item: item.to_owned(),
        state: if completed { ItemState::Completed } else { ItemState::Expired },
        message: message.to_vec(),
        weight_versions,
        score: score.map(str::to_owned),
    })
}

/// The time of acceptance of a job and its time limits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobTimes {
    /// Wall clock time in milliseconds since 1970.
    pub accepted_at_ms: u64,
    /// Time after acceptance by which all results are due.
    pub target_run: TimeLimit,
    /// Time after acceptance after which items may expire.
    pub max_queue: TimeLimit,
}

/// The part of an entry that is needed to apply it, decoded when the entry is appended.
#[derive(Debug)]
pub(crate) enum ParsedEntry {
    JobAccepted {
        job: Box<Job>,
        times: JobTimes,
    },
    Result {
        job: CompactString,
        item: CompactString,
    },
    JobEnded {
        job: CompactString,
    },
    /// Bytes that this version cannot decode. They are replicated and have no effect.
    Unknown,
}

impl ParsedEntry {
    pub fn parse(bytes: &[u8]) -> ParsedEntry {
        match EntryRef::decode(bytes) {
            Some(EntryRef::JobAccepted { job, accepted_at_ms, target_run_ms, max_queue_ms }) => {
                match orchidvalve_protocol::frames::decode::<Job>(job) {
                    Some(job) => ParsedEntry::JobAccepted {
                        job: Box::new(job),
                        times: JobTimes {
                            accepted_at_ms,
                            target_run: TimeLimit::from_millis(target_run_ms),
                            max_queue: TimeLimit::from_millis(max_queue_ms),
                        },
                    },
                    None => ParsedEntry::Unknown,
                }
            }
            Some(EntryRef::Result { job, item, .. }) => {
                ParsedEntry::Result { job: CompactString::from(job), item: CompactString::from(item) }
            }
            Some(EntryRef::JobEnded { job }) => ParsedEntry::JobEnded { job: CompactString::from(job) },
            None => ParsedEntry::Unknown,
        }
    }
}
