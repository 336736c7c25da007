//! Matching and scoring of documents.

use std::cmp::Ordering;

use super::document::Document;
use crate::glob::glob_matches;
use crate::mapping::FieldValue;
use crate::query::{BoolQuery, Bound, Clause, Query, RangeQuery};

/// Returns the score of a document, or `None` if the clause does not match it.
pub fn score(clause: &Clause, document: &Document) -> Option<f64> {
    let scored = match &clause.query {
        Query::MatchAll => Some(1.0),
        Query::MatchNone => None,
        Query::Ids(ids) => ids.contains(&document.id).then_some(1.0),
        Query::Terms { field, values } => {
            let is_found = if document.is_text(field) {
                let mut words = document.strings(field).into_iter();
                words.any(|word| values.contains(&FieldValue::String(word.to_owned())))
            } else {
                document.values(field).iter().any(|value| values.contains(value))
            };
            is_found.then_some(1.0)
        }
        Query::Range { field, range } => {
            document.values(field).iter().any(|value| is_within(range, value)).then_some(1.0)
        }
        Query::Exists { field } => (!document.values(field).is_empty()).then_some(1.0),
        Query::Prefix { field, prefix, ignore_case } => {
            let matches = |text: &&str| match ignore_case {
                true => text.to_lowercase().starts_with(prefix),
                false => text.starts_with(prefix),
            };
            document.strings(field).iter().any(matches).then_some(1.0)
        }
        Query::Wildcard { field, pattern, ignore_case } => {
            let matches = |text: &&str| match ignore_case {
                true => glob_matches(pattern, &text.to_lowercase()),
                false => glob_matches(pattern, text),
            };
            document.strings(field).iter().any(matches).then_some(1.0)
        }
        Query::Match { field, words, minimum_should_match } => {
            let present = document.strings(field);
            let found = words.iter().filter(|word| present.contains(&word.as_str())).count();
            (found >= *minimum_should_match).then_some(found as f64)
        }
        Query::ConstantScore(inner) => score(inner, document).map(|_| 1.0),
        Query::Bool(bool) => score_bool(bool, document),
    };
    scored.map(|score| score * clause.boost)
}

fn score_bool(bool: &BoolQuery, document: &Document) -> Option<f64> {
    let mut sum = 0.0;
    for clause in &bool.must {
        sum += score(clause, document)?;
    }
    let matches = |clause: &Clause| score(clause, document).is_some();
    if !bool.filter.iter().all(matches) || bool.must_not.iter().any(matches) {
        return None;
    }
    let should: Vec<f64> = bool.should.iter().filter_map(|clause| score(clause, document)).collect();
    (should.len() >= bool.minimum_should_match).then(|| sum + should.iter().sum::<f64>())
}

fn is_within(range: &RangeQuery, value: &FieldValue) -> bool {
    let is_inside = |bound: &Bound, inside: Ordering| match value.cmp(&bound.value) {
        Ordering::Equal => bound.inclusive,
        ordering => ordering == inside,
    };
    range.lower.as_ref().is_none_or(|lower| is_inside(lower, Ordering::Greater))
        && range.upper.as_ref().is_none_or(|upper| is_inside(upper, Ordering::Less))
}
