//! What emulators do in one turn: bytes on connections, calls to the system, news for each other, and observations.
//!
//! An emulator is a state machine without I/O. It implements [`Service`] if the system calls it, [`Caller`] if it
//! calls the system, and collects everything that it does in [`Effects`]. Times are milliseconds of a steady clock.

use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddrV4};

use crate::directory::Directory;
use crate::http::{Request, Response};
use crate::observation::Observation;

/// A connection that a service accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionKey(pub u64);

impl ConnectionKey {
    /// The key of the connection that is accepted after this one.
    pub fn next(self) -> ConnectionKey {
        ConnectionKey(self.0 + 1)
    }
}

/// Identifies a call among all of its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallTag(pub u64);

impl CallTag {
    /// The tag of the call after this one.
    pub fn next(self) -> CallTag {
        CallTag(self.0 + 1)
    }
}

/// What is to be done with an accepted connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Bytes are written.
    Send {
        /// The connection.
        connection: ConnectionKey,
        /// What is written.
        bytes: Vec<u8>,
    },
    /// The connection is closed once everything is written.
    Finish {
        /// The connection.
        connection: ConnectionKey,
    },
    /// The connection is dropped at once.
    Reset {
        /// The connection.
        connection: ConnectionKey,
    },
}

/// One exchange with a node of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Chosen by the caller; comes back with the outcome.
    pub tag: CallTag,
    /// Where the request goes.
    pub address: SocketAddrV4,
    /// The whole request.
    pub bytes: Vec<u8>,
    /// Time for the whole response, in milliseconds.
    pub timeout_ms: u64,
    /// An idle connection to the address may be used, and this one be kept; else it's a new one that is closed.
    pub keep_alive: bool,
    /// Calls that are sent right behind this one on its connection (pipelining, RFC 9112, section 9.3.2). All of them
    /// have the time of this one.
    pub following: VecDeque<Call>,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole response came.
    Response(Response),
    /// The address refused the connection; or the peer closed it in order, before it came to a pipelined call.
    Refused,
    /// The connection ended before the response was whole.
    Disconnected {
        /// A part of a response had come.
        partial: bool,
    },
    /// Nothing whole came in time.
    TimedOut,
    /// The bytes that came are no response.
    Malformed,
    /// More bytes came after the whole response.
    TrailingBytes(Response),
}

/// A model with a version of its weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelVersion {
    /// Name of the model.
    pub model: String,
    /// Version of its weights.
    pub version: u64,
}

impl ModelVersion {
    /// A model with a version.
    pub fn new(model: &str, version: u64) -> ModelVersion {
        ModelVersion { model: model.to_owned(), version }
    }
}

/// News that other emulators need.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A trainer names a version, for the first time.
    VersionNamed {
        /// The model.
        model: String,
        /// Its new version.
        version: u64,
    },
    /// A server has loaded new weights.
    WeightsLoaded {
        /// Id of the server.
        instance: String,
        /// The model.
        model: String,
        /// The version that it serves now.
        version: u64,
    },
}

/// Everything that emulators did in one turn.
#[derive(Debug, Default)]
pub struct Effects {
    /// What is to be done with accepted connections, in order.
    pub outputs: Vec<Output>,
    /// Calls that begin.
    pub calls: Vec<Call>,
    /// News for other emulators.
    pub notices: Vec<Notice>,
    /// What the emulators saw, in order.
    pub observations: Vec<Observation>,
}

impl Effects {
    /// Writes bytes on a connection.
    pub fn send(&mut self, connection: ConnectionKey, bytes: Vec<u8>) {
        self.outputs.push(Output::Send { connection, bytes });
    }

    /// Drops a connection at once.
    pub fn reset(&mut self, connection: ConnectionKey) {
        self.outputs.push(Output::Reset { connection });
    }
}

/// An emulator that serves requests.
pub trait Service {
    /// A peer has connected.
    fn connected(&mut self, now: u64, connection: ConnectionKey, out: &mut Effects);

    /// Tells where a connection comes from, before [`Service::connected`].
    fn connected_from(&mut self, _connection: ConnectionKey, _source: IpAddr) {}

    /// A whole request has come.
    fn request(&mut self, now: u64, connection: ConnectionKey, request: Request, out: &mut Effects);

    /// The head of a request is in and its body isn't yet; `head` has an empty one. True if the service responded
    /// now: the whole request then goes to [`Service::late_body`].
    fn request_head(&mut self, _connection: ConnectionKey, _head: &Request, _out: &mut Effects) -> bool {
        false
    }

    /// The rest of a request that got an early response has come.
    fn remaining_body(&mut self, _request: &Request, _out: &mut Effects) {}

    /// The peer has closed the connection.
    fn closed(&mut self, now: u64, connection: ConnectionKey, out: &mut Effects);

    /// Time has passed.
    fn wake(&mut self, now: u64, out: &mut Effects);

    /// When [`Service::wake`] is next needed.
    fn next_wake(&self) -> Option<u64>;
}

/// An emulator that calls the system.
pub trait Caller {
    /// Time has passed.
    fn wake(&mut self, now: u64, directory: &mut Directory, out: &mut Effects);

    /// A call has ended.
    fn call_ended(
        &mut self,
        now: u64,
        tag: CallTag,
        outcome: Outcome,
        directory: &mut Directory,
        out: &mut Effects,
    );

    /// When [`Caller::wake`] is next needed.
    fn next_wake(&self) -> Option<u64>;
}
