//! The parameters of a request besides its query, and the text of shard requests.

mod create;
mod duration;
mod search;
mod shard_request;
mod sort;
mod source_filter;
mod track_total_hits;

pub use create::CreateRequest;
pub use duration::{DurationError, parse_time};
pub use search::{MAX_HITS, SearchRequest};
pub use shard_request::ShardRequest;
pub use sort::SortKey;
pub use source_filter::SourceFilter;
pub use track_total_hits::TrackTotalHits;
