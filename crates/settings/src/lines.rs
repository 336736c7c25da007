//! Lookup of the lines of a settings file by key, and conversion of their values.

use std::collections::BTreeMap;
use std::path::Path;
use std::str::FromStr;

use orchidvalve_protocol::time_limit::TimeLimit;

use super::{PortRange, SettingsError};

/// The lines of a settings file by key.
pub(super) struct Lines<'a> {
    path: &'a Path,
    values: BTreeMap<&'a str, LineValue<'a>>,
}

/// The value of a key and the line that holds it.
#[derive(Clone, Copy)]
struct LineValue<'a> {
    /// Number of the line, counted from 1.
    line: usize,
    text: &'a str,
}

impl<'a> Lines<'a> {
    /// Splits the text of the file at `path` into keys and values. If a key occurs repeatedly, its last line counts.
    pub(super) fn split(text: &'a str, path: &'a Path) -> Result<Lines<'a>, SettingsError> {
        let mut values = BTreeMap::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let (key, value) = line
                .split_once('=')
                .ok_or_else(|| SettingsError::NoEquals { path: path.to_owned(), line: index + 1 })?;
            values.insert(key.trim(), LineValue { line: index + 1, text: value.trim() });
        }
        Ok(Lines { path, values })
    }

    /// Parses the value of `key`. Returns `None` if the key is missing.
    fn read<T: FromStr>(&self, key: &str, expected: &'static str) -> Result<Option<T>, SettingsError> {
        let Some(value) = self.values.get(key) else { return Ok(None) };
        let parsed = value.text.parse().map_err(|_| self.malformed(key, *value, expected))?;
        Ok(Some(parsed))
    }

    fn malformed(&self, key: &str, value: LineValue<'_>, expected: &'static str) -> SettingsError {
        SettingsError::Malformed {
            path: self.path.to_owned(),
            line: value.line,
            key: key.to_owned(),
            value: value.text.to_owned(),
            expected,
        }
    }

    /// Returns a number of milliseconds, or `default` if the key is missing. A fraction is rounded.
    pub(super) fn milliseconds(&self, key: &str, default: u64) -> Result<u64, SettingsError> {
        const EXPECTED: &str = "a number of milliseconds, 0 or more";
        let Some(value) = self.values.get(key) else { return Ok(default) };
        let number: Option<f64> = value.text.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0);
        number
            .map(|n| TimeLimit::from_millis(n.round() as u64).as_millis())
            .ok_or_else(|| self.malformed(key, *value, EXPECTED))
    }

    /// Returns a number above 0, or `default` if the key is missing.
    pub(super) fn positive(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        const EXPECTED: &str = "a number above 0";
        let Some(value) = self.values.get(key) else { return Ok(default) };
        let number: Option<f64> = value.text.parse().ok().filter(|n: &f64| n.is_finite() && *n > 0.0);
        number.ok_or_else(|| self.malformed(key, *value, EXPECTED))
    }

    /// Returns the value of a required key.
    pub(super) fn required<T: FromStr>(
        &self,
        key: &'static str,
        expected: &'static str,
    ) -> Result<T, SettingsError> {
        self.read(key, expected)?.ok_or(SettingsError::Missing { path: self.path.to_owned(), key })
    }

    /// Returns the value of an optional key; `None` if it is missing or empty.
    pub(super) fn optional<T: FromStr>(
        &self,
        key: &str,
        expected: &'static str,
    ) -> Result<Option<T>, SettingsError> {
        match self.values.get(key) {
            Some(LineValue { text: "", .. }) => Ok(None),
            _ => self.read(key, expected),
        }
    }

    /// Returns the value of `key`, or `default` if the key is missing.
    pub(super) fn or<T: FromStr>(
        &self,
        key: &str,
        expected: &'static str,
        default: T,
    ) -> Result<T, SettingsError> {
        Ok(self.read(key, expected)?.unwrap_or(default))
    }

    /// Returns the items of a comma-separated list; empty if the key is missing or its value is empty.
    pub(super) fn list<T: FromStr>(
        &self,
        key: &str,
        expected: &'static str,
    ) -> Result<Vec<T>, SettingsError> {
        let Some(value) = self.values.get(key) else { return Ok(Vec::new()) };
        let items = value.text.split(',').map(str::trim).filter(|item| !item.is_empty());
        items.map(|item| item.parse().map_err(|_| self.malformed(key, *value, expected))).collect()
    }

    /// Returns a port range, written as its first and last port.
    pub(super) fn ports(&self, key: &'static str) -> Result<PortRange, SettingsError> {
        const EXPECTED: &str = "two ports like 7660,7675, the first not above the second";
        let ports: Vec<u16> = self.list(key, EXPECTED)?;
        match (ports.as_slice(), self.values.get(key)) {
            ([first, last], _) if first <= last => Ok(PortRange { first: *first, last: *last }),
            (_, Some(value)) => Err(self.malformed(key, *value, EXPECTED)),
            (_, None) => Err(SettingsError::Missing { path: self.path.to_owned(), key }),
        }
    }

    /// Returns the values of all keys that begin with `prefix`, by the rest of the key.
    pub(super) fn with_prefix(&self, prefix: &str) -> BTreeMap<String, String> {
        let matching =
            self.values.iter().filter_map(|(key, value)| Some((key.strip_prefix(prefix)?, value.text)));
        matching.map(|(key, value)| (key.to_owned(), value.to_owned())).collect()
    }
}
