//! The number of matching documents.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// The number of matching documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TotalHits {
    /// The number.
    pub value: u64,
    /// Whether the number is exact; if not, it is a lower bound.
    pub is_exact: bool,
}

/// The error for an unknown relation of a total.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("total.relation: unknown relation '{relation}'")]
pub struct UnknownRelation {
    relation: String,
}

/// The total in OpenSearch's format.
#[derive(Deserialize, Serialize)]
pub(super) struct TotalHitsJson {
    value: u64,
    relation: String,
}

impl TotalHits {
    /// Returns OpenSearch's name of the relation between the value and the actual number.
    pub fn relation(self) -> &'static str {
        if self.is_exact { "eq" } else { "gte" }
    }

    pub(super) fn to_json(self) -> TotalHitsJson {
        TotalHitsJson { value: self.value, relation: self.relation().to_owned() }
    }
}

impl TotalHitsJson {
    pub(super) fn parse(self) -> Result<TotalHits, UnknownRelation> {
        let TotalHitsJson { value, relation } = self;
        match &*relation {
            "eq" => Ok(TotalHits { value, is_exact: true }),
            "gte" => Ok(TotalHits { value, is_exact: false }),
            _ => Err(UnknownRelation { relation }),
        }
    }
}
