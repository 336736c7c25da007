//! The control node: agreement on views, replication of the log, the control state and open requests.
//!
//! [`ControlNode`] does no I/O of its own: the disk is behind [`Disk`], and messages and notifications are returned as
//! [`NodeOutput`]s. Each part of the node maintains an invariant of its own. The node passes the outputs of one part to the
//! others, in a fixed order.

mod agreement_record;
mod checkpoints;
mod disk;
mod leadership;
mod open_requests;
mod output;
mod quorum_contact;
mod replication;
mod requests;
mod state_machine;
mod views;

use std::rc::Rc;

use orchidvalve_chain_replication::{Epoch, Milliseconds, Replica, Sequence};
use orchidvalve_consensus::{Agreement, Timing, View};
use orchidvalve_control_state::ControlState;
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_wal::Position;

use self::agreement_record::AgreementRecord;
use self::checkpoints::Checkpoints;
use self::disk::RecordLog;
use self::leadership::Leadership;
use self::open_requests::OpenRequests;
use self::quorum_contact::QuorumContact;
use self::state_machine::StateMachine;
use crate::disk_records::{DiskRecord, RecoveredState};
use crate::peer_messages::PeerMessage;
use crate::replicated_log::ReplicatedLog;

pub use self::disk::Disk;
pub use self::open_requests::{REQUEST_TIMEOUT_MS, RequestNumber, RequestOrigin};
pub use self::output::{NodeOutput, RetirementVerdict};
pub use self::quorum_contact::QUORUM_TIMEOUT_MS;

/// Maximum time between two calls of [`ControlNode::tick`], in milliseconds.
const MAX_TICK_INTERVAL_MS: Milliseconds = 100;

/// Properties of this node that do not change while the process runs.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Address and disk of this node.
    pub me: MemberId,
    /// Whether this node may take part in deciding the first view.
    pub bootstrap: bool,
    /// Addresses of the control nodes in the settings.
    pub seeds: Vec<NodeAddress>,
    /// Number of disks that may be lost at once.
    pub tolerance: usize,
    /// Time from the return of a node until the next one may be lost, in milliseconds.
    pub catch_up_ms: Milliseconds,
    /// Random number of this start of the process.
    pub incarnation: u64,
}

/// The state machine of one control node.
pub struct ControlNode<D> {
    config: NodeConfig,
    now: Milliseconds,
    outputs: Vec<NodeOutput>,
    disk: RecordLog<D>,
    agreement: Agreement,
    agreement_record: AgreementRecord,
    quorum: QuorumContact,
    replica: Replica,
    log: ReplicatedLog,
    /// Nodes outside the chain that copy the log, including this node if it is outside.
    learners: Vec<MemberId>,
    state: StateMachine,
    checkpoints: Checkpoints,
    requests: OpenRequests,
    leadership: Leadership,
}

impl<D: Disk> ControlNode<D> {
    /// Creates the node at the start of its process, with the state recovered from its disk.
    pub fn new(config: NodeConfig, recovered: RecoveredState, disk: D, now: Milliseconds) -> ControlNode<D> {
        let RecoveredState { log, agreement: durable, agreement_position, leadership_epoch, .. } = recovered;
        let durable_position = log.disk_position(log.end()).unwrap_or(0);
        let view = durable.as_ref().and_then(|state| state.view.clone());
        let timing = Timing::new(config.catch_up_ms, config.tolerance + 1);
        let agreement = Agreement::new(config.me, config.bootstrap, config.seeds.clone(), durable.clone());
        let mut node = ControlNode {
            now,
            outputs: Vec::new(),
            disk: RecordLog::new(disk, durable_position),
            agreement: agreement.with_timing(timing).with_first_ping(config.incarnation),
            agreement_record: AgreementRecord::recovered(durable, agreement_position),
            quorum: QuorumContact::default(),
            replica: Replica::new(config.me, log.state(), config.incarnation),
            learners: Vec::new(),
            state: StateMachine::starting_at(log.first()),
            checkpoints: Checkpoints::default(),
            requests: OpenRequests::default(),
            leadership: Leadership::recovered(leadership_epoch),
            log,
            config,
        };
        if let Some(view) = view {
            node.enter_view(view);
        }
        node
    }

    /// Takes the pending outputs, in order. The host has to carry them out.
    pub fn take_outputs(&mut self) -> Vec<NodeOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the committed control state.
    pub fn state(&self) -> &ControlState {
        self.state.committed()
    }

    /// Returns the number of the last change applied to the committed control state; 0 before the first.
    pub fn applied(&self) -> Sequence {
        self.state.committed_through()
    }

    /// Returns the state with all entries of the log applied, committed or not; meaningful while this node is the head.
    pub fn tentative_state(&mut self) -> &ControlState {
        self.state.tentative(&self.log)
    }

    /// Returns the latest view that this node knows.
    pub fn view(&self) -> Option<&View> {
        self.agreement.view()
    }

    /// Returns the epoch of the view that this node acts in. The node may know a newer view.
    pub fn epoch(&self) -> Epoch {
        self.replica.view().epoch
    }

    /// Returns whether this node is the head of the chain.
    pub fn is_head(&self) -> bool {
        self.replica.is_head()
    }

    /// Returns whether this node may decide requests: it is the head, has a quorum, and knows the outcome of all entries of
    /// earlier views.
    pub fn is_established_head(&self) -> bool {
        self.replica.is_head() && self.replica.is_recovered() && self.has_quorum()
    }

    /// Returns whether this node is in the chain and a quorum was recently in its view.
    pub fn has_quorum(&self) -> bool {
        self.replica.is_member() && self.quorum.is_recent(self.agreement.quorum_confirmed_at(), self.now)
    }

    /// Returns the latest time at which a quorum was certainly in the view that this node acts in. `None` while this node
    /// knows a newer view but has not entered it, since confirmations refer to the newer view then.
    pub fn quorum_confirmed_at(&self) -> Option<Milliseconds> {
        if self.agreement.epoch() != self.epoch() {
            return None;
        }
        self.agreement.quorum_confirmed_at()
    }

    /// Returns the leadership term while this node is the established head: the number of the committed change that began
    /// the term. It increases with every start of a head, even within one view, so that nothing numbered under it is
    /// numbered again after a restart.
    pub fn leadership_term(&self) -> Option<Sequence> {
        self.leadership.term(self.state.applied()).filter(|_| self.is_established_head())
    }

    /// Returns the latest epoch in which this node gave orders, according to its disk.
    pub fn leadership_epoch(&self) -> Option<Epoch> {
        self.leadership.persisted_epoch()
    }

    /// Records on the disk that this node gives orders in the current view. A restarted process that finds this record
    /// need not wait until the orders of another head have certainly arrived.
    pub fn persist_leadership(&mut self) {
        let epoch = self.epoch();
        if self.leadership.persisted_epoch() != Some(epoch) {
            self.write_leadership_epoch(epoch);
        }
    }

    fn write_leadership_epoch(&mut self, epoch: Epoch) {
        let position = self.disk.append(&DiskRecord::LeadershipEpoch { epoch });
        self.leadership.written(epoch, position);
    }

    /// Returns the number of the first committed change that can still be sent to subscribers individually.
    pub fn first_change(&self) -> Sequence {
        self.log.first()
    }

    /// Returns the committed changes from `first` on, encoded.
    pub fn changes_from(&self, first: Sequence) -> Vec<Rc<[u8]>> {
        let entries = (first..=self.applied()).filter_map(|sequence| self.log.get(sequence));
        entries.map(|entry| entry.payload.clone()).collect()
    }

    /// Returns the first message of the agreement on a new link.
    pub fn hello(&self) -> PeerMessage {
        PeerMessage::Agreement(self.agreement.hello())
    }

    /// Excludes the control node at the address of a seed from the agreement, because it is an observer.
    pub fn exclude_seed(&mut self, seed: NodeAddress) {
        self.agreement.exclude_seed(seed);
    }

    /// Announces that this process is shutting down; [`ControlNode::may_leave`] says when it may exit.
    pub fn set_leaving(&mut self) {
        self.agreement.set_leaving();
    }

    /// Returns whether a process that is shutting down may exit now without any loss.
    pub fn may_leave(&self) -> bool {
        self.agreement.may_leave()
    }

    /// Sets whether the disk hangs or refuses writes.
    pub fn set_impaired(&mut self, impaired: bool) {
        self.agreement.set_impaired(impaired);
    }

    /// Returns when [`ControlNode::tick`] has to be called next.
    pub fn next_tick_at(&self) -> Milliseconds {
        self.agreement.next_tick_at().min(self.now + MAX_TICK_INTERVAL_MS)
    }

    /// Sets the time. The host calls this before it handles any event of a turn. Otherwise a process that was suspended
    /// would handle events with the time before its pause, and still count on a quorum that it may have lost.
    pub fn advance_clock(&mut self, now: Milliseconds) {
        self.now = self.now.max(now);
    }

    /// Does what is due by time in all parts of the node, in this order: agreement, replication, expiry of requests,
    /// catch-up, term, checkpoint.
    pub fn tick(&mut self, now: Milliseconds) {
        self.advance_clock(now);
        let mut outputs = Vec::new();
        self.agreement.tick(now, &mut outputs);
        self.quorum.note_confirmed(self.agreement.quorum_confirmed_at());
        self.apply_agreement_outputs(outputs);
        let mut outputs = Vec::new();
        self.replica.tick(now, &self.log, &mut outputs);
        self.apply_chain_outputs(outputs);
        self.expire_requests();
        self.report_caught_up();
        self.begin_term_if_due();
        self.checkpoint_if_due();
    }

    /// Notes that messages pass to and from `member`. Earlier pings were lost, so the member is pinged at once: after a
    /// power loss of all nodes, requests are served only once a quorum has responded.
    pub fn link_up(&mut self, member: MemberId) {
        let mut outputs = Vec::new();
        self.replica.link_up(member, &mut outputs);
        self.apply_chain_outputs(outputs);
        if self.agreement.view().is_some() {
            let mut outputs = Vec::new();
            self.agreement.confirm_now(self.now, &mut outputs);
            self.apply_agreement_outputs(outputs);
        }
    }

    /// Notes that the link to `member` has ended; messages sent on it may be lost.
    pub fn link_down(&mut self, member: MemberId) {
        self.replica.link_down(member);
    }

    /// Processes a message of the agreement.
    pub fn agreement_message(&mut self, from: MemberId, message: orchidvalve_consensus::Message) {
        let mut outputs = Vec::new();
        self.agreement.message_received(self.now, from, message, &mut outputs);
        self.apply_agreement_outputs(outputs);
    }

    /// Processes a message of chain replication.
    pub fn chain_message(&mut self, from: MemberId, message: orchidvalve_chain_replication::Message) {
        let mut outputs = Vec::new();
        self.replica.message_received(from, message, &self.log, &mut outputs);
        self.apply_chain_outputs(outputs);
    }

    /// Marks all records up to `position` as durable.
    pub fn durable(&mut self, position: Position) {
        if !self.disk.set_durable(position) {
            return;
        }
        let mut outputs = Vec::new();
        for write_number in self.agreement_record.set_durable(position) {
            self.agreement.write_durable(write_number, &mut outputs);
        }
        self.apply_agreement_outputs(outputs);
        self.report_durable_entries();
        self.release();
    }
}
