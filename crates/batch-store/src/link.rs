//! Links of gateways.

/// A gateway's link to this store. Later links have higher numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);
