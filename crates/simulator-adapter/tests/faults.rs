//! Invalid lines and events, and events for items that no longer exist.

use orchidvalve_simulator_adapter::Adapter;
use serde_json::json;

const BOOT: &str = r#"{"timeNs":0,"news":[{"verb":"boot","who":1,"nonce64":7,"conf":{"classes":[{"objectiveNs":1,"deadlineNs":2,"effect":"pure"}],"extra":{"positions":2,"reach":2}}}]}"#;

#[test]
fn an_invalid_line_is_rejected_with_its_cause() {
    let error = Adapter::default().batch("{\"timeNs\":1,").unwrap_err().to_string();
    assert!(error.starts_with("malformed line"), "{error}");
    let error = Adapter::default().batch(r#"{"timeNs":"soon","news":[]}"#).unwrap_err().to_string();
    assert!(error.contains("timeNs"), "{error}");
}

#[test]
fn an_error_of_one_instance_is_reported_in_the_output() {
    let mut adapter = Adapter::default();
    adapter.batch(BOOT).unwrap();
    for (event, expected) in [
        (r#"{"verb":"ring","who":2,"nonce":"x"}"#, "boot"),
        (r#"{"verb":"sing","who":1}"#, "sing"),
        (r#"{"verb":"knock","who":1,"xid":"a","grade":9,"validUntilNs":5,"query":1,"slice":-1}"#, "grade"),
        (r#"{"verb":"topology","who":1,"form":"total","index":1,"ref":4}"#, "list"),
        (r#"{"verb":"statusBack","who":1,"server":"nobody:1","status":"served"}"#, "nobody:1"),
    ] {
        adapter.batch(BOOT).unwrap();
        let reply = adapter.batch(&format!(r#"{{"timeNs":1,"news":[{event}]}}"#)).unwrap();
        let report = &reply["output"][0];
        assert_eq!(report["verb"], "panic", "{event}");
        assert!(report["bodyText"].as_str().unwrap().contains(expected), "{report}");
    }
}

#[test]
fn events_for_closed_queries_are_ignored() {
    let mut adapter = Adapter::default();
    adapter.batch(BOOT).unwrap();
    let late = r#"{"timeNs":1,"news":[{"verb":"lapsed","who":1,"xid":"gone"}]}"#;
    assert_eq!(adapter.batch(late).unwrap(), json!({"output": []}));
}
