//! The head store node of each partition.

use orchidvalve_control_state::Placement;
use orchidvalve_protocol::identity::NodeAddress;

/// The head of each partition, by partition number; `None` if the partition has no members.
#[derive(Default)]
pub(super) struct PartitionHeads(Vec<Option<NodeAddress>>);

impl PartitionHeads {
    /// Returns the heads in these placements, which are ordered by partition number.
    pub(super) fn of(placements: &[Placement]) -> PartitionHeads {
        let head = |placement: &Placement| placement.members.first().map(|member| member.address);
        PartitionHeads(placements.iter().map(head).collect())
    }

    /// Returns the heads of those partitions that had a different head, or none, in `former`.
    pub(super) fn replaced_since(&self, former: &PartitionHeads) -> impl Iterator<Item = NodeAddress> {
        let former = former.0.iter().copied().chain(std::iter::repeat(None));
        self.0
            .iter()
            .copied()
            .zip(former)
            .filter(|(head, former)| head != former)
            .filter_map(|(head, _)| head)
    }
}
