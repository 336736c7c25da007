//! Registered store nodes, and the placement of partitions on them.

use musli::{Decode, Encode};
use orchidvalve_protocol::identity::MemberId;

/// The view of a partition: the store nodes that hold its replicas.
#[derive(Clone, PartialEq, Eq, Default, Debug, Encode, Decode)]
pub struct Placement {
    /// Number of the view; increases with every change of this partition's placement.
    pub epoch: u64,
    /// The chain, head first, tail last.
    pub members: Vec<MemberId>,
    /// Store nodes that copy the partition; no acknowledgement waits for them.
    pub learners: Vec<MemberId>,
    /// Store nodes known to hold every entry that was committed before this view, as of its decision. In addition to
    /// members, it contains previous members as long as the chain is too short to commit anything.
    #[musli(default)]
    pub complete_replicas: Vec<MemberId>,
    /// Number of replicas that an acknowledgement requires in this view; 0 in placements of older versions, which have
    /// no such field.
    #[musli(default)]
    pub copies: u32,
    /// Epoch in which the log restarted empty because every store node that held everything was lost; 0 if it never
    /// did.
    #[musli(default)]
    pub reset_epoch: u64,
}

impl Placement {
    /// Returns whether the chain has too few members to commit anything.
    pub fn is_undersized(&self) -> bool {
        self.members.len() < self.copies as usize
    }
}

/// A store node as registered under its name.
#[derive(Clone, PartialEq, Eq, Debug, Encode, Decode)]
pub struct RegisteredStore {
    /// Zone in which the store node is located.
    pub zone: String,
    /// Address and disk of the store node.
    pub member: MemberId,
    /// Whether the store node is being retired: its partitions are moved away from it.
    pub retiring: bool,
}
