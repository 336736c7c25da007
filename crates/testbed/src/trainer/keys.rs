//! The API keys that a trainer uses.

use super::calls::Purpose;
use crate::credentials::Credentials;

/// The keys of a trainer's tenant that the system has not denied. Submissions and reads use the first one, all other
/// calls the last one, because a batch job belongs to a tenant and not to one of its keys.
#[derive(Debug)]
pub(super) struct TrainerKeys {
    usable: Vec<String>,
}

impl TrainerKeys {
    pub(super) fn new(keys: Vec<String>) -> TrainerKeys {
        TrainerKeys { usable: keys }
    }

    /// Returns the credentials for a call.
    pub(super) fn for_call(&self, purpose: &Purpose) -> Credentials {
        let key = match purpose {
            Purpose::Submit | Purpose::Read { .. } => self.usable.first(),
            Purpose::Review { .. } | Purpose::ItemBody { .. } | Purpose::Cancel => self.usable.last(),
        };
        key.map(|key| Credentials::of_key(key)).unwrap_or_default()
    }

    /// Stops using the key of a denied call, unless it is the only one left.
    pub(super) fn denied(&mut self, credentials: &Credentials) {
        if self.usable.len() > 1 {
            self.usable.retain(|key| credentials.proper_key() != Some(key));
        }
    }
}
