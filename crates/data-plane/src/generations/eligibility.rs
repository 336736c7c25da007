//! Eligibility: which servers may run which generations, by model, version of the weights and ejection.

use std::collections::HashMap;

use orchidvalve_scheduler::{Eligibility, GenerationId, GroupKey};

use super::group::Group;
use super::interface::ServerKey;
use super::item::ItemState;
use super::servers::Servers;

/// The state by which the scheduler decides which servers are eligible, at one point in time.
pub struct EligibilityView<'a> {
    /// The current time, in milliseconds of the steady clock.
    pub now: u64,
    /// All servers.
    pub servers: &'a Servers,
    /// The open groups.
    pub groups: &'a HashMap<GroupKey, Group>,
}

impl EligibilityView<'_> {
    fn item(&self, generation: GenerationId) -> Option<(&Group, &ItemState)> {
        let group = self.groups.get(&generation.group)?;
        Some((group, group.items.get(generation.index as usize)?))
    }
}

/// Returns the version that a server must serve to resume the item's text, or `None` if any allowed version will do.
fn required_version(group: &Group, item: &ItemState) -> Option<u64> {
    let bound = group.route.single_version && item.attempts.is_empty();
    if bound { item.resumable_text.single_version() } else { None }
}

impl Eligibility<ServerKey> for EligibilityView<'_> {
    fn eligible(&self, generation: GenerationId, server: ServerKey) -> bool {
        let Some((group, item)) = self.item(generation) else { return false };
        if !self.servers.available(server, self.now) {
            return false;
        }
        let Some(model) = group.requirements.model else { return true };
        let Some(version) = self.servers.version(server, Some(model)) else { return false };
        version >= group.requirements.min_version.unwrap_or(0)
            && required_version(group, item).is_none_or(|required| required == version)
    }

    fn eligibility_class(&self, generation: GenerationId) -> Option<u64> {
        let (group, item) = self.item(generation)?;
        if required_version(group, item).is_some() { None } else { Some(group.eligibility_class) }
    }
}
