//! The invariant ONE for one subject: one leader at a time acts on it, under increasing fencing tokens.
//!
//! The emulators do not enforce the tokens. So these also violate the invariant: a lower token after a higher one,
//! and leaders that alternate within the duration of a lease.

use std::collections::BTreeMap;

use super::context::CheckContext;
use super::invariant::Invariant;

/// One action on a subject.
#[derive(Clone, Copy, Debug)]
pub(super) struct Action<'a> {
    /// Name of the acting machine, as the machine states it.
    pub leader: &'a str,
    /// Address of the acting machine; empty if it is unknown.
    pub source: &'a str,
    /// Fencing token of the action.
    pub token: u64,
}

impl Action<'_> {
    /// Identifies the leader by name and source address.
    fn identity(&self) -> LeaderIdentity {
        LeaderIdentity { name: self.leader.to_owned(), source: self.source.to_owned() }
    }
}

/// An acting machine. The same name at two addresses stands for two leaders.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct LeaderIdentity {
    name: String,
    source: String,
}

impl std::fmt::Display for LeaderIdentity {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.source.as_str() {
            "" => f.write_str(&self.name),
            source => write!(f, "{} at {source}", self.name),
        }
    }
}

/// The leaders that acted on one subject, with their tokens.
#[derive(Debug, Default)]
pub(super) struct LeaseHistory {
    leader_of_token: BTreeMap<u64, LeaderIdentity>,
    highest_token: u64,
    /// When each leader last acted.
    last_action: BTreeMap<LeaderIdentity, u64>,
    last_leader: LeaderIdentity,
}

impl LeaseHistory {
    /// Checks an action and adds it to the history.
    pub fn check(&mut self, context: &mut CheckContext, subject: &str, action: Action<'_>) {
        let (leader, token) = (action.identity(), action.token);
        let known = self.leader_of_token.entry(token).or_insert_with(|| leader.clone());
        if *known != leader {
            let detail = format!("{known} and {leader} both use fencing token {token}");
            context.violate(Invariant::One, subject, detail);
        }
        if token < self.highest_token {
            let detail = format!("{leader} sends token {token} after {} was seen", self.highest_token);
            context.violate(Invariant::One, subject, detail);
        }
        let returns = self.last_leader != leader
            && self.last_action.get(&leader).is_some_and(|at| at + context.bounds.lease_ms > context.now);
        if returns {
            let detail = format!("{} and {leader} take turns within a lease", self.last_leader);
            context.violate(Invariant::One, subject, detail);
        }
        self.highest_token = self.highest_token.max(token);
        self.last_action.insert(leader.clone(), context.now);
        self.last_leader = leader;
    }
}
