//! Each command against a stub server: the requests that it sends, its output, and its errors.

use orchidvalve_ctl::{CommandError, Timing, arguments, run};
use rstest::rstest;
use serde_json::json;

use crate::stub_server::{Reply, StubServer, response, run_command_at, unused_address};
use crate::support::{File, parsed, run_command, timing};

const CONFIGURATION: &str = r#"{"config-version":3,"routes":[],"services":[]}"#;

fn request(method: &str, target: &str, body: &str) -> (String, String, String) {
    (method.to_owned(), target.to_owned(), body.to_owned())
}

fn control(server: &StubServer, line: &[&str]) -> Result<String, CommandError> {
    run_command_at("--control", &[server.address], line)
}

fn gateway(server: &StubServer, line: &[&str]) -> Result<String, CommandError> {
    run_command_at("--door", &[server.address], line)
}

#[test]
fn get_prints_the_configuration_unchanged() {
    let server = StubServer::start(vec![response(200, CONFIGURATION)]);
    assert_eq!(control(&server, &["get"]).unwrap(), format!("{CONFIGURATION}\n"));
    assert_eq!(server.seen(), [request("GET", "/v1/configuration", "")]);
}

#[rstest]
#[case::put("put", "PUT", CONFIGURATION)]
#[case::patch("patch", "PATCH", r#"{"config-version":3,"remove":{"routes":["old"]}}"#)]
fn a_change_is_sent_with_its_base_version(#[case] command: &str, #[case] method: &str, #[case] body: &str) {
    let server = StubServer::start(vec![response(200, "{}")]);
    let file = File::new(&format!("{command}.json"), body);
    let output = control(&server, &[command, file.path(), "--base", "2"]).unwrap();
    assert_eq!(output, "taken on top of version 2\n");
    assert_eq!(server.seen(), [request(method, "/v1/configuration", body)]);
    assert_eq!(server.header("if-match").as_deref(), Some("2"));
}

#[test]
fn a_configuration_with_errors_is_not_sent() {
    let server = StubServer::start(vec![response(200, "{}")]);
    let file = File::new("errors.json", r#"{"config-version":0,"services":[]}"#);
    let error = control(&server, &["put", "--base", "0", file.path()]).unwrap_err();
    assert!(
        matches!(&error, CommandError::InvalidConfiguration { errors, .. } if errors.len() == 2),
        "{error}"
    );
    assert_eq!(server.seen(), []);
}

#[rstest]
#[case::invalid(
    400,
    r#"{"error":"routes: is missing; send this field"}"#,
    "routes: is missing; send this field"
)]
#[case::none_yet(404, r#"{"error":"there is no configuration yet"}"#, "there is no configuration yet")]
#[case::other_version(412, r#"{"error":"version 5 is current, not 2"}"#, "version 5 is current, not 2")]
#[case::plain_text(405, "other methods", "other methods")]
#[case::no_reason(409, "", "see the log of that node")]
fn a_rejection_is_reported_with_its_reason(#[case] status: u16, #[case] body: &str, #[case] reason: &str) {
    let server = StubServer::start(vec![response(status, body)]);
    let error = control(&server, &["get"]).unwrap_err();
    assert!(matches!(&error, CommandError::Rejected { status: s, .. } if *s == status), "{error}");
    assert!(error.to_string().contains(reason), "{error}");
}

fn inconclusive_replies() -> Vec<Reply> {
    vec![
        response(503, r#"{"error":"can't be sure now"}"#),
        response(500, ""),
        response(408, ""),
        response(429, ""),
        Reply::Close,
        Reply::Bytes(b"no HTTP at all\r\n\r\n"),
        Reply::Bytes(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"),
        Reply::Bytes(b"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}"),
        Reply::Bytes(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\n{}: 1\r\n\r\n{}"),
        Reply::Bytes(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nNa me: 1\r\n\r\n",
        ),
        Reply::Bytes(b"HTTP/1.1 200 OK\r\nNa me: 1\r\nContent-Length: 2\r\n\r\n{}"),
        Reply::Respond(307, Vec::new(), String::new()),
        Reply::Respond(307, vec![("Location", "elsewhere".to_owned())], String::new()),
    ]
}

#[test]
fn an_inconclusive_response_leads_to_the_next_address() {
    for reply in inconclusive_replies() {
        let (first, second) =
            (StubServer::start(vec![reply]), StubServer::start(vec![response(200, CONFIGURATION)]));
        let got = run_command_at("--control", &[first.address, second.address], &["get"]);
        assert_eq!(got.unwrap(), format!("{CONFIGURATION}\n"));
        assert_eq!((first.seen().len(), second.seen().len()), (1, 1));
    }
}

#[test]
fn a_refused_connection_and_a_response_timeout_lead_to_the_next_address() {
    let (unresponsive, third) =
        (StubServer::start(vec![Reply::Silence]), StubServer::start(vec![response(200, CONFIGURATION)]));
    let addresses = [unused_address(), unresponsive.address, third.address];
    assert!(run_command_at("--control", &addresses, &["get"]).is_ok());
    assert_eq!((unresponsive.seen().len(), third.seen().len()), (1, 1));
}

#[test]
fn a_change_is_sent_again_unchanged() {
    let server = StubServer::start(vec![response(503, ""), response(200, "{}")]);
    let file = File::new("again.json", CONFIGURATION);
    control(&server, &["put", file.path(), "--base", "2"]).unwrap();
    let seen = server.seen();
    assert_eq!(seen.len(), 2);
    assert_eq!(seen[0], seen[1]);
}

#[test]
fn the_reason_of_the_last_attempt_is_reported() {
    let server = StubServer::start((0..3).map(|_| response(503, r#"{"error":"not sure"}"#)).collect());
    let error = control(&server, &["get"]).unwrap_err();
    assert!(matches!(&error, CommandError::NoResponse { attempts: 3, .. }), "{error}");
    assert!(error.to_string().contains("answered 503 (not sure)"), "{error}");
    assert!(error.to_string().contains("run the command again"), "{error}");
}

/// Returns servers that each redirect to the next one; the last one responds with the configuration.
fn redirecting(count: usize) -> Vec<StubServer> {
    let mut servers = vec![StubServer::start(vec![response(200, CONFIGURATION)])];
    for _ in 0..count {
        let location = format!("http://{}/v1/configuration", servers[0].address);
        let reply = Reply::Respond(307, vec![("Location", location)], String::new());
        servers.insert(0, StubServer::start(vec![reply]));
    }
    servers
}

#[test]
fn two_redirections_are_followed() {
    let servers = redirecting(2);
    assert!(control(&servers[0], &["get"]).is_ok());
    assert!(servers.iter().all(|server| server.seen().len() == 1));
}

#[test]
fn a_third_redirection_leads_to_the_next_address() {
    let servers = redirecting(3);
    let next = StubServer::start(vec![response(200, CONFIGURATION)]);
    assert!(run_command_at("--control", &[servers[0].address, next.address], &["get"]).is_ok());
    let request_counts: Vec<usize> = servers.iter().map(|server| server.seen().len()).collect();
    assert_eq!((request_counts, next.seen().len()), (vec![1, 1, 1, 0], 1));
}

fn status() -> serde_json::Value {
    json!({
        "name": "edge-b-1", "in-touch": true, "epoch": 4,
        "chain": ["10.0.0.1:7660/0a0b", "10.0.0.2:7660/0c0d"], "voters": ["10.0.0.1:7660/0a0b"],
        "duties": "10.0.0.1:7660/0a0b", "change": 12, "configuration": 7, "versions": {"large": 3},
        "members": [
            {"name": "storage-a-1", "zone": "a", "role": "store"},
            {"name": "edge-b-1", "zone": "b", "role": "door"}
        ],
        "partitions": [{"epoch": 2, "members": ["10.0.1.1:7660/0001", "10.0.1.2:7660/0002"], "learners": []}],
        "servers": 6
    })
}

const TABLE: &str = "\
asked          edge-b-1, in touch with a majority
epoch          4
chain          10.0.0.1:7660/0a0b -> 10.0.0.2:7660/0c0d
voters         10.0.0.1:7660/0a0b
duties         10.0.0.1:7660/0a0b
change         12
configuration  7
servers        6

MODEL  VERSION
large  3

MEMBER       ROLE   ZONE
edge-b-1     door   b
storage-a-1  store  a

PARTITION  EPOCH  CHAIN                                     LEARNERS
0          2      10.0.1.1:7660/0001 -> 10.0.1.2:7660/0002  -
";

#[test]
fn status_is_a_table() {
    let server = StubServer::start(vec![response(200, &status().to_string())]);
    assert_eq!(control(&server, &["status"]).unwrap(), TABLE);
    assert_eq!(server.seen(), [request("GET", "/v1/status", "")]);
}

#[test]
fn status_shows_missing_contact_with_a_majority_and_missing_roles() {
    let mut status = status();
    status["in-touch"] = json!(false);
    status["duties"] = json!(null);
    let server = StubServer::start(vec![response(200, &status.to_string())]);
    let table = control(&server, &["status"]).unwrap();
    assert!(table.contains("NOT in touch with a majority"), "{table}");
    assert!(table.contains("duties         nobody\n"), "{table}");
}

#[rstest]
#[case::some(json!({"unaccepted": [7, 9], "last-decided": 9}), "decided through window 9, 2 not accepted")]
#[case::none(json!({"unaccepted": []}), "none decided")]
fn status_shows_the_state_of_usage_reports(#[case] usage: serde_json::Value, #[case] expected: &str) {
    let mut status = status();
    status["usage"] = usage;
    let server = StubServer::start(vec![response(200, &status.to_string())]);
    let table = control(&server, &["status"]).unwrap();
    assert!(table.contains(&format!("servers        6\nusage          {expected}\n")), "{table}");
}

#[test]
fn status_as_json_is_the_complete_response() {
    let server = StubServer::start(vec![response(200, &status().to_string())]);
    let text = control(&server, &["status", "--json"]).unwrap();
    assert_eq!(serde_json::from_str::<serde_json::Value>(&text).unwrap(), status());
}

#[rstest]
#[case::name("name")]
#[case::in_touch("in-touch")]
#[case::chain("chain")]
#[case::versions("versions")]
#[case::members("members")]
#[case::partitions("partitions")]
fn a_missing_field_of_the_status_is_named(#[case] field: &str) {
    let mut status = status();
    status.as_object_mut().unwrap().remove(field);
    let server = StubServer::start(vec![response(200, &status.to_string())]);
    let error = control(&server, &["status"]).unwrap_err();
    assert!(matches!(error, CommandError::UnexpectedResponse { .. }), "{error}");
    assert!(error.to_string().contains(&format!("{field}: is missing")), "{error}");
}

#[test]
fn a_model_version_is_set() {
    let server = StubServer::start(vec![response(200, "{}")]);
    assert_eq!(control(&server, &["name-version", "large", "8"]).unwrap(), "noted: version 8 of large\n");
    assert_eq!(
        server.seen(),
        [request("POST", "/v1/version-put", r#"{"model":"large","config-version":8}"#)]
    );
}

const RETIRE: &str = "/v1/retire/storage-a-1";

#[test]
fn a_store_node_is_retired() {
    let server = StubServer::start(vec![response(200, "{}")]);
    let output = control(&server, &["retire", "storage-a-1", "--seconds", "10"]).unwrap();
    assert!(output.starts_with("storage-a-1 is being emptied"), "{output}");
    assert_eq!(server.seen(), [request("POST", RETIRE, r#"{"duration-s":10}"#)]);
}

#[test]
fn waiting_ends_once_the_store_node_is_empty() {
    let state = |state: &str| response(200, &json!({"state": state}).to_string());
    let replies = vec![
        response(200, "{}"),
        state("in_progress"),
        response(503, ""),
        state("in_progress"),
        state("completed"),
    ];
    let server = StubServer::start(replies);
    let output = control(&server, &["retire", "storage-a-1", "--seconds", "600", "--wait"]).unwrap();
    assert_eq!(output, "storage-a-1 is empty: it may be removed\n");
    assert_eq!(server.seen().len(), 5);
    assert_eq!(server.seen()[4], request("GET", RETIRE, ""));
}

#[test]
fn waiting_ends_at_the_deadline() {
    let server = StubServer::start(vec![response(200, "{}"), response(200, r#"{"state":"in_progress"}"#)]);
    let error = control(&server, &["retire", "storage-a-1", "--seconds", "0", "--wait"]).unwrap_err();
    assert!(matches!(error, CommandError::RetirementUnfinished { .. }), "{error}");
    assert!(error.to_string().contains("only once it is empty"), "{error}");
}

#[rstest]
#[case::unknown(404, "no storage machine has this name")]
#[case::too_few(409, "too few storage machines would be left")]
fn a_rejected_retirement_is_reported(#[case] status: u16, #[case] reason: &str) {
    let server = StubServer::start(vec![response(status, &json!({"error": reason}).to_string())]);
    let error = control(&server, &["retire", "storage-a-1", "--seconds", "9", "--wait"]).unwrap_err();
    assert!(error.to_string().contains(reason), "{error}");
    assert_eq!(server.seen().len(), 1);
}

#[test]
fn an_unknown_state_of_a_retirement_is_an_error() {
    let server = StubServer::start(vec![response(200, "{}"), response(200, r#"{"state":"perhaps"}"#)]);
    let error = control(&server, &["retire", "storage-a-1", "--seconds", "9", "--wait"]).unwrap_err();
    assert!(matches!(error, CommandError::UnexpectedResponse { .. }), "{error}");
}

const FIRST_PAGE: &str = r#"{"total":3,"next-token":2,"results":[
    {"instance-id":"a1","state":"completed","message":"x\ny","weight-versions":[6,7],"score":"3e.1"},
    {"instance-id":"a2","state":"expired","message":"","weight-versions":[]}]}"#;
const SECOND_PAGE: &str = r#"{"total":3,"next-token":3,"results":[
    {"instance-id":"a3","state":"completed","message":"z","weight-versions":[7],"score":"3e.2"}]}"#;

#[test]
fn all_pages_of_results_are_shown() {
    let server = StubServer::start(vec![response(200, FIRST_PAGE), response(200, SECOND_PAGE)]);
    let expected = "    0  a1  completed  3 bytes  versions [6,7]  scored\n    \
                    1  a2  expired  0 bytes  versions []  no score\n    \
                    2  a3  completed  1 bytes  versions [7]  scored\n\
                    3 of 3 results\n";
    assert_eq!(gateway(&server, &["job", "7c41"]).unwrap(), expected);
    let targets =
        [request("GET", "/v1/lots/7c41?after-seq=0", ""), request("GET", "/v1/lots/7c41?after-seq=2", "")];
    assert_eq!(server.seen(), targets);
}

#[test]
fn an_open_job_is_shown_with_its_results_so_far() {
    let empty = r#"{"total":3,"next-token":2,"results":[]}"#;
    let server = StubServer::start(vec![response(200, FIRST_PAGE), response(200, empty)]);
    assert!(gateway(&server, &["job", "7c41"]).unwrap().ends_with("2 of 3 results\n"));
}

#[test]
fn results_as_json_are_one_per_line() {
    let server = StubServer::start(vec![response(200, FIRST_PAGE), response(200, SECOND_PAGE)]);
    let text = gateway(&server, &["job", "--json", "7c41"]).unwrap();
    let lines: Vec<serde_json::Value> = text.lines().map(|l| serde_json::from_str(l).unwrap()).collect();
    assert_eq!(
        lines.iter().map(|l| l["instance-id"].as_str().unwrap()).collect::<Vec<_>>(),
        ["a1", "a2", "a3"]
    );
}

#[rstest]
#[case::no_json("no JSON")]
#[case::no_total(r#"{"next-token":0,"results":[]}"#)]
#[case::no_list(r#"{"total":1,"next-token":0,"results":{}}"#)]
#[case::no_state(r#"{"total":1,"next-token":1,"results":[{"instance-id":"a"}]}"#)]
fn malformed_results_are_an_error(#[case] body: &str) {
    let server = StubServer::start(vec![response(200, body)]);
    let error = gateway(&server, &["job", "7c41"]).unwrap_err();
    assert!(matches!(error, CommandError::UnexpectedResponse { .. }), "{error}");
}

#[test]
fn a_job_is_ended_even_if_the_first_gateway_is_down() {
    let server = StubServer::start(vec![response(200, "")]);
    let output = run_command_at("--door", &[unused_address(), server.address], &["end", "7c41"]).unwrap();
    assert_eq!(output, "7c41 is ended\n");
    assert_eq!(server.seen(), [request("DELETE", "/v1/lots/7c41", "")]);
}

#[rstest]
#[case::results("job")]
#[case::end("end")]
fn an_unknown_job_is_reported(#[case] command: &str) {
    let server = StubServer::start(vec![response(404, "")]);
    let error = gateway(&server, &[command, "7c41"]).unwrap_err();
    assert!(error.to_string().contains("no such batch job; check the id"), "{error}");
}

#[rstest]
#[case::job(&["--door", "127.0.0.1:9", "job", "a/b"])]
#[case::end(&["--door", "127.0.0.1:9", "end", ""])]
#[case::retire(&["--control", "127.0.0.1:9", "retire", "a?b", "--seconds", "1"])]
fn a_name_that_cannot_be_part_of_a_path_is_not_sent(#[case] line: &[&str]) {
    let error = run_command(line).unwrap_err();
    assert!(matches!(error, CommandError::InvalidName { .. }), "{error}");
}

/// The addresses are removed after parsing, because the variables may be set in the environment of the tests.
#[rstest]
#[case::control(&["get"], "--control")]
#[case::gateway(&["job", "7c41"], "--door")]
fn a_missing_address_is_reported_with_its_option(#[case] line: &[&str], #[case] option: &str) {
    let mut arguments = parsed(line);
    (arguments.control, arguments.gateway) = (None, None);
    let error = run(&arguments, &timing(), &mut Vec::new()).unwrap_err();
    assert!(matches!(error, CommandError::NoControlAddress | CommandError::NoGatewayAddress));
    assert!(error.to_string().contains(option), "{error}");
}

#[rstest]
#[case::address(&["--control", "nowhere", "get"])]
#[case::no_base(&["put", "file"])]
#[case::no_seconds(&["retire", "node"])]
#[case::version(&["name-version", "large", "new"])]
#[case::nothing(&[])]
fn a_malformed_line_is_rejected(#[case] line: &[&str]) {
    assert!(arguments().run_inner(line).is_err());
}

#[test]
fn an_output_that_cannot_be_written_is_an_error() {
    let server = StubServer::start(vec![response(200, CONFIGURATION)]);
    let line = ["--control", &server.address.to_string(), "get"];
    let error = run(&parsed(&line), &Timing::default(), &mut [0_u8; 4].as_mut_slice()).unwrap_err();
    assert!(matches!(error, CommandError::Output(_)), "{error}");
}
