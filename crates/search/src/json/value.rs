//! JSON values and a strict parser.

use std::fmt;

use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};

use crate::error::{PARSING, SearchError};

/// The maximum size of a body in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// An integer that fits 64 bits.
    Integer(i64),
    /// Any other number.
    Float(f64),
    /// A string.
    String(String),
    /// An array.
    Array(Vec<Json>),
    /// An object, with its fields in the order of the text.
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a JSON text.
    ///
    /// # Errors
    ///
    /// The text is too long, is not valid JSON, or has a duplicate key.
    pub fn read(text: &[u8]) -> Result<Json, SearchError> {
        if text.len() > MAX_BODY_BYTES {
            let reason = format!("a body of {} bytes: {MAX_BODY_BYTES} at most", text.len());
            return Err(SearchError::new(PARSING, "", reason));
        }
        let mut reader = serde_json::Deserializer::from_slice(text);
        let read = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
            let path = error.path().to_string();
            SearchError::new(PARSING, if path == "." { String::new() } else { path }, error.inner())
        })?;
        reader.end().map_err(|error| SearchError::new(PARSING, "", error))?;
        Ok(read)
    }

    /// Returns the name of the type, as used in error reasons.
    pub fn type_name(&self) -> &'static str {
        match self {
            Json::Null => "null",
            Json::Bool(_) => "true or false",
            Json::Integer(_) | Json::Float(_) => "a number",
            Json::String(_) => "a text",
            Json::Array(_) => "a list",
            Json::Object(_) => "an object",
        }
    }

    /// Converts to a `serde_json` value. Fields of objects keep their order.
    pub fn to_serde(&self) -> serde_json::Value {
        use serde_json::Value;
        match self {
            Json::Null => Value::Null,
            Json::Bool(bool) => Value::from(*bool),
            Json::Integer(integer) => Value::from(*integer),
            Json::Float(float) => Value::from(*float),
            Json::String(string) => Value::from(&**string),
            Json::Array(items) => items.iter().map(Json::to_serde).collect(),
            Json::Object(fields) => {
                fields.iter().map(|(key, value)| (key.clone(), value.to_serde())).collect()
            }
        }
    }
}

impl<'de> Deserialize<'de> for Json {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Json, D::Error> {
        deserializer.deserialize_any(StrictVisitor)
    }
}

/// Accepts any value except objects with duplicate keys.
struct StrictVisitor;

impl<'de> Visitor<'de> for StrictVisitor {
    type Value = Json;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("JSON")
    }

    fn visit_unit<E: Error>(self) -> Result<Json, E> {
        Ok(Json::Null)
    }

    fn visit_bool<E: Error>(self, bool: bool) -> Result<Json, E> {
        Ok(Json::Bool(bool))
    }

    fn visit_i64<E: Error>(self, integer: i64) -> Result<Json, E> {
        Ok(Json::Integer(integer))
    }

    fn visit_u64<E: Error>(self, integer: u64) -> Result<Json, E> {
        let in_range = i64::try_from(integer).map(Json::Integer);
        in_range.map_err(|_| E::custom(format!("{integer} is out of range")))
    }

    fn visit_f64<E: Error>(self, float: f64) -> Result<Json, E> {
        Ok(Json::Float(float))
    }

    fn visit_str<E: Error>(self, string: &str) -> Result<Json, E> {
        Ok(Json::String(string.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Json, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element()? {
            items.push(item);
        }
        Ok(Json::Array(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Json, A::Error> {
        let mut fields: Vec<(String, Json)> = Vec::new();
        while let Some(key) = access.next_key::<String>()? {
            let value = access.next_value()?;
            fields.push((key, value));
        }
        let mut keys: Vec<&str> = fields.iter().map(|(key, _)| &**key).collect();
        keys.sort_unstable();
        match keys.windows(2).find(|pair| pair[0] == pair[1]) {
            Some(pair) => Err(A::Error::custom(format!("the key '{}' is there twice", pair[0]))),
            None => Ok(Json::Object(fields)),
        }
    }
}
