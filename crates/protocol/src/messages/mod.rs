//! Messages between gateways, store nodes and control nodes, and what a link between two processes begins with.
//!
//! A gateway or a store node keeps one session to a control node ([`SessionMessage`], [`ControlMessage`]); every
//! gateway keeps a link to each store node ([`GatewayMessage`], [`StoreMessage`]). Each type is named after the
//! process that sends it. Messages among control nodes and among store nodes belong to the crates of those planes.
//!
//! The encoding knows fields and variants by their positions: new ones go to the end, and [`PROTOCOL_VERSION`] rises
//! with every change that an older process can't read.

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
