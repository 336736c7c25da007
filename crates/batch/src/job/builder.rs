//! Validates the JSON form of a batch job and copies it into the buffers of a [`Job`].

use std::collections::HashMap;

use base64::Engine;
use base64::alphabet::STANDARD;
use base64::engine::{DecodePaddingMode, GeneralPurpose, GeneralPurposeConfig};
use derive_more::Display;

use super::document::{ItemDocument, JobDocument, ScorerDocument, Text};
use super::{HeaderEntry, ItemEntry, Job, JobError, JobOrigin, NO_SCORER, ScorerEntry, Span};

/// Base64 with the standard alphabet (RFC 4648); padding is optional.
const BASE64: GeneralPurpose = GeneralPurpose::new(
    &STANDARD,
    GeneralPurposeConfig::new().with_decode_padding_mode(DecodePaddingMode::Indifferent),
);

/// Maximum length of an id in bytes.
const MAX_ID_BYTES: usize = 256;
/// Maximum size of a document in bytes. Keeps all positions in the buffers within 32 bits.
const MAX_DOCUMENT_BYTES: usize = 1 << 30;

/// Headers that the sender sets itself or that apply to a single connection.
const RESERVED_HEADERS: [&str; 9] = [
    "attempt-id",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The reason why a field is rejected, and what to send instead.
#[derive(Clone, Copy, Debug, Display)]
enum FieldError {
    #[display("is too large; split it into several batch jobs")]
    DocumentTooLarge,
    #[display("must hold at least one item")]
    NoItems,
    #[display("is not base64; encode the bytes with the standard alphabet")]
    NotBase64,
    #[display("must be 1 to 256 visible ASCII characters")]
    Id,
    #[display("must begin with a slash and hold visible ASCII characters only")]
    Path,
    #[display("is no header name; use letters, digits and hyphens")]
    HeaderName,
    #[display("holds a control character; send the value on one line")]
    HeaderValue,
    #[display("is set by the sender; leave it out")]
    ReservedHeader,
}

impl FieldError {
    /// Returns the error for the field at `path` of the document.
    fn at(self, path: String) -> JobError {
        JobError::Malformed { path, reason: self.to_string() }
    }
}

/// The reason why a field of a scorer is rejected.
struct ScorerFieldError {
    field: &'static str,
    error: FieldError,
}

/// Builds a job from a document that was parsed from `document_bytes` bytes.
///
/// # Errors
///
/// Returns an error if a field has a value that cannot be sent, or if two items have the same id.
pub fn build(
    document: &JobDocument<'_>,
    origin: &JobOrigin<'_>,
    document_bytes: usize,
) -> Result<Job, JobError> {
    if document_bytes > MAX_DOCUMENT_BYTES {
        return Err(FieldError::DocumentTooLarge.at("document".to_owned()));
    }
    if document.requests.is_empty() {
        return Err(FieldError::NoItems.at("requests".to_owned()));
    }
    let mut builder = Builder::new(document, document_bytes);
    for (index, item) in document.requests.iter().enumerate() {
        builder.push_item(index, item)?;
    }
    Ok(builder.finish(document, origin))
}

/// A decoded body and its encoded form, by which an equal body is recognised.
#[derive(Clone, Copy, Default)]
struct DecodedBody<'d> {
    encoded: &'d str,
    span: Span,
}

/// The first bodies of a group. Later items with equal bodies share them.
struct Group<'d> {
    body: DecodedBody<'d>,
    scorer_body: DecodedBody<'d>,
}

/// The growing buffers of a job, and the indices used while building it.
struct Builder<'d> {
    text: String,
    bodies: Vec<u8>,
    headers: Vec<HeaderEntry>,
    scorers: Vec<ScorerEntry>,
    items: Vec<ItemEntry>,
    groups: Vec<Group<'d>>,
    group_numbers: HashMap<&'d str, u32>,
    /// The index of each item by its id.
    ids: HashMap<&'d str, usize>,
    /// The positions of texts that are likely to occur again.
    interned: HashMap<&'d str, Span>,
}

impl<'d> Builder<'d> {
    fn new(document: &JobDocument<'_>, document_bytes: usize) -> Builder<'d> {
        let count = document.requests.len();
        Builder {
            text: String::with_capacity(count * 64),
            bodies: Vec::with_capacity(document_bytes / 2),
            headers: Vec::with_capacity(count * 3),
            scorers: Vec::with_capacity(count),
            items: Vec::with_capacity(count),
            groups: Vec::new(),
            group_numbers: HashMap::new(),
            ids: HashMap::with_capacity(count),
            interned: HashMap::new(),
        }
    }

    fn push_item(&mut self, index: usize, item: &'d ItemDocument<'_>) -> Result<(), JobError> {
        let path_of = |field: &str| format!("requests[{index}].{field}");
        check_id(item.instance_id.as_str()).map_err(|error| error.at(path_of("instance-id")))?;
        check_path(item.path.as_str()).map_err(|error| error.at(path_of("path")))?;
        if let Some(other) = self.ids.insert(item.instance_id.as_str(), index) {
            let other = format!("requests[{other}]");
            return Err(JobError::DuplicateItem { path: path_of("instance-id"), other });
        }
        let group = self.group(item.group.as_ref());
        let headers = self.push_headers(index, item)?;
        let body =
            self.push_body(item.body.as_str(), group, false).map_err(|error| error.at(path_of("body")))?;
        let scorer = match &item.scorer_url {
            Some(scorer) => {
                self.push_scorer(scorer, group).map_err(|ScorerFieldError { field, error }| {
                    error.at(path_of(&format!("scorer-url.{field}")))
                })?
            }
            None => NO_SCORER,
        };
        let entry = ItemEntry {
            id: self.push_text(item.instance_id.as_str()),
            path: self.push_text(item.path.as_str()),
            headers,
            body,
            token_usage: item.token_usage,
            group,
            scorer,
        };
        self.items.push(entry);
        Ok(())
    }

    /// Returns the number of the group `name`. An item without a group gets a group of its own.
    fn group(&mut self, name: Option<&'d Text<'_>>) -> u32 {
        let next = self.groups.len() as u32;
        let number = match name {
            Some(name) => *self.group_numbers.entry(name.as_str()).or_insert(next),
            None => next,
        };
        if number == next {
            self.groups.push(Group { body: DecodedBody::default(), scorer_body: DecodedBody::default() });
        }
        number
    }

    fn push_headers(&mut self, index: usize, item: &'d ItemDocument<'_>) -> Result<Span, JobError> {
        let start = self.headers.len() as u32;
        for (name, value) in &item.headers.0 {
            let (name, value) = (name.as_str(), value.as_str());
            check_header(name, value)
                .map_err(|error| error.at(format!("requests[{index}].headers.{}", name.escape_debug())))?;
            let entry = HeaderEntry { name: self.intern(name), value: self.intern(value) };
            self.headers.push(entry);
        }
        Ok(Span { start, length: self.headers.len() as u32 - start })
    }

    /// Adds a scorer. Returns its index in the list of scorers.
    fn push_scorer(&mut self, scorer: &'d ScorerDocument<'_>, group: u32) -> Result<u32, ScorerFieldError> {
        let at = |field| move |error| ScorerFieldError { field, error };
        check_id(scorer.instance_id.as_str()).map_err(at("instance-id"))?;
        check_id(scorer.hostname.as_str()).map_err(at("hostname"))?;
        check_path(scorer.path.as_str()).map_err(at("path"))?;
        let entry = ScorerEntry {
            body: self.push_body(scorer.body.as_str(), group, true).map_err(at("body"))?,
            id: self.push_text(scorer.instance_id.as_str()),
            hostname: self.intern(scorer.hostname.as_str()),
            path: self.push_text(scorer.path.as_str()),
        };
        self.scorers.push(entry);
        Ok(self.scorers.len() as u32 - 1)
    }

    /// Decodes a body into the buffer, unless it equals the first body of the group, whose position is returned then.
    fn push_body(&mut self, encoded: &'d str, group: u32, is_scorer_body: bool) -> Result<Span, FieldError> {
        let group = &mut self.groups[group as usize];
        let first = if is_scorer_body { &mut group.scorer_body } else { &mut group.body };
        if first.encoded == encoded {
            return Ok(first.span);
        }
        let start = self.bodies.len();
        BASE64.decode_vec(encoded, &mut self.bodies).map_err(|_| FieldError::NotBase64)?;
        let span = Span { start: start as u32, length: (self.bodies.len() - start) as u32 };
        if first.encoded.is_empty() {
            *first = DecodedBody { encoded, span };
        }
        Ok(span)
    }

    fn push_text(&mut self, text: &str) -> Span {
        let start = self.text.len() as u32;
        self.text.push_str(text);
        Span { start, length: text.len() as u32 }
    }

    /// Adds a text that is likely to occur again, unless it was added before. Returns its position.
    fn intern(&mut self, text: &'d str) -> Span {
        if let Some(span) = self.interned.get(text) {
            return *span;
        }
        let span = self.push_text(text);
        self.interned.insert(text, span);
        span
    }

    fn finish(mut self, document: &JobDocument<'_>, origin: &JobOrigin<'_>) -> Job {
        self.text.shrink_to_fit();
        self.bodies.shrink_to_fit();
        self.headers.shrink_to_fit();
        self.scorers.shrink_to_fit();
        Job {
            id: origin.id.to_owned(),
            hostname: origin.hostname.to_owned(),
            route_prefix: origin.route_prefix.to_owned(),
            tenant: origin.tenant.map(str::to_owned),
            step: document.step,
            model: document.model.as_ref().map(|model| model.as_str().to_owned()),
            // A trainer may send a negative version for its first steps, which allows all versions.
            min_weights_version: document.min_weights_version.map_or(0, |version| version.max(0) as u64),
            desired_count: document.desired_count.unwrap_or(0),
            group_count: self.groups.len() as u32,
            text: self.text,
            bodies: self.bodies,
            headers: self.headers,
            scorers: self.scorers,
            items: self.items,
        }
    }
}

fn check_id(id: &str) -> Result<(), FieldError> {
    let visible = id.bytes().all(|byte| byte.is_ascii_graphic());
    if visible && (1..=MAX_ID_BYTES).contains(&id.len()) { Ok(()) } else { Err(FieldError::Id) }
}

fn check_path(path: &str) -> Result<(), FieldError> {
    if path.starts_with('/') && path.bytes().all(|byte| byte.is_ascii_graphic()) {
        Ok(())
    } else {
        Err(FieldError::Path)
    }
}

/// Checks that a header changes neither the framing of the message nor what the sender sets itself.
fn check_header(name: &str, value: &str) -> Result<(), FieldError> {
    let is_token = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    if name.is_empty() || !name.bytes().all(is_token) {
        return Err(FieldError::HeaderName);
    }
    if value.bytes().any(|byte| byte != b'\t' && byte.is_ascii_control()) {
        return Err(FieldError::HeaderValue);
    }
    if RESERVED_HEADERS.iter().any(|reserved| name.eq_ignore_ascii_case(reserved)) {
        return Err(FieldError::ReservedHeader);
    }
    Ok(())
}
