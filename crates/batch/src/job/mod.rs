//! Batch jobs: requests that are submitted together and run later.
//!
//! A [`Job`] stores all texts in one buffer and all bodies in another. Repeated values (the bodies within a group,
//! header names and values) are stored once. A job thus needs few allocations and little space on the wire and on disk.
//! Items are read through the view [`Item`].

mod builder;
mod document;

use derive_more::{Display, Error};
use musli::{Decode, Encode};

/// The reason why a batch job is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum JobError {
    /// The bytes are not a valid batch job document.
    #[display("{path}: {reason}")]
    Malformed {
        /// Path of the invalid value in the document.
        path: String,
        /// What is wrong with the value, and what to send instead.
        reason: String,
    },
    /// Two items have the same id.
    #[display("{path}: the id stands at {other} already; give every item of a batch job an id of its own")]
    DuplicateItem {
        /// Path of the second id.
        path: String,
        /// Path of the first item with the id.
        other: String,
    },
}

impl JobError {
    /// Returns the status code of the HTTP response.
    pub fn status(&self) -> u16 {
        400
    }
}

/// The properties of a batch job that its submission carries outside the body.
#[derive(Clone, Copy, Debug)]
pub struct JobOrigin<'a> {
    /// `Attempt-Id` of the request, which becomes the id of the batch job.
    pub id: &'a str,
    /// `Host` header of the request.
    pub hostname: &'a str,
    /// `path-prefix` of the route that matched the request.
    pub route_prefix: &'a str,
    /// Tenant to which the API key of the request belongs; `None` if the configuration has no tenants.
    pub tenant: Option<&'a str>,
}

/// A range of one of the buffers of a [`Job`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
#[musli(packed)]
struct Span {
    start: u32,
    length: u32,
}

impl Span {
    fn range(self) -> std::ops::Range<usize> {
        let start = self.start as usize;
        start..start.saturating_add(self.length as usize)
    }
}

/// A header, as ranges of the text buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
struct HeaderEntry {
    name: Span,
    value: Span,
}

/// A scorer request, as ranges of the text and body buffers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
struct ScorerEntry {
    id: Span,
    hostname: Span,
    path: Span,
    body: Span,
}

/// An item, as ranges of the buffers and lists of its [`Job`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
struct ItemEntry {
    id: Span,
    path: Span,
    /// Range of the list of headers.
    headers: Span,
    body: Span,
    token_usage: u32,
    group: u32,
    /// Index in the list of scorers, or [`NO_SCORER`]. A packed encoding cannot represent an `Option`.
    scorer: u32,
}

/// Scorer index of items without a scorer.
const NO_SCORER: u32 = u32::MAX;

/// A batch job as submitted, with decoded bodies.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Job {
    /// Id of the batch job.
    pub id: String,
    /// Hostname of the job's route.
    pub hostname: String,
    /// Path prefix of the job's route.
    pub route_prefix: String,
    /// Step of the trainer, counted from 0; `None` if the job does not come from a trainer.
    pub step: Option<u64>,
    /// Name of the model that generates the tokens.
    pub model: Option<String>,
    /// Minimum version of the weights that may generate the tokens; 0 allows all versions.
    pub min_weights_version: u64,
    /// Number of complete groups that the trainer waits for; 0 if it waits for no particular number.
    pub desired_count: u32,
    group_count: u32,
    text: String,
    #[musli(bytes)]
    bodies: Vec<u8>,
    headers: Vec<HeaderEntry>,
    scorers: Vec<ScorerEntry>,
    items: Vec<ItemEntry>,
    /// Tenant that submitted the job; `None` if the configuration had no tenants at that time.
    #[musli(default)]
    pub tenant: Option<String>,
}

/// A view of one request of a batch job.
#[derive(Clone, Copy, Debug)]
pub struct Item<'a> {
    job: &'a Job,
    entry: &'a ItemEntry,
}

/// The request that scores the text of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scorer<'a> {
    /// Id of the request, sent as `Attempt-Id`.
    pub id: &'a str,
    /// Hostname of the request's route.
    pub hostname: &'a str,
    /// Path of the request.
    pub path: &'a str,
    /// Decoded body.
    pub body: &'a [u8],
}

impl Job {
    /// Parses the body of a request that submits a batch job.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid batch job document, or if an item is invalid.
    pub fn parse(body: &[u8], origin: &JobOrigin<'_>) -> Result<Job, JobError> {
        let document = document::read(body)?;
        builder::build(&document, origin, body.len())
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether the job has no items, which is never the case for a parsed job.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the item at `index`, counted from 0.
    pub fn item(&self, index: usize) -> Option<Item<'_>> {
        self.items.get(index).map(|entry| Item { job: self, entry })
    }

    /// Iterates over all items in order.
    pub fn items(&self) -> impl ExactSizeIterator<Item = Item<'_>> {
        self.items.iter().map(|entry| Item { job: self, entry })
    }

    /// Returns the index of the item with this id.
    pub fn position(&self, id: &str) -> Option<usize> {
        self.items().position(|item| item.id() == id)
    }

    /// Returns the number of groups. Each item without a group counts as a group.
    pub fn group_count(&self) -> usize {
        self.group_count as usize
    }

    /// Returns the item indices of each group. Groups are in the order in which they first appear.
    pub fn groups(&self) -> Vec<Vec<u32>> {
        let mut groups = vec![Vec::new(); self.group_count()];
        for (index, entry) in self.items.iter().enumerate() {
            if let Some(group) = groups.get_mut(entry.group as usize) {
                group.push(index as u32);
            }
        }
        groups
    }

    /// Returns the approximate memory use of the job in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.text.capacity()
            + self.bodies.capacity()
            + self.headers.capacity() * size_of::<HeaderEntry>()
            + self.scorers.capacity() * size_of::<ScorerEntry>()
            + self.items.capacity() * size_of::<ItemEntry>()
            + size_of::<Job>()
    }

    fn text(&self, span: Span) -> &str {
        self.text.get(span.range()).unwrap_or_default()
    }

    fn body(&self, span: Span) -> &[u8] {
        self.bodies.get(span.range()).unwrap_or_default()
    }
}

impl<'a> Item<'a> {
    /// Returns the id of the item, which is sent as `Attempt-Id`.
    pub fn id(&self) -> &'a str {
        self.job.text(self.entry.id)
    }

    /// Returns the path of the request.
    pub fn path(&self) -> &'a str {
        self.job.text(self.entry.path)
    }

    /// Iterates over the headers of the request as pairs of name and value.
    pub fn headers(&self) -> impl Iterator<Item = (&'a str, &'a str)> + use<'a> {
        let job = self.job;
        let entries = job.headers.get(self.entry.headers.range()).unwrap_or_default();
        entries.iter().map(|header| (job.text(header.name), job.text(header.value)))
    }

    /// Returns the value of a header. The name is compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&'a str> {
        self.headers().find(|(present, _)| present.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Returns the decoded body of the request.
    pub fn body(&self) -> &'a [u8] {
        self.job.body(self.entry.body)
    }

    /// Returns the sum of the prompt tokens and the maximum number of output tokens.
    pub fn token_usage(&self) -> u32 {
        self.entry.token_usage
    }

    /// Returns the number of the item's group, counted from 0 in the order in which groups first appear.
    pub fn group(&self) -> u32 {
        self.entry.group
    }

    /// Returns the request that scores the text; `None` if the text is not scored.
    pub fn scorer(&self) -> Option<Scorer<'a>> {
        let entry = self.job.scorers.get(self.entry.scorer as usize)?;
        Some(Scorer {
            id: self.job.text(entry.id),
            hostname: self.job.text(entry.hostname),
            path: self.job.text(entry.path),
            body: self.job.body(entry.body),
        })
    }
}
