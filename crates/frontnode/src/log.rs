//! The log: `tracing` events on standard error, as text or as JSON, so many a second from each place in the code,
//! and the rest counted.

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

const LINES_A_SECOND: u64 = 5;

static HELD_BACK: AtomicU64 = AtomicU64::new(0);

/// Lines held back so far, at all places.
pub fn held_back() -> u64 {
    HELD_BACK.load(Relaxed)
}

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// `orchidvalved: MESSAGE`
    #[default]
    Text,
    /// An object a line, with time, level and place.
    Json,
}

/// Begins to write. Where a program has set up its own subscriber, that one stays.
pub fn start(format: Format) {
    let ration = Ration::default();
    let begun = match format {
        Format::Text => tracing_subscriber::registry().with(Lines.with_filter(ration)).try_init(),
        Format::Json => {
            let lines = tracing_subscriber::fmt::layer().json().with_writer(std::io::stderr);
            tracing_subscriber::registry().with(lines.with_filter(ration)).try_init()
        }
    };
    drop(begun);
}

/// File and line.
type Place = (&'static str, u32);

/// Against a peer that fails all the time filling the log, or stalling the node on it: whether a line from a place
/// may go out now. Only what the node itself says is written.
#[derive(Debug, Default)]
struct Ration {
    /// By place: the second, and lines in it.
    places: Mutex<HashMap<Place, (u64, u64)>>,
}

impl Ration {
    fn admits_at(&self, place: Place, second: u64) -> bool {
        let mut places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        let (of, lines) = places.entry(place).or_default();
        if *of != second {
            (*of, *lines) = (second, 0);
        }
        *lines += 1;
        let admitted = *lines <= LINES_A_SECOND;
        if !admitted {
            HELD_BACK.fetch_add(1, Relaxed);
        }
        admitted
    }
}

impl<S: Subscriber> Filter<S> for Ration {
    fn enabled(&self, place: &Metadata, _: &Context<S>) -> bool {
        place.target().starts_with("orchidvalve") && *place.level() <= tracing::Level::INFO
    }

    fn event_enabled(&self, event: &Event, _: &Context<S>) -> bool {
        let second = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_secs());
        let place = event.metadata();
        self.admits_at((place.file().unwrap_or_default(), place.line().unwrap_or(0)), second)
    }
}

/// A line for each event, as the on-call page has them.
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

#[macro_export]
macro_rules! log {
    ($($line:tt)*) => {
        ::tracing::info!($($line)*)
    };
}

#[cfg(test)]
mod stories {
    use super::*;

    #[test]
    fn a_place_that_writes_without_end_is_held_back_until_the_next_second() {
        let ration = Ration::default();
        let admitted = |line, second| (0..100).filter(|_| ration.admits_at(("a.rs", line), second)).count();
        assert_eq!((admitted(1, 1), admitted(1, 1), admitted(1, 2)), (5, 0, 5));
        assert_eq!(admitted(9, 2), 5, "no place uses up another's");
    }
}
