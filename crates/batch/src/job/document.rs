//! The JSON form of a batch job. Strings are borrowed from the input where they contain no escapes.

use std::borrow::Cow;
use std::fmt;

use serde::Deserialize;
use serde::de::{Deserializer, Error, MapAccess, Visitor};

use super::JobError;

/// A string of the document, borrowed from the input if it contains no escapes.
pub struct Text<'a>(pub Cow<'a, str>);

impl Text<'_> {
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The headers of a request in the order of the document.
#[derive(Default)]
pub struct Headers<'a>(pub Vec<(Text<'a>, Text<'a>)>);

/// A batch job document.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "an object: a batch job")]
pub struct JobDocument<'a> {
    pub step: Option<u64>,
    #[serde(borrow)]
    pub model: Option<Text<'a>>,
    pub min_weights_version: Option<i64>,
    pub desired_count: Option<u32>,
    #[serde(borrow)]
    pub requests: Vec<ItemDocument<'a>>,
}

/// A request of a batch job.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "an object: a request of the batch job")]
pub struct ItemDocument<'a> {
    #[serde(borrow)]
    pub instance_id: Text<'a>,
    #[serde(borrow)]
    pub path: Text<'a>,
    #[serde(borrow, default)]
    pub headers: Headers<'a>,
    #[serde(borrow)]
    pub body: Text<'a>,
    pub token_usage: u32,
    #[serde(borrow)]
    pub group: Option<Text<'a>>,
    #[serde(borrow)]
    pub scorer_url: Option<ScorerDocument<'a>>,
}

/// The request that scores the text of an item.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "an object: the request that scores the text")]
pub struct ScorerDocument<'a> {
    #[serde(borrow)]
    pub instance_id: Text<'a>,
    #[serde(borrow)]
    pub hostname: Text<'a>,
    #[serde(borrow)]
    pub path: Text<'a>,
    #[serde(borrow)]
    pub body: Text<'a>,
}

/// Parses a document. The path of an error is determined only if there is one.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid batch job document.
pub fn read(body: &[u8]) -> Result<JobDocument<'_>, JobError> {
    serde_json::from_slice(body).map_err(|error| locate(body, &error))
}

/// Returns the error with its path, by parsing the document again with path tracking.
fn locate(body: &[u8], error: &serde_json::Error) -> JobError {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    let located = serde_path_to_error::deserialize::<_, JobDocument<'_>>(&mut deserializer);
    match located {
        Err(located) => {
            let path = match located.path().to_string() {
                root if root == "." => "document".to_owned(),
                path => path,
            };
            JobError::Malformed { path, reason: format!("{}; correct it and send again", located.inner()) }
        }
        Ok(_) => JobError::Malformed {
            path: "document".to_owned(),
            reason: format!("{error}; send one JSON document and nothing after it"),
        },
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for Text<'a> {
    fn deserialize<D>(deserializer: D) -> Result<Text<'a>, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_str(TextVisitor)
    }
}

struct TextVisitor;

impl<'de> Visitor<'de> for TextVisitor {
    type Value = Text<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a text")
    }

    fn visit_borrowed_str<E: Error>(self, text: &'de str) -> Result<Text<'de>, E> {
        Ok(Text(Cow::Borrowed(text)))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Text<'de>, E> {
        Ok(Text(Cow::Owned(text.to_owned())))
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for Headers<'a> {
    fn deserialize<D>(deserializer: D) -> Result<Headers<'a>, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_map(HeadersVisitor)
    }
}

struct HeadersVisitor;

impl<'de> Visitor<'de> for HeadersVisitor {
    type Value = Headers<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object of header names and values")
    }

    fn visit_map<A>(self, mut map: A) -> Result<Headers<'de>, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut headers = Vec::with_capacity(map.size_hint().unwrap_or(4));
        while let Some(header) = map.next_entry()? {
            headers.push(header);
        }
        Ok(Headers(headers))
    }
}
