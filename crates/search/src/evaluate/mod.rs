//! Evaluates queries over documents: the reference implementation for our own index servers and for tests.
//!
//! Scores are simple and the same however a query reaches the shard: a leaf clause scores 1, except that a `match`
//! scores the number of different words found, a `bool` the sum of its `must` and `should` clauses (0 if it has only
//! conditions), a `constant_score` 1. Each score is multiplied by its boost.

mod document;
mod score;
mod search;
mod source_filter;

pub use document::Document;
pub use score::score;
pub use search::search;
