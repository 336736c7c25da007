//! Typed access to the fields of a JSON object. Errors name the full path of the field.

use std::borrow::Cow;

use orchidvalve::interface::MAX_DURATION;
use serde_json::{Map, Value};

use crate::error::{Problem, SettingsError};

/// The fields of an object.
pub type Fields = Map<String, Value>;

/// A JSON object with its path in the document.
#[derive(Clone, Debug)]
pub struct Section<'a> {
    path: Cow<'a, str>,
    /// `None` for an optional section that is absent.
    fields: Option<&'a Fields>,
}

impl<'a> Section<'a> {
    /// Returns the section for the given fields.
    pub fn new(path: impl Into<Cow<'a, str>>, fields: &'a Fields) -> Self {
        Section { path: path.into(), fields: Some(fields) }
    }

    /// Returns the section for a JSON object.
    ///
    /// # Errors
    ///
    /// If the value is not an object.
    pub fn of(path: impl Into<Cow<'a, str>>, value: &'a Value) -> Result<Self, SettingsError> {
        let path = path.into();
        match value.as_object() {
            Some(fields) => Ok(Section { path, fields: Some(fields) }),
            None => {
                let problem = Problem::Unexpected { expected: "an object", found: value.clone() };
                Err(SettingsError { key: path.into_owned(), problem })
            }
        }
    }

    /// Returns the value of a field, of any type.
    pub fn get(&self, name: &str) -> Option<&'a Value> {
        self.fields.and_then(|fields| fields.get(name))
    }

    /// Whether the field is present.
    pub fn has(&self, name: &str) -> bool {
        self.get(name).is_some()
    }

    /// Returns an error for a field of this section.
    pub fn error(&self, name: &str, problem: impl Into<String>) -> SettingsError {
        SettingsError { key: self.path_of(name), problem: Problem::Unusable(problem.into()) }
    }

    /// Returns the error for a missing field.
    pub fn missing(&self, name: &str) -> SettingsError {
        SettingsError { key: self.path_of(name), problem: Problem::Missing }
    }

    fn field<T>(
        &self,
        name: &str,
        expected: &'static str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, SettingsError> {
        let found = self.get(name).ok_or_else(|| self.missing(name))?;
        read(found).ok_or_else(|| {
            let problem = Problem::Unexpected { expected, found: found.clone() };
            SettingsError { key: self.path_of(name), problem }
        })
    }

    /// Reads a string.
    ///
    /// # Errors
    ///
    /// If the field is missing or has another type. The same holds for the other methods that read one field.
    pub fn text(&self, name: &str) -> Result<&'a str, SettingsError> {
        self.field(name, "text", Value::as_str)
    }

    /// Reads an integer.
    ///
    /// # Errors
    ///
    /// As for [`Section::text`].
    pub fn integer(&self, name: &str) -> Result<i64, SettingsError> {
        self.field(name, "a whole number", Value::as_i64)
    }

    /// Reads a duration in nanoseconds, 0 or more. One above [`MAX_DURATION`] counts as that.
    ///
    /// # Errors
    ///
    /// As for [`Section::text`].
    pub fn duration(&self, name: &str) -> Result<i64, SettingsError> {
        let expected = "a whole number, 0 or more";
        let duration = self.field(name, expected, |value| value.as_i64().filter(|&number| number >= 0))?;
        Ok(duration.min(MAX_DURATION))
    }

    /// Reads a fraction, multiple or rate: a number of 0 or more.
    ///
    /// # Errors
    ///
    /// As for [`Section::text`].
    pub fn non_negative(&self, name: &str) -> Result<f64, SettingsError> {
        self.field(name, "a number, 0 or more", |value| value.as_f64().filter(|&number| number >= 0.0))
    }

    /// Reads a count or an index.
    ///
    /// # Errors
    ///
    /// As for [`Section::text`].
    pub fn index(&self, name: &str) -> Result<usize, SettingsError> {
        self.field(name, "an index", |value| value.as_u64().and_then(|number| usize::try_from(number).ok()))
    }

    /// Reads a number.
    ///
    /// # Errors
    ///
    /// As for [`Section::text`].
    pub fn number(&self, name: &str) -> Result<f64, SettingsError> {
        self.field(name, "a number", Value::as_f64)
    }

    /// Reads a Boolean.
    ///
    /// # Errors
    ///
    /// As for [`Section::text`].
    pub fn flag(&self, name: &str) -> Result<bool, SettingsError> {
        self.field(name, "true or false", Value::as_bool)
    }

    /// Reads an optional field. Returns `default` if it is absent.
    ///
    /// # Errors
    ///
    /// The errors of `read`.
    pub fn or<T>(
        &self,
        name: &str,
        default: T,
        read: impl Fn(&Self, &str) -> Result<T, SettingsError>,
    ) -> Result<T, SettingsError> {
        if self.has(name) { read(self, name) } else { Ok(default) }
    }

    /// Returns a nested section. An absent one reads as empty.
    ///
    /// # Errors
    ///
    /// If the field is not an object.
    pub fn section(&self, name: &str) -> Result<Section<'a>, SettingsError> {
        let path = self.path_of(name);
        match self.get(name) {
            None => Ok(Section { path: path.into(), fields: None }),
            Some(value) => Section::of(path, value),
        }
    }

    /// Returns the objects of a list, or `None` if the field is absent.
    ///
    /// # Errors
    ///
    /// If the field is not a list of objects.
    pub fn list(&self, name: &str) -> Result<Option<Vec<Section<'a>>>, SettingsError> {
        if !self.has(name) {
            return Ok(None);
        }
        let items = self.field(name, "a list", Value::as_array)?;
        let path = self.path_of(name);
        let numbered = items.iter().enumerate();
        let sections = numbered.map(|(index, item)| Section::of(format!("{path}[{index}]"), item));
        sections.collect::<Result<_, _>>().map(Some)
    }

    /// Returns the strings of an optional list.
    ///
    /// # Errors
    ///
    /// If the field is not a list of strings.
    pub fn texts(&self, name: &str) -> Result<Vec<&'a str>, SettingsError> {
        let read = |value: &'a Value| value.as_array()?.iter().map(Value::as_str).collect();
        if self.has(name) { self.field(name, "a list of texts", read) } else { Ok(Vec::new()) }
    }

    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }
}
