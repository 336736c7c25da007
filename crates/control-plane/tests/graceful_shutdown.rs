//! A control process that shuts down while a request is open responds to it before it exits.

mod graceful_shutdown_support;

use std::net::SocketAddrV4;
use std::process::ExitCode;
use std::thread;

use graceful_shutdown_support::{call, free_address, options, put, put_first, report, tell_to_stop};
use orchidvalve_control_plane::process::run;
use orchidvalve_net::Network;

const NAME: &str = "a_process_responds_to_its_open_request_before_a_shutdown";

/// Large enough that the request is still open when the signal arrives.
const FILLING_BYTES: usize = 4 << 20;

/// Returns the response to a request that is open when the shutdown begins.
fn operate(address: SocketAddrV4) -> String {
    put_first(address);
    call(address, &put(2, FILLING_BYTES), tell_to_stop)
}

fn main() -> ExitCode {
    let _blocks_signals = Network::new().expect("an event loop");
    let control_address = free_address();
    let options = options(control_address, "planned-end");
    let data_directory = options.machine.data_directory.clone();
    let operator = thread::spawn(move || operate(control_address));
    let ended = run(options);
    let response = operator.join().expect("the operator ends");
    let _ = std::fs::remove_dir_all(data_directory);
    let passed = ended.is_ok() && response.starts_with("HTTP/1.1 200");
    report(NAME, passed, &format!("ended: {ended:?}, response: {response:?}"))
}
