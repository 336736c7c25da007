//! One simulated machine: its disk, control process and links.

use std::collections::BTreeMap;

use orchidvalve_control_plane::disk_hang::DiskHangDetector;
use orchidvalve_control_plane::node::{ControlNode, RequestNumber};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};

use super::Packet;
use crate::support::clients::OpenCall;
use crate::support::disk::SimulatedDisk;
use crate::support::links::Links;
use crate::support::operators::Attempt;
use crate::support::order_roles::OrderRole;
use crate::support::server_tables::ListState;
use crate::support::shutdown::Shutdown;
use crate::support::subscribers::{FeedEvent, HostedSession, RememberedPositions, SessionNumber};

pub struct Machine {
    pub address: NodeAddress,
    pub disk_identity: u64,
    pub disk: SimulatedDisk,
    pub control_node: Option<ControlNode<SimulatedDisk>>,
    pub start: u32,
    pub(super) started_at: u64,
    pub bootstrap: bool,
    /// Whether the machine has been removed permanently.
    pub removed: bool,
    pub frozen: bool,
    /// Time in ms at which the process last ended or was frozen.
    pub down_since: u64,
    pub inbox: Vec<(usize, MemberId, Packet)>,
    pub links: Links,
    pub syncing: bool,
    pub hanging: bool,
    pub disk_watch: DiskHangDetector,
    /// The graceful shutdown in progress, if any.
    pub shutdown: Option<Shutdown>,
    pub tick_at: u64,
    pub next_call: u64,
    pub calls: BTreeMap<RequestNumber, OpenCall>,
    /// While the machine counts as lost: the time in ms of its return, or `u64::MAX` while it is still away.
    pub lost: Option<u64>,
    /// Requests of operators and messages of subscribers that arrived while the process was frozen.
    pub operator_inbox: Vec<Attempt>,
    pub session_inbox: Vec<FeedEvent>,
    pub sessions: BTreeMap<SessionNumber, HostedSession>,
    pub remembered_positions: RememberedPositions,
    /// Factor by which disk syncs take longer than usual.
    pub sync_factor: u64,
    /// Factor by which both the links and the disk are slower than usual.
    pub slowness: u64,
    /// Whether the machine is partitioned from several other machines or from all of them.
    pub isolated: bool,
    /// Time in ms until which the machine counts as lost, in scenarios whose faults stay within the tolerance.
    pub disturbed_until: u64,
    pub list_state: ListState,
    pub orders: Option<OrderRole>,
    /// Time in microseconds at which all bytes queued on a narrow line have been sent.
    pub(super) line_free_at: u64,
}

impl Machine {
    pub fn member(&self) -> MemberId {
        MemberId { address: self.address, disk: self.disk_identity }
    }

    pub fn is_running(&self) -> bool {
        self.control_node.is_some() && !self.frozen
    }
}
