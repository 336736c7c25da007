//! How final answers are put into a door's words: the desk keeps a form with each retrieval, and the door that
//! made it is not asked again.

use std::borrow::Cow;

use orchidvalve::interface::Nanos;

pub const TEXT: &str = "text/plain; charset=utf-8";
pub const JSON: &str = "application/json";

/// What became of a retrieval.
#[derive(Clone, Copy, Debug)]
pub enum Outcome<'a> {
    /// Answered from the parts that are in; each part's shard, with its value if it is.
    Done { whole: bool, parts: &'a [(usize, Option<&'a str>)] },
    /// Trying again is harmless, after that time if it is above 0.
    Dismissed(Nanos),
    /// Parts of it may have run.
    GivenUp,
    /// Never taken: its id is open already.
    Open,
    /// Never taken: too much is open.
    OverCap,
}

/// What a client is told.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub kind: &'static str,
    /// Further header lines, each with its end.
    pub more: String,
    pub body: Cow<'static, [u8]>,
}

impl Reply {
    pub fn text(status: u16, text: impl Into<Cow<'static, str>>) -> Reply {
        let body = match text.into() {
            Cow::Borrowed(text) => Cow::Borrowed(text.as_bytes()),
            Cow::Owned(text) => Cow::Owned(text.into_bytes()),
        };
        Reply { status, kind: TEXT, more: String::new(), body }
    }

    pub fn json(status: u16, body: String) -> Reply {
        Reply { status, kind: JSON, more: String::new(), body: Cow::Owned(body.into_bytes()) }
    }

    /// With the time after which the client may come again, where there is one.
    pub fn stay_away(mut self, wait: Nanos) -> Reply {
        if wait > 0 {
            self.more.push_str(&format!("Retry-After: {}\r\n", wait as f64 / 1e9));
        }
        self
    }
}

pub trait Form {
    /// A retrieval's one answer. `took`: since it was taken.
    fn reply(&self, outcome: Outcome, took: Nanos) -> Reply;
}

/// Makes one message of the answers to all that one message asked, in its order, and of the time since it came.
pub type Bind = fn(Vec<Reply>, Nanos) -> Reply;

/// For doors whose messages ask one thing each.
pub fn alone(mut replies: Vec<Reply>, _: Nanos) -> Reply {
    replies.pop().unwrap_or_else(|| Reply::text(400, "nothing was asked\n"))
}
