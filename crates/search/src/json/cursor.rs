//! Cursors: a JSON value with its path, for error messages.

use std::fmt::Display;

use super::value::Json;
use crate::error::{PARSING, SearchError};

/// The last step of a path.
#[derive(Clone, Copy, Debug)]
enum Step<'a> {
    Root,
    Key(&'a str),
    Item(usize),
}

/// A JSON value and its path. The path is only formatted when an error needs it, because most bodies are valid.
#[derive(Clone, Copy, Debug)]
pub struct Cursor<'a> {
    /// The value.
    pub value: &'a Json,
    parent: Option<&'a Cursor<'a>>,
    step: Step<'a>,
}

impl<'a> Cursor<'a> {
    /// Returns a cursor for the root of a JSON text.
    pub fn root(value: &'a Json) -> Cursor<'a> {
        Cursor { value, parent: None, step: Step::Root }
    }

    fn child(&'a self, step: Step<'a>, value: &'a Json) -> Cursor<'a> {
        Cursor { value, parent: Some(self), step }
    }

    /// Returns the path: keys separated by dots, and array indices in brackets.
    pub fn path(&self) -> String {
        let mut path = self.parent.map(Cursor::path).unwrap_or_default();
        match self.step {
            Step::Root => {}
            Step::Key(key) if path.is_empty() => path.push_str(key),
            Step::Key(key) => path.push_str(&format!(".{key}")),
            Step::Item(index) => path.push_str(&format!("[{index}]")),
        }
        path
    }

    /// Creates an error at this path.
    pub fn error(&self, reason: impl Display) -> SearchError {
        SearchError::new(PARSING, self.path(), reason)
    }

    fn unexpected_type(&self, expected: &str) -> SearchError {
        self.error(format!("should be {expected}, not {}", self.value.type_name()))
    }

    /// Returns the fields of an object.
    ///
    /// # Errors
    ///
    /// The value is not an object.
    pub fn fields(&'a self) -> Result<impl Iterator<Item = (&'a str, Cursor<'a>)>, SearchError> {
        let Json::Object(fields) = self.value else { return Err(self.unexpected_type("an object")) };
        Ok(fields.iter().map(|(key, value)| (&**key, self.child(Step::Key(key), value))))
    }

    /// Returns the field with this key, or `None` if the value is not an object or has no such field.
    pub fn get(&'a self, name: &'a str) -> Option<Cursor<'a>> {
        let Json::Object(fields) = self.value else { return None };
        let (key, value) = fields.iter().find(|(key, _)| key == name)?;
        Some(self.child(Step::Key(key), value))
    }

    /// Returns the only field of an object that must have exactly one.
    ///
    /// # Errors
    ///
    /// The value is not an object, or does not have exactly one field.
    pub fn single_field(&'a self) -> Result<(&'a str, Cursor<'a>), SearchError> {
        let mut fields = self.fields()?;
        match (fields.next(), fields.next()) {
            (Some(field), None) => Ok(field),
            (None, _) => Err(self.error("should have one key, not none")),
            (Some((one, _)), Some((other, _))) => {
                Err(self.error(format!("should have one key, not '{one}' and '{other}'")))
            }
        }
    }

    /// Checks that all keys are known. Keys that OpenSearch supports but this language does not are reported as such.
    /// `what` is the name of the object in error reasons.
    ///
    /// # Errors
    ///
    /// The value is not an object, or has another key.
    pub fn check_keys(&'a self, what: &str, known: &[&str], unsupported: &[&str]) -> Result<(), SearchError> {
        for (key, at) in self.fields()? {
            if unsupported.contains(&key) {
                return Err(at.error(format!("'{key}' is not supported here")));
            }
            if !known.contains(&key) {
                return Err(at.error(format!("{what} knows no key '{key}'")));
            }
        }
        Ok(())
    }

    /// Returns the items of an array.
    ///
    /// # Errors
    ///
    /// The value is not an array.
    pub fn items(&'a self) -> Result<impl Iterator<Item = Cursor<'a>>, SearchError> {
        let Json::Array(items) = self.value else { return Err(self.unexpected_type("a list")) };
        Ok(items.iter().enumerate().map(|(index, value)| self.child(Step::Item(index), value)))
    }

    /// Returns the items of an array. Any other value is treated as an array with one item.
    pub fn items_or_self(&'a self) -> Vec<Cursor<'a>> {
        match self.value {
            Json::Array(items) => {
                let items = items.iter().enumerate();
                items.map(|(index, value)| self.child(Step::Item(index), value)).collect()
            }
            _ => vec![*self],
        }
    }

    /// Returns the string.
    ///
    /// # Errors
    ///
    /// The value is not a string.
    pub fn as_str(&self) -> Result<&'a str, SearchError> {
        match self.value {
            Json::String(string) => Ok(string),
            _ => Err(self.unexpected_type("a text")),
        }
    }

    /// Returns the boolean.
    ///
    /// # Errors
    ///
    /// The value is not a boolean.
    pub fn as_bool(&self) -> Result<bool, SearchError> {
        match self.value {
            Json::Bool(bool) => Ok(*bool),
            _ => Err(self.unexpected_type("true or false")),
        }
    }

    /// Returns the integer.
    ///
    /// # Errors
    ///
    /// The value is not a 64-bit integer.
    pub fn as_i64(&self) -> Result<i64, SearchError> {
        match self.value {
            Json::Integer(integer) => Ok(*integer),
            _ => Err(self.unexpected_type("a whole number")),
        }
    }

    /// Returns the number.
    ///
    /// # Errors
    ///
    /// The value is not a number.
    pub fn as_f64(&self) -> Result<f64, SearchError> {
        match self.value {
            Json::Integer(integer) => Ok(*integer as f64),
            // Adding 0.0 turns -0.0 into 0.0. Both compare as equal, so they must have the same canonical form.
            Json::Float(float) => Ok(float + 0.0),
            _ => Err(self.unexpected_type("a number")),
        }
    }
}
