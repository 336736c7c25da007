//! The final responses to clients and how a client protocol formats them. The query table keeps the format with each
//! query, so that the protocol that parsed the query is not needed again.

use std::borrow::Cow;

use orchidvalve::interface::Nanos;

/// Content type of plain text.
pub const TEXT: &str = "text/plain; charset=utf-8";
/// Content type of JSON.
pub const JSON: &str = "application/json";

/// The final outcome of a query.
#[derive(Clone, Copy, Debug)]
pub enum Outcome<'a> {
    /// Answered with the values of the shards that responded.
    Answered {
        /// Whether the response counts as complete.
        complete: bool,
        /// Each queried shard, with its value if it responded.
        shards: &'a [(usize, Option<&'a str>)],
    },
    /// Rejected before anything ran. A retry is safe, after this time if it is above 0.
    Rejected(Nanos),
    /// Expired at its deadline; some of its shard requests may have run.
    Expired,
    /// Rejected because a query with the same id is pending.
    DuplicateId,
    /// Rejected because too many queries are pending.
    Overloaded,
}

/// A response to a client.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: &'static str,
    /// Further header lines, each with its line end.
    pub headers: String,
    /// The body.
    pub body: Cow<'static, [u8]>,
}

impl Reply {
    /// Returns a response in plain text.
    pub fn text(status: u16, text: impl Into<Cow<'static, str>>) -> Reply {
        let body = match text.into() {
            Cow::Borrowed(text) => Cow::Borrowed(text.as_bytes()),
            Cow::Owned(text) => Cow::Owned(text.into_bytes()),
        };
        Reply { status, content_type: TEXT, headers: String::new(), body }
    }

    /// Returns a response in JSON.
    pub fn json(status: u16, body: String) -> Reply {
        Reply { status, content_type: JSON, headers: String::new(), body: Cow::Owned(body.into_bytes()) }
    }

    /// Adds a `Retry-After` header if the time is above 0 (RFC 9110, section 10.2.3).
    #[must_use]
    pub fn retry_after(mut self, wait: Nanos) -> Reply {
        if wait > 0 {
            self.headers.push_str(&format!("Retry-After: {}\r\n", wait as f64 / 1e9));
        }
        self
    }
}

/// Formats the response to one query in a client protocol.
pub trait ReplyFormat {
    /// Returns the response to the query. `elapsed` is the time since it was accepted, in nanoseconds.
    fn reply(&self, outcome: Outcome, elapsed: Nanos) -> Reply;
}

/// Combines the responses to all queries of one request, in their order, into one response. The second argument is the
/// time since the request arrived, in nanoseconds.
pub type CombineReplies = fn(Vec<Reply>, Nanos) -> Reply;

/// Combines replies for protocols with one query per request.
pub fn single(mut replies: Vec<Reply>, _: Nanos) -> Reply {
    replies.pop().unwrap_or_else(|| Reply::text(400, "nothing was asked\n"))
}
