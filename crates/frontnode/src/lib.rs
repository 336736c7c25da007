//! The front node on sockets: clients over HTTP, index servers over frames, and one aggregator between them.
//!
//! [`node::Node`] runs one; [`config`] reads what it is told. Every decision is made by the crate `orchidvalve`.

pub mod archive;
pub mod clients;
pub mod coldstart;
pub mod config;
pub mod counters;
pub mod deadlines;
pub mod desk;
pub mod doors;
pub mod fleet;
pub mod forms;
pub mod http;
pub mod kit;
pub mod log;
pub mod maintenance;
pub mod members;
pub mod node;
pub mod pool;
pub mod recorder;
pub mod roster;
pub mod servers;
pub mod streams;
pub mod tracer;
pub mod wires;
