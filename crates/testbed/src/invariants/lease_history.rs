//! The invariant ONE for one subject: one holder at a time acts on it, under growing fencing tokens.
//!
//! Nothing checks the tokens on the way, so a lower token after a higher one and holders that take turns within a lease
//! break it as well.

use std::collections::BTreeMap;

use super::context::CheckContext;
use super::invariant::Invariant;

/// One action on a subject.
#[derive(Clone, Copy, Debug)]
pub(super) struct Action<'a> {
    /// Name of the machine that acts, by its own words.
    pub holder: &'a str,
    /// Address of the machine that acts; empty where it isn't known.
    pub source: &'a str,
    /// Its fencing token.
    pub token: u64,
}

impl Action<'_> {
    /// One machine is one holder, whatever names it or others give.
    fn identity(&self) -> HolderIdentity {
        HolderIdentity { name: self.holder.to_owned(), source: self.source.to_owned() }
    }
}

/// A machine that acts: the same name from two machines is two holders.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct HolderIdentity {
    name: String,
    source: String,
}

impl std::fmt::Display for HolderIdentity {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.source.as_str() {
            "" => f.write_str(&self.name),
            source => write!(f, "{} at {source}", self.name),
        }
    }
}

/// Who has acted on one subject, and under which tokens.
#[derive(Debug, Default)]
pub(super) struct LeaseHistory {
    holder_of_token: BTreeMap<u64, HolderIdentity>,
    highest_token: u64,
    /// When each holder last acted.
    last_action: BTreeMap<HolderIdentity, u64>,
    last_holder: HolderIdentity,
}

impl LeaseHistory {
    /// Checks an action and takes it into the history.
    pub fn check(&mut self, context: &mut CheckContext, subject: &str, action: Action<'_>) {
        let (holder, token) = (action.identity(), action.token);
        let known = self.holder_of_token.entry(token).or_insert_with(|| holder.clone());
        if *known != holder {
            let detail = format!("{known} and {holder} both use fencing token {token}");
            context.violate(Invariant::One, subject, detail);
        }
        if token < self.highest_token {
            let detail = format!("{holder} sends token {token} after {} was seen", self.highest_token);
            context.violate(Invariant::One, subject, detail);
        }
        let returns = self.last_holder != holder
            && self.last_action.get(&holder).is_some_and(|at| at + context.bounds.lease_ms > context.now);
        if returns {
            let detail = format!("{} and {holder} take turns within a lease", self.last_holder);
            context.violate(Invariant::One, subject, detail);
        }
        self.highest_token = self.highest_token.max(token);
        self.last_action.insert(holder.clone(), context.now);
        self.last_holder = holder;
    }
}
