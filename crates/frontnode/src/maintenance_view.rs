//! The maintenance queue as operators read it, in JSON. Programs parse its keys and values.

use orchidvalve::interface::Nanos;
use orchidvalve_maintenance::queue::{Event, MaintenanceQueue, Stage};
use serde::Serialize;

#[derive(Serialize)]
struct View<'a> {
    version: u64,
    leads: bool,
    /// The time since this node last heard from the group; `None` if it never did.
    heard_ms_ago: Option<Nanos>,
    entries: Vec<EntryView<'a>>,
    events: Vec<EventView<'a>>,
    /// The nonces of recently executed commands.
    done: Vec<String>,
}

#[derive(Serialize)]
struct EntryView<'a> {
    machine: &'a str,
    stage: &'static str,
    by: &'a str,
    why: &'a str,
    since_ms: Nanos,
    overdue: bool,
    explained: String,
}

#[derive(Serialize)]
struct EventView<'a> {
    version: u64,
    at_ms: Nanos,
    machine: &'a str,
    event: &'static str,
}

/// Returns the maintenance queue in JSON.
pub fn view_json(order: &MaintenanceQueue, leads: bool, heard_ms_ago: Option<Nanos>) -> String {
    serde_json::to_string(&view(order, leads, heard_ms_ago)).unwrap_or_default()
}

/// Returns the name of an event in the JSON view.
fn event_word(event: Event) -> &'static str {
    match event {
        Event::Requested => "asked",
        Event::Admitted => "admitted",
        Event::Recalled => "recalled",
        Event::WentOut => "wentout",
        Event::Overdue => "overdue",
        Event::Returning => "returning",
        Event::Back => "back",
        Event::Expired => "lapsed",
        Event::Cancelled => "cancelled",
    }
}

fn view(order: &MaintenanceQueue, leads: bool, heard_ms_ago: Option<Nanos>) -> View<'_> {
    let ms = |at: Nanos| at / 1_000_000;
    let entries = order.entries.iter().map(|e| EntryView {
        machine: &e.machine,
        stage: match e.stage {
            Stage::Requested => "asked",
            Stage::Draining => "draining",
            Stage::Out => "out",
            Stage::Returning => "returning",
        },
        by: &e.by,
        why: &e.why,
        since_ms: ms(e.since),
        overdue: e.overdue,
        explained: order.explain(&e.machine).unwrap_or_default(),
    });
    let events = order.events.iter().map(|e| EventView {
        version: e.version,
        at_ms: ms(e.at),
        machine: &e.machine,
        event: event_word(e.event),
    });
    let done = order.recent_nonces().map(|nonce| format!("{nonce:016x}")).collect();
    let (entries, events) = (entries.collect(), events.collect());
    View { version: order.version, leads, heard_ms_ago, entries, events, done }
}
