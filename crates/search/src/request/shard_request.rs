//! Requests to single shards.

use super::create::CreateRequest;
use super::search::SearchRequest;
use crate::error::SearchError;
use crate::json::{Cursor, Json};
use crate::mapping::Mapping;

/// The content of a shard request.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardRequest {
    /// A search.
    Search(SearchRequest),
    /// The creation of a document.
    Create(CreateRequest),
}

impl ShardRequest {
    /// Parses the text of a shard request. `mapping` returns the fields of an index, or `None` if there is no such
    /// index.
    ///
    /// # Errors
    ///
    /// The text is not a valid shard request, or the index is unknown.
    pub fn read<'m>(
        text: &str,
        mapping: impl Fn(&str) -> Option<&'m Mapping>,
    ) -> Result<ShardRequest, SearchError> {
        let text = Json::read(text.as_bytes())?;
        let root = Cursor::root(&text);
        let (kind, at) = root.single_field()?;
        let named = at.get("index").ok_or_else(|| at.error("'index' is missing"))?;
        let index = named.as_str()?;
        let mapping = mapping(index).ok_or_else(|| named.error(format!("no index '{index}'")))?;
        match kind {
            "search" => {
                at.check_keys("a search", &["index", "body"], &[])?;
                let body = at.get("body").ok_or_else(|| at.error("'body' is missing"))?;
                // The canonical form contains only absolute times, so `now` is not used.
                SearchRequest::parse(&body, index, mapping, 0).map(ShardRequest::Search)
            }
            "create" => {
                at.check_keys("a create", &["index", "id", "routing", "document"], &[])?;
                let id = at.get("id").ok_or_else(|| at.error("'id' is missing"))?.as_str()?.to_owned();
                let document = at.get("document").ok_or_else(|| at.error("'document' is missing"))?;
                mapping.check_document(&document)?;
                let document = document.value.to_serde();
                let routing = at.get("routing").map(|at| at.as_str().map(str::to_owned)).transpose()?;
                Ok(ShardRequest::Create(CreateRequest { index: index.to_owned(), id, routing, document }))
            }
            other => Err(at.error(format!("neither 'search' nor 'create' but '{other}'"))),
        }
    }

    /// Returns the text of the shard request.
    pub fn canonical(&self) -> String {
        match self {
            ShardRequest::Search(search) => search.canonical(),
            ShardRequest::Create(create) => create.canonical(),
        }
    }
}
