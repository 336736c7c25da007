//! Filters the fields of a document that a response includes.

use serde_json::value::RawValue;
use serde_json::{Map, Value};

use crate::glob::glob_matches;
use crate::request::SourceFilter;

/// Returns the filtered source of a document, or `None` if the filter excludes everything.
pub(super) fn filter_source(filter: &SourceFilter, source: &Value) -> Option<Box<RawValue>> {
    let kept = if filter.nothing {
        return None;
    } else if filter.includes.is_empty() && filter.excludes.is_empty() {
        Some(source.clone())
    } else {
        filter_value(filter, source, "")
    };
    let kept = kept.unwrap_or_else(|| Value::Object(Map::new()));
    serde_json::value::to_raw_value(&kept).ok()
}

fn filter_value(filter: &SourceFilter, value: &Value, path: &str) -> Option<Value> {
    match value {
        Value::Object(fields) => {
            let mut kept = Map::new();
            for (key, value) in fields {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                if matches_any(&filter.excludes, &path) {
                    continue;
                }
                if let Some(value) = filter_value(filter, value, &path) {
                    kept.insert(key.clone(), value);
                }
            }
            (!kept.is_empty()).then_some(Value::Object(kept))
        }
        _ => (filter.includes.is_empty() || matches_any(&filter.includes, path)).then(|| value.clone()),
    }
}

/// Returns whether a pattern matches the path itself or an object that contains it.
fn matches_any(patterns: &[String], path: &str) -> bool {
    let matches =
        |pattern: &String| glob_matches(pattern, path) || glob_matches(&format!("{pattern}.*"), path);
    patterns.iter().any(matches)
}
