//! The events of the event loop: the keys of connections, the sources that become ready, and the timers.
//!
//! This is the lowest layer of the node. It depends on none of the modules that handle these events.

use calloop::LoopHandle;
use orchidvalve::interface::{Nanos, ShardRequestIndex};
use slotmap::new_key_type;

use crate::deadlines::Clock;

new_key_type! {
    /// Identifies a client connection.
    pub struct ClientKey;
    /// Identifies a connection to a replica.
    pub struct ConnectionKey;
}

/// A source of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventSource {
    /// The listener for clients.
    Listener,
    /// A client's connection.
    Client(ClientKey),
    /// A connection to a replica.
    Connection(ConnectionKey),
    /// The connection to discovery.
    Discovery,
    /// Datagrams of other front nodes.
    Fleet,
    /// Datagrams about machines in maintenance.
    Maintenance,
    /// A signal to shut down.
    Stop,
    /// A signal to read the configuration again.
    Reload,
}

/// A timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// An attempt's time to be answered or to be sent is over.
    Attempt(ShardRequestIndex, usize),
    /// An attempt's time to wait for a pooled connection is over.
    PoolWait(ShardRequestIndex, usize),
    /// A connection's time to be established, to stay idle or to be drained is over.
    Connection(ConnectionKey),
    /// A health check was not answered in time.
    HealthCheck(ConnectionKey),
    /// A partially received message was not completed in time.
    PartialMessage(ConnectionKey),
    /// A connection stayed unresponsive while its replica answered on another one.
    UnresponsiveConnection(ConnectionKey),
    /// A client's time to send a request, to read its response or to close is over.
    Client(ClientKey),
    /// Connections queued at the listener are accepted.
    Accept,
    /// The response of discovery is overdue, or the next request to it is due.
    Discovery,
    /// The fleet's next timer.
    Fleet,
    /// The cold start's next slot, or the end of its wait for discovery.
    ColdStart,
    /// The next tick of the maintenance group, or the next check for completed disk writes.
    Maintenance,
    /// The aggregator requested a round.
    Wake,
    /// A node that shuts down checks whether it can stop.
    Stop,
}

/// An event source that became ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadyEvent {
    /// The source.
    pub source: EventSource,
    /// When it became ready.
    pub at: Nanos,
}

/// The event sources that became ready since the last round.
pub struct ReadyEvents {
    /// The clock that the times are read from.
    pub clock: Clock,
    /// Each source at most once, in the order in which the sources became ready.
    pub ready: Vec<ReadyEvent>,
}

impl ReadyEvents {
    /// Adds a source, unless it is already contained.
    pub fn add(&mut self, source: EventSource) {
        let at = self.clock.now();
        if !self.ready.iter().any(|other| other.source == source) {
            self.ready.push(ReadyEvent { source, at });
        }
    }
}

/// The handle with which event sources are registered.
pub type EventLoopHandle = LoopHandle<'static, ReadyEvents>;
