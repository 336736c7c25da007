//! The lines of a settings file: looked up by their keys, read into types.

use std::collections::BTreeMap;
use std::path::Path;
use std::str::FromStr;

use super::{PortRange, SettingsError};

/// The lines of a file by their keys.
pub(super) struct Lines<'a> {
    path: &'a Path,
    values: BTreeMap<&'a str, LineValue<'a>>,
}

/// The value of a key and where it stands.
#[derive(Clone, Copy)]
struct LineValue<'a> {
    /// Number of the line, from 1.
    line: usize,
    text: &'a str,
}

impl<'a> Lines<'a> {
    /// Splits the text of the file at `path`; of lines with the same key the last one counts.
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

    /// The value of a key, if there is one.
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

    /// A whole number of milliseconds, also where it is written as a fraction: it is rounded.
    pub(super) fn milliseconds(&self, key: &str, default: u64) -> Result<u64, SettingsError> {
        const EXPECTED: &str = "a number of milliseconds, 0 or more";
        let Some(value) = self.values.get(key) else { return Ok(default) };
        let number: Option<f64> = value.text.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0);
        number.map(|n| n.round() as u64).ok_or_else(|| self.malformed(key, *value, EXPECTED))
    }

    /// A number above 0, or `default` where the key is missing.
    pub(super) fn positive(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        const EXPECTED: &str = "a number above 0";
        let Some(value) = self.values.get(key) else { return Ok(default) };
        let number: Option<f64> = value.text.parse().ok().filter(|n: &f64| n.is_finite() && *n > 0.0);
        number.ok_or_else(|| self.malformed(key, *value, EXPECTED))
    }

    /// A value that has to be there.
    pub(super) fn required<T: FromStr>(
        &self,
        key: &'static str,
        expected: &'static str,
    ) -> Result<T, SettingsError> {
        self.read(key, expected)?.ok_or(SettingsError::Missing { path: self.path.to_owned(), key })
    }

    /// A value that may be left out or empty.
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

    /// A value, or `default` where the key is missing.
    pub(super) fn or<T: FromStr>(
        &self,
        key: &str,
        expected: &'static str,
        default: T,
    ) -> Result<T, SettingsError> {
        Ok(self.read(key, expected)?.unwrap_or(default))
    }

    /// Items separated by commas; none where the key is missing or empty.
    pub(super) fn list<T: FromStr>(
        &self,
        key: &str,
        expected: &'static str,
    ) -> Result<Vec<T>, SettingsError> {
        let Some(value) = self.values.get(key) else { return Ok(Vec::new()) };
        let items = value.text.split(',').map(str::trim).filter(|item| !item.is_empty());
        items.map(|item| item.parse().map_err(|_| self.malformed(key, *value, expected))).collect()
    }

    /// First and last port of a range.
    pub(super) fn ports(&self, key: &'static str) -> Result<PortRange, SettingsError> {
        const EXPECTED: &str = "two ports like 7660,7675, the first not above the second";
        let ports: Vec<u16> = self.list(key, EXPECTED)?;
        match (ports.as_slice(), self.values.get(key)) {
            ([first, last], _) if first <= last => Ok(PortRange { first: *first, last: *last }),
            (_, Some(value)) => Err(self.malformed(key, *value, EXPECTED)),
            (_, None) => Err(SettingsError::Missing { path: self.path.to_owned(), key }),
        }
    }

    /// The values of all keys that begin with `prefix`, by the rest of their keys.
    pub(super) fn below(&self, prefix: &str) -> BTreeMap<String, String> {
        let below =
            self.values.iter().filter_map(|(key, value)| Some((key.strip_prefix(prefix)?, value.text)));
        below.map(|(key, value)| (key.to_owned(), value.to_owned())).collect()
    }
}
