//! Requests of clients: reads them from connections, passes them on as queries, and writes the responses.

use orchidvalve::interface::{Nanos, QueryIndex};
use orchidvalve::state::AggregatorState;

use super::{ClientTimeouts, Clients, MAX_DISCARDED_BYTES, PendingMessage, PendingQuery};
use crate::client_protocol::Interpretation;
use crate::config::NodeConfig;
use crate::context::Context;
use crate::event_loop::{ClientKey, EventSource, Timer};
use crate::http::{self, Message};
use crate::log;
use crate::operator_api;
use crate::queries::{FinalAnswer, QueryOrigin, QueryRequest, QueryTable};
use crate::reply::{Outcome, Reply};

impl Clients {
    /// Handles a ready client connection: reads the received bytes and accepts each complete request. Returns the
    /// queries whose client has disconnected.
    pub fn ready(
        &mut self,
        key: ClientKey,
        at: Nanos,
        config: &NodeConfig,
        queries: &mut QueryTable,
        aggregator_state: &mut AggregatorState,
        context: &mut Context,
    ) -> Vec<QueryIndex> {
        let Some(client) = self.clients.get_mut(key) else { return Vec::new() };
        client.has_unseen_request = false;
        let before = client.stream.bytes_read;
        let filled = if client.finished {
            client.stream.discard(MAX_DISCARDED_BYTES)
        } else {
            client.stream.fill(http::MAX_MESSAGE_BYTES)
        };
        let bytes_read = client.stream.bytes_read - before;
        context.metrics.bytes_in += bytes_read;
        if !matches!(filled, Ok(true)) {
            return self.remove(key, context);
        }
        if client.finished {
            self.discarded(key, bytes_read, context);
            return Vec::new();
        }
        if client.stream.unread && client.pending.is_some() {
            // So many bytes behind a pending request are not stored. They are discarded, as the node has to keep
            // reading to notice when the client disconnects. The connection ends with the response, because the
            // discarded bytes cannot be divided into requests.
            client.keeps_alive = false;
            client.stream.consume(client.stream.inbox().len());
            context.ready_again.push(EventSource::Client(key));
        }
        let is_long = client.stream.inbox_capacity() > http::MAX_HEAD_BYTES;
        if is_long && client.pending.is_none() && client.stream.is_flushed() {
            let buffered_bytes: usize =
                self.clients.values().map(|client| client.stream.inbox_capacity()).sum();
            if buffered_bytes > self.max_request_bytes {
                self.refuse(key, http::OUT_OF_MEMORY, context);
                return Vec::new();
            }
        }
        let abandoned = self.flush(key, context);
        if !abandoned.is_empty() {
            return abandoned;
        }
        while self.read_request(key, at, config, queries, aggregator_state, context) {}
        Vec::new()
    }

    /// Handles discarded bytes of a connection whose writing side is closed. Closing it while the client still sends
    /// could destroy the response before the client has read it.
    fn discarded(&mut self, key: ClientKey, bytes_read: u64, context: &mut Context) {
        let ClientTimeouts { request, linger, .. } = self.timeouts;
        let Some(client) = self.clients.get_mut(key) else { return };
        if bytes_read > 0 {
            let at = (context.now + linger).min(client.last_used + 2 * request);
            let timer = context.deadlines.schedule(at, Timer::Client(key));
            client.replace_timer(Some(timer), context);
        }
        if client.stream.unread {
            context.ready_again.push(EventSource::Client(key));
        }
    }

    /// Reads the next complete request of a connection and accepts its queries. Returns false if there is none or if
    /// the client's last request is not answered yet.
    fn read_request(
        &mut self,
        key: ClientKey,
        at: Nanos,
        config: &NodeConfig,
        queries: &mut QueryTable,
        aggregator_state: &mut AggregatorState,
        context: &mut Context,
    ) -> bool {
        let Some(client) = self.clients.get_mut(key) else { return false };
        if client.pending.is_some() || client.finished || !client.stream.is_flushed() {
            return false;
        }
        if !client.stream.inbox().is_empty() {
            client.request_since.get_or_insert(at);
        }
        let Some(client) = self.clients.get(key) else { return false };
        let message = match http::parse_request(client.stream.inbox()) {
            Ok(Some(message)) => message,
            Ok(None) => return self.request_incomplete(key, context),
            Err(error) => {
                self.refuse(key, error, context);
                return true;
            }
        };
        let since = client.request_since.unwrap_or(at);
        let (length, keeps_alive) = (message.length, message.keeps_alive && !self.draining);
        let accepted = match self.interpret(&message, since, config, queries, context) {
            Interpretation::Answered(reply) => Err(reply),
            Interpretation::Queries { queries: requests, combine } => {
                let accept = |(position, request)| {
                    let origin = QueryOrigin { client: key, position };
                    self.accept_or_refuse(request, origin, config, queries, aggregator_state, context)
                };
                let queries = requests.into_iter().enumerate().map(accept).collect();
                Ok(PendingMessage { queries, combine, since })
            }
        };
        self.request_read(key, length, keeps_alive, context);
        match accepted {
            Ok(pending) => self.wait_for_answers(key, pending, context),
            Err(reply) => self.answer_at_once(key, &reply, context),
        }
        true
    }

    /// Limits the time in which an incomplete request must be completed. Returns true if it was refused as too long.
    fn request_incomplete(&mut self, key: ClientKey, context: &mut Context) -> bool {
        let Some(client) = self.clients.get_mut(key) else { return false };
        if client.stream.inbox().len() >= http::MAX_MESSAGE_BYTES {
            self.refuse(key, http::BODY_TOO_LARGE, context);
            return true;
        }
        if let (Some(since), None) = (client.request_since, client.timer) {
            let at = since + self.timeouts.request;
            client.timer = Some(context.deadlines.schedule(at, Timer::Client(key)));
        }
        false
    }

    /// Interprets a request: the paths of the operator API come first, then the client protocols in their order.
    fn interpret<'a>(
        &self,
        message: &'a Message<'a>,
        since: Nanos,
        config: &NodeConfig,
        queries: &QueryTable,
        context: &Context,
    ) -> Interpretation<'a> {
        let serving = self.serving && !self.draining;
        operator_api::answer(message, serving, queries, context)
            .map(Interpretation::Answered)
            .or_else(|| self.protocols.iter().find_map(|protocol| protocol.interpret(message, since, config)))
            .unwrap_or_else(|| Interpretation::Answered(Reply::text(404, "nothing here\n")))
    }

    /// Accepts one query of a request, unless its protocol or the node rejects it.
    fn accept_or_refuse(
        &self,
        request: Result<QueryRequest, Reply>,
        origin: QueryOrigin,
        config: &NodeConfig,
        queries: &mut QueryTable,
        aggregator_state: &mut AggregatorState,
        context: &mut Context,
    ) -> PendingQuery {
        match request.map(|request| cap_deadline(request, self.last_answer_by)) {
            Ok(request) => accept_query(request, origin, config, queries, aggregator_state, context),
            Err(reply) => PendingQuery::Answered(reply),
        }
    }

    /// Consumes a complete request and ends its time limit.
    fn request_read(&mut self, key: ClientKey, length: usize, keeps_alive: bool, context: &mut Context) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.request_since = None;
        client.stream.consume(length);
        client.keeps_alive = keeps_alive;
        (client.has_sent_request, client.last_used) = (true, context.now);
        client.replace_timer(None, context);
    }

    /// Stores a request as pending. It is answered at once if all its queries already have a response.
    fn wait_for_answers(&mut self, key: ClientKey, pending: PendingMessage, context: &mut Context) {
        if let Some(client) = self.clients.get_mut(key) {
            client.pending = Some(pending);
        }
        self.answer_if_complete(key, context);
    }

    /// Answers a request that contains no valid query.
    fn answer_at_once(&mut self, key: ClientKey, reply: &Reply, context: &mut Context) {
        if reply.status == 400 {
            context.metrics.bad_requests += 1;
            log!("bad request: {}", reply.body.escape_ascii());
        }
        self.answer(key, reply, context);
    }

    /// Writes the response to a request; the connection is then free for the next one.
    pub(super) fn answer(&mut self, key: ClientKey, reply: &Reply, context: &mut Context) {
        let draining = self.draining;
        let Some(client) = self.clients.get_mut(key) else { return };
        client.keeps_alive &= !draining;
        client.pending = None;
        let Reply { status, content_type, headers, body } = reply;
        http::write_response(
            client.stream.outbox(),
            *status,
            content_type,
            headers,
            body,
            client.keeps_alive,
        );
        self.flush(key, context);
    }

    /// Writes as many bytes as the system accepts. Returns the queries whose client has disconnected.
    fn flush(&mut self, key: ClientKey, context: &mut Context) -> Vec<QueryIndex> {
        let Some(client) = self.clients.get_mut(key) else { return Vec::new() };
        let before = client.stream.bytes_written;
        let was_waiting = !client.stream.is_flushed();
        let flushed = client.stream.flush();
        context.metrics.bytes_out += client.stream.bytes_written - before;
        if flushed.is_err() {
            return self.remove(key, context);
        }
        if !client.stream.is_flushed() && client.timer.is_none() {
            let at = context.now + self.timeouts.read;
            client.timer = Some(context.deadlines.schedule(at, Timer::Client(key)));
        }
        if was_waiting && client.stream.is_flushed() {
            client.last_used = context.now;
            client.replace_timer(None, context);
            if !client.keeps_alive {
                self.finish(key, context);
            } else if client.stream.unread || !client.stream.inbox().is_empty() {
                context.ready_again.push(EventSource::Client(key));
            }
        }
        Vec::new()
    }

    // ---- final answers ----

    /// Stores the response to one query of a client's request. The request is answered once all its queries are.
    pub fn query_answered(&mut self, answer: FinalAnswer, context: &mut Context) {
        let FinalAnswer { origin: QueryOrigin { client: key, position }, reply } = answer;
        let pending = self.clients.get_mut(key).and_then(|client| client.pending.as_mut());
        let Some(pending) = pending else { return };
        let Some(query @ PendingQuery::InFlight(_)) = pending.queries.get_mut(position) else { return };
        *query = PendingQuery::Answered(reply);
        self.answer_if_complete(key, context);
    }

    fn answer_if_complete(&mut self, key: ClientKey, context: &mut Context) {
        let is_answered = |query: &PendingQuery| matches!(query, PendingQuery::Answered(_));
        let Some(client) = self.clients.get_mut(key) else { return };
        let complete = client.pending.take_if(|pending| pending.queries.iter().all(is_answered));
        let Some(pending) = complete else { return };
        let replies = pending.queries.into_iter().filter_map(|query| match query {
            PendingQuery::Answered(reply) => Some(reply),
            PendingQuery::InFlight(_) => None,
        });
        let reply = (pending.combine)(replies.collect(), context.now - pending.since);
        self.answer(key, &reply, context);
    }
}

/// Caps a query's deadline: a node that shuts down sends no response after `last_answer_by`.
fn cap_deadline(mut request: QueryRequest, last_answer_by: Nanos) -> QueryRequest {
    request.deadline = request.deadline.min(last_answer_by);
    request
}

/// Accepts one query, unless a query with its id is pending or too many queries are pending.
fn accept_query(
    request: QueryRequest,
    origin: QueryOrigin,
    config: &NodeConfig,
    queries: &mut QueryTable,
    aggregator_state: &mut AggregatorState,
    context: &mut Context,
) -> PendingQuery {
    if queries.is_pending(&request.id) {
        return PendingQuery::Answered(request.reply_format.reply(Outcome::DuplicateId, 0));
    }
    if queries.pending >= config.max_pending {
        context.metrics.queries_overloaded += 1;
        return PendingQuery::Answered(request.reply_format.reply(Outcome::Overloaded, 0));
    }
    PendingQuery::InFlight(queries.accept(request, origin, aggregator_state, context))
}
