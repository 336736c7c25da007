//! Results reported by gateways, and groups returned by them.

use std::collections::BTreeMap;

use compact_str::CompactString;
use orchidvalve_protocol::messages::{ItemFailures, ItemOutcome, StoreMessage};

use crate::entry::EntryRef;
use crate::gateways::GatewayId;
use crate::job_key::{ItemKey, JobKey};
use crate::link::LinkId;
use crate::output::Output;
use crate::pending_calls::{Caller, Query};
use crate::store::Store;
use crate::timestamp::Timestamp;

/// Time before a returned group is assigned again, in milliseconds.
const RETURNED_GROUP_BACKOFF_MS: u64 = 300;

/// The recipient and the job of an acknowledgement. Acknowledgements are sent in the order of these keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AcknowledgementKey {
    /// Link of the gateway that reported the results.
    link: LinkId,
    job: JobKey,
}

/// Results that were reported by gateways and are not acknowledged yet.
#[derive(Debug, Default)]
pub(super) struct PendingResults {
    /// Links on which each uncommitted result was reported.
    uncommitted: BTreeMap<ItemKey, Vec<LinkId>>,
    /// Ids of the items to acknowledge at the end of the current input.
    scheduled: BTreeMap<AcknowledgementKey, Vec<String>>,
}

impl PendingResults {
    fn add(&mut self, link: LinkId, number: u16, job: &str, item: &str) {
        let key = ItemKey { job: JobKey::new(number, job), item: CompactString::from(item) };
        let links = self.uncommitted.entry(key).or_default();
        if !links.contains(&link) {
            links.push(link);
        }
    }

    /// Schedules the acknowledgement of a committed result to all gateways that reported it.
    pub fn result_committed(&mut self, number: u16, job: &CompactString, item: CompactString) {
        let key = ItemKey { job: JobKey { partition: number, job: job.clone() }, item };
        for link in self.uncommitted.remove(&key).unwrap_or_default() {
            self.acknowledge(link, number, job, &key.item);
        }
    }

    fn acknowledge(&mut self, link: LinkId, number: u16, job: &str, item: &str) {
        let key = AcknowledgementKey { link, job: JobKey::new(number, job) };
        self.scheduled.entry(key).or_default().push(item.to_owned());
    }

    /// Schedules the acknowledgement of outcomes that are no longer needed.
    pub fn acknowledge_all(&mut self, link: LinkId, number: u16, job: &str, items: Vec<String>) {
        let key = AcknowledgementKey { link, job: JobKey::new(number, job) };
        self.scheduled.entry(key).or_default().extend(items);
    }

    /// Sends the scheduled acknowledgements, one message per link and job.
    pub fn send_acknowledgements(&mut self, outputs: &mut Vec<Output>) {
        for (AcknowledgementKey { link, job }, items) in std::mem::take(&mut self.scheduled) {
            let JobKey { partition, job } = job;
            let message = StoreMessage::AcknowledgeOutcomes { partition, job: job.into(), items };
            outputs.push(Output::ToGateway { link, message });
        }
    }

    /// Forgets the results reported on a lost link, which can no longer be acknowledged.
    pub fn remove_link(&mut self, link: LinkId) {
        self.uncommitted.retain(|_, links| {
            links.retain(|&other| other != link);
            !links.is_empty()
        });
    }

    /// Forgets the results of a partition of which this store is no longer the head. Gateways report them to the new
    /// head.
    pub fn remove_partition(&mut self, number: u16) {
        self.uncommitted.retain(|key, _| key.job.partition != number);
    }
}

/// How a reported result is handled.
enum ResultAction {
    Propose,
    /// The result is proposed already.
    AwaitCommit,
    /// The result is recorded, or no longer needed.
    Acknowledge,
    /// The job is unknown here. If the view is current, the result is no longer needed.
    ConfirmView,
    /// This store is not the active head of the partition, or not yet. The gateway reports the result again.
    Ignore,
}

impl Store {
    /// Records the results of items that a gateway reported.
    pub(super) fn record_outcomes(
        &mut self,
        link: LinkId,
        number: u16,
        job: &str,
        outcomes: &[ItemOutcome],
        now: Timestamp,
        outputs: &mut Vec<Output>,
    ) {
        let mut unknown = Vec::new();
        for outcome in outcomes {
            match self.result_action(number, job, &outcome.item) {
                ResultAction::Ignore => continue,
                ResultAction::ConfirmView => {
                    unknown.push(outcome.item.clone());
                    continue;
                }
                ResultAction::Acknowledge => {
                    self.pending_results.acknowledge(link, number, job, &outcome.item);
                    continue;
                }
                ResultAction::AwaitCommit => {}
                ResultAction::Propose => {
                    let entry = EntryRef::result(job, outcome);
                    self.with_partition(number, now, outputs, |partition, sinks| {
                        partition.propose(&entry, sinks);
                    });
                }
            }
            self.pending_results.add(link, number, job, &outcome.item);
        }
        if !unknown.is_empty() {
            let caller = Caller { link, request_id: 0 };
            self.confirm_view(caller, number, job, Query::Outcomes { items: unknown }, now, outputs);
        }
    }

    fn result_action(&self, number: u16, job: &str, item: &str) -> ResultAction {
        let Some(partition) = self.partitions.get(&number).filter(|partition| partition.is_active_head())
        else {
            return ResultAction::Ignore;
        };
        let Some(state) = partition.jobs.get(job) else { return ResultAction::ConfirmView };
        let Some(active) = state.active() else { return ResultAction::Acknowledge };
        match active.item_index(item) {
            None => ResultAction::Acknowledge,
            Some(index) if active.has_result(index) => ResultAction::Acknowledge,
            Some(_) if partition.uncommitted.contains_result(job, item) => ResultAction::AwaitCommit,
            Some(_) => ResultAction::Propose,
        }
    }

    /// Records how often servers responded to items with status 500, for the next gateway that gets their group.
    pub(super) fn record_failures(&mut self, number: u16, job: &str, failures: &[ItemFailures]) {
        let partition = self.partitions.get_mut(&number);
        let Some(active) = partition.and_then(|partition| partition.jobs.active_mut(job)) else { return };
        for ItemFailures { item, count } in failures {
            if let Some(index) = active.item_index(item) {
                active.record_failures(index, *count);
            }
        }
    }

    /// Handles groups that a gateway returns; they were assigned in the view with this epoch.
    pub(super) fn return_groups(
        &mut self,
        gateway: Option<GatewayId>,
        number: u16,
        epoch: u64,
        job: &str,
        groups: &[u32],
        now_ms: u64,
    ) {
        let Some(partition) = self.partitions.get_mut(&number) else { return };
        let Some(gateway) = gateway.filter(|_| partition.replica.view().epoch == epoch) else { return };
        let Some(active) = partition.jobs.active_mut(job) else { return };
        for &index in groups {
            let group = active.groups().get(index as usize);
            if group.is_some_and(|group| group.assigned_to() == Some(gateway)) {
                let items = active.revoke(index as usize, now_ms + RETURNED_GROUP_BACKOFF_MS);
                self.gateways.release_items(gateway, items);
                self.dispatch_due = true;
            }
        }
    }
}
