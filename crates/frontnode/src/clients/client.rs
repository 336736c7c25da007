//! One connection of a client: its buffers, the request whose answer it awaits, and its time limit.

use orchidvalve::interface::{Nanos, QueryIndex};

use crate::context::Context;
use crate::deadlines::DeadlineKey;
use crate::reply::{CombineReplies, Reply};
use crate::stream::Stream;

/// A request whose answer the client awaits.
pub(super) struct PendingMessage {
    pub(super) queries: Vec<PendingQuery>,
    pub(super) combine: CombineReplies,
    pub(super) since: Nanos,
}

/// One of the queries of a request.
pub(super) enum PendingQuery {
    InFlight(QueryIndex),
    Answered(Reply),
}

/// A connection of a client.
pub(super) struct Client {
    pub(super) stream: Stream,
    /// Whether it has sent a whole request.
    pub(super) has_sent_request: bool,
    /// The request whose answer is awaited; one at a time.
    pub(super) pending: Option<PendingMessage>,
    /// When the request that is being read began to arrive.
    pub(super) request_since: Option<Nanos>,
    pub(super) last_used: Nanos,
    /// Bytes of its inbox arrived while newcomers were accepted, and no round has looked at them yet.
    pub(super) has_unseen_request: bool,
    /// Whether it stays open after the answer.
    pub(super) keeps_alive: bool,
    /// Nothing more is written; what the peer still sends is read until it closes.
    pub(super) finished: bool,
    /// The client's time limit: to send a whole request, to read its answer, or to close.
    pub(super) timer: Option<DeadlineKey>,
}

impl Client {
    pub(super) fn new(stream: Stream, now: Nanos, timer: DeadlineKey) -> Self {
        Client {
            stream,
            has_sent_request: false,
            pending: None,
            request_since: None,
            last_used: now,
            has_unseen_request: false,
            keeps_alive: true,
            finished: false,
            timer: Some(timer),
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_none() && !self.finished && self.stream.inbox().is_empty() && self.stream.is_flushed()
    }

    pub(super) fn replace_timer(&mut self, timer: Option<DeadlineKey>, context: &mut Context) {
        if let Some(before) = std::mem::replace(&mut self.timer, timer) {
            context.deadlines.cancel(before);
        }
    }
}
