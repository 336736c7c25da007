//! A client that sends thousands of requests without waiting gets all responses, and the process does not crash.

mod graceful_shutdown_support;

use std::net::SocketAddrV4;
use std::process::ExitCode;
use std::thread;

use graceful_shutdown_support::{call, free_address, options, put_first, report, tell_to_stop};
use orchidvalve_control_plane::process::run;
use orchidvalve_net::Network;
use serde_json::json;

const NAME: &str = "a_client_that_pipelines_thousands_of_requests_gets_all_responses";

const REQUESTS: usize = 20_000;

/// Names the version that every model has at the beginning, so that the response follows at once.
fn name_version(headers: &str) -> Vec<u8> {
    let body = json!({ "model": "model", "config-version": 1 }).to_string();
    let length = body.len();
    let head = format!("POST /v1/version-put HTTP/1.1\r\nHost: control\r\nContent-Length: {length}\r\n");
    format!("{head}{headers}\r\n{body}").into_bytes()
}

/// Returns the number of confirmed requests on one connection.
fn operate(address: SocketAddrV4) -> usize {
    put_first(address);
    let mut requests = name_version("").repeat(REQUESTS - 1);
    requests.extend(name_version("Connection: close\r\n"));
    let responses = call(address, &requests, || {});
    tell_to_stop();
    responses.matches("HTTP/1.1 200").count()
}

fn main() -> ExitCode {
    let _blocks_signals = Network::new().expect("an event loop");
    let control_address = free_address();
    let options = options(control_address, "pipelined-calls");
    let data_directory = options.machine.data_directory.clone();
    let operator = thread::spawn(move || operate(control_address));
    let ended = run(options);
    let confirmed = operator.join().expect("the operator ends");
    let _ = std::fs::remove_dir_all(data_directory);
    let details = format!("ended: {ended:?}, confirmed: {confirmed} of {REQUESTS}");
    report(NAME, ended.is_ok() && confirmed == REQUESTS, &details)
}
