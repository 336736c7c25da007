//! Batch jobs: many requests submitted together and run later.
//!
//! A [`Job`] keeps all texts in one buffer and all bodies in another, and what repeats (bodies within a group,
//! headers) only once, so that it takes few allocations and little room on the wire and on disk. Items are read
//! through the view [`Item`].

mod builder;
mod document;

use derive_more::{Display, Error};
use musli::{Decode, Encode};

/// Why a batch job is refused.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum JobError {
    /// The bytes are not one whole batch job.
    #[display("{path}: {reason}")]
    Malformed {
        /// Path in the document.
        path: String,
        /// What is wrong there and what to send instead.
        reason: String,
    },
    /// Two items have the same id.
    #[display("{path}: the id stands at {other} already; give every item of a batch job an id of its own")]
    DuplicateItem {
        /// Path of the later id.
        path: String,
        /// Path of the earlier item.
        other: String,
    },
}

impl JobError {
    /// Status code of the response.
    pub fn status(&self) -> u16 {
        400
    }
}

/// What the request that submits a batch job says about it outside its body.
#[derive(Clone, Copy, Debug)]
pub struct JobOrigin<'a> {
    /// `Attempt-Id` of the request: id of the batch job.
    pub id: &'a str,
    /// `Host` of the request.
    pub hostname: &'a str,
    /// `path-prefix` of the route that the request took.
    pub route_prefix: &'a str,
    /// Tenant whose key the request carried; None where the configuration has no tenants.
    pub tenant: Option<&'a str>,
}

/// A part of one of the buffers of a [`Job`], by position.
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

/// A header, by its texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
struct HeaderEntry {
    name: Span,
    value: Span,
}

/// A request that scores a text, by its texts and its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
struct ScorerEntry {
    id: Span,
    hostname: Span,
    path: Span,
    body: Span,
}

/// An item, by its texts, its body, and its headers and scorer in their lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
struct ItemEntry {
    id: Span,
    path: Span,
    /// Part of the list of headers.
    headers: Span,
    body: Span,
    token_usage: u32,
    group: u32,
    /// Index in the list of scorers, or [`NO_SCORER`]; an `Option` cannot be told apart in a packed encoding.
    scorer: u32,
}

/// Index that stands for no scorer.
const NO_SCORER: u32 = u32::MAX;

/// A batch job as it was submitted, bodies decoded.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Job {
    /// Id of the batch job.
    pub id: String,
    /// Host of its route.
    pub hostname: String,
    /// Path prefix of its route.
    pub route_prefix: String,
    /// Step of the trainer, from 0; none for batch jobs that are not a trainer's.
    pub step: Option<u64>,
    /// Model that makes the tokens.
    pub model: Option<String>,
    /// Oldest version of the weights that may make the tokens; 0 allows all.
    pub min_weights_version: u64,
    /// Whole groups that the trainer waits for; 0 if it waits for none in particular.
    pub desired_count: u32,
    group_count: u32,
    text: String,
    #[musli(bytes)]
    bodies: Vec<u8>,
    headers: Vec<HeaderEntry>,
    scorers: Vec<ScorerEntry>,
    items: Vec<ItemEntry>,
    /// Tenant that submitted it; None where the configuration had no tenants then.
    #[musli(default)]
    pub tenant: Option<String>,
}

/// One request of a batch job.
#[derive(Clone, Copy, Debug)]
pub struct Item<'a> {
    job: &'a Job,
    entry: &'a ItemEntry,
}

/// The request that scores an item's text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scorer<'a> {
    /// Id of the request, sent as `Attempt-Id`.
    pub id: &'a str,
    /// Host of its route.
    pub hostname: &'a str,
    /// Path that it is sent to.
    pub path: &'a str,
    /// Decoded body.
    pub body: &'a [u8],
}

impl Job {
    /// Reads the body of the request that submits a batch job.
    ///
    /// # Errors
    ///
    /// The bytes are no batch job, or one item of it is malformed.
    pub fn parse(body: &[u8], origin: &JobOrigin<'_>) -> Result<Job, JobError> {
        let document = document::read(body)?;
        builder::build(&document, origin, body.len())
    }

    /// Number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there is no item; never so for a job that was parsed.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// The item at an index of the list, counted from 0.
    pub fn item(&self, index: usize) -> Option<Item<'_>> {
        self.items.get(index).map(|entry| Item { job: self, entry })
    }

    /// All items in the order of the list.
    pub fn items(&self) -> impl ExactSizeIterator<Item = Item<'_>> {
        self.items.iter().map(|entry| Item { job: self, entry })
    }

    /// Index of the item with an id.
    pub fn position(&self, id: &str) -> Option<usize> {
        self.items().position(|item| item.id() == id)
    }

    /// Number of groups. Items without a group are a group each.
    pub fn group_count(&self) -> usize {
        self.group_count as usize
    }

    /// Indices of the items of each group, groups in the order in which they first appear.
    pub fn groups(&self) -> Vec<Vec<u32>> {
        let mut groups = vec![Vec::new(); self.group_count()];
        for (index, entry) in self.items.iter().enumerate() {
            if let Some(group) = groups.get_mut(entry.group as usize) {
                group.push(index as u32);
            }
        }
        groups
    }

    /// Bytes that the job takes in memory, roughly.
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
    /// Id of the item, sent as `Attempt-Id`.
    pub fn id(&self) -> &'a str {
        self.job.text(self.entry.id)
    }

    /// Path that the request is sent to.
    pub fn path(&self) -> &'a str {
        self.job.text(self.entry.path)
    }

    /// Headers of the request, name and value.
    pub fn headers(&self) -> impl Iterator<Item = (&'a str, &'a str)> + use<'a> {
        let job = self.job;
        let entries = job.headers.get(self.entry.headers.range()).unwrap_or_default();
        entries.iter().map(|header| (job.text(header.name), job.text(header.value)))
    }

    /// Value of a header; the case of the name does not matter.
    pub fn header(&self, name: &str) -> Option<&'a str> {
        self.headers().find(|(present, _)| present.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Decoded body of the request.
    pub fn body(&self) -> &'a [u8] {
        self.job.body(self.entry.body)
    }

    /// Tokens of the prompt and the most out together.
    pub fn token_usage(&self) -> u32 {
        self.entry.token_usage
    }

    /// Number of the item's group, counted from 0 in the order in which groups first appear.
    pub fn group(&self) -> u32 {
        self.entry.group
    }

    /// The request that scores the text, if there is one.
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
