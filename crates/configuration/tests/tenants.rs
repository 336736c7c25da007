//! Tenants and their API keys, public routes, and bounds of scaling.

use orchidvalve_configuration::{Configuration, ConfigurationError, RouteTable, Scaling, Tenant};
use orchidvalve_protocol::time_limit::TimeLimit;
use rstest::rstest;
use serde_json::{Value, json};

fn document() -> Value {
    json!({
        "config-version": 7,
        "routes": [
            {"name": "open", "hostname": "a.example", "path-prefix": "/open/", "service": "blue", "public": true},
            {"name": "closed", "hostname": "a.example", "path-prefix": "/closed/", "service": "blue"},
        ],
        "services": [
            {"name": "blue", "scaling": {"min-count": 2, "max-count": 6, "boot-s": 4.5}},
            {"name": "green"},
        ],
        "tenants": [
            {"name": "first", "api-keys": ["key-1", "key-2"], "priority": 1},
            {"name": "second", "api-keys": ["key-3"]},
            {"name": "without keys"},
        ],
    })
}

fn put(document: &Value) -> Result<Configuration, ConfigurationError> {
    Configuration::replace(document.to_string().as_bytes(), None)
}

fn tenant_of_key<'t>(routes: &'t RouteTable, key: &str) -> Option<&'t str> {
    routes.tenants().expect("tenants").by_key(key).map(|tenant| tenant.name.as_str())
}

#[rstest]
#[case::first_key("key-1", Some("first"))]
#[case::second_key("key-2", Some("first"))]
#[case::other_tenant("key-3", Some("second"))]
#[case::unknown("key-4", None)]
#[case::other_case("KEY-1", None)]
#[case::beginning("key-", None)]
#[case::longer("key-1 ", None)]
#[case::empty("", None)]
fn a_key_must_match_exactly(#[case] key: &str, #[case] tenant: Option<&str>) {
    assert_eq!(tenant_of_key(put(&document()).unwrap().routes(), key), tenant);
}

#[test]
fn tenants_keep_their_names_and_priorities() {
    let configuration = put(&document()).unwrap();
    let tenants = configuration.routes().tenants().unwrap();
    assert_eq!(tenants.by_name("first"), Some(&Tenant { name: "first".into(), priority: Some(1) }));
    assert_eq!(tenants.by_name("second"), Some(&Tenant { name: "second".into(), priority: None }));
    assert_eq!(tenants.tenants().len(), 3);
    assert_eq!(tenants.key_count(), 3);
}

#[test]
fn a_missing_tenant_list_differs_from_an_empty_one() {
    let mut none = document();
    none.as_object_mut().unwrap().remove("tenants");
    assert!(put(&none).unwrap().routes().tenants().is_none());
    none["tenants"] = json!([]);
    assert!(put(&none).unwrap().routes().tenants().is_some_and(|table| table.tenants().is_empty()));
}

#[test]
fn routes_are_public_only_if_configured() {
    let configuration = put(&document()).unwrap();
    let public: Vec<bool> = configuration.routes().routes().iter().map(|route| route.public).collect();
    assert_eq!(public, [true, false]);
}

#[test]
fn scaling_bounds_are_parsed() {
    let configuration = put(&document()).unwrap();
    let scaling: Vec<_> =
        configuration.routes().services().iter().map(|service| service.scaling.clone()).collect();
    assert_eq!(
        scaling,
        [Some(Scaling { min_count: 2, max_count: 6, boot: TimeLimit::from_millis(4_500) }), None]
    );
}

#[rstest]
#[case::of_two_tenants("/tenants/1/api-keys/0", json!("key-2"), "tenants[1].api-keys[0]", "tenants[0].api-keys[1]")]
#[case::of_tenants_apart("/tenants/2/api-keys", json!(["key-1"]), "tenants[2].api-keys[0]", "tenants[0].api-keys[0]")]
fn a_shared_key_is_rejected_and_not_disclosed(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] path: &str,
    #[case] other: &str,
) {
    let mut document = document();
    document["tenants"][2]["api-keys"] = json!([]);
    *document.pointer_mut(pointer).unwrap() = value;
    let error = put(&document).unwrap_err();
    let expected = ConfigurationError::SharedKey { path: path.into(), other: other.into() };
    assert_eq!(error, expected);
    assert!(!error.to_string().contains("key-"));
    assert_eq!(error.status(), 400);
}

#[test]
fn a_key_listed_twice_for_a_tenant_is_accepted() {
    let mut document = document();
    document["tenants"][0]["api-keys"] = json!(["key-1", "key-1"]);
    assert_eq!(tenant_of_key(put(&document).unwrap().routes(), "key-1"), Some("first"));
}

#[rstest]
#[case::name_twice("/tenants/1/name", json!("first"), "tenants[1].name")]
#[case::name_missing("/tenants/1", json!({"api-keys": []}), "tenants[1].name")]
#[case::name_empty("/tenants/1/name", json!(""), "tenants[1].name")]
#[case::name_of_two_lines("/tenants/1/name", json!("a\r\nb"), "tenants[1].name")]
#[case::name_no_text("/tenants/1/name", json!(5), "tenants[1].name")]
#[case::key_empty("/tenants/1/api-keys", json!([""]), "tenants[1].api-keys[0]")]
#[case::key_no_text("/tenants/1/api-keys", json!(["key-9", 5]), "tenants[1].api-keys[1]")]
#[case::keys_no_list("/tenants/1/api-keys", json!("key-9"), "tenants[1].api-keys")]
#[case::priority("/tenants/0/priority", json!(-1), "tenants[0].priority")]
#[case::tenants_no_list("/tenants", json!({}), "tenants")]
#[case::public("/routes/0/public", json!("yes"), "routes[0].public")]
#[case::scaling_bounds("/services/0/scaling/min-count", json!(7), "services[0].scaling")]
#[case::scaling_most("/services/0/scaling", json!({"min-count": 1}), "services[0].scaling.max-count")]
fn invalid_values_are_rejected_by_path(#[case] pointer: &str, #[case] value: Value, #[case] path: &str) {
    let mut document = document();
    *document.pointer_mut(pointer).unwrap() = value;
    let message = put(&document).unwrap_err().to_string();
    assert!(message.starts_with(&format!("{path}: ")), "{message}");
}

#[test]
fn patches_add_move_and_remove_keys() {
    let first = put(&document()).unwrap();
    let patch = json!({
        "config-version": 9,
        "upsert": {"tenants": [
            {"name": "first", "api-keys": ["key-2"]},
            {"name": "second", "api-keys": ["key-3", "key-1"]},
            {"name": "third", "api-keys": ["key-5"]},
        ]},
        "remove": {"tenants": ["without keys"]},
    });
    let second = Configuration::patch(patch.to_string().as_bytes(), Some(&first)).unwrap();
    assert_eq!(tenant_of_key(second.routes(), "key-1"), Some("second"));
    assert_eq!(tenant_of_key(second.routes(), "key-2"), Some("first"));
    assert_eq!(tenant_of_key(second.routes(), "key-5"), Some("third"));
    assert!(second.routes().tenants().unwrap().by_name("without keys").is_none());
    let patch = json!({"config-version": 10, "remove": {"tenants": ["second"]}});
    let third = Configuration::patch(patch.to_string().as_bytes(), Some(&second)).unwrap();
    assert_eq!(tenant_of_key(third.routes(), "key-1"), None, "the keys of a removed tenant are removed");
    assert_eq!(tenant_of_key(second.routes(), "key-1"), Some("second"), "the previous table is unchanged");
}

#[test]
fn debug_output_of_routes_contains_no_keys() {
    let configuration = put(&document()).unwrap();
    let output = format!("{:?}", configuration.routes());
    assert!(output.contains("second") && !output.contains("key-"), "{output}");
}

// Guards against UNASKED: whoever reads a log could use a key that it contains.
#[test]
fn debug_output_of_a_configuration_contains_no_keys() {
    let configuration = put(&document()).unwrap();
    let text = format!("{configuration:?}");
    assert!(text.contains("first") && !text.contains("key-1"), "{text}");
}

#[rstest]
#[case::of_the_tenant(Some("first"), 1)]
#[case::tenant_without_one(Some("second"), 4)]
#[case::removed_tenant(Some("fourth"), 4)]
#[case::no_tenant(None, 4)]
fn the_priority_of_a_tenant_overrides_that_of_the_route(#[case] tenant: Option<&str>, #[case] expected: u32) {
    let mut document = document();
    document["routes"][1]["priority"] = json!(4);
    let configuration = put(&document).unwrap();
    let routes = configuration.routes();
    assert_eq!(routes.priority(&routes.routes()[1], tenant), expected);
}

#[rstest]
#[case::as_configured("a.example", 2)]
#[case::other_case_and_port("A.Example:8080", 2)]
#[case::unknown("b.example", 0)]
fn routes_are_found_by_their_host(#[case] host: &str, #[case] expected: usize) {
    let configuration = put(&document()).unwrap();
    assert_eq!(configuration.routes().routes_of_host(host).count(), expected);
}
