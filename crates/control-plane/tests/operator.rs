//! The API for operators and trainers: every kind of request with its response, and each field missing or malformed.

use orchidvalve_control_plane::operator_api::{
    OperatorRequest, OperatorResponse, change_response, parse_request,
};
use orchidvalve_control_plane::peer_messages::RequestOutcome;
use orchidvalve_control_state::Change;
use orchidvalve_http::{MessageLimits, Request, RequestReader};
use rstest::rstest;
use serde_json::Value;

fn request(method: &str, target: &str, headers: &str, body: &str) -> Request {
    let length = body.len();
    let text = format!(
        "{method} {target} HTTP/1.1\r\nHost: control\r\nContent-Length: {length}\r\n{headers}\r\n{body}"
    );
    let limits = MessageLimits { header_bytes: 1 << 16, body_bytes: 1 << 20 };
    RequestReader::default().read(text.as_bytes(), &limits).unwrap().request.unwrap()
}

fn read(method: &str, target: &str, headers: &str, body: &str) -> Result<OperatorRequest, OperatorResponse> {
    parse_request(&request(method, target, headers, body))
}

fn replace(base: u64) -> OperatorRequest {
    OperatorRequest::Change(Change::Replace { base, body: b"{}".to_vec() })
}

#[rstest]
#[case::read_configuration("GET", "/v1/configuration", "", "", OperatorRequest::ReadConfiguration)]
#[case::read_with_query("GET", "/v1/configuration?x=1", "", "", OperatorRequest::ReadConfiguration)]
#[case::replace("PUT", "/v1/configuration", "If-Match: 5\r\n", "{}", replace(5))]
#[case::replace_first("PUT", "/v1/configuration", "If-Match: 0\r\n", "{}", replace(0))]
#[case::quoted("PUT", "/v1/configuration", "if-match: \"5\"\r\n", "{}", replace(5))]
#[case::a_malformed_body_is_checked_by_the_control_state("PUT", "/v1/configuration", "If-Match: 1\r\n", "{",
    OperatorRequest::Change(Change::Replace { base: 1, body: b"{".to_vec() }))]
#[case::patch("PATCH", "/v1/configuration", "If-Match: 7\r\n", "{}",
    OperatorRequest::Change(Change::Patch { base: 7, body: b"{}".to_vec() }))]
#[case::name_version("POST", "/v1/version-put", "", r#"{"model":"daka","config-version":2}"#,
    OperatorRequest::Change(Change::NameVersion { model: "daka".to_owned(), version: 2 }))]
#[case::name_version_with_more("POST", "/v1/version-put", "", r#"{"model":"daka","config-version":2,"x":[]}"#,
    OperatorRequest::Change(Change::NameVersion { model: "daka".to_owned(), version: 2 }))]
#[case::retire("POST", "/v1/retire/storage-1", "", r#"{"duration-s":10}"#,
    OperatorRequest::Retire { node: "storage-1".to_owned() })]
#[case::read_retirement("GET", "/v1/retire/storage-1", "", "",
    OperatorRequest::ReadRetirement { node: "storage-1".to_owned() })]
#[case::status("GET", "/v1/status", "", "", OperatorRequest::ReadStatus)]
fn requests_are_parsed(
    #[case] method: &str,
    #[case] target: &str,
    #[case] headers: &str,
    #[case] body: &str,
    #[case] expected: OperatorRequest,
) {
    assert_eq!(read(method, target, headers, body), Ok(expected));
}

#[rstest]
#[case::base_missing("PUT", "/v1/configuration", "", "{}", 400, "If-Match")]
#[case::base_empty("PUT", "/v1/configuration", "If-Match:\r\n", "{}", 400, "If-Match")]
#[case::base_text("PUT", "/v1/configuration", "If-Match: five\r\n", "{}", 400, "If-Match")]
#[case::base_negative("PUT", "/v1/configuration", "If-Match: -1\r\n", "{}", 400, "If-Match")]
#[case::base_too_large(
    "PUT",
    "/v1/configuration",
    "If-Match: 18446744073709551616\r\n",
    "{}",
    400,
    "If-Match"
)]
#[case::base_any("PUT", "/v1/configuration", "If-Match: *\r\n", "{}", 400, "If-Match")]
#[case::base_of_patch_missing("PATCH", "/v1/configuration", "", "{}", 400, "If-Match")]
#[case::base_of_patch_text("PATCH", "/v1/configuration", "If-Match: x\r\n", "{}", 400, "If-Match")]
#[case::not_json("POST", "/v1/version-put", "", "model", 400, "JSON")]
#[case::no_body("POST", "/v1/version-put", "", "", 400, "JSON")]
#[case::cut_off("POST", "/v1/version-put", "", r#"{"model":"daka","config-version":2"#, 400, "JSON")]
#[case::model_missing("POST", "/v1/version-put", "", r#"{"config-version":2}"#, 400, "model")]
#[case::model_number("POST", "/v1/version-put", "", r#"{"model":1,"config-version":2}"#, 400, "model")]
#[case::version_missing("POST", "/v1/version-put", "", r#"{"model":"daka"}"#, 400, "config-version")]
#[case::version_zero(
    "POST",
    "/v1/version-put",
    "",
    r#"{"model":"daka","config-version":0}"#,
    400,
    "config-version"
)]
#[case::version_negative(
    "POST",
    "/v1/version-put",
    "",
    r#"{"model":"daka","config-version":-2}"#,
    400,
    "config-version"
)]
#[case::version_text(
    "POST",
    "/v1/version-put",
    "",
    r#"{"model":"daka","config-version":"2"}"#,
    400,
    "config-version"
)]
#[case::version_fraction(
    "POST",
    "/v1/version-put",
    "",
    r#"{"model":"daka","config-version":2.5}"#,
    400,
    "config-version"
)]
#[case::a_list("POST", "/v1/version-put", "", "[]", 400, "model")]
#[case::delete_configuration("DELETE", "/v1/configuration", "", "", 405, "method")]
#[case::post_configuration("POST", "/v1/configuration", "If-Match: 1\r\n", "{}", 405, "method")]
#[case::get_version("GET", "/v1/version-put", "", "", 405, "method")]
#[case::post_status("POST", "/v1/status", "", "", 405, "method")]
#[case::delete_retirement("DELETE", "/v1/retire/storage-1", "", "", 405, "method")]
#[case::root("GET", "/", "", "", 404, "no such call")]
#[case::longer_path("GET", "/v1/configuration/x", "", "", 404, "no such call")]
#[case::other_case("GET", "/V1/configuration", "", "", 404, "no such call")]
#[case::retire_without_a_name("POST", "/v1/retire/", "", "", 404, "no such call")]
#[case::retirement_without_a_name("GET", "/v1/retire/", "", "", 404, "no such call")]
#[case::retire_without_slash("POST", "/v1/retire", "", "", 404, "no such call")]
fn invalid_requests_get_an_error_response(
    #[case] method: &str,
    #[case] target: &str,
    #[case] headers: &str,
    #[case] body: &str,
    #[case] status: u16,
    #[case] part: &str,
) {
    let response = read(method, target, headers, body).unwrap_err();
    let document: Value = serde_json::from_slice(&response.body).unwrap();
    assert_eq!(response.status, status);
    assert!(document["error"].as_str().unwrap().contains(part), "{document}");
}

#[rstest]
#[case::done(RequestOutcome::Done, 200)]
#[case::other_version(RequestOutcome::VersionConflict { reason: "why".to_owned() }, 412)]
#[case::invalid(RequestOutcome::Invalid { reason: "why".to_owned() }, 400)]
#[case::not_found(RequestOutcome::NotFound { reason: "why".to_owned() }, 404)]
#[case::conflict(RequestOutcome::Conflict { reason: "why".to_owned() }, 409)]
#[case::outcome_unknown(RequestOutcome::Unknown, 503)]
fn each_outcome_has_its_status(#[case] outcome: RequestOutcome, #[case] status: u16) {
    let response = change_response(&outcome);
    assert_eq!(response.status, status);
    let document: Value = serde_json::from_slice(&response.body).unwrap();
    match outcome {
        RequestOutcome::Done => assert_eq!(document, serde_json::json!({})),
        RequestOutcome::Unknown => assert!(document["error"].is_string()),
        _ => assert_eq!(document["error"], "why"),
    }
}

#[rstest]
#[case::configuration(OperatorRequest::ReadConfiguration, true)]
#[case::retirement(OperatorRequest::ReadRetirement { node: "storage-1".to_owned() }, true)]
#[case::status(OperatorRequest::ReadStatus, false)]
#[case::retire(OperatorRequest::Retire { node: "storage-1".to_owned() }, false)]
#[case::change(replace(4), false)]
fn only_reads_of_the_control_state_need_a_member(#[case] request: OperatorRequest, #[case] reads: bool) {
    assert_eq!(request.is_read(), reads);
}

#[test]
fn a_redirect_keeps_the_complete_target() {
    let response = OperatorResponse::redirect("10.0.0.4:8080".parse().unwrap(), "/v1/configuration?x=1");
    assert_eq!(response.status, 307);
    assert_eq!(response.location.as_deref(), Some("http://10.0.0.4:8080/v1/configuration?x=1"));
}
