//! Exchanges with servers: connections that are kept alive and reused, and the responses received on them.
//!
//! An exchange is one request on one connection. Its response is reported as [`UpstreamEvent`]s: the head, parts of the
//! body, and the end. Cancelling an exchange closes its connection, upon which most servers drop the request.
//!
//! A response is matched to its request by its connection and by the `Attempt-Id` that servers echo, because a server
//! may send a late second response where the response to the next request is expected. On a reused connection, every
//! response must therefore carry the id, and no id is sent twice on one connection. A connection whose request was
//! responded to before it was completely sent isn't reused, as otherwise other bytes could be taken for the rest of
//! its body.

mod connections;
mod exchange;
mod idle_pool;
mod recent_ids;

pub use connections::{CONNECT_TIMEOUT_MS, UpstreamConnections};
pub use exchange::{ExchangeId, Failure, Idempotency, OutboundRequest, UpstreamEvent};
pub use idle_pool::keep_alive_ms;
