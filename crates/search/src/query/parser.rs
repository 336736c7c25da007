//! The parser of queries.

use std::collections::BTreeSet;

use super::ast::{BoolQuery, Bound, Clause, Query, RangeQuery};
use super::canonical::sort_clauses;
use super::minimum_should_match::MinimumShouldMatch;
use crate::date::{self, Rounding};
use crate::error::{SearchError, TOO_MANY_CLAUSES};
use crate::json::{Cursor, Json};
use crate::mapping::{FieldType, FieldValue, Mapping, parse_value, tokenize};

/// The maximum number of clauses in one query, including the values of `terms`.
pub const MAX_CLAUSES: usize = 1024;
/// The maximum nesting depth of clauses.
pub const MAX_DEPTH: usize = 20;
/// Above this magnitude a double may not represent an integer exactly.
const MAX_EXACT_INTEGER: f64 = 9e15;

/// Parses clauses against the fields of an index.
pub struct QueryParser<'a> {
    mapping: &'a Mapping,
    /// The time that `now` refers to, in milliseconds since 1970.
    now: i64,
    /// The number of further clauses that are allowed.
    clauses_left: usize,
}

/// Queries that OpenSearch supports and this language does not.
const UNSUPPORTED: [&str; 37] = [
    "match_phrase",
    "match_phrase_prefix",
    "match_bool_prefix",
    "multi_match",
    "combined_fields",
    "query_string",
    "simple_query_string",
    "intervals",
    "fuzzy",
    "regexp",
    "terms_set",
    "dis_max",
    "function_score",
    "boosting",
    "nested",
    "has_child",
    "has_parent",
    "parent_id",
    "join",
    "geo_bounding_box",
    "geo_distance",
    "geo_polygon",
    "geo_shape",
    "xy_shape",
    "script",
    "script_score",
    "distance_feature",
    "rank_feature",
    "more_like_this",
    "percolate",
    "pinned",
    "wrapper",
    "span_term",
    "knn",
    "neural",
    "hybrid",
    "template",
];

/// Keys of `match` that OpenSearch supports and this language does not.
const UNSUPPORTED_IN_MATCH: [&str; 11] = [
    "analyzer",
    "auto_generate_synonyms_phrase_query",
    "fuzziness",
    "fuzzy_rewrite",
    "fuzzy_transpositions",
    "lenient",
    "max_expansions",
    "prefix_length",
    "zero_terms_query",
    "cutoff_frequency",
    "_name",
];

/// Keys of `range` that OpenSearch supports and this language does not.
const UNSUPPORTED_IN_RANGE: [&str; 7] =
    ["relation", "time_zone", "_name", "from", "to", "include_lower", "include_upper"];

/// Which bound of a range is parsed.
#[derive(Clone, Copy, Debug)]
struct BoundKind {
    /// The key of the bound, such as `gte`.
    name: &'static str,
    is_lower: bool,
    inclusive: bool,
}

impl<'a> QueryParser<'a> {
    /// Creates a parser for one query. `now` is in milliseconds since 1970.
    pub fn new(mapping: &'a Mapping, now: i64) -> QueryParser<'a> {
        QueryParser { mapping, now, clauses_left: MAX_CLAUSES }
    }

    fn count_clauses(&mut self, at: &Cursor, clauses: usize) -> Result<(), SearchError> {
        self.clauses_left = self.clauses_left.checked_sub(clauses).ok_or_else(|| {
            SearchError::new(TOO_MANY_CLAUSES, at.path(), format!("more than {MAX_CLAUSES} clauses"))
        })?;
        Ok(())
    }

    /// Parses one clause: an object whose only key is the clause's name. `depth` is the number of enclosing clauses.
    ///
    /// # Errors
    ///
    /// The clause is unknown or unsupported, names a field that the index does not have, or exceeds a limit.
    pub fn parse_clause(&mut self, at: &Cursor, depth: usize) -> Result<Clause, SearchError> {
        if depth >= MAX_DEPTH {
            let reason = format!("clauses nested over {MAX_DEPTH} deep");
            return Err(SearchError::new(TOO_MANY_CLAUSES, at.path(), reason));
        }
        self.count_clauses(at, 1)?;
        let clause = self.parse_named(at, depth)?;
        // A clause that matches nothing has no score, so its boost is dropped.
        Ok(if clause.query == Query::MatchNone { Query::MatchNone.unboosted() } else { clause })
    }

    fn parse_named(&mut self, at: &Cursor, depth: usize) -> Result<Clause, SearchError> {
        let (name, at) = at.single_field()?;
        match name {
            "match_all" => Ok(Clause { query: Query::MatchAll, boost: parse_only_boost(&at, name)? }),
            "match_none" => parse_only_boost(&at, name).map(|_| Query::MatchNone.unboosted()),
            "ids" => self.parse_ids(&at),
            "term" => self.parse_term(&at),
            "terms" => self.parse_terms(&at),
            "range" => self.parse_range(&at),
            "exists" => self.parse_exists(&at),
            "prefix" | "wildcard" => self.parse_pattern(&at, name),
            "match" => self.parse_match(&at),
            "bool" => self.parse_bool(&at, depth),
            "constant_score" => self.parse_constant_score(&at, depth),
            name if UNSUPPORTED.contains(&name) || name.starts_with("span_") => {
                Err(at.error(format!("the query '{name}' is not supported here")))
            }
            name => Err(at.error(format!("unknown query '{name}'"))),
        }
    }

    fn parse_exists(&mut self, at: &Cursor) -> Result<Clause, SearchError> {
        at.check_keys("exists", &["field", "boost"], &["_name"])?;
        let named = at.get("field").ok_or_else(|| at.error("'field' is missing"))?;
        let field = named.as_str()?;
        self.mapping.field_type(&named, field)?;
        Ok(Clause { query: Query::Exists { field: field.to_owned() }, boost: parse_boost(at)? })
    }

    fn parse_constant_score(&mut self, at: &Cursor, depth: usize) -> Result<Clause, SearchError> {
        at.check_keys("constant_score", &["filter", "boost"], &["_name"])?;
        let filter = at.get("filter").ok_or_else(|| at.error("'filter' is missing"))?;
        let inner = self.parse_clause(&filter, depth + 1)?;
        Ok(Clause { query: Query::ConstantScore(Box::new(inner)), boost: parse_boost(at)? })
    }

    fn parse_ids(&mut self, at: &Cursor) -> Result<Clause, SearchError> {
        at.check_keys("ids", &["values", "boost"], &["_name", "type"])?;
        let listed = at.get("values").ok_or_else(|| at.error("'values' is missing"))?;
        let ids = listed.items()?.map(|id| id.as_str().map(str::to_owned));
        let ids = ids.collect::<Result<BTreeSet<_>, _>>()?;
        self.count_clauses(at, ids.len().saturating_sub(1))?;
        let query = if ids.is_empty() { Query::MatchNone } else { Query::Ids(ids) };
        Ok(Clause { query, boost: parse_boost(at)? })
    }

    fn parse_term(&mut self, at: &Cursor) -> Result<Clause, SearchError> {
        let (field, given) = at.single_field()?;
        let field_type = self.mapping.field_type(&given, field)?;
        let (value, boost) = parse_with_boost(&given, "term", "value", &["case_insensitive", "_name"])?;
        let query = self.parse_equality(field, field_type, value.as_ref().unwrap_or(&given))?;
        Ok(Clause { query, boost })
    }

    /// Parses a query for one value. A date without a time, such as a day, matches its whole span.
    fn parse_equality(&self, field: &str, field_type: FieldType, at: &Cursor) -> Result<Query, SearchError> {
        let value = parse_value(field_type, at, self.now)?;
        if let (FieldType::Date, Json::String(text)) = (field_type, at.value) {
            let end = date::read(text, None, self.now, Rounding::Up).map_err(|error| at.error(error))?;
            let end = FieldValue::Integer(end);
            if end != value {
                let bound = |value| Some(Bound { value, inclusive: true });
                let range = RangeQuery { lower: bound(value), upper: bound(end) };
                return Ok(Query::Range { field: field.to_owned(), range });
            }
        }
        Ok(Query::Terms { field: field.to_owned(), values: [value].into() })
    }

    fn parse_terms(&mut self, at: &Cursor) -> Result<Clause, SearchError> {
        let mut found = None;
        for (key, given) in at.fields()? {
            match key {
                "boost" => {}
                "_name" | "value_type" => {
                    return Err(given.error(format!("'{key}' is not supported here")));
                }
                _ if found.is_some() => return Err(given.error("'terms' names one field, not two")),
                field => found = Some((field.to_owned(), self.parse_terms_of_field(field, &given)?)),
            }
        }
        let (field, values) = found.ok_or_else(|| at.error("'terms' names no field"))?;
        let query = if values.is_empty() { Query::MatchNone } else { Query::Terms { field, values } };
        Ok(Clause { query, boost: parse_boost(at)? })
    }

    fn parse_terms_of_field(
        &mut self,
        field: &str,
        given: &Cursor,
    ) -> Result<BTreeSet<FieldValue>, SearchError> {
        let field_type = self.mapping.field_type(given, field)?;
        if matches!(given.value, Json::Object(_)) {
            return Err(given.error("a look-up of terms is not supported here"));
        }
        let mut values = BTreeSet::new();
        for item in given.items()? {
            match self.parse_equality(field, field_type, &item)? {
                Query::Terms { values: one, .. } => values.extend(one),
                _ => return Err(item.error("means a span of time: ask for it as a range")),
            }
        }
        self.count_clauses(given, values.len().saturating_sub(1))?;
        Ok(values)
    }

    fn parse_range(&mut self, at: &Cursor) -> Result<Clause, SearchError> {
        let (field, given) = at.single_field()?;
        let field_type = self.mapping.field_type(&given, field)?;
        if !matches!(field_type, FieldType::Long | FieldType::Double | FieldType::Date) {
            let reason = format!("no range on '{field}', which is a {}", field_type.name());
            return Err(given.error(reason));
        }
        let known = ["gt", "gte", "lt", "lte", "format", "boost"];
        given.check_keys("range", &known, &UNSUPPORTED_IN_RANGE)?;
        let format = parse_range_format(&given, field, field_type)?;
        let bound = |inclusive: &'static str, exclusive: &'static str, is_lower: bool| {
            let (name, at, inclusive) = match (given.get(inclusive), given.get(exclusive)) {
                (None, None) => return Ok(None),
                (Some(at), None) => (inclusive, at, true),
                (None, Some(at)) => (exclusive, at, false),
                (Some(_), Some(at)) => return Err(at.error(format!("beside '{inclusive}'"))),
            };
            if *at.value == Json::Null {
                return Ok(None);
            }
            let kind = BoundKind { name, is_lower, inclusive };
            self.parse_bound(field_type, &at, kind, format.as_deref()).map(Some)
        };
        let range = RangeQuery { lower: bound("gte", "gt", true)?, upper: bound("lte", "lt", false)? };
        let query = match (&range.lower, &range.upper) {
            _ if range.is_empty() => Query::MatchNone,
            // A range without bounds matches every document that has a value.
            (None, None) => Query::Exists { field: field.to_owned() },
            _ => Query::Range { field: field.to_owned(), range },
        };
        Ok(Clause { query, boost: parse_boost(&given)? })
    }

    /// Parses a bound. Exclusive bounds of integers and dates are converted to inclusive ones.
    fn parse_bound(
        &self,
        field_type: FieldType,
        at: &Cursor,
        kind: BoundKind,
        format: Option<&str>,
    ) -> Result<Bound, SearchError> {
        let BoundKind { name, is_lower, inclusive } = kind;
        let inclusive_bound = |integer: i64| {
            let moved = match (inclusive, is_lower) {
                (true, _) => Some(integer),
                (false, true) => integer.checked_add(1),
                (false, false) => integer.checked_sub(1),
            };
            let moved = moved.ok_or_else(|| at.error(format!("nothing lies beyond '{name}' here")))?;
            Ok(Bound { value: FieldValue::Integer(moved), inclusive: true })
        };
        // `gt` a day means after its last millisecond, `lte` a day up to its last millisecond.
        let rounding = if is_lower == inclusive { Rounding::Down } else { Rounding::Up };
        match (field_type, at.value) {
            (FieldType::Double, _) => Ok(Bound { value: FieldValue::Float(at.as_f64()?), inclusive }),
            (FieldType::Date, Json::String(text)) => {
                let millis = date::read(text, format, self.now, rounding);
                inclusive_bound(millis.map_err(|error| at.error(error))?)
            }
            (FieldType::Date, Json::Integer(given)) => match format {
                Some(format) => {
                    let millis = date::read(&given.to_string(), Some(format), self.now, rounding);
                    inclusive_bound(millis.map_err(|error| at.error(error))?)
                }
                None => inclusive_bound(*given),
            },
            (FieldType::Long, Json::Float(float)) if float.abs() < MAX_EXACT_INTEGER => {
                let integer = if is_lower { float.ceil() } else { float.floor() };
                if integer == *float {
                    inclusive_bound(integer as i64)
                } else {
                    Ok(Bound { value: FieldValue::Integer(integer as i64), inclusive: true })
                }
            }
            (FieldType::Long, _) => inclusive_bound(at.as_i64()?),
            _ => Err(at.error(format!("should be a date or milliseconds, not {}", at.value.type_name()))),
        }
    }

    fn parse_pattern(&mut self, at: &Cursor, name: &str) -> Result<Clause, SearchError> {
        let (field, given) = at.single_field()?;
        let field_type = self.mapping.field_type(&given, field)?;
        if !matches!(field_type, FieldType::Keyword | FieldType::Text) {
            let reason = format!("no {name} on '{field}', which is a {}", field_type.name());
            return Err(given.error(reason));
        }
        let (mut ignore_case, mut boost, mut pattern) = (false, 1.0, None);
        if let Json::Object(_) = given.value {
            let known = ["value", "wildcard", "boost", "case_insensitive"];
            let known: Vec<&str> =
                known.into_iter().filter(|key| name == "wildcard" || *key != "wildcard").collect();
            given.check_keys(name, &known, &["rewrite", "_name"])?;
            ignore_case = given.get("case_insensitive").map_or(Ok(false), |at| at.as_bool())?;
            boost = parse_boost(&given)?;
            for value in ["value", "wildcard"].into_iter().filter_map(|key| given.get(key)) {
                if pattern.replace(value.as_str()?.to_owned()).is_some() {
                    return Err(value.error("'value' and 'wildcard' say the same thing twice"));
                }
            }
        } else {
            pattern = Some(given.as_str()?.to_owned());
        }
        let pattern = pattern.ok_or_else(|| given.error("'value' is missing"))?;
        let pattern = if ignore_case { pattern.to_lowercase() } else { pattern };
        let field = field.to_owned();
        let query = match name {
            "prefix" => Query::Prefix { field, prefix: pattern, ignore_case },
            _ => Query::Wildcard { field, pattern, ignore_case },
        };
        Ok(Clause { query, boost })
    }

    fn parse_match(&mut self, at: &Cursor) -> Result<Clause, SearchError> {
        let (field, given) = at.single_field()?;
        let field_type = self.mapping.field_type(&given, field)?;
        let (mut needs_all, mut minimum, mut boost, mut value) = (false, None, 1.0, given);
        let inner;
        if let Json::Object(_) = given.value {
            let known = ["query", "operator", "minimum_should_match", "boost"];
            given.check_keys("match", &known, &UNSUPPORTED_IN_MATCH)?;
            inner = given.get("query").ok_or_else(|| given.error("'query' is missing"))?;
            value = inner;
            if let Some(operator) = given.get("operator") {
                needs_all = parse_needs_all(&operator)?;
            }
            minimum =
                given.get("minimum_should_match").map(|at| MinimumShouldMatch::parse(&at)).transpose()?;
            boost = parse_boost(&given)?;
        }
        if field_type != FieldType::Text {
            if needs_all || minimum.is_some() {
                let reason = format!("'{field}' has no words to count: it is a {}", field_type.name());
                return Err(given.error(reason));
            }
            let query = self.parse_equality(field, field_type, &value)?;
            return Ok(Clause { query, boost });
        }
        let words: BTreeSet<String> = tokenize(value.as_str()?).into_iter().collect();
        self.count_clauses(&value, words.len().saturating_sub(1))?;
        let minimum_should_match = match (needs_all, minimum) {
            (true, _) => words.len(),
            (false, None) => 1,
            (false, Some(minimum)) => minimum.of(words.len()).max(1),
        };
        let query = match words.len() {
            0 => Query::MatchNone,
            total if minimum_should_match > total => Query::MatchNone,
            _ => Query::Match { field: field.to_owned(), words, minimum_should_match },
        };
        Ok(Clause { query, boost })
    }

    fn parse_bool(&mut self, at: &Cursor, depth: usize) -> Result<Clause, SearchError> {
        let known = ["must", "filter", "should", "must_not", "minimum_should_match", "boost"];
        at.check_keys("bool", &known, &["adjust_pure_negative", "_name"])?;
        let mut parse_list = |name| -> Result<Vec<Clause>, SearchError> {
            let Some(listed) = at.get(name) else { return Ok(Vec::new()) };
            listed.items_or_self().iter().map(|at| self.parse_clause(at, depth + 1)).collect()
        };
        let (must, filter) = (parse_list("must")?, parse_list("filter")?);
        let (should, must_not) = (parse_list("should")?, parse_list("must_not")?);
        let minimum_should_match = match at.get("minimum_should_match") {
            Some(at) => MinimumShouldMatch::parse(&at)?.of(should.len()),
            None if must.is_empty() && filter.is_empty() && !should.is_empty() => 1,
            None => 0,
        };
        let boost = parse_boost(at)?;
        Ok(simplify_bool(BoolQuery { must, filter, should, must_not, minimum_should_match }, boost))
    }
}

/// Returns the clause for a combination, simplified where possible.
fn simplify_bool(mut bool: BoolQuery, boost: f64) -> Clause {
    if bool.minimum_should_match > bool.should.len() {
        return Query::MatchNone.unboosted();
    }
    let has_only_must = bool.filter.is_empty() && bool.should.is_empty() && bool.must_not.is_empty();
    if has_only_must && bool.must.is_empty() {
        return Clause { query: Query::MatchAll, boost };
    }
    if has_only_must && bool.must.len() == 1 && boost == 1.0 {
        return bool.must.swap_remove(0);
    }
    let mut bool = BoolQuery {
        must: sort_clauses(bool.must),
        filter: sort_clauses(bool.filter),
        should: sort_clauses(bool.should),
        must_not: sort_clauses(bool.must_not),
        minimum_should_match: bool.minimum_should_match,
    };
    // A repeated filter has no effect, whereas a repeated scoring clause counts each time.
    bool.filter.dedup();
    bool.must_not.dedup();
    Clause { query: Query::Bool(Box::new(bool)), boost }
}

/// Parses the date format of a range.
fn parse_range_format(
    range: &Cursor,
    field: &str,
    field_type: FieldType,
) -> Result<Option<String>, SearchError> {
    let Some(at) = range.get("format") else { return Ok(None) };
    if field_type != FieldType::Date {
        return Err(at.error(format!("no format for '{field}', which is a {}", field_type.name())));
    }
    let format = at.as_str()?;
    date::check_format(format).map_err(|error| at.error(error))?;
    Ok(Some(format.to_owned()))
}

/// Returns whether an operator requires all words.
fn parse_needs_all(operator: &Cursor) -> Result<bool, SearchError> {
    match operator.as_str()? {
        "or" | "OR" => Ok(false),
        "and" | "AND" => Ok(true),
        other => Err(operator.error(format!("no operator '{other}': 'and' or 'or'"))),
    }
}

/// Parses the boost of a clause that has no other parameters.
fn parse_only_boost(at: &Cursor, name: &str) -> Result<f64, SearchError> {
    at.check_keys(name, &["boost"], &["_name"])?;
    parse_boost(at)
}

fn parse_boost(at: &Cursor) -> Result<f64, SearchError> {
    let Some(at) = at.get("boost") else { return Ok(1.0) };
    let boost = at.as_f64()?;
    if boost.is_finite() && boost >= 0.0 { Ok(boost) } else { Err(at.error("should be 0 or above")) }
}

/// Parses the value of a clause, which is given directly or in an object together with a boost.
fn parse_with_boost<'a>(
    given: &'a Cursor<'a>,
    what: &str,
    name: &'a str,
    unsupported: &[&str],
) -> Result<(Option<Cursor<'a>>, f64), SearchError> {
    if !matches!(given.value, Json::Object(_)) {
        return Ok((None, 1.0));
    }
    given.check_keys(what, &[name, "boost"], unsupported)?;
    let value = given.get(name).ok_or_else(|| given.error(format!("'{name}' is missing")))?;
    Ok((Some(value), parse_boost(given)?))
}
