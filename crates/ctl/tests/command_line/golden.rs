//! Golden tests: the request of each command, and its output for a fixed response.

use std::path::Path;

use orchidvalve_golden::check_samples;
use rstest::rstest;

use crate::stub_server::{StubServer, response, run_command_at};
use crate::support::File;

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden");

const CONFIGURATION: &str =
    r#"{"config-version":3,"services":[{"name":"blue"}],"routes":[],"note":{"z":1,"a":[2.5,null]}}"#;
const STATUS: &str = r#"{"name":"control-a","in-touch":true,"epoch":7,"chain":["control-a","control-b"],
    "voters":["control-a","control-b","control-c"],"duties":"control-a","change":812,"configuration":3,"servers":41,
    "versions":{"large":9,"small":1},"members":[
        {"name":"storage-b","role":"store","zone":"zone-b"},{"name":"edge-1","role":"door","zone":"zone-a"},
        {"name":"control-a","role":"control","zone":"zone-a"}],
    "partitions":[{"epoch":2,"members":["storage-a","storage-b"],"learners":[]},
        {"epoch":3,"members":[],"learners":["storage-a","storage-c"]}]}"#;
const RESULTS: &str = r#"{"total":2,"next-token":2,"results":[
    {"instance-id":"a1","state":"completed","message":"x\ny","weight-versions":[6,7],"score":"3e.1"},
    {"instance-id":"a2","state":"expired","message":"","weight-versions":[]}]}"#;

#[rstest]
#[case::get("get", "--control", CONFIGURATION, &["get"])]
#[case::put("put", "--control", "{}", &["put", "--base", "2"])]
#[case::patch("patch", "--control", "{}", &["patch", "--base", "2"])]
#[case::status_as_json("status_json", "--control", STATUS, &["status", "--json"])]
#[case::status("status", "--control", STATUS, &["status"])]
#[case::name_version("name_version", "--control", "{}", &["name-version", "large", "9"])]
#[case::retire("retire", "--control", "{}", &["retire", "storage-a-1", "--seconds", "30"])]
#[case::job_as_json("job_json", "--door", RESULTS, &["job", "--json", "7c41"])]
#[case::job("job", "--door", RESULTS, &["job", "7c41"])]
#[case::end("end", "--door", "", &["end", "7c41"])]
fn requests_and_output_match_the_golden_data(
    #[case] name: &str,
    #[case] option: &str,
    #[case] reply: &str,
    #[case] line: &[&str],
) {
    let file = File::new(&format!("golden-{name}.json"), CONFIGURATION);
    let server = StubServer::start(vec![response(200, reply)]);
    let mut line = line.to_vec();
    if matches!(name, "put" | "patch") {
        line.push(file.path());
    }
    let output = run_command_at(option, &[server.address], &line).unwrap();
    let (method, target, body) = server.seen().remove(0);
    let header = |name: &str| server.header(name).unwrap_or_default().into_bytes();
    let mut samples = vec![
        ("method", method.into_bytes()),
        ("target", target.into_bytes()),
        ("body", body.into_bytes()),
        ("connection", header("Connection")),
        ("content-type", header("Content-Type")),
        ("content-length", header("Content-Length")),
        ("if-match", header("If-Match")),
    ];
    // The output of the other commands is meant for people only and is not recorded.
    if matches!(name, "get" | "status" | "status_json" | "job" | "job_json") {
        samples.push(("output", output.into_bytes()));
    }
    check_samples(&Path::new(FOLDER).join(format!("command_{name}.txt")), &samples);
}
