//! The control nodes to which an observer redirects its callers.

use std::collections::BTreeMap;

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_net::ConnectionId;
use orchidvalve_protocol::identity::NodeAddress;

/// A member is forgotten if it has not opened a link to this node for this time, in milliseconds. Members reopen their
/// links every second.
const LINK_RETENTION_MS: Milliseconds = 5_000;

/// A link that a member has opened to this node.
#[derive(Clone, Copy, Debug)]
struct Link {
    connection: ConnectionId,
    opened_at: Milliseconds,
}

/// The members of the control plane that this node knows.
#[derive(Default, Debug)]
pub struct MemberDirectory {
    links: BTreeMap<NodeAddress, Link>,
}

impl MemberDirectory {
    /// Records that a member has introduced itself on a link that it opened. Returns the older link, which this one
    /// supersedes.
    pub fn link_opened(
        &mut self,
        connection: ConnectionId,
        member: NodeAddress,
        now: Milliseconds,
    ) -> Option<ConnectionId> {
        let older = self.links.insert(member, Link { connection, opened_at: now });
        older.map(|link| link.connection).filter(|older| *older != connection)
    }

    /// Forgets members that have not opened a link for too long. Returns their last links.
    pub fn expire(&mut self, now: Milliseconds) -> Vec<ConnectionId> {
        let is_recent = |link: &Link| now < link.opened_at + LINK_RETENTION_MS;
        let expired =
            self.links.values().filter(|link| !is_recent(link)).map(|link| link.connection).collect();
        self.links.retain(|_, link| is_recent(link));
        expired
    }

    /// Returns all known members: those in the last list of the feed first, then others with a link to this node, such as a
    /// node that is not in the view yet.
    pub fn members(&self, from_feed: Vec<NodeAddress>) -> Vec<NodeAddress> {
        let mut members = from_feed;
        for member in self.links.keys() {
            if !members.contains(member) {
                members.push(*member);
            }
        }
        members
    }
}
