//! The operators' TOML files: parsing and common checks.

use std::fmt::Display;
use std::net::SocketAddrV4;

use derive_more::{Display as DeriveDisplay, Error, From};
use orchidvalve::interface::Nanos;
use serde::de::DeserializeOwned;

/// Why an operator's file is invalid.
#[derive(Clone, Debug, DeriveDisplay, Error, From)]
pub enum SettingsFileError {
    /// The file is not valid TOML, or a key is missing, unknown or of the wrong type.
    #[display("{_0}")]
    Toml(toml::de::Error),
    /// The value of a key is invalid.
    #[from(ignore)]
    #[display("{key}: {problem}")]
    Value {
        /// The full key, such as `logbook.dir`.
        key: String,
        /// What the value should be.
        problem: String,
    },
}

/// Parses the text of a file.
///
/// # Errors
///
/// Fails if the text is not valid TOML or does not have the form of `T`.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, SettingsFileError> {
    Ok(toml::from_str(text)?)
}

/// The name of a section in a file, for errors that contain the full key.
#[derive(Clone, Copy, Debug)]
pub struct SectionName(pub &'static str);

impl SectionName {
    /// Returns an error about a key of the section.
    pub fn error(self, key: &str, problem: impl Into<String>) -> SettingsFileError {
        SettingsFileError::Value { key: format!("{}.{key}", self.0), problem: problem.into() }
    }

    /// Checks that a number is between `min` and `max`, both included.
    ///
    /// # Errors
    ///
    /// Fails if the number is out of bounds.
    pub fn check_range<T: PartialOrd + Display>(
        self,
        key: &str,
        found: T,
        min: T,
        max: T,
    ) -> Result<(), SettingsFileError> {
        if (&min..=&max).contains(&&found) {
            return Ok(());
        }
        Err(self.error(key, format!("should be {min} to {max}, not {found}")))
    }

    /// Parses an IPv4 address with a port.
    ///
    /// # Errors
    ///
    /// Fails if the text is not such an address.
    pub fn address(self, key: &str, text: &str) -> Result<SocketAddrV4, SettingsFileError> {
        let error = || self.error(key, format!("should be an IPv4 address and a port, not '{text}'"));
        text.parse().map_err(|_| error())
    }
}

/// Converts milliseconds to nanoseconds.
pub fn milliseconds(count: u64) -> Nanos {
    count as Nanos * 1_000_000
}
