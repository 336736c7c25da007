//! The front node: it serves clients over HTTP, queries index servers over their protocols, and connects both with one
//! aggregator.
//!
//! [`node::Node`] runs a front node; [`config`] reads its settings. The crate `orchidvalve` makes every decision.
//!
//! # How a request is handled
//!
//! 1. [`node::Node::run`] waits for events and runs one round for all that have arrived.
//! 2. [`clients::Clients::ready`] reads the bytes of a client connection, and [`http`] parses them into requests.
//! 3. [`operator_api`] answers operators; a [`client_protocol`] turns all other requests into queries.
//! 4. [`queries::QueryTable::accept`] adds a query and its shard requests to the aggregator's state.
//! 5. The aggregator decides. Each attempt that it starts is queued in [`store_connections::StoreConnections`] and
//!    written, by a [`store_protocol`], at the end of the round.
//! 6. In a later round the response of the replica is read there. The query table keeps its value, and the outcome of
//!    the attempt is reported to the aggregator.
//! 7. Once the aggregator decides that the query is answered, rejected or expired, [`reply`] creates the response and
//!    [`clients::Clients::query_answered`] writes it.

pub mod client_protocol;
pub mod clients;
pub mod cold_start;
pub mod config;
pub mod connection_pool;
pub mod context;
pub mod deadlines;
pub mod discovery;
pub mod event_loop;
pub mod fleet;
pub mod http;
pub mod log;
pub mod maintenance;
pub mod maintenance_requests;
pub mod maintenance_view;
pub mod membership;
pub mod metrics;
pub mod node;
pub mod operator_api;
pub mod persistence;
pub mod queries;
pub mod recorder;
pub mod reply;
pub mod settings_file;
pub mod stable_hash;
pub mod store_connections;
pub mod store_protocol;
pub mod stream;
pub mod trace_writer;
