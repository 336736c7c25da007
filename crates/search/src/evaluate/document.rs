//! Documents and the values of their fields.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::error::SearchError;
use crate::json::{Cursor, Json};
use crate::mapping::{FieldType, FieldValue, Mapping, parse_value, tokenize};

/// A document and the values of its fields.
#[derive(Clone, Debug)]
pub struct Document {
    /// The document's id.
    pub id: String,
    /// The JSON source of the document.
    pub source: Value,
    values: BTreeMap<String, Vec<FieldValue>>,
    /// The words of each text field.
    words: BTreeMap<String, Vec<String>>,
}

impl Document {
    /// Creates a document of an index with this mapping.
    ///
    /// # Errors
    ///
    /// The source is too long, or a value does not fit the mapping; the error names the field.
    pub fn new(id: &str, source: Value, mapping: &Mapping) -> Result<Document, SearchError> {
        let text = source.to_string();
        let json = Json::read(text.as_bytes())?;
        mapping.check_document(&Cursor::root(&json))?;
        let mut document =
            Document { id: id.to_owned(), source, values: BTreeMap::new(), words: BTreeMap::new() };
        for (name, &field_type) in &mapping.fields {
            let mut values = Vec::new();
            collect_values(&json, name, field_type, &mut values);
            if field_type == FieldType::Text {
                let words = values.iter().filter_map(FieldValue::as_str).flat_map(tokenize).collect();
                document.words.insert(name.clone(), words);
            }
            if !values.is_empty() {
                document.values.insert(name.clone(), values);
            }
        }
        Ok(document)
    }

    /// Returns the values of a field.
    pub(super) fn values(&self, field: &str) -> &[FieldValue] {
        self.values.get(field).map_or(&[], Vec::as_slice)
    }

    /// Returns whether a field is a text, which is matched by its words.
    pub(super) fn is_text(&self, field: &str) -> bool {
        self.words.contains_key(field)
    }

    /// Returns the strings that a pattern or term is compared with: the words of a text, else the values.
    pub(super) fn strings(&self, field: &str) -> Vec<&str> {
        match self.words.get(field) {
            Some(words) => words.iter().map(String::as_str).collect(),
            None => self.values(field).iter().filter_map(FieldValue::as_str).collect(),
        }
    }
}

/// Collects the values of a field by its dotted name, through nested objects whose keys may contain dots.
fn collect_values(json: &Json, name: &str, field_type: FieldType, values: &mut Vec<FieldValue>) {
    let Json::Object(fields) = json else { return };
    for (key, value) in fields {
        if key == name {
            let at = Cursor::root(value);
            for item in at.items_or_self() {
                values.extend(parse_value(field_type, &item, 0).ok());
            }
        } else if let Some(rest) = name.strip_prefix(&**key).and_then(|rest| rest.strip_prefix('.')) {
            collect_values(value, rest, field_type, values);
        }
    }
}
