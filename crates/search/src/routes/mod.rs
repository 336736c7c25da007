//! Routing of queries: the operator's routes file, and the mapping from an index, a routing value and a preference to
//! shards, their weights and a service class. Anything that the file does not define is rejected.

mod context;
mod error;
mod file;
mod hash;
mod index;
mod table;

pub use context::{RouteClass, RoutingContext};
pub use error::{RouteProblem, RoutesError};
pub use file::{PoolSettings, StoreProtocol};
pub use hash::hash;
pub use index::{Index, ShardSelection, ShardWeight};
pub use table::Routes;
