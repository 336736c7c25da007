//! The commands that check configurations and settings files without sending requests.

use orchidvalve_ctl::{CommandError, check};
use rstest::rstest;
use serde_json::{Value, json};

use crate::support::{File, run_command};

fn valid() -> Value {
    json!({
        "config-version": 7,
        "routes": [
            {"name": "one", "hostname": "a.example", "path-prefix": "/one/", "route-type": "idempotent",
             "timeout-ms": 800, "service": "blue"},
            {"name": "two", "hostname": "a.example", "path-prefix": "/two/",
             "traffic-split": [{"service": "blue", "weight": 90}, {"service": "green", "weight": 10}]}
        ],
        "services": [
            {"name": "blue", "health-path": "/health", "engine": {"slots": 4, "models": [{"name": "large"}]}},
            {"name": "green"}
        ],
        "limits": {"max-header-bytes": 16384}
    })
}

fn changed(changes: &[(&str, Value)]) -> Value {
    let mut document = valid();
    for (pointer, value) in changes {
        let (parent, field) = pointer.rsplit_once('/').unwrap();
        match document.pointer_mut(parent).unwrap() {
            Value::Object(fields) if value.is_null() => drop(fields.remove(field)),
            Value::Object(fields) => drop(fields.insert(field.to_owned(), value.clone())),
            Value::Array(items) => items[field.parse::<usize>().unwrap()] = value.clone(),
            _ => panic!("{pointer} leads nowhere"),
        }
    }
    document
}

fn paths(document: &Value) -> Vec<String> {
    let errors = check::errors(document.to_string().as_bytes());
    errors.iter().map(|error| error.split_once(": ").unwrap().0.to_owned()).collect()
}

#[test]
fn a_valid_configuration_has_no_errors() {
    assert_eq!(paths(&valid()), Vec::<String>::new());
}

#[rstest]
#[case::no_version(&[("/config-version", Value::Null)], &["config-version"])]
#[case::version_zero(&[("/config-version", json!(0))], &["config-version"])]
#[case::no_services(&[("/services", Value::Null)], &["services", "routes[0].service",
    "routes[1].traffic-split[0].service", "routes[1].traffic-split[1].service"])]
#[case::no_routes(&[("/routes", Value::Null)], &["routes"])]
#[case::nameless(&[("/services/1/name", json!(3)), ("/routes/0/name", json!(""))],
    &["services[1].name", "routes[0].name", "routes[1].traffic-split[1].service"])]
#[case::same_names(&[("/routes/1/name", json!("one"))], &["routes[1].name"])]
#[case::same_place(&[("/routes/1/path-prefix", json!("/one/"))], &["routes[1]"])]
#[case::prefix(&[("/routes/1/path-prefix", json!("two")), ("/routes/0/path-prefix", Value::Null)],
    &["routes[0].path-prefix", "routes[1].path-prefix"])]
#[case::no_time(&[("/routes/0/timeout-ms", json!(0))], &["routes[0].timeout-ms"])]
#[case::several_in_one(
    &[("/routes/0/timeout-ms", json!("long")), ("/routes/0/service", json!("red")),
      ("/routes/0/resumable", json!("yes")), ("/routes/0/hostname", json!([]))],
    &["routes[0].hostname", "routes[0].timeout-ms", "routes[0].service", "routes[0].resumable"]
)]
#[case::unknown_twice(
    &[("/routes/0/service", json!("red")), ("/routes/1/traffic-split/1/service", json!("red"))],
    &["routes[0].service", "routes[1].traffic-split[1].service"]
)]
#[case::service_missing(&[("/routes/0/service", Value::Null)], &["routes[0].service"])]
#[case::no_weight(
    &[("/routes/1/traffic-split/0/weight", json!(0)), ("/routes/1/traffic-split/1/weight", json!(0))],
    &["routes[1].traffic-split"]
)]
#[case::no_list(&[("/routes/1/traffic-split", json!("blue"))], &["routes[1].traffic-split"])]
#[case::no_objects(&[("/routes/0", json!(1)), ("/services/1", json!([]))],
    &["services[1]", "routes[0]", "routes[1].traffic-split[1].service"])]
#[case::engine(&[("/services/0/engine/slots", json!(-1)), ("/services/0/engine/models", json!([{}])),
    ("/limits/max-header-bytes", json!("much"))],
    &["services[0].engine.models[0].name", "services[0].engine.slots", "limits.max-header-bytes"])]
#[case::limits(&[("/limits", json!(5))], &["limits"])]
fn every_error_is_reported_with_its_path(#[case] changes: &[(&str, Value)], #[case] expected: &[&str]) {
    assert_eq!(paths(&changed(changes)), expected);
}

#[rstest]
#[case::cut(b"{\"config-version\": 7")]
#[case::no_text(b"\xff\xfe")]
fn malformed_json_is_one_error(#[case] body: &[u8]) {
    let errors = check::errors(body);
    assert_eq!(errors.len(), 1);
    assert!(errors[0].contains("send it again in full"), "{errors:?}");
}

#[rstest]
#[case::list("[]")]
#[case::number("7")]
fn a_document_that_is_not_an_object_is_one_error(#[case] body: &str) {
    assert_eq!(check::errors(body.as_bytes()), ["document: must be a JSON object"]);
}

#[test]
fn errors_beside_a_large_integer_are_reported() {
    let wrong =
        changed(&[("/routes/0/timeout-ms", json!("long")), ("/limits/max-header-bytes", json!("huge"))]);
    let errors = check::errors(wrong.to_string().replace(r#""huge""#, "99999999999999999999").as_bytes());
    assert_eq!(errors.len(), 2, "{errors:?}");
    assert!(errors[0].starts_with("max-header-bytes: the integer 99999999999999999999"), "{errors:?}");
    assert!(errors[1].starts_with("routes[0].timeout-ms: must be a number"), "{errors:?}");
}

#[test]
fn errors_are_bounded() {
    let route =
        |n: usize| json!({"name": format!("r{n}"), "hostname": "a", "path-prefix": "wrong", "service": "s"});
    let routes: Vec<Value> = (0..check::MAX_ERRORS + 20).map(route).collect();
    let document = json!({"config-version": 1, "services": [{"name": "s"}], "routes": routes});
    assert_eq!(check::errors(document.to_string().as_bytes()).len(), check::MAX_ERRORS);
}

#[test]
fn the_command_reports_all_errors_and_fails() {
    let wrong = changed(&[("/routes/0/timeout-ms", json!(0)), ("/routes/1/path-prefix", json!("two"))]);
    let file = File::new("wrong.json", &wrong.to_string());
    let error = run_command(&["check", file.path()]).unwrap_err();
    assert!(
        matches!(&error, CommandError::InvalidConfiguration { errors, .. } if errors.len() == 2),
        "{error}"
    );
    let message = error.to_string();
    assert!(message.contains("routes[0].timeout-ms: must be above 0"), "{message}");
    assert!(message.contains("routes[1].path-prefix: must begin and end with a slash"), "{message}");
}

#[test]
fn the_command_reports_a_valid_configuration() {
    let file = File::new("valid.json", &valid().to_string());
    assert!(run_command(&["check", file.path()]).unwrap().ends_with("valid.json: no errors\n"));
}

#[rstest]
#[case::check("check")]
#[case::settings("settings")]
fn a_missing_file_is_named(#[case] command: &str) {
    let error = run_command(&[command, "/nowhere/at-all"]).unwrap_err();
    assert!(matches!(error, CommandError::Unreadable { .. }));
    assert!(error.to_string().starts_with("/nowhere/at-all: cannot be read"), "{error}");
}

const SETTINGS: &str = "node-name=edge-1\nip-address=10.0.0.1\nzone=a\ninternal-port-range=7660,7675\n";

#[test]
fn valid_settings_are_reported() {
    let file = File::new("good.conf", SETTINGS);
    assert!(
        run_command(&["settings", file.path()]).unwrap().ends_with("the settings of edge-1 can be used\n")
    );
}

#[test]
fn invalid_settings_are_reported_with_their_line() {
    let file = File::new("bad.conf", &format!("{SETTINGS}bootstrap=perhaps\n"));
    let error = run_command(&["settings", file.path()]).unwrap_err();
    assert!(matches!(error, CommandError::Settings(_)));
    assert!(error.to_string().contains("line 5: bootstrap=perhaps is not true or false"), "{error}");
}
