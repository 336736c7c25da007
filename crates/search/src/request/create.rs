//! Creation of documents.

use serde_json::{Value, json};

use crate::error::SearchError;
use crate::json::{Cursor, Json};
use crate::mapping::Mapping;

/// A document to be put in, once, under an id.
#[derive(Clone, Debug, PartialEq)]
pub struct CreateRequest {
    /// Name of the index.
    pub index: String,
    /// Id of the document.
    pub id: String,
    /// The value that its shard is chosen by, where its index has such.
    pub routing: Option<String>,
    /// The document.
    pub document: Value,
}

impl CreateRequest {
    /// Reads a body: the document.
    ///
    /// # Errors
    ///
    /// The body is no JSON, or doesn't fit the mapping.
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

    /// The text that the shard request carries, the same on every wire and for every order of the document's keys.
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
