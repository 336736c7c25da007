//! Results of single shards, as received from index servers and forwarded.

use std::borrow::Cow;
use std::collections::BTreeSet;

use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use serde_json::json;
use serde_json::value::RawValue;

use super::hit::Hit;
use super::total_hits::{TotalHits, TotalHitsJson, UnknownRelation};

/// The result of a search in one shard.
#[derive(Clone, Debug)]
pub struct ShardResult {
    /// The number of matching documents, or `None` if it was not counted.
    pub total: Option<TotalHits>,
    /// The highest score.
    pub max_score: Option<f64>,
    /// The first hits of the shard in sort order.
    pub hits: Vec<Hit>,
}

/// The `hits` of a response.
#[derive(Deserialize, Serialize)]
struct HitsJson {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    total: Option<TotalHitsJson>,
    #[serde(default)]
    max_score: Option<f64>,
    hits: Vec<Hit>,
}

/// The `_shards` of a response.
#[derive(Deserialize)]
struct ShardsJson {
    total: u64,
    successful: u64,
    failed: u64,
}

/// A response to a search.
#[derive(Deserialize)]
struct ResponseJson<'a> {
    timed_out: bool,
    #[serde(rename = "_shards")]
    shards: ShardsJson,
    #[serde(borrow)]
    hits: &'a RawValue,
}

/// The parts of a response that are needed later, validated without building the values.
#[derive(Deserialize)]
#[allow(dead_code, reason = "fields are there to be checked by the reader")]
struct CheckedHits<'a> {
    total: Option<TotalHitsJson>,
    max_score: Option<f64>,
    #[serde(borrow)]
    hits: Vec<CheckedHit<'a>>,
}

#[derive(Deserialize)]
#[allow(dead_code, reason = "fields are there to be checked by the reader")]
struct CheckedHit<'a> {
    #[serde(rename = "_id", borrow)]
    id: Cow<'a, str>,
    #[serde(rename = "_score")]
    score: Option<f64>,
    sort: Option<Vec<serde_json::Value>>,
}

/// Why the result of a shard cannot be read.
#[derive(Debug, Display, Error, From)]
pub enum ShardResultError {
    /// The text is not JSON of the expected form.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// The relation of the total is unknown.
    #[display("{_0}")]
    Relation(UnknownRelation),
}

/// Why a response with status 200 from an index server is not used.
#[derive(Debug, Display, Error)]
pub enum UnusableResponse {
    /// The response says that it is incomplete.
    #[display("{_0}")]
    Incomplete(#[error(not(source))] String),
    /// The response cannot be read.
    #[display("{_0}")]
    Malformed(ShardResultError),
}

impl From<serde_json::Error> for UnusableResponse {
    fn from(error: serde_json::Error) -> UnusableResponse {
        UnusableResponse::Malformed(error.into())
    }
}

impl ShardResult {
    /// Returns the text of the result. It does not depend on the protocol.
    pub fn text(&self) -> String {
        let total = self.total.map(TotalHits::to_json);
        let hits = HitsJson { total, max_score: self.max_score, hits: self.hits.clone() };
        serde_json::to_string(&hits).unwrap_or_default()
    }

    /// Parses the text of a result.
    ///
    /// # Errors
    ///
    /// The text is not JSON of the expected form, or the relation of its total is unknown.
    pub fn read(text: &str) -> Result<ShardResult, ShardResultError> {
        let HitsJson { total, max_score, hits } = serde_json::from_str(text)?;
        let total = total.map(TotalHitsJson::parse).transpose()?;
        let mut result = ShardResult { total, max_score, hits };
        result.drop_duplicates();
        Ok(result)
    }

    /// Returns the result text in an index server's response to a search in one shard: its `hits`, unchanged.
    ///
    /// # Errors
    ///
    /// The response cannot be read, or says that it is incomplete.
    pub fn of_response(body: &[u8]) -> Result<&str, UnusableResponse> {
        let response: ResponseJson = serde_json::from_slice(body)?;
        let ShardsJson { total, successful, failed } = response.shards;
        if response.timed_out {
            return Err(UnusableResponse::Incomplete("timed_out".to_owned()));
        }
        if failed > 0 || successful != total || total != 1 {
            let reason = format!("{successful} of {total} shards, {failed} failed");
            return Err(UnusableResponse::Incomplete(reason));
        }
        let text = response.hits.get();
        let checked: CheckedHits = serde_json::from_str(text)?;
        let relation = checked.total.map(TotalHitsJson::parse).transpose();
        relation.map_err(|error| UnusableResponse::Malformed(error.into()))?;
        Ok(text)
    }

    /// Removes hits with duplicate ids, as two copies of a shard return them. Each document counts once.
    fn drop_duplicates(&mut self) {
        let mut ids = BTreeSet::new();
        let before = self.hits.len();
        self.hits.retain(|hit| ids.insert(hit.id.clone()));
        let duplicates = (before - self.hits.len()) as u64;
        if let Some(total) = &mut self.total {
            total.value = total.value.saturating_sub(duplicates).max(self.hits.len() as u64);
        }
    }
}

/// Returns the result of a shard request that created a document. It does not depend on the protocol.
pub fn created_result(id: &str) -> String {
    json!({ "created": id }).to_string()
}
