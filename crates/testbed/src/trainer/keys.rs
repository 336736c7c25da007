//! The API keys that a trainer uses.

use super::calls::Purpose;
use crate::credentials::Credentials;

/// The keys of a trainer's tenant that the system hasn't refused so far. Calls that hand in or read use the first one,
/// all others the last one: a batch job belongs to a tenant, not to one of its keys.
#[derive(Debug)]
pub(super) struct TrainerKeys {
    usable: Vec<String>,
}

impl TrainerKeys {
    pub(super) fn new(keys: Vec<String>) -> TrainerKeys {
        TrainerKeys { usable: keys }
    }

    /// How a call identifies itself.
    pub(super) fn for_call(&self, purpose: &Purpose) -> Credentials {
        let key = match purpose {
            Purpose::Submit | Purpose::Read { .. } => self.usable.first(),
            Purpose::Review { .. } | Purpose::ItemBody { .. } | Purpose::Cancel => self.usable.last(),
        };
        key.map(|key| Credentials::of_key(key)).unwrap_or_default()
    }

    /// A call was denied: its key isn't used again, unless it's the only one left.
    pub(super) fn denied(&mut self, credentials: &Credentials) {
        if self.usable.len() > 1 {
            self.usable.retain(|key| credentials.proper_key() != Some(key));
        }
    }
}
