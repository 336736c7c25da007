//! Keys that identify jobs and items.

use compact_str::CompactString;

/// Identifies a job by its partition and its id, which is unique within the partition. Ordered by partition, then id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct JobKey {
    /// Number of the partition.
    pub partition: u16,
    /// Id of the job.
    pub job: CompactString,
}

impl JobKey {
    /// Returns the key of the job with this id.
    pub fn new(partition: u16, job: &str) -> JobKey {
        JobKey { partition, job: CompactString::from(job) }
    }
}

/// Identifies an item of a job. Ordered by job, then item id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ItemKey {
    /// Key of the job that contains the item.
    pub job: JobKey,
    /// Id of the item.
    pub item: CompactString,
}
