//! The listener and the client connections: reads requests and writes responses.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use orchidvalve::interface::{Nanos, QueryIndex};
use rustix::io::Errno;
use slotmap::SlotMap;
use socket2::{Domain, Socket, Type};

use crate::client_protocol::ClientProtocol;
use crate::config::NodeConfig;
use crate::context::Context;
use crate::event_loop::{ClientKey, EventLoopHandle, EventSource, ReadyEvents, Timer};
use crate::http::{self, MessageError};
use crate::log;
use crate::reply::Reply;
use crate::stream::Stream;

mod client;
mod requests;

use client::{Client, PendingMessage, PendingQuery};

/// The number of connections that the system queues until they are accepted. Many clients may connect at the same
/// moment, and a client that finds the queue full retries only after a second.
const LISTEN_BACKLOG: i32 = 1024;
/// The maximum number of bytes read and discarded from one connection in one round.
const MAX_DISCARDED_BYTES: u64 = 256 << 10;

/// Time limits of a client connection.
#[derive(Clone, Copy, Debug)]
struct ClientTimeouts {
    /// To send a complete request.
    request: Nanos,
    /// To close the connection after the last response.
    linger: Nanos,
    /// To read a response.
    read: Nanos,
}

/// All client connections and their listener.
pub struct Clients {
    protocols: Vec<Box<dyn ClientProtocol>>,
    listener: Rc<TcpListener>,
    clients: SlotMap<ClientKey, Client>,
    max_clients: usize,
    /// The maximum number of bytes in the buffered requests of all clients.
    max_request_bytes: usize,
    timeouts: ClientTimeouts,
    /// Whether connections may be queued at the listener because the client limit was reached.
    backlogged: bool,
    /// Whether the node accepts queries.
    pub serving: bool,
    /// Whether each connection ends with its next response.
    pub draining: bool,
    /// While draining: the latest deadline of any query.
    pub last_answer_by: Nanos,
    /// When the last connection was accepted.
    pub last_accepted: Nanos,
}

impl Clients {
    /// Listens for clients.
    ///
    /// # Errors
    ///
    /// Fails if the listen address cannot be bound.
    pub fn listen(
        config: &NodeConfig,
        protocols: Vec<Box<dyn ClientProtocol>>,
        events: &EventLoopHandle,
    ) -> io::Result<Clients> {
        let socket = Socket::new(Domain::for_address(config.listen), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&config.listen.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        let listener = Rc::new(TcpListener::from(socket));
        listener.set_nonblocking(true)?;
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Edge);
        let on_ready = |_, _: &mut _, events: &mut ReadyEvents| {
            events.add(EventSource::Listener);
            Ok(PostAction::Continue)
        };
        events.insert_source(source, on_ready).map_err(|error| io::Error::other(error.to_string()))?;
        Ok(Clients {
            protocols,
            listener,
            clients: SlotMap::with_key(),
            max_clients: config.max_clients,
            max_request_bytes: config.max_request_bytes,
            timeouts: ClientTimeouts {
                request: config.request_timeout,
                linger: config.connect_timeout,
                read: config.idle_timeout,
            },
            backlogged: false,
            serving: false,
            draining: false,
            last_answer_by: Nanos::MAX,
            last_accepted: 0,
        })
    }

    /// Returns the address that clients connect to.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not return the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns the number of open connections.
    pub fn connected(&self) -> usize {
        self.clients.len()
    }

    // ---- connections ----

    /// Accepts the connections queued at the listener, up to the client limit.
    pub fn accept(&mut self, context: &mut Context) {
        self.backlogged = false;
        // Otherwise overlapping connections would delay the shutdown for as long as new ones arrive.
        if context.now >= self.last_answer_by {
            return;
        }
        loop {
            if self.clients.len() >= self.max_clients && !self.evict(context) {
                log!("client limit reached: {} are connected, others wait at the listener", self.max_clients);
                return self.accept_later(context);
            }
            match self.listener.accept() {
                Ok((socket, _)) => self.admit(socket, context),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    use io::ErrorKind::{ConnectionAborted, Interrupted};
                    if matches!(error.kind(), Interrupted | ConnectionAborted) {
                        continue;
                    }
                    log!("cannot accept a client connection: {error}");
                    let none_left = [Errno::MFILE, Errno::NFILE].map(|errno| Some(errno.raw_os_error()));
                    if none_left.contains(&error.raw_os_error()) && self.evict(context) {
                        continue;
                    }
                    return self.accept_later(context);
                }
            }
        }
    }

    fn admit(&mut self, socket: TcpStream, context: &mut Context) {
        let (now, timeout) = (context.now, self.timeouts.request);
        let admitted = self.clients.try_insert_with_key(|key| {
            let stream = Stream::new(&context.events, socket, EventSource::Client(key))?;
            let timer = context.deadlines.schedule(now + timeout, Timer::Client(key));
            Ok::<_, io::Error>(Client::new(stream, now, timer))
        });
        match admitted {
            Ok(_) => {
                context.metrics.clients_accepted += 1;
                self.last_accepted = now;
            }
            Err(error) => log!("cannot set up a client connection: {error}"),
        }
    }

    /// Schedules another accept. The listener is edge-triggered and reports the queued connections only once; they are
    /// accepted when a client disconnects, or after a short time.
    fn accept_later(&mut self, context: &mut Context) {
        if !std::mem::replace(&mut self.backlogged, true) {
            context.deadlines.schedule(context.now + self.timeouts.linger, Timer::Accept);
        }
    }

    /// Closes one connection to make room for a new one; returns false if none can be closed. The order is: a
    /// connection that has sent nothing although a client with a request would have; then the one that has been idle
    /// longest; then one with an incomplete request. Connections accepted in this round are spared, as their requests
    /// may have arrived unread. So are connections whose requests were read here but not yet handled, which may take
    /// until the end of the next round.
    fn evict(&mut self, context: &mut Context) -> bool {
        let (now, grace) = (context.now, self.timeouts.linger / 10);
        let has_sent_nothing =
            |client: &Client| client.is_idle() && !client.has_sent_request && client.last_used + grace <= now;
        let is_evictable = |client: &Client| {
            client.pending.is_none()
                && client.stream.is_flushed()
                && !client.has_unseen_request
                && client.last_used < now
        };
        loop {
            let evictable = self.clients.iter().filter(|(_, client)| is_evictable(client));
            let rank = |client: &Client| (!has_sent_nothing(client), !client.is_idle(), client.last_used);
            let Some((key, _)) = evictable.min_by_key(|(_, client)| rank(client)) else { return false };
            let client = &mut self.clients[key];
            let was_idle = client.is_idle();
            let is_open = matches!(client.stream.fill(http::MAX_MESSAGE_BYTES), Ok(true));
            if was_idle && is_open && !client.stream.inbox().is_empty() {
                // Its request arrived together with the new connections and would be lost if it was closed.
                client.has_unseen_request = true;
                context.ready_again.push(EventSource::Client(key));
                continue;
            }
            context.metrics.clients_evicted += 1;
            self.remove(key, context);
            return true;
        }
    }

    /// Closes a connection and returns its pending queries, whose client is thereby disconnected. Every connection is
    /// closed here.
    fn remove(&mut self, key: ClientKey, context: &mut Context) -> Vec<QueryIndex> {
        let Some(client) = self.clients.remove(key) else { return Vec::new() };
        client.timer.into_iter().for_each(|timer| context.deadlines.cancel(timer));
        if self.backlogged {
            context.ready_again.push(EventSource::Listener);
        }
        let queries = client.pending.map_or(Vec::new(), |pending| pending.queries);
        let in_flight = queries.into_iter().filter_map(|query| match query {
            PendingQuery::InFlight(ix) => Some(ix),
            PendingQuery::Answered(_) => None,
        });
        in_flight.collect()
    }

    /// Starts draining: each connection ends with its next response, and idle connections end now. Each idle connection
    /// is read first, so that a request that has just arrived is not lost.
    pub fn drain(&mut self, context: &mut Context) {
        self.draining = true;
        let idle = self.clients.iter().filter(|(_, client)| client.is_idle());
        let idle: Vec<ClientKey> = idle.map(|(key, _)| key).collect();
        for key in idle {
            let client = &mut self.clients[key];
            match client.stream.fill(http::MAX_MESSAGE_BYTES) {
                Ok(true) if client.stream.inbox().is_empty() => self.finish(key, context),
                _ => context.ready_again.push(EventSource::Client(key)),
            }
        }
    }

    /// Closes the writing side of a connection once everything is written.
    fn finish(&mut self, key: ClientKey, context: &mut Context) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.keeps_alive = false;
        if client.stream.is_flushed() && !client.finished {
            client.stream.shut_down_writing();
            client.finished = true;
            let timer = context.deadlines.schedule(context.now + self.timeouts.linger, Timer::Client(key));
            client.replace_timer(Some(timer), context);
        }
    }

    /// Handles the time limit of a client. An incomplete request gets an error response. A client that has sent
    /// nothing, or has its response, is disconnected. Returns the queries whose client is disconnected.
    pub fn timer_due(&mut self, key: ClientKey, context: &mut Context) -> Vec<QueryIndex> {
        let Some(client) = self.clients.get_mut(key) else { return Vec::new() };
        client.timer = None;
        if client.pending.is_some() || client.is_idle() || client.finished || !client.stream.is_flushed() {
            return self.remove(key, context);
        }
        self.refuse(key, http::REQUEST_TIMEOUT, context);
        Vec::new()
    }

    /// Answers an unreadable request with an error and ends the connection, as the following bytes cannot be divided
    /// into requests.
    fn refuse(&mut self, key: ClientKey, error: MessageError, context: &mut Context) {
        let Some(client) = self.clients.get_mut(key) else { return };
        context.metrics.bad_requests += 1;
        (client.keeps_alive, client.last_used) = (false, context.now);
        client.stream.consume(client.stream.inbox().len());
        client.replace_timer(None, context);
        self.answer(key, &Reply::text(error.status, error.text), context);
    }
}

#[cfg(test)]
mod tests;
