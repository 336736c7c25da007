//! The generations of this gateway: between the stores that assign them, the runner, and the stores that record their
//! outcomes.

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

use self::ended_jobs::EndedJobs;
use self::outcomes::OutcomeQueue;
pub use self::routes::RewardRoutes;
use self::routes::{DEFAULT_RUN_MS, assigned_item, rollout_route, route_facts};
use crate::generations::{Assignment, GroupId, ItemResult, RouteFacts, Runner, RunnerCommand};
use crate::store_links::OutboundMessage;

/// Items expire this much after the time that the route allows, in milliseconds: the age of a job that a store tells is
/// the difference of two processes' wall clocks, which may be two seconds apart if one of them was being set when its
/// process started.
const EXPIRY_MARGIN_MS: u64 = 3_000;
/// Time after which an item expires whose route states none, in milliseconds.
const NO_EXPIRY_MS: u64 = u64::MAX / 4;

/// A batch job: its partition and its id there.
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

/// A job of which groups were assigned to this gateway: by which route it goes.
#[derive(Debug)]
struct OpenJob {
    hostname: String,
    path: String,
}

/// Groups of a batch job as the head of its partition assigns them.
pub struct AssignedGroups {
    /// The head.
    pub store: NodeAddress,
    /// The job, as far as the groups need it.
    pub job: AssignedJob,
    /// The groups.
    pub groups: Vec<AssignedGroup>,
}

/// The newest head that has assigned groups of a partition, under its lease.
#[derive(Clone, Copy, Debug)]
struct Lessor {
    epoch: u64,
    store: NodeAddress,
}

/// A job under the lease of one epoch. The derived order goes by the fields in this order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct LeasedJob {
    partition: u16,
    epoch: u64,
    job: CompactString,
}

/// Groups whose route isn't in the configuration that this gateway has.
struct UnroutedGroups {
    /// When the job was first received, by this gateway's clock.
    received_at: u64,
    job: AssignedJob,
    groups: Vec<AssignedGroup>,
}

/// What has been assigned to this gateway, and its outcomes.
#[derive(Default)]
pub struct Work {
    jobs: HashMap<JobKey, OpenJob>,
    unrouted: Vec<UnroutedGroups>,
    outcomes: OutcomeQueue,
    /// By partition.
    lessors: HashMap<u16, Lessor>,
    ended: EndedJobs,
}

impl Work {
    /// Groups were assigned by the head of their partition. Those of an older epoch than one seen or of a job that has
    /// ended are ignored: a former head may not know yet that another one ended it. Those without a route wait for the
    /// next configuration.
    pub fn assign(
        &mut self,
        now: u64,
        assigned: AssignedGroups,
        table: Option<&Arc<RouteTable>>,
        runner: &mut Runner,
        commands: &mut Vec<RunnerCommand>,
    ) {
        let AssignedGroups { store, job, groups } = assigned;
        let is_old = self.lessors.get(&job.partition).is_some_and(|lessor| job.epoch < lessor.epoch);
        if is_old || self.ended.contains(&JobKey::of_job(&job)) {
            return;
        }
        self.lessors.insert(job.partition, Lessor { epoch: job.epoch, store });
        let received_at = now.saturating_sub(job.age_ms);
        self.route(UnroutedGroups { received_at, job, groups }, table, runner, commands);
    }

    /// Gives groups to the runner, by their route.
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
            log::warn!("work: job {} has no route now; its groups wait for a configuration", job.job);
            self.unrouted.push(unrouted);
            return;
        };
        let UnroutedGroups { received_at, job, groups } = unrouted;
        let facts = Arc::new(route_facts(table, route));
        let key = JobKey::of_job(&job);
        let open = OpenJob { hostname: job.hostname.clone(), path: job.path.clone() };
        let allowed_ms =
            route.max_queue_s.map_or(NO_EXPIRY_MS, |seconds| (seconds * 1_000.0) as u64 + EXPIRY_MARGIN_MS);
        let tenant = job.tenant.as_deref().map(CompactString::from);
        for group in groups {
            // A new head doesn't know what is on its way to it.
            let items = group.items.into_iter().filter(|item| !self.outcomes.contains(&key, &item.id));
            let assignment = Assignment {
                id: GroupId {
                    partition: job.partition,
                    epoch: job.epoch,
                    job: job.job.as_str().into(),
                    group: group.index,
                },
                route: facts.clone(),
                model: job.model.as_deref().map(CompactString::from),
                min_weights_version: job.model.as_ref().map(|_| job.min_weights_version),
                due_at: received_at + route.target_run_ms.unwrap_or(DEFAULT_RUN_MS),
                expires_at: received_at.saturating_add(allowed_ms),
                items: items.map(|item| assigned_item(item, tenant.as_ref())).collect(),
            };
            runner.assign(assignment, commands);
        }
        self.jobs.insert(key, open);
    }

    /// The configuration has changed: open jobs go on by their routes in it. The items of those whose route has ended
    /// expire.
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
        let facts: HashMap<&JobKey, Arc<RouteFacts>> = self
            .jobs
            .iter()
            .filter_map(|(key, job)| {
                let route = rollout_route(table, &job.hostname, &job.path)?;
                Some((key, Arc::new(route_facts(table, route))))
            })
            .collect();
        runner.reroute(|group| facts.get(&JobKey::of_group(group)).cloned(), commands);
    }

    /// A job has ended.
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

    /// Groups that this gateway returns to the stores that assigned them, as messages to these.
    pub fn return_groups(&self, groups: Vec<GroupId>) -> Vec<OutboundMessage> {
        let mut by_job: BTreeMap<LeasedJob, Vec<u32>> = BTreeMap::new();
        for GroupId { partition, epoch, job, group } in groups {
            by_job.entry(LeasedJob { partition, epoch, job }).or_default().push(group);
        }
        let message = |(leased, groups): (LeasedJob, Vec<u32>)| {
            let (partition, epoch) = (leased.partition, leased.epoch);
            let lessor = self.lessors.get(&partition).filter(|lessor| lessor.epoch == epoch)?;
            let job = leased.job.to_string();
            let message = GatewayMessage::ReturnGroups { partition, epoch, job, groups };
            Some(OutboundMessage { store: lessor.store, message })
        };
        by_job.into_iter().filter_map(message).collect()
    }

    /// The leases of a store are over: what it assigned is dropped. A head that is newer than the placement that this
    /// gateway knows of keeps its leases whoever is silent, and loses them by its own silence.
    pub fn store_lease_expired(
        &mut self,
        store: NodeAddress,
        state: &ControlState,
        runner: &mut Runner,
        commands: &mut Vec<RunnerCommand>,
    ) {
        for (partition, placement) in (0u16..).zip(state.partitions()) {
            let newer = self.lessors.get(&partition).filter(|lessor| lessor.epoch > placement.epoch);
            let known = placement.members.first().map(|member| member.address);
            if newer.map(|lessor| lessor.store).or(known) == Some(store) {
                self.lease_expired(partition, runner, commands);
            }
        }
    }

    /// The lease on what a partition's head assigned is over.
    pub fn lease_expired(&mut self, partition: u16, runner: &mut Runner, commands: &mut Vec<RunnerCommand>) {
        self.unrouted.retain(|groups| groups.job.partition != partition);
        runner.lease_expired(partition, u64::MAX, commands);
    }

    /// The message that tells the store of responses of 500 to an item; `None` where its lessor isn't known any more.
    pub fn failure_report(&self, group: &GroupId, item: &str, count: u32) -> Option<OutboundMessage> {
        let lessor = self.lessors.get(&group.partition)?;
        let failures = vec![ItemFailures { item: item.to_owned(), count }];
        let job = group.job.to_string();
        let message = GatewayMessage::ReportFailures { partition: group.partition, job, failures };
        Some(OutboundMessage { store: lessor.store, message })
    }

    /// An item has a result.
    pub fn report(&mut self, group: &GroupId, item: &str, result: ItemResult) {
        self.outcomes.push(JobKey::of_group(group), item, result);
    }

    /// Outcomes that are to be sent now, as messages to the heads of their partitions.
    pub fn take_due_outcomes(&mut self, now: u64, state: &ControlState) -> Vec<OutboundMessage> {
        self.outcomes.take_due(now, state)
    }

    /// When [`Work::take_due_outcomes`] has to be called next.
    pub fn next_wakeup(&self) -> u64 {
        self.outcomes.next_wakeup()
    }

    /// Outcomes that wait for an acknowledgement are sent again at once: a link to a store is new.
    pub fn resend_outcomes(&mut self) {
        self.outcomes.resend_all();
    }

    /// A store has acknowledged outcomes: it has recorded them.
    pub fn acknowledge(&mut self, partition: u16, job: &str, items: &[String]) {
        self.outcomes.acknowledge(&JobKey::new(partition, job), items);
    }

    /// The number of outcomes that wait for an acknowledgement.
    pub fn unacknowledged(&self) -> usize {
        self.outcomes.len()
    }
}
