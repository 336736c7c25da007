//! Messages between gateways, store nodes and control nodes, and the first bytes of a link between two processes.
//!
//! A gateway or a store node keeps one session to a control node ([`SessionMessage`], [`ControlMessage`]); every
//! gateway keeps a link to each store node ([`GatewayMessage`], [`StoreMessage`]). Each type is named after the
//! process that sends it. Messages among control nodes and among store nodes are defined in the crates of those planes.
//!
//! The encoding identifies fields and variants by their positions: new ones are added at the end, and
//! [`PROTOCOL_VERSION`] increases with every change that an older process cannot decode.

mod handshake;
mod server_list;
mod session;
mod store_link;

pub use handshake::{Handshake, LinkProtocol, PROTOCOL_VERSION, Role};
pub use server_list::{ModelVersionChange, ServerEntry, ServerTableUpdate, TableVersion};
pub use session::{
    ControlMessage, FeedPosition, GatewayList, ServiceLoad, SessionMessage, StoreHealth, TenantRequests,
    WindowUsage,
};
pub use store_link::{
    AssignedGroup, AssignedItem, AssignedJob, GatewayMessage, ItemFailures, ItemOutcome, ItemState,
    ScorerRequest, StoreMessage, StoreResponse,
};
