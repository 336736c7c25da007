//! Results of single shards, and the response merged from them, which states which shards it covers.

mod hit;
mod merged_result;
mod shard_result;
mod total_hits;

pub use hit::{Hit, compare_hits};
pub use merged_result::{MergedResult, MissingShard, merge};
pub use shard_result::{ShardResult, ShardResultError, UnusableResponse, created_result};
pub use total_hits::{TotalHits, UnknownRelation};
