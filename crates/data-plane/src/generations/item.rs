//! The state of one item: its attempts, its resumable text, and its reward calls.

use std::sync::Arc;

use super::interface::{AttemptId, Item, RewardCallId, ServerKey};
use super::text::Text;

/// The processing phase of an item.
pub enum Phase {
    /// The text is being generated.
    Generating,
    /// The text is complete and waits for its score.
    Scoring(Box<Scoring>),
    /// The item has a result.
    Done,
}

/// A complete text and the reward calls that score it.
pub struct Scoring {
    /// The complete text.
    pub text: Text,
    /// The calls in flight, at most two.
    pub calls: Vec<RewardCallId>,
    /// The server to which the last call was sent.
    pub last_server: Option<ServerKey>,
    /// The number of responses with status 500 to the calls.
    pub failures: u32,
    /// Whether a call has been hedged.
    pub hedged: bool,
}

impl Scoring {
    /// Creates the state of a text for which no call has been sent yet.
    pub fn new(text: Text) -> Self {
        Self { text, calls: Vec::new(), last_server: None, failures: 0, hedged: false }
    }
}

/// An attempt of an item that is in flight.
#[derive(Clone, Copy, Debug)]
pub struct ItemAttempt {
    /// The attempt.
    pub id: AttemptId,
    /// The server that runs the attempt.
    pub server: ServerKey,
}

/// One item of a group.
pub struct ItemState {
    /// The item as assigned by the store node.
    pub item: Arc<Item>,
    /// The complete events of attempts that broke off. The next attempt resumes after them.
    pub resumable_text: Text,
    /// The attempts in flight, at most two.
    pub attempts: Vec<ItemAttempt>,
    /// The number of responses with status 500 to attempts of the item.
    pub failures: u32,
    /// The number of attempts that stalled.
    pub stalls: u32,
    /// The processing phase.
    pub phase: Phase,
}

impl ItemState {
    /// Creates the state of an item without attempts. `resumable_text` may hold the text of an earlier attempt.
    pub fn new(item: Item, resumable_text: Text) -> Self {
        Self {
            item: Arc::new(item),
            resumable_text,
            attempts: Vec::new(),
            failures: 0,
            stalls: 0,
            phase: Phase::Generating,
        }
    }

    /// Whether no attempt is in flight and no complete text waits for its score.
    pub fn is_idle(&self) -> bool {
        match self.phase {
            Phase::Generating => self.attempts.is_empty(),
            Phase::Scoring(_) => false,
            Phase::Done => true,
        }
    }

    /// Keeps the text of an attempt that broke off if it is longer than the text already kept.
    pub fn keep_longer(&mut self, text: Text) {
        self.resumable_text = std::mem::take(&mut self.resumable_text).longer(text);
    }

    /// Removes an attempt that has ended.
    pub fn remove_attempt(&mut self, id: AttemptId) {
        self.attempts.retain(|attempt| attempt.id != id);
    }

    /// Removes the attempt at a server and returns its id.
    pub fn take_attempt_at(&mut self, server: ServerKey) -> Option<AttemptId> {
        let position = self.attempts.iter().position(|attempt| attempt.server == server)?;
        Some(self.attempts.remove(position).id)
    }
}
