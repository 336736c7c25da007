//! The graceful shutdown: each client connection ends with its next response, and all accepted queries are answered.

use orchidvalve::interface::Nanos;

use super::NodeState;
use crate::deadlines::DeadlineKey;
use crate::event_loop::Timer;
use crate::log;

/// The node stops once no connection was accepted for this time (1 s).
const QUIET_PERIOD: Nanos = 1_000_000_000;
/// The node must not be killed earlier than this time (0.7 s) plus the longest deadline after the stop signal. The
/// longest deadline counts with `MAX_COUNTED_DEADLINE` at most. Queries received after the signal are answered
/// `KILL_MARGIN` before that moment.
const MIN_KILL_DELAY: Nanos = 700_000_000;
const MAX_COUNTED_DEADLINE: Nanos = 3_000_000_000;
const KILL_MARGIN: Nanos = 100_000_000;

/// The progress of the shutdown.
#[derive(Default)]
pub(super) struct Shutdown {
    /// The timer of the next check; set since the stop signal.
    timer: Option<DeadlineKey>,
    /// Whether all clients are answered and disconnected.
    pub is_complete: bool,
}

impl NodeState {
    /// Handles the stop signal and each later check. New connections are still accepted and served for a while after
    /// the signal.
    pub(super) fn shut_down(&mut self) {
        let NodeState { context, clients, queries, config, shutdown, .. } = self;
        if let Some(timer) = shutdown.timer.take() {
            context.deadlines.cancel(timer);
        } else {
            log!(
                "shutting down: {} queries pending, {} clients connected",
                queries.pending_queries(),
                clients.connected()
            );
            clients.last_accepted = context.now;
            let longest = config.service_classes.iter().map(|class| class.deadline).max().unwrap_or(0);
            let longest = longest.min(MAX_COUNTED_DEADLINE);
            clients.last_answer_by = context.now + longest + MIN_KILL_DELAY - KILL_MARGIN;
            clients.drain(context);
        }
        clients.accept(context);
        let quiet_at = (clients.last_accepted + QUIET_PERIOD).min(clients.last_answer_by);
        if context.now >= quiet_at {
            clients.drain(context);
        }
        shutdown.is_complete = context.now >= quiet_at && clients.connected() == 0;
        let at = quiet_at.max(context.now + config.tick);
        shutdown.timer = Some(context.deadlines.schedule(at, Timer::Stop));
    }
}
