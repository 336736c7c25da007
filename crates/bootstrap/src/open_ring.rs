//! Opens the ring on a separate thread while the event loop runs, and retries while the disk fails.

use std::panic::resume_unwind;
use std::sync::mpsc::{Receiver, TryRecvError, channel};
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

use orchidvalve_net::clock::Clock;
use orchidvalve_net::{Event, Network, Waker};
use orchidvalve_protocol::messages::Role;
use orchidvalve_wal::{
    FailureOutcome, OnProgress, OpenError, OpenRetry, OpenStep, Options as RingOptions, Recovery, Ring,
};

use crate::error::ProcessError;
use crate::options::MachineOptions;

/// Maximum wait of the event loop, in milliseconds.
const MAX_WAIT_MS: u64 = 250;
/// After a stop request, the process waits for a pending attempt for the grace period divided by this number. The rest
/// of the grace period remains for handing over the content of the ring.
const GRACE_DIVISOR: u64 = 2;

type OpenResult = Result<(Ring, Recovery), OpenError>;

/// An open ring.
pub(crate) struct OpenedRing {
    pub(crate) ring: Ring,
    pub(crate) recovery: Recovery,
    /// Time of the stop request, if one was received before the ring was open.
    pub(crate) shutdown_requested_at: Option<u64>,
}

/// Opens the ring of this node, and retries while its disk is full, rejects writes or is unresponsive. Returns `None`
/// if the process was requested to stop before the ring was open.
///
/// # Errors
///
/// Returns an error if the ring cannot be opened for a permanent reason, or if the event loop fails.
pub(crate) fn open_ring(
    machine: &MachineOptions,
    role: Role,
    ring_options: RingOptions,
    clock: &Clock,
    network: &mut Network,
) -> Result<Option<OpenedRing>, ProcessError> {
    let mut opener = RingOpener::new(role, machine.grace_ms, clock.now());
    loop {
        let now = clock.now();
        if let Some(opened) = opener.poll_result(now)? {
            return Ok(Some(opened));
        }
        opener.report_unresponsive_disk(now);
        match opener.retry.step(now) {
            OpenStep::Attempt => {
                let directory = machine.data_directory.clone();
                let options = ring_options.clone();
                let open = move |on_progress| Ring::open(&directory, options, on_progress);
                opener.attempt = Some(Attempt::begin(open, network.waker())?);
            }
            OpenStep::Wait { until } => {
                let wait = until.saturating_sub(now).min(MAX_WAIT_MS);
                let events = network.poll(Duration::from_millis(wait))?;
                opener.handle_events(&events, clock.now());
            }
            OpenStep::GiveUp => {
                log::info!("{role}: stopping before the disk could be used");
                return Ok(None);
            }
        }
    }
}

/// The state of opening the ring: the role, the retries, the pending attempt and the stop request.
struct RingOpener {
    role: Role,
    grace_ms: u64,
    retry: OpenRetry,
    shutdown_requested_at: Option<u64>,
    attempt: Option<Attempt>,
}

impl RingOpener {
    fn new(role: Role, grace_ms: u64, now: u64) -> RingOpener {
        RingOpener { role, grace_ms, retry: OpenRetry::new(now), shutdown_requested_at: None, attempt: None }
    }

    /// Records a stop request. Other events cannot occur yet: the process has no listeners and no links.
    fn handle_events(&mut self, events: &[Event], now: u64) {
        let shutdown_requested = events.iter().any(|event| matches!(event, Event::Terminate));
        if shutdown_requested && self.shutdown_requested_at.is_none() {
            self.shutdown_requested_at = Some(now);
            self.retry.stop(now + self.grace_ms / GRACE_DIVISOR);
        }
    }

    fn report_unresponsive_disk(&mut self, now: u64) {
        if self.retry.begins_to_hang(now) {
            log::warn!(
                "{}: the disk is unresponsive: check it; this process keeps waiting for it",
                self.role
            );
        }
    }

    /// Returns the ring if the pending attempt has opened it.
    fn poll_result(&mut self, now: u64) -> Result<Option<OpenedRing>, ProcessError> {
        let Some(result) = self.attempt.as_mut().and_then(Attempt::result) else { return Ok(None) };
        self.attempt = None;
        match result {
            Ok((ring, recovery)) => {
                if let Some(attempts) = self.retry.attempts_if_reported() {
                    log::info!("{}: the disk can be used after {attempts} attempts", self.role);
                }
                Ok(Some(OpenedRing { ring, recovery, shutdown_requested_at: self.shutdown_requested_at }))
            }
            Err(error) => {
                self.handle_failure(now, error)?;
                Ok(None)
            }
        }
    }

    fn handle_failure(&mut self, now: u64, error: OpenError) -> Result<(), OpenError> {
        match self.retry.attempt_failed(now, &error) {
            FailureOutcome::Final => return Err(error),
            FailureOutcome::Retry { first_report: Some(error) } => {
                let role = self.role;
                log::warn!(
                    "{role}: the disk cannot be used yet: {error}; this process retries automatically"
                );
            }
            FailureOutcome::Retry { first_report: None } => {}
        }
        Ok(())
    }
}

/// An attempt to open the ring on a separate thread, so that an unresponsive disk does not block the event loop.
struct Attempt {
    results: Receiver<OpenResult>,
    thread: Option<JoinHandle<()>>,
}

impl Attempt {
    fn begin(
        open: impl FnOnce(OnProgress) -> OpenResult + Send + 'static,
        waker: Waker,
    ) -> Result<Attempt, OpenError> {
        let (sender, results) = channel();
        let ring_waker = waker.clone();
        let work = move || {
            let result = open(Box::new(move || ring_waker.wake()));
            // Sending fails if the process has stopped waiting for the ring.
            let _ = sender.send(result);
            waker.wake();
        };
        let thread = Builder::new().name("opening".to_owned()).spawn(work);
        let failed = |source| OpenError::Disk { action: "start the thread that opens the ring", source };
        Ok(Attempt { results, thread: Some(thread.map_err(failed)?) })
    }

    /// Returns the result if the attempt is complete. A panic of the thread is propagated.
    fn result(&mut self) -> Option<OpenResult> {
        match self.results.try_recv() {
            Ok(result) => Some(result),
            Err(TryRecvError::Empty) => None,
            Err(TryRecvError::Disconnected) => match self.thread.take()?.join() {
                Ok(()) => None,
                Err(panic) => resume_unwind(panic),
            },
        }
    }
}
