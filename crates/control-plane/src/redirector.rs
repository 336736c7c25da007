//! Chooses where an observer redirects operators (307, RFC 9110 section 15.4.8): to the member with which it has its
//! session, since that member has a quorum; without a session to the known members, round robin. Without a known member
//! the response is 503.

use std::net::SocketAddrV4;

use orchidvalve_http::Request;
use orchidvalve_protocol::identity::NodeAddress;

/// Chooses the target of each redirection.
#[derive(Clone, Debug)]
pub struct Redirector {
    /// This node's own control address. All nodes use the same port.
    control_address: SocketAddrV4,
    /// Control addresses of known members.
    targets: Vec<SocketAddrV4>,
    next: usize,
}

/// The response to a request of an operator.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Redirection {
    /// Redirects to the same path at another node, by this URL.
    To(String),
    /// No member is known. The caller goes on to another node.
    Unavailable,
}

impl Redirector {
    /// Creates a redirector that knows no member. `control_address` is the address of this node, which is never a target.
    ///
    /// The seeds are no targets: they may all be observers, and would redirect callers to each other after a start.
    pub fn new(control_address: SocketAddrV4) -> Redirector {
        Redirector { control_address, targets: Vec::new(), next: 0 }
    }

    /// Sets the known members, and the member with which this node has a session, which is preferred. The former targets
    /// remain if no member is known.
    pub fn set_members(&mut self, session_node: Option<NodeAddress>, members: &[NodeAddress]) {
        let session_node = session_node.as_ref().map(std::slice::from_ref);
        let members = session_node.unwrap_or(members);
        let port = self.control_address.port();
        let targets = members.iter().map(|member| SocketAddrV4::new(member.ip(), port));
        let targets: Vec<SocketAddrV4> = targets.filter(|target| *target != self.control_address).collect();
        if !targets.is_empty() {
            self.targets = targets;
        }
    }

    /// Returns where a request is redirected.
    pub fn redirect(&mut self, request: &Request) -> Redirection {
        if self.targets.is_empty() {
            return Redirection::Unavailable;
        }
        let target = self.targets[self.next % self.targets.len()];
        self.next = (self.next + 1) % self.targets.len();
        Redirection::To(format!("http://{target}{}", request.target))
    }
}
