//! `sort`: the sort order of hits.

use serde_json::{Value, json};

use crate::error::SearchError;
use crate::json::{Cursor, Json};
use crate::mapping::{FieldType, Mapping};

/// Keys of a sort that OpenSearch supports and this language does not.
const UNSUPPORTED: [&str; 5] = ["mode", "nested", "unmapped_type", "numeric_type", "format"];

/// One key of a sort.
#[derive(Clone, Debug, PartialEq)]
pub struct SortKey {
    /// The field, or `None` for the score.
    pub field: Option<String>,
    /// Whether the highest values come first.
    pub descending: bool,
    /// Whether documents without a value come first.
    pub missing_first: bool,
}

impl SortKey {
    pub(super) fn to_json(&self) -> Value {
        let order = if self.descending { "desc" } else { "asc" };
        match &self.field {
            None => json!({"_score": {"order": order}}),
            Some(field) => {
                let missing = if self.missing_first { "_first" } else { "_last" };
                json!({field: {"order": order, "missing": missing}})
            }
        }
    }

    /// Parses a key by its field name; `options` are the options given with the name.
    fn parse(
        at: &Cursor,
        name: &str,
        options: Option<&Cursor>,
        mapping: &Mapping,
    ) -> Result<SortKey, SearchError> {
        let field = match name {
            "_score" => None,
            "_doc" | "_id" | "_shard_doc" | "_script" | "_geo_distance" => {
                return Err(at.error(format!("no sort by '{name}' here")));
            }
            field if mapping.field_type(at, field)? == FieldType::Text => {
                return Err(at.error(format!("no sort by '{field}', which is a text")));
            }
            field => Some(field.to_owned()),
        };
        let mut key = SortKey { descending: field.is_none(), field, missing_first: false };
        match options.map(|at| (at, at.value)) {
            None => {}
            Some((at, Json::String(_))) => key.descending = parse_descending(at)?,
            Some((at, _)) => key.parse_options(at)?,
        }
        Ok(key)
    }

    fn parse_options(&mut self, at: &Cursor) -> Result<(), SearchError> {
        let known: &[&str] = if self.field.is_some() { &["order", "missing"] } else { &["order"] };
        at.check_keys("a sort", known, &UNSUPPORTED)?;
        if let Some(at) = at.get("order") {
            self.descending = parse_descending(&at)?;
        }
        if let Some(at) = at.get("missing") {
            self.missing_first = match at.as_str()? {
                "_first" => true,
                "_last" => false,
                other => return Err(at.error(format!("no '{other}': '_first' or '_last'"))),
            };
        }
        Ok(())
    }
}

fn parse_descending(at: &Cursor) -> Result<bool, SearchError> {
    match at.as_str()? {
        "asc" => Ok(false),
        "desc" => Ok(true),
        other => Err(at.error(format!("no order '{other}': 'asc' or 'desc'"))),
    }
}

/// Parses the keys of a sort. Returns an empty list for a sort by descending score alone, which is the default.
pub(super) fn parse_sort(at: &Cursor, mapping: &Mapping) -> Result<Vec<SortKey>, SearchError> {
    let mut keys: Vec<SortKey> = Vec::new();
    for item in at.items_or_self() {
        let key = match item.value {
            Json::String(name) => SortKey::parse(&item, name, None, mapping)?,
            _ => {
                let (name, options) = item.single_field()?;
                SortKey::parse(&options, name, Some(&options), mapping)?
            }
        };
        if keys.iter().any(|other| other.field == key.field) {
            return Err(item.error("sorted by twice"));
        }
        keys.push(key);
    }
    let is_score_alone = matches!(keys[..], [SortKey { field: None, descending: true, .. }]);
    Ok(if is_score_alone { Vec::new() } else { keys })
}
