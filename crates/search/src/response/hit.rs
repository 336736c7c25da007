//! Documents found by a search, and their order.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;

use crate::request::SortKey;

/// A document found by a search.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hit {
    /// The document's id.
    #[serde(rename = "_id")]
    pub id: String,
    /// The score, or `None` if the hits are not sorted by score.
    #[serde(rename = "_score", default)]
    pub score: Option<f64>,
    /// The filtered source of the document.
    #[serde(rename = "_source", default, skip_serializing_if = "Option::is_none")]
    pub source: Option<Box<RawValue>>,
    /// The sort values, in the order of the sort keys.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sort: Vec<Value>,
}

/// Compares two hits by the sort keys, or by descending score if there are none, then by id.
pub fn compare_hits(sort: &[SortKey], a: &Hit, b: &Hit) -> Ordering {
    let by_score = || b.score.unwrap_or(0.0).total_cmp(&a.score.unwrap_or(0.0));
    let by_keys = || {
        let keys = sort.iter().zip(a.sort.iter().zip(&b.sort));
        let mut compared = keys.map(|(key, (a, b))| compare_values(key, a, b));
        compared.find(|ordering| ordering.is_ne()).unwrap_or(Ordering::Equal)
    };
    let ordering = if sort.is_empty() { by_score() } else { by_keys() };
    ordering.then_with(|| a.id.cmp(&b.id))
}

fn compare_values(key: &SortKey, a: &Value, b: &Value) -> Ordering {
    let missing = if key.missing_first { Ordering::Less } else { Ordering::Greater };
    let ordering = match (a, b) {
        (Value::Null, Value::Null) => return Ordering::Equal,
        (Value::Null, _) => return missing,
        (_, Value::Null) => return missing.reverse(),
        (Value::Number(a), Value::Number(b)) => match (a.as_i64(), b.as_i64()) {
            (Some(a), Some(b)) => a.cmp(&b),
            _ => a.as_f64().unwrap_or(0.0).total_cmp(&b.as_f64().unwrap_or(0.0)),
        },
        (Value::String(a), Value::String(b)) => a.cmp(b),
        (Value::Bool(a), Value::Bool(b)) => a.cmp(b),
        (a, b) => a.to_string().cmp(&b.to_string()),
    };
    if key.descending { ordering.reverse() } else { ordering }
}
