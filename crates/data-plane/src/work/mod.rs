//! The generations assigned to this gateway, on their way from the store nodes that assign them to the runner and, as
//! outcomes, back to the store nodes that record them.

mod ended_jobs;
mod outcomes;
mod routes;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use compact_str::CompactString;
use orchidvalve_configuration::RouteTable;
use orchidvalve_control_state::ControlState;
use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::messages::{AssignedGroup, AssignedJob, GatewayMessage, ItemFailures};
use orchidvalve_protocol::time_limit::TimeLimit;

use self::ended_jobs::EndedJobs;
use self::outcomes::OutcomeQueue;
pub use self::routes::RewardRoutes;
use self::routes::{DEFAULT_RUN, assigned_item, rollout_route, route_settings};
use crate::generations::{Assignment, GroupId, ItemResult, RouteSettings, Runner, RunnerCommand};
use crate::store_links::OutboundMessage;

/// Items expire this long after the time that their route allows, in milliseconds. The age of a job that a store node
/// reports is the difference between the wall clocks of two processes. These may differ by two seconds if one of the
/// clocks was being adjusted when its process started.
const EXPIRY_MARGIN_MS: u64 = 3_000;

/// Identifies a batch job by its store partition and its id.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub(crate) struct JobKey {
    pub partition: u16,
    pub job: String,
}

impl JobKey {
    fn new(partition: u16, job: &str) -> JobKey {
        JobKey { partition, job: job.to_owned() }
    }

    fn of_job(job: &AssignedJob) -> JobKey {
        JobKey::new(job.partition, &job.job)
    }

    fn of_group(group: &GroupId) -> JobKey {
        JobKey::new(group.partition, &group.job)
    }
}

/// A job with groups assigned to this gateway, with the hostname and path that determine its route.
#[derive(Debug)]
struct OpenJob {
    hostname: String,
    path: String,
}

/// Groups of a batch job assigned by the head of its partition.
pub struct AssignedGroups {
    /// The head of the partition.
    pub store: NodeAddress,
    /// The properties of the job that its groups need.
    pub job: AssignedJob,
    /// The assigned groups.
    pub groups: Vec<AssignedGroup>,
}

/// The latest head that has assigned groups of a partition under its lease.
#[derive(Clone, Copy, Debug)]
struct LeaseHolder {
    epoch: u64,
    store: NodeAddress,
}

/// A job under the lease of one epoch. The derived order compares the fields in their order of declaration.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct LeasedJob {
    partition: u16,
    epoch: u64,
    job: CompactString,
}

/// Groups whose route isn't in the current configuration of this gateway.
struct UnroutedGroups {
    /// When the job was first received, in milliseconds of this gateway's steady clock.
    received_at: u64,
    job: AssignedJob,
    groups: Vec<AssignedGroup>,
}

/// The work assigned to this gateway, and its outcomes.
#[derive(Default)]
pub struct Work {
    jobs: HashMap<JobKey, OpenJob>,
    unrouted: Vec<UnroutedGroups>,
    outcomes: OutcomeQueue,
    /// The lease holder of each partition.
    lease_holders: HashMap<u16, LeaseHolder>,
    ended: EndedJobs,
}

impl Work {
    /// Assigns groups received from the head of their partition to the runner.
    ///
    /// Groups of an epoch older than the latest one, or of a job that has ended, are ignored: a former head may not
    /// know that another one ended the job. Groups without a route wait for the next configuration.
    pub fn assign(
        &mut self,
        now: u64,
        assigned: AssignedGroups,
        table: Option<&Arc<RouteTable>>,
        runner: &mut Runner,
        commands: &mut Vec<RunnerCommand>,
    ) {
        let AssignedGroups { store, job, groups } = assigned;
        let is_old =
            self.lease_holders.get(&job.partition).is_some_and(|lease_holder| job.epoch < lease_holder.epoch);
        if is_old || self.ended.contains(&JobKey::of_job(&job)) {
            return;
        }
        self.lease_holders.insert(job.partition, LeaseHolder { epoch: job.epoch, store });
        let received_at = now.saturating_sub(job.age_ms);
        self.route(UnroutedGroups { received_at, job, groups }, table, runner, commands);
    }

    /// Passes groups to the runner with their route, or keeps them until there is one.
    fn route(
        &mut self,
        unrouted: UnroutedGroups,
        table: Option<&Arc<RouteTable>>,
        runner: &mut Runner,
        commands: &mut Vec<RunnerCommand>,
    ) {
        let job = &unrouted.job;
        let found = table.and_then(|table| Some((table, rollout_route(table, &job.hostname, &job.path)?)));
        let Some((table, route)) = found else {
            log::warn!(
                "work: job {} has no route in the current configuration; its groups wait for the next one",
                job.job
            );
            self.unrouted.push(unrouted);
            return;
        };
        let UnroutedGroups { received_at, job, groups } = unrouted;
        let settings = Arc::new(route_settings(table, route));
        let key = JobKey::of_job(&job);
        let open = OpenJob { hostname: job.hostname.clone(), path: job.path.clone() };
        let target_run = route.target_run.unwrap_or(DEFAULT_RUN);
        let max_queue = route.max_queue.unwrap_or(TimeLimit::MAX);
        let tenant = job.tenant.as_deref().map(CompactString::from);
        for group in groups {
            // A new head doesn't know of outcomes that are in transit to it.
            let items = group.items.into_iter().filter(|item| !self.outcomes.contains(&key, &item.id));
            let assignment = Assignment {
                id: GroupId {
                    partition: job.partition,
                    epoch: job.epoch,
                    job: job.job.as_str().into(),
                    group: group.index,
                },
                route: settings.clone(),
                model: job.model.as_deref().map(CompactString::from),
                min_weights_version: job.model.as_ref().map(|_| job.min_weights_version),
                due_at: received_at + target_run.as_millis(),
                expires_at: received_at + max_queue.as_millis() + EXPIRY_MARGIN_MS,
                items: items.map(|item| assigned_item(item, tenant.as_ref())).collect(),
            };
            runner.assign(assignment, commands);
        }
        self.jobs.insert(key, open);
    }

    /// Applies a change of the configuration to the open jobs. The items of jobs whose route no longer exists expire.
    pub fn routes_changed(
        &mut self,
        table: &Arc<RouteTable>,
        runner: &mut Runner,
        commands: &mut Vec<RunnerCommand>,
    ) {
        runner.set_routes(Arc::new(RewardRoutes(Some(table.clone()))));
        for unrouted in std::mem::take(&mut self.unrouted) {
            self.route(unrouted, Some(table), runner, commands);
        }
        let settings: HashMap<&JobKey, Arc<RouteSettings>> = self
            .jobs
            .iter()
            .filter_map(|(key, job)| {
                let route = rollout_route(table, &job.hostname, &job.path)?;
                Some((key, Arc::new(route_settings(table, route))))
            })
            .collect();
        runner.reroute(|group| settings.get(&JobKey::of_group(group)).cloned(), commands);
    }

    /// Cancels a job that has ended.
    pub fn cancel(
        &mut self,
        partition: u16,
        job: &str,
        runner: &mut Runner,
        commands: &mut Vec<RunnerCommand>,
    ) {
        let key = JobKey::new(partition, job);
        self.ended.insert(key.clone());
        runner.cancel(job, commands);
        self.unrouted.retain(|groups| groups.job.partition != partition || groups.job.job != job);
        self.jobs.remove(&key);
        self.outcomes.remove_job(&key);
    }

    /// Returns the messages that give groups back to the store nodes that assigned them.
    pub fn return_groups(&self, groups: Vec<GroupId>) -> Vec<OutboundMessage> {
        let mut by_job: BTreeMap<LeasedJob, Vec<u32>> = BTreeMap::new();
        for GroupId { partition, epoch, job, group } in groups {
            by_job.entry(LeasedJob { partition, epoch, job }).or_default().push(group);
        }
        let message = |(leased, groups): (LeasedJob, Vec<u32>)| {
            let (partition, epoch) = (leased.partition, leased.epoch);
            let lease_holder =
                self.lease_holders.get(&partition).filter(|lease_holder| lease_holder.epoch == epoch)?;
            let job = leased.job.to_string();
            let message = GatewayMessage::ReturnGroups { partition, epoch, job, groups };
            Some(OutboundMessage { store: lease_holder.store, message })
        };
        by_job.into_iter().filter_map(message).collect()
    }

    /// Drops the groups assigned by a store node whose leases have expired.
    ///
    /// If a newer head than the placement known here has assigned groups of a partition, these groups depend on that
    /// head's lease alone, and not on the one of the head in the placement.
    pub fn store_lease_expired(
        &mut self,
        store: NodeAddress,
        state: &ControlState,
        runner: &mut Runner,
        commands: &mut Vec<RunnerCommand>,
    ) {
        for (partition, placement) in (0u16..).zip(state.partitions()) {
            let newer = self
                .lease_holders
                .get(&partition)
                .filter(|lease_holder| lease_holder.epoch > placement.epoch);
            let known = placement.members.first().map(|member| member.address);
            if newer.map(|lease_holder| lease_holder.store).or(known) == Some(store) {
                self.lease_expired(partition, runner, commands);
            }
        }
    }

    /// Drops the groups of a partition after the lease of its head has expired.
    pub fn lease_expired(&mut self, partition: u16, runner: &mut Runner, commands: &mut Vec<RunnerCommand>) {
        self.unrouted.retain(|groups| groups.job.partition != partition);
        runner.lease_expired(partition, u64::MAX, commands);
    }

    /// Returns the message that reports the number of responses with status 500 to an item, or `None` if the lease
    /// holder of the partition is unknown.
    pub fn failure_report(&self, group: &GroupId, item: &str, count: u32) -> Option<OutboundMessage> {
        let lease_holder = self.lease_holders.get(&group.partition)?;
        let failures = vec![ItemFailures { item: item.to_owned(), count }];
        let job = group.job.to_string();
        let message = GatewayMessage::ReportFailures { partition: group.partition, job, failures };
        Some(OutboundMessage { store: lease_holder.store, message })
    }

    /// Queues the result of an item for its store node.
    pub fn report(&mut self, group: &GroupId, item: &str, result: ItemResult) {
        self.outcomes.push(JobKey::of_group(group), item, result);
    }

    /// Returns the outcomes to send now, as messages to the heads of their partitions.
    pub fn take_due_outcomes(&mut self, now: u64, state: &ControlState) -> Vec<OutboundMessage> {
        self.outcomes.take_due(now, state)
    }

    /// Returns when [`Work::take_due_outcomes`] has to be called next.
    pub fn next_wakeup(&self) -> u64 {
        self.outcomes.next_wakeup()
    }

    /// Makes all unacknowledged outcomes due at once, after a link to a store node was established.
    pub fn resend_outcomes(&mut self) {
        self.outcomes.resend_all();
    }

    /// Removes outcomes that a store node has acknowledged, which means that it has recorded them.
    pub fn acknowledge(&mut self, partition: u16, job: &str, items: &[String]) {
        self.outcomes.acknowledge(&JobKey::new(partition, job), items);
    }

    /// Returns the number of unacknowledged outcomes.
    pub fn unacknowledged(&self) -> usize {
        self.outcomes.len()
    }
}
