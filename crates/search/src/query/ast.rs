//! The syntax tree of queries. It is explicit: dates are in milliseconds, defaults are filled in, and texts are split
//! into words, so that queries with the same meaning are equal values wherever this can be determined cheaply.

use std::collections::{BTreeMap, BTreeSet};

use crate::mapping::FieldValue;

/// A query and the boost of its score.
#[derive(Clone, Debug, PartialEq)]
pub struct Clause {
    /// The documents that the clause matches.
    pub query: Query,
    /// The boost, a finite factor of at least 0.
    pub boost: f64,
}

/// The condition that documents must match.
#[derive(Clone, Debug, PartialEq)]
pub enum Query {
    /// Every document.
    MatchAll,
    /// No document.
    MatchNone,
    /// Documents with one of these ids.
    Ids(BTreeSet<String>),
    /// Documents with one of the values. A text matches by its words.
    Terms {
        /// The field.
        field: String,
        /// The values.
        values: BTreeSet<FieldValue>,
    },
    /// Documents with a value within a range.
    Range {
        /// The field.
        field: String,
        /// The bounds.
        range: RangeQuery,
    },
    /// Documents that have a value of the field.
    Exists {
        /// The field.
        field: String,
    },
    /// Documents with a value that begins with a prefix.
    Prefix {
        /// The field.
        field: String,
        /// The prefix, in lower case if case is ignored.
        prefix: String,
        /// Whether upper and lower case are equivalent.
        ignore_case: bool,
    },
    /// Documents with a value that matches a pattern.
    Wildcard {
        /// The field.
        field: String,
        /// The pattern, in lower case if case is ignored.
        pattern: String,
        /// Whether upper and lower case are equivalent.
        ignore_case: bool,
    },
    /// Documents with some of the words in a text.
    Match {
        /// The field.
        field: String,
        /// The words.
        words: BTreeSet<String>,
        /// The minimum number of words that must be present.
        minimum_should_match: usize,
    },
    /// Documents that match a combination of clauses.
    Bool(Box<BoolQuery>),
    /// The documents that the inner clause matches, all with the same score.
    ConstantScore(Box<Clause>),
}

/// A combination of clauses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BoolQuery {
    /// Clauses that must all match and contribute to the score.
    pub must: Vec<Clause>,
    /// Clauses that must all match, without a score.
    pub filter: Vec<Clause>,
    /// Clauses of which some must match; those that match contribute to the score.
    pub should: Vec<Clause>,
    /// Clauses of which none may match.
    pub must_not: Vec<Clause>,
    /// The minimum number of `should` clauses that must match.
    pub minimum_should_match: usize,
}

/// A bound of a range.
#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    /// The value.
    pub value: FieldValue,
    /// Whether the range includes the value itself. Always true for integers and dates.
    pub inclusive: bool,
}

/// The bounds of a range.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RangeQuery {
    /// The lower bound, if any.
    pub lower: Option<Bound>,
    /// The upper bound, if any.
    pub upper: Option<Bound>,
}

impl RangeQuery {
    /// Returns whether no value lies within the bounds.
    pub(super) fn is_empty(&self) -> bool {
        match (&self.lower, &self.upper) {
            (Some(lower), Some(upper)) => {
                lower.value > upper.value
                    || lower.value == upper.value && !(lower.inclusive && upper.inclusive)
            }
            _ => false,
        }
    }
}

impl Query {
    /// Returns a clause with this query and boost 1.
    pub fn unboosted(self) -> Clause {
        Clause { query: self, boost: 1.0 }
    }
}

/// Returns the fields that a clause uses, each with the number of clauses that use it. Serves to explain a query.
pub fn field_usage(clause: &Clause) -> BTreeMap<String, usize> {
    let mut usage = BTreeMap::new();
    add_field_usage(clause, &mut usage);
    usage
}

fn add_field_usage(clause: &Clause, usage: &mut BTreeMap<String, usize>) {
    match &clause.query {
        Query::MatchAll | Query::MatchNone | Query::Ids(_) => {}
        Query::Terms { field, .. }
        | Query::Range { field, .. }
        | Query::Exists { field }
        | Query::Prefix { field, .. }
        | Query::Wildcard { field, .. }
        | Query::Match { field, .. } => *usage.entry(field.clone()).or_default() += 1,
        Query::ConstantScore(inner) => add_field_usage(inner, usage),
        Query::Bool(bool) => {
            let clauses = bool.must.iter().chain(&bool.filter).chain(&bool.should).chain(&bool.must_not);
            clauses.for_each(|clause| add_field_usage(clause, usage));
        }
    }
}
