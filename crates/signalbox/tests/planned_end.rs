//! A control process that is told to stop while a call is open answers it before it ends.
//!
//! A test with a `main` of its own: the signal must reach no thread but the one of the process's event loop, so it is
//! blocked before any other thread begins.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::process::{Command, ExitCode};
use std::thread;

use orchidvalve_roundhouse::MachineOptions;
use orchidvalve_signalbox::process::{ControlOptions, run};
use orchidvalve_track::network::Network;
use serde_json::json;

/// Large enough that the call is still open when the signal comes.
const FILLING_BYTES: usize = 4 << 20;

fn free_address() -> SocketAddrV4 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr().expect("bound").port())
}

/// The only machine of a control plane of which nothing may be lost: it may end whenever it is told to.
fn options(control_address: SocketAddrV4) -> ControlOptions {
    let internal_address = free_address();
    let data_directory = std::env::temp_dir().join(format!("orchidvalve-planned-end-{}", std::process::id()));
    ControlOptions {
        machine: MachineOptions {
            name: "control-north-1".to_owned(),
            zone: "north".to_owned(),
            share: 1.0,
            internal_address,
            internal_listener: internal_address,
            source: None,
            data_directory,
            disk_bytes: 64 << 20,
            grace_ms: 8_000,
        },
        control_address,
        seeds: vec![SocketAddrV4::new(Ipv4Addr::LOCALHOST, control_address.port())],
        bootstrap: true,
        tolerance: 0,
        platform: None,
        lease_ms: 1_000,
        catch_up_ms: 4_400,
    }
}

fn put(version: u64, filling: usize) -> Vec<u8> {
    let document = json!({
        "config-version": version, "routes": [], "services": [], "filling": "x".repeat(filling),
    });
    let body = document.to_string();
    let base = version - 1;
    let head = format!(
        "PUT /v1/configuration HTTP/1.1\r\nHost: control\r\nIf-Match: {base}\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body.as_bytes()].concat()
}

/// All bytes that come back until the connection ends; none where it can't be used yet.
fn call(address: SocketAddrV4, request: &[u8], sent: impl FnOnce()) -> String {
    let mut answer = Vec::new();
    if let Ok(mut connection) = TcpStream::connect(address)
        && connection.write_all(request).is_ok()
    {
        sent();
        // A reset loses nothing that was read before.
        let _ = connection.read_to_end(&mut answer);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

fn tell_to_stop() {
    let process = std::process::id().to_string();
    let status = Command::new("kill").args(["-TERM", &process]).status().expect("kill runs");
    assert!(status.success());
}

/// The answer to a call that is open when the process is told to stop.
fn operate(address: SocketAddrV4) -> String {
    while !call(address, &put(1, 0), || {}).starts_with("HTTP/1.1 200") {
        thread::yield_now();
    }
    call(address, &put(2, FILLING_BYTES), tell_to_stop)
}

fn main() -> ExitCode {
    let _blocks_signals = Network::new().expect("an event loop");
    let control_address = free_address();
    let options = options(control_address);
    let data_directory = options.machine.data_directory.clone();
    let operator = thread::spawn(move || operate(control_address));
    let ended = run(options);
    let answer = operator.join().expect("the operator ends");
    let _ = std::fs::remove_dir_all(data_directory);
    println!("ended: {ended:?}, answer: {answer:?}");
    if ended.is_ok() && answer.starts_with("HTTP/1.1 200") { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
