//! Errors in the routes file. Messages name the key and use the terms of the file.

use derive_more::{Display, Error};

/// Why a routes file is rejected.
#[derive(Debug, Display, Error)]
pub enum RoutesError {
    /// The file is not valid TOML.
    #[display("{_0}")]
    Syntax(toml::de::Error),
    /// A key is unknown or its value has the wrong type.
    #[display("{path}{}{error}", if path.is_empty() { "" } else { ": " })]
    Form {
        /// The key; empty if the error concerns the whole file.
        path: String,
        /// The error of the TOML parser.
        error: toml::de::Error,
    },
    /// The file has no index.
    #[display("index: should name one index at least")]
    NoIndex,
    /// The value of a key is invalid.
    #[display("{key}: {problem}")]
    Key {
        /// The key.
        key: String,
        /// Why the value is invalid.
        #[error(source)]
        problem: RouteProblem,
    },
}

/// Why the value of a key is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum RouteProblem {
    /// The name of an index contains characters that are not allowed.
    #[display("a name is of a-z, 0-9, '-', '_' and '.', and begins with a-z or 0-9")]
    IndexName,
    /// The service class does not exist in the settings.
    #[display("no grade '{class}' in the settings")]
    UnknownClass {
        /// Name of the class.
        class: String,
    },
    /// The class for creations has no idempotency keys.
    #[display("the grade '{class}' takes no receipt")]
    ClassWithoutReceipt {
        /// Name of the class.
        class: String,
    },
    /// The class for searches requires idempotency keys.
    #[display("the grade '{class}' wants a receipt; a search has none")]
    ClassWithReceipt {
        /// Name of the class.
        class: String,
    },
    /// The shards are given by an unknown word.
    #[display("'{word}' is neither \"routing\" nor \"all\" nor a list")]
    UnknownSelection {
        /// The word.
        word: String,
    },
    /// The list of shards is empty or has duplicates.
    #[display("a list names one slice at least, and each once")]
    ShardList,
    /// The list contains a shard that does not exist.
    #[display("no slice {shard} among {shards}")]
    UnknownShard {
        /// The shard.
        shard: usize,
        /// The number of shards.
        shards: usize,
    },
    /// The number of weights differs from the number of shards, or a weight is not above 0.
    #[display("should be {shards} numbers above 0, one for each slice")]
    Weights {
        /// How many shards there are.
        shards: usize,
    },
    /// There are too many shards.
    #[display("too many")]
    TooManyShards,
    /// The number of routing shards is not a multiple of the number of shards.
    #[display("should be a multiple of the {shards} slices")]
    RoutingShards {
        /// How many shards there are.
        shards: usize,
    },
    /// An index has no fields.
    #[display("should name one field at least")]
    NoField,
    /// A rule for index servers has no condition.
    #[display("should name an id, a flavor or a locality")]
    EmptyRule,
    /// A number must be above 0.
    #[display("should be above 0, not {value}")]
    NotPositive {
        /// The number.
        value: i64,
    },
}

impl RouteProblem {
    /// Creates an error for this problem at a key.
    pub(super) fn at(self, key: impl Into<String>) -> RoutesError {
        RoutesError::Key { key: key.into(), problem: self }
    }
}
