//! Periodic work of a store.

use orchidvalve_protocol::messages::StoreMessage;

use crate::HEARTBEAT_MS;
use crate::entry::EntryRef;
use crate::job_key::{ItemKey, JobKey};
use crate::output::Output;
use crate::store::Store;
use crate::timestamp::Timestamp;

/// Minimum time between two ticks that perform work, in milliseconds.
const TICK_MS: u64 = 90;
/// Time between two checks for expired leases, expired items and groups to dispatch, in milliseconds.
const MAINTENANCE_MS: u64 = 250;
/// Time between two releases of records that are no longer needed, in milliseconds.
const RELEASE_MS: u64 = 5_000;
/// Time between two reports of the learners that have caught up, in milliseconds.
const REPORT_MS: u64 = 1_000;
/// Additional time before items expire, in milliseconds. The wall clocks of this store and of the gateway that received
/// the job may differ by two seconds if one of them was being set when its process started. Late expiry breaks no
/// promise, but early expiry does.
const EXPIRY_SLACK_MS: u64 = 3_000;
/// Maximum number of items of a job that expire at once.
const EXPIRY_BATCH: usize = 64;

/// The next due times of periodic work, by the monotonic clock in milliseconds.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    tick_ms: u64,
    heartbeat_ms: u64,
    maintenance_ms: u64,
    report_ms: u64,
    release_ms: u64,
}

/// Returns whether work is due. If so, sets the next due time.
fn take_due(due_ms: &mut u64, now_ms: u64, period_ms: u64) -> bool {
    let is_due = now_ms >= *due_ms;
    if is_due {
        *due_ms = now_ms + period_ms;
    }
    is_due
}

impl Store {
    /// Performs the periodic work that is due. To be called at least ten times per second; additional calls are cheap.
    pub fn tick(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        let now_ms = now.monotonic_ms;
        if !take_due(&mut self.schedule.tick_ms, now_ms, TICK_MS) {
            return;
        }
        if take_due(&mut self.schedule.report_ms, now_ms, REPORT_MS) {
            self.partitions.values().for_each(|partition| partition.report_learners(outputs));
        }
        for number in self.partition_numbers() {
            self.with_partition(number, now, outputs, |partition, sinks| {
                partition.drive(sinks, |replica, log, outputs| replica.tick(now_ms, log, outputs));
            });
        }
        self.respond_to_expired_calls(now_ms, outputs);
        if take_due(&mut self.schedule.heartbeat_ms, now_ms, HEARTBEAT_MS) {
            let links = self.gateways.links();
            outputs.extend(links.map(|link| Output::ToGateway { link, message: StoreMessage::Heartbeat }));
        }
        if take_due(&mut self.schedule.maintenance_ms, now_ms, MAINTENANCE_MS) {
            self.revoke_timed_out_leases(now_ms);
            self.expire_items(now, outputs);
            self.dispatch_due = true;
        }
        if take_due(&mut self.schedule.release_ms, now_ms, RELEASE_MS) {
            self.release(now, outputs);
        }
        self.finish_input(now, outputs);
    }

    fn revoke_timed_out_leases(&mut self, now_ms: u64) {
        for gateway in self.gateways.take_timed_out(now_ms) {
            self.revoke_groups_of(gateway);
            if self.gateways.get(gateway).is_some_and(|gateway| gateway.link().is_none()) {
                self.gateways.remove(gateway);
            }
        }
    }

    /// Proposes expired results for the items of jobs whose maximum queue time has passed.
    fn expire_items(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        let mut expired: Vec<ItemKey> = Vec::new();
        for (&number, partition) in self.partitions.iter().filter(|(_, partition)| partition.is_active_head())
        {
            for (id, job, active) in partition.jobs.iter_active() {
                let allowed_ms = job.times.max_queue.as_millis() + EXPIRY_SLACK_MS;
                if now.wall_ms < job.times.accepted_at_ms + allowed_ms {
                    continue;
                }
                let items =
                    active.items_without_result().filter_map(|index| active.job().item(index as usize));
                let items = items.filter(|item| !partition.uncommitted.contains_result(id, item.id()));
                expired.extend(items.take(EXPIRY_BATCH).map(|item| ItemKey {
                    job: JobKey { partition: number, job: id.clone() },
                    item: item.id().into(),
                }));
            }
        }
        for ItemKey { job: JobKey { partition: number, job }, item } in expired {
            let entry = EntryRef::Result {
                job: &job,
                item: &item,
                completed: false,
                message: &[],
                weight_versions: Vec::new(),
                score: None,
            };
            self.with_partition(number, now, outputs, |partition, sinks| partition.propose(&entry, sinks));
        }
    }

    /// Removes data that is no longer needed from memory and disk.
    fn release(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        let retention_ms = self.settings.retention_ms;
        self.partitions.retain(|_, partition| !partition.is_abandoned(now.monotonic_ms));
        let mut oldest_needed = u64::MAX;
        for number in self.partition_numbers() {
            let needed = self.with_partition(number, now, outputs, |partition, sinks| {
                partition.release(now.wall_ms, retention_ms, sinks)
            });
            oldest_needed = oldest_needed.min(needed.unwrap_or(u64::MAX));
        }
        if oldest_needed != u64::MAX {
            outputs.push(Output::ReleaseBefore(oldest_needed));
        }
    }
}
