//! The log: `tracing` events written to standard error as text or JSON. Lines are rate limited per call site;
//! suppressed lines are counted.

use std::collections::HashMap;
use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use tracing::field::{Field, Visit};
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::layer::{Context, Filter, Layer, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;

const MAX_LINES_PER_SECOND: u64 = 5;

static SUPPRESSED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of suppressed lines of all call sites.
pub fn suppressed() -> u64 {
    SUPPRESSED.load(Relaxed)
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// `orchidvalved: MESSAGE`
    #[default]
    Text,
    /// One JSON object per line, with time, level and call site.
    Json,
}

/// Starts the log. If the program has already set a subscriber, that one is kept.
pub fn start(format: Format) {
    let rate_limit = RateLimit::default();
    let result = match format {
        Format::Text => tracing_subscriber::registry().with(Lines.with_filter(rate_limit)).try_init(),
        Format::Json => {
            let lines = tracing_subscriber::fmt::layer().json().with_writer(std::io::stderr);
            tracing_subscriber::registry().with(lines.with_filter(rate_limit)).try_init()
        }
    };
    drop(result);
}

/// The file and the line of a log call.
type CallSite = (&'static str, u32);

/// Decides whether a line from a call site may be written now, so that a peer that fails constantly neither fills the
/// log nor blocks the node. Only lines of the project's own crates are written.
#[derive(Debug, Default)]
struct RateLimit {
    /// For each call site, the current second and the number of lines in it.
    call_sites: Mutex<HashMap<CallSite, (u64, u64)>>,
}

impl RateLimit {
    fn allows(&self, call_site: CallSite, second: u64) -> bool {
        let mut call_sites = self.call_sites.lock().unwrap_or_else(PoisonError::into_inner);
        let (current, lines) = call_sites.entry(call_site).or_default();
        if *current != second {
            (*current, *lines) = (second, 0);
        }
        *lines += 1;
        let allowed = *lines <= MAX_LINES_PER_SECOND;
        if !allowed {
            SUPPRESSED.fetch_add(1, Relaxed);
        }
        allowed
    }
}

impl<S: Subscriber> Filter<S> for RateLimit {
    fn enabled(&self, call_site: &Metadata, _: &Context<S>) -> bool {
        call_site.target().starts_with("orchidvalve") && *call_site.level() <= tracing::Level::INFO
    }

    fn event_enabled(&self, event: &Event, _: &Context<S>) -> bool {
        let second = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_secs());
        let call_site = event.metadata();
        self.allows((call_site.file().unwrap_or_default(), call_site.line().unwrap_or(0)), second)
    }
}

/// Writes one text line for each event.
struct Lines;

struct Message(String);

impl Visit for Message {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            let _ = write!(self.0, "{value:?}");
        }
    }
}

impl<S: Subscriber> Layer<S> for Lines {
    fn on_event(&self, event: &Event, _: Context<S>) {
        let mut line = Message("orchidvalved: ".to_owned());
        event.record(&mut line);
        line.0.push('\n');
        let _ = std::io::stderr().write_all(line.0.as_bytes());
    }
}

/// Writes a line to the log, formatted like [`format!`].
#[macro_export]
macro_rules! log {
    ($($line:tt)*) => {
        ::tracing::info!($($line)*)
    };
}

#[cfg(test)]
mod tests;
