//! Typed access to JSON documents. Every error states the path in the document and what to send instead.

use std::fmt;

use derive_more::{Display, Error};
use serde_json::{Map, Value};

/// A value is missing or has the wrong type.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{path}: {reason}")]
pub struct ReadError {
    /// Path of the value in the document, such as `routes[3].timeout-ms`.
    pub path: String,
    /// What is wrong with the value, and what to send instead.
    pub reason: String,
}

/// The relation of a value to its parent.
#[derive(Clone, Copy)]
enum Step<'p> {
    /// The value is the document itself.
    Root,
    /// The value is a field of an object.
    Field(&'p str),
    /// The value is an item of a list, counted from 0.
    Item(usize),
}

/// A value of a document together with its path. Cheap to create: the path is built only for errors.
#[derive(Clone, Copy)]
pub struct ValueReader<'v, 'p> {
    value: &'v Value,
    parent: Option<&'p ValueReader<'v, 'p>>,
    step: Step<'p>,
}

impl<'v, 'p> ValueReader<'v, 'p> {
    /// Creates a reader of a document.
    pub fn root(value: &'v Value) -> ValueReader<'v, 'p> {
        ValueReader { value, parent: None, step: Step::Root }
    }

    /// Returns the value.
    pub fn value(&self) -> &'v Value {
        self.value
    }

    /// Returns the path of the value in the document; `document` for the document itself.
    pub fn path(&self) -> String {
        match self.step {
            Step::Root => "document".to_owned(),
            _ => PathDisplay(self).to_string(),
        }
    }

    /// Returns an error for this value.
    pub fn error(&self, reason: impl Into<String>) -> ReadError {
        ReadError { path: self.path(), reason: reason.into() }
    }

    /// Returns an error for the field `name` of this object, which need not exist.
    pub fn field_error(&self, name: &str, reason: impl Into<String>) -> ReadError {
        let path = match self.step {
            Step::Root => name.to_owned(),
            _ => format!("{}.{name}", self.path()),
        };
        ReadError { path, reason: reason.into() }
    }

    /// Returns the fields of an object.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not an object.
    pub fn object(&self) -> Result<&'v Map<String, Value>, ReadError> {
        self.value.as_object().ok_or_else(|| self.error("must be a JSON object"))
    }

    /// Returns an optional field; `None` if it is missing or `null`.
    ///
    /// # Errors
    ///
    /// Returns an error if this value is not an object.
    pub fn optional<'c>(&'c self, name: &'c str) -> Result<Option<ValueReader<'v, 'c>>, ReadError>
    where
        'p: 'c,
    {
        let field = self.object()?.get(name).filter(|value| !value.is_null());
        Ok(field.map(|value| ValueReader { value, parent: Some(self), step: Step::Field(name) }))
    }

    /// Returns a required field.
    ///
    /// # Errors
    ///
    /// Returns an error if this value is not an object, or if the field is missing or `null`.
    pub fn field<'c>(&'c self, name: &'c str) -> Result<ValueReader<'v, 'c>, ReadError>
    where
        'p: 'c,
    {
        self.optional(name)?.ok_or_else(|| self.field_error(name, "is missing; send this field"))
    }

    /// Iterates over the items of a list.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a list.
    pub fn items<'c>(&'c self) -> Result<impl Iterator<Item = ValueReader<'v, 'c>>, ReadError>
    where
        'p: 'c,
    {
        let list = self.value.as_array().ok_or_else(|| self.error("must be a list"))?;
        Ok(list.iter().enumerate().map(move |(index, value)| ValueReader {
            value,
            parent: Some(self),
            step: Step::Item(index),
        }))
    }

    /// Returns a string.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a string.
    pub fn text(&self) -> Result<&'v str, ReadError> {
        self.value.as_str().ok_or_else(|| self.error("must be a text"))
    }

    /// Returns a string of at least one character.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is empty or not a string.
    pub fn non_empty_text(&self) -> Result<&'v str, ReadError> {
        match self.text()? {
            "" => Err(self.error("must not be empty")),
            text => Ok(text),
        }
    }

    /// Returns an integer of at least 0. A float without a fraction such as `7.0` is accepted.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is negative, has a fraction, or is not a number.
    pub fn unsigned(&self) -> Result<u64, ReadError> {
        if let Some(number) = self.value.as_u64() {
            return Ok(number);
        }
        match self.value.as_f64() {
            Some(number) if (0.0..=MAX_WHOLE_FLOAT).contains(&number) && number.fract() == 0.0 => {
                Ok(number as u64)
            }
            _ => Err(self.error("must be a whole number of zero or more")),
        }
    }

    /// Returns a count or a limit: an integer of at least 0. One that exceeds 32 bits counts as the largest of them, which
    /// stands for "no limit".
    ///
    /// # Errors
    ///
    /// Returns an error if the value is negative, has a fraction, or is not a number.
    pub fn count(&self) -> Result<u32, ReadError> {
        match self.value.as_f64() {
            Some(number) if number >= 0.0 && number.fract() == 0.0 => Ok(number as u32),
            _ => Err(self.error("must be a whole number of zero or more")),
        }
    }

    /// Returns a number of at least 0.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is negative or not a number.
    pub fn number(&self) -> Result<f64, ReadError> {
        match self.value.as_f64() {
            Some(number) if number >= 0.0 && number.is_finite() => Ok(number),
            _ => Err(self.error("must be a number of zero or more")),
        }
    }

    /// Returns a boolean.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a boolean.
    pub fn flag(&self) -> Result<bool, ReadError> {
        self.value.as_bool().ok_or_else(|| self.error("must be true or false"))
    }
}

/// The largest float up to which every integer is exact (2^53).
const MAX_WHOLE_FLOAT: f64 = 9_007_199_254_740_992.0;

/// Displays the path of a value.
struct PathDisplay<'r, 'v, 'p>(&'r ValueReader<'v, 'p>);

impl fmt::Display for PathDisplay<'_, '_, '_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let reader = self.0;
        if let Some(parent) = reader.parent {
            PathDisplay(parent).fmt(formatter)?;
        }
        match reader.step {
            Step::Root => Ok(()),
            Step::Item(index) => write!(formatter, "[{index}]"),
            Step::Field(name) => {
                let separator = match reader.parent.map(|parent| parent.step) {
                    None | Some(Step::Root) => "",
                    Some(_) => ".",
                };
                write!(formatter, "{separator}{name}")
            }
        }
    }
}
