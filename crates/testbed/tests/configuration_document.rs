//! Which configurations the system has to accept.

use orchidvalve_testbed::configuration_document::is_valid;
use rstest::rstest;
use serde_json::{Value, json};

/// Guards against scenarios that take the refusal of an invalid configuration for a fault: of several changes of keys, one
/// may be refused because another operator was faster, and a later one then moves a key that still has its owner.
#[rstest]
#[case::own_keys(json!([{"name": "a", "api-keys": ["k1", "k2"]}, {"name": "b", "api-keys": ["k3"]}]), true)]
#[case::shared_key(json!([{"name": "a", "api-keys": ["k1", "k2"]}, {"name": "b", "api-keys": ["k2"]}]), false)]
#[case::listed_twice(json!([{"name": "a", "api-keys": ["k1", "k1"]}]), true)]
#[case::no_keys(json!([{"name": "a"}, {"name": "b", "api-keys": []}]), true)]
#[case::no_tenants(Value::Null, true)]
fn an_api_key_has_one_owner(#[case] tenants: Value, #[case] expected: bool) {
    let document = json!({"config-version": 1, "routes": [], "services": [], "tenants": tenants});
    assert_eq!(is_valid(&document), expected);
}

#[rstest]
#[case("blue", true)]
#[case("red", false)]
fn routes_name_known_services(#[case] service: &str, #[case] expected: bool) {
    let route = json!({"name": "r", "service": service});
    let document = json!({"config-version": 1, "routes": [route], "services": [{"name": "blue"}]});
    assert_eq!(is_valid(&document), expected);
}
