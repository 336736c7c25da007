//! Changes of the placement of a partition.

use orchidvalve_chain_replication::ChainView;
use orchidvalve_control_state::Placement;

use crate::dispatch;
use crate::gateways::GatewayTable;
use crate::link::LinkId;
use crate::output::Output;
use crate::partition::Partition;
use crate::recovery::RecoveredPartition;
use crate::store::Store;
use crate::timestamp::Timestamp;

/// Gateways that connect get the cancellations of jobs that ended within this time, in milliseconds.
const RESEND_CANCEL_MS: u64 = 60_000;

impl Store {
    /// Accepts the placement of a partition if this store is in it or holds a copy.
    pub(super) fn update_placement(
        &mut self,
        number: u16,
        placement: &Placement,
        now: Timestamp,
        outputs: &mut Vec<Output>,
    ) {
        let me = self.settings.me;
        let is_mine = placement.members.contains(&me) || placement.learners.contains(&me);
        if !is_mine && !self.partitions.contains_key(&number) {
            return;
        }
        let nonce = self.nonce;
        let create = || Partition::new(number, me, RecoveredPartition::default(), nonce);
        let partition = self.partitions.entry(number).or_insert_with(create);
        if partition.predates(placement.reset_epoch) {
            revoke_all_groups(partition, &mut self.gateways);
        }
        let previous_epoch = partition.replica.view().epoch;
        let was_head = partition.replica.is_head();
        let view = ChainView {
            epoch: placement.epoch,
            members: placement.members.clone(),
            learners: placement.learners.clone(),
            minimum: self.settings.minimum_copies.max(placement.copies as usize),
        };
        let reset_epoch = placement.reset_epoch;
        self.with_partition(number, now, outputs, |partition, sinks| {
            partition.view_changed(view, reset_epoch, sinks);
        });
        if self.partitions[&number].replica.view().epoch != previous_epoch {
            self.view_changed(number, was_head, now, outputs);
        }
    }

    /// Applies the consequences of a new view of a partition.
    fn view_changed(&mut self, number: u16, was_head: bool, now: Timestamp, outputs: &mut Vec<Output>) {
        self.respond_on_view_change(number, outputs);
        self.retry_view_confirmation(number, now, outputs);
        let Some(partition) = self.partitions.get_mut(&number) else { return };
        match (was_head, partition.replica.is_head()) {
            (true, true) => dispatch::resend_assignments(partition, &self.gateways, None, now, outputs),
            (true, false) => {
                revoke_all_groups(partition, &mut self.gateways);
                self.pending_results.remove_partition(number);
            }
            (false, true) => self.cancel_ended(None, now.monotonic_ms, outputs),
            (false, false) => {}
        }
        self.dispatch_due = true;
    }

    /// Sends the cancellations of recently ended jobs to the gateway on `link`, or to all gateways, since earlier
    /// messages may have been lost.
    pub(super) fn cancel_ended(&self, link: Option<LinkId>, now_ms: u64, outputs: &mut Vec<Output>) {
        let headed = self.partitions.iter().filter(|(_, partition)| partition.replica.is_head());
        for (&number, partition) in headed {
            let is_recent = |ended_at_ms: u64| now_ms.saturating_sub(ended_at_ms) < RESEND_CANCEL_MS;
            for (id, _) in partition.jobs.iter().filter(|(_, job)| job.ended_at_ms.is_some_and(is_recent)) {
                self.cancel(number, id, link, outputs);
            }
        }
    }
}

/// Revokes the assignments of all groups of a partition.
fn revoke_all_groups(partition: &mut Partition, gateways: &mut GatewayTable) {
    partition.jobs.for_each_active(|active| {
        active.revoke_all(None, |gateway, items| gateways.release_items(gateway, items));
    });
}
