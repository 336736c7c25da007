//! A persistent link to another process: a connection that is opened again, after a delay, whenever it is lost.
//! The caller passes the time, in milliseconds of the process's clock ([`crate::clock::Clock::now`]).
//!
//! The owner of a link determines what is sent on it. An [`OutgoingLink`] does not receive anything; the owner of a
//! [`MonitoredLink`] reports when something was received from the peer, and the link reports when the peer has failed.

use std::time::Duration;

use musli::Encode;
use musli::mode::Binary;

use crate::{ConnectionId, Network};
use orchidvalve_protocol::frames::write_frame;
use orchidvalve_protocol::identity::NodeAddress;

/// TCP user timeout: how long sent bytes may stay unacknowledged by the peer's machine.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timing of the attempts to open a link's connection, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct ReconnectTiming {
    /// The minimum time between the starts of two connections, and the delay after one that was lost.
    pub retry_interval_ms: u64,
    /// A connection that isn't established within this time is opened again: the peer may have had no power at first.
    pub connect_timeout_ms: u64,
}

/// The link to one peer.
#[derive(Debug)]
pub struct OutgoingLink {
    timing: ReconnectTiming,
    connection: Option<ConnectionId>,
    is_up: bool,
    connect_started_at: u64,
    /// Earliest time at which the next connection may be opened.
    retry_at: u64,
}

impl OutgoingLink {
    /// Creates a link without a connection, to be opened at once.
    pub fn new(timing: ReconnectTiming) -> OutgoingLink {
        OutgoingLink { timing, connection: None, is_up: false, connect_started_at: 0, retry_at: 0 }
    }

    /// Returns whether messages can be sent.
    pub fn is_up(&self) -> bool {
        self.is_up
    }

    /// Returns the connection, whether or not it is established.
    pub fn connection(&self) -> Option<ConnectionId> {
        self.connection
    }

    /// Returns whether this is the link's connection.
    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.connection == Some(connection)
    }

    /// Returns when the latest connection was started.
    pub fn connect_started_at(&self) -> u64 {
        self.connect_started_at
    }

    /// Returns whether the connection wasn't established within `connect_timeout_ms`.
    pub fn connect_timed_out(&self, now: u64) -> bool {
        !self.is_up && now >= self.connect_started_at + self.timing.connect_timeout_ms
    }

    /// Starts a connection if there is none and the delay is over.
    pub fn connect_if_due(&mut self, network: &mut Network, address: NodeAddress, now: u64) {
        if self.connection.is_none() && now >= self.retry_at {
            self.retry_at = now + self.timing.retry_interval_ms;
            self.connect_started_at = now;
            self.connection = network.connect(address.socket(), USER_TIMEOUT).ok();
        }
    }

    /// Records that the connection is established.
    pub fn connected(&mut self) {
        self.is_up = true;
    }

    /// Records that the peer's machine is known to be up: a connection that isn't established yet counts as timed out,
    /// and the next one may be started at once.
    pub fn peer_reachable(&mut self, now: u64) {
        if !self.is_up {
            self.retry_at = now;
            self.connect_started_at =
                self.connect_started_at.min(now.saturating_sub(self.timing.connect_timeout_ms));
        }
    }

    /// Drops the connection, if there is one; the next may be started at once. Returns whether there was one.
    pub fn reset(&mut self, network: &mut Network, now: u64) -> bool {
        let was_connected = self.close(network);
        if was_connected {
            self.retry_at = now;
        }
        was_connected
    }

    /// Handles the end of the connection; the next may be started after the delay.
    pub fn disconnected(&mut self, network: &mut Network, now: u64) {
        self.close(network);
        self.retry_at = now + self.timing.retry_interval_ms;
    }

    /// Drops the connection, if there is one, without changing when the next may be started. Returns whether there was
    /// one.
    pub fn close(&mut self, network: &mut Network) -> bool {
        self.is_up = false;
        let connection = self.connection.take();
        if let Some(connection) = connection {
            network.abort(connection);
        }
        connection.is_some()
    }

    /// Returns when the next action is due: a new connection, the timeout of one that isn't established, or `while_up`
    /// if the connection is established.
    pub fn next_wakeup(&self, while_up: u64) -> u64 {
        match (self.connection, self.is_up) {
            (None, _) => self.retry_at,
            (Some(_), true) => while_up,
            (Some(_), false) => self.connect_started_at + self.timing.connect_timeout_ms,
        }
    }

    /// Sends a message. Returns false, and drops the message, if the link isn't up.
    pub fn send<T: Encode<Binary>>(&self, network: &mut Network, message: &T) -> bool {
        let Some(connection) = self.connection.filter(|_| self.is_up) else { return false };
        if let Some(outbox) = network.outbox(connection) {
            write_frame(outbox, message);
        }
        true
    }
}

/// An [`OutgoingLink`] that fails if nothing is received from its peer for too long. The peer sends on connections of
/// its own, so the owner reports when something was received.
#[derive(Debug)]
pub struct MonitoredLink {
    /// The link itself.
    pub outgoing: OutgoingLink,
    receive_timeout_ms: u64,
    last_received_at: u64,
}

impl MonitoredLink {
    /// Creates a link to be opened at once. It fails if nothing was received from the peer for longer than
    /// `receive_timeout_ms` milliseconds; after a new connection is started, the same time is allowed again.
    pub fn new(timing: ReconnectTiming, receive_timeout_ms: u64) -> MonitoredLink {
        MonitoredLink { outgoing: OutgoingLink::new(timing), receive_timeout_ms, last_received_at: 0 }
    }

    /// Records that something was received from the peer, on any connection.
    pub fn message_received(&mut self, now: u64) {
        self.last_received_at = now;
    }

    /// Returns when something was last received from the peer; 0 before the first time.
    pub fn last_received_at(&self) -> u64 {
        self.last_received_at
    }

    /// Returns whether the connection wasn't established in time, or nothing was received from the peer for too long.
    pub fn has_failed(&self, now: u64) -> bool {
        let idle_since = self.last_received_at.max(self.outgoing.connect_started_at());
        self.outgoing.connect_timed_out(now) || now > idle_since + self.receive_timeout_ms
    }
}
