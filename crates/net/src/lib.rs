//! The event loop of a process: listeners, connections and signals in one thread.
//!
//! [`Network::poll`] waits for events and returns them. Bytes to be sent are collected in the outboxes of the
//! connections and written at the end of the turn by [`Network::flush`].

pub mod clock;
mod connection;
mod event;
mod event_loop;
pub mod outgoing_link;
mod sockets;
mod table;
pub mod turn;

pub use connection::ConnectionId;
pub use event::{Event, Waker};
pub use event_loop::Network;
