//! The events that the event loop reports, and their sources.

use calloop::ping::Ping;

use super::connection::ConnectionId;

/// An event reported by [`super::Network::poll`].
#[derive(Debug)]
pub enum Event {
    /// A peer connected to the listener with this tag.
    Accepted {
        /// Tag of the listener, as given to [`super::Network::listen`].
        listener: u32,
        /// The new connection.
        connection: ConnectionId,
    },
    /// A connection initiated here is established.
    Connected(ConnectionId),
    /// Bytes were received: see [`super::Network::inbox`].
    Data(ConnectionId),
    /// The connection has ended. Bytes received before can still be read until [`super::Network::abort`].
    Closed {
        /// The connection.
        connection: ConnectionId,
        /// Whether it failed or was never established; false if the peer closed its end in order.
        reset: bool,
    },
    /// The process was asked to stop (SIGTERM or SIGINT).
    Terminate,
    /// The settings may have changed (SIGHUP).
    Reload,
    /// Another thread called [`Waker::wake`].
    Woken,
}

/// A source of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    Listener(usize),
    Connection(ConnectionId),
    Terminate,
    Reload,
    Wake,
}

/// The sources that became ready in one turn, each listed once.
#[derive(Default)]
pub(super) struct Ready {
    pub(super) sources: Vec<Source>,
}

impl Ready {
    pub(super) fn mark(&mut self, source: Source) {
        if !self.sources.contains(&source) {
            self.sources.push(source);
        }
    }
}

/// Wakes the event loop from another thread.
#[derive(Clone)]
pub struct Waker(pub(super) Ping);

impl Waker {
    /// Makes the loop return [`Event::Woken`].
    pub fn wake(&self) {
        self.0.ping();
    }
}
