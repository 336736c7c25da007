//! Searches within one shard.

use serde_json::Value;

use super::document::Document;
use super::score::score;
use super::source_filter::filter_source;
use crate::mapping::FieldValue;
use crate::request::{SearchRequest, TrackTotalHits};
use crate::response::{Hit, ShardResult, TotalHits, compare_hits};

/// Returns the result of a shard that contains these documents.
pub fn search<'d>(request: &SearchRequest, documents: impl Iterator<Item = &'d Document>) -> ShardResult {
    let mut hits = Vec::new();
    for document in documents {
        if let Some(score) = score(&request.query, document) {
            hits.push(hit(request, document, score));
        }
    }
    let total = hits.len() as u64;
    let max_score = hits.iter().filter_map(|hit| hit.score).max_by(f64::total_cmp);
    hits.sort_by(|a, b| compare_hits(&request.sort, a, b));
    hits.truncate(request.size);
    let total = match request.track_total_hits {
        TrackTotalHits::Nothing => None,
        TrackTotalHits::UpTo(limit) if total > limit as u64 => {
            Some(TotalHits { value: limit as u64, is_exact: false })
        }
        _ => Some(TotalHits { value: total, is_exact: true }),
    };
    ShardResult { total, max_score: if request.size == 0 { None } else { max_score }, hits }
}

fn hit(request: &SearchRequest, document: &Document, score: f64) -> Hit {
    let is_by_score = request.sort.is_empty() || request.sort.iter().any(|key| key.field.is_none());
    let sort = request.sort.iter().map(|key| match &key.field {
        None => Value::from(score),
        Some(field) => {
            // Of several values, an ascending sort uses the lowest and a descending sort the highest.
            let values = document.values(field).iter();
            let value = if key.descending { values.max() } else { values.min() };
            value.map_or(Value::Null, FieldValue::to_json)
        }
    });
    Hit {
        id: document.id.clone(),
        score: is_by_score.then_some(score),
        source: filter_source(&request.source_filter, &document.source),
        sort: sort.collect(),
    }
}
