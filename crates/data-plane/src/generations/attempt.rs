//! One attempt of an item at a server: the text generated so far, and its pace.

use orchidvalve_scheduler::GenerationId;

use super::ewma::Ewma;
use super::interface::ServerKey;
use super::servers::ModelKey;
use super::text::{Text, VersionRule};

/// One attempt of an item.
pub struct Attempt {
    /// The generation that the attempt belongs to.
    pub generation: GenerationId,
    /// The server that runs the attempt.
    pub server: ServerKey,
    /// The model, if the batch job names one.
    pub model: Option<ModelKey>,
    /// The versions of the weights that may generate the text.
    pub rule: VersionRule,
    /// The text so far, including the events from which the attempt resumed.
    pub text: Text,
    /// The version of the weights that generates the next event, if known.
    pub version: Option<u64>,
    /// When the attempt was sent, in milliseconds of the steady clock.
    pub sent_at: u64,
    /// When the attempt's first event was received.
    pub first_event_at: Option<u64>,
    /// When the attempt's last event was received.
    pub last_event_at: Option<u64>,
    /// When the attempt is checked next for a stall; `u64::MAX` if no check is scheduled.
    pub check_at: u64,
    /// The number of events received from this attempt, excluding those that it resumed from.
    pub events: u32,
}

/// The usual pauses in the streams of a route, in milliseconds.
#[derive(Default)]
pub struct StreamPace {
    /// The time from sending an attempt to its first event.
    pub first_event_ms: Ewma,
    /// The time between two events.
    pub gap_ms: Ewma,
}

impl Attempt {
    /// Returns the mean time between events of this attempt in milliseconds, or `None` before the second event.
    pub fn gap_ms(&self) -> Option<f64> {
        let span = self.last_event_at?.saturating_sub(self.first_event_at?) as f64;
        (self.events > 1).then(|| (span / f64::from(self.events - 1)).max(1.0))
    }
}
