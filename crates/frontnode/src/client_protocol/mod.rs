//! The client protocols, one file for each. A protocol turns an HTTP request into queries, each with the format of its
//! response.

pub mod own;
pub mod search;

use orchidvalve::interface::Nanos;

use crate::config::NodeConfig;
use crate::http::Message;
use crate::queries::QueryRequest;
use crate::reply::{CombineReplies, Reply};

/// How an HTTP request is handled.
pub enum Interpretation<'a> {
    /// It is answered at once.
    Answered(Reply),
    /// It is answered with the results of queries.
    Queries {
        /// Each query, or the response that rejects it.
        queries: Vec<Result<QueryRequest<'a>, Reply>>,
        /// Combines the responses to all queries into one.
        combine: CombineReplies,
    },
}

/// A protocol of clients.
pub trait ClientProtocol {
    /// Interprets a request. Returns `None` if the path is not part of this protocol. `since` is the time when the
    /// first bytes of the request arrived.
    fn interpret<'a>(
        &self,
        message: &'a Message<'a>,
        since: Nanos,
        config: &NodeConfig,
    ) -> Option<Interpretation<'a>>;
}

/// Returns the protocols that the configuration enables, in the order in which they are tried.
pub fn protocols(config: &NodeConfig) -> Vec<Box<dyn ClientProtocol>> {
    let mut protocols: Vec<Box<dyn ClientProtocol>> = vec![Box::new(own::OwnProtocol)];
    if let Some(routes) = &config.routes {
        protocols.push(Box::new(search::SearchProtocol::new(routes.clone(), config.seed)));
    }
    protocols
}
