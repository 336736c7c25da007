//! The text of one attempt: the data of its events in order, and the versions of the weights that made them.

use compact_str::CompactString;
use derive_more::{Display, Error};

use super::interface::ItemResult;

/// Why an event can't be added to a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum EventError {
    /// The id isn't the next one.
    #[display("the event isn't the next one; the text goes on at another server")]
    OutOfOrder,
    /// The version lies under the minimum, or isn't known though there is a minimum.
    #[display("the event was made under too old weights; the text begins anew at another server")]
    WrongVersion,
    /// The text must have a single version and this event has another one.
    #[display("the event was made under other weights than the text; it goes on at another server")]
    MixedVersions,
}

/// What versions a text may have.
#[derive(Clone, Copy, Debug, Default)]
pub struct VersionRule {
    /// The oldest version allowed.
    pub min_version: Option<u64>,
    /// All events must have the same version.
    pub single: bool,
}

/// Complete events from the start on, as far as they have come.
#[derive(Clone, Debug, Default)]
pub struct Text {
    data: Vec<u8>,
    last_id: Option<u64>,
    versions: Vec<u64>,
}

impl Text {
    /// Adds the event with this id, made under this version.
    ///
    /// # Errors
    ///
    /// The event doesn't follow the last one, or its version breaks the rule. The text stays as it was.
    pub fn push(
        &mut self,
        id: u64,
        data: &[u8],
        version: Option<u64>,
        rule: VersionRule,
    ) -> Result<(), EventError> {
        let next = match self.last_id {
            Some(last) => id == last + 1,
            None => id <= 1,
        };
        if !next {
            return Err(EventError::OutOfOrder);
        }
        if rule.min_version.is_some_and(|min_version| version.is_none_or(|version| version < min_version)) {
            return Err(EventError::WrongVersion);
        }
        if let Some(version) = version {
            self.add_version(version, rule.single)?;
        }
        if self.last_id.is_some() {
            self.data.push(b'\n');
        }
        self.data.extend_from_slice(data);
        self.last_id = Some(id);
        Ok(())
    }

    /// The id of the last event; `None` if there is none yet.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether no event has come.
    pub fn is_empty(&self) -> bool {
        self.last_id.is_none()
    }

    /// The only version, if all events were made under one.
    pub fn single_version(&self) -> Option<u64> {
        if let [version] = self.versions[..] { Some(version) } else { None }
    }

    /// Whether its versions satisfy the rule.
    pub fn satisfies(&self, rule: VersionRule) -> bool {
        let min_version = rule.min_version.unwrap_or(0);
        let known = rule.min_version.is_none() || !self.versions.is_empty();
        known
            && self.versions.iter().all(|version| *version >= min_version)
            && !(rule.single && self.versions.len() > 1)
    }

    /// The bytes it takes in memory.
    pub fn size(&self) -> usize {
        self.data.capacity() + size_of::<Self>()
    }

    /// The longer of two texts.
    pub fn longer(self, other: Self) -> Self {
        if other.last_id > self.last_id { other } else { self }
    }

    /// The result of an item whose complete text this is; `score` is that of its reward call, if it has one.
    pub fn into_result(self, score: Option<CompactString>) -> ItemResult {
        ItemResult::Completed { message: self.data, weight_versions: self.versions, score }
    }

    fn add_version(&mut self, version: u64, single: bool) -> Result<(), EventError> {
        if let Err(position) = self.versions.binary_search(&version) {
            if single && !self.versions.is_empty() {
                return Err(EventError::MixedVersions);
            }
            self.versions.insert(position, version);
        }
        Ok(())
    }
}
