//! Searches and counts.

use serde_json::{Map, Value, json};

use super::duration::parse_time;
use super::sort::{SortKey, parse_sort};
use super::source_filter::SourceFilter;
use super::track_total_hits::TrackTotalHits;
use crate::error::SearchError;
use crate::json::{Cursor, Json};
use crate::mapping::Mapping;
use crate::query::{Clause, Query, QueryParser, clause_to_json};

/// The maximum number of hits of a response.
pub const MAX_HITS: usize = 10_000;
/// The number of hits of a response if the request does not set `size`.
const DEFAULT_HITS: usize = 10;

const KNOWN: [&str; 6] = ["query", "size", "sort", "_source", "track_total_hits", "timeout"];
/// Keys that OpenSearch supports and this language does not.
const UNSUPPORTED: [&str; 25] = [
    "from",
    "search_after",
    "aggs",
    "aggregations",
    "pit",
    "slice",
    "collapse",
    "highlight",
    "suggest",
    "rescore",
    "fields",
    "docvalue_fields",
    "stored_fields",
    "script_fields",
    "post_filter",
    "min_score",
    "explain",
    "version",
    "seq_no_primary_term",
    "terminate_after",
    "track_scores",
    "indices_boost",
    "stats",
    "profile",
    "ext",
];

/// A search, as sent in each shard request.
#[derive(Clone, Debug, PartialEq)]
pub struct SearchRequest {
    /// Name of the index.
    pub index: String,
    /// The query that documents must match.
    pub query: Clause,
    /// The maximum number of hits in the response.
    pub size: usize,
    /// The sort order of the hits; if empty, by descending score.
    pub sort: Vec<SortKey>,
    /// The fields of each document that the response includes.
    pub source_filter: SourceFilter,
    /// Up to which number hits are counted.
    pub track_total_hits: TrackTotalHits,
    /// The timeout set by the client, in nanoseconds. It is not part of shard requests.
    pub timeout: Option<i64>,
}

impl SearchRequest {
    /// Parses a body; an empty one matches all documents. `now` is in milliseconds since 1970.
    ///
    /// # Errors
    ///
    /// The body is not valid JSON, or contains something unknown or unsupported.
    pub fn read(body: &[u8], index: &str, mapping: &Mapping, now: i64) -> Result<SearchRequest, SearchError> {
        let body = read_body(body)?;
        SearchRequest::parse(&Cursor::root(&body), index, mapping, now)
    }

    /// Parses a body that has been read. `now` is in milliseconds since 1970.
    pub(super) fn parse(
        body: &Cursor,
        index: &str,
        mapping: &Mapping,
        now: i64,
    ) -> Result<SearchRequest, SearchError> {
        body.check_keys("a search", &KNOWN, &UNSUPPORTED)?;
        let query = match body.get("query") {
            Some(at) => QueryParser::new(mapping, now).parse_clause(&at, 0)?,
            None => Query::MatchAll.unboosted(),
        };
        let size = body.get("size").map_or(Ok(DEFAULT_HITS), |at| parse_size(&at))?;
        let sort = body.get("sort").map_or(Ok(Vec::new()), |at| parse_sort(&at, mapping))?;
        let source_filter =
            body.get("_source").map_or(Ok(SourceFilter::default()), |at| SourceFilter::parse(&at))?;
        let track_total_hits = body.get("track_total_hits");
        let track_total_hits =
            track_total_hits.map_or(Ok(TrackTotalHits::default()), |at| TrackTotalHits::parse(&at))?;
        let timeout = body.get("timeout").map(|at| parse_timeout(&at)).transpose()?;
        let index = index.to_owned();
        Ok(SearchRequest { index, query, size, sort, source_filter, track_total_hits, timeout })
    }

    /// Parses the body of a count, which contains only a query. `now` is in milliseconds since 1970.
    ///
    /// # Errors
    ///
    /// The body is not valid JSON, or contains something unknown or unsupported.
    pub fn count(
        body: &[u8],
        index: &str,
        mapping: &Mapping,
        now: i64,
    ) -> Result<SearchRequest, SearchError> {
        let body = read_body(body)?;
        let at = Cursor::root(&body);
        at.check_keys("a count", &["query"], &[])?;
        let search = SearchRequest::parse(&at, index, mapping, now)?;
        Ok(SearchRequest { size: 0, track_total_hits: TrackTotalHits::All, ..search })
    }

    /// Returns the body sent to an index server that speaks OpenSearch's API.
    pub fn body(&self) -> Value {
        let mut body = Map::new();
        body.insert("query".to_owned(), clause_to_json(&self.query));
        body.insert("size".to_owned(), json!(self.size));
        if !self.sort.is_empty() {
            body.insert("sort".to_owned(), self.sort.iter().map(SortKey::to_json).collect());
        }
        if let Some(source_filter) = self.source_filter.to_json() {
            body.insert("_source".to_owned(), source_filter);
        }
        body.insert("track_total_hits".to_owned(), self.track_total_hits.to_json());
        Value::Object(body)
    }

    /// Returns the text of the shard request. It does not depend on the protocol.
    pub fn canonical(&self) -> String {
        json!({"search": {"index": self.index, "body": self.body()}}).to_string()
    }
}

/// Parses a body; an empty one is treated as an empty object.
fn read_body(body: &[u8]) -> Result<Json, SearchError> {
    Json::read(if body.trim_ascii().is_empty() { b"{}" } else { body })
}

fn parse_size(at: &Cursor) -> Result<usize, SearchError> {
    let size = usize::try_from(at.as_i64()?).ok().filter(|&size| size <= MAX_HITS);
    size.ok_or_else(|| at.error(format!("should be 0 to {MAX_HITS}")))
}

fn parse_timeout(at: &Cursor) -> Result<i64, SearchError> {
    parse_time(at.as_str()?).map_err(|error| at.error(error))
}
