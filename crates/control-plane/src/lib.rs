//! The control plane: the replicated control state, sessions and feed, and the singleton roles of the head.
//!
//! The control nodes replicate the control state along a chain, whose view a quorum of them agrees on. Gateways and store
//! nodes open a session to one of the control nodes and subscribe to the numbered feed of changes. The head of the chain
//! acts in the singleton roles, in which only one node may act at a time: reading the platform's list of servers, placing
//! partitions on store nodes, rolling out new weights, reporting usage and scaling services.
//!
//! [`node`] is the state machine of one control node and does no I/O. [`process`] connects it with sockets and disk;
//! [`observer`] is the control process of a machine without a disk.

pub mod demand_window;
pub mod discovery;
pub mod disk_hang;
pub mod disk_records;
pub mod http_client;
pub mod load_summaries;
pub mod node;
pub mod observer;
pub mod operator_api;
pub mod peer_links;
pub mod peer_messages;
pub mod placement;
pub mod process;
pub mod redirector;
pub mod replicated_log;
pub mod role_lease;
pub mod scaling_orders;
pub mod scaling_planner;
pub mod session_balance;
pub mod sessions;
pub mod singleton_roles;
pub mod subscribers;
pub mod usage_collection;
pub mod weight_rollout;
pub mod workers;
