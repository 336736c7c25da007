//! Sessions of gateways and store nodes with a control node, and the feed of changes that they bring.

use musli::{Decode, Encode};

use super::{Handshake, ServerTableUpdate, TableVersion};
use crate::identity::{MemberId, NodeAddress};

/// How far a subscriber of the feed has come.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug, Encode, Decode)]
pub struct FeedPosition {
    /// Sequence number of the last change of the control state that was applied.
    pub applied: u64,
    /// Version of the server table.
    pub servers: TableVersion,
}

/// Condition of a store node. Of a gateway, only `draining` counts.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug, Encode, Decode)]
pub struct StoreHealth {
    /// Writes are failing or have been hanging for over a second.
    pub disk_failing: bool,
    /// Bytes of the disk that are in use.
    pub used_bytes: u64,
    /// Bytes that the disk may hold.
    pub capacity_bytes: u64,
    /// It was told to stop and ends as soon as others have its copies, or when its time is up.
    pub draining: bool,
}

/// From a gateway or a store node to its control node. The crate `orchidvalve-control-client` keeps such sessions.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum SessionMessage {
    /// The first message: who is calling, and from where on changes are wanted.
    Handshake {
        /// Who is calling.
        handshake: Handshake,
        /// How far the caller has come before.
        position: FeedPosition,
    },
    /// The process is alive.
    Heartbeat {
        /// How far it has come.
        position: FeedPosition,
        /// Its condition, where it told one.
        health: Option<StoreHealth>,
    },
    /// The tail of a partition has copied everything to a learner, or a member holds everything that was
    /// committed before the view of this epoch.
    LearnerCaughtUp {
        /// Number of the partition.
        partition: u16,
        /// Epoch of its view.
        epoch: u64,
        /// The learner, or the member.
        member: MemberId,
    },
    /// The process is stopping and sends nothing more.
    Goodbye,
    /// A batch job came that uses a model so.
    ReportModelUsage {
        /// Name of the model.
        model: String,
        /// Some texts have to be made under a single version.
        single_version: bool,
        /// How many versions its oldest allowed one is behind the newest; None where it allows every version.
        lag: Option<u64>,
    },
    /// Requests of tenants that began at servers through this gateway. The counts are those since the start of the
    /// process, so a message that comes twice or late does no harm.
    ReportUsage {
        /// Windows whose counts have changed since they were last sent, or may not have arrived.
        windows: Vec<WindowUsage>,
    },
    /// What this process has to do at servers.
    ReportLoad {
        /// By service; one that isn't here has nothing to do.
        loads: Vec<ServiceLoad>,
    },
}

/// Requests that began within one window of usage, as one process counted them.
#[derive(Clone, PartialEq, Eq, Debug, Encode, Decode)]
pub struct WindowUsage {
    /// Number of the window: it starts `window` times its length after the beginning of 1970.
    pub window: u64,
    /// Tenants that had requests in it.
    pub counts: Vec<TenantRequests>,
}

/// How many requests of a tenant began.
#[derive(Clone, PartialEq, Eq, Debug, Encode, Decode)]
pub struct TenantRequests {
    /// Name of the tenant.
    pub tenant: String,
    /// Number of its requests.
    pub requests: u64,
}

/// Work of one process for the servers of a service.
#[derive(Clone, PartialEq, Eq, Debug, Encode, Decode)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: String,
    /// Requests and generations that are in flight at its servers.
    pub running: u32,
    /// Requests and generations that wait to be sent.
    pub waiting: u32,
}

/// From a control node to a gateway or a store node.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum ControlMessage {
    /// The session stands.
    Welcome {
        /// Control nodes that may be called when this one falls silent.
        controls: Vec<NodeAddress>,
    },
    /// This control node isn't in touch with a quorum: the caller goes to another one.
    Redirect {
        /// Control nodes that may be called instead.
        controls: Vec<NodeAddress>,
    },
    /// The control node is alive.
    Heartbeat,
    /// The whole control state.
    Snapshot {
        /// Sequence number of the last change in it.
        sequence: u64,
        /// The encoded state (`orchidvalve-control-state`).
        state: Vec<u8>,
    },
    /// Changes of the control state, in order.
    Changes {
        /// Sequence number of the first one.
        first: u64,
        /// The encoded changes.
        changes: Vec<Vec<u8>>,
    },
    /// A new version of the server table.
    Servers(ServerTableUpdate),
    /// A new list of the gateways that run generations.
    Gateways(GatewayList),
}

/// The gateways that run generations. Each has a share of every model server's slots. The head of the control chain
/// writes the list, so that all go by the same one.
#[derive(Clone, PartialEq, Eq, Default, Debug, Encode, Decode)]
pub struct GatewayList {
    /// Version of the list.
    pub version: TableVersion,
    /// Addresses of the gateways.
    pub gateways: Vec<NodeAddress>,
}
