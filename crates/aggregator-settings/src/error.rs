//! Errors in settings.

use derive_more::{Display, Error};
use serde_json::Value;

/// A setting that cannot be used. The text names the full path of the key and the expected value.
#[derive(Clone, Debug, PartialEq, Display, Error)]
#[display("{key}: {problem}")]
pub struct SettingsError {
    /// Path of the key, such as `settings.classes[0].effect`.
    pub key: String,
    /// Why the value cannot be used.
    pub problem: Problem,
}

/// Why the value of a setting cannot be used.
#[derive(Clone, Debug, PartialEq, Display)]
pub enum Problem {
    /// A required key is missing.
    #[display("missing")]
    Missing,
    /// The value has the wrong type or range.
    #[display("should be {expected}, not {found}")]
    Unexpected {
        /// The expected type or range.
        expected: &'static str,
        /// The value found.
        found: Value,
    },
    /// The value has the right type but cannot be used, for the given reason.
    #[display("{_0}")]
    Unusable(String),
}

impl From<SettingsError> for String {
    /// Returns the text of the error, for callers that report texts.
    fn from(error: SettingsError) -> String {
        error.to_string()
    }
}
