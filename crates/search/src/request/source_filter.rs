//! `_source`: the fields of a document that a response includes.

use serde_json::{Value, json};

use crate::error::SearchError;
use crate::json::{Cursor, Json};

/// The fields of a document that a response includes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SourceFilter {
    /// Whether the source is left out completely.
    pub nothing: bool,
    /// Patterns of the included fields. If empty, all fields are included.
    pub includes: Vec<String>,
    /// Patterns of the excluded fields.
    pub excludes: Vec<String>,
}

impl SourceFilter {
    pub(super) fn parse(at: &Cursor) -> Result<SourceFilter, SearchError> {
        match at.value {
            Json::Bool(all) => Ok(SourceFilter { nothing: !all, ..SourceFilter::default() }),
            Json::Object(_) => {
                at.check_keys("_source", &["includes", "excludes"], &["include", "exclude"])?;
                let patterns = |name| at.get(name).map_or(Ok(Vec::new()), |at| parse_patterns(&at));
                let (includes, excludes) = (patterns("includes")?, patterns("excludes")?);
                Ok(SourceFilter { nothing: false, includes, excludes })
            }
            _ => Ok(SourceFilter { includes: parse_patterns(at)?, ..SourceFilter::default() }),
        }
    }

    /// Returns the filter as JSON, or `None` if it includes everything.
    pub(super) fn to_json(&self) -> Option<Value> {
        match self {
            SourceFilter { nothing: true, .. } => Some(json!(false)),
            SourceFilter { includes, excludes, .. } if !includes.is_empty() || !excludes.is_empty() => {
                Some(json!({"includes": includes, "excludes": excludes}))
            }
            _ => None,
        }
    }
}

/// Parses a pattern or a list of patterns. Sorts them and removes duplicates.
fn parse_patterns(at: &Cursor) -> Result<Vec<String>, SearchError> {
    let patterns = at.items_or_self();
    let patterns = patterns.iter().map(|at| at.as_str().map(str::to_owned));
    let mut patterns = patterns.collect::<Result<Vec<String>, SearchError>>()?;
    patterns.sort();
    patterns.dedup();
    Ok(patterns)
}
