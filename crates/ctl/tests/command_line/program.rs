//! The program as a process: addresses from the environment, exit statuses, standard output and error.

use std::process::{Command, Output};

use orchidvalve_ctl::arguments::{CONTROL_VARIABLE, GATEWAY_VARIABLE};
use rstest::rstest;

use crate::stub_server::{StubServer, response, run_command_at};
use crate::support::File;

fn orchidvalvectl(line: &[&str], variables: &[(&str, String)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_orchidvalvectl"));
    command.env_remove(CONTROL_VARIABLE).env_remove(GATEWAY_VARIABLE);
    command.args(line).envs(variables.iter().map(|(name, value)| (name, value)));
    command.output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

#[rstest]
#[case::control(CONTROL_VARIABLE, &["get"])]
#[case::gateway(GATEWAY_VARIABLE, &["end", "7c41"])]
fn addresses_come_from_the_environment(#[case] variable: &str, #[case] line: &[&str]) {
    let server = StubServer::start(vec![response(200, "{}")]);
    let output = orchidvalvectl(line, &[(variable, server.address.to_string())]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert_eq!(server.seen().len(), 1);
}

#[test]
fn an_option_overrides_the_environment() {
    let (named, other) =
        (StubServer::start(vec![response(200, "{}")]), StubServer::start(vec![response(200, "{}")]));
    let line = ["--control", &named.address.to_string(), "get"];
    let output = orchidvalvectl(&line, &[(CONTROL_VARIABLE, other.address.to_string())]);
    assert_eq!(text(&output.stdout), "{}\n");
    assert_eq!((named.seen().len(), other.seen().len()), (1, 0));
    assert!(run_command_at("--control", &[other.address], &["get"]).is_ok());
}

#[test]
fn a_failure_is_reported_on_standard_error_with_status_1() {
    let file = File::new("program.json", r#"{"config-version":0,"services":[],"routes":[7]}"#);
    let output = orchidvalvectl(&["check", file.path()], &[]);
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(text(&output.stdout), "");
    let stderr = text(&output.stderr);
    assert!(stderr.contains("correct these 2 errors:\nconfig-version: "), "{stderr}");
    assert!(stderr.contains("\nroutes[0]: must be a JSON object"), "{stderr}");
}

#[test]
fn a_missing_address_is_reported_with_its_variable() {
    let output = orchidvalvectl(&["status"], &[]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains(CONTROL_VARIABLE), "{}", text(&output.stderr));
}

#[test]
fn the_former_name_of_the_program_still_works() {
    let output = |program: &str| {
        let output = Command::new(program).arg("--help").output().unwrap();
        assert!(output.status.success(), "{}", text(&output.stderr));
        text(&output.stdout)
    };
    let usage = output(env!("CARGO_BIN_EXE_conductor"));
    assert!(usage.contains("Usage:"), "{usage}");
    assert_eq!(usage.replace("conductor", "orchidvalvectl"), output(env!("CARGO_BIN_EXE_orchidvalvectl")));
}
