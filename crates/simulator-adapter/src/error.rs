//! Errors in the simulator's lines.

use derive_more::{Display, Error};

/// Why a line, or one instance's events in it, cannot be processed.
#[derive(Debug, Display, Error)]
pub enum AdapterError {
    /// The line is not valid JSON.
    #[display("malformed line: {source}")]
    Malformed {
        /// Position and cause of the syntax error.
        source: serde_json::Error,
    },
    /// The line has no array of events.
    #[display("malformed line: no array 'news'")]
    NoEvents,
    /// A field is missing or has the wrong type.
    #[display("{error}")]
    Field {
        /// Path of the field, and the expected type.
        #[error(not(source))]
        error: String,
    },
    /// An event has an unknown verb.
    #[display("unknown verb '{verb}'")]
    UnknownVerb {
        /// The verb.
        verb: String,
    },
    /// A field of an event has a value that its verb does not define.
    #[display("'{verb}': unknown {field} '{value}'")]
    UnknownValue {
        /// The verb of the event.
        verb: &'static str,
        /// The field of the event.
        field: &'static str,
        /// The value of the field.
        value: String,
    },
    /// A query's service class is not among those of the settings.
    #[display("'knock': grade {class} is not among the {classes} classes")]
    UnknownClass {
        /// The class of the query.
        class: usize,
        /// The number of classes in the settings.
        classes: usize,
    },
    /// A server that is in no list so far.
    #[display("index server '{server}' is in no list so far")]
    UnknownServer {
        /// Name of the server.
        server: String,
    },
    /// A membership event refers to a list that was never declared.
    #[display("'topology': its list was never declared")]
    UndeclaredList,
    /// An event is for an instance that has not started.
    #[display("instance {instance} has news but no 'boot'")]
    NotStarted {
        /// Number of the instance.
        instance: i64,
    },
    /// Standard input cannot be read.
    #[display("cannot read the input: {source}")]
    Read {
        /// The cause.
        source: std::io::Error,
    },
    /// Standard output cannot be written.
    #[display("cannot write the reply: {source}")]
    Write {
        /// The cause.
        source: std::io::Error,
    },
}

impl AdapterError {
    /// Returns the error for a field, from the text of the reader's error.
    pub(crate) fn field(error: impl std::fmt::Display) -> AdapterError {
        AdapterError::Field { error: error.to_string() }
    }
}
