//! The canonical form of a query: equivalent spellings give the same bytes, and parsing the canonical form gives the
//! same query.

use std::collections::BTreeSet;

use serde_json::{Map, Value, json};

use super::ast::{BoolQuery, Bound, Clause, Query, RangeQuery};
use crate::mapping::FieldValue;

/// Returns the canonical form of a clause.
pub fn clause_to_json(clause: &Clause) -> Value {
    let Clause { query, boost } = clause;
    match query {
        Query::MatchAll => json!({"match_all": boosted(json!({}), *boost)}),
        Query::MatchNone => json!({"match_none": {}}),
        Query::Ids(ids) => json!({"ids": boosted(json!({"values": ids}), *boost)}),
        Query::Terms { field, values } => terms_to_json(field, values, *boost),
        Query::Range { field, range } => on_field("range", field, range_to_json(range), *boost),
        Query::Exists { field } => json!({"exists": boosted(json!({"field": field}), *boost)}),
        Query::Prefix { field, prefix, ignore_case } => {
            on_field("prefix", field, pattern_to_json(prefix, *ignore_case), *boost)
        }
        Query::Wildcard { field, pattern, ignore_case } => {
            on_field("wildcard", field, pattern_to_json(pattern, *ignore_case), *boost)
        }
        Query::Match { field, words, minimum_should_match } => {
            let query = words.iter().map(String::as_str).collect::<Vec<_>>().join(" ");
            let inner = json!({"query": query, "minimum_should_match": minimum_should_match});
            on_field("match", field, inner, *boost)
        }
        Query::ConstantScore(inner) => {
            json!({"constant_score": boosted(json!({"filter": clause_to_json(inner)}), *boost)})
        }
        Query::Bool(bool) => json!({"bool": boosted(bool_to_json(bool), *boost)}),
    }
}

/// Adds the boost to the parameters of a clause, unless it is 1.
fn boosted(mut parameters: Value, boost: f64) -> Value {
    if boost != 1.0
        && let Some(fields) = parameters.as_object_mut()
    {
        fields.insert("boost".to_owned(), json!(boost));
    }
    parameters
}

/// Builds a clause on one field, with the structure clause name, field, parameters.
fn on_field(name: &str, field: &str, parameters: Value, boost: f64) -> Value {
    let mut by_field = Map::new();
    by_field.insert(field.to_owned(), boosted(parameters, boost));
    json!({ name: by_field })
}

/// A single value is written as a `term` clause.
fn terms_to_json(field: &str, values: &BTreeSet<FieldValue>, boost: f64) -> Value {
    if let Some(value) = values.first().filter(|_| values.len() == 1) {
        return on_field("term", field, json!({"value": value.to_json()}), boost);
    }
    let mut inner = Map::new();
    inner.insert(field.to_owned(), values.iter().map(FieldValue::to_json).collect());
    json!({"terms": boosted(Value::Object(inner), boost)})
}

/// Omits empty lists of clauses.
fn bool_to_json(bool: &BoolQuery) -> Value {
    let mut inner = Map::new();
    let lists = [
        ("must", &bool.must),
        ("filter", &bool.filter),
        ("should", &bool.should),
        ("must_not", &bool.must_not),
    ];
    for (name, clauses) in lists.into_iter().filter(|(_, clauses)| !clauses.is_empty()) {
        inner.insert(name.to_owned(), clauses.iter().map(clause_to_json).collect());
    }
    if !bool.should.is_empty() {
        inner.insert("minimum_should_match".to_owned(), json!(bool.minimum_should_match));
    }
    Value::Object(inner)
}

fn pattern_to_json(pattern: &str, ignore_case: bool) -> Value {
    if ignore_case { json!({"value": pattern, "case_insensitive": true}) } else { json!({"value": pattern}) }
}

fn range_to_json(range: &RangeQuery) -> Value {
    let mut inner = Map::new();
    for (bound, [inclusive_name, exclusive_name]) in
        [(&range.lower, ["gte", "gt"]), (&range.upper, ["lte", "lt"])]
    {
        if let Some(Bound { value, inclusive }) = bound {
            let name = if *inclusive { inclusive_name } else { exclusive_name };
            inner.insert(name.to_owned(), value.to_json());
        }
    }
    Value::Object(inner)
}

/// Sorts clauses whose order has no meaning by the bytes of their canonical forms.
pub(super) fn sort_clauses(clauses: Vec<Clause>) -> Vec<Clause> {
    let mut keyed: Vec<(String, Clause)> =
        clauses.into_iter().map(|clause| (clause_to_json(&clause).to_string(), clause)).collect();
    keyed.sort_by(|a, b| a.0.cmp(&b.0));
    keyed.into_iter().map(|(_, clause)| clause).collect()
}
