//! The state machine of a store node. It performs no I/O.

mod gateway_calls;
mod maintenance;
mod results;
mod undispatched;
mod views;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use compact_str::CompactString;
use orchidvalve_batch::Job;
use orchidvalve_control_state::Placement;
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{GatewayMessage, Handshake, StoreHealth, StoreMessage};
use orchidvalve_wal::{Position, Record};

pub use self::undispatched::UndispatchedItems;
use crate::dispatch;
use crate::effect::{Effect, PartitionEffect, Sinks};
use crate::gateways::{GatewayId, GatewayTable, LinkStatus};
use crate::limits::{JobLimits, LimitSource};
use crate::link::LinkId;
use crate::messages::PeerMessage;
use crate::output::Output;
use crate::partition::Partition;
use crate::pending_calls::{Caller, PendingCalls, Query};
use crate::record_writer::RecordWriter;
use crate::recovery::{RecoveredRecords, replay};
use crate::store::gateway_calls::JobSubmission;
use crate::store::maintenance::Schedule;
use crate::store::results::PendingResults;
use crate::timestamp::Timestamp;

/// Settings that are fixed for the lifetime of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreSettings {
    /// Identity of this store node.
    pub me: MemberId,
    /// Minimum number of durable copies before anything is acknowledged, whatever the placement specifies.
    pub minimum_copies: usize,
    /// How long after its acceptance an ended job is kept, in milliseconds.
    pub retention_ms: u64,
    /// Total size of in-memory logs above which new jobs are rejected, in bytes.
    pub memory_limit_bytes: usize,
}

/// A store with all its partitions. Each input appends the required actions to `outputs`.
pub struct Store {
    settings: StoreSettings,
    limits: Rc<dyn LimitSource>,
    partitions: BTreeMap<u16, Partition>,
    gateways: GatewayTable,
    calls: PendingCalls,
    pending_results: PendingResults,
    health: StoreHealth,
    records: RecordWriter,
    /// Effects of the current input that are not applied yet.
    effects: Vec<PartitionEffect>,
    /// Whether there may be groups to dispatch.
    dispatch_due: bool,
    nonce: u64,
    schedule: Schedule,
    unreadable_records: usize,
}

impl Store {
    /// Creates a store from the records of the write-ahead log, whose next record gets `next_position`. `nonce` is
    /// random.
    pub fn new(
        settings: StoreSettings,
        limits: Rc<dyn LimitSource>,
        records: impl IntoIterator<Item = Record>,
        next_position: Position,
        nonce: u64,
    ) -> Store {
        let me = settings.me;
        let RecoveredRecords { partitions, unreadable } = replay(records);
        Store {
            partitions: partitions
                .into_iter()
                .map(|(number, recovered)| (number, Partition::new(number, me, recovered, nonce)))
                .collect(),
            settings,
            limits,
            gateways: GatewayTable::default(),
            calls: PendingCalls::default(),
            pending_results: PendingResults::default(),
            health: StoreHealth::default(),
            records: RecordWriter::new(next_position),
            effects: Vec::new(),
            dispatch_due: false,
            nonce,
            schedule: Schedule::default(),
            unreadable_records: unreadable,
        }
    }

    /// Returns the number of recovered records that cannot be decoded because another version wrote them. Their content
    /// may have been acknowledged, so the host must not run a store with such records.
    pub fn unreadable_records(&self) -> usize {
        self.unreadable_records
    }

    /// Returns the other stores that share a partition with this one and need a link to it.
    pub fn peers(&self) -> BTreeSet<MemberId> {
        let me = self.settings.me;
        let views = self.partitions.values().map(|partition| partition.replica.view());
        let shared = views.filter(|view| view.is_member(me) || view.learners.contains(&me));
        shared
            .flat_map(|view| view.members.iter().chain(&view.learners))
            .copied()
            .filter(|&member| member != me)
            .collect()
    }

    /// Sets the limits after a change of the configuration.
    pub fn set_limits(&mut self, limits: Rc<dyn LimitSource>) {
        self.limits = limits;
    }

    /// Sets the condition of the disk.
    pub fn set_health(&mut self, health: StoreHealth) {
        self.health = health;
    }

    /// Accepts the placements of the control state, indexed by partition number.
    pub fn update_placements(&mut self, placements: &[Placement], now: Timestamp, outputs: &mut Vec<Output>) {
        for (number, placement) in (0u16..).zip(placements) {
            self.update_placement(number, placement, now, outputs);
        }
        self.finish_input(now, outputs);
    }

    /// Handles a new link to another store.
    pub fn peer_connected(&mut self, peer: MemberId, now: Timestamp, outputs: &mut Vec<Output>) {
        for number in self.partition_numbers() {
            self.with_partition(number, now, outputs, |partition, sinks| {
                partition.drive(sinks, |replica, _, outputs| replica.link_up(peer, outputs));
            });
        }
        self.finish_input(now, outputs);
    }

    /// Handles the loss of the link to another store.
    pub fn peer_disconnected(&mut self, peer: MemberId) {
        self.partitions.values_mut().for_each(|partition| partition.replica.link_down(peer));
    }

    /// Handles a message from another store.
    pub fn peer_message(
        &mut self,
        from: MemberId,
        message: PeerMessage,
        now: Timestamp,
        outputs: &mut Vec<Output>,
    ) {
        if let PeerMessage::Chain { partition, message } = message {
            self.with_partition(partition, now, outputs, |partition, sinks| {
                partition.message(from, message, sinks);
            });
            self.finish_input(now, outputs);
        }
    }

    /// Called when the write-ahead log is durable up to and including `position`.
    pub fn durable(&mut self, position: Position, now: Timestamp, outputs: &mut Vec<Output>) {
        for number in self.partition_numbers() {
            self.with_partition(number, now, outputs, |partition, sinks| partition.durable(position, sinks));
        }
        self.finish_input(now, outputs);
    }

    /// Handles the handshake of a gateway. `link` is the number of its connection: later ones have higher numbers.
    pub fn gateway_connected(
        &mut self,
        link: LinkId,
        handshake: &Handshake,
        now: Timestamp,
        outputs: &mut Vec<Output>,
    ) {
        match self.gateways.link_up(link, handshake, now.monotonic_ms) {
            LinkStatus::New => {}
            LinkStatus::Reconnected(gateway) => {
                for partition in self.partitions.values() {
                    dispatch::resend_assignments(partition, &self.gateways, Some(gateway), now, outputs);
                }
            }
            LinkStatus::Replaces(earlier) => {
                self.revoke_groups_of(earlier);
                self.gateways.remove(earlier);
            }
            LinkStatus::Outdated => return,
        }
        self.cancel_ended(Some(link), now.monotonic_ms, outputs);
        self.finish_input(now, outputs);
    }

    /// Sets the gateways that run generations.
    pub fn set_workers(&mut self, workers: &[NodeAddress], now: Timestamp, outputs: &mut Vec<Output>) {
        self.gateways.set_workers(workers);
        self.dispatch_due = true;
        self.finish_input(now, outputs);
    }

    /// Handles the loss of the link to a gateway. Its groups remain assigned to it until its lease expires.
    pub fn gateway_disconnected(&mut self, link: LinkId) {
        self.gateways.link_down(link);
        self.calls.remove_link(link);
        self.pending_results.remove_link(link);
    }

    /// Handles a message from a gateway.
    pub fn gateway_message(
        &mut self,
        link: LinkId,
        message: GatewayMessage,
        now: Timestamp,
        outputs: &mut Vec<Output>,
    ) {
        let sender = self.gateways.message_received(link, now.monotonic_ms);
        self.dispatch_due |= sender.is_some_and(|sender| sender.had_timed_out);
        match message {
            GatewayMessage::Handshake(handshake) => self.gateway_connected(link, &handshake, now, outputs),
            GatewayMessage::Heartbeat { generation_capacity } => {
                self.dispatch_due |= self.gateways.set_capacity(link, generation_capacity);
            }
            GatewayMessage::SubmitJob { request_id, partition, id, job, received_at_ms } => {
                let submission = JobSubmission { partition, id: &id, job: &job, received_at_ms };
                self.submit(Caller { link, request_id }, &submission, now, outputs);
            }
            GatewayMessage::ReadResults { request_id, partition, id, after, wait_ms, tenant } => {
                let deadline_ms = now.monotonic_ms + u64::from(wait_ms);
                let query = Query::Read { after, deadline_ms, tenant: tenant.map(CompactString::from) };
                self.query(Caller { link, request_id }, partition, &id, query, now, outputs);
            }
            GatewayMessage::ReadItemBody { request_id, partition, id, item, tenant } => {
                let (item, tenant) = (item.into(), tenant.map(CompactString::from));
                let query = Query::Body { item, tenant };
                self.query(Caller { link, request_id }, partition, &id, query, now, outputs);
            }
            GatewayMessage::EndJob { request_id, partition, id, tenant } => {
                let tenant = tenant.map(CompactString::from);
                self.end(Caller { link, request_id }, partition, &id, tenant, now, outputs);
            }
            GatewayMessage::ReportOutcomes { partition, job, outcomes } => {
                self.record_outcomes(link, partition, &job, &outcomes, now, outputs);
            }
            GatewayMessage::ReturnGroups { partition, epoch, job, groups } => {
                let gateway = sender.map(|sender| sender.id);
                self.return_groups(gateway, partition, epoch, &job, &groups, now.monotonic_ms);
            }
            GatewayMessage::ReportFailures { partition, job, failures } => {
                self.record_failures(partition, &job, &failures);
            }
        }
        self.finish_input(now, outputs);
    }

    fn partition_numbers(&self) -> Vec<u16> {
        self.partitions.keys().copied().collect()
    }

    fn with_partition<R>(
        &mut self,
        number: u16,
        now: Timestamp,
        outputs: &mut Vec<Output>,
        action: impl FnOnce(&mut Partition, &mut Sinks<'_>) -> R,
    ) -> Option<R> {
        let partition = self.partitions.get_mut(&number)?;
        let mut sinks = Sinks {
            records: &mut self.records,
            outputs,
            effects: &mut self.effects,
            now_ms: now.monotonic_ms,
        };
        Some(action(partition, &mut sinks))
    }

    /// Applies the effects of committed entries, then dispatches groups and sends acknowledgements.
    fn finish_input(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        while !self.effects.is_empty() {
            for PartitionEffect { partition, effect } in std::mem::take(&mut self.effects) {
                self.apply_effect(partition, effect, now, outputs);
            }
        }
        if std::mem::take(&mut self.dispatch_due) {
            dispatch::dispatch_groups(&mut self.partitions, &mut self.gateways, now, outputs);
        }
        self.pending_results.send_acknowledgements(outputs);
    }

    fn apply_effect(&mut self, number: u16, effect: Effect, now: Timestamp, outputs: &mut Vec<Output>) {
        match effect {
            Effect::JobAccepted { job } => {
                self.dispatch_due = true;
                self.respond_job_accepted(number, &job, outputs);
            }
            Effect::ResultRecorded { job, item, assigned_to } => {
                if let Some(gateway) = assigned_to {
                    self.gateways.release_items(gateway, 1);
                    self.dispatch_due = true;
                }
                self.pending_results.result_committed(number, &job, item);
                self.respond_to_reads(number, &job, outputs);
            }
            Effect::JobEnded { job, released } => {
                self.dispatch_due |= !released.is_empty();
                for items in released {
                    self.gateways.release_items(items.gateway, items.count);
                }
                self.respond_job_ended(number, &job, outputs);
                if self.partitions[&number].replica.is_head() {
                    self.cancel(number, &job, None, outputs);
                }
            }
            Effect::BarrierReached { barrier } => self.respond_after_barrier(barrier, now, outputs),
            Effect::BecameActiveHead => self.dispatch_due = true,
            Effect::LogReplaced => {}
        }
    }

    /// Sends the cancellation of an ended job to the gateway on `link`, or to all gateways.
    fn cancel(&self, partition: u16, job: &CompactString, link: Option<LinkId>, outputs: &mut Vec<Output>) {
        let links: Vec<LinkId> = link.map_or_else(|| self.gateways.links().collect(), |link| vec![link]);
        outputs.extend(links.into_iter().map(|link| Output::ToGateway {
            link,
            message: StoreMessage::CancelJob { partition, job: job.to_string() },
        }));
    }

    fn limits_of(&self, job: &Job) -> JobLimits {
        self.limits.limits(&job.hostname, &job.route_prefix).unwrap_or(JobLimits::DEFAULT)
    }

    /// Revokes all assignments of a gateway.
    fn revoke_groups_of(&mut self, gateway: GatewayId) {
        for partition in self.partitions.values_mut() {
            partition.jobs.for_each_active(|active| {
                active
                    .revoke_all(Some(gateway), |gateway, items| self.gateways.release_items(gateway, items));
            });
        }
        self.dispatch_due = true;
    }
}
