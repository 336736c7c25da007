//! Generated log entries. Entries borrow from their bytes, so their fields are generated first.

use orchidvalve_batch_store::entry::EntryRef;

use crate::generate_enum;

/// The fields of an [`EntryRef`], owned.
#[derive(Clone, Debug)]
pub enum EntryParts {
    JobAccepted {
        job: Vec<u8>,
        accepted_at_ms: u64,
        target_run_ms: u64,
        max_queue_ms: u64,
    },
    Result {
        job: String,
        item: String,
        completed: bool,
        message: Vec<u8>,
        weight_versions: Vec<u64>,
        score: Option<String>,
    },
    JobEnded {
        job: String,
    },
}

generate_enum!(EntryParts {
    JobAccepted { job, accepted_at_ms, target_run_ms, max_queue_ms },
    Result { job, item, completed, message, weight_versions, score },
    JobEnded { job },
});

/// Returns the owned fields of an entry. The match does not compile if a variant or field is missing.
pub fn parts_of(entry: &EntryRef<'_>) -> EntryParts {
    match entry {
        EntryRef::JobAccepted { job, accepted_at_ms, target_run_ms, max_queue_ms } => {
            EntryParts::JobAccepted {
                job: job.to_vec(),
                accepted_at_ms: *accepted_at_ms,
                target_run_ms: *target_run_ms,
                max_queue_ms: *max_queue_ms,
            }
        }
        EntryRef::Result { job, item, completed, message, weight_versions, score } => EntryParts::Result {
            job: (*job).to_owned(),
            item: (*item).to_owned(),
            completed: *completed,
            message: message.to_vec(),
            weight_versions: weight_versions.clone(),
            score: score.map(str::to_owned),
        },
        EntryRef::JobEnded { job } => EntryParts::JobEnded { job: (*job).to_owned() },
    }
}

impl EntryParts {
    pub fn as_entry(&self) -> EntryRef<'_> {
        match self {
            Self::JobAccepted { job, accepted_at_ms, target_run_ms, max_queue_ms } => EntryRef::JobAccepted {
                job,
                accepted_at_ms: *accepted_at_ms,
                target_run_ms: *target_run_ms,
                max_queue_ms: *max_queue_ms,
            },
            Self::Result { job, item, completed, message, weight_versions, score } => EntryRef::Result {
                job,
                item,
                completed: *completed,
                message,
                weight_versions: weight_versions.clone(),
                score: score.as_deref(),
            },
            Self::JobEnded { job } => EntryRef::JobEnded { job },
        }
    }
}
