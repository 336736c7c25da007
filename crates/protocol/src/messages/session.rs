//! Sessions of gateways and store nodes with a control node, and the feed of changes that they carry.

use musli::{Decode, Encode};

use super::{Handshake, ServerTableUpdate, TableVersion};
use crate::identity::{MemberId, NodeAddress};

/// Position of a subscriber in the feed.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug, Encode, Decode)]
pub struct FeedPosition {
    /// Sequence number of the last change of the control state that was applied.
    pub applied: u64,
    /// Version of the server table.
    pub servers: TableVersion,
}

/// Condition of a store node. For a gateway, only `draining` is evaluated.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug, Encode, Decode)]
pub struct StoreHealth {
    /// Writes are failing, or have been hanging for more than a second.
    pub disk_failing: bool,
    /// Number of bytes in use on the disk.
    pub used_bytes: u64,
    /// Number of bytes that the disk may hold.
    pub capacity_bytes: u64,
    /// The process shuts down gracefully: it ends when other nodes have its copies, or at its shutdown deadline.
    pub draining: bool,
}

/// Message from a gateway or a store node to its control node. The sessions are kept by `orchidvalve-control-client`.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum SessionMessage {
    /// The first message: identifies the caller and the position from which it needs changes.
    Handshake {
        /// Identifies the caller.
        handshake: Handshake,
        /// Feed position that the caller has reached.
        position: FeedPosition,
    },
    /// Sent regularly to show that the process is alive.
    Heartbeat {
        /// Feed position that the process has reached.
        position: FeedPosition,
        /// Condition of the process, if it has reported one.
        health: Option<StoreHealth>,
    },
    /// The tail of a partition has copied everything to a learner, or a member holds every entry that was committed
    /// before the view of this epoch.
    LearnerCaughtUp {
        /// Number of the partition.
        partition: u16,
        /// Epoch of the partition's view.
        epoch: u64,
        /// The learner or the member that is complete.
        member: MemberId,
    },
    /// The process is stopping and sends no further messages.
    Goodbye,
    /// A submitted batch job uses a model in this way.
    ReportModelUsage {
        /// Name of the model.
        model: String,
        /// Whether the job has texts that must be generated under a single version of the weights.
        single_version: bool,
        /// The number of versions that its oldest permitted version is behind the latest; `None` if it permits every
        /// version.
        lag: Option<u64>,
    },
    /// Numbers of requests of tenants that started on servers through this gateway. They are cumulative since the start
    /// of the process, so duplicated or delayed messages have no effect.
    ReportUsage {
        /// Windows whose counts have changed since they were last sent, or may not have been received.
        windows: Vec<WindowUsage>,
    },
    /// Load that this process has for the servers of each service.
    ReportLoad {
        /// One entry per service; a service without an entry has no load.
        loads: Vec<ServiceLoad>,
    },
}

/// Requests that started within one usage window, as counted by one process.
#[derive(Clone, PartialEq, Eq, Debug, Encode, Decode)]
pub struct WindowUsage {
    /// Number of the window: it starts `window` times its length after 1970-01-01.
    pub window: u64,
    /// Tenants with requests in the window.
    pub counts: Vec<TenantRequests>,
}

/// The number of requests of a tenant that started.
#[derive(Clone, PartialEq, Eq, Debug, Encode, Decode)]
pub struct TenantRequests {
    /// Name of the tenant.
    pub tenant: String,
    /// The number of requests.
    pub requests: u64,
}

/// The load that one process has for the servers of a service.
#[derive(Clone, PartialEq, Eq, Debug, Encode, Decode)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: String,
    /// Requests and generations in flight to its servers.
    pub running: u32,
    /// Requests and generations that are queued.
    pub waiting: u32,
}

/// Message from a control node to a gateway or a store node.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum ControlMessage {
    /// The session is established.
    Welcome {
        /// Control nodes to connect to if this one becomes unresponsive.
        controls: Vec<NodeAddress>,
    },
    /// This control node has no quorum: the caller must connect to another one.
    Redirect {
        /// Control nodes to connect to instead.
        controls: Vec<NodeAddress>,
    },
    /// Sent regularly to show that the control node is alive.
    Heartbeat,
    /// The complete control state.
    Snapshot {
        /// Sequence number of the last change it includes.
        sequence: u64,
        /// The encoded state (`orchidvalve-control-state`).
        state: Vec<u8>,
    },
    /// Consecutive changes of the control state.
    Changes {
        /// Sequence number of the first change.
        first: u64,
        /// The encoded changes.
        changes: Vec<Vec<u8>>,
    },
    /// A new version of the server table.
    Servers(ServerTableUpdate),
    /// A new list of the gateways that run generations.
    Gateways(GatewayList),
    /// Reply of a control node without a disk to a member that proposes the first view.
    FirstViewVote {
        /// The encoded message of the agreement (`orchidvalve-consensus`).
        message: Vec<u8>,
    },
}

/// The gateways that run generations. Each has a quota of every model server's slots. The head of the control chain
/// writes the list, so that all processes use the same one.
#[derive(Clone, PartialEq, Eq, Default, Debug, Encode, Decode)]
pub struct GatewayList {
    /// Version of the list.
    pub version: TableVersion,
    /// Addresses of the gateways.
    pub gateways: Vec<NodeAddress>,
}
