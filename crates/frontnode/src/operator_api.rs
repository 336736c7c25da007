//! The HTTP API for operators, independent of the client protocols: health, metrics and maintenance.

use crate::context::Context;
use crate::http::Message;
use crate::metrics::Gauge;
use crate::persistence::PersistentState;
use crate::queries::QueryTable;
use crate::reply::Reply;

/// Answers a request of an operator. Returns `None` if the path is not part of this API. `serving` says whether the
/// node accepts queries.
pub fn answer(message: &Message, serving: bool, queries: &QueryTable, context: &Context) -> Option<Reply> {
    let path = message.path.split('?').next().unwrap_or_default();
    match (message.method, path) {
        ("GET", "/_health") if serving => Some(Reply::text(200, "serving\n")),
        ("GET", "/_health") => Some(Reply::text(503, "not serving\n")),
        ("GET", "/metrics") => Some(Reply::text(200, metrics(queries, context))),
        ("GET", "/_maintenance") => {
            let requests = context.maintenance_requests.as_ref()?;
            Some(Reply::json(200, requests.view().to_owned()))
        }
        ("POST", "/_maintenance/ask" | "/_maintenance/cancel") => {
            let requests = context.maintenance_requests.as_ref()?;
            let kind = path.rsplit('/').next().unwrap_or_default();
            Some(match requests.submit(kind, &message.body) {
                Ok(answer) => Reply::json(202, answer),
                Err(error) => Reply::text(400, format!("{error}\n")),
            })
        }
        (_, "/_health" | "/metrics") => Some(Reply::text(405, "no such method here\n")),
        _ => None,
    }
}

fn metrics(queries: &QueryTable, context: &Context) -> String {
    let round_p99_us = (context.round_p99() / 1000) as usize;
    let mut gauges = vec![
        Gauge::new("retrievals_open", "retrievals that wait for their answer", queries.pending_queries()),
        Gauge::new("deadlines_set", "deadlines not due yet", context.deadlines.len()),
        Gauge::new("round_p99_us", "99 of 100 of the last rounds took no longer", round_p99_us),
    ];
    gauges.extend(context.persistent_state.iter().flat_map(PersistentState::gauges));
    gauges.extend(&context.fleet_gauges);
    gauges.extend(&context.cold_start_gauges);
    gauges.extend(&context.maintenance_gauges);
    context.metrics.text(&gauges)
}
