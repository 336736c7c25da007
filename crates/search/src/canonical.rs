//! The one form of a query: two spellings of one meaning give the same bytes, and what it prints is read back as
//! the same query.

use serde_json::{Map, Value, json};

use crate::mapping::Term;
use crate::query::{Clause, Query, Range};

pub fn clause(clause: &Clause) -> Value {
    let Clause { query, boost } = clause;
    let boosted = |mut inner: Value| {
        if *boost != 1.0
            && let Some(fields) = inner.as_object_mut()
        {
            fields.insert("boost".to_owned(), json!(boost));
        }
        inner
    };
    let of_field = |clause: &str, field: &str, inner: Value| {
        let mut named = Map::new();
        named.insert(field.to_owned(), boosted(inner));
        json!({ clause: named })
    };
    match query {
        Query::All => json!({"match_all": boosted(json!({}))}),
        Query::None => json!({"match_none": {}}),
        Query::Ids(values) => json!({"ids": boosted(json!({"values": values}))}),
        Query::Terms(field, values) => match values.first() {
            Some(value) if values.len() == 1 => of_field("term", field, json!({"value": value.json()})),
            _ => {
                let mut inner = Map::new();
                inner.insert(field.clone(), values.iter().map(Term::json).collect());
                json!({"terms": boosted(Value::Object(inner))})
            }
        },
        Query::Range(field, range) => of_field("range", field, bounds(range)),
        Query::Exists(field) => json!({"exists": boosted(json!({"field": field}))}),
        Query::Prefix(field, value, fold) => of_field("prefix", field, pattern(value, *fold)),
        Query::Wildcard(field, value, fold) => of_field("wildcard", field, pattern(value, *fold)),
        Query::Match(field, words, least) => {
            let query = words.iter().map(String::as_str).collect::<Vec<_>>().join(" ");
            of_field("match", field, json!({"query": query, "minimum_should_match": least}))
        }
        Query::Constant(inner) => json!({"constant_score": boosted(json!({"filter": self::clause(inner)}))}),
        Query::Bool(both) => {
            let mut inner = Map::new();
            let lists = [
                ("must", &both.must),
                ("filter", &both.filter),
                ("should", &both.should),
                ("must_not", &both.must_not),
            ];
            for (name, list) in lists.into_iter().filter(|(_, list)| !list.is_empty()) {
                inner.insert(name.to_owned(), list.iter().map(self::clause).collect());
            }
            if !both.should.is_empty() {
                inner.insert("minimum_should_match".to_owned(), json!(both.least));
            }
            json!({"bool": boosted(Value::Object(inner))})
        }
    }
}

fn pattern(value: &str, fold: bool) -> Value {
    if fold { json!({"value": value, "case_insensitive": true}) } else { json!({"value": value}) }
}

fn bounds(range: &Range) -> Value {
    let mut inner = Map::new();
    for (bound, names) in [(&range.low, ["gte", "gt"]), (&range.high, ["lte", "lt"])] {
        if let Some((term, inside)) = bound {
            inner.insert(names[usize::from(!inside)].to_owned(), term.json());
        }
    }
    Value::Object(inner)
}

/// Lists of clauses in which order means nothing, in the order of their bytes.
pub fn in_order(clauses: Vec<Clause>) -> Vec<Clause> {
    let mut keyed: Vec<(String, Clause)> = clauses.into_iter().map(|c| (clause(&c).to_string(), c)).collect();
    keyed.sort_by(|a, b| a.0.cmp(&b.0));
    keyed.into_iter().map(|(_, c)| c).collect()
}
