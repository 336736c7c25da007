//! Paths and types in the errors of `ValueReader`.

use orchidvalve_configuration::reader::ValueReader;
use rstest::rstest;
use serde_json::{Value, json};

#[test]
fn errors_name_the_path_of_nested_values() {
    let document = json!({"routes": [{}, {"split": [{"weight": "heavy"}]}]});
    let root = ValueReader::root(&document);
    let routes = root.field("routes").unwrap();
    let route = routes.items().unwrap().nth(1).unwrap();
    let split = route.field("split").unwrap();
    let part = split.items().unwrap().next().unwrap();
    let weight = part.field("weight").unwrap();
    assert_eq!(weight.path(), "routes[1].split[0].weight");
    let error = weight.unsigned().unwrap_err();
    assert_eq!(error.to_string(), "routes[1].split[0].weight: must be a whole number of zero or more");
    let error = part.field("service").err().unwrap();
    assert_eq!(error.path, "routes[1].split[0].service");
}

#[test]
fn the_path_of_the_root_is_document_and_fields_omit_it() {
    let document = json!([]);
    let root = ValueReader::root(&document);
    assert_eq!(root.path(), "document");
    assert_eq!(root.field("a").err().unwrap().to_string(), "document: must be a JSON object");
    let document = json!({});
    assert_eq!(ValueReader::root(&document).field("a").err().unwrap().path, "a");
}

#[test]
fn nested_lists_have_index_paths() {
    let document = json!([[1, 2], ["x"]]);
    let root = ValueReader::root(&document);
    let inner = root.items().unwrap().nth(1).unwrap();
    let value = inner.items().unwrap().next().unwrap();
    assert_eq!(value.path(), "[1][0]");
}

#[test]
fn null_counts_as_missing() {
    let document = json!({"a": null});
    let root = ValueReader::root(&document);
    assert!(root.optional("a").unwrap().is_none());
    assert!(root.field("a").is_err());
}

#[rstest]
#[case(json!(0), Some(0))]
#[case(json!(7), Some(7))]
#[case(json!(7.0), Some(7))]
#[case(json!(u64::MAX), Some(u64::MAX))]
#[case(json!(-1), None)]
#[case(json!(7.5), None)]
#[case(json!(1e300), None)]
#[case(json!("7"), None)]
#[case(json!(true), None)]
#[case(json!([7]), None)]
fn integers(#[case] value: Value, #[case] expected: Option<u64>) {
    assert_eq!(ValueReader::root(&value).unsigned().ok(), expected);
}

#[rstest]
#[case(json!(0.5), Some(0.5))]
#[case(json!(3), Some(3.0))]
#[case(json!(-0.5), None)]
#[case(json!("0.5"), None)]
fn numbers(#[case] value: Value, #[case] expected: Option<f64>) {
    assert_eq!(ValueReader::root(&value).number().ok(), expected);
}

#[rstest]
#[case(json!(0), Some(0))]
#[case(json!(7.0), Some(7))]
#[case(json!(4_294_967_295_u64), Some(u32::MAX))]
#[case::more_than_32_bits(json!(4_294_967_296_u64), Some(u32::MAX))]
#[case::largest_whole_number(json!(9_223_372_036_854_775_807_u64), Some(u32::MAX))]
#[case::largest_float(json!(1.7e308), Some(u32::MAX))]
#[case(json!(-1), None)]
#[case(json!(7.5), None)]
#[case(json!("7"), None)]
fn counts(#[case] value: Value, #[case] expected: Option<u32>) {
    assert_eq!(ValueReader::root(&value).count().ok(), expected);
}

#[rstest]
#[case(json!("x"), true, true)]
#[case(json!(""), true, false)]
#[case(json!(1), false, false)]
fn strings(#[case] value: Value, #[case] text: bool, #[case] non_empty: bool) {
    assert_eq!(ValueReader::root(&value).text().is_ok(), text);
    assert_eq!(ValueReader::root(&value).non_empty_text().is_ok(), non_empty);
}

#[rstest]
#[case(json!(true), Some(true))]
#[case(json!(false), Some(false))]
#[case(json!(1), None)]
#[case(json!("true"), None)]
fn booleans(#[case] value: Value, #[case] expected: Option<bool>) {
    assert_eq!(ValueReader::root(&value).flag().ok(), expected);
}
