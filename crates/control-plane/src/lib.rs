//! The control plane: the replicated control state, sessions and feed, and the singleton roles of the head.
//!
//! The control nodes hold the control state in a chain; the view of the chain is agreed on by a quorum of them.
//! Gateways and store nodes open a session to one of them and subscribe to the numbered feed of changes. The head of
//! the chain acts in the roles that one node at a time may have: reading the platform's list, placing partitions
//! on store nodes, rolling out new weights and reporting usage.
//!
//! [`node`] is the state machine of one control node and does no I/O. [`process`] connects it with sockets and disk;
//! [`observer`] is the process of a machine without a disk.

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
