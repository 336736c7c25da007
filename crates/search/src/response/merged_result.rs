//! Merges the results of shards into one response.

use std::fmt::Write;

use serde_json::{Value, json};

use super::hit::{Hit, compare_hits};
use super::shard_result::ShardResult;
use super::total_hits::TotalHits;
use crate::request::{SearchRequest, TrackTotalHits};

/// A shard without a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingShard {
    /// Number of the shard.
    pub shard: usize,
    /// Why there is no result, as reported to the client.
    pub reason: String,
}

/// The merged results of shards.
#[derive(Clone, Debug)]
pub struct MergedResult {
    /// The number of shards that were queried.
    pub shards: usize,
    /// The shards without a result.
    pub missing: Vec<MissingShard>,
    /// The number of matching documents, or `None` if it was not counted.
    pub total: Option<TotalHits>,
    /// The highest score.
    pub max_score: Option<f64>,
    /// The first hits in sort order.
    pub hits: Vec<Hit>,
}

/// Merges the result texts of shards; `None` stands for a shard without a result. A result that cannot be read counts
/// as missing.
pub fn merge(request: &SearchRequest, results: &[(usize, Option<&str>)]) -> MergedResult {
    let (mut missing, mut hits, mut max_score) = (Vec::new(), Vec::new(), None::<f64>);
    let is_counted = request.track_total_hits != TrackTotalHits::Nothing;
    let mut total = is_counted.then_some(TotalHits { value: 0, is_exact: true });
    for &(shard, text) in results {
        let result = match text.map(ShardResult::read) {
            Some(Ok(result)) => result,
            Some(Err(error)) => {
                let reason = format!("its answer cannot be used: {error}");
                missing.push(MissingShard { shard, reason });
                continue;
            }
            None => {
                missing.push(MissingShard { shard, reason: "no answer in time".to_owned() });
                continue;
            }
        };
        if let Some(total) = &mut total {
            let uncounted = TotalHits { value: result.hits.len() as u64, is_exact: false };
            let more = result.total.unwrap_or(uncounted);
            total.value = total.value.saturating_add(more.value);
            total.is_exact &= more.is_exact;
        }
        max_score = match (max_score, result.max_score) {
            (Some(a), Some(b)) => Some(a.max(b)),
            (a, b) => a.or(b),
        };
        hits.extend(result.hits);
    }
    if let Some(total) = &mut total {
        total.is_exact &= missing.is_empty();
        if let TrackTotalHits::UpTo(limit) = request.track_total_hits
            && total.value > limit as u64
        {
            *total = TotalHits { value: limit as u64, is_exact: false };
        }
    }
    hits.sort_by(|a, b| compare_hits(&request.sort, a, b));
    hits.truncate(request.size);
    MergedResult { shards: results.len(), missing, total, max_score, hits }
}

impl MergedResult {
    /// Returns the `_shards` object of the response.
    pub fn shards(&self, index: &str) -> Value {
        let failed = self.missing.len();
        let mut shards = json!({
            "total": self.shards, "successful": self.shards - failed, "skipped": 0, "failed": failed
        });
        if failed > 0 {
            let failures = self.missing.iter().map(|MissingShard { shard, reason }| {
                json!({"shard": shard, "index": index, "node": null,
                       "reason": {"type": "slice_not_in", "reason": reason}})
            });
            shards["failures"] = failures.collect();
        }
        shards
    }

    /// Returns the response to a search. `took` is in milliseconds.
    pub fn response(&self, index: &str, took: i64) -> String {
        let timed_out = !self.missing.is_empty();
        let shards = self.shards(index);
        let mut body = format!("{{\"took\":{took},\"timed_out\":{timed_out},\"_shards\":{shards}");
        body.push_str(",\"hits\":{");
        if let Some(total) = self.total {
            let (value, relation) = (total.value, total.relation());
            let _ = write!(body, "\"total\":{{\"value\":{value},\"relation\":\"{relation}\"}},");
        }
        let _ = write!(body, "\"max_score\":{},\"hits\":[", Value::from(self.max_score));
        let index = Value::from(index);
        for (position, hit) in self.hits.iter().enumerate() {
            let comma = if position == 0 { "" } else { "," };
            let (id, score) = (Value::from(&*hit.id), Value::from(hit.score));
            let _ = write!(body, "{comma}{{\"_index\":{index},\"_id\":{id},\"_score\":{score}");
            if let Some(source) = &hit.source {
                let _ = write!(body, ",\"_source\":{source}");
            }
            if !hit.sort.is_empty() {
                let _ = write!(body, ",\"sort\":{}", json!(hit.sort));
            }
            body.push('}');
        }
        body.push_str("]}}");
        body
    }

    /// Returns the response to a count. If shards are missing, it says that the count is a lower bound.
    pub fn count(&self, index: &str) -> String {
        let total = self.total.unwrap_or(TotalHits { value: 0, is_exact: false });
        let mut body = json!({"count": total.value, "_shards": self.shards(index)});
        if !total.is_exact {
            body["relation"] = json!(total.relation());
        }
        body.to_string()
    }
}
