//! One client connection: its buffers, the pending request, and its time limit.

use orchidvalve::interface::{Nanos, QueryIndex};

use crate::context::Context;
use crate::deadlines::DeadlineKey;
use crate::reply::{CombineReplies, Reply};
use crate::stream::Stream;

/// A request that is not answered yet.
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
    /// Whether it has sent a complete request.
    pub(super) has_sent_request: bool,
    /// The request that is not answered yet; at most one.
    pub(super) pending: Option<PendingMessage>,
    /// When the first bytes of the current request arrived.
    pub(super) request_since: Option<Nanos>,
    pub(super) last_used: Nanos,
    /// Whether its inbox was read while new connections were accepted and has not been handled by a round since.
    pub(super) has_unseen_request: bool,
    /// Whether it stays open after the response.
    pub(super) keeps_alive: bool,
    /// Whether the writing side is closed; the bytes that the client still sends are discarded until it closes.
    pub(super) finished: bool,
    /// The time limit to send a complete request, to read the response, or to close.
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
