//! Queries, typed and checked against the fields of an index, and their canonical form.

mod ast;
mod canonical;
mod minimum_should_match;
mod parser;

pub use ast::{BoolQuery, Bound, Clause, Query, RangeQuery, field_usage};
pub use canonical::clause_to_json;
pub use parser::{MAX_CLAUSES, MAX_DEPTH, QueryParser};
