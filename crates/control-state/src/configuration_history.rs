//! The accepted changes of the configuration, kept to recognise a change that is sent again.

use musli::{Decode, Encode};

use crate::change::ChangeError;

/// The number of accepted configuration changes that are remembered to recognise repeated requests. Operators repeat a
/// request for some seconds, at most `ack-ms`; with one change every 0.2 s this number covers three and a half minutes.
pub const REMEMBERED_CHANGES: usize = 1_024;

/// An accepted configuration change.
#[derive(Clone, PartialEq, Eq, Debug, Encode, Decode)]
pub(crate) struct AcceptedChange {
    /// Version that resulted from it.
    pub version: u64,
    /// Version that it was based on.
    pub base: u64,
    /// Fingerprint of the request body.
    pub fingerprint: u64,
}

/// The latest accepted changes of the configuration.
#[derive(Clone, Default, Debug)]
pub(crate) struct ConfigurationHistory {
    /// Oldest first; each is based on a higher version than the one before.
    accepted: Vec<AcceptedChange>,
    /// Accepted changes based on versions below this one are no longer remembered.
    forgotten_below: u64,
}

impl ConfigurationHistory {
    pub(crate) fn new(accepted: Vec<AcceptedChange>, forgotten_below: u64) -> ConfigurationHistory {
        ConfigurationHistory { accepted, forgotten_below }
    }

    pub(crate) fn accepted(&self) -> &[AcceptedChange] {
        &self.accepted
    }

    pub(crate) fn forgotten_below(&self) -> u64 {
        self.forgotten_below
    }

    /// Returns whether the change with this body on top of version `base` is remembered.
    pub(crate) fn contains(&self, base: u64, fingerprint: u64) -> bool {
        self.accepted.iter().any(|accepted| accepted.base == base && accepted.fingerprint == fingerprint)
    }

    /// Checks that a change that isn't remembered may be based on version `base`.
    ///
    /// # Errors
    ///
    /// Returns an error if another version is current, or if the base is so old that the change may be one that was
    /// accepted and is no longer remembered.
    pub(crate) fn check_base(&self, base: u64, current: u64) -> Result<(), ChangeError> {
        if base < self.forgotten_below {
            return Err(ChangeError::BaseTooOld { base });
        }
        if base != current {
            return Err(ChangeError::VersionConflict { base, current });
        }
        Ok(())
    }

    /// Remembers a change, and drops the oldest one if there are more than [`REMEMBERED_CHANGES`].
    pub(crate) fn remember(&mut self, change: AcceptedChange) {
        self.accepted.push(change);
        if self.accepted.len() > REMEMBERED_CHANGES {
            self.accepted.remove(0);
            self.forgotten_below = self.accepted[0].base;
        }
    }
}
