//! Which queries are supported, which are rejected and with which path, and that parsing and printing keep the meaning.

use orchidvalve_search::evaluate::{Document, score, search};
use orchidvalve_search::json::MAX_BODY_BYTES;
use orchidvalve_search::mapping::Mapping;
use orchidvalve_search::request::{CreateRequest, SearchRequest, ShardRequest};
use orchidvalve_search::response::{ShardResult, TotalHits, UnusableResponse, merge};
use orchidvalve_search::routes::{RouteClass, Routes, RoutingContext, ShardWeight, StoreProtocol};
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::{Config, RngSeed};
use serde_json::{Value, json};

const DAY: i64 = 86_400_000;

fn mapping() -> Mapping {
    let fields = [
        ("customer", "keyword"),
        ("notes", "text"),
        ("crew", "long"),
        ("cost", "double"),
        ("paid", "boolean"),
        ("start", "date"),
        ("van.plate", "keyword"),
    ];
    Mapping::from_names(&fields).unwrap()
}

fn read(body: &Value) -> Result<SearchRequest, orchidvalve_search::error::SearchError> {
    SearchRequest::read(body.to_string().as_bytes(), "jobs", &mapping(), 100 * DAY)
}

fn exactly(value: u64) -> TotalHits {
    TotalHits { value, is_exact: true }
}

fn canonical(query: Value) -> String {
    read(&json!({"query": query})).unwrap().canonical()
}

#[test]
fn two_spellings_of_one_query_have_one_canonical_form() {
    let same = [
        (json!({"term": {"customer": "c7"}}), json!({"terms": {"customer": ["c7", "c7"]}})),
        (json!({"range": {"crew": {"gt": 2, "lt": 5}}}), json!({"range": {"crew": {"lte": 4, "gte": 2.5}}})),
        (
            json!({"match": {"notes": "Piano  two"}}),
            json!({"match": {"notes": {"query": "two piano", "operator": "or"}}}),
        ),
        (
            json!({"match": {"notes": {"query": "a b c", "operator": "and"}}}),
            json!({"match": {"notes": {"query": "c b a", "minimum_should_match": "100%"}}}),
        ),
        (json!({"range": {"start": {"gte": "now-7d/d"}}}), json!({"range": {"start": {"gte": 93 * DAY}}})),
        (
            json!({"range": {"start": {"lt": "1970-01-03"}}}),
            json!({"range": {"start": {"lte": 2 * DAY - 1, "format": "epoch_millis"}}}),
        ),
        (
            json!({"bool": {"should": [{"term": {"paid": true}}, {"exists": {"field": "crew"}}]}}),
            json!({"bool": {"minimum_should_match": 1,
                            "should": [{"exists": {"field": "crew"}}, {"term": {"paid": {"value": true}}}]}}),
        ),
        (json!({"bool": {"filter": []}}), json!({"match_all": {}})),
        (
            json!({"term": {"start": "1970-01-02"}}),
            json!({"range": {"start": {"gte": "1970-01-02", "lte": "1970-01-02"}}}),
        ),
    ];
    for (one, other) in same {
        assert_eq!(canonical(one.clone()), canonical(other.clone()), "{one} and {other}");
    }
    assert_ne!(canonical(json!({"term": {"cost": 1.0}})), canonical(json!({"term": {"cost": 1.5}})));
}

#[test]
fn unsupported_queries_are_rejected_with_their_path() {
    let rejected = [
        (json!({"query": {"fuzzy": {"customer": "c"}}}), "query.fuzzy", "not supported"),
        (json!({"query": {"trem": {"customer": "c"}}}), "query.trem", "unknown query"),
        (json!({"query": {"term": {"colour": "red"}}}), "query.term.colour", "no field 'colour'"),
        (json!({"query": {"term": {"crew": "4"}}}), "query.term.crew", "a whole number"),
        (
            json!({"query": {"term": {"customer": {"value": "c", "boots": 2}}}}),
            "query.term.customer.boots",
            "no key",
        ),
        (json!({"query": {"range": {"notes": {"gte": "a"}}}}), "query.range.notes", "no range"),
        (json!({"query": {"range": {"crew": {"gte": 1, "gt": 1}}}}), "query.range.crew.gt", "beside 'gte'"),
        (json!({"query": {"range": {"start": {"gte": "soon"}}}}), "query.range.start.gte", "no date"),
        (json!({"query": {"term": {"paid": true}, "ids": {"values": []}}}), "query", "one key"),
        (json!({"query": {"bool": {"must_nut": []}}}), "query.bool.must_nut", "no key"),
        (
            json!({"query": {"bool": {"must": [{"match_all": {}}, {"bool": {"should": {"prefix": {"crew": "1"}}}}]}}}),
            "query.bool.must[1].bool.should.prefix.crew",
            "no prefix",
        ),
        (
            json!({"query": {"constant_score": {"filter": {"match": {"notes": {"query": "a", "fuzziness": 1}}}}}}),
            "query.constant_score.filter.match.notes.fuzziness",
            "not supported",
        ),
        (json!({"from": 10}), "from", "not supported"),
        (json!({"aggs": {}}), "aggs", "not supported"),
        (json!({"size": 10_001}), "size", "10000"),
        (json!({"sort": [{"notes": "asc"}]}), "sort[0].notes", "a text"),
        (json!({"sort": ["_doc"]}), "sort[0]", "no sort"),
        (json!({"timeout": "5"}), "timeout", "unit"),
    ];
    for (body, path, reason) in rejected {
        let error = read(&body).expect_err(&body.to_string());
        assert_eq!(error.path, path, "{error}");
        assert!(error.reason.contains(reason) && error.status == 400, "{error}");
    }
    let error = |body: &str| SearchRequest::read(body.as_bytes(), "jobs", &mapping(), 0).unwrap_err();
    let twice = error(r#"{"query":{"term":{"crew":1,"crew":2}}}"#);
    assert!(twice.reason.contains("'crew' is there twice") && twice.path.starts_with("query"), "{twice}");
    assert!(error(&" ".repeat(MAX_BODY_BYTES + 1).replace(' ', "x")).reason.contains("65536"));
    assert!(error(r#"{"size":1} {}"#).reason.contains("trailing"));
}

#[test]
fn too_many_or_too_deeply_nested_clauses_are_rejected() {
    let deep = |n| (0..n).fold(json!({"match_all": {}}), |inner, _| json!({"bool": {"must_not": inner}}));
    assert!(read(&json!({"query": deep(19)})).is_ok());
    assert!(read(&json!({"query": deep(20)})).unwrap_err().reason.contains("20 deep"));
    let wide = |n: usize| json!({"query": {"terms": {"crew": (0..n).collect::<Vec<_>>()}}});
    assert!(read(&wide(1024)).is_ok());
    assert_eq!(read(&wide(1025)).unwrap_err().kind, "too_many_clauses");
}

fn document(n: u64) -> Document {
    let notes = ["Piano up", "two stairs", "piano"][n as usize % 3];
    let mut source = json!({
        "customer": format!("c{}", n % 5), "notes": notes,
        "crew": n % 4, "cost": n as f64 / 4.0, "start": n as i64 * DAY, "van": {"plate": format!("AB{}", n % 2)},
    });
    if n.is_multiple_of(2) {
        source["paid"] = json!(n.is_multiple_of(3));
    }
    Document::new(&format!("d{n:02}"), source, &mapping()).unwrap()
}

fn matching_documents(query: Value) -> Vec<u64> {
    let search = read(&json!({"query": query})).unwrap();
    (0..12).filter(|&n| score(&search.query, &document(n)).is_some()).collect()
}

#[test]
fn each_kind_of_clause_matches_the_expected_documents() {
    assert_eq!(matching_documents(json!({"term": {"customer": "c3"}})), [3, 8]);
    assert_eq!(
        matching_documents(json!({"match": {"notes": {"query": "PIANO up", "operator": "and"}}})),
        [0, 3, 6, 9]
    );
    assert_eq!(matching_documents(json!({"term": {"notes": "stairs"}})), [1, 4, 7, 10]);
    assert_eq!(matching_documents(json!({"range": {"cost": {"gt": 2, "lte": 2.5}}})), [9, 10]);
    assert_eq!(
        matching_documents(json!({"range": {"start": {"gte": "1970-01-02", "lte": "1970-01-03"}}})),
        [1, 2]
    );
    assert_eq!(
        matching_documents(json!({"bool": {"must_not": {"exists": {"field": "paid"}}}})),
        [1, 3, 5, 7, 9, 11]
    );
    assert_eq!(
        matching_documents(json!({"wildcard": {"van.plate": {"value": "ab?", "case_insensitive": true}}}))
            .len(),
        12
    );
    assert!(matching_documents(json!({"prefix": {"van.plate": "ab"}})).is_empty());
    assert_eq!(matching_documents(json!({"ids": {"values": ["d04", "d99"]}})), [4]);
    let two = json!({"bool": {"minimum_should_match": 2, "should": [
        {"term": {"crew": 1}}, {"term": {"customer": "c1"}}, {"term": {"paid": true}}]}});
    assert_eq!(matching_documents(two), [1, 6]);
}

#[test]
fn an_incomplete_response_names_its_missing_shards_and_counts_no_more_than_it_has() {
    let search = read(&json!({"size": 3, "sort": [{"crew": "desc"}]})).unwrap();
    let text = |ids: &[u64]| {
        let documents: Vec<Document> = ids.iter().map(|&n| document(n)).collect();
        orchidvalve_search::evaluate::search(&search, documents.iter()).text()
    };
    let (one, two) = (text(&[0, 3]), text(&[7, 2, 11]));
    let whole = merge(&search, &[(0, Some(&one)), (1, Some(&two))]);
    let ids: Vec<&str> = whole.hits.iter().map(|h| &*h.id).collect();
    assert_eq!((ids, whole.total), (vec!["d03", "d07", "d11"], Some(exactly(5))));
    let short = merge(&search, &[(0, Some(&one)), (1, None), (2, Some("{spoilt"))]);
    let response: Value = serde_json::from_str(&short.response("jobs", 7)).unwrap();
    assert_eq!(response["timed_out"], json!(true));
    assert_eq!(response["hits"]["total"], json!({"value": 2, "relation": "gte"}));
    let shards = &response["_shards"];
    assert_eq!(
        [&shards["total"], &shards["successful"], &shards["failed"]],
        [&json!(3), &json!(1), &json!(2)]
    );
    assert_eq!([&shards["failures"][0]["shard"], &shards["failures"][1]["shard"]], [&json!(1), &json!(2)]);
    assert!(short.count("jobs").contains("\"relation\":\"gte\""));
}

#[test]
fn a_duplicate_id_in_a_shard_is_one_hit_and_counts_once() {
    let text = r#"{"total":{"value":3,"relation":"eq"},"max_score":1.0,
        "hits":[{"_id":"a","_score":1.0},{"_id":"a","_score":1.0},{"_id":"b","_score":1.0}]}"#;
    let merged = merge(&read(&json!({})).unwrap(), &[(0, Some(text))]);
    assert_eq!((merged.hits.len(), merged.total), (2, Some(exactly(2))));
}

#[test]
fn a_response_with_status_200_that_is_incomplete_is_not_used() {
    let body = |shards: Value, timed_out: bool| {
        json!({"took": 1, "timed_out": timed_out, "_shards": shards, "hits": {"max_score": null, "hits": []}})
            .to_string()
    };
    let whole = json!({"total": 1, "successful": 1, "skipped": 0, "failed": 0});
    assert!(ShardResult::of_response(body(whole.clone(), false).as_bytes()).is_ok());
    let failed = json!({"total": 1, "successful": 0, "skipped": 0, "failed": 1});
    for body in [body(whole, true), body(failed, false)] {
        assert!(
            matches!(ShardResult::of_response(body.as_bytes()), Err(UnusableResponse::Incomplete(_))),
            "{body}"
        );
    }
    assert!(matches!(ShardResult::of_response(b"{\"took\":1}"), Err(UnusableResponse::Malformed(_))));
}

const ROUTES: &str = r#"
[index.jobs]
grade = "look"
create = "hold"
slices = "routing"
fields = { customer = "keyword" }
[index.vans]
grade = "look"
slices = "all"
weights = [1.0, 1.0, 2.0, 4.0]
fields = { plate = "keyword" }
[[stores]]
flavor = "os-*"
locality = "a"
wire = "search"
"#;

fn routing_context() -> RoutingContext {
    let class = |name: &str, has_idempotency_key| RouteClass { name: name.into(), has_idempotency_key };
    RoutingContext { classes: vec![class("look", false), class("hold", true)], shards: 4 }
}

#[test]
fn a_query_is_routed_only_to_the_shards_of_its_routing_values() {
    let routes = Routes::read(ROUTES, &routing_context()).unwrap();
    let (jobs, vans) = (routes.index("jobs").unwrap(), routes.index("vans").unwrap());
    let home = jobs.document_shard("j1", Some("c7")).unwrap();
    let asked = |shard, weight| ShardWeight { shard, weight };
    assert_eq!(jobs.shard_weights(Some("c7,c7"), None).unwrap(), [asked(home, 1.0)]);
    assert_eq!(vans.shard_weights(None, Some("_shards:1,3")).unwrap(), [asked(1, 0.2), asked(3, 0.8)]);
    for error in [
        jobs.shard_weights(None, None),
        jobs.shard_weights(Some("c7,"), None),
        vans.shard_weights(Some("c7"), None),
    ] {
        assert_eq!(error.unwrap_err().path, "routing");
    }
    for preference in ["_local", "_shards:9", "me"] {
        assert_eq!(vans.shard_weights(None, Some(preference)).unwrap_err().path, "preference");
    }
    assert_eq!(routes.index("job").unwrap_err().status, 404);
    assert_eq!(routes.store_protocol("s-1", "os-2", "a"), StoreProtocol::Search);
    assert_eq!(routes.store_protocol("s-1", "os-2", "b"), StoreProtocol::Frames);
}

#[test]
fn an_invalid_routes_file_is_rejected_with_the_key() {
    let broken = [
        ("grade = \"look\"", "grade = \"hold\"", "index.jobs.grade: the grade 'hold' wants a receipt"),
        ("create = \"hold\"", "create = \"look\"", "index.jobs.create: the grade 'look' takes no receipt"),
        ("\"routing\"", "\"some\"", "index.jobs.slices: 'some'"),
        ("\"routing\"", "[0, 4]", "index.jobs.slices: no slice 4 among 4"),
        ("\"routing\"", "[1, 1]", "index.jobs.slices: a list names one slice"),
        ("4.0]", "0]", "index.vans.weights"),
        (
            "= \"keyword\" }\n[index.vans]",
            "= \"keywrd\" }\n[index.vans]",
            "index.jobs.fields.customer: TOML parse error at line 6",
        ),
        ("grade = \"look\"", "grad = \"look\"", "unknown field `grad`"),
        ("flavor = \"os-*\"\nlocality = \"a\"\n", "", "stores[0]: should name"),
        ("wire = \"search\"", "wire = \"sea\"", "unknown variant `sea`"),
    ];
    for (valid, corrupted, error) in broken {
        assert!(ROUTES.contains(valid), "{valid}");
        let rejected = Routes::read(&ROUTES.replacen(valid, corrupted, 1), &routing_context()).unwrap_err();
        assert!(rejected.to_string().contains(error), "{rejected}");
    }
}

#[test]
fn a_document_that_does_not_fit_the_mapping_is_rejected() {
    let create = |body: &str| CreateRequest::read(body.as_bytes(), "jobs", "j1", None, &mapping());
    assert!(create(r#"{"crew": [1, 2], "van": {"plate": null}}"#).is_ok());
    assert_eq!(create(r#"{"crew": [1, "2"]}"#).unwrap_err().path, "crew[1]");
    assert_eq!(create(r#"{"van": {"seats": 2}}"#).unwrap_err().path, "van.seats");
}

#[test]
fn two_spellings_of_a_document_have_one_canonical_form() {
    let canonical = |body: &str| {
        CreateRequest::read(body.as_bytes(), "jobs", "j1", Some("c1"), &mapping()).unwrap().canonical()
    };
    let one = canonical(r#"{"customer": "c1", "van": {"plate": "x"}, "crew": [2, 1]}"#);
    let other = canonical(r#"{"crew":[2,1],"van":{"plate":"x"},"customer":"c1"}"#);
    assert_eq!(one, other);
    assert_ne!(one, canonical(r#"{"crew":[1,2],"van":{"plate":"x"},"customer":"c1"}"#));
}

fn clause() -> impl Strategy<Value = Value> {
    let text = select(vec!["c1", "c3", "piano", "Two stairs", "", "ΑΣ İ", "a*b?"]);
    let number = prop_oneof![(-3i64..9).prop_map(|n| json!(n)), (-3.0f64..9.0).prop_map(|n| json!(n))];
    let leaf = prop_oneof![
        Just(json!({"match_all": {"boost": 0.3}})),
        Just(json!({"match_none": {}})),
        text.clone().prop_map(|t| json!({"term": {"customer": t}})),
        (text.clone(), -3i64..4)
            .prop_map(|(t, n)| json!({"match": {"notes": {"query": t, "minimum_should_match": n}}})),
        (text.clone(), any::<bool>())
            .prop_map(|(t, f)| json!({"wildcard": {"notes": {"value": t, "case_insensitive": f}}})),
        text.prop_map(|t| json!({"prefix": {"customer": {"value": t, "boost": 1.7}}})),
        (number.clone(), 0i64..9)
            .prop_map(|(n, m)| json!({"range": {"cost": {"gt": n, "lte": m, "boost": 0.1}}})),
        number.prop_map(|n| json!({"range": {"crew": {"gte": n}}})),
        (0i64..9).prop_map(|d| json!({"range": {"start": {"lt": format!("now-{d}d/d")}}})),
        proptest::collection::vec(0i64..4, 0..4).prop_map(|v| json!({"terms": {"crew": v}})),
    ];
    leaf.prop_recursive(4, 24, 4, |inner| {
        let list = proptest::collection::vec(inner.clone(), 0..3);
        prop_oneof![
            inner.prop_map(|c| json!({"constant_score": {"filter": c, "boost": 2.5}})),
            (list.clone(), list.clone(), list.clone(), list, -2i64..3, any::<bool>()).prop_map(
                |(m, f, s, n, least, set)| {
                    let mut both = json!({"must": m, "filter": f, "should": s, "must_not": n, "boost": 1.1});
                    if set {
                        both["minimum_should_match"] = json!(least);
                    }
                    json!({"bool": both})
                }
            ),
        ]
    })
}

fn many() -> Config {
    Config { cases: 300, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(many())]

    #[test]
    fn what_is_printed_is_read_back_as_the_same_and_finds_the_same(query in clause()) {
        let search = read(&json!({"query": query, "size": 5, "sort": ["crew", "_score"]})).unwrap();
        let text = search.canonical();
        let ShardRequest::Search(again) = ShardRequest::read(&text, |_| Some(Box::leak(Box::new(mapping())))).unwrap() else {
            panic!("{text}")
        };
        prop_assert_eq!(&again, &search);
        prop_assert_eq!(again.canonical(), text);
        let documents: Vec<Document> = (0..12).map(document).collect();
        let partial = orchidvalve_search::evaluate::search(&search, documents.iter());
        let again = ShardResult::read(&partial.text()).unwrap();
        prop_assert_eq!(again.text(), partial.text());
    }

    #[test]
    fn the_split_of_documents_over_shards_changes_no_response(query in clause(), cut in 0u64..12) {
        let search = read(&json!({"query": query, "size": 4})).unwrap();
        let text = |range: std::ops::Range<u64>| {
            let documents: Vec<Document> = range.map(document).collect();
            orchidvalve_search::evaluate::search(&search, documents.iter()).text()
        };
        let (left, right, all) = (text(0..cut), text(cut..12), text(0..12));
        let split = merge(&search, &[(0, Some(&left)), (1, Some(&right))]).response("jobs", 0);
        let whole = merge(&search, &[(0, Some(&all))]).response("jobs", 0);
        let hits = |text: &str| serde_json::from_str::<Value>(text).unwrap()["hits"].take();
        prop_assert_eq!(hits(&split), hits(&whole));
    }

    #[test]
    fn a_body_with_a_byte_changed_is_refused_or_means_what_it_says(query in clause(), with in any::<u8>()) {
        let body = json!({"query": query}).to_string();
        for at in 0..body.len() {
            let mut bytes = body.clone().into_bytes();
            bytes[at] = with;
            let Ok(search) = SearchRequest::read(&bytes, "jobs", &mapping(), 100 * DAY) else { continue };
            // An accepted body is valid JSON for another parser too, and its canonical form can be parsed.
            let other: Value = serde_json::from_slice(&bytes).unwrap();
            prop_assert_eq!(read(&other).unwrap().canonical(), search.canonical());
        }
    }
}

#[test]
fn the_score_of_a_search_orders_its_hits() {
    let request = read(&json!({"query": {"match": {"notes": "piano up"}}, "size": 2})).unwrap();
    let documents: Vec<Document> = (0..6).map(document).collect();
    let ids: Vec<String> = search(&request, documents.iter()).hits.into_iter().map(|h| h.id).collect();
    assert_eq!(ids, ["d00", "d03"]);
}
