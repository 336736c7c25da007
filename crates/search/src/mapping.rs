//! The fields of an index and their types.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use derive_more::{Display, Error};

use crate::date::{self, Rounding};
use crate::error::SearchError;
use crate::json::{Cursor, Json};

/// Type of a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FieldType {
    /// A string, matched as a whole.
    Keyword,
    /// A string that is split into words of letters and digits, in lower case.
    Text,
    /// A 64-bit integer.
    Long,
    /// A floating-point number.
    Double,
    /// `true` or `false`.
    Boolean,
    /// Milliseconds since 1970, written as such or as ISO 8601.
    Date,
}

impl FieldType {
    const ALL: [FieldType; 6] = [
        FieldType::Keyword,
        FieldType::Text,
        FieldType::Long,
        FieldType::Double,
        FieldType::Boolean,
        FieldType::Date,
    ];

    /// Returns the name of the type in OpenSearch.
    pub fn name(self) -> &'static str {
        match self {
            FieldType::Keyword => "keyword",
            FieldType::Text => "text",
            FieldType::Long => "long",
            FieldType::Double => "double",
            FieldType::Boolean => "boolean",
            FieldType::Date => "date",
        }
    }
}

/// A single value. Values of one type sort in their natural order.
#[derive(Clone, Debug, PartialEq)]
pub enum FieldValue {
    /// A boolean.
    Bool(bool),
    /// A long, or a date in milliseconds since 1970.
    Integer(i64),
    /// A double; never NaN.
    Float(f64),
    /// A keyword, or a word of a text.
    String(String),
}

impl Eq for FieldValue {}

impl PartialOrd for FieldValue {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for FieldValue {
    fn cmp(&self, other: &Self) -> Ordering {
        let rank = |value: &FieldValue| match value {
            FieldValue::Bool(_) => 0,
            FieldValue::Integer(_) => 1,
            FieldValue::Float(_) => 2,
            FieldValue::String(_) => 3,
        };
        match (self, other) {
            (FieldValue::Bool(a), FieldValue::Bool(b)) => a.cmp(b),
            (FieldValue::Integer(a), FieldValue::Integer(b)) => a.cmp(b),
            (FieldValue::Float(a), FieldValue::Float(b)) => a.total_cmp(b),
            (FieldValue::String(a), FieldValue::String(b)) => a.cmp(b),
            _ => rank(self).cmp(&rank(other)),
        }
    }
}

impl FieldValue {
    /// Returns the value as JSON.
    pub fn to_json(&self) -> serde_json::Value {
        match self {
            FieldValue::Bool(bool) => (*bool).into(),
            FieldValue::Integer(integer) => (*integer).into(),
            FieldValue::Float(float) => (*float).into(),
            FieldValue::String(string) => (&**string).into(),
        }
    }

    /// Returns the string of a keyword or word, or `None` for other values.
    pub fn as_str(&self) -> Option<&str> {
        match self {
            FieldValue::String(string) => Some(string),
            _ => None,
        }
    }
}

/// The error for an unknown field type.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{field}: unknown type '{type_name}'")]
pub struct UnknownFieldType {
    field: String,
    type_name: String,
}

/// The fields of an index, by their dotted names.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize)]
#[serde(transparent)]
pub struct Mapping {
    /// The type of each field.
    pub fields: BTreeMap<String, FieldType>,
}

impl Mapping {
    /// Creates a mapping from pairs of a field name and a type name.
    ///
    /// # Errors
    ///
    /// A type is unknown.
    pub fn from_names(fields: &[(&str, &str)]) -> Result<Mapping, UnknownFieldType> {
        let parse = |&(field, type_name): &(&str, &str)| {
            let unknown = || UnknownFieldType { field: field.to_owned(), type_name: type_name.to_owned() };
            let known = FieldType::ALL.into_iter().find(|known| known.name() == type_name);
            Ok((field.to_owned(), known.ok_or_else(unknown)?))
        };
        Ok(Mapping { fields: fields.iter().map(parse).collect::<Result<_, UnknownFieldType>>()? })
    }

    /// Returns the type of the field that a clause names.
    ///
    /// # Errors
    ///
    /// The index has no such field.
    pub fn field_type(&self, at: &Cursor, field: &str) -> Result<FieldType, SearchError> {
        let found = self.fields.get(field).copied();
        found.ok_or_else(|| at.error(format!("the index has no field '{field}'")))
    }

    /// Checks that the index has every field of a document and that the values have its type. An array holds several
    /// values, `null` none.
    ///
    /// # Errors
    ///
    /// A field is unknown, or a value does not have its type.
    pub fn check_document(&self, document: &Cursor) -> Result<(), SearchError> {
        self.check_object(document, "")
    }

    fn check_object(&self, object: &Cursor, prefix: &str) -> Result<(), SearchError> {
        for (key, value) in object.fields()? {
            let name = if prefix.is_empty() { key.to_owned() } else { format!("{prefix}.{key}") };
            match self.fields.get(&name) {
                Some(&field_type) => {
                    for item in value.items_or_self() {
                        if *item.value != Json::Null {
                            parse_value(field_type, &item, 0)?;
                        }
                    }
                }
                None if matches!(value.value, Json::Object(_)) => self.check_object(&value, &name)?,
                None => return Err(value.error(format!("the index has no field '{name}'"))),
            }
        }
        Ok(())
    }
}

/// Parses a value of a type from a clause or a document. `now` is in milliseconds since 1970.
///
/// # Errors
///
/// The value does not have this type.
pub fn parse_value(field_type: FieldType, at: &Cursor, now: i64) -> Result<FieldValue, SearchError> {
    let value = match field_type {
        FieldType::Keyword | FieldType::Text => {
            at.as_str().map(|string| FieldValue::String(string.to_owned()))
        }
        FieldType::Long => at.as_i64().map(FieldValue::Integer),
        FieldType::Double => at.as_f64().map(FieldValue::Float),
        FieldType::Boolean => at.as_bool().map(FieldValue::Bool),
        FieldType::Date => match at.value {
            Json::Integer(millis) => Ok(FieldValue::Integer(*millis)),
            Json::String(text) => date::read(text, None, now, Rounding::Down)
                .map(FieldValue::Integer)
                .map_err(|error| at.error(error)),
            _ => Err(at.error(format!("should be a date or milliseconds, not {}", at.value.type_name()))),
        },
    };
    value.map_err(|error| SearchError {
        reason: format!("{} (the field is a {})", error.reason, field_type.name()),
        ..error
    })
}

/// Returns the words of a text, in order.
pub fn tokenize(text: &str) -> Vec<String> {
    // Converted to lower case first: some characters become several, and not all of those are letters.
    let text = text.to_lowercase();
    let words = text.split(|character: char| !character.is_alphanumeric());
    words.filter(|word| !word.is_empty()).map(str::to_owned).collect()
}
