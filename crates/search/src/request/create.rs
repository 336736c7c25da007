//! Creation of documents.

use serde_json::{Value, json};

use crate::error::SearchError;
use crate::json::{Cursor, Json};
use crate::mapping::Mapping;

/// A request to create a document with the given id, at most once.
#[derive(Clone, Debug, PartialEq)]
pub struct CreateRequest {
    /// Name of the index.
    pub index: String,
    /// The document's id.
    pub id: String,
    /// The routing value that selects the shard, if the index uses one.
    pub routing: Option<String>,
    /// The document.
    pub document: Value,
}

impl CreateRequest {
    /// Parses a body, which is the document.
    ///
    /// # Errors
    ///
    /// The body is not valid JSON, or does not fit the mapping.
    pub fn read(
        body: &[u8],
        index: &str,
        id: &str,
        routing: Option<&str>,
        mapping: &Mapping,
    ) -> Result<CreateRequest, SearchError> {
        let body = Json::read(body)?;
        mapping.check_document(&Cursor::root(&body))?;
        let (index, id, routing) = (index.to_owned(), id.to_owned(), routing.map(str::to_owned));
        Ok(CreateRequest { index, id, routing, document: body.to_serde() })
    }

    /// Returns the text of the shard request. It does not depend on the protocol or on the order of the document's
    /// keys.
    pub fn canonical(&self) -> String {
        let mut inner = json!({"index": self.index, "id": self.id, "document": self.document});
        if let Some(routing) = &self.routing {
            inner["routing"] = json!(routing);
        }
        let mut carried = json!({ "create": inner });
        carried.sort_all_objects();
        carried.to_string()
    }
}
