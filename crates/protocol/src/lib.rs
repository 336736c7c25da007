//! The protocol between the processes of the system: frames, identities, messages, the server table, time limits.
//!
//! Nothing here does I/O or reads a clock, and only [`identity::random_incarnation`] draws a random number.

pub mod frames;
pub mod identity;
pub mod messages;
pub mod rendezvous;
pub mod server_table;
pub mod time_limit;
