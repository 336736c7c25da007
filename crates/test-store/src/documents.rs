//! The documents of a store, and the execution of shard requests on them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use derive_more::{Display, Error};
use orchidvalve_search::evaluate::{Document, search};
use orchidvalve_search::request::ShardRequest;
use orchidvalve_search::response::created_result;
use orchidvalve_search::routes::Routes;

/// Documents by index and shard.
#[derive(Debug)]
pub struct Documents {
    /// The routes, which determine the shard of a new document.
    pub routes: Arc<Routes>,
    by_shard: BTreeMap<(String, usize), Vec<Document>>,
    ids: BTreeSet<(String, usize, String)>,
}

/// The result of a shard request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunResult {
    /// The value that the shard responds with.
    pub value: String,
    /// Whether a document was added.
    pub created: bool,
}

/// The reason why a shard request cannot be executed.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum RunError {
    /// The payload, or the document in it, cannot be read.
    #[display("{_0}")]
    Unreadable(#[error(not(source))] String),
    /// The index does not exist.
    #[display("no such index")]
    UnknownIndex,
}

impl Documents {
    /// Creates an empty collection.
    pub fn new(routes: Arc<Routes>) -> Documents {
        Documents { routes, by_shard: BTreeMap::new(), ids: BTreeSet::new() }
    }

    /// Adds a document. Returns `false`, and adds nothing, if the shard has a document with the same id.
    pub fn insert(&mut self, index: &str, shard: usize, document: Document) -> bool {
        let is_new = self.ids.insert((index.to_owned(), shard, document.id.clone()));
        if is_new {
            self.by_shard.entry((index.to_owned(), shard)).or_default().push(document);
        }
        is_new
    }

    /// Returns the documents of one shard.
    pub fn of_shard(&self, index: &str, shard: usize) -> &[Document] {
        self.by_shard.get(&(index.to_owned(), shard)).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of documents with this id, over all shards of the index.
    pub fn count(&self, index: &str, id: &str) -> usize {
        let of_index = self.by_shard.iter().filter(|((name, _), _)| name == index);
        of_index.flat_map(|(_, documents)| documents).filter(|document| document.id == id).count()
    }

    /// Executes a shard request.
    ///
    /// # Errors
    ///
    /// Returns an error if the payload cannot be read or the index does not exist.
    pub fn run(&mut self, payload: &str, shard: usize) -> Result<RunResult, RunError> {
        let request = ShardRequest::read(payload, |index| self.routes.mapping(index))
            .map_err(|error| RunError::Unreadable(error.to_string()))?;
        match request {
            ShardRequest::Search(request) => {
                let documents = self.of_shard(&request.index, shard);
                Ok(RunResult { value: search(&request, documents.iter()).text(), created: false })
            }
            ShardRequest::Create(create) => {
                let routes = self.routes.clone();
                let mapping = routes.mapping(&create.index).ok_or(RunError::UnknownIndex)?;
                let document = Document::new(&create.id, create.document, mapping)
                    .map_err(|error| RunError::Unreadable(error.to_string()))?;
                let created = self.insert(&create.index, shard, document);
                Ok(RunResult { value: created_result(&create.id), created })
            }
        }
    }
}
