//! Dispatch of groups: decides which group is assigned to which gateway.

use std::collections::BTreeMap;

use compact_str::CompactString;
use orchidvalve_batch::job::Item;
use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::messages::{
    AssignedGroup, AssignedItem, AssignedJob, ItemFailures, ScorerRequest, StoreMessage,
};
use orchidvalve_protocol::rendezvous;

use crate::active_job::ActiveJob;
use crate::gateways::{Gateway, GatewayId, GatewayTable};
use crate::job_key::JobKey;
use crate::output::Output;
use crate::partition::Partition;
use crate::timestamp::Timestamp;

/// A job starts more groups than the trainer waits for: the margin is the desired count divided by this number.
const MARGIN_DIVISOR: u32 = 10;
/// Minimum margin in groups.
const MIN_MARGIN: u32 = 2;
/// Spare groups are started after the job's target run time divided by this number.
const SPARE_WAIT_DIVISOR: u64 = 2;

/// The reason for starting a group.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Purpose {
    /// The group is among those that the trainer waits for, or within the margin.
    Required,
    /// The group is needed only if others fail. It runs on capacity that would otherwise be idle.
    Spare,
}

/// A job with unassigned groups.
struct Candidate {
    deadline_ms: u64,
    /// Wall clock time in milliseconds from which on spare groups are started.
    spare_from_ms: u64,
    key: JobKey,
}

/// The recipient and the job of an assignment message. Messages are sent in the order of these keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AssignmentKey {
    /// The gateway to which the groups are assigned.
    gateway: GatewayId,
    job: JobKey,
}

/// Indices of the groups to be sent, by assignment message.
type Assignments = BTreeMap<AssignmentKey, Vec<u32>>;

/// Assigns groups to gateways with free capacity. Jobs with earlier deadlines come first.
pub(crate) fn dispatch_groups(
    partitions: &mut BTreeMap<u16, Partition>,
    gateways: &mut GatewayTable,
    now: Timestamp,
    outputs: &mut Vec<Output>,
) {
    if !gateways.iter().any(|(_, gateway)| gateway.has_capacity(1)) {
        return;
    }
    let candidates = candidates(partitions);
    let mut assignments = Assignments::new();
    for purpose in [Purpose::Required, Purpose::Spare] {
        let is_due =
            |candidate: &&Candidate| purpose == Purpose::Required || now.wall_ms >= candidate.spare_from_ms;
        for candidate in candidates.iter().filter(is_due) {
            let Some(partition) = partitions.get_mut(&candidate.key.partition) else { continue };
            if let Some(active) = partition.jobs.active_mut(&candidate.key.job) {
                dispatch_job(active, candidate, purpose, gateways, now.monotonic_ms, &mut assignments);
            }
        }
    }
    for (AssignmentKey { gateway, job: key }, groups) in assignments {
        if let Some(partition) = partitions.get(&key.partition) {
            send_assignment(partition, &key.job, &groups, gateways.get(gateway), now, outputs);
        }
    }
}

fn candidates(partitions: &BTreeMap<u16, Partition>) -> Vec<Candidate> {
    let mut candidates: Vec<Candidate> = Vec::new();
    for (&number, partition) in partitions.iter().filter(|(_, partition)| partition.is_active_head()) {
        let waiting = partition.jobs.iter_active().filter(|(_, _, active)| active.has_unassigned_group());
        candidates.extend(waiting.map(|(id, job, _)| {
            let target_run_ms = job.times.target_run.as_millis();
            Candidate {
                deadline_ms: job.times.accepted_at_ms + target_run_ms,
                spare_from_ms: job.times.accepted_at_ms + target_run_ms / SPARE_WAIT_DIVISOR,
                key: JobKey { partition: number, job: id.clone() },
            }
        }));
    }
    candidates
        .sort_by(|one, other| (one.deadline_ms, &one.key.job).cmp(&(other.deadline_ms, &other.key.job)));
    candidates
}

/// Returns the maximum number of groups of the job that may be assigned or finished, given the purpose.
fn max_started_groups(active: &ActiveJob, purpose: Purpose) -> u32 {
    match (purpose, active.job().desired_count) {
        (Purpose::Required, desired) if desired > 0 => desired + (desired / MARGIN_DIVISOR).max(MIN_MARGIN),
        _ => u32::MAX,
    }
}

/// Returns the number of unassigned items that the job needs even if no group fails.
pub(crate) fn undispatched_items(active: &ActiveJob) -> u32 {
    let max_started = max_started_groups(active, Purpose::Required);
    active.unassigned_items(max_started.saturating_sub(active.started_groups()))
}

fn dispatch_job(
    active: &mut ActiveJob,
    candidate: &Candidate,
    purpose: Purpose,
    gateways: &mut GatewayTable,
    now_ms: u64,
    assignments: &mut Assignments,
) {
    let max_started = max_started_groups(active, purpose);
    let mut first_unassigned = None;
    for index in active.first_unassigned()..active.groups().len() {
        if active.started_groups() >= max_started {
            break;
        }
        let group = &active.groups()[index];
        if !group.is_unassigned() {
            continue;
        }
        first_unassigned = first_unassigned.or(Some(index));
        if !group.is_due(now_ms) {
            continue;
        }
        let items = group.missing_results();
        let Some(gateway) = choose_gateway(gateways, &candidate.key.job, index, items, purpose) else {
            break;
        };
        active.assign(index, gateway);
        gateways.add_items(gateway, items);
        if first_unassigned == Some(index) {
            first_unassigned = None;
        }
        let key = AssignmentKey { gateway, job: candidate.key.clone() };
        assignments.entry(key).or_default().push(index as u32);
    }
    if let Some(index) = first_unassigned {
        active.set_first_unassigned(index);
    }
}

/// A gateway to which a group may be assigned.
#[derive(Clone, Copy)]
struct RankedGateway {
    rank: f64,
    id: GatewayId,
    load: f32,
}

/// Returns the less loaded of the two gateways that the hash of the group ranks first. Since the ranking depends only
/// on the group and the gateways, a new head mostly chooses the same gateways as its predecessor.
fn choose_gateway(
    gateways: &GatewayTable,
    job: &str,
    group: usize,
    items: u32,
    purpose: Purpose,
) -> Option<GatewayId> {
    let seed = rendezvous::hash(job.as_bytes(), group as u64);
    let is_open = |gateway: &Gateway| {
        gateway.has_capacity(items) && (purpose == Purpose::Required || gateway.is_idle())
    };
    let mut best: [Option<RankedGateway>; 2] = [None, None];
    for (id, gateway) in gateways.iter().filter(|(_, gateway)| is_open(gateway)) {
        let rank = rank(seed, gateway.address(), gateway.weight());
        let ranked = RankedGateway { rank, id, load: gateway.load() };
        if best[0].is_none_or(|first| rank < first.rank) {
            best = [Some(ranked), best[0]];
        } else if best[1].is_none_or(|second| rank < second.rank) {
            best[1] = Some(ranked);
        }
    }
    let least_loaded = best.into_iter().flatten().min_by(|one, other| one.load.total_cmp(&other.load));
    least_loaded.map(|ranked| ranked.id)
}

/// Returns the rank of a gateway in weighted rendezvous hashing (Thaler and Ravishankar 1998). The lowest rank wins;
/// each gateway wins with a probability proportional to its weight.
fn rank(seed: u64, address: NodeAddress, weight: f32) -> f64 {
    let random = (rendezvous::rank(seed, address) >> 11) as f64 / (1u64 << 53) as f64;
    -(1.0 - random).ln() / f64::from(weight)
}

/// Resends the assignments of all gateways, or of the gateway `only`: a new view changes the epoch of the assignments,
/// and earlier messages may have been lost. Gateways ignore groups that they already have.
pub(crate) fn resend_assignments(
    partition: &Partition,
    gateways: &GatewayTable,
    only: Option<GatewayId>,
    now: Timestamp,
    outputs: &mut Vec<Output>,
) {
    for (job, _, active) in partition.jobs.iter_active() {
        let mut assigned: BTreeMap<GatewayId, Vec<u32>> = BTreeMap::new();
        for (group, index) in active.groups().iter().zip(0..) {
            let is_included = |gateway: &GatewayId| only.is_none_or(|only| only == *gateway);
            if let Some(gateway) = group.assigned_to().filter(is_included) {
                assigned.entry(gateway).or_default().push(index);
            }
        }
        for (gateway, groups) in assigned {
            send_assignment(partition, job, &groups, gateways.get(gateway), now, outputs);
        }
    }
}

fn send_assignment(
    partition: &Partition,
    job: &CompactString,
    groups: &[u32],
    gateway: Option<&Gateway>,
    now: Timestamp,
    outputs: &mut Vec<Output>,
) {
    let Some(link) = gateway.and_then(Gateway::link) else { return };
    let Some(state) = partition.jobs.get(job) else { return };
    let Some(active) = state.active() else { return };
    let assigned_job = AssignedJob {
        partition: partition.number(),
        epoch: partition.replica.view().epoch,
        job: job.to_string(),
        hostname: active.job().hostname.clone(),
        path: active.job().route_prefix.clone(),
        model: active.job().model.clone(),
        min_weights_version: active.job().min_weights_version,
        age_ms: now.wall_ms.saturating_sub(state.times.accepted_at_ms),
        tenant: active.job().tenant.clone(),
    };
    let failures = known_failures(active, groups);
    let groups = groups.iter().map(|&index| assigned_group(active, index)).collect();
    outputs
        .push(Output::ToGateway { link, message: StoreMessage::AssignGroups { job: assigned_job, groups } });
    if !failures.is_empty() {
        let (partition, job) = (partition.number(), job.to_string());
        let message = StoreMessage::KnownFailures { partition, job, failures };
        outputs.push(Output::ToGateway { link, message });
    }
}

/// Returns the items of the groups that have failed at a gateway and have no result yet.
fn known_failures(active: &ActiveJob, groups: &[u32]) -> Vec<ItemFailures> {
    let items = groups.iter().flat_map(|&index| active.groups()[index as usize].items());
    let failed = items.filter(|&&item| !active.has_result(item) && active.failures(item) > 0);
    let failures = failed.filter_map(|&index| {
        let item = active.job().item(index as usize)?.id().to_owned();
        Some(ItemFailures { item, count: active.failures(index) })
    });
    failures.collect()
}

fn assigned_group(active: &ActiveJob, index: u32) -> AssignedGroup {
    let unfinished = active.groups()[index as usize].items().iter().filter(|&&item| !active.has_result(item));
    let items = unfinished.filter_map(|&item| active.job().item(item as usize)).map(assigned_item).collect();
    AssignedGroup { index, items }
}

fn assigned_item(item: Item<'_>) -> AssignedItem {
    AssignedItem {
        id: item.id().to_owned(),
        path: item.path().to_owned(),
        headers: item.headers().map(|(name, value)| (name.to_owned(), value.to_owned())).collect(),
        body: item.body().to_vec(),
        token_usage: item.token_usage(),
        scorer: item.scorer().map(|scorer| ScorerRequest {
            id: scorer.id.to_owned(),
            hostname: scorer.hostname.to_owned(),
            path: scorer.path.to_owned(),
            body: scorer.body.to_vec(),
        }),
    }
}
